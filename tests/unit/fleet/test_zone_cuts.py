"""An availability zone that is cut off from the others, with the store outside."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b", "zone-c")
JOBS = 6
TASKS = 4
WORK_SECONDS = 9.0


def build_zoned_world(seed: int = 1) -> FleetWorld:
    """Return a fleet with three instances and four targets in each of three zones."""
    return build_world(seed, 9, 12, zones=ZONES, spreads_instances=True)


async def submit_jobs(world: FleetWorld) -> None:
    for number in range(JOBS):
        spec = single_step(TASKS)
        accepted = await world.submit(job_id(number), spec, WORK_SECONDS)
        assert isinstance(accepted, Success)


def leader_zone(world: FleetWorld) -> str:
    leading = world.leader_name()
    assert leading is not None
    return world.cuts.zone_of[leading]


@pytest.mark.parametrize("seconds", [3.0, 5.0, 12.0])
def test_leader_whose_zone_is_cut_off_does_not_go_on_beside_a_new_one(
    seconds: float,
) -> None:
    """Guards against second starts by a leader that is cut off with some peers.

    None of these peers reaches the store, but the instances outside do and take over.
    """

    async def main() -> None:
        world = build_zoned_world()
        await world.start()
        await submit_jobs(world)
        await asyncio.sleep(1.0)
        zone = leader_zone(world)
        world.cuts.zones.add(zone)
        await asyncio.sleep(seconds)
        world.cuts.zones.discard(zone)
        for number in range(JOBS):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 40.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
