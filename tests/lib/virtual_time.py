"""An event loop whose time jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class VirtualSelector(selectors.SelectSelector):
    """Advances virtual time by the time that the loop wants to wait."""

    now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self.now += timeout
        elif timeout is None:
            raise RuntimeError("the simulation waits for something without a timer")
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop for code that waits only for timers and for other coroutines."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.now


class LoopClock:
    """A ``Clock`` over the running loop, with its own origin of monotonic time."""

    def __init__(self, origin: float = 0.0) -> None:
        self.origin = origin

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time() + self.origin

    def wall(self) -> float:
        return 1_800_000_000.0 + asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
