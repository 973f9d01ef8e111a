"""Runs that lapsed on a silent target which restarted later for another reason."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from returns.result import Success

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import EmulatedTarget
from unit.fleet.test_failed_without_cause import (
    FAULTS,
    JOB,
    SEEDS,
    assert_completes,
    cut,
    next_target,
    pause,
)

# The lease of a silent target has ended on its own clock by then.
LAPSED_SECONDS = 7.0


@pytest.mark.parametrize("fault", [cut, pause])
def test_restart_after_the_run_lapsed_does_not_fail_the_job(
    fault: Callable[[EmulatedTarget], None],
) -> None:
    """Guards against any later restart being taken for a crash at the start."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        loop = asyncio.get_running_loop()
        for _ in range(FAULTS):
            target = await next_target(world, seen)
            assert target is not None, await world.state(job_id(JOB))
            fault(target)
            loop.call_later(LAPSED_SECONDS, target.crash_for, 1.0)
        await assert_completes(world)

    for seed in SEEDS:
        run_virtual(main(seed))
