"""The queue: waiting jobs in groups that are equivalent for placement."""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.scheduling.tables import GangState, JobRow


def group_key(row: JobRow, expected_seconds: float) -> Hashable:
    """Return the key of a job's group.

    When one job of a group cannot start now, none of the group can. The key includes
    the run time to a factor of two, since backfill depends on it.
    """
    spec = row.spec
    return (
        spec.profile,
        spec.organisation,
        spec.service,
        spec.priority,
        spec.tasks,
        spec.accelerators_per_task,
        spec.cores,
        spec.memory_gb,
        spec.adjacency,
        spec.restartable,
        int(math.log2(max(1.0, expected_seconds))),
        # Failed jobs avoid some workers, so each is a group of its own.
        spec.job_id if row.avoid else "",
    )


def queue_position(spec: JobSpec) -> tuple[float, str]:
    """Return the position in the queue, which a job keeps when it is stopped."""
    return spec.submitted_at, spec.job_id


@dataclass(slots=True)
class Group:
    """Waiting jobs that are equivalent for placement, oldest first."""

    key: Hashable
    jobs: dict[str, JobRow] = field(default_factory=dict)
    order: list[tuple[float, str]] = field(default_factory=list)
    # ``State.placement_version`` when the oldest job could not start.
    blocked_version: tuple[int, int] | None = None

    def head(self) -> JobRow | None:
        """Return the oldest job."""
        while self.order:
            row = self.jobs.get(self.order[0][1])
            if row is not None:
                return row
            heapq.heappop(self.order)
        return None


class Queue:
    """Waiting jobs by group."""

    def __init__(self) -> None:
        self.groups: dict[Hashable, Group] = {}
        self.group_of: dict[str, Group] = {}

    def add(self, row: JobRow, expected_seconds: float) -> None:
        """Add a waiting job at its position."""
        assert row.state is GangState.WAITING
        key = group_key(row, expected_seconds)
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = Group(key)
        position = queue_position(row.spec)
        job_id = row.spec.job_id
        if job_id not in group.jobs:
            group.jobs[job_id] = row
            heapq.heappush(group.order, position)
        self.group_of[job_id] = group

    def discard(self, job_id: str) -> None:
        """Remove a job if it is queued."""
        group = self.group_of.pop(job_id, None)
        if group is None:
            return
        del group.jobs[job_id]
        if not group.jobs:
            del self.groups[group.key]

    def heads(self) -> Iterator[tuple[Group, JobRow]]:
        """Yield every group with its oldest job."""
        for group in list(self.groups.values()):
            row = group.head()
            if row is not None:
                yield group, row
