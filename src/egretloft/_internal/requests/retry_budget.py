"""A token bucket that bounds retries to a share of the requests or a minimum rate."""

from __future__ import annotations

from egretloft._internal.platform.protocols import Clock

RETRY_SHARE = 0.1
MINIMUM_PER_SECOND = 3.0
# Enough that the requests in flight to one failed owner can retry at once: 24 runners
# of 8 slots, spread over 7 receivers and 3 zones or more, are fewer than 10 each.
CAPACITY = 30.0
WINDOW_SECONDS = 1.0


class RetryBudget:
    """Grants retries at 10% of the request rate, or 3 a second if that is more."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tokens = MINIMUM_PER_SECOND
        self.window_start = clock.monotonic()
        self.window_earned = 0.0

    def count_request(self) -> None:
        """Add a first attempt's share of a retry to the budget."""
        self._refill()
        self.window_earned += RETRY_SHARE
        self.tokens = min(CAPACITY, self.tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry and return whether the budget allowed it."""
        self._refill()
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self) -> None:
        # The minimum rate only tops up a window in which requests earned less,
        # so the two rates do not add up.
        elapsed = self.clock.monotonic() - self.window_start
        if elapsed < WINDOW_SECONDS:
            return
        shortfall = MINIMUM_PER_SECOND * elapsed - self.window_earned
        self.tokens = min(CAPACITY, self.tokens + max(0.0, shortfall))
        self.window_start += elapsed
        self.window_earned = 0.0


def create_retry_budget(clock: Clock) -> RetryBudget:
    """Return a budget that starts with one second of the minimum rate."""
    return RetryBudget(clock)
