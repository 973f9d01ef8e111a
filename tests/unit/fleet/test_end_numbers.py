"""Numbers of ends, which begin anew when a target restarts under its id."""

from __future__ import annotations

import asyncio

from returns.result import Result, Success

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    JobState,
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetReport,
)
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual

RENEWAL_DELAY_SECONDS = 0.3
SHORT_RUN_SECONDS = 0.1


class LateRenewals:
    """Targets that get every renewal late, and all other calls at once."""

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
        epoch: int,
        last_recorded_end: int,
        expires_at_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        await asyncio.sleep(RENEWAL_DELAY_SECONDS)
        return await self.targets.renew(
            target,
            epoch,
            last_recorded_end,
            expires_at_ms,
            wait_seconds,
            timeout_seconds,
        )


def test_ends_of_a_restarted_target_are_not_acknowledged_unseen() -> None:
    """Guards against a done task that runs again, as its end was never heard of."""

    async def main() -> None:
        world = build_world(target_count=1, wrap_targets=LateRenewals)
        await world.start()
        # The ends of these are recorded and acknowledged, as numbers 1 to 3.
        spec = single_step(3)
        assert isinstance(
            await world.submit(job_id(1), spec, SHORT_RUN_SECONDS), Success
        )
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 10.0)
        await asyncio.sleep(2.0)
        world.targets["target-0"].crash()
        # Their ends have the same numbers, of the target's new life.
        assert isinstance(
            await world.submit(job_id(2), spec, SHORT_RUN_SECONDS), Success
        )
        assert await world.wait_for_state(job_id(2), JobState.COMPLETE, 10.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 6

    run_virtual(main())
