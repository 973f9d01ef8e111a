"""One term of the leader: state recovery, target sessions and the scheduling loop."""

from __future__ import annotations

import asyncio
import contextlib
import math
import sys
from collections.abc import Awaitable, Callable, Coroutine
from enum import StrEnum
from typing import Any

import structlog
from returns.result import Failure

from egretloft._internal.fleet.agreed_time import AgreedTime
from egretloft._internal.fleet.constants import (
    CLOCK_MARGIN_SECONDS,
    CLOCK_RATE_ERROR,
    FEED_RETRY_SECONDS,
    JOB_PARTITIONS,
    LEASE_SECONDS,
    MAX_CALL_DELAY_SECONDS,
    MAX_KNOWLEDGE_AGE_SECONDS,
    PARTITION,
    RETENTION_SECONDS,
    START_EXPIRY_SECONDS,
    SUSPENSION_SECONDS,
    TABLE_JOBS,
    TABLE_TARGETS,
    TARGET_FEED_PAUSE_SECONDS,
    TICK_DELAY_SECONDS,
    TICK_SECONDS,
)
from egretloft._internal.fleet.crash_trials import create_crash_trials
from egretloft._internal.fleet.decisions import RECLAIMING_PRIORITY, TickContext
from egretloft._internal.fleet.election import Election, Term
from egretloft._internal.fleet.former_leader import create_former_leader
from egretloft._internal.fleet.interfaces import (
    FleetClock,
    RowDecoder,
    Targets,
)
from egretloft._internal.fleet.late_starts import LateStarts, SentStart
from egretloft._internal.fleet.loop_delay import create_loop_delay
from egretloft._internal.fleet.models import (
    OperatorState,
)
from egretloft._internal.fleet.orders import create_orders
from egretloft._internal.fleet.pledges import Incarnation, Pledges
from egretloft._internal.fleet.recorder import create_recorder
from egretloft._internal.fleet.run_control import create_run_control
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.sessions import TargetSession, create_target_session
from egretloft._internal.fleet.state_reader import create_state_reader
from egretloft._internal.fleet.store_access import StoreAccess
from egretloft._internal.fleet.supervision import apply_each, keep_running
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunRow,
    TargetRow,
)
from egretloft._internal.fleet.target_quorum import create_target_quorum
from egretloft._internal.fleet.watching import create_table_watcher, read_partition
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# No queue is less urgent than this.
LAST_PRIORITY = sys.maxsize
# Idle time after a tick, as a multiple of the tick's duration: ticks then use at most
# a quarter of the processor.
TICK_PAUSE_FACTOR = 3.0
# Longest such pause, so that a slow tick does not delay the next starts for too long.
MAX_TICK_PAUSE_SECONDS = 0.25
# Expired jobs are removed at most at this rate, as each costs a transaction.
MAX_REMOVALS_PER_TICK = 20
# An expired job whose state is not recorded yet is examined again after this time.
REMOVAL_RETRY_MS = 1000.0
# Runs are examined for progress, and for targets that leave, this often.
RUN_REVIEW_SECONDS = 0.25
# A log line names at most this many instances.
LISTED_INSTANCES = 4
# Decisions are reviewed this often while a target may run a start of a former leader.
DOUBT_REVIEW_SECONDS = 0.25
# A task that has not ended this long after it was cancelled is cancelled again.
CANCEL_RETRY_SECONDS = 0.2


class Authority(StrEnum):
    """Why the leader may send orders, if it may."""

    # The last heartbeat excludes a takeover.
    CONFIRMED = "confirmed"
    # All other instances lack the store and have pledged not to take over.
    PLEDGED = "pledged"
    NONE = "none"


