"""Bounds on the clock of a target."""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.constants import (
    CLOCK_MARGIN_SECONDS,
    CLOCK_RATE_ERROR,
)

MILLISECONDS = 1000.0


@dataclass(slots=True)
class TargetClock:
    """What is known of a target's clock from its answers.

    The clock showed ``target_ms`` at some moment before ``received`` (our steady
    clock, seconds).
    """

    target_ms: float
    received: float

    def earliest_ms(self, now: float) -> float:
        """Return the lowest value that the clock may show at ``now``."""
        passed = max(0.0, now - self.received)
        return self.target_ms + passed * MILLISECONDS * (1 - CLOCK_RATE_ERROR)

    def observe(self, target_ms: float, received: float) -> None:
        """Take the newest observation."""
        if received >= self.received:
            self.target_ms = target_ms
            self.received = received

    def has_passed(self, target_ms: float, now: float) -> bool:
        """Return whether the clock has certainly passed ``target_ms``."""
        return self.earliest_ms(now) > target_ms + CLOCK_MARGIN_SECONDS * MILLISECONDS
