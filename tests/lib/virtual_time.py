"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

WALL_OFFSET = 1_800_000_000.0


class VirtualSelector(selectors.SelectSelector):
    """Advances virtual time by the time that the loop wants to wait."""

    now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        if not events and timeout:
            self.now += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting, so tests are fast and repeatable."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.now


class LoopClock:
    """A ``Clock`` over the running loop.

    ``origin`` moves its monotonic time and ``skew`` its wall time, in seconds.
    """

    def __init__(self, origin: float = 0.0, skew: float = 0.0) -> None:
        self.origin = origin
        self.skew = skew

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time() + self.origin

    def wall(self) -> float:
        return asyncio.get_running_loop().time() + WALL_OFFSET + self.skew


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` on a loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
