"""A leader that another instance replaced, and that nobody tells of it."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode

ZONES = ("zone-a", "zone-b")
# The leader loses its confirmation, and the other instance takes over.
TAKEOVER_SECONDS = 2.0
WORK_SECONDS = 30.0
TASKS = 8


@pytest.mark.parametrize("cut_seconds", [4.0, 6.0])
@pytest.mark.parametrize("seed", range(4))
def test_former_leader_does_not_resume_when_its_successor_has_forgotten_its_term(
    seed: int, cut_seconds: float
) -> None:
    """Guards against a pledge of an instance that led, and restarted without the store.

    The former leader was cut off, so it knows of no newer epoch either.
    """

    async def main() -> None:
        world = build_world(seed, 2, 4, zones=ZONES, spreads_instances=True)
        await world.start()
        accepted = await world.submit(job_id(1), single_step(TASKS), WORK_SECONDS)
        assert isinstance(accepted, Success)
        await asyncio.sleep(1.0)
        former = world.leader_name()
        assert former is not None
        successor = next(name for name in world.instance_names if name != former)
        zone = world.cuts.zone_of[former]
        world.cuts.zones.add(zone)
        await asyncio.sleep(cut_seconds)
        assert world.processes[successor].instance.election.term is not None
        world.store.mode = StoreMode.SILENT
        await world.kill(successor)
        world.cuts.zones.discard(zone)
        await asyncio.sleep(0.3)
        await world.start_instance(successor)
        await asyncio.sleep(8.0)
        world.store.mode = StoreMode.WORKS
        await asyncio.sleep(TAKEOVER_SECONDS)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
