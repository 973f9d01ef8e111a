"""Numbers of ends, which begin anew when a target restarts under its id."""

from __future__ import annotations

import asyncio
from typing import Any

from returns.result import Result, Success

from egretloft._internal.fleet.models import JobState, RenewalAnswer, TargetFailure
from lib.fleet_builders import build_world, job_id, single_step
from lib.forwarding_targets import ForwardingTargets
from lib.virtual_time import run_virtual

RENEWAL_DELAY_SECONDS = 0.3
SHORT_RUN_SECONDS = 0.1


class LateRenewals(ForwardingTargets):
    """Targets that get every renewal late, and all other calls at once."""

    async def renew(self, *call: Any) -> Result[RenewalAnswer, TargetFailure]:
        await asyncio.sleep(RENEWAL_DELAY_SECONDS)
        return await super().renew(*call)


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
