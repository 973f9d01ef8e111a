"""Lease renewal of one target and what its lists say.

One renewal is under way at a time, so its answers are in order. The answer comes as
soon as a run ends.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

import structlog
from returns.result import Failure

from egretloft._internal.fleet.clocks import MILLISECONDS, TargetClock
from egretloft._internal.fleet.constants import (
    LEASE_SECONDS,
    RENEWAL_ANSWER_SECONDS,
    RENEWAL_WAIT_SECONDS,
)
from egretloft._internal.fleet.interfaces import FleetClock, Targets
from egretloft._internal.fleet.lifecycle import adopt_run, apply_end, remove_run
from egretloft._internal.fleet.models import (
    EndKind,
    JobState,
    RenewalAnswer,
    StartRefusal,
    TargetFailure,
)
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    TargetRow,
)
from egretloft._internal.fleet.target_health import update_health
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# Silent renewals after which a target gets no new work.
SILENT_RENEWALS = 2
RETRY_SECONDS = 0.15
# Renewals go on at this pace while ends wait for the store.
UNRECORDED_PAUSE_SECONDS = 0.25
# A run that is missing from this many lists in a row has ended unlisted.
ABSENCES = 2
# An idle target is looked at this often.
IDLE_WAIT_SECONDS = 5.0


class TermOwner(Protocol):
    """What a session asks of the leader."""

    epoch: int

    def may_order(self) -> bool:
        """Return whether the leader may give orders and renew leases."""

    def on_job_changed(self, job: JobRow) -> None:
        """Have a job's progress written and the queue looked at."""

    def on_room_changed(self) -> None:
        """Have the queue looked at."""

    def on_run_done(self, run: RunRow) -> None:
        """Learn from a run that is done, before its task is marked so."""

    def on_fenced(self) -> None:
        """End the term: a target has seen a newer epoch."""


