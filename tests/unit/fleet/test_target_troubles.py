"""Targets that come back cold, flap, are added empty, or lose the answer to a start."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import SMALL, WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

SEEDS = range(4)


async def submit_mix(world: FleetWorld, first: int, count: int) -> list[str]:
    """Submit single tasks and gangs by turns, four a second; return their ids."""
    names: list[str] = []
    for number in range(first, first + count):
        spec = (
            single_step(3, WHOLE, gang=True, estimate_ms=2000)
            if number % 2
            else single_step(4, SMALL, estimate_ms=1000)
        )
        result = await world.submit(job_id(number), spec, 1.5)
        assert isinstance(result, Success)
        names.append(job_id(number))
        await asyncio.sleep(0.25)
    return names


async def finish(world: FleetWorld, names: list[str], seconds: float) -> None:
    """Wait until all jobs are complete, and check what targets have seen."""
    for name in names:
        assert await world.wait_for_state(name, JobState.COMPLETE, seconds)
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_of_targets_that_comes_back_cold_is_neither_lost_nor_blamed(
    seed: int,
) -> None:
    """Guards against slow first runs that are taken for stalled ones.

    Believed: a restarted target runs nothing, by its start time; a run makes progress
    as long as its percentage changes.
    """

    async def main() -> None:
        world = build_world(seed=seed)
        await world.start()
        names = await submit_mix(world, 1, 8)
        for target in world.targets.values():
            if target.zone == world.zones[0]:
                target.return_cold(slowness=4.0, seconds=5.0)
        names += await submit_mix(world, 9, 8)
        leading = world.leader_name()
        assert leading is not None
        leader = world.processes[leading].instance.leader
        assert leader is not None
        assert all(row.quarantines == 0 for row in leader.tables.targets.values())
        await finish(world, names, 40.0)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_start_whose_answer_is_lost_runs_once(seed: int) -> None:
    """Guards against a second run of a task whose start was carried out unheard.

    Believed: a start without an answer may run until the target's list says otherwise.
    """

    async def main() -> None:
        world = build_world(seed=seed)
        await world.start()
        for process in world.processes.values():
            process.targets.lost_answer_share = 0.4
        names = await submit_mix(world, 1, 16)
        await finish(world, names, 30.0)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_targets_that_flap_keep_their_runs_or_lose_them_whole(seed: int) -> None:
    """Guards against runs that are started elsewhere while a target is only silent.

    Believed: runs of a silent target go on until its lease has ended.
    """

    async def main() -> None:
        world = build_world(seed=seed)
        await world.start()

        async def flap(target_id: str, silent: float, heard: float) -> None:
            target = world.targets[target_id]
            for _ in range(6):
                target.silent = True
                await asyncio.sleep(silent)
                target.silent = False
                await asyncio.sleep(heard)

        flaps = [
            asyncio.create_task(flap("target-1", 1.2, 0.8)),
            asyncio.create_task(flap("target-2", 2.5, 1.0)),
            asyncio.create_task(flap("target-5", 0.6, 0.4)),
        ]
        names = await submit_mix(world, 1, 24)
        await asyncio.gather(*flaps)
        await finish(world, names, 40.0)

    run_virtual(main())


def test_empty_targets_that_are_added_get_work_at_once() -> None:
    """Believed: a listed target is empty once it has seen the leader's epoch."""

    async def main() -> None:
        world = build_world(target_count=1)
        await world.start()
        for number in (1, 2, 3):
            result = await world.submit(job_id(number), single_step(1, WHOLE), 4.0)
            assert isinstance(result, Success)
        await asyncio.sleep(1.0)
        for number in (1, 2):
            world.spawn_registration(world.add_target(number))
        # A new target registers within 1.5 s; the runs take 4 s each.
        for number in (2, 3):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 6.5)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_long_run_outlives_the_stall_of_its_target() -> None:
    """Guards against work that is given up because one target stood still for a while.

    Meanwhile no new task is started on that target.
    """

    async def main() -> None:
        world = build_world(target_count=8)
        await world.start()
        spec = single_step(1, SMALL, estimate_ms=6000)
        result = await world.submit(job_id(1), spec, 6.0)
        assert isinstance(result, Success)
        await asyncio.sleep(4.0)
        stalling = next(target for target in world.targets.values() if target.runs)
        stalling.stall(5.0)
        await asyncio.sleep(3.0)
        for number in range(2, 5):
            await world.submit(job_id(number), single_step(8, SMALL), 0.5)
        await asyncio.sleep(0.5)
        assert {run.key.task.step.job_id for run in stalling.runs.values()} == {
            job_id(1)
        }
        await finish(world, [job_id(number) for number in range(1, 5)], 12.0)
        assert world.checker.starts == 1 + 3 * 8

    run_virtual(main())
