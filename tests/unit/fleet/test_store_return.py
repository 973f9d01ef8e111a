"""Leadership when the store returns after an outage that affected all instances."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

SEEDS = 12
OUTAGE_SECONDS = 4.5
# The timeout of the heartbeat counts from the store's return; then come one transaction
# and one retry of the feed.
TAKEOVER_SECONDS = 2.5


async def wait_for_new_leader(world: FleetWorld, former: str | None) -> float:
    started = world.clock.boottime()
    while world.leader_name() in (None, former):
        await asyncio.sleep(0.02)
        assert world.clock.boottime() - started < TAKEOVER_SECONDS
    return world.clock.boottime() - started


@pytest.mark.parametrize("mode", [StoreMode.REFUSES, StoreMode.SILENT])
def test_leader_that_served_on_keeps_its_term(mode: StoreMode) -> None:
    """Guards against a takeover because nobody could write a heartbeat.

    The candidates see a heartbeat that is as old as the outage. The leader is alive.
    """

    async def main(seed: int) -> None:
        world = build_world(seed, instance_count=7)
        await world.start()
        leading = world.leader_name()
        assert leading is not None
        assert isinstance(await world.submit(job_id(1), single_step(6), 9.0), Success)
        await asyncio.sleep(0.5)
        world.store.mode = mode
        await asyncio.sleep(OUTAGE_SECONDS + seed / SEEDS)
        world.store.mode = StoreMode.WORKS
        await asyncio.sleep(4.0)
        assert world.leader_name() == leading
        assert world.processes[leading].instance.election.leader is not None
        assert world.processes[leading].instance.election.leader.epoch == 1
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 6.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 6

    for seed in range(SEEDS):
        run_virtual(main(seed))


@pytest.mark.parametrize("mode", [StoreMode.REFUSES, StoreMode.SILENT])
def test_leader_that_died_in_the_outage_is_replaced(mode: StoreMode) -> None:
    async def main(seed: int) -> None:
        world = build_world(seed, instance_count=7)
        await world.start()
        leading = world.leader_name()
        assert leading is not None
        world.store.mode = mode
        await asyncio.sleep(2.0)
        await world.kill(leading)
        await asyncio.sleep(OUTAGE_SECONDS - 2.0)
        world.store.mode = StoreMode.WORKS
        await wait_for_new_leader(world, leading)
        await world.stop()

    for seed in range(SEEDS):
        run_virtual(main(seed))
