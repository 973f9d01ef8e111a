"""Slots and health of the runners of a group, and the choice among them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from egretloft._internal.models.topology import InstanceRecord
from egretloft._internal.platform.protocols import CLOCK_ERROR_SECONDS

DEFAULT_SLOTS = 8
# A runner refuses a request that arrives later than this after the owner's checks.
START_WINDOW_SECONDS = 0.5
# After this time a request that was sent has either started or never will.
SETTLED_SECONDS = START_WINDOW_SECONDS + CLOCK_ERROR_SECONDS
# Requests are taken to arrive within the larger of this and some round trips.
ARRIVAL_SECONDS = 0.01
ARRIVAL_ROUND_TRIPS = 4.0
FIRST_POLL_PAUSE_SECONDS = 0.1
LONGEST_POLL_PAUSE_SECONDS = 2.0
PAUSE_SECONDS = 1.0
FIRST_PAUSE_INTERVAL_SECONDS = 5.0
LONGEST_PAUSE_INTERVAL_SECONDS = 60.0
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
    outcome is unknown; ``unsettled`` holds, for each such request that may not have
    arrived yet, the end of its start window. ``allowed`` is the number of slots that
    health permits. Until ``pause_ends`` nothing is sent, so that the runner's own
    count shows only foreign requests; the next pause begins after ``pause_after``.
    """

    runner_id: str
    address: str
    slots: int
    allowed: float
    known: bool = False
    leaving: bool = False
    said_leaving: bool = False
    foreign: int = 0
    unsettled: list[float] = field(default_factory=list)
    last_count: int = 0
    pause_ends: float = 0.0
    pause_after: float = math.inf
    pause_interval: float = FIRST_PAUSE_INTERVAL_SECONDS
    sent_at: dict[str, float] = field(default_factory=dict)
    failures: int = 0
    failed_at: float = 0.0
    blocked_until: float = 0.0
    block_seconds: float = FIRST_BLOCK_SECONDS
    polling: bool = False
    poll_after: float = -math.inf
    poll_pause: float = FIRST_POLL_PAUSE_SECONDS

    @property
    def in_use(self) -> int:
        """Our requests in flight."""
        return len(self.sent_at)

    @property
    def taken(self) -> int:
        """Slots that are or may be in use."""
        return len(self.sent_at) + self.foreign + len(self.unsettled)

    def penalty(self, now: float) -> float:
        """Return the load that recent failures stand for, in slots."""
        lost = self.failures + self.slots - self.allowed
        half_lives = (now - self.failed_at) / PENALTY_HALF_LIFE_SECONDS
        return lost * math.pow(0.5, half_lives)

    def free(self, now: float) -> int:
        """Return the slots that may be used now."""
        if not self.known or self.leaving:
            return 0
        if now < self.blocked_until or now < self.pause_ends:
            return 0
        return max(0, min(self.slots, int(self.allowed)) - self.taken)

    def hold(self, until: float, now: float) -> None:
        """Keep a slot for a request whose outcome is unknown."""
        self.unsettled.append(until)
        self.poll_pause = FIRST_POLL_PAUSE_SECONDS
        if self.pause_after == math.inf:
            self.pause_after = now + self.pause_interval

    def poll_is_due(self, now: float) -> bool:
        """Return whether to ask the runner for its load, and note that it is asked."""
        unsure = not self.known or self.foreign > 0 or bool(self.unsettled)
        if not unsure or self.polling or now < self.poll_after:
            return False
        self.polling = True
        self.poll_after = now + self.poll_pause
        self.poll_pause = min(LONGEST_POLL_PAUSE_SECONDS, 1.25 * self.poll_pause)
        return True

    def take_status(self, in_use: int, asked_at: float, now: float) -> None:
        """Compare the runner's own count, asked for at ``asked_at``, with ours."""
        # Ours that arrived before the count and have no answer yet are part of it.
        # Younger ones may or may not be, so they are not subtracted. Two counts have
        # to agree, because a single lost packet delays an arrival beyond the margin.
        margin = max(ARRIVAL_SECONDS, ARRIVAL_ROUND_TRIPS * (now - asked_at))
        ours = sum(sent_at <= asked_at - margin for sent_at in self.sent_at.values())
        count = max(0, in_use - ours)
        others = max(count, self.last_count)
        self.last_count = count
        if not self.known:
            self.known = True
            self.foreign = count
            if count:
                self.pause_after = asked_at + self.pause_interval
            return
        settled = sum(until <= asked_at for until in self.unsettled)
        self.unsettled = [until for until in self.unsettled if until > asked_at]
        self.foreign = min(self.foreign + settled, others)
        if self.foreign == 0 and not self.unsettled:
            self.pause_ends = 0.0
            self.pause_after = math.inf
            self.pause_interval = FIRST_PAUSE_INTERVAL_SECONDS

    def pause_if_due(self, now: float) -> None:
        """Begin a pause when foreign slots have not come free for long.

        A busy runner's count cannot show them free: our younger requests hide them.
        """
        if now >= self.pause_after:
            self.pause_ends = now + PAUSE_SECONDS
            self.pause_interval = min(
                LONGEST_PAUSE_INTERVAL_SECONDS, 2 * self.pause_interval
            )
            self.pause_after = now + self.pause_interval


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
        # One failure costs one slot, three in a row nearly all: a runner that breaks
        # off a few percent of its requests is still worth most of its slots.
        cost = 2.0 ** min(runner.failures - 1, FAILURES_TO_BLOCK)
        runner.allowed = max(1.0, runner.allowed - cost)
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
