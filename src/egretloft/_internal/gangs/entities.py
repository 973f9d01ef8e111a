"""In-memory state of gangs and their members at the owner of a region."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from egretloft._internal.gangs.records import JobRow, task_id
from egretloft._internal.models.jobs import JobRecord, JobState, TaskPlacement
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.topology import Worker
from egretloft._internal.platform.protocols import TaskReport, TaskState

ACTIVE_TASK_STATES = frozenset({TaskState.THROTTLED, TaskState.RUNNING})


@dataclass(slots=True)
class Member:
    """One member of the current attempt of a gang.

    ``latest_lease_end`` is the latest lease end that any owner may have granted, in
    Unix seconds; 0 if no start was sent. ``confirmed_ended`` is set when it is certain
    that the member is not running and cannot start any more.
    """

    placement: TaskPlacement
    task_id: str
    address: str
    latest_lease_end: float = 0.0
    confirmed_ended: bool = False
    report: TaskReport | None = None
    last_active_at: float = 0.0

    @property
    def finished(self) -> bool:
        """Whether the member has completed successfully."""
        return self.report is not None and self.report.state is TaskState.FINISHED

    def record_report(self, report: TaskReport, now: float) -> None:
        """Store a report and update the member's state from it.

        After a restart, a worker reports ``unknown`` or ``stopped`` for a task that it
        has no record of. The task has ended then, but its outcome is not known, so the
        report does not replace an earlier one.
        """
        if report.state in ACTIVE_TASK_STATES:
            if self.confirmed_ended:
                return
            self.last_active_at = now
        else:
            self.confirmed_ended = True
            previous = self.report
            if previous is not None and (
                report.state is TaskState.UNKNOWN
                or (previous.started_at and not report.started_at)
            ):
                return
        self.report = report


@dataclass(slots=True)
class Gang:
    """A job that has not ended, with the members of its current attempt.

    ``operation`` is the asyncio task of the running operation. At most one runs at a
    time, and only it writes the row and replaces the members.
    """

    row: JobRow
    members: list[Member] = field(default_factory=list)
    operation: asyncio.Task[None] | None = None
    # Leases of members that are not confirmed to have ended are being renewed.
    renewing: bool = False
    # A member failed or was lost; the others have to be stopped.
    broken: bool = False
    failed_workers: set[str] = field(default_factory=set)
    # Set by decisions of the scheduler.
    end_reason: Reason | None = None
    stop_requested: bool = False

    @property
    def record(self) -> JobRecord:
        """The job record as last read or written."""
        return self.row.record

    @property
    def job_id(self) -> str:
        """The id of the job."""
        return self.row.record.spec.job_id

    @property
    def last_all_active_at(self) -> float:
        """Last time at which all unfinished members were known to be active.

        In Unix seconds; 0 until each of them has been reported active once.
        """
        return min(
            (m.last_active_at for m in self.members if not m.finished), default=0.0
        )

    @property
    def complete(self) -> bool:
        """Whether all members have completed successfully."""
        return bool(self.members) and all(member.finished for member in self.members)

    def update_row(self, row: JobRow) -> bool:
        """Replace the row by a newer one; false if it is not newer."""
        if row.version <= self.row.version:
            return False
        self.row = row
        return True

    def mark_broken(self, worker_id: str) -> None:
        """Record that a member on the worker failed or was lost."""
        self.broken = True
        self.failed_workers.add(worker_id)

    def clear_members(self) -> None:
        """Remove the members of an attempt that has ended."""
        self.members = []
        self.renewing = False
        self.broken = False
        self.failed_workers = set()

    def set_members(
        self,
        placement: tuple[TaskPlacement, ...],
        attempt: int,
        workers: Mapping[str, Worker],
        latest_lease_end: float = 0.0,
    ) -> None:
        """Replace the members with those of a new or adopted attempt."""
        self.clear_members()
        self.members = [
            Member(
                part,
                task_id(self.job_id, attempt, part.task_index),
                worker.address if (worker := workers.get(part.worker_id)) else "",
                latest_lease_end,
            )
            for part in placement
        ]


# States in which a job has a placement and occupies its accelerators.
PLACED_STATES = frozenset({JobState.STARTING, JobState.RUNNING, JobState.STOPPING})


def join_checkpoints(names: list[str]) -> str:
    """Return the members' checkpoint names, in order of task index, as one string."""
    return msgspec.json.encode(names).decode()


def member_checkpoint(record: JobRecord, task_index: int) -> str:
    """Return the checkpoint from which a member restarts, empty if there is none."""
    if not record.checkpoint:
        return ""
    names = msgspec.json.decode(record.checkpoint, type=list[str])
    return names[task_index] if task_index < len(names) else ""
