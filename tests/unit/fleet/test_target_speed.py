"""Slow targets are recognised, and urgent work keeps off them."""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.tables import RunRow, StepRow, TargetRow
from egretloft._internal.fleet.target_speed import is_slow, observe_progress
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    build_world,
    first_task,
    job_id,
    run_task,
    single_step,
)
from lib.virtual_time import run_virtual
from unit.fleet.test_demands import first_step
from unit.fleet.test_placing import decide, started

# Every third target takes 1.3 times as long.
SLOWNESS = 1.3


def observe(target: TargetRow, step: StepRow, run: RunRow, seconds: float) -> None:
    """Show a run at the start and once a fifth of it is done."""
    observe_progress(target, step, run, 1, 10.0)
    observe_progress(target, step, run, 21, 10.0 + seconds)


def test_target_that_is_slower_than_others_at_the_same_step_is_slow() -> None:
    targets = [build_target(n) for n in range(6)]
    tables = build_tables(*targets)
    for number in range(2):
        job = add_job(tables, number, single_step(6))
        for index, target in enumerate(targets):
            run = run_task(target, first_task(job, index=index), SMALL)
            seconds = SLOWNESS if index == 4 else 1.0
            observe(target, first_step(job), run, seconds)
    assert [is_slow(target) for target in targets] == [False] * 4 + [True, False]


def test_a_run_is_measured_once_and_only_beside_others() -> None:
    """Guards against a judgement from one long run, or from a step's own size."""
    target = build_target(0)
    job = add_job(build_tables(target), 1, single_step(3))
    run = run_task(target, first_task(job), SMALL)
    observe(target, first_step(job), run, 50.0)
    assert target.speed == 1.0
    first_step(job).rates.update({"target-1": 20.0, "target-2": 20.0})
    observe_progress(target, first_step(job), run, 60, 90.0)
    assert target.speed == 1.0


def test_a_run_away_from_its_data_tells_nothing_of_its_target() -> None:
    target = build_target(0, "r-0")
    job = add_job(build_tables(target), 1, single_step(3, data_rack="r-1"))
    first_step(job).rates.update({"target-1": 20.0, "target-2": 20.0})
    run = run_task(target, first_task(job), SMALL)
    observe(target, first_step(job), run, 3.0)
    assert target.speed == 1.0


def test_tight_steps_get_fast_targets_and_patient_ones_the_slow() -> None:
    """Guards against urgent work that is late for the target's sake alone."""
    targets = [build_target(n) for n in range(2)]
    targets[0].speed = 0.7
    tables = build_tables(*targets)
    add_job(tables, 1, single_step(1, WHOLE), priority=2)
    urgent = add_job(tables, 2, single_step(1, WHOLE), priority=0)
    first_step(urgent).tight = True
    assert started(decide(tables)) == [
        (job_id(2), ["target-1"]),
        (job_id(1), ["target-0"]),
    ]


def test_a_tight_gang_gets_the_rack_without_slow_targets() -> None:
    targets = [build_target(n, f"r-{n // 2}") for n in range(4)]
    targets[1].speed = 0.7
    tables = build_tables(*targets)
    job = add_job(tables, 1, single_step(2, WHOLE, gang=True, same_rack=True))
    first_step(job).tight = True
    assert started(decide(tables)) == [(job_id(1), ["target-2", "target-3"])]


def test_urgent_jobs_come_to_run_on_fast_targets() -> None:
    """Guards against a third of the urgent jobs being late on an idle fleet."""

    async def main() -> None:
        world = build_world(target_count=12)
        slow = [t for n, t in enumerate(world.targets.values()) if n % 3 == 2]
        for target in slow:
            target.slowness = SLOWNESS
        await world.start()
        for number in range(4):
            result = await world.submit(job_id(number), single_step(96), 4.0, "patient")
            assert isinstance(result, Success)
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 9.0)
        for number in range(10, 18):
            result = await world.submit(
                job_id(number), single_step(1, WHOLE), 2.0, "urgent"
            )
            assert isinstance(result, Success)
        await asyncio.sleep(0.5)
        runs = {run for target in slow for run in target.runs}
        assert not [run for run in runs if run.task.step.job_id >= job_id(10)]
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
