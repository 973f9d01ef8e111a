"""Start and stop orders to targets, with retries.

Starts are idempotent: retries carry the same attempt number, which a target carries
out once. A start expires on the target's clock, so that a copy that is delivered late
has no effect. That does not hold for a target that restarts while it is cut off, so a
task does not leave a target for a few calls without an answer.
"""

from __future__ import annotations

import asyncio

import structlog
from returns.result import Failure, Result

from egretloft._internal.fleet.call_pacer import STOP_PRIORITY, create_call_pacer
from egretloft._internal.fleet.clocks import MILLISECONDS
from egretloft._internal.fleet.constants import (
    MAX_CALL_DELAY_SECONDS,
    ORDER_TIMEOUT_SECONDS,
    START_EXPIRY_SECONDS,
)
from egretloft._internal.fleet.interfaces import FleetClock, Targets
from egretloft._internal.fleet.late_starts import SentStart
from egretloft._internal.fleet.models import (
    StartOrder,
    StartRefusal,
    TargetFailure,
    TargetFailureKind,
)
from egretloft._internal.fleet.records import UnansweredStart
from egretloft._internal.fleet.sessions import note_outlived_starts
from egretloft._internal.fleet.tables import FleetTables, RunPhase, RunRow, TargetRow
from egretloft._internal.fleet.target_health import quarantine
from egretloft._internal.fleet.term_owner import TermOwner
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

MAX_START_COPIES = 5
# The last call for a member of a gang times out before the gang is stopped as
# incomplete, so that the next plan avoids the silent target.
MAX_GANG_START_COPIES = 4
# Copies of a start for a task that has left another target already: it has waited for
# that one, and has to run within 3 s.
MAX_START_COPIES_AFTER_FAILURE = 3
# A start is not sent later than this after it was decided. Its task is placed again, by
# what is known of targets and zones then.
MAX_DECISION_AGE_SECONDS = 1.5
# Pause between retries of a stop.
STOP_RETRY_SECONDS = 0.2
# A target that refuses a start is in quarantine for this long.
REFUSAL_BACKOFF_SECONDS = 1.0


