"""Tracks slots and health of a group's runners, and chooses among them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from egretloft._internal.models.topology import InstanceRecord
from egretloft._internal.platform.protocols import CLOCK_ERROR_SECONDS

DEFAULT_SLOTS = 8
# A runner refuses a request that arrives later than this after the owner's checks.
START_WINDOW_SECONDS = 0.5
# A request that has not started this long after it was sent never will.
MAX_START_DELAY_SECONDS = START_WINDOW_SECONDS + CLOCK_ERROR_SECONDS
# A request is assumed to arrive within the larger of this and some round trips.
ARRIVAL_SECONDS = 0.01
ARRIVAL_ROUND_TRIPS = 4.0
FIRST_POLL_PAUSE_SECONDS = 0.1
LONGEST_POLL_PAUSE_SECONDS = 2.0
SEND_PAUSE_SECONDS = 1.0
FIRST_PAUSE_INTERVAL_SECONDS = 5.0
LONGEST_PAUSE_INTERVAL_SECONDS = 60.0
FAILURES_TO_BLOCK = 3
FIRST_BLOCK_SECONDS = 1.0
LONGEST_BLOCK_SECONDS = 60.0
# Each success restores this part of a slot, so a runner that failed needs many
# successes before it gets a full load again.
SLOTS_PER_SUCCESS = 0.25
# Without a decay, a runner that failed would be tried again only when all others
# are full.
PENALTY_HALF_LIFE_SECONDS = 10.0
# A failure of a request that reached a runner counts against the runner only if another
# request of the organisation succeeded in the group this recently. Otherwise requests
# that fail everywhere would block every runner.
RECENT_SUCCESS_SECONDS = 30.0


@dataclass(slots=True)
class RunnerState:
    """A runner as its owner sees it; times are on the monotonic clock.

    ``sent_at`` holds the send times of this owner's requests in flight.
    ``foreign_slots`` counts the slots that may be taken by requests of a former owner,
    or by requests whose outcome is unknown; ``open_start_windows`` holds, for each of
    the latter that may not have arrived yet, the end of its start window. ``allowed``
    is the number of slots that health permits. Until ``pause_ends`` nothing is sent,
    so that the runner's own count shows only foreign requests; the next pause begins
    after ``pause_after``.
    """

    runner_id: str
    address: str
    slots: int
    allowed: float
    load_known: bool = False
    leaving: bool = False
    reported_leaving: bool = False
    foreign_slots: int = 0
    open_start_windows: list[float] = field(default_factory=list)
    last_foreign_count: int = 0
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
        """This owner's requests in flight."""
        return len(self.sent_at)

    @property
    def taken(self) -> int:
        """Slots that are or may be in use."""
        return len(self.sent_at) + self.foreign_slots + len(self.open_start_windows)

    def penalty(self, now: float) -> float:
        """Return the penalty for recent failures, in slots; it decays with time."""
        lost = self.failures + self.slots - self.allowed
        half_lives = (now - self.failed_at) / PENALTY_HALF_LIFE_SECONDS
        return lost * math.pow(0.5, half_lives)

    def free(self, now: float) -> int:
        """Return the number of slots that may be used now."""
        if not self.load_known or self.leaving:
            return 0
        if now < self.blocked_until or now < self.pause_ends:
            return 0
        return max(0, min(self.slots, int(self.allowed)) - self.taken)

    def reserve_slot(self, until: float, now: float) -> None:
        """Keep a slot taken for a request whose outcome is unknown.

        ``until`` is the latest time at which the request may start.
        """
        self.open_start_windows.append(until)
        self.poll_pause = FIRST_POLL_PAUSE_SECONDS
        if self.pause_after == math.inf:
            self.pause_after = now + self.pause_interval

    def start_poll_if_due(self, now: float) -> bool:
        """Return whether to poll the runner now, and mark it as being polled if so."""
        uncertain = (
            not self.load_known
            or self.foreign_slots > 0
            or bool(self.open_start_windows)
        )
        if not uncertain or self.polling or now < self.poll_after:
            return False
        self.polling = True
        self.poll_after = now + self.poll_pause
        self.poll_pause = min(LONGEST_POLL_PAUSE_SECONDS, 1.25 * self.poll_pause)
        return True

    def update_from_status(self, in_use: int, asked_at: float, now: float) -> None:
        """Update the foreign slots from a poll that was sent at ``asked_at``.

        ``in_use`` is the number of requests that the runner counts itself.
        """
        # The count includes this owner's requests that arrived before it and are not
        # answered yet. Newer ones may or may not be included, so they are not
        # subtracted. The larger of the last two counts is used, because a single lost
        # packet can delay an arrival beyond the margin, and one count is then too low.
        margin = max(ARRIVAL_SECONDS, ARRIVAL_ROUND_TRIPS * (now - asked_at))
        ours = sum(sent_at <= asked_at - margin for sent_at in self.sent_at.values())
        foreign_count = max(0, in_use - ours)
        larger_count = max(foreign_count, self.last_foreign_count)
        self.last_foreign_count = foreign_count
        if not self.load_known:
            self.load_known = True
            self.foreign_slots = foreign_count
            if foreign_count:
                self.pause_after = asked_at + self.pause_interval
            return
        ended = sum(until <= asked_at for until in self.open_start_windows)
        self.open_start_windows = [
            until for until in self.open_start_windows if until > asked_at
        ]
        self.foreign_slots = min(self.foreign_slots + ended, larger_count)
        if self.foreign_slots == 0 and not self.open_start_windows:
            self.pause_ends = 0.0
            self.pause_after = math.inf
            self.pause_interval = FIRST_PAUSE_INTERVAL_SECONDS

    def pause_if_due(self, now: float) -> None:
        """Begin a pause in sending if foreign slots are still taken at ``pause_after``.

        While new requests are sent, the runner's count cannot show that these slots are
        free, because it may include the new requests.
        """
        if now >= self.pause_after:
            self.pause_ends = now + SEND_PAUSE_SECONDS
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
class HealthTracker:
    """Adjusts the load limits and blocks of a group's runners by their results.

    ``last_success`` is the time of each organisation's last success in the group.
    """

    last_success: dict[str, float] = field(default_factory=dict)

    def record_success(
        self, runner: RunnerState, organisation: str, now: float
    ) -> None:
        """Restore a part of a slot to a runner."""
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
        """Lower a runner's load limit, and block it after repeated failures.

        ``reached`` is false if the request could not be sent to the runner; such a
        failure always counts.
        """
        success = self.last_success.get(organisation, -RECENT_SUCCESS_SECONDS)
        if reached and now - success >= RECENT_SUCCESS_SECONDS:
            return
        runner.failures += 1
        runner.failed_at = now
        # One failure costs one slot, three in a row nearly all, because a runner that
        # breaks off a few percent of its requests can still use most of its slots.
        cost = 2.0 ** min(runner.failures - 1, FAILURES_TO_BLOCK)
        runner.allowed = max(1.0, runner.allowed - cost)
        if runner.failures < FAILURES_TO_BLOCK or now < runner.blocked_until:
            return
        others = list(runners)
        blocked = sum(now < other.blocked_until for other in others)
        # When most runners fail, they likely have a common cause (a link, a zone), so
        # the block stays short and the group recovers as soon as the cause is gone.
        if 2 * (blocked + 1) > len(others):
            runner.blocked_until = now + FIRST_BLOCK_SECONDS
            return
        runner.blocked_until = now + runner.block_seconds
        runner.block_seconds = min(LONGEST_BLOCK_SECONDS, 2 * runner.block_seconds)