class TargetSession:
    """Keeps the lease of one target and applies its lists to the tables."""

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

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            if not self.needs_renewal():
                await self.idle()
                continue
            if not self.owner.may_order():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            await self.renew_once()

    def needs_renewal(self) -> bool:
        """Return whether there is a run to keep or an end to acknowledge."""
        target = self.target
        if not target.fenced or target.runs:
            return True
        return target.last_applied_end > target.last_acknowledged_end

    async def idle(self) -> None:
        """Wait until there is a lease to renew."""
        self.wake.clear()
        # asyncio.wait_for loses a cancel that comes as the wait ends.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_WAIT_SECONDS):
                await self.wake.wait()

    def lease(self) -> int | None:
        """Return the lease to ask for, on the target's clock, or ``None``.

        A target that did not answer is only looked at, so that its lease can run out.
        """
        target = self.target
        if target.clock is None or target.silent_renewals or not target.runs:
            return None
        now_ms = target.clock.earliest_ms(self.clock.boottime())
        return int(now_ms + LEASE_SECONDS * MILLISECONDS)

    async def renew_once(self) -> None:
        """Renew once and apply the answer."""
        target = self.target
        expires = self.lease()
        unrecorded = target.last_applied_end > target.last_recorded_end
        if unrecorded:
            await self.pause_for_record()
        settled = target.fenced and expires is not None
        wait = (
            RENEWAL_WAIT_SECONDS
            if settled and target.last_applied_end <= target.last_recorded_end
            else 0.0
        )
        if expires is not None:
            target.lease_ends_ms = max(target.lease_ends_ms, expires)
        sent = self.clock.boottime()
        last_recorded_end = target.last_recorded_end
        result = await self.targets.renew(
            target.report,
            self.owner.epoch,
            last_recorded_end,
            expires,
            wait,
            wait + RENEWAL_ANSWER_SECONDS,
        )
        if isinstance(result, Failure):
            await self.on_failure(result.failure())
            return
        self.on_answer(result.unwrap(), sent, last_recorded_end)

    async def pause_for_record(self) -> None:
        """Give the recorder a moment, so that the next renewal acknowledges."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(UNRECORDED_PAUSE_SECONDS):
                await self.recorded()

    async def recorded(self) -> None:
        """Wait until the ends seen so far are recorded."""
        while self.target.last_applied_end > self.target.last_recorded_end:
            await asyncio.sleep(0.005)

    async def on_failure(self, failure: TargetFailure) -> None:
        """Note a renewal without success."""
        target = self.target
        if failure.refusal is StartRefusal.FENCED:
            self.owner.on_fenced()
            return
        if failure.refusal is StartRefusal.OTHER_INCARNATION:
            log.info("target replaced", target=target.report.target_id)
            self.lose_runs("another life of the target")
            target.listed = False
            await asyncio.sleep(RETRY_SECONDS)
            return
        target.silent_renewals += 1
        self.metrics.count("renewal_failures")
        if target.silent_renewals == SILENT_RENEWALS:
            target.reachable = False
            log.warning(
                "target lost", target=target.report.target_id, error=failure.message
            )
        await asyncio.sleep(RETRY_SECONDS)

    def on_answer(
        self, answer: RenewalAnswer, sent: float, last_recorded_end: int
    ) -> None:
        """Apply a target's lists."""
        target = self.target
        now = self.clock.boottime()
        if answer.incarnation_ms != target.incarnation_ms:
            self.on_new_life(answer)
            last_recorded_end = 0
        if target.clock is None:
            target.clock = TargetClock(answer.target_time_ms, now)
        target.clock.observe(answer.target_time_ms, now)
        if not target.reachable:
            log.info("target regained", target=target.report.target_id)
        target.reachable = True
        target.silent_renewals = 0
        target.last_answer = now
        target.last_acknowledged_end = max(
            target.last_acknowledged_end, last_recorded_end
        )
        was_touched = target.fenced
        target.fenced = True
        self.apply_ends(answer)
        self.apply_active(answer, now)
        self.apply_absences(answer, sent, now)
        if not was_touched:
            self.owner.on_room_changed()

    def on_new_life(self, answer: RenewalAnswer) -> None:
        """Forget the target's former life; its clock and numbers start anew."""
        target = self.target
        if target.incarnation_ms:
            log.info(
                "target started again",
                target=target.report.target_id,
                born=answer.incarnation_ms,
            )
        target.incarnation_ms = answer.incarnation_ms
        target.clock = None
        target.lease_ends_ms = 0.0
        target.last_recorded_end = target.last_applied_end = (
            target.last_acknowledged_end
        ) = 0
        present = {active.run for active in answer.active}
        for run in list(target.runs.values()):
            unsure = run.phase is RunPhase.STARTING and not run.confirmed
            if run.key not in present and not unsure:
                self.lose(run, "the target started again")

    def lose_runs(self, why: str) -> None:
        """Remove all runs of the target."""
        for run in list(self.target.runs.values()):
            self.lose(run, why)

    def lose(self, run: RunRow, why: str) -> None:
        """Remove a run that has certainly ended without a listed end."""
        log.info(
            "run lost",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
            why=why,
        )
        self.metrics.count("runs_lost")
        remove_run(self.target, run, self.tables.task(run.key.task))
        self.owner.on_room_changed()

    def apply_ends(self, answer: RenewalAnswer) -> None:
        """Apply the ends that are new."""
        for end in answer.ends:
            if end.number <= self.target.last_applied_end:
                continue
            run = self.target.runs.get(end.run)
            if run is not None and end.kind is EndKind.DONE:
                self.owner.on_run_done(run)
            job = apply_end(self.tables, self.target, end)
            # A task that lasts may fail at any time without its target's fault.
            lasting = run is not None and run.lasting
            if not lasting and update_health(self.target, end, self.clock.boottime()):
                log.warning(
                    "target quarantined",
                    target=self.target.report.target_id,
                    times=self.target.quarantines,
                )
            self.metrics.count("run_ends", kind=end.kind.value)
            log.info(
                "run ended",
                request_id=end.run.task.step.job_id,
                step=end.run.task.step.step,
                task=end.run.task.index,
                attempt=end.run.attempt,
                target=self.target.report.target_id,
                number=end.number,
                outcome=end.kind.value,
            )
            if job is not None:
                self.owner.on_job_changed(job)
            self.owner.on_room_changed()

    def apply_active(self, answer: RenewalAnswer, now: float) -> None:
        """Confirm runs, adopt unknown ones and note their progress."""
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
                self.owner.on_room_changed()
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.ACTIVE
            run.confirmed = True
            run.absences = 0
            if active.percent != run.percent:
                run.percent = active.percent
                run.percent_changed_at = now
            self.save(run, active.checkpoint)

    def save(self, run: RunRow, checkpoint: str) -> None:
        """Keep the newest checkpoint of a running task."""
        task = self.tables.task(run.key.task)
        if checkpoint and task is not None and task.run is run:
            task.checkpoint = checkpoint

    def apply_absences(self, answer: RenewalAnswer, sent: float, now: float) -> None:
        """Remove runs that the target certainly does not have."""
        target = self.target
        present = {active.run for active in answer.active}
        for run in list(target.runs.values()):
            if run.key in present:
                continue
            if run.stop_confirmed_at and run.stop_confirmed_at < sent:
                self.lose(run, "stopped before it started")
            elif run.confirmed and run.started_at < sent:
                run.absences += 1
                if run.absences >= ABSENCES:
                    self.lose(run, "missing from the target's list")
            elif not run.confirmed and self.has_expired(run, now):
                self.lose(run, "the order expired")

    def has_expired(self, run: RunRow, now: float) -> bool:
        """Return whether an unanswered order can no longer be carried out."""
        clock = self.target.clock
        if clock is None or not run.order_expires_ms:
            return False
        return clock.target_ms > run.order_expires_ms

    def check_lease(self) -> None:
        """Remove the runs of a silent target once its lease has certainly ended."""
        target = self.target
        if target.silent_renewals < SILENT_RENEWALS or not target.runs:
            return
        if target.clock is None:
            return
        latest = max(
            [target.lease_ends_ms, *(r.order_expires_ms for r in target.runs.values())]
        )
        if target.clock.has_passed(latest, self.clock.boottime()):
            self.lose_runs("the lease ended")


def create_target_session(
    owner: TermOwner,
    tables: FleetTables,
    target: TargetRow,
    targets: Targets,
    clock: FleetClock,
    metrics: Metrics,
) -> TargetSession:
    """Return a session that has not fenced its target."""
    return TargetSession(owner, tables, target, targets, clock, metrics)
