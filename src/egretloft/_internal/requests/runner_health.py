"""Slots and health of the runners of a group, and the choice among them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from egretloft._internal.models.topology import InstanceRecord

DEFAULT_SLOTS = 8
FAILURES_TO_BLOCK = 3
FIRST_BLOCK_SECONDS = 1.0
LONGEST_BLOCK_SECONDS = 60.0
# Each success gives back this part of a slot, so a runner that failed needs many
# successes before it takes a full load again.
SLOTS_PER_SUCCESS = 0.25
# Without a decay, a runner that failed would be tried again only when all others
# are full.
PENALTY_HALF_LIFE_SECONDS = 10.0
# An organisation's failure counts against a runner only if another request of the
# organisation succeeded in the group this recently. Otherwise requests that fail
# everywhere would block every runner.
SUCCESS_MEMORY_SECONDS = 30.0


@dataclass(slots=True)
class RunnerState:
    """A runner as its owner sees it; times are on the monotonic clock.

    ``in_use`` counts our requests in flight by their send time. ``foreign`` counts
    slots that may be taken by requests of a former owner or by requests whose
    outcome is unknown. ``allowed`` is the number of slots that health permits.
    """

    runner_id: str
    address: str
    slots: int
    allowed: float
    known: bool = False
    leaving: bool = False
    said_leaving: bool = False
    foreign: int = 0
    foreign_until: float = 0.0
    sent_at: dict[str, float] = field(default_factory=dict)
    failures: int = 0
    failed_at: float = 0.0
    blocked_until: float = 0.0
    block_seconds: float = FIRST_BLOCK_SECONDS
    polling: bool = False
    polled_at: float = -1e9

    @property
    def in_use(self) -> int:
        """Our requests in flight."""
        return len(self.sent_at)

    @property
    def taken(self) -> int:
        """Slots that are or may be in use."""
        return len(self.sent_at) + self.foreign

    def penalty(self, now: float) -> float:
        """Return the load that recent failures stand for, in slots."""
        lost = self.failures + self.slots - self.allowed
        half_lives = (now - self.failed_at) / PENALTY_HALF_LIFE_SECONDS
        return lost * math.pow(0.5, half_lives)

    def free(self, now: float) -> int:
        """Return the slots that may be used now."""
        if not self.known or self.leaving or now < self.blocked_until:
            return 0
        return max(0, min(self.slots, int(self.allowed)) - self.taken)


def create_runner_state(record: InstanceRecord) -> RunnerState:
    """Return the state of a runner whose load is not known yet."""
    slots = record.slots or DEFAULT_SLOTS
    return RunnerState(record.instance_id, record.address, slots, float(slots))


def choose_runner(runners: Iterable[RunnerState], now: float) -> RunnerState | None:
    """Return the runner with the fewest slots in use and recent failures."""
    usable = [runner for runner in runners if runner.free(now) > 0]
    if not usable:
        return None
    return min(
        usable,
        key=lambda runner: (runner.taken + runner.penalty(now), runner.runner_id),
    )


@dataclass(slots=True)
class HealthRules:
    """Evidence about the runners of one group."""

    last_success: dict[str, float] = field(default_factory=dict)

    def record_success(
        self, runner: RunnerState, organisation: str, now: float
    ) -> None:
        """Give a runner a part of its load back."""
        self.last_success[organisation] = now
        runner.failures = 0
        runner.allowed = min(float(runner.slots), runner.allowed + SLOTS_PER_SUCCESS)
        if runner.allowed >= runner.slots:
            runner.block_seconds = FIRST_BLOCK_SECONDS

    def record_failure(
        self,
        runner: RunnerState,
        runners: Iterable[RunnerState],
        organisation: str,
        reached: bool,
        now: float,
    ) -> None:
        """Take load from a runner; ``reached`` is false if it did not answer at all."""
        success = self.last_success.get(organisation, -SUCCESS_MEMORY_SECONDS)
        if reached and now - success >= SUCCESS_MEMORY_SECONDS:
            return
        runner.failures += 1
        runner.failed_at = now
        runner.allowed = max(1.0, runner.allowed / 2)
        if runner.failures < FAILURES_TO_BLOCK or now < runner.blocked_until:
            return
        others = list(runners)
        blocked = sum(now < other.blocked_until for other in others)
        # When most runners fail, the cause is likely common to them (a link, a zone),
        # so the block stays short and the group returns with its cause.
        if 2 * (blocked + 1) > len(others):
            runner.blocked_until = now + FIRST_BLOCK_SECONDS
            return
        runner.blocked_until = now + runner.block_seconds
        runner.block_seconds = min(LONGEST_BLOCK_SECONDS, 2 * runner.block_seconds)
