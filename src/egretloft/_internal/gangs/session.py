"""One epoch of a gang owner: its tables, its operations and the scheduler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import structlog
from returns.result import Failure, Success

from egretloft._internal.gangs.adoption import adopt, adoption_event
from egretloft._internal.gangs.context import COMMIT_TIMEOUT_SECONDS, OwnerContext
from egretloft._internal.gangs.ending import end_gang, end_queued, stop_gang
from egretloft._internal.gangs.entities import Gang
from egretloft._internal.gangs.interfaces import Scheduler
from egretloft._internal.gangs.inventory import WorkerInventory
from egretloft._internal.gangs.records import (
    MAX_ROWS_PER_TRANSACTION,
    JobRow,
    epoch_check,
)
from egretloft._internal.gangs.renewal import LeaseRenewal
from egretloft._internal.gangs.starting import settle_start, start_gang
from egretloft._internal.gangs.stopping import stop_members
from egretloft._internal.gangs.watch import ClusterWatch
from egretloft._internal.models.jobs import TERMINAL_STATES, JobState
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.scheduling.decisions import (
    Decision,
    EndJob,
    QuarantineWorker,
    StartGang,
    StopGang,
)
from egretloft._internal.scheduling.events import (
    Event,
    GangStartFailed,
    JobCancelled,
)

log = structlog.get_logger(__name__)

# Rows of ended jobs are kept for repeats of their submission and for look-ups. With
# 1,400 jobs a day a successor reads about 10,000 rows.
RETENTION_SECONDS = 7 * 86_400
DELETE_PERIOD_SECONDS = 60.0

# Workers that do not answer hold up the scheduling on the others no longer than this.
LIST_WAIT_SECONDS = 2.5
# Periods of the work that goes over all workers, which takes some milliseconds with
# 1,500 of them, and of the scheduler.
WATCH_SECONDS = 0.5
SCHEDULE_SECONDS = 0.2

# Period of the scan for new jobs and cancellations: two reads a second.
SCAN_SECONDS = 0.5

Operation = Callable[[], Coroutine[Any, Any, tuple[Event, ...]]]


@dataclass(slots=True, frozen=True)
class EndedJob:
    """Version of the row of an ended job, and its end in Unix seconds."""

    version: int
    ended_at: float


class OwnerSession:
    """Gangs of a region while one epoch lasts; built anew for each epoch."""

    def __init__(self, context: OwnerContext, scheduler: Scheduler) -> None:
        self.context = context
        self.scheduler = scheduler
        self.gangs: dict[str, Gang] = {}
        # An older row of an ended job in a scan under way is ignored.
        self.ended: dict[str, EndedJob] = {}
        self.delete_due_at = 0.0
        self.renewal = LeaseRenewal(context, self._member_changed)
        self.inventory = WorkerInventory(context, self.gangs)
        self.watch = ClusterWatch(context, self.inventory)
        self.tasks: set[asyncio.Task[None]] = set()
        self.scan: asyncio.Task[None] | None = None
        self.scan_due_at = 0.0
        self.scanned_version = 0
        self.loaded_at: float | None = None
        self.watch_due_at = 0.0
        self.schedule_due_at = 0.0
        # Set when the scheduler knows the workers and the adopted gangs.
        self.scheduling = False
        self.held_events: list[Event] = []
        self.cancelled: set[str] = set()

    def tick(self) -> None:
        """Renew, read changes, schedule and start operations; never waits."""
        self.renewal.tick()
        now = self.context.clock.monotonic()
        watching = self.watch_due_at <= now
        if watching:
            self.watch_due_at = now + WATCH_SECONDS
            self.inventory.tick()
        if self.scan is None and self.scan_due_at <= now:
            self.scan_due_at = now + SCAN_SECONDS
            self.scan = self._spawn(self._scan())
        if not self.scheduling:
            if self.loaded_at is None:
                return
            waited = now - self.loaded_at
            if waited < LIST_WAIT_SECONDS and not self.inventory.all_tried():
                return
            self._begin_scheduling()
        if not self.context.may_send():
            return
        self._cancel_queued()
        if self.delete_due_at <= now:
            self.delete_due_at = now + DELETE_PERIOD_SECONDS
            self._spawn(self._delete_old_rows())
        if watching:
            for event in self.watch.changes():
                self.scheduler.apply(event)
        if self.schedule_due_at > now:
            return
        self.schedule_due_at = now + SCHEDULE_SECONDS
        for decision in self.scheduler.tick(self.context.clock.wall()):
            self._carry_out(decision)
        self.context.metrics.set_gauge("gangs", len(self.gangs))

    def close(self) -> None:
        """End all operations; what they left half done is settled from the rows."""
        for task in list(self.tasks):
            task.cancel()
        self.renewal.close()
        self.inventory.close()

    async def _scan(self) -> None:
        try:
            match await self.context.jobs.scan(self.scanned_version):
                case Success(scan):
                    for row in scan.rows:
                        self._take_row(row)
                    self.scanned_version = max(self.scanned_version, scan.as_of)
                    if self.loaded_at is None:
                        self.loaded_at = self.context.clock.monotonic()
                        self.inventory.enabled = True
                        self.watch_due_at = 0.0
                case Failure(failure):
                    self.context.metrics.count("job_scan_failures")
                    log.warning("job rows cannot be read", error=failure.message)
        finally:
            self.scan = None

    def _take_row(self, row: JobRow) -> None:
        job_id = row.record.spec.job_id
        gang = self.gangs.get(job_id)
        if gang is not None:
            if gang.take_row(row) and row.record.cancel_requested:
                self._review(gang)
            return
        ended = self.ended.get(job_id)
        if ended is not None and row.version <= ended.version:
            return
        if row.record.state in TERMINAL_STATES:
            self.ended[job_id] = EndedJob(row.version, row.record.ended_at)
            return
        gang = adopt(self.context, row, self.renewal)
        self.gangs[job_id] = gang
        for member in gang.members:
            self.watch.needed_workers.add(member.placement.worker_id)
        # Told in the state in which the job was found, before the events of its
        # operations, which may end while the workers are still being listed.
        self._apply((adoption_event(gang),))
        self._review(gang)

    def _begin_scheduling(self) -> None:
        for event in self.watch.changes():
            self.scheduler.apply(event)
        self.scheduling = True
        held, self.held_events = self.held_events, []
        self._apply(tuple(held))

    def _review(self, gang: Gang) -> None:
        """Start the operation that the state of an idle gang calls for."""
        if gang.operation is not None or gang.job_id not in self.gangs:
            return
        state = gang.record.state
        if state in TERMINAL_STATES:
            self._forget(gang)
        elif state is JobState.QUEUED:
            if gang.record.cancel_requested:
                self.cancelled.add(gang.job_id)
            elif gang.end_reason is not None:
                self._operate(gang, partial(self._end_queued, gang, gang.end_reason))
        elif state is JobState.STARTING:
            self._operate(
                gang,
                partial(
                    settle_start,
                    self.context,
                    gang,
                    released_before=gang.record.released,
                ),
            )
        elif (
            gang.broken
            or gang.complete
            or gang.record.cancel_requested
            or gang.end_reason is not None
        ):
            self._operate(gang, partial(end_gang, self.context, gang, self.renewal))
        elif state is JobState.STOPPING or gang.stop_requested:
            self._operate(
                gang,
                partial(
                    stop_gang, self.context, gang, self.renewal, gang.record.reason
                ),
            )

    def _member_changed(self, gang: Gang) -> None:
        if gang.broken:
            # The other members stop at once, whatever operation is under way; a
            # write that it waits for may take as long as an outage.
            self.renewal.detach(gang)
            self._spawn(self._stop_rest(gang))
        self._review(gang)

    async def _stop_rest(self, gang: Gang) -> None:
        await stop_members(self.context, gang)

    def _carry_out(self, decision: Decision) -> None:
        self.context.metrics.count("decisions", kind=type(decision).__name__)
        if isinstance(decision, QuarantineWorker):
            log.info("worker quarantined", worker=decision.worker_id)
            return
        gang = self.gangs.get(decision.job_id)
        if gang is None:
            self.context.metrics.count("decisions_without_gang")
            return
        if isinstance(decision, StartGang):
            self._start(gang, decision)
        elif isinstance(decision, StopGang):
            if not gang.record.spec.restartable:
                self.context.metrics.count("decisions_refused")
                log.error("stop of a job that cannot restart", job=gang.job_id)
                return
            gang.stop_requested = True
            if gang.operation is None and gang.record.state is JobState.RUNNING:
                self._operate(
                    gang,
                    partial(
                        stop_gang,
                        self.context,
                        gang,
                        self.renewal,
                        decision.reason.value,
                    ),
                )
        elif isinstance(decision, EndJob):
            gang.end_reason = decision.reason
            self._review(gang)

    def _start(self, gang: Gang, decision: StartGang) -> None:
        unlisted = tuple(
            part.worker_id
            for part in decision.placement
            if not self.inventory.is_listed(part.worker_id)
        )
        if gang.operation is not None or unlisted:
            now = self.context.clock.wall()
            self.scheduler.apply(GangStartFailed(gang.job_id, now, unlisted))
            return
        self._operate(
            gang,
            partial(start_gang, self.context, gang, decision.placement, self.renewal),
        )

    def _cancel_queued(self) -> None:
        waiting = [
            gang
            for job_id in self.cancelled
            if (gang := self.gangs.get(job_id)) is not None
            and gang.operation is None
            and gang.record.state is JobState.QUEUED
        ]
        self.cancelled.clear()
        for first in range(0, len(waiting), MAX_ROWS_PER_TRANSACTION):
            batch = waiting[first : first + MAX_ROWS_PER_TRANSACTION]
            task = self._spawn(self._cancel_batch(batch))
            for gang in batch:
                gang.operation = task

    async def _cancel_batch(self, batch: list[Gang]) -> None:
        now = self.context.clock.wall()
        epoch = self.context.epoch()
        if epoch is not None:
            changes = [
                (
                    gang.row,
                    replace(
                        gang.record,
                        state=JobState.CANCELLED,
                        reason=Reason.CANCELLED.value,
                        ended_at=now,
                    ),
                )
                for gang in batch
            ]
            async with self.context.commits:
                result = await self.context.jobs.replace_all(
                    changes, (epoch_check(epoch),), COMMIT_TIMEOUT_SECONDS
                )
            if isinstance(result, Success):
                for gang, row in zip(batch, result.unwrap(), strict=True):
                    gang.take_row(row)
        # Rows that the batch did not change are written one by one.
        for gang in batch:
            done = gang.record.state is JobState.CANCELLED or await end_queued(
                self.context, gang, JobState.CANCELLED, Reason.CANCELLED
            )
            gang.operation = None
            if done or gang.record.state is JobState.CANCELLED:
                self._apply((JobCancelled(gang.job_id),))
            self._review(gang)

    async def _delete_old_rows(self) -> None:
        limit = self.context.clock.wall() - RETENTION_SECONDS
        old = [job_id for job_id, job in self.ended.items() if job.ended_at < limit]
        batch = old[:MAX_ROWS_PER_TRANSACTION]
        epoch = self.context.epoch()
        if not batch or epoch is None:
            return
        versions = {job_id: self.ended[job_id].version for job_id in batch}
        if await self.context.jobs.delete_all(
            versions, (epoch_check(epoch),), COMMIT_TIMEOUT_SECONDS
        ):
            self.context.metrics.count("job_rows_deleted", len(batch))
            for job_id in batch:
                del self.ended[job_id]

    async def _end_queued(self, gang: Gang, reason: Reason) -> tuple[Event, ...]:
        await end_queued(self.context, gang, JobState.FAILED, reason)
        return ()

    def _operate(self, gang: Gang, operation: Operation) -> None:
        gang.operation = self._spawn(self._carry_through(gang, operation))

    async def _carry_through(self, gang: Gang, operation: Operation) -> None:
        try:
            events = await operation()
        finally:
            gang.operation = None
        if gang.record.state is JobState.QUEUED:
            gang.stop_requested = False
        self._apply(events)
        self._review(gang)

    def _apply(self, events: tuple[Event, ...]) -> None:
        if self.scheduling:
            for event in events:
                self.scheduler.apply(event)
        else:
            self.held_events.extend(events)

    def _forget(self, gang: Gang) -> None:
        self.renewal.detach(gang)
        self.ended[gang.job_id] = EndedJob(gang.row.version, gang.record.ended_at)
        del self.gangs[gang.job_id]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Outcomes are values, so this is a defect. The tables may no longer
            # agree with the rows and are built again from them.
            self.context.abandoned = True
            self.context.metrics.count("gang_operation_errors")
            log.error("gang operation failed", exc_info=task.exception())


def create_owner_session(context: OwnerContext, scheduler: Scheduler) -> OwnerSession:
    """Return a session that has not read anything yet."""
    return OwnerSession(context, scheduler)
