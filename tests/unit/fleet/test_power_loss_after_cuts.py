"""A loss of power of all targets while suspicions of cut targets are open."""

from __future__ import annotations

import asyncio

from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from unit.fleet.test_failed_without_cause import (
    JOB,
    SEEDS,
    assert_completes,
    next_target,
)

CUTS = 3
POWER_LOSS_SECONDS = 1.0


def test_loss_of_power_of_all_targets_decides_no_suspicion_of_before() -> None:
    """Guards against one restart of the fleet that proves three crashes at once."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        for _ in range(CUTS):
            target = await next_target(world, seen)
            assert target is not None, await world.state(job_id(JOB))
            target.cut = True
        assert await next_target(world, seen) is not None
        await asyncio.sleep(1.0)
        for target in world.targets.values():
            target.crash_for(POWER_LOSS_SECONDS)
        await assert_completes(world)

    for seed in SEEDS:
        run_virtual(main(seed))
