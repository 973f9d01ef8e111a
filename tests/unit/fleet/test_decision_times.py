"""When the leader decides anew: on changes and at known times, not in every tick."""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal.fleet.decisions import Decisions, TickContext
from egretloft._internal.fleet.leader import Leader
from egretloft._internal.fleet.models import JobSpec, JobState
from lib.fleet_builders import SMALL, WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

# The stop, its end and the start of the urgent run follow the wait of 0.4 s.
RECLAIM_SECONDS = 1.0
DUE_SECONDS = 1.5
START_TOLERANCE_SECONDS = 0.15


def leader_of(world: FleetWorld) -> Leader:
    """Return the leader, which must exist."""
    name = world.leader_name()
    assert name is not None
    leader = world.processes[name].instance.leader
    assert leader is not None
    return leader


def count_decisions(leader: Leader) -> list[float]:
    """Return a list to which the time of every further decision is added."""
    times: list[float] = []
    decide = leader.scheduler.decide

    def counted(operators: object, context: TickContext) -> Decisions:
        times.append(context.now)
        return decide(operators, context)  # type: ignore[arg-type]

    leader.scheduler.decide = counted  # type: ignore[method-assign]
    return times


def test_running_work_causes_no_decisions() -> None:
    """Guards against a leader that decides 20 times a second although nothing changes.

    All tasks run and nothing waits; the targets keep checking in.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        assert isinstance(await world.submit(job_id(1), single_step(8), 9.0), Success)
        await asyncio.sleep(1.0)
        times = count_decisions(leader_of(world))
        await asyncio.sleep(4.0)
        assert len(times) <= 2
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_an_occurrence_starts_when_it_is_due_although_nothing_else_happens() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        due = world.clock.wall() + DUE_SECONDS
        step = single_step(2, SMALL).steps
        spec = JobSpec("payload", step, 2, int(due * 1000), 1000)
        assert isinstance(await world.submit(job_id(1), spec, 0.3), Success)
        while world.checker.starts < 2:
            await asyncio.sleep(0.01)
            assert world.clock.wall() < due + START_TOLERANCE_SECONDS
        while world.checker.starts < 4:
            await asyncio.sleep(0.01)
            assert world.clock.wall() < due + 1.0 + START_TOLERANCE_SECONDS
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 3.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_urgent_work_reclaims_in_time_although_no_run_ends() -> None:
    """Guards against an urgent step that waits for an event that does not come.

    Every target is full of long runs, so only the time since the arrival changes.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        full = single_step(8, WHOLE)
        assert isinstance(await world.submit(job_id(1), full, 30.0), Success)
        await asyncio.sleep(2.0)
        urgent = single_step(2, WHOLE, gang=True)
        assert isinstance(await world.submit(job_id(2), urgent, 1.0, "urgent"), Success)
        accepted = world.clock.boottime()
        while world.checker.starts < 10:
            await asyncio.sleep(0.01)
            assert world.clock.boottime() - accepted < RECLAIM_SECONDS
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
