"""A client for emulated targets whose calls take processor time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from returns.result import Failure, Result

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    Renewal,
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
)
from lib.virtual_time import VirtualTimeLoop

T = TypeVar("T")


def spend_processor_time(seconds: float) -> None:
    """Block the event loop for virtual seconds, as a computation would."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.virtual.now += seconds


class BusyTargets:
    """Blocks the event loop for ``seconds`` in each call, half of it for the answer.

    The timeout of a call counts from its begin, as that of an HTTP client does.
    """

    def __init__(self, targets: Targets, seconds: float) -> None:
        self.targets = targets
        self.max_lease_seconds = targets.max_lease_seconds
        self.seconds = seconds
        self.timeouts = 0

    async def call(
        self,
        work: Coroutine[Any, Any, Result[T, TargetFailure]],
        timeout_seconds: float,
    ) -> Result[T, TargetFailure]:
        """Wait for a call, at most for its timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                spend_processor_time(self.seconds / 2)
                result = await work
        except TimeoutError:
            self.timeouts += 1
            return Failure(TargetFailure(TargetFailureKind.UNKNOWN, "timeout"))
        spend_processor_time(self.seconds / 2)
        return result

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        work = self.targets.start(target, order, timeout_seconds)
        return await self.call(work, timeout_seconds)

    async def stop(
        self,
        target: TargetReport,
        run: RunKey,
        epoch: int,
        timeout_seconds: float,
    ) -> Result[int, TargetFailure]:
        work = self.targets.stop(target, run, epoch, timeout_seconds)
        return await self.call(work, timeout_seconds)

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        work = self.targets.renew(target, renewal, wait_seconds, timeout_seconds)
        return await self.call(work, timeout_seconds)


def busy_targets_factory(
    seconds: float, created: list[BusyTargets] | None = None
) -> Callable[[Targets], BusyTargets]:
    """Return a wrapper of clients; each wrapped client is appended to ``created``."""

    def wrap(targets: Targets) -> BusyTargets:
        busy = BusyTargets(targets, seconds)
        if created is not None:
            created.append(busy)
        return busy

    return wrap
