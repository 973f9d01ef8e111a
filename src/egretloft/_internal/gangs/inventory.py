"""Task lists of the workers, used to find and stop orphan tasks.

An orphan is a task that belongs to no gang. A worker gets gang members only once its
tasks have been listed, because orphans may still use its accelerators.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from egretloft._internal.gangs.context import OwnerContext
from egretloft._internal.gangs.entities import (
    ACTIVE_TASK_STATES,
    PLACED_STATES,
    Gang,
    Member,
)
from egretloft._internal.gangs.stopping import stop_member
from egretloft._internal.models.jobs import TaskPlacement
from egretloft._internal.models.topology import Worker
from egretloft._internal.platform.protocols import TaskReport

log = structlog.get_logger(__name__)

# Orphans are rare, so workers whose tasks have been listed once are polled seldom.
LIST_PERIOD_SECONDS = 30.0
RETRY_SECONDS = 1.0
CONCURRENT_LISTS = 100
# Lease that a delayed call of a previous owner may still grant to an orphan.
ORPHAN_LEASE_SECONDS = 15.5


@dataclass(slots=True)
class WorkerEntry:
    """Listing state of one worker; times are in seconds on the monotonic clock."""

    worker: Worker
    tasks_listed: bool = False
    list_tried: bool = False
    due_at: float = 0.0
    call: asyncio.Task[None] | None = None


class WorkerInventory:
    """Lists the tasks of each worker and stops those that belong to no gang."""

    def __init__(self, context: OwnerContext, gangs: Mapping[str, Gang]) -> None:
        self.context = context
        self.gangs = gangs
        self.workers: dict[str, WorkerEntry] = {}
        # Set once the job rows are loaded. Before that, every task would look like an
        # orphan.
        self.enabled = False
        self.list_slots = asyncio.Semaphore(CONCURRENT_LISTS)

    def tick(self) -> None:
        """Remove workers that are no longer listed; start the calls that are due."""
        listed = self.context.topology.workers
        for worker_id in [w for w in self.workers if w not in listed]:
            removed = self.workers.pop(worker_id)
            if removed.call is not None:
                removed.call.cancel()
        if not self.enabled or not self.context.may_send():
            return
        now = self.context.clock.monotonic()
        for worker_id, worker in listed.items():
            entry = self.workers.setdefault(worker_id, WorkerEntry(worker))
            entry.worker = worker
            if entry.call is None and entry.due_at <= now:
                entry.call = asyncio.create_task(self._list(entry))

    def tasks_known(self, worker_id: str) -> bool:
        """Return whether the worker's tasks were listed, so that it may be used."""
        entry = self.workers.get(worker_id)
        return entry is not None and entry.tasks_listed

    def all_workers_tried(self) -> bool:
        """Return whether each worker has answered or failed a list call."""
        listed = self.context.topology.workers
        return all(
            worker_id in self.workers and self.workers[worker_id].list_tried
            for worker_id in listed
        )

    def close(self) -> None:
        """Cancel all calls in flight."""
        for entry in self.workers.values():
            if entry.call is not None:
                entry.call.cancel()

    async def _list(self, entry: WorkerEntry) -> None:
        context = self.context
        try:
            async with self.list_slots:
                if not context.may_send():
                    return
                result = await context.client.list_tasks(entry.worker.address)
            now = context.clock.monotonic()
            entry.list_tried = True
            match result:
                case Success(reports):
                    orphans = [r for r in reports if self._is_orphan(r)]
                    for report in orphans:
                        await self._stop_orphan(entry.worker, report)
                    entry.tasks_listed = True
                    entry.due_at = now + LIST_PERIOD_SECONDS
                case Failure(failure):
                    context.metrics.count("list_failures", kind=failure.kind.value)
                    entry.due_at = now + RETRY_SECONDS
        finally:
            entry.call = None

    def _is_orphan(self, report: TaskReport) -> bool:
        if report.state not in ACTIVE_TASK_STATES:
            return False
        gang = self.gangs.get(report.job_id)
        return (
            gang is None
            or gang.record.attempt != report.attempt
            or gang.record.state not in PLACED_STATES
        )

    async def _stop_orphan(self, worker: Worker, report: TaskReport) -> None:
        self.context.metrics.count("orphan_tasks")
        log.warning(
            "stopping orphan task", worker=worker.worker_id, task=report.task_id
        )
        lease_end = self.context.clock.wall() + ORPHAN_LEASE_SECONDS
        placement = TaskPlacement(
            report.task_index, worker.worker_id, report.accelerators
        )
        member = Member(
            placement,
            report.task_id,
            worker.address,
            max(lease_end, report.lease_until),
        )
        await stop_member(self.context, member)
