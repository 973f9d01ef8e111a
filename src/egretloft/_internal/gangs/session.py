"""Session of a gang owner: the in-memory state and operations of one epoch."""

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
from egretloft._internal.gangs.ending import end_gang, end_queued_job, stop_gang
from egretloft._internal.gangs.entities import Gang
from egretloft._internal.gangs.interfaces import Scheduler
from egretloft._internal.gangs.inventory import WorkerInventory
from egretloft._internal.gangs.records import (
    MAX_ROWS_PER_TRANSACTION,
    JobRow,
    epoch_check,
)
from egretloft._internal.gangs.renewal import LeaseRenewal
from egretloft._internal.gangs.starting import roll_back_start, start_gang
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

# Rows of ended jobs are kept so that repeated submissions and look-ups find them.
# With 1,400 jobs a day, a new owner reads about 10,000 rows.
RETENTION_SECONDS = 7 * 86_400
CLEANUP_PERIOD_SECONDS = 60.0

# Scheduling starts after this time even if some workers have not listed their tasks,
# so that unresponsive workers do not delay scheduling on the others.
WORKER_LIST_TIMEOUT_SECONDS = 2.5
# Period of the checks that iterate over all workers, which take some milliseconds with
# 1,500 of them.
WATCH_PERIOD_SECONDS = 0.5
# Period of the scheduler.
SCHEDULE_PERIOD_SECONDS = 0.2

# Period of the table scan for new jobs and cancellations: two reads a second.
SCAN_PERIOD_SECONDS = 0.5

Operation = Callable[[], Coroutine[Any, Any, tuple[Event, ...]]]


@dataclass(slots=True, frozen=True)
class EndedJob:
    """Row version of an ended job and the time at which it ended, in Unix seconds."""

    version: int
    ended_at: float


