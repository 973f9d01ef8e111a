"""A gang that lacks a member when its leader is killed."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual


async def play_killed_start(seed: int, kill_after: float) -> list[str]:
    """Kill the leader while a member of a gang cannot start; return the violations."""
    world = build_world(seed=seed, target_count=3)
    await world.start()
    missing = world.targets["target-1"]
    missing.silent = True
    spec = single_step(3, WHOLE, gang=True)
    assert isinstance(await world.submit(job_id(1), spec, 2.0), Success)
    await asyncio.sleep(kill_after)
    leading = world.leader_name()
    assert leading is not None
    await world.kill(leading)
    await asyncio.sleep(4.0)
    missing.silent = False
    assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 10.0)
    await world.stop()
    return world.checker.violations


@pytest.mark.parametrize("kill_after", [0.1, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("seed", range(6))
def test_no_member_ends_alone(seed: int, kill_after: float) -> None:
    assert run_virtual(play_killed_start(seed, kill_after)) == []


@pytest.mark.parametrize("seed", range(6))
def test_complete_gang_goes_on_while_one_target_is_silent(seed: int) -> None:
    async def main() -> None:
        world = build_world(seed=seed, target_count=3)
        await world.start()
        spec = single_step(3, WHOLE, estimate_ms=3000, gang=True)
        assert isinstance(await world.submit(job_id(1), spec, 3.0), Success)
        await asyncio.sleep(0.5)
        leading = world.leader_name()
        assert leading is not None
        world.targets["target-1"].silent = True
        await world.kill(leading)
        await asyncio.sleep(1.8)
        world.targets["target-1"].silent = False
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 10.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 3

    run_virtual(main())
