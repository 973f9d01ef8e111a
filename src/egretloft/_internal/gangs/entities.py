"""Gangs and their members as the owner of a region keeps them in memory."""

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

    ``lease_bound`` is the latest lease end that any owner may have given, Unix
    seconds; 0 if no start was sent. ``gone`` is set with the proof that the member
    does not run and will not.
    """

    placement: TaskPlacement
    task_id: str
    address: str
    lease_bound: float = 0.0
    gone: bool = False
    report: TaskReport | None = None
    last_active_at: float = 0.0

    @property
    def finished(self) -> bool:
        """Whether the member ran to its end without a fault."""
        return self.report is not None and self.report.state is TaskState.FINISHED

    def record_report(self, report: TaskReport, now: float) -> None:
        """Keep a report, unless the worker has forgotten what it reported before.

        A worker that restarted answers ``unknown`` or ``stopped`` for a task that it
        does not remember. The task is gone, but its outcome is not known.
        """
        if report.state in ACTIVE_TASK_STATES:
            if self.gone:
                return
            self.last_active_at = now
        else:
            self.gone = True
            former = self.report
            if former is not None and (
                report.state is TaskState.UNKNOWN
                or (former.started_at and not report.started_at)
            ):
                return
        self.report = report


@dataclass(slots=True)
class Gang:
    """A job that has not ended, with the members of its current attempt.

    ``operation`` is the only task that changes the row and the members.
    """

    row: JobRow
    members: list[Member] = field(default_factory=list)
    operation: asyncio.Task[None] | None = None
    # Renewals go out for the members that are not gone.
    renewing: bool = False
    # A member failed or was lost; the others are to stop.
    broken: bool = False
    failed_workers: set[str] = field(default_factory=set)
    # Set by decisions of the scheduler.
    end_reason: Reason | None = None
    stop_requested: bool = False

    @property
    def record(self) -> JobRecord:
        """The last known durable record."""
        return self.row.record

    @property
    def job_id(self) -> str:
        """The id of the job."""
        return self.row.record.spec.job_id

    @property
    def all_seen_at(self) -> float:
        """When all members that have not finished were last known to be active.

        Unix seconds; 0 as long as one of them has not been heard of.
        """
        return min(
            (m.last_active_at for m in self.members if not m.finished), default=0.0
        )

    @property
    def complete(self) -> bool:
        """Whether all members ran to their end."""
        return bool(self.members) and all(member.finished for member in self.members)

    def take_row(self, row: JobRow) -> bool:
        """Replace the row by a newer one; false if it is not newer."""
        if row.version <= self.row.version:
            return False
        self.row = row
        return True

    def mark_broken(self, worker_id: str) -> None:
        """Note that a member on the worker failed or was lost."""
        self.broken = True
        self.failed_workers.add(worker_id)

    def clear_members(self) -> None:
        """Forget the members of an attempt that is over."""
        self.members = []
        self.renewing = False
        self.broken = False
        self.failed_workers = set()

    def set_members(
        self,
        placement: tuple[TaskPlacement, ...],
        attempt: int,
        workers: Mapping[str, Worker],
        lease_bound: float = 0.0,
    ) -> None:
        """Replace the members by those of an attempt."""
        self.clear_members()
        self.members = [
            Member(
                part,
                task_id(self.job_id, attempt, part.task_index),
                worker.address if (worker := workers.get(part.worker_id)) else "",
                lease_bound,
            )
            for part in placement
        ]


HOLDING_STATES = frozenset({JobState.STARTING, JobState.RUNNING, JobState.STOPPING})


def join_checkpoints(names: list[str]) -> str:
    """Return the checkpoint names of all members, in order of task index."""
    return msgspec.json.encode(names).decode()


def member_checkpoint(record: JobRecord, task_index: int) -> str:
    """Return the checkpoint that a member restarts from, empty for none."""
    if not record.checkpoint:
        return ""
    names = msgspec.json.decode(record.checkpoint, type=list[str])
    return names[task_index] if task_index < len(names) else ""
