"""A client of targets that passes all calls on, for tests that change some of them."""

from __future__ import annotations

from returns.result import Result

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    Renewal,
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetReport,
)


class ForwardingTargets:
    """Passes all calls on to ``targets``."""

    def __init__(self, targets: Targets) -> None:
        self.targets = targets
        self.max_lease_seconds = targets.max_lease_seconds

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        return await self.targets.start(target, order, timeout_seconds)

    async def stop(
        self, target: TargetReport, run: RunKey, epoch: int, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        return await self.targets.stop(target, run, epoch, timeout_seconds)

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        return await self.targets.renew(target, renewal, wait_seconds, timeout_seconds)
