"""Losses of power that hit a job while the other targets of its zone are idle."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from unit.fleet.test_failed_without_cause import (
    FAULTS,
    JOB,
    SEEDS,
    assert_completes,
    next_target,
)
from unit.fleet.test_suspicions import LostStart, restart


@pytest.mark.parametrize("down_seconds", [0.6, 1.5, 3.0])
def test_losses_of_power_of_idle_zones_do_not_fail_the_job(
    down_seconds: float,
) -> None:
    """Guards against a first crash that nobody compares with that of idle targets."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        for _ in range(FAULTS):
            target = await next_target(world, seen)
            assert target is not None, await world.state(job_id(JOB))
            await asyncio.sleep(world.generator.uniform(0.0, 0.3))
            for other in world.targets.values():
                if other.zone == target.zone:
                    other.crash_for(down_seconds)
        await assert_completes(world)

    for seed in SEEDS:
        run_virtual(main(seed))


def test_losses_of_power_beside_one_other_crash_do_not_fail_the_job() -> None:
    """Guards against inconclusive crashes that decide with a single other one."""
    lost = LostStart(attempt=9)
    lost.task.inconclusive = {2, 3, 4}
    restart(lost)
    lost.review()
    assert not lost.job.is_final()
