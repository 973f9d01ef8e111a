"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

WALL_OFFSET = 1_800_000_000.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting, so tests are fast and repeatable."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        poll = self._selector.select

        def select(timeout: float | None = None) -> list[Any]:
            events = poll(0)
            if not events and timeout is None:
                raise RuntimeError("all tasks wait and no timer is set")
            if not events and timeout:
                self.now += timeout
            return events

        self._selector.select = select

    def time(self) -> float:
        return self.now


class LoopClock:
    """The clock that belongs to the running loop; ``skew`` moves its wall clock."""

    def __init__(self, skew: float = 0.0) -> None:
        self.skew = skew

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.monotonic() + WALL_OFFSET + self.skew


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` on a loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
