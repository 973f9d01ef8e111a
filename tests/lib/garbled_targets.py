"""Targets of whose lists a row arrives unreadable."""

from __future__ import annotations

from dataclasses import dataclass, replace

from returns.result import Result

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetReport,
)


@dataclass(slots=True)
class Garbler:
    """Tells which rows of the targets' lists arrive unreadable."""

    hides_runs: bool = False
    hides_ends: bool = False


@dataclass(slots=True)
class GarbledTargets:
    """Targets of whose answers some rows cannot be decoded."""

    inner: Targets
    garbler: Garbler

    @property
    def max_lease_seconds(self) -> float:
        return self.inner.max_lease_seconds

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        return await self.inner.start(target, order, timeout_seconds)

    async def stop(
        self, target: TargetReport, run: RunKey, epoch: int, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        return await self.inner.stop(target, run, epoch, timeout_seconds)

    async def renew(
        self,
        target: TargetReport,
        epoch: int,
        last_recorded_end: int,
        expires_at_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        result = await self.inner.renew(
            target,
            epoch,
            last_recorded_end,
            expires_at_ms,
            wait_seconds,
            timeout_seconds,
        )
        return result.map(self.garble)

    def garble(self, answer: RenewalAnswer) -> RenewalAnswer:
        """Make the first row of a list unreadable."""
        if self.garbler.hides_runs and answer.active:
            return replace(answer, active=answer.active[1:], unreadable=1)
        if self.garbler.hides_ends and answer.ends:
            return replace(answer, ends=answer.ends[1:], unreadable=1)
        return answer
