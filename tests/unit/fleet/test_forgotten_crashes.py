"""Crashes at starts that were not confirmed before."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.lifecycle import add_late_start
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet import targets as emulated_targets
from unit.fleet.test_failed_without_cause import JOB, SEEDS
from unit.fleet.test_suspicions import BORN_MS, NOW, LostStart

# Longer than the timeout of a start.
ANSWER_SECONDS = 0.4


@pytest.mark.parametrize("down_seconds", [0.5, 1.6, 3.0])
def test_task_that_crashes_targets_before_they_answer_is_given_up(
    down_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a crash that is forgotten, as its start was never confirmed."""
    monkeypatch.setattr(emulated_targets, "CRASHED_SECONDS", down_seconds)

    async def main(seed: int) -> None:
        world = build_world(seed, target_count=16)
        for target in world.targets.values():
            target.start_answer_delay_seconds = ANSWER_SECONDS
        await world.start()
        accepted = await world.submit(
            job_id(JOB), single_step(1), 8.0, crashing_tasks=(0,)
        )
        assert isinstance(accepted, Success)
        await asyncio.sleep(60.0)
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))


def test_late_copy_of_a_lost_start_does_not_withdraw_the_suspicion() -> None:
    """Guards against a crash that is forgotten with a copy of its start."""
    lost = LostStart()
    lost.target.reachable = True
    lost.target.incarnation_ms = BORN_MS + 1
    copy = add_late_start(lost.tables, lost.target, lost.run.key, NOW + 4.0)
    lost.tables.remove_run(lost.target, copy)
    lost.review()
    assert lost.task.crashed == {1}
