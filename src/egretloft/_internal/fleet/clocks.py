"""Lower bounds on the current value of a target's clock."""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.constants import (
    CLOCK_MARGIN_SECONDS,
    CLOCK_RATE_ERROR,
)

MILLISECONDS = 1000.0


@dataclass(slots=True)
class TargetClock:
    """The newest reading of a target's clock.

    The target's clock showed ``target_ms`` at some moment before ``received``, which
    is in seconds of the local boot-time clock.
    """

    target_ms: float
    received: float

    def earliest_ms(self, now: float) -> float:
        """Return the lowest value that the target's clock may show at ``now``."""
        elapsed = max(0.0, now - self.received)
        return self.target_ms + elapsed * MILLISECONDS * (1 - CLOCK_RATE_ERROR)

    def observe(self, target_ms: float, received: float) -> None:
        """Replace the reading unless ``received`` is older than the current one."""
        if received >= self.received:
            self.target_ms = target_ms
            self.received = received

    def has_passed(self, target_ms: float, now: float) -> bool:
        """Return whether the target's clock is certainly past ``target_ms``."""
        return self.earliest_ms(now) > target_ms + CLOCK_MARGIN_SECONDS * MILLISECONDS
