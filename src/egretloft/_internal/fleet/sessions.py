"""Lease renewal for one target, and handling of the runs and ends that it reports.

Only one renewal is in flight at a time, so answers arrive in order. A renewal is a long
poll: the target answers as soon as a run ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import math

import structlog
from returns.result import Failure

from egretloft._internal.fleet.clocks import MILLISECONDS, TargetClock
from egretloft._internal.fleet.constants import (
    LEASE_SECONDS,
    MAX_CALL_DELAY_SECONDS,
    RENEWAL_TIMEOUT_SECONDS,
    RENEWAL_WAIT_SECONDS,
)
from egretloft._internal.fleet.crash_suspects import (
    has_survived,
    is_suspect_of_crash,
    note_failure,
    note_return,
)
from egretloft._internal.fleet.incarnations import Incarnations
from egretloft._internal.fleet.interfaces import FleetClock, Targets
from egretloft._internal.fleet.late_starts import SentStart
from egretloft._internal.fleet.leases import TargetLease
from egretloft._internal.fleet.lifecycle import (
    adopt_run,
    apply_end,
    may_be_waiting,
)
from egretloft._internal.fleet.lost_work import unsaved_work
from egretloft._internal.fleet.models import (
    EndKind,
    JobState,
    Renewal,
    RenewalAnswer,
    RunEnd,
    StartRefusal,
    TargetFailure,
    TargetFailureKind,
)
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    TargetRow,
)
from egretloft._internal.fleet.target_health import update_health
from egretloft._internal.fleet.term_owner import TermOwner
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# Consecutive failed renewals after which a target counts as unreachable and gets no new
# work.
MAX_FAILED_RENEWALS = 2
RETRY_SECONDS = 0.15
# Longest wait of a renewal for the store to record ends. Renewals continue at this pace
# while the store is slow.
RECORD_WAIT_SECONDS = 0.25
# A target that has not been heard from for longer than a renewal takes is asked without
# a wait before its lease is renewed.
HEARD_SECONDS = RENEWAL_WAIT_SECONDS + RENEWAL_TIMEOUT_SECONDS
# Wait of a renewal while a new leader does not know yet whether the gangs on the target
# are complete.
RECOVERY_WAIT_SECONDS = 0.2
# Wait of a renewal while a run on the target is in doubt: its task is placed again once
# an answer shows that it is not there.
DOUBT_WAIT_SECONDS = 0.2
# Wait of a call to an idle target that is watched. Such a call renews no lease, and a
# run that starts meanwhile has only the lease of its start order.
WATCH_WAIT_SECONDS = 0.2
# A confirmed run that is missing from this many consecutive answers has ended without
# being listed.
MAX_TIMES_MISSING = 2
LEASE_MS = LEASE_SECONDS * MILLISECONDS
# An idle session checks this often whether it has to renew again.
IDLE_WAIT_SECONDS = 5.0
# A target without runs is asked at most this often while too few others answer for the
# leader to go on without the store.
VOTE_PERIOD_SECONDS = 1.0


def is_in_doubt(run: RunRow) -> bool:
    """Return whether the run may not be there, which the next answer tells."""
    if run.times_missing or run.sent_before_restart:
        return True
    return run.in_doubt and not run.confirmed


def may_arrive(failure: TargetFailure) -> bool:
    """Return whether the target may still carry out a call that has failed."""
    return failure.kind is TargetFailureKind.UNKNOWN


def note_outlived_starts(
    owner: TermOwner, tables: FleetTables, target: TargetRow
) -> None:
    """Let the store tell that a target has answered since its unanswered starts.

    So they were not lost with its link.
    """
    for run in target.unanswered:
        job = tables.jobs.get(run.task.step.job_id)
        if job is not None:
            job.note_outlived(run)
            owner.on_job_changed(job)
    target.unanswered.clear()


class TargetSession:
    """Renews the lease of one target and applies its answers to the tables."""

    def __init__(
        self,
        owner: TermOwner,
        tables: FleetTables,
        target: TargetRow,
        targets: Targets,
        clock: FleetClock,
        metrics: Metrics,
    ) -> None:
        self.owner = owner
        self.tables = tables
        self.target = target
        self.targets = targets
        self.clock = clock
        self.metrics = metrics
        self.wake = asyncio.Event()
        # When the last renewal was sent.
        self.sent_at = -math.inf
        longest = targets.max_lease_seconds
        self.lease = TargetLease(target, clock, longest)
        self.incarnations = Incarnations(
            owner, tables, target, clock, longest, self.lose_crashed_run
        )

    async def run(self) -> None:
        """Renew whenever the target needs it, until cancelled."""
        while True:
            if not self.needs_renewal():
                await self.idle()
                continue
            if not await self.renew_once():
                await asyncio.sleep(RETRY_SECONDS)

    def needs_renewal(self) -> bool:
        """Return whether to fence the target, keep runs or acknowledge ends.

        An unreachable target is also asked, to notice its return, a watched one, one
        that may carry out late calls, one that has more ends than it could list, or
        than could be decoded, and one whose vote is due.
        """
        target = self.target
        if not target.fenced or target.runs or not target.reachable:
            return True
        if not target.refuses_late_calls or self.is_vote_due():
            return True
        if self.is_watched() or not target.lists_all_ends or not target.is_readable:
            return True
        return target.last_applied_end > target.last_acknowledged_end

    def is_watched(self) -> bool:
        """Return whether the target is asked although nothing may run there."""
        return self.target.watched_until > self.clock.boottime()

    def is_vote_due(self) -> bool:
        """Return whether the target is to be asked again, as its answer counts."""
        if not self.owner.collects_votes:
            return False
        return self.clock.boottime() - self.sent_at >= VOTE_PERIOD_SECONDS

    def may_ask(self) -> bool:
        """Return whether the target may be asked, at least without a lease."""
        return self.owner.collects_votes or self.owner.may_issue_orders()

    def is_asked_only(self) -> bool:
        """Return whether the target is asked again and again without a lease."""
        if self.withholds_acknowledgement():
            return True
        return self.is_watched() and not self.target.runs

    def withholds_acknowledgement(self) -> bool:
        """Return whether the target's ends may not be acknowledged yet."""
        return self.owner.awaits_fences or not self.target.is_readable

    async def idle(self) -> None:
        """Wait until the session is woken, or is to check whether it has to renew."""
        self.wake.clear()
        votes = self.owner.collects_votes
        longest = VOTE_PERIOD_SECONDS if votes else IDLE_WAIT_SECONDS
        # Not asyncio.wait_for, which swallows a cancellation that arrives as the wait
        # ends.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest):
                await self.wake.wait()

    def lease_expiry_ms(self, now: float) -> int | None:
        """Return until when to renew the lease, in ms on the target's clock.

        The lease counts from ``now``, at which the leader was allowed to renew it.
        ``None`` asks for the target's lists without renewing: the target's clock is
        unknown, it has no runs, the former leader may go on, its list was unreadable,
        the last renewal failed, or it has not been heard from lately. Then it may run
        what the leader does not know of, or be unreachable, and what it runs must be
        able to expire; an order that has just been sent does so soon.
        """
        target = self.target
        if target.clock is None or target.failed_renewals or not target.runs:
            return None
        if not target.is_readable or self.owner.awaits_fences:
            return None
        if now - target.last_answer > HEARD_SECONDS:
            return None
        return int(target.clock.earliest_ms(now) + LEASE_MS)

    def renewal_wait_seconds(self) -> float:
        """Return how long the target may wait for a run to end before it answers."""
        runs = self.target.runs.values()
        if any(is_in_doubt(run) for run in runs):
            return DOUBT_WAIT_SECONDS
        if self.owner.recovering and any(may_be_waiting(run) for run in runs):
            return RECOVERY_WAIT_SECONDS
        return RENEWAL_WAIT_SECONDS

    async def renew_once(self) -> bool:
        """Send one renewal and apply the answer; return whether it might be sent.

        A leader that may issue no orders, and needs the answer to go on, only asks.
        """
        target = self.target
        if not self.may_ask():
            return False
        if target.last_applied_end > target.last_recorded_end:
            await self.wait_for_recorder()
        # The term may have ended, or a run may have started, while this waited. The
        # time is read first, so that a suspension in between prolongs no lease.
        now = self.clock.boottime()
        may_renew = self.owner.may_issue_orders()
        if not may_renew and not self.owner.collects_votes:
            return False
        expires_at_ms = self.lease_expiry_ms(now) if may_renew else None
        wait = 0.0
        if (
            target.fenced
            and target.lists_all_ends
            and target.last_applied_end <= target.last_recorded_end
        ):
            if expires_at_ms is not None:
                wait = self.renewal_wait_seconds()
            elif not may_renew or self.is_asked_only():
                wait = WATCH_WAIT_SECONDS
        if expires_at_ms is not None:
            target.lease_ends_ms = max(target.lease_ends_ms, expires_at_ms)
        sent = self.sent_at = self.clock.boottime()
        acknowledged_end = self.end_to_acknowledge() if may_renew else 0
        result = await self.targets.renew(
            target.report,
            Renewal(
                target.fencing_token(self.owner.epoch),
                target.incarnation_ms,
                acknowledged_end,
                expires_at_ms,
            ),
            wait,
            wait + self.owner.extend_timeout(RENEWAL_TIMEOUT_SECONDS),
        )
        if isinstance(result, Failure):
            failure = result.failure()
            if expires_at_ms is not None and may_arrive(failure):
                target.unanswered_until = self.clock.boottime() + MAX_CALL_DELAY_SECONDS
            await self.on_failure(failure)
            return True
        self.on_answer(result.unwrap(), sent, acknowledged_end)
        if not may_renew or self.withholds_acknowledgement():
            # The target does not wait while it has ends to report.
            await asyncio.sleep(RETRY_SECONDS)
        return True

    def end_to_acknowledge(self) -> int:
        """Return the number of the last end that the next renewal acknowledges.

        It is 0 unless there are new ones, or if the target may have restarted since it
        listed them: the numbers then stand for other ends, which nobody has heard of.
        """
        target = self.target
        if target.failed_renewals or self.owner.awaits_fences:
            return 0
        if target.last_recorded_end <= target.last_acknowledged_end:
            return 0
        return target.last_recorded_end

    async def wait_for_recorder(self) -> None:
        """Wait up to ``RECORD_WAIT_SECONDS`` until all applied ends are recorded.

        The next renewal can then acknowledge them.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECORD_WAIT_SECONDS):
                await self.wait_until_recorded()

    async def wait_until_recorded(self) -> None:
        """Wait until the store holds all applied ends."""
        while self.target.last_applied_end > self.target.last_recorded_end:
            await self.owner.wait_for_flush()

    async def on_failure(self, failure: TargetFailure) -> None:
        """Handle a failed renewal, then wait before the next one."""
        target = self.target
        if failure.refusal is StartRefusal.FENCED:
            self.owner.on_fenced()
            return
        if failure.refusal is StartRefusal.OTHER_INCARNATION:
            self.on_replaced()
            await asyncio.sleep(RETRY_SECONDS)
            return
        target.failed_renewals += 1
        if target.failed_renewals == 1:
            note_failure(target, self.clock.boottime())
        self.metrics.count("renewal_failures")
        if target.failed_renewals == MAX_FAILED_RENEWALS:
            target.reachable = False
            log.warning(
                "target lost",
                target=target.report.target_id,
                error=failure.message,
                lease_left=round(self.lease.left_seconds(), 2),
            )
        await asyncio.sleep(RETRY_SECONDS)

    def on_replaced(self) -> None:
        """Remove the runs of a target whose address another one has."""
        target = self.target
        if not target.replaced:
            log.info(
                "target replaced by another incarnation", target=target.report.target_id
            )
            target.restarted_at = self.clock.boottime()
            if not target.failed_renewals:
                note_failure(target, target.restarted_at)
        self.lose_all_runs("target replaced by another incarnation")
        target.listed = False
        target.replaced = True

    def on_answer(
        self, answer: RenewalAnswer, sent: float, acknowledged_end: int
    ) -> None:
        """Apply the runs and ends that a target reports.

        ``sent`` is the boot time at which the renewal was sent, and
        ``acknowledged_end`` the number of the last end that it acknowledged.
        """
        target = self.target
        now = self.clock.boottime()
        if answer.unreadable:
            self.metrics.count("renewal_rows_refused", answer.unreadable)
            if target.is_readable:
                log.warning(
                    "listed runs cannot be decoded",
                    target=target.report.target_id,
                    rows=answer.unreadable,
                )
        if answer.incarnation_ms != target.incarnation_ms:
            self.incarnations.on_new(answer)
            acknowledged_end = 0
        elif not target.refuses_late_calls:
            self.incarnations.on_late_calls_refused(answer)
        if target.clock is None:
            target.clock = TargetClock(answer.target_time_ms, now)
        target.clock.observe(answer.target_time_ms, now)
        if not target.reachable:
            log.info("target regained", target=target.report.target_id)
            target.reachable = True
            note_return(target, now)
            self.owner.on_target_regained(target)
        target.failed_renewals = 0
        target.replaced = False
        target.last_answer = now
        target.last_acknowledged_end = max(
            target.last_acknowledged_end, acknowledged_end
        )
        target.has_answered = True
        self.note_vote(answer, sent)
        was_fenced = target.fenced
        # What runs, and what has ended, is known only from a complete answer.
        is_complete = answer.lists_all_ends and not answer.unreadable
        target.fenced = was_fenced or is_complete
        target.is_readable = not answer.unreadable
        target.listed_ends = len(answer.ends)
        target.lists_all_ends = answer.lists_all_ends
        note_outlived_starts(self.owner, self.tables, target)
        self.apply_ends(answer)
        self.apply_active_runs(answer, now)
        self.apply_missing_runs(answer, sent)
        if not was_fenced:
            self.owner.wake_scheduler()

    def note_vote(self, answer: RenewalAnswer, sent: float) -> None:
        """Note that the target has refused nothing, in an incarnation that counts.

        One that answered while the store excluded a takeover has not forgotten any.
        """
        target = self.target
        if self.owner.is_confirmed():
            target.confirmed_incarnation_ms = answer.incarnation_ms
        if answer.incarnation_ms == target.confirmed_incarnation_ms:
            target.vote_sent_at = sent

    def lose_all_runs(self, why: str) -> None:
        """Remove all runs of the target, which has crashed or is cut off, as lost."""
        for run in list(self.target.runs.values()):
            self.lose_crashed_run(run, why)

    def lose_crashed_run(self, run: RunRow, why: str) -> None:
        """Remove a run of the target, which has crashed or is cut off."""
        self.lose_run(run, why, crashed=True)

    def lose_run(self, run: RunRow, why: str, crashed: bool = False) -> None:
        """Remove a run that cannot be active any more and whose end was not listed.

        ``crashed`` tells that the target may have crashed.
        """
        log.info(
            "run lost",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
            epoch=self.owner.epoch,
            why=why,
            listed_ends=self.target.listed_ends,
            failed_renewals=self.target.failed_renewals,
        )
        self.metrics.count("runs_lost")
        if crashed and is_suspect_of_crash(self.target, run):
            self.tables.remove_run(self.target, run)
            self.owner.on_crash_suspected(run)
        else:
            self.tables.remove_harmless_run(self.target, run)
        self.owner.wake_scheduler()

    def clear_suspicion(self, run: RunRow, now: float) -> None:
        """Clear the task of a run that has survived its start."""
        if run.task is None or not has_survived(run, now):
            return
        if not run.task.is_suspected():
            return
        self.tables.clear_suspicion(run.task)
        if run.job is not None:
            self.owner.on_job_changed(run.job)

    def apply_ends(self, answer: RenewalAnswer) -> None:
        """Apply the ends with a higher number than the last one applied.

        One that could not be decoded may come before them, so they wait until what the
        target ran has expired.
        """
        if answer.unreadable and not self.lease.has_expired():
            return
        for end in answer.ends:
            if end.number <= self.target.last_applied_end:
                continue
            run = self.target.runs.get(end.run)
            if run is not None and end.kind is EndKind.DONE:
                self.owner.on_run_done(run)
            task = self.tables.task(end.run.task)
            held = task is not None and task.is_held_as_crash(end.run.attempt)
            job = apply_end(self.tables, self.target, end)
            # A lasting task may fail at any time through no fault of its target, so its
            # ends are not held against the target.
            lasting = run is not None and run.lasting
            if not lasting and update_health(self.target, end, self.clock.boottime()):
                log.warning(
                    "target quarantined",
                    target=self.target.report.target_id,
                    times=self.target.quarantines,
                )
            self.metrics.count("run_ends", kind=end.kind.value)
            lost = self.lost_work(run, end)
            log.info(
                "run ended",
                request_id=end.run.task.step.job_id,
                step=end.run.task.step.step,
                task=end.run.task.index,
                attempt=end.run.attempt,
                target=self.target.report.target_id,
                number=end.number,
                outcome=end.kind.value,
                lost_work=round(lost, 1),
                why=run.stop_reason if run is not None else "",
                held_as_crash=held,
            )
            if job is not None:
                self.owner.on_job_changed(job)
            self.owner.wake_scheduler()

    def lost_work(self, run: RunRow | None, end: RunEnd) -> float:
        """Return the core-seconds of work that the end of a run has lost, and count it.

        What an unknown run has worked is not known.
        """
        if run is None or end.kind is EndKind.DONE:
            return 0.0
        lost = unsaved_work(run, self.clock.boottime())
        cause = run.stop_reason or end.kind.value
        self.metrics.count("lost_core_seconds", round(lost), cause=cause)
        return lost

    def apply_active_runs(self, answer: RenewalAnswer, now: float) -> None:
        """Confirm listed runs, adopt unknown ones, and update progress."""
        for active in answer.active:
            run = self.target.runs.get(active.run)
            if run is None:
                run = adopt_run(
                    self.tables, self.target, active.run, active.percent, now
                )
                log.info(
                    "run adopted",
                    request_id=active.run.task.step.job_id,
                    task=active.run.task.index,
                    attempt=active.run.attempt,
                    target=self.target.report.target_id,
                )
                job = self.tables.jobs.get(active.run.task.step.job_id)
                if job is not None and job.state is JobState.ACTIVE:
                    self.owner.on_job_changed(job)
                self.owner.on_run_confirmed(run)
                self.owner.wake_scheduler()
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.ACTIVE
            if not run.confirmed:
                run.confirmed = True
                self.owner.on_run_confirmed(run)
            run.times_missing = 0
            run.reported_at = now
            self.clear_suspicion(run, now)
            if active.percent != run.percent:
                run.percent = active.percent
                run.percent_changed_at = now
            self.save_checkpoint(run, active.checkpoint)

    def save_checkpoint(self, run: RunRow, checkpoint: str) -> None:
        """Set the task's checkpoint to the newest one of its current run."""
        task = self.tables.task(run.key.task)
        if checkpoint and task is not None and task.run is run:
            task.checkpoint = checkpoint

    def apply_missing_runs(self, answer: RenewalAnswer, sent: float) -> None:
        """Remove runs that are not listed and cannot be active on the target.

        Stops confirmed and runs started after the renewal was ``sent`` are not judged
        by its answer, which may be older than they are. Neither is any run while the
        target has more ends than it could list, as the end of the run may be among
        these, or while the run may be one of the rows that could not be decoded.
        """
        if not answer.lists_all_ends:
            return
        if answer.unreadable and not self.lease.has_expired():
            return
        target = self.target
        listed_runs = {active.run for active in answer.active}
        for run in list(target.runs.values()):
            if run.key in listed_runs:
                continue
            if run.stop_confirmed_at and run.stop_confirmed_at < sent:
                self.lose_run(run, "stopped before it started", run.sent_before_restart)
            elif run.confirmed and run.started_at < sent:
                run.times_missing += 1
                if run.times_missing >= MAX_TIMES_MISSING:
                    restarted = run.incarnation_ms != target.incarnation_ms
                    self.lose_run(run, "missing from the target's list", restarted)
            elif run.sent_before_restart and target.refuses_late_calls:
                self.lose_run(run, "refused after the restart", crashed=True)
            elif not run.confirmed and self.start_has_expired(run):
                self.lose_run(run, "start order expired")

    def start_has_expired(self, run: RunRow) -> bool:
        """Return whether the target would refuse every copy of the start order now.

        An order from before the target's restart may carry any time of the new clock.
        """
        clock = self.target.clock
        if clock is None or not run.order_expires_ms or run.sent_before_restart:
            return False
        return clock.target_ms > run.order_expires_ms

    def check_lease(self) -> None:
        """Remove the runs of an unreachable target once its lease has expired.

        Those of which a copy may still arrive after a restart are kept until then.
        """
        target = self.target
        if target.failed_renewals < MAX_FAILED_RENEWALS:
            return
        if not target.runs:
            self.owner.on_target_idle(target)
        elif self.lease.has_expired():
            for run in list(target.runs.values()):
                if not self.may_run_copy(run):
                    self.lose_run(run, "lease expired", crashed=True)

    def may_run_copy(self, run: RunRow) -> bool:
        """Return whether the silent target may have restarted and run a late copy.

        That may be a copy of any start of the task that the target left unanswered. A
        start was lost with the target's link if nothing was heard of the target since.
        """
        if run.job is None:
            return False
        now = self.clock.boottime()
        return any(
            start.outlived
            and key.task == run.key.task
            and start.target_id == run.target_id
            and self.owner.late_starts.may_run(
                SentStart(start.target_id, start.incarnation_ms, key), now
            )
            for key, start in run.job.unanswered.items()
        )


def create_target_session(
    owner: TermOwner,
    tables: FleetTables,
    target: TargetRow,
    targets: Targets,
    clock: FleetClock,
    metrics: Metrics,
) -> TargetSession:
    """Return a session whose ``run`` has not been started."""
    return TargetSession(owner, tables, target, targets, clock, metrics)