class OwnerSession:
    """Manages the gangs of a region during one ownership epoch.

    The in-memory state is not carried over: each epoch gets a new session, which
    loads the job rows.
    """

    def __init__(self, context: OwnerContext, scheduler: Scheduler) -> None:
        self.context = context
        self.scheduler = scheduler
        self.gangs: dict[str, Gang] = {}
        # A scan in progress may return an older row of a job that has ended since. The
        # stored version is used to ignore such rows.
        self.ended_jobs: dict[str, EndedJob] = {}
        self.cleanup_due_at = 0.0
        self.renewal = LeaseRenewal(context, self._on_run_over)
        self.inventory = WorkerInventory(context, self.gangs)
        self.watch = ClusterWatch(context, self.inventory)
        self.tasks: set[asyncio.Task[None]] = set()
        self.scan_task: asyncio.Task[None] | None = None
        self.scan_due_at = 0.0
        self.scanned_version = 0
        self.loaded_at: float | None = None
        self.watch_due_at = 0.0
        self.schedule_due_at = 0.0
        # Set once the scheduler has been notified of the workers and adopted gangs.
        # Events before that are buffered.
        self.scheduling_started = False
        self.buffered_events: list[Event] = []
        # Queued jobs with a requested cancellation that is not yet written.
        self.cancels_due: set[str] = set()

    def tick(self) -> None:
        """Start the renewals, scans, scheduling and operations that are due.

        Does not block: all I/O runs in separate tasks.
        """
        self.renewal.tick()
        now = self.context.clock.monotonic()
        watch_is_due = self.watch_due_at <= now
        if watch_is_due:
            self.watch_due_at = now + WATCH_PERIOD_SECONDS
            self.inventory.tick()
        if self.scan_task is None and self.scan_due_at <= now:
            self.scan_due_at = now + SCAN_PERIOD_SECONDS
            self.scan_task = self._create_task(self._scan())
        if not self.scheduling_started:
            if self.loaded_at is None:
                return
            waited = now - self.loaded_at
            if (
                waited < WORKER_LIST_TIMEOUT_SECONDS
                and not self.inventory.all_workers_tried()
            ):
                return
            self._begin_scheduling()
        if not self.context.may_send():
            return
        self._cancel_queued_jobs()
        if self.cleanup_due_at <= now:
            self.cleanup_due_at = now + CLEANUP_PERIOD_SECONDS
            self._create_task(self._delete_old_rows())
        if watch_is_due:
            for event in self.watch.changes():
                self.scheduler.apply(event)
        if self.schedule_due_at > now:
            return
        self.schedule_due_at = now + SCHEDULE_PERIOD_SECONDS
        for decision in self.scheduler.tick(self.context.clock.wall()):
            self._execute(decision)
        self.context.metrics.set_gauge("gangs", len(self.gangs))

    def close(self) -> None:
        """Cancel all operations.

        The next session completes or undoes unfinished operations on the basis of
        the job rows.
        """
        for task in list(self.tasks):
            task.cancel()
        self.renewal.close()
        self.inventory.close()

    async def _scan(self) -> None:
        try:
            match await self.context.jobs.scan(self.scanned_version):
                case Success(scan):
                    for row in scan.rows:
                        self._process_row(row)
                    self.scanned_version = max(self.scanned_version, scan.as_of)
                    if self.loaded_at is None:
                        self.loaded_at = self.context.clock.monotonic()
                        self.inventory.enabled = True
                        self.watch_due_at = 0.0
                case Failure(failure):
                    self.context.metrics.count("job_scan_failures")
                    log.warning("job rows cannot be read", error=failure.message)
        finally:
            self.scan_task = None

    def _process_row(self, row: JobRow) -> None:
        job_id = row.record.spec.job_id
        gang = self.gangs.get(job_id)
        if gang is not None:
            if gang.update_row(row) and row.record.cancel_requested:
                self._start_due_operation(gang)
            return
        ended = self.ended_jobs.get(job_id)
        if ended is not None and row.version <= ended.version:
            return
        if row.record.state in TERMINAL_STATES:
            self.ended_jobs[job_id] = EndedJob(row.version, row.record.ended_at)
            return
        gang = adopt(self.context, row, self.renewal)
        self.gangs[job_id] = gang
        for member in gang.members:
            self.watch.adopted_workers.add(member.placement.worker_id)
        # The scheduler has to learn the state in which the job was found before it
        # gets events of the job's operations. These may end while the workers are
        # still listing their tasks.
        self._notify_scheduler((adoption_event(gang),))
        self._start_due_operation(gang)

    def _begin_scheduling(self) -> None:
        for event in self.watch.changes():
            self.scheduler.apply(event)
        self.scheduling_started = True
        buffered, self.buffered_events = self.buffered_events, []
        self._notify_scheduler(tuple(buffered))

    def _start_due_operation(self, gang: Gang) -> None:
        """Start the operation that the gang's state requires, unless one is running."""
        if gang.operation is not None or gang.job_id not in self.gangs:
            return
        state = gang.record.state
        if state in TERMINAL_STATES:
            self._remove(gang)
        elif state is JobState.QUEUED:
            if gang.record.cancel_requested:
                self.cancels_due.add(gang.job_id)
            elif gang.end_reason is not None:
                self._start_operation(
                    gang, partial(self._end_queued_job, gang, gang.end_reason)
                )
        elif state is JobState.STARTING:
            self._start_operation(
                gang,
                partial(
                    roll_back_start,
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
            self._start_operation(
                gang, partial(end_gang, self.context, gang, self.renewal)
            )
        elif state is JobState.STOPPING or gang.stop_requested:
            self._start_operation(
                gang,
                partial(
                    stop_gang, self.context, gang, self.renewal, gang.record.reason
                ),
            )

    def _on_run_over(self, gang: Gang) -> None:
        if gang.broken:
            # The other members are stopped immediately, without waiting for an
            # operation in progress: its write may block for as long as a store outage.
            self.renewal.detach(gang)
            self._create_task(self._stop_remaining_members(gang))
        self._start_due_operation(gang)

    async def _stop_remaining_members(self, gang: Gang) -> None:
        await stop_members(self.context, gang)

    def _execute(self, decision: Decision) -> None:
        self.context.metrics.count("decisions", kind=type(decision).__name__)
        if isinstance(decision, QuarantineWorker):
            log.info("worker quarantined", worker=decision.worker_id)
            return
        gang = self.gangs.get(decision.job_id)
        if gang is None:
            self.context.metrics.count("decisions_without_gang")
            return
        if isinstance(decision, StartGang):
            self._execute_start(gang, decision)
        elif isinstance(decision, StopGang):
            if not gang.record.spec.restartable:
                self.context.metrics.count("decisions_refused")
                log.error("refused to stop a job that cannot restart", job=gang.job_id)
                return
            gang.stop_requested = True
            if gang.operation is None and gang.record.state is JobState.RUNNING:
                self._start_operation(
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
            self._start_due_operation(gang)

    def _execute_start(self, gang: Gang, decision: StartGang) -> None:
        unlisted = tuple(
            part.worker_id
            for part in decision.placement
            if not self.inventory.tasks_known(part.worker_id)
        )
        if gang.operation is not None or unlisted:
            now = self.context.clock.wall()
            self.scheduler.apply(GangStartFailed(gang.job_id, now, unlisted))
            return
        self._start_operation(
            gang,
            partial(start_gang, self.context, gang, decision.placement, self.renewal),
        )

    def _cancel_queued_jobs(self) -> None:
        queued = [
            gang
            for job_id in self.cancels_due
            if (gang := self.gangs.get(job_id)) is not None
            and gang.operation is None
            and gang.record.state is JobState.QUEUED
        ]
        self.cancels_due.clear()
        for first in range(0, len(queued), MAX_ROWS_PER_TRANSACTION):
            batch = queued[first : first + MAX_ROWS_PER_TRANSACTION]
            task = self._create_task(self._cancel_batch(batch))
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
            async with self.context.commit_slots:
                result = await self.context.jobs.replace_all(
                    changes, (epoch_check(epoch),), COMMIT_TIMEOUT_SECONDS
                )
            if isinstance(result, Success):
                for gang, row in zip(batch, result.unwrap(), strict=True):
                    gang.update_row(row)
        # Rows that the batch transaction did not change are written one by one.
        for gang in batch:
            done = gang.record.state is JobState.CANCELLED or await end_queued_job(
                self.context, gang, JobState.CANCELLED, Reason.CANCELLED
            )
            gang.operation = None
            if done or gang.record.state is JobState.CANCELLED:
                self._notify_scheduler((JobCancelled(gang.job_id),))
            self._start_due_operation(gang)

    async def _delete_old_rows(self) -> None:
        limit = self.context.clock.wall() - RETENTION_SECONDS
        old = [
            job_id for job_id, job in self.ended_jobs.items() if job.ended_at < limit
        ]
        batch = old[:MAX_ROWS_PER_TRANSACTION]
        epoch = self.context.epoch()
        if not batch or epoch is None:
            return
        versions = {job_id: self.ended_jobs[job_id].version for job_id in batch}
        if await self.context.jobs.delete_all(
            versions, (epoch_check(epoch),), COMMIT_TIMEOUT_SECONDS
        ):
            self.context.metrics.count("job_rows_deleted", len(batch))
            for job_id in batch:
                del self.ended_jobs[job_id]

    async def _end_queued_job(self, gang: Gang, reason: Reason) -> tuple[Event, ...]:
        await end_queued_job(self.context, gang, JobState.FAILED, reason)
        return ()

    def _start_operation(self, gang: Gang, operation: Operation) -> None:
        gang.operation = self._create_task(self._run_operation(gang, operation))

    async def _run_operation(self, gang: Gang, operation: Operation) -> None:
        try:
            events = await operation()
        finally:
            gang.operation = None
        if gang.record.state is JobState.QUEUED:
            gang.stop_requested = False
        self._notify_scheduler(events)
        self._start_due_operation(gang)

    def _notify_scheduler(self, events: tuple[Event, ...]) -> None:
        if self.scheduling_started:
            for event in events:
                self.scheduler.apply(event)
        else:
            self.buffered_events.extend(events)

    def _remove(self, gang: Gang) -> None:
        self.renewal.detach(gang)
        self.ended_jobs[gang.job_id] = EndedJob(gang.row.version, gang.record.ended_at)
        del self.gangs[gang.job_id]

    def _create_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Expected failures are returned as values, so an exception is a bug. The
            # in-memory state may no longer match the job rows and is reloaded.
            self.context.needs_reload = True
            self.context.metrics.count("gang_operation_errors")
            log.error(
                "gang session task failed, reloading job rows",
                exc_info=task.exception(),
            )


def create_owner_session(context: OwnerContext, scheduler: Scheduler) -> OwnerSession:
    """Return a new session; the first tick starts loading the job rows."""
    return OwnerSession(context, scheduler)
