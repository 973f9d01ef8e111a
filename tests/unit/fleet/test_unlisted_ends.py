"""Targets that list only the first of their ends, as more wait to be acknowledged."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

JOBS = 8
TASKS = 3
TARGETS = 2
LISTED_ENDS = 4
WORK_SECONDS = 2.0
OUTAGE_SECONDS = 4.5


async def start_jobs() -> FleetWorld:
    """Return a fleet of two targets on which twelve tasks each have just started."""
    world = build_world(target_count=TARGETS)
    for target in world.targets.values():
        target.max_listed_ends = LISTED_ENDS
    await world.start()
    for number in range(JOBS):
        accepted = await world.submit(job_id(number), single_step(TASKS), WORK_SECONDS)
        assert isinstance(accepted, Success)
    await asyncio.sleep(0.5)
    assert world.checker.starts >= TARGETS * 2 * LISTED_ENDS
    return world


async def check_all_complete_once(world: FleetWorld) -> None:
    for number in range(JOBS):
        assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 20.0)
    await asyncio.sleep(2.0)
    await world.stop()
    assert world.checker.violations == []
    assert world.checker.starts == JOBS * TASKS


def test_runs_whose_ends_are_not_listed_yet_are_not_started_again() -> None:
    """Guards against a list of ends that is cut off and taken for a complete one."""

    async def main() -> None:
        world = await start_jobs()
        world.store.mode = StoreMode.SILENT
        await asyncio.sleep(OUTAGE_SECONDS)
        world.store.mode = StoreMode.WORKS
        await check_all_complete_once(world)

    run_virtual(main())


@pytest.mark.parametrize("restarts", [False, True])
def test_new_leader_waits_for_all_ends_before_it_starts_anything(
    restarts: bool,
) -> None:
    """Guards against a first answer that is cut off and taken for a fence."""

    async def main() -> None:
        world = await start_jobs()
        leading = world.leader_name()
        assert leading is not None
        world.store.mode = StoreMode.SILENT
        await asyncio.sleep(WORK_SECONDS)
        await world.kill(leading)
        world.store.mode = StoreMode.WORKS
        if restarts:
            await world.start_instance(leading)
        await check_all_complete_once(world)

    run_virtual(main())
