"""Tests of the checks that storms of faults make themselves."""

from __future__ import annotations

import asyncio

import pytest

from egretloft._internal.fleet.models import RunKey, StepKey, TaskKey
from lib.fleet_builders import SMALL, job_id, single_step
from lib.fleet_faults import DRAIN_SECONDS, Storm
from lib.virtual_time import run_virtual
from standins.fleet.checker import JobTruth, RunTruth
from standins.fleet.world import REGISTRATION_PERIOD_SECONDS

DOWN_SECONDS = 3.0


async def drain_one(storm: Storm, down_seconds: float) -> tuple[str, float]:
    """Drain a target that is down for a while; return it and when it was drained."""
    await storm.world.start()
    names = set(storm.world.targets)
    drained_at = asyncio.get_running_loop().time()
    draining = asyncio.create_task(storm.drain_target(10.0))
    await asyncio.sleep(0)
    (name,) = names & storm.busy_targets
    if down_seconds:
        storm.world.targets[name].crash_for(down_seconds)
    await draining
    await storm.world.stop()
    return name, drained_at


@pytest.mark.parametrize("seed", range(8))
def test_target_that_is_down_has_not_reported_that_it_leaves(seed: int) -> None:
    """Guards against a start that counts as wrong before anyone could know better."""

    async def main() -> None:
        storm = Storm(seed)
        name, drained_at = await drain_one(storm, DOWN_SECONDS)
        left_at = storm.checker.left_at[name]
        assert left_at >= drained_at + DOWN_SECONDS
        assert left_at <= drained_at + DOWN_SECONDS + REGISTRATION_PERIOD_SECONDS + 0.1

    run_virtual(main())


@pytest.mark.parametrize("seed", range(8))
def test_start_on_a_target_that_reported_that_it_leaves_is_noticed(seed: int) -> None:
    """Guards against a check that waits for a report and then forgives every start."""

    async def main() -> None:
        storm = Storm(seed)
        name, drained_at = await drain_one(storm, 0.0)
        checker = storm.checker
        left_at = checker.left_at[name]
        assert left_at <= drained_at + REGISTRATION_PERIOD_SECONDS + 0.1
        checker.jobs[job_id(1)] = JobTruth(single_step(2, SMALL), 1.0)
        for index, late in enumerate((-0.1, 0.1)):
            task = TaskKey(StepKey(job_id(1), 0, 0), index)
            at = left_at + DRAIN_SECONDS + late
            run = RunTruth(RunKey(task, 1), name, SMALL, "", at)
            checker.on_start(run, "payload", at)
        assert [text.split()[0] for text in checker.violations] == ["DRAIN"]

    run_virtual(main())
