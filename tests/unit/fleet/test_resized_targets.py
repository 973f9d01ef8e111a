"""Targets whose room shrinks and grows while runs are on them."""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal.fleet.models import JobState, Resources
from lib.fleet_builders import WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import SHRINK_NOTICE_SECONDS
from standins.fleet.world import TARGET_TABLE, WHOLE_TARGET, FleetWorld

SEEDS = range(10)
SHARES = (0.0, 0.25, 0.5, 1.0)


def share_of(room: Resources, share: float) -> Resources:
    return Resources(
        int(room.cpu * share), int(room.memory_mb * share), int(room.gpus * share)
    )


async def resize_at_random(world: FleetWorld, seconds: float) -> None:
    """Change the rooms of a third of the targets every two seconds."""
    until = world.clock.boottime() + seconds
    while world.clock.boottime() < until:
        for target in world.targets.values():
            if world.generator.random() < 1 / 3:
                share = world.generator.choice(SHARES)
                target.resize(share_of(WHOLE_TARGET, share))
        await asyncio.sleep(2.0)


def test_no_start_exceeds_a_room_that_has_shrunk() -> None:
    """Guards against starts by the room that a target had before."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        resizing = asyncio.create_task(resize_at_random(world, 20.0))
        jobs = range(1, 41)
        for number in jobs:
            queue = world.generator.choice(["urgent", "normal", "patient"])
            tasks = world.generator.randint(1, 6)
            gang = world.generator.random() < 0.4
            room = WHOLE if world.generator.random() < 0.2 else Resources(6000, 9000, 2)
            spec = single_step(tasks, room, gang=gang)
            work = world.generator.uniform(0.3, 4.0)
            result = await world.submit(job_id(number), spec, work, queue)
            assert isinstance(result, Success)
            await asyncio.sleep(0.4)
        await resizing
        for target in world.targets.values():
            target.resize(WHOLE_TARGET)
        for number in jobs:
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 90.0)
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))


def test_nothing_starts_while_rooms_cannot_be_read() -> None:
    """Guards against a leader that acts for ever on what targets said before."""

    async def main() -> None:
        world = build_world()
        await world.start()
        for process in world.processes.values():
            process.store.silent_tables.add(TARGET_TABLE)
        await asyncio.sleep(2.0)
        for target in world.targets.values():
            target.resize(Resources())
        for number in range(1, 21):
            spec = single_step(8)
            assert isinstance(await world.submit(job_id(number), spec, 0.2), Success)
            await asyncio.sleep(0.5)
        for target in world.targets.values():
            target.resize(WHOLE_TARGET)
        for process in world.processes.values():
            process.store.silent_tables.clear()
        for number in range(1, 21):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 20.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_room_that_has_grown_again_is_used() -> None:
    """Guards against a target that is taken for small for ever."""

    async def main() -> None:
        world = build_world(target_count=1)
        await world.start()
        target = world.targets["target-0"]
        target.resize(share_of(WHOLE_TARGET, 0.25))
        await asyncio.sleep(SHRINK_NOTICE_SECONDS)
        spec = single_step(8, Resources(1000, 1000, 1))
        assert isinstance(await world.submit(job_id(1), spec, 6.0), Success)
        await asyncio.sleep(1.0)
        assert len(target.runs) == 2
        target.resize(WHOLE_TARGET)
        await asyncio.sleep(2.0)
        assert len(target.runs) == 8
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
