"""Crashing tasks whose targets stay down."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet import targets as emulated_targets
from unit.fleet.test_failed_without_cause import JOB, SEEDS

PLAY_SECONDS = 60.0


@pytest.mark.parametrize("down_seconds", [10.0, 30.0, 120.0])
def test_task_is_given_up_though_its_targets_stay_down(
    down_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a crashing task that takes down the whole fleet."""
    monkeypatch.setattr(emulated_targets, "CRASHED_SECONDS", down_seconds)

    async def main(seed: int) -> None:
        world = build_world(seed, target_count=16)
        await world.start()
        accepted = await world.submit(
            job_id(JOB), single_step(1), 8.0, crashing_tasks=(0,)
        )
        assert isinstance(accepted, Success)
        await asyncio.sleep(PLAY_SECONDS)
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))