class Leader:
    """Schedules all jobs while its epoch is current."""

    def __init__(
        self,
        term: Term,
        election: Election,
        pledges: Pledges,
        store: StoreAccess,
        targets: Targets,
        decoder: RowDecoder,
        operators: Callable[[], OperatorState],
        operators_age: Callable[[], float],
        clock: FleetClock,
        agreed_time: AgreedTime,
        metrics: Metrics,
    ) -> None:
        self.term = term
        self.epoch = term.epoch
        self.election = election
        self.pledges = pledges
        self.store = store
        self.targets = targets
        self.decoder = decoder
        self.operators = operators
        self.operators_age = operators_age
        self.starts_withheld = False
        self.authority = Authority.CONFIRMED
        self.clock = clock
        self.agreed_time = agreed_time
        self.metrics = metrics
        self.tables = FleetTables()
        self.scheduler = Scheduler(self.tables)
        self.recorder = create_recorder(store, election, self.tables, metrics)
        self.quorum = create_target_quorum(self.tables, self.recorder)
        self.collects_votes = False
        self.late_starts = LateStarts(targets.max_lease_seconds)
        self.orders = create_orders(self, self.tables, targets, clock, metrics)
        self.runs = create_run_control(self, self.tables, self.orders, clock, metrics)
        self.crash_trials = create_crash_trials(
            self.tables, metrics, self.on_job_changed, self.wake_session
        )
        self.reader = create_state_reader(
            self, self.tables, self.recorder, decoder, metrics
        )
        self.sessions: dict[str, TargetSession] = {}
        self.session_tasks: dict[str, asyncio.Task[Any]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.wake = asyncio.Event()
        self.recovery_deadline = clock.boottime() + self.max_unrenewed_seconds()
        self.recovering = True
        self.former_leader = create_former_leader(term, self.tables, clock.boottime())
        if self.awaits_fences:
            self.recovery_deadline = math.inf
        # The instances that have pledged and may have led before, as far as examined.
        self.examined_instances: set[Incarnation] = set()
        # Those of the targets when the examination began; ``None`` outside of one.
        self.expected_incarnations: dict[str, int] | None = None
        self.former_deadline = self.recovery_deadline
        self.last_tick = clock.boottime()
        self.confirmation_needed_since = 0.0
        self.draining = False
        self.state_loaded = False
        self.tick_pause = 0.0
        self.decision_needed = True
        self.decide_at = 0.0
        self.runs_reviewed_at = 0.0
        self.loop_delay = create_loop_delay()

    @property
    def awaits_fences(self) -> bool:
        """Return whether a former leader may still act, so that this one may not."""
        return self.former_leader.may_act

    @staticmethod
    def max_unrenewed_seconds() -> float:
        """Return for how many seconds a run may outlive the last renewal of its lease.

        The sum covers a start that is carried out just before it expires, and the
        errors of the target's clock.
        """
        lease = LEASE_SECONDS + START_EXPIRY_SECONDS
        return lease * (1 + 2 * CLOCK_RATE_ERROR) + 2 * CLOCK_MARGIN_SECONDS

    # Called by sessions, orders and the state reader.

    def may_issue_orders(self) -> bool:
        """Return whether the leader may send orders and renew leases."""
        return self.noted_authority() is not Authority.NONE

    def noted_authority(self) -> Authority:
        """Return why the leader may send orders, as far as ticks have acted on it.

        A tick has to begin a recovery before the leader relies on a pledge of an
        instance that may have led meanwhile.
        """
        authority = self.current_authority()
        is_new = authority is not self.authority
        if (
            authority is Authority.PLEDGED
            and is_new
            and self.pledges.forgetful(self.epoch)
        ):
            return Authority.NONE
        return authority

    def current_authority(self) -> Authority:
        """Return why the leader may send orders now, if it may.

        It may while its last heartbeat excludes a takeover, and also while the pledges
        of all other instances do.
        """
        if self.election.term is not self.term or self.election.releasing:
            return Authority.NONE
        if self.election.confirmed_at < self.confirmation_needed_since:
            return Authority.NONE
        if self.election.is_confirmed():
            return Authority.CONFIRMED
        if self.pledges.exclude_takeover(self.epoch) and self.quorum.holds(
            self.clock.boottime()
        ):
            return Authority.PLEDGED
        return Authority.NONE

    def is_confirmed(self) -> bool:
        """Return whether our last heartbeat still excludes a takeover."""
        return self.is_current() and self.election.is_confirmed()

    def may_start_runs(self) -> bool:
        """Return whether the leader may also start runs.

        It has to know what operators ask for and what targets say of themselves, unless
        no instance reaches the store, as nobody can know then.
        """
        authority = self.noted_authority()
        if authority is Authority.CONFIRMED:
            return self.knowledge_age() <= MAX_KNOWLEDGE_AGE_SECONDS
        return authority is Authority.PLEDGED

    def is_evacuated(self, zone: str) -> bool:
        """Return whether operators have taken an availability zone out of service."""
        return zone in self.operators().evacuated_zones

    def knowledge_age(self) -> float:
        """Return how long ago the rows of operators and targets were known to hold."""
        return max(self.operators_age(), self.targets_watcher.staleness_seconds())

    def on_job_changed(self, job: JobRow) -> None:
        """Schedule a write of the job's progress and wake the scheduling loop."""
        self.wake_scheduler()
        if job.is_final():
            if not job.finished_at_ms:
                job.finished_at_ms = int(self.clock.wall() * 1000)
            self.tables.close_job(job)
        self.recorder.mark_dirty(job)

    def wake_session(self, target_id: str) -> None:
        """Let the session of a target look at its runs at once."""
        self.sessions[target_id].wake.set()

    def wake_scheduler(self) -> None:
        """Start the next tick, with new decisions, without waiting for its period."""
        self.decision_needed = True
        self.wake.set()

    def stop_run(self, run: RunRow, why: str) -> None:
        """Stop a run; its resources stay in use until it has certainly ended."""
        self.runs.stop(run, why)

    def on_run_done(self, run: RunRow) -> None:
        """Record the run time of a finished run.

        A gang counts once: its first end marks all tasks as done, so the ends of the
        other members are ignored.
        """
        job = self.tables.jobs.get(run.key.task.step.job_id)
        task = self.tables.task(run.key.task)
        if job is None or task is None or task.done:
            return
        step = job.step(run.key.task.step)
        now = self.clock.boottime()
        self.scheduler.run_times.observe(job, step, run, now)

    def on_trial_started(self, run: RunRow) -> None:
        """Note that a task suspected of a crash is started."""
        self.crash_trials.begin(run, self.clock.boottime())

    def on_crash_suspected(self, run: RunRow) -> None:
        """Note that the target of a run may have crashed because of its start."""
        self.crash_trials.on_lost(run, self.clock.boottime(), self.clock.wall())

    def on_run_confirmed(self, run: RunRow) -> None:
        """Note that a target has listed a run for the first time."""
        self.crash_trials.on_confirmed(run)

    def on_target_changed(self, target: TargetRow) -> None:
        """Wake the session of a target that restarted or moved."""
        self.wake_session(target.report.target_id)

    def on_target_announced(self, target: TargetRow) -> None:
        """Note when a target leaves at the earliest, if its report says so."""
        remaining = target.report.remaining_seconds
        target.leaves_at = None
        if target.report.draining and remaining is not None:
            target.leaves_at = self.clock.boottime() + remaining
            self.runs_reviewed_at = 0.0

    def on_target_idle(self, target: TargetRow) -> None:
        """Remove the row of an unreachable target that certainly runs nothing.

        A later leader then need not wait until it can exclude runs there. The target
        gets no work before it has been recorded again.
        """
        if not target.recorded or (self.recovering and not target.fenced):
            return
        target.recorded = False
        self.recorder.forget_target(target.report.target_id)
        log.info("unreachable target without runs", target=target.report.target_id)

    def on_target_regained(self, target: TargetRow) -> None:
        """Record the target again if it is not."""
        if not target.recorded:
            self.recorder.wake.set()

    def on_fenced(self) -> None:
        """End the term because a target has seen a newer epoch."""
        if self.election.term is self.term:
            self.election.step_down("a target has seen a newer epoch")

    def extend_timeout(self, timeout_seconds: float) -> float:
        """Return the timeout of a call, extended if the event loop is late."""
        return self.loop_delay.extend(timeout_seconds)

    async def wait_for_flush(self) -> None:
        """Wait until pending changes have been written to the store once more."""
        await self.recorder.flushed.wait()

    # The term.

    async def run(self) -> None:
        """Load the state, then schedule until the term ends."""
        try:
            if await self.load_state():
                await self.serve()
        finally:
            await self.end_tasks()
            log.info("leadership term ended", epoch=self.epoch)

    async def end_tasks(self) -> None:
        """Cancel all tasks and wait until they have ended.

        Cancelling is repeated because a task can swallow a cancellation. The instance
        starts its next term only after this one has ended, so a task that went on
        would keep it from ever leading again.
        """
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            _, pending = await asyncio.wait(self.tasks, timeout=CANCEL_RETRY_SECONDS)
            if pending:
                self.metrics.count("cancels_repeated", len(pending))
                log.warning(
                    "tasks still running after cancellation",
                    epoch=self.epoch,
                    tasks=len(pending),
                )

    def is_current(self) -> bool:
        """Return whether the term has not ended."""
        return self.election.term is self.term

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
        """Run ``work`` in a task that is cancelled when the term ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Log the exception of a failed task; the other tasks go on."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("task_errors")
            log.error("background task of the term failed", exc_info=task.exception())

    async def load_state(self) -> bool:
        """Read jobs and targets from the store, then start the targets' sessions.

        Return whether the term is still current.
        """
        while self.is_current():
            used = await read_partition(self.store, TABLE_TARGETS, PARTITION)
            if not isinstance(used, Failure):
                break
            await asyncio.sleep(FEED_RETRY_SECONDS)
        else:
            return False
        apply_each(used.unwrap().rows, self.reader.add_used_target, self.metrics)
        used_ids = frozenset(row.key.key for row in used.unwrap().rows)
        self.former_leader.targets = used_ids
        self.jobs_watcher = create_table_watcher(
            self.store,
            self.clock,
            TABLE_JOBS,
            (PARTITION, *JOB_PARTITIONS),
            self.reader.on_job_rows,
            self.reader.on_job_rows,
        )
        self.targets_watcher = create_table_watcher(
            self.store,
            self.clock,
            self.decoder.target_table(),
            ("",),
            self.reader.on_target_snapshot,
            self.reader.on_target_rows,
            lambda: TARGET_FEED_PAUSE_SECONDS,
        )
        while self.is_current():
            loaded = await asyncio.gather(
                self.jobs_watcher.step(), self.targets_watcher.step()
            )
            if all(loaded):
                break
            await asyncio.sleep(FEED_RETRY_SECONDS)
        for job in self.tables.jobs.values():
            job.known_before_term = True
        self.crash_trials.restore(self.clock.boottime(), self.clock.wall())
        self.inherit_unanswered_starts()
        self.state_loaded = True
        # Sessions start last: an end that arrives before its job has been read would
        # be acknowledged without effect.
        for target_id, session in self.sessions.items():
            self.start_session(target_id, session)
        log.info(
            "jobs and targets loaded from the store",
            epoch=self.epoch,
            jobs=len(self.tables.jobs),
            open_jobs=len(self.tables.open_jobs),
            targets=len(self.tables.targets),
        )
        return self.is_current()

    async def serve(self) -> None:
        """Run a tick after each wake-up, or each tick period, until the term ends."""
        works: dict[str, Callable[[], Awaitable[None]]] = {
            "jobs_watcher": self.jobs_watcher.run,
            "targets_watcher": self.targets_watcher.run,
            "recorder": self.recorder.run,
        }
        for name, work in works.items():
            self.spawn(keep_running(name, work, self.metrics))
        self.last_tick = self.clock.boottime()
        while self.is_current():
            waits_from = self.clock.boottime()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self.wake.wait()
            pause = max(TICK_DELAY_SECONDS, self.tick_pause)
            pauses_from = self.clock.boottime()
            await asyncio.sleep(pause)
            self.wake.clear()
            started = self.clock.boottime()
            late = max(
                pauses_from - waits_from - TICK_SECONDS, started - pauses_from - pause
            )
            self.orders.pacer.observe_lateness(late)
            self.tick()
            spent = self.clock.boottime() - started
            self.loop_delay.observe(max(late, spent))
            self.metrics.observe_seconds("tick_seconds", spent)
            # Pause after a long tick so that renewals and callers are not starved.
            self.tick_pause = min(MAX_TICK_PAUSE_SECONDS, TICK_PAUSE_FACTOR * spent)

    def add_target(self, target: TargetRow) -> None:
        """Add a target to the tables and create its session."""
        target_id = target.report.target_id
        self.tables.add_target(target)
        session = create_target_session(
            self, self.tables, target, self.targets, self.clock, self.metrics
        )
        self.sessions[target_id] = session
        if self.state_loaded:
            target.returned_at = self.clock.boottime()
            self.start_session(target_id, session)
        if not target.recorded:
            self.recorder.wake.set()

    def start_session(self, target_id: str, session: TargetSession) -> None:
        """Begin to renew a target's lease and to hear its ends."""
        work = keep_running("session", session.run, self.metrics)
        self.session_tasks[target_id] = self.spawn(work)

    # The tick.

    def tick(self) -> None:
        """Evaluate all tables once and carry out the resulting stops and starts."""
        now = self.clock.boottime()
        if now - self.last_tick > SUSPENSION_SECONDS:
            log.warning("process was suspended", seconds=round(now - self.last_tick, 3))
            # Another instance may have taken over meanwhile.
            self.confirmation_needed_since = now
        self.last_tick = now
        for session in self.sessions.values():
            session.check_lease()
        self.update_recovery(now)
        self.remove_unused_targets()
        self.remove_expired_jobs()
        self.note_authority()
        if self.authority is Authority.NONE or self.awaits_fences:
            return
        if now - self.runs_reviewed_at >= RUN_REVIEW_SECONDS:
            self.runs_reviewed_at = now
            self.late_starts.forget_old(now)
            self.runs.stop_stalled(now)
            self.runs.stop_departing(now)
            self.crash_trials.review(now)
        self.runs.stop_unneeded(now, self.recovering)
        if self.draining:
            return
        self.note_withheld(not self.may_start_runs())
        if self.starts_withheld:
            return
        if self.decision_needed or now >= self.decide_at:
            self.decide(now)

    def note_authority(self) -> None:
        """Update why the leader may send orders, and log a change."""
        self.update_votes()
        former, self.authority = self.authority, self.current_authority()
        if self.authority is former or not self.is_current():
            return
        log.warning(
            "leader's authority changed",
            epoch=self.epoch,
            authority=self.authority.value,
            confirmed_age=self.election.confirmed_age(),
            silent_members=len(self.store.silent_members()),
            missing_pledges=sorted(self.pledges.missing(self.epoch))[:LISTED_INSTANCES],
            newest_claim=self.pledges.newest_claimed_epoch(),
            targets=len(self.recorder.target_versions),
            quorum_left=self.quorum.left_seconds(self.clock.boottime()),
        )
        if self.authority is Authority.PLEDGED:
            self.examine_pledges()
        elif self.authority is Authority.CONFIRMED:
            self.end_examination()
            self.recorder.wake.set()

    def update_votes(self) -> None:
        """Ask all targets while too few answer for the leader to go on by pledges."""
        now, collected = self.clock.boottime(), self.collects_votes
        self.collects_votes = (
            self.is_current()
            and not self.election.is_confirmed()
            and self.pledges.exclude_takeover(self.epoch)
            and self.quorum.is_short(now)
        )
        if self.collects_votes and not collected:
            for session in self.sessions.values():
                session.wake.set()

    def examine_pledges(self) -> None:
        """Treat all targets as a new leader does if an instance may have led meanwhile.

        It has pledged, and has restarted since this leader was last confirmed. A target
        that it used has seen its epoch, unless that target restarted as well. So
        nothing is started before all targets have answered in the incarnations that
        this leader knows, or the store confirms that nobody has led.
        """
        forgetful = self.pledges.forgetful(self.epoch) - self.examined_instances
        if not forgetful:
            return
        self.examined_instances |= forgetful
        log.warning(
            "recovering again",
            epoch=self.epoch,
            forgetful=sorted(i.instance_id for i in forgetful)[:LISTED_INSTANCES],
            targets=len(self.tables.targets),
        )
        if self.expected_incarnations is None:
            self.former_deadline = self.recovery_deadline
        self.recovering = True
        self.recovery_deadline = math.inf
        self.expected_incarnations = {
            target_id: target.incarnation_ms
            for target_id, target in self.tables.targets.items()
        }
        for job in self.tables.jobs.values():
            job.known_before_term = True
        for target_id, target in self.tables.targets.items():
            target.used_before = True
            target.fenced = False
            self.wake_session(target_id)

    def end_examination(self) -> None:
        """Go on as before: the store has confirmed that nobody has taken over."""
        if self.expected_incarnations is not None:
            self.expected_incarnations = None
            self.recovery_deadline = self.former_deadline

    def has_forgotten_epochs(self, target: TargetRow) -> bool:
        """Return whether the target may have seen a newer epoch and forgotten it."""
        if self.expected_incarnations is None:
            return False
        expected = self.expected_incarnations.get(target.report.target_id, 0)
        return not expected or target.incarnation_ms != expected

    def note_withheld(self, withheld: bool) -> None:
        """Log when starts begin to be withheld, or no longer are."""
        if withheld == self.starts_withheld:
            return
        self.starts_withheld = withheld
        self.decision_needed = True
        log.warning(
            "starts withheld" if withheld else "starts resumed",
            epoch=self.epoch,
            operators_age=round(self.operators_age(), 3),
            targets_age=round(self.targets_watcher.staleness_seconds(), 3),
        )

    def decide(self, now: float) -> None:
        """Decide what to start and to preempt, and carry it out."""
        self.decision_needed = False
        pacer = self.orders.pacer
        in_doubt = self.late_starts.jobs_in_doubt(self.may_run_unheard, now)
        context = TickContext(
            now,
            self.agreed_time.wall(),
            self.recovering,
            in_doubt,
            max_starts=pacer.free(LAST_PRIORITY),
            max_urgent_starts=pacer.free(RECLAIMING_PRIORITY),
        )
        decisions = self.scheduler.decide(self.operators(), context)
        self.decide_at = now + decisions.review_seconds
        if in_doubt:
            self.decide_at = min(self.decide_at, now + DOUBT_REVIEW_SECONDS)
        for reclaim in decisions.reclaims:
            self.runs.preempt(reclaim, now)
        for placement in decisions.placements:
            self.runs.start_step(placement)

    def may_run_unheard(self, start: SentStart, outlived: bool) -> bool:
        """Return whether a silent target may run a start that a former leader sent.

        Not if the start was lost with the target's link, unless its registration tells
        that it has restarted: copies may then have reached the new incarnation.
        """
        target = self.tables.targets.get(start.target_id)
        if target is None:
            return outlived
        if target.has_answered:
            return False
        registered_ms = target.report.incarnation_ms
        return outlived or registered_ms not in (0, start.incarnation_ms)

    def inherit_unanswered_starts(self) -> None:
        """Take over the starts that former leaders sent and had no answer to."""
        now, wall = self.clock.boottime(), self.clock.wall()
        for job in self.tables.jobs.values():
            for run, start in job.unanswered.items():
                # The time of day may have jumped since.
                left = min(start.arrives_until - wall, MAX_CALL_DELAY_SECONDS)
                sent = SentStart(start.target_id, start.incarnation_ms, run)
                self.late_starts.inherit(sent, now + left, start.outlived)
        self.late_starts.forget_old(now)

    def update_recovery(self, now: float) -> None:
        """End the recovery once no unknown run of an earlier term can be active.

        That is when every target that an earlier leader may have used is fenced, or
        when all leases that it may have granted have expired. Ends are not lost with
        the lease, so a target that has yet to list some of them is waited for as long
        as it can be reached. A former leader that goes on without the pledge of this
        instance grants further leases, but only to targets that it has used.
        """
        if not self.recovering:
            return
        if self.former_leader.review(now):
            self.on_former_leader_fenced(now)
        if self.awaits_fences:
            return
        unfenced = [
            target
            for target in self.tables.targets.values()
            if target.used_before
            and (not target.fenced or self.has_forgotten_epochs(target))
        ]
        has_more_ends = any(
            target.reachable and not target.lists_all_ends for target in unfenced
        )
        if not unfenced or (now >= self.recovery_deadline and not has_more_ends):
            self.recovering = False
            self.expected_incarnations = None
            self.decision_needed = True
            for job in self.tables.open_jobs.values():
                self.tables.touch(job)
            log.info("recovered", epoch=self.epoch, unfenced=len(unfenced))

    def on_former_leader_fenced(self, now: float) -> None:
        """Begin to act, as the former leader certainly does not any more.

        It may have renewed leases until now. Some targets may have more ends than they
        list: these have to be acknowledged before the recovery ends.
        """
        self.election.on_former_leader_fenced()
        deadline = now + self.max_unrenewed_seconds()
        if self.expected_incarnations is None:
            self.recovery_deadline = deadline
        else:
            self.former_deadline = deadline
        # Rows of targets that are new, or gone, have not been written until now.
        self.recorder.wake.set()

    def remove_unused_targets(self) -> None:
        """Remove unlisted targets that cannot have active runs.

        A reachable target is kept until the leader has acknowledged all of its ends.
        """
        for target_id, target in list(self.tables.targets.items()):
            if target.listed or target.runs or self.crash_trials.awaits(target):
                continue
            if not target.fenced and self.recovering:
                continue
            if not target.lists_all_ends and not target.failed_renewals:
                continue
            if (
                target.last_applied_end > target.last_acknowledged_end
                and not target.failed_renewals
            ):
                continue
            log.info("unlisted target without runs removed", target=target_id)
            del self.tables.targets[target_id]
            del self.sessions[target_id]
            self.session_tasks.pop(target_id).cancel()
            self.recorder.forget_target(target_id)

    def remove_expired_jobs(self) -> None:
        """Remove jobs whose retention period has passed, and their rows."""
        cutoff_ms = (self.clock.wall() - RETENTION_SECONDS) * 1000
        for job in self.tables.take_expired_jobs(cutoff_ms, MAX_REMOVALS_PER_TICK):
            if job.is_dirty():
                # Its final state is not in the store yet.
                self.tables.postpone_removal(job, cutoff_ms + REMOVAL_RETRY_MS)
                continue
            self.tables.remove_job(job)
            self.recorder.forget_job(job.accepted.job_id, job.cancelled)
        cancelled_id = self.reader.take_expired_cancel(cutoff_ms)
        if cancelled_id is not None:
            self.recorder.forget_job(cancelled_id, cancelled=True)

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of jobs per queue that have not started."""
        counts: dict[str, int] = {}
        for job in self.tables.open_jobs.values():
            if not job.started:
                counts[job.accepted.queue] = counts.get(job.accepted.queue, 0) + 1
        return counts
