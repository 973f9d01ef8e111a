"""Jobs that must not be shown as failed, as no task has used up its attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState, Resources
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import EmulatedTarget
from standins.fleet.world import FleetWorld

SEEDS = range(4)
JOB = 1
# How often the target of the job's run has a fault just after the start.
FAULTS = 5
FAULT_SECONDS = 12.0
START_SECONDS = 30.0
POLL_SECONDS = 0.02
# A target that goes down and up by turns, and how often.
FLAP_SECONDS = 0.8
FLAPS = 8
ONE_GPU = Resources(cpu=4_000, memory_mb=8_000, gpus=1)


def cut(target: EmulatedTarget) -> None:
    """Cut a target off from the instances and the store for a while."""
    set_for_a_while(target, "cut")


def pause(target: EmulatedTarget) -> None:
    """Let a target answer no calls for a while; it still registers."""
    set_for_a_while(target, "silent")


def set_for_a_while(target: EmulatedTarget, fault: str) -> None:
    setattr(target, fault, True)
    loop = asyncio.get_running_loop()
    loop.call_later(FAULT_SECONDS, setattr, target, fault, False)


async def next_target(world: FleetWorld, seen: set[int]) -> EmulatedTarget | None:
    """Return the target of the job's next run, which is added to ``seen``."""
    until = world.clock.boottime() + START_SECONDS
    while world.clock.boottime() < until:
        for target in world.targets.values():
            for key in target.runs:
                is_job = key.task.step.job_id == job_id(JOB)
                if is_job and key.attempt not in seen and not target.cut:
                    seen.add(key.attempt)
                    return target
        await asyncio.sleep(POLL_SECONDS)
    return None


async def assert_completes(world: FleetWorld) -> None:
    """Wait until the job is complete; no promise may have been broken."""
    state = await world.wait_for_state(job_id(JOB), JobState.COMPLETE, 60.0)
    assert state is not None, await world.state(job_id(JOB))
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("fault", [cut, pause])
def test_runs_that_lapse_on_silent_targets_do_not_fail_their_job(
    fault: Callable[[EmulatedTarget], None], gang: bool
) -> None:
    """Guards against a target that is cut off being taken for one that crashed."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        spec = single_step(2 if gang else 1, gang=gang)
        accepted = await world.submit(job_id(JOB), spec, 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        for _ in range(FAULTS):
            target = await next_target(world, seen)
            assert target is not None, await world.state(job_id(JOB))
            fault(target)
        await assert_completes(world)

    for seed in SEEDS:
        run_virtual(main(seed))


@pytest.mark.parametrize("fault", [cut, pause])
def test_trials_that_lapse_around_takeovers_do_not_fail_their_job(
    fault: Callable[[EmulatedTarget], None],
) -> None:
    """Guards against trials of former leaders that count as crashes, unseen."""

    async def main(seed: int) -> None:
        world = build_world(seed, instance_count=6)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        for number in range(FAULTS):
            target = await next_target(world, seen)
            assert target is not None, await world.state(job_id(JOB))
            await asyncio.sleep(world.generator.uniform(0.0, 0.3))
            fault(target)
            leading = world.leader_name()
            if number % 2 and leading is not None:
                await world.kill(leading)
        await assert_completes(world)

    for seed in SEEDS:
        run_virtual(main(seed))


def test_flapping_target_on_a_full_service_does_not_fail_the_job() -> None:
    """Guards against crashes of a target that goes down and up by turns."""

    async def main(seed: int) -> None:
        world = build_world(seed, target_count=4)
        await world.start()
        names = range(JOB, JOB + len(world.targets))
        for number in names:
            spec = single_step(8, room=ONE_GPU)
            accepted = await world.submit(job_id(number), spec, 40.0)
            assert isinstance(accepted, Success)
        await asyncio.sleep(1.0)
        flapping = next(iter(world.targets.values()))
        for _ in range(FLAPS):
            flapping.crash_for(FLAP_SECONDS)
            await asyncio.sleep(2 * FLAP_SECONDS)
        for number in names:
            state = await world.wait_for_state(job_id(number), JobState.COMPLETE, 120.0)
            assert state is not None, await world.state(job_id(number))
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))
