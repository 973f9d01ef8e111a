"""A leader that another instance replaced, and that nobody tells of it."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b")
# The leader loses its confirmation, and the other instance takes over.
TAKEOVER_SECONDS = 2.0
WORK_SECONDS = 30.0
SHORT_SECONDS = 4.0
TASKS = 8


async def cut_off_leader(world: FleetWorld, seconds: float) -> tuple[str, str]:
    """Start a job, and cut the leader's zone off; return its successor and the zone.

    Each task of the job works for ``seconds``.
    """
    await world.start()
    accepted = await world.submit(job_id(1), single_step(TASKS), seconds)
    assert isinstance(accepted, Success)
    await asyncio.sleep(1.0)
    former = world.leader_name()
    assert former is not None
    successor = next(name for name in world.instance_names if name != former)
    zone = world.cuts.zone_of[former]
    world.cuts.zones.add(zone)
    return successor, zone


async def wait_until_recorded(world: FleetWorld, name: str) -> None:
    """Wait until an instance has led, and the store holds that the job is complete."""
    async with asyncio.timeout(30.0):
        while True:
            await asyncio.sleep(0.05)
            leader = world.processes[name].instance.leader
            job = leader.tables.jobs.get(job_id(1)) if leader is not None else None
            if job is not None and job.recorded is JobState.COMPLETE:
                return


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
        successor, zone = await cut_off_leader(world, WORK_SECONDS)
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


@pytest.mark.parametrize("targets_return", [True, False])
@pytest.mark.parametrize("seed", range(8))
def test_former_leader_does_not_resume_when_targets_have_forgotten_the_newer_epoch(
    seed: int, targets_return: bool
) -> None:
    """Guards against done jobs that start again after a zone has lost its power."""

    async def main() -> None:
        world = build_world(seed, 2, 4, zones=ZONES, spreads_instances=True)
        successor, zone = await cut_off_leader(world, SHORT_SECONDS)
        await wait_until_recorded(world, successor)
        await asyncio.sleep(TAKEOVER_SECONDS)
        world.store.mode = StoreMode.SILENT
        await world.kill(successor)
        for target in world.targets.values():
            if target.zone != zone and targets_return:
                target.crash()
            elif target.zone != zone:
                target.crash_for(WORK_SECONDS)
        world.cuts.zones.discard(zone)
        await asyncio.sleep(0.3)
        await world.start_instance(successor)
        await asyncio.sleep(12.0)
        world.store.mode = StoreMode.WORKS
        await asyncio.sleep(4.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
