"""The clocks of this machine."""

from __future__ import annotations

import time


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return a monotonic clock in seconds that includes time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


def create_system_clock() -> SystemClock:
    """Return the clock of this machine."""
    return SystemClock()
