"""Suspected tasks while one leader hands over to the next."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet import targets as emulated_targets
from standins.fleet.world import FleetWorld
from unit.fleet.test_failed_without_cause import JOB, SEEDS, next_target

HANDOVERS = 8
# A suspect may be in evaluation for this long.
HANDOVER_SECONDS = 1.9
MAX_IDLE_SECONDS = 3.0


async def hand_over(world: FleetWorld) -> None:
    """Restart the leading instance gracefully."""
    leading = world.leader_name()
    if leading is not None:
        await world.stop_gracefully(leading)
        await world.start_instance(leading)


async def hand_over_repeatedly(world: FleetWorld, handovers: int) -> None:
    """Restart the leading instances one after the other."""
    for _ in range(handovers):
        await asyncio.sleep(HANDOVER_SECONDS)
        await hand_over(world)


@pytest.mark.parametrize("handovers", [0, 1, 3])
def test_suspect_is_started_again_in_time_beside_handovers(handovers: int) -> None:
    """Guards against an evaluation that begins anew with each term."""

    async def main(seed: int) -> None:
        world = build_world(seed, instance_count=6)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        for _ in range(2):
            target = await next_target(world, seen)
            assert target is not None
            target.cut = True
        leading = world.leader_name()
        leader = world.processes[leading].instance.leader if leading else None
        assert leader is not None
        while leader.tables.jobs[job_id(JOB)].runs:
            await asyncio.sleep(0.01)
        lost_at = world.clock.boottime()
        handing_over = asyncio.create_task(hand_over_repeatedly(world, handovers))
        assert await next_target(world, seen) is not None
        idle = world.clock.boottime() - lost_at
        await handing_over
        await world.stop()
        assert idle <= MAX_IDLE_SECONDS, idle

    for seed in SEEDS:
        run_virtual(main(seed))


@pytest.mark.parametrize("delay_seconds", [0.5, 1.0])
def test_trial_that_the_next_leader_adopts_still_counts(
    delay_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a trial that is forgotten as its adopted run is lost."""
    monkeypatch.setattr(emulated_targets, "CRASH_DELAY_SECONDS", delay_seconds)

    async def main(seed: int) -> None:
        world = build_world(seed, instance_count=4, target_count=16)
        await world.start()
        accepted = await world.submit(
            job_id(JOB), single_step(1), 8.0, crashing_tasks=(0,)
        )
        assert isinstance(accepted, Success)
        # The first start of a task is no trial, so its crash is left alone.
        while not any(count >= 2 for count in world.checker.crashes.values()):
            await asyncio.sleep(0.05)
        seen: set[int] = set()
        for _ in range(HANDOVERS):
            if await next_target(world, seen) is None:
                break
            await asyncio.sleep(0.1)
            await hand_over(world)
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))
