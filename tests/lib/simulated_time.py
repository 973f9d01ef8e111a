"""Simulated time for asyncio code that reads a ``Clock`` and sleeps on it."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable

from lib.fakes import ManualClock

# Iterations of the event loop after each step; enough for chains of calls to fakes
# that answer without a delay.
LOOP_ITERATIONS = 15


class SimulatedTime:
    """Moves a manual clock in small steps and wakes the sleepers that are due."""

    def __init__(self, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.numbers = itertools.count()
        self.each_step: list[Callable[[], Awaitable[None]]] = []

    async def sleep(self, seconds: float) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due = self.clock.now + seconds
        heapq.heappush(self.sleepers, (due, next(self.numbers), future))
        await future

    async def settle(self) -> None:
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)

    async def run(self, seconds: float, step: float = 0.05) -> None:
        """Advance time in steps; ``each_step`` is called after every step."""
        end = self.clock.now + seconds
        while self.clock.now < end - 1e-9:
            self.clock.advance(step)
            while self.sleepers and self.sleepers[0][0] <= self.clock.now + 1e-9:
                future = heapq.heappop(self.sleepers)[2]
                if not future.done():
                    future.set_result(None)
            await self.settle()
            for callback in self.each_step:
                await callback()
            await self.settle()
