"""Targets of whose lists a row cannot be decoded."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.garbled_targets import GarbledTargets, Garbler
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

WORK_SECONDS = 4.0
FAULT_SECONDS = 2.0
# A lease expires, and the work starts anew.
FINISH_SECONDS = 20.0


async def check_once(world: FleetWorld) -> None:
    assert await world.wait_for_state(job_id(1), JobState.COMPLETE, FINISH_SECONDS)
    await asyncio.sleep(2.0)
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("takeover", [False, True])
@pytest.mark.parametrize("seconds", [FAULT_SECONDS, WORK_SECONDS, 9.0])
def test_run_in_an_unreadable_row_is_not_taken_for_a_missing_one(
    seconds: float, takeover: bool
) -> None:
    """Guards against a second start of a run that the target still holds."""

    async def main() -> None:
        garbler = Garbler()
        world = build_world(
            target_count=2,
            wrap_targets=lambda inner: GarbledTargets(inner, garbler),
        )
        await world.start()
        accepted = await world.submit(job_id(1), single_step(2), WORK_SECONDS)
        assert isinstance(accepted, Success)
        await asyncio.sleep(0.5)
        garbler.hides_runs = True
        if takeover:
            await world.kill(world.leader_name() or "")
        await asyncio.sleep(seconds)
        garbler.hides_runs = False
        await check_once(world)

    run_virtual(main())


@pytest.mark.parametrize("seconds", [FAULT_SECONDS, 9.0])
def test_end_in_an_unreadable_row_is_not_acknowledged_with_later_ones(
    seconds: float,
) -> None:
    """Guards against a done task that starts again, as nobody heard of its end."""

    async def main() -> None:
        garbler = Garbler()
        world = build_world(
            target_count=1,
            wrap_targets=lambda inner: GarbledTargets(inner, garbler),
        )
        await world.start()
        garbler.hides_ends = True
        accepted = await world.submit(job_id(1), single_step(2), 1.0)
        assert isinstance(accepted, Success)
        await asyncio.sleep(seconds)
        garbler.hides_ends = False
        await check_once(world)

    run_virtual(main())
