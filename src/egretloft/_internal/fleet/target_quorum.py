"""Quorum of targets, which keeps a leader from acting beside its successor.

A leader that the store does not confirm goes on with the pledges of the instances that
it knows. One that it does not know may have replaced it, and cannot tell whether it is
dead or cut off. Both go by the targets whose rows the store holds: the former leader
acts only while more than half of them have answered it lately, and its successor only
once at least half of them have seen its epoch and whatever they answered the former
leader before is too old. The two sets share a target, which refuses the former leader.

A target that restarts forgets the epochs that it has seen. So the former leader counts
only the incarnations that answered while the store still confirmed it.
"""

from __future__ import annotations

import math

from egretloft._internal.fleet.constants import (
    CLOCK_MARGIN_SECONDS,
    CLOCK_RATE_ERROR,
    RENEWAL_TIMEOUT_SECONDS,
    RENEWAL_WAIT_SECONDS,
    TICK_SECONDS,
)
from egretloft._internal.fleet.recorder import Recorder
from egretloft._internal.fleet.tables import FleetTables

# An answer counts for this long from when its call was sent. The next one is there by
# then even if both calls waited for as long as a renewal does.
ANSWER_VALID_SECONDS = 2 * (RENEWAL_WAIT_SECONDS + RENEWAL_TIMEOUT_SECONDS)
# Targets without runs are asked as well once the quorum lasts for less than this.
SHORT_SECONDS = 1.0


class TargetQuorum:
    """Counts the answers by which a leader may go on without the store."""

    def __init__(self, tables: FleetTables, recorder: Recorder) -> None:
        self.tables = tables
        self.recorder = recorder
        self.holds_until = -math.inf
        self.counted_at = -math.inf

    def holds(self, now: float) -> bool:
        """Return whether more than half of the targets have answered lately.

        They are counted anew once the answers that were counted last are too old, but
        only once a tick while there is no quorum.
        """
        if now >= self.holds_until and now - self.counted_at >= TICK_SECONDS:
            self.counted_at = now
            self.holds_until = self.count()
        return now < self.holds_until

    def is_short(self, now: float) -> bool:
        """Return whether more answers are needed soon; counts those that there are."""
        self.counted_at = now
        self.holds_until = self.count()
        return self.holds_until - now < SHORT_SECONDS

    def left_seconds(self, now: float) -> float | None:
        """Return how long the answers so far are a quorum, for logs.

        It is negative if they are too old, and ``None`` if there are too few.
        """
        left = self.holds_until - now
        return round(left, 3) if math.isfinite(left) else None

    def count(self) -> float:
        """Return the boot time until which the answers so far are a quorum.

        A row of which the store may hold a change counts as silent.
        """
        answered = sorted(
            (self.last_vote(target_id) for target_id in self.recorder.stored_targets()),
            reverse=True,
        )
        rows = len(answered) + len(self.recorder.uncertain_targets())
        needed = rows // 2 + 1
        if needed > len(answered):
            return -math.inf
        return answered[needed - 1] + ANSWER_VALID_SECONDS

    def last_vote(self, target_id: str) -> float:
        """Return when the last call was sent whose answer counts for a target."""
        target = self.tables.targets.get(target_id)
        return -math.inf if target is None else target.vote_sent_at


def is_half(answered: int, targets: int) -> bool:
    """Return whether each majority of ``targets`` includes one that has answered."""
    return 2 * answered >= targets


def former_leader_seconds() -> float:
    """Return for how long a leader may act after half of its targets refuse it."""
    return ANSWER_VALID_SECONDS * (1 + 2 * CLOCK_RATE_ERROR) + CLOCK_MARGIN_SECONDS


def create_target_quorum(tables: FleetTables, recorder: Recorder) -> TargetQuorum:
    """Return a quorum of the targets in ``tables``, of which none has answered yet."""
    return TargetQuorum(tables, recorder)
