"""What a tick of the scheduler works with and decides."""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass, field

from egretloft._internal.fleet.tables import RunRow, StepRow, TargetRow, TaskRow

# Only steps of this priority, the most urgent one, may preempt other runs.
RECLAIMING_PRIORITY = 0


@dataclass(slots=True, frozen=True)
class Placement:
    """Tasks of one step to start together, each with its target."""

    step: StepRow
    priority: int
    starts: tuple[tuple[TaskRow, TargetRow], ...]


@dataclass(slots=True, frozen=True)
class ReclaimDecision:
    """Runs to stop for a waiting step.

    ``lost_work`` is in core-seconds; ``entitled`` tells whether the organisation's
    guarantee covers the step.
    """

    step: StepRow
    victims: tuple[RunRow, ...]
    lost_work: float
    entitled: bool


@dataclass(slots=True)
class Decisions:
    """Starts and stops that one tick decided on.

    Without an event, the next decision is due after ``review_seconds``.
    """

    placements: list[Placement] = field(default_factory=list)
    reclaims: list[ReclaimDecision] = field(default_factory=list)
    review_seconds: float = math.inf

    @property
    def starts(self) -> int:
        """The number of tasks to start."""
        return sum(len(placement.starts) for placement in self.placements)

    @property
    def stops(self) -> list[RunRow]:
        """The runs to stop."""
        return [run for reclaim in self.reclaims for run in reclaim.victims]


@dataclass(slots=True, frozen=True)
class TickContext:
    """Time of a tick, and whether runs of earlier terms may be unknown to the leader.

    ``now`` is in seconds on the boot-time clock, ``wall`` in Unix seconds. While
    ``recovering`` is true, tasks of jobs that were accepted before the leader's term
    may still run on a target that has not been fenced, so those jobs are not scheduled,
    nor are those ``in_doubt``.
    No further step is placed once ``max_starts`` tasks are, and no further step of the
    most urgent priority once ``max_urgent_starts`` are.
    """

    now: float
    wall: float
    recovering: bool = False
    in_doubt: frozenset[str] = frozenset()
    max_starts: int = sys.maxsize
    max_urgent_starts: int = sys.maxsize

    def may_place(self, priority: int, starts: int) -> bool:
        """Return whether a further step may be placed after this many starts."""
        if priority <= RECLAIMING_PRIORITY:
            return starts < self.max_urgent_starts
        return starts < self.max_starts
