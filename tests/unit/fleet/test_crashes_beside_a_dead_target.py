"""Crashing tasks of which some targets never come back."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.checker import RunTruth
from standins.fleet.targets import EmulatedTarget
from unit.fleet.test_failed_without_cause import JOB

SEEDS = range(8)
DOWN_SECONDS = 1.0
DEAD_SECONDS = 100.0


@pytest.mark.parametrize("dead", [0, 1, 2])
def test_task_is_given_up_though_some_of_its_targets_stay_down(
    dead: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a dead target that ends the evaluation of each later trial."""

    def crash_by(target: EmulatedTarget, run: RunTruth) -> None:
        if run.key in target.runs:
            crashes = target.checker.crashes
            crashes[run.key.task] += 1
            is_dead = 1 < crashes[run.key.task] <= 1 + dead
            target.crash_for(DEAD_SECONDS if is_dead else DOWN_SECONDS)

    monkeypatch.setattr(EmulatedTarget, "crash_by", crash_by)

    async def main(seed: int) -> None:
        world = build_world(seed, target_count=16)
        await world.start()
        accepted = await world.submit(
            job_id(JOB), single_step(1), 8.0, crashing_tasks=(0,)
        )
        assert isinstance(accepted, Success)
        await asyncio.sleep(50.0)
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))
