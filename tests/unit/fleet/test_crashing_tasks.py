"""Tasks that crash the targets on which they start."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobSpec, JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

SEEDS = range(8)
CRASHING = 1
SOUND = range(10, 16)
# A start, and the return of the target after the crash, a few times over.
GIVE_UP_SECONDS = 40.0


async def submit(
    world: FleetWorld,
    number: int,
    spec: JobSpec,
    seconds: float,
    crashing_tasks: tuple[int, ...] = (),
) -> None:
    result = await world.submit(
        job_id(number), spec, seconds, crashing_tasks=crashing_tasks
    )
    assert isinstance(result, Success)


async def assert_given_up(world: FleetWorld) -> None:
    """Wait until the crashing job has failed and the sound ones are complete."""
    failed = await world.wait_for_state(
        job_id(CRASHING), JobState.FAILED, GIVE_UP_SECONDS
    )
    assert failed is not None
    for number in SOUND:
        state = await world.wait_for_state(job_id(number), JobState.COMPLETE, 30.0)
        assert state is not None, number
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("gang", [False, True])
def test_task_that_crashes_target_after_target_is_given_up(gang: bool) -> None:
    """Guards against one task that takes down the targets one after the other."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        await submit(world, CRASHING, single_step(4, gang=gang), 2.0, (1,))
        for number in SOUND:
            await submit(world, number, single_step(3), 4.0)
        await assert_given_up(world)

    for seed in SEEDS:
        run_virtual(main(seed))


def test_crashes_are_remembered_by_the_next_leader() -> None:
    """Guards against a count that begins anew with each term."""

    async def main(seed: int) -> None:
        world = build_world(seed, instance_count=5)
        await world.start()
        await submit(world, CRASHING, single_step(2), 2.0, (0,))
        for number in SOUND:
            await submit(world, number, single_step(3), 4.0)
        for _ in range(2):
            await asyncio.sleep(world.generator.uniform(3.0, 6.0))
            leading = world.leader_name()
            if leading is not None:
                await world.kill(leading)
        await assert_given_up(world)

    for seed in SEEDS:
        run_virtual(main(seed))


def test_sound_tasks_outlive_crashes_of_their_zone() -> None:
    """Guards against sound tasks that are blamed for losses of power."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        for _ in range(6):
            for number in SOUND:
                await submit(world, number, single_step(3), 3.0)
            await asyncio.sleep(0.3)
            zone = world.generator.choice(world.zones)
            for target in world.targets.values():
                if target.zone == zone:
                    target.crash_for(1.5)
            await asyncio.sleep(world.generator.uniform(1.5, 5.0))
        for number in SOUND:
            state = await world.wait_for_state(job_id(number), JobState.COMPLETE, 60.0)
            assert state is not None, number
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))


def test_sound_task_that_starts_beside_a_crashing_one_is_not_blamed() -> None:
    """Guards against two jobs that crash together each time, as both start at once."""

    async def main(seed: int) -> None:
        world = build_world(seed, target_count=4)
        await world.start()
        await submit(world, CRASHING, single_step(1), 2.0, (0,))
        for number in SOUND:
            await submit(world, number, single_step(1), 5.0)
        await assert_given_up(world)

    for seed in SEEDS:
        run_virtual(main(seed))
