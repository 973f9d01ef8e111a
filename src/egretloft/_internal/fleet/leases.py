"""How long what a target runs may last without a renewal."""

from __future__ import annotations

import math

from egretloft._internal.fleet.clocks import MILLISECONDS
from egretloft._internal.fleet.constants import CLOCK_RATE_ERROR
from egretloft._internal.fleet.interfaces import FleetClock
from egretloft._internal.fleet.tables import TargetRow


class TargetLease:
    """The lease of all runs on one target; none exceeds ``longest_seconds``."""

    def __init__(
        self, target: TargetRow, clock: FleetClock, longest_seconds: float
    ) -> None:
        self.target = target
        self.clock = clock
        self.longest_seconds = longest_seconds

    def has_expired(self) -> bool:
        """Return whether what the target ran has certainly ended by now.

        Start orders that the target may still carry out count like the lease, and late
        calls as if each brought the longest one.
        """
        target = self.target
        now = self.clock.boottime()
        if target.clock is None or now < self.late_expiry_at():
            return False
        return target.clock.has_passed(self.last_expiry_ms(), now)

    def last_expiry_ms(self) -> float:
        """Return when the lease and all start orders expire, on the target's clock."""
        target = self.target
        orders = [run.order_expires_ms for run in target.runs.values()]
        return max([target.lease_ends_ms, *orders])

    def late_expiry_at(self) -> float:
        """Return the boot time until which a lease that a late call brings may last."""
        longest = self.longest_seconds * (1 + CLOCK_RATE_ERROR)
        return self.target.late_calls_until + longest

    def left_seconds(self) -> float:
        """Return for how long what the target runs may last, as far as is known."""
        target = self.target
        if target.clock is None:
            return math.inf
        now = self.clock.boottime()
        left_ms = self.last_expiry_ms() - target.clock.earliest_ms(now)
        return max(0.0, left_ms / MILLISECONDS, self.late_expiry_at() - now)