class Orders:
    """Sends start and stop orders for one leader."""

    def __init__(
        self,
        owner: TermOwner,
        tables: FleetTables,
        targets: Targets,
        clock: FleetClock,
        metrics: Metrics,
    ) -> None:
        self.owner = owner
        self.tables = tables
        self.targets = targets
        self.clock = clock
        self.metrics = metrics
        self.pacer = create_call_pacer()

    async def start(self, target: TargetRow, run: RunRow) -> None:
        """Send copies of a start until one of them is answered, or there are enough.

        Without an answer the session confirms the run from the target's list, or
        removes it once it has been stopped or the order has expired.
        """
        may_have_started = False
        failure: TargetFailure | None = None
        for _ in range(max_start_copies(run)):
            slot = await self.pacer.acquire(run.target_id, run.priority)
            try:
                # Read first, so that a suspension in between prolongs no order.
                now = self.clock.boottime()
                allowed = self.may_start(target, run)
                order = self.start_order(target, run, now) if allowed else None
                if order is None:
                    if failure is not None and self.is_too_old(target, run):
                        break
                    self.remove_unsent(target, run)
                    return
                sent = self.clock.boottime()
                incarnation_ms = target.incarnation_ms
                result = await self.send_start(target, order, sent)
            finally:
                self.pacer.release(slot)
            if target.incarnation_ms != incarnation_ms:
                # The former incarnation may have answered. The session knows the runs
                # of the new one.
                return
            if not isinstance(result, Failure):
                self.on_started(target, run, result.unwrap(), sent)
                return
            failure = result.failure()
            if failure.kind is TargetFailureKind.REFUSED:
                self.on_refused(target, run, failure, may_have_started)
                return
            may_have_started |= failure.kind is not TargetFailureKind.NOT_SENT
            self.metrics.count("start_unanswered", kind=failure.kind.value)
        log.warning(
            "start in doubt" if may_have_started else "start never sent",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
            incarnation=run.incarnation_ms,
            expires_ms=int(run.order_expires_ms),
            error=failure.message if failure is not None else "",
        )
        self.avoid_silent_target(target, run)
        if not may_have_started and run.key in target.runs:
            self.tables.remove_harmless_run(target, run)
            self.owner.wake_scheduler()
        elif self.is_given_up(run):
            self.owner.stop_run(run, "start without an answer")

    def is_given_up(self, run: RunRow) -> bool:
        """Return whether a start is not there though its target has answered since.

        If the target has not, it may run the task unheard, and go on with it.
        """
        if run.phase is not RunPhase.STARTING or run.confirmed or run.job is None:
            return False
        start = run.job.unanswered.get(run.key)
        return start is not None and start.outlived

    async def send_start(
        self, target: TargetRow, order: StartOrder, sent: float
    ) -> Result[int, TargetFailure]:
        """Send a copy of a start, and note until when it may arrive.

        The target is asked for as long as one without an answer may, so that a restart
        is noticed at once.
        """
        timeout = self.owner.extend_timeout(ORDER_TIMEOUT_SECONDS)
        late_starts = self.owner.late_starts
        start = SentStart(target.report.target_id, target.incarnation_ms, order.run)
        former = late_starts.note_sent(start, sent + timeout)
        result = await self.targets.start(target.report, order, timeout)
        if is_settled(result):
            late_starts.note_answered(start, self.clock.boottime(), former)
        else:
            until = sent + timeout + MAX_CALL_DELAY_SECONDS
            target.watched_until = max(target.watched_until, until)
            if start.run not in target.unanswered:
                target.unanswered.append(start.run)
            self.store_unanswered(start, until)
        if is_answered(result):
            note_outlived_starts(self.owner, self.tables, target)
        return result

    def store_unanswered(self, start: SentStart, until: float) -> None:
        """Let the store tell a later leader of a start whose copies may arrive late.

        ``until`` is in seconds of the boot-time clock.
        """
        task = start.run.task
        job = self.tables.jobs.get(task.step.job_id)
        if job is None:
            return
        wall = self.clock.wall()
        record = UnansweredStart(
            start.target_id,
            start.incarnation_ms,
            task.step.occurrence,
            task.step.step,
            task.index,
            start.run.attempt,
            wall + until - self.clock.boottime(),
        )
        job.note_unanswered(start.run, record, wall)
        self.owner.on_job_changed(job)

    def avoid_silent_target(self, target: TargetRow, run: RunRow) -> None:
        """Let the task, and others for a while, use other targets than a silent one.

        A target may answer renewals and lose all starts; the same plan would be made
        again. The members of a gang put it in quarantine once.
        """
        if run.phase is not RunPhase.STARTING or run.task is None:
            return
        run.in_doubt = True
        run.task.failed_on.add(run.target_id)
        now = self.clock.boottime()
        if target.quarantined_until <= now:
            quarantine(target, now)

    def remove_unsent(self, target: TargetRow, run: RunRow) -> None:
        """Remove a run that waits for its start if no order for it has been sent.

        Nothing else would end it, as no order of it can expire.
        """
        if run.phase is not RunPhase.STARTING or run.order_expires_ms:
            return
        log.info(
            "start order not sent",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
        )
        self.metrics.count("starts_not_sent")
        self.tables.remove_harmless_run(target, run)
        self.owner.wake_scheduler()

    def may_start(self, target: TargetRow, run: RunRow) -> bool:
        """Return whether the decision to start the run still holds.

        While the order waited, the run may have been given up with its target, and its
        task started elsewhere; the target or its zone may have been taken out of use,
        and the target may have restarted with other labels or less room.
        """
        if run.key not in target.runs or run.phase is not RunPhase.STARTING:
            return False
        if run.incarnation_ms != target.incarnation_ms:
            return False
        if not target.is_report_current():
            return False
        if not target.listed or target.report.draining:
            return False
        if self.owner.is_evacuated(target.report.zone):
            return False
        if self.decision_age_seconds(run) > MAX_DECISION_AGE_SECONDS:
            return False
        return self.owner.may_start_runs()

    def decision_age_seconds(self, run: RunRow) -> float:
        """Return how long ago the start was decided."""
        return self.clock.boottime() - run.started_at

    def is_too_old(self, target: TargetRow, run: RunRow) -> bool:
        """Return whether a start waits for an answer, and its decision is too old."""
        if run.key not in target.runs or run.phase is not RunPhase.STARTING:
            return False
        if run.confirmed or run.incarnation_ms != target.incarnation_ms:
            return False
        return self.decision_age_seconds(run) > MAX_DECISION_AGE_SECONDS

    def start_order(
        self, target: TargetRow, run: RunRow, now: float
    ) -> StartOrder | None:
        """Return the start order, or ``None`` if the job or the clock is unknown.

        Copies have the same expiry, which counts from ``now`` of the first one, unless
        it may pass before the call times out.
        """
        job = self.tables.jobs.get(run.key.task.step.job_id)
        task = self.tables.task(run.key.task)
        if job is None or task is None or target.clock is None:
            return None
        now_ms = target.clock.earliest_ms(now)
        if run.order_expires_ms < now_ms + ORDER_TIMEOUT_SECONDS * MILLISECONDS:
            run.order_expires_ms = now_ms + START_EXPIRY_SECONDS * MILLISECONDS
        # A target that refuses the start takes the lease from it all the same.
        target.lease_ends_ms = max(target.lease_ends_ms, run.order_expires_ms)
        return StartOrder(
            run=run.key,
            payload=job.accepted.spec.payload,
            expires_at_ms=int(run.order_expires_ms),
            fencing_token=target.fencing_token(self.owner.epoch),
            incarnation_ms=target.incarnation_ms,
            checkpoint=run.checkpoint,
        )

    def on_started(
        self, target: TargetRow, run: RunRow, target_ms: int, sent: float
    ) -> None:
        """Mark the run as confirmed and record how long the start took.

        ``target_ms`` is the target's clock in the answer; ``sent`` is the boot time at
        which the order was sent.
        """
        now = self.clock.boottime()
        if target.clock is not None:
            target.clock.observe(target_ms, now)
        run.confirmed = True
        run.percent_changed_at = now
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.ACTIVE
        self.metrics.observe_seconds("start_seconds", now - sent)

    def on_refused(
        self,
        target: TargetRow,
        run: RunRow,
        failure: TargetFailure,
        may_have_started: bool,
    ) -> None:
        """Remove the run and put the target in quarantine for a short time.

        If an earlier copy of the order may have been carried out, the run is kept until
        the session finds out from the target's list. If the target has seen a newer
        epoch, the term ends; but it may have seen a later token of this term if it was
        removed and added again while the order was under way.
        """
        refusal = failure.refusal
        self.metrics.count(
            "start_refusals", reason=refusal.value if refusal else "unreachable"
        )
        log.info(
            "start refused",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
            epoch=self.owner.epoch,
            reason=refusal.value if refusal else failure.message,
        )
        if refusal is StartRefusal.FENCED:
            if self.tables.targets.get(run.target_id) is target:
                self.owner.on_fenced()
            return
        if refusal is StartRefusal.RESTARTED:
            self.watch_restarted(target)
        if may_have_started:
            self.avoid_silent_target(target, run)
            return
        self.tables.remove_harmless_run(target, run)
        now = self.clock.boottime()
        target.quarantined_until = max(
            target.quarantined_until, now + REFUSAL_BACKOFF_SECONDS
        )
        self.owner.wake_scheduler()

    def watch_restarted(self, target: TargetRow) -> None:
        """Let the session ask a target that has restarted, which it may not know."""
        until = self.clock.boottime() + REFUSAL_BACKOFF_SECONDS
        target.watched_until = max(target.watched_until, until)
        self.owner.on_target_changed(target)

    async def stop(self, target: TargetRow, run: RunRow) -> None:
        """Send a stop, with retries, until the target confirms it or the run has ended.

        While the leader may not send orders, the stop waits: nothing else would end a
        run of which the start was never sent.
        """
        while run.key in target.runs:
            if not self.owner.may_issue_orders():
                await asyncio.sleep(STOP_RETRY_SECONDS)
                continue
            slot = await self.pacer.acquire(run.target_id, STOP_PRIORITY)
            try:
                if run.key not in target.runs:
                    return
                if not self.owner.may_issue_orders():
                    continue
                incarnation_ms = target.incarnation_ms
                timeout = self.owner.extend_timeout(ORDER_TIMEOUT_SECONDS)
                token = target.fencing_token(self.owner.epoch)
                result = await self.targets.stop(target.report, run.key, token, timeout)
            finally:
                self.pacer.release(slot)
            if target.incarnation_ms != incarnation_ms:
                # The former incarnation may have answered.
                continue
            if not isinstance(result, Failure):
                run.stop_confirmed_at = self.clock.boottime()
                return
            failure = result.failure()
            if failure.refusal is StartRefusal.FENCED:
                self.owner.on_fenced()
                return
            self.metrics.count("stop_failures")
            await asyncio.sleep(STOP_RETRY_SECONDS)


def max_start_copies(run: RunRow) -> int:
    """Return how many copies of a start may be sent without an answer."""
    if run.task is not None and run.task.failed_on:
        return MAX_START_COPIES_AFTER_FAILURE
    return MAX_GANG_START_COPIES if run.gang else MAX_START_COPIES


def is_settled(result: Result[int, TargetFailure]) -> bool:
    """Return whether the call certainly will not be carried out any more."""
    if not isinstance(result, Failure):
        return True
    return result.failure().kind is not TargetFailureKind.UNKNOWN


def is_answered(result: Result[int, TargetFailure]) -> bool:
    """Return whether the target has answered the call, be it with a refusal."""
    if not isinstance(result, Failure):
        return True
    return result.failure().kind is TargetFailureKind.REFUSED


def create_orders(
    owner: TermOwner,
    tables: FleetTables,
    targets: Targets,
    clock: FleetClock,
    metrics: Metrics,
) -> Orders:
    """Return the sender of one leader's orders."""
    return Orders(owner, tables, targets, clock, metrics)
