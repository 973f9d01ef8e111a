"""A takeover while a target has been unreachable for long."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.constants import PARTITION, TABLE_TARGETS
from egretloft._internal.fleet.interfaces import RowKey
from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

# Longer than a lease, and the time in which a target is found to be unreachable.
LEASE_OVER_SECONDS = 7.0
# A takeover, the end of the run that is waited for, and a start.
NEXT_START_SECONDS = 3.0


def is_recorded(world: FleetWorld, target_id: str) -> bool:
    """Return whether the store holds the target as one that may have runs."""
    row = world.store.rows.get(RowKey(TABLE_TARGETS, PARTITION, target_id))
    return row is not None and row.value is not None


async def submit(world: FleetWorld, number: int, seconds: float) -> None:
    result = await world.submit(job_id(number), single_step(1, WHOLE), seconds)
    assert isinstance(result, Success)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("busy", [True, False])
def test_takeover_does_not_wait_for_a_target_that_is_known_to_be_dead(
    seed: int, busy: bool
) -> None:
    """Guards against old jobs that wait for 5 s after each takeover.

    The former leader has seen the leases of the dead target expire.
    """

    async def main() -> float | None:
        world = build_world(seed=seed, target_count=2)
        await world.start()
        if busy:
            await submit(world, 1, 60.0)
            await submit(world, 2, 60.0)
            await asyncio.sleep(0.5)
        # Silent to the leader, but it stays in the platform's list.
        world.targets["target-1"].silent = True
        if not busy:
            await submit(world, 1, 60.0)
            await submit(world, 2, 60.0)
        await asyncio.sleep(LEASE_OVER_SECONDS)
        assert not is_recorded(world, "target-1")
        for number in (1, 2):
            assert isinstance(await world.cancel(job_id(number)), Success)
        await submit(world, 3, 1.5)
        await submit(world, 4, 0.2)
        await asyncio.sleep(0.3)
        leading = world.leader_name()
        assert leading is not None
        await world.kill(leading)
        waited = await world.wait_for_state(job_id(4), JobState.COMPLETE, 10.0)
        await world.stop()
        assert world.checker.violations == []
        return waited

    waited = run_virtual(main())
    assert waited is not None
    assert waited < NEXT_START_SECONDS


def test_target_is_recorded_again_before_it_gets_work() -> None:
    async def main() -> None:
        world = build_world(target_count=1)
        await world.start()
        await submit(world, 1, 30.0)
        await asyncio.sleep(0.5)
        world.targets["target-0"].silent = True
        await asyncio.sleep(LEASE_OVER_SECONDS)
        assert not is_recorded(world, "target-0")
        world.targets["target-0"].silent = False
        await asyncio.sleep(1.5)
        assert is_recorded(world, "target-0")
        assert world.targets["target-0"].runs
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_target_gets_work_again_after_a_long_silence() -> None:
    """Guards against a target that stays unused after its runs were given up.

    Its session has nothing left to renew, and it never left the platform's list.
    """

    async def main() -> None:
        world = build_world(target_count=1)
        await world.start()
        await submit(world, 1, 2.0)
        await asyncio.sleep(0.5)
        world.targets["target-0"].silent = True
        await asyncio.sleep(LEASE_OVER_SECONDS)
        world.targets["target-0"].silent = False
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 5.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
