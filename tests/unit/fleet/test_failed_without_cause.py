"""Jobs that must not be shown as failed, as no task has used up its attempts."""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import EmulatedTarget
from standins.fleet.world import FleetWorld

SEEDS = range(4)
JOB = 1
# How often the target of the job's run is cut off just after the start.
CUTS = 5
START_SECONDS = 30.0
POLL_SECONDS = 0.02


async def next_target(world: FleetWorld, seen: set[int]) -> EmulatedTarget | None:
    """Return the target of the job's next run, which is added to ``seen``."""
    until = world.clock.boottime() + START_SECONDS
    while world.clock.boottime() < until:
        for target in world.targets.values():
            for key in target.runs:
                if key.attempt not in seen and not target.cut:
                    seen.add(key.attempt)
                    return target
        await asyncio.sleep(POLL_SECONDS)
    return None


def test_runs_that_lapse_behind_cuts_do_not_fail_their_job() -> None:
    """Guards against a target that is cut off being taken for one that crashed."""

    async def main(seed: int) -> None:
        world = build_world(seed)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        seen: set[int] = set()
        for _ in range(CUTS):
            target = await next_target(world, seen)
            assert target is not None, await world.state(job_id(JOB))
            target.cut = True
            asyncio.get_running_loop().call_later(12.0, setattr, target, "cut", False)
        state = await world.wait_for_state(job_id(JOB), JobState.COMPLETE, 60.0)
        assert state is not None, await world.state(job_id(JOB))
        await world.stop()
        assert world.checker.violations == []

    for seed in SEEDS:
        run_virtual(main(seed))
