"""Takeovers by an instance that the former leader does not know."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from returns.result import Failure, Success

from egretloft._internal.fleet.models import EndKind, JobState, TargetFailure
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b")
NEW = "instance-9"
JOBS = 3
TASKS = 4
WORK_SECONDS = 8.0
# A leader finds out that the store is lost, and collects pledges.
PLEDGED_SECONDS = 3.0
WAITING_SECONDS = 6.0
# As many as a target gets that is watched, and twice as many to spare.
MAX_CALLS_PER_SECOND = 10


async def start_world(seed: int) -> FleetWorld:
    """Return a fleet with targets in two zones and all its instances in one."""
    world = build_world(seed, 2, 6, zones=ZONES)
    await world.start()
    for number in range(JOBS):
        spec = single_step(TASKS)
        accepted = await world.submit(job_id(number), spec, WORK_SECONDS)
        assert isinstance(accepted, Success)
    await asyncio.sleep(1.0)
    return world


async def finish(world: FleetWorld) -> None:
    for number in range(JOBS):
        assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 40.0)
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("cut_seconds", [8.0, 14.0])
@pytest.mark.parametrize("seed", range(4))
def test_new_instance_does_not_act_beside_a_leader_that_does_not_know_it(
    seed: int, cut_seconds: float
) -> None:
    """Guards against a leader that holds all pledges that it asks for.

    All instances that it knows are in its zone, which is cut off; the new one is not.
    """

    async def main() -> None:
        world = await start_world(seed)
        world.cuts.zones.add("zone-a")
        await asyncio.sleep(PLEDGED_SECONDS)
        world.cuts.zone_of[NEW] = "zone-b"
        await world.start_instance(NEW)
        await asyncio.sleep(cut_seconds)
        world.cuts.zones.discard("zone-a")
        await finish(world)

    run_virtual(main())


def test_new_instance_takes_over_at_once_if_it_reaches_all_targets() -> None:
    async def main() -> float:
        world = await start_world(1)
        for name in list(world.processes):
            await world.kill(name)
        await world.start_instance(NEW)
        started = world.clock.boottime()
        leader = None
        while leader is None or leader.fences_first or leader.recovering:
            await asyncio.sleep(0.05)
            leader = world.processes[NEW].instance.leader
        took = world.clock.boottime() - started
        await finish(world)
        assert world.checker.starts == JOBS * TASKS
        return took

    assert run_virtual(main()) < 2.0


def test_restarted_instance_is_still_known_to_the_leader() -> None:
    """Guards against a long recovery after a loss of power with a dead target."""

    async def main() -> None:
        world = await start_world(1)
        for name in list(world.processes):
            await world.kill(name)
        for name in world.instance_names:
            await world.start_instance(name)
        await asyncio.sleep(3.0)
        leader = world.processes[world.leader_name() or ""].instance.leader
        assert leader is not None
        assert leader.term.known_to_former
        await finish(world)

    run_virtual(main())


def test_new_instance_takes_over_targets_that_have_more_ends_than_they_list() -> None:
    """Guards against a leader that waits for all ends, and acknowledges none."""

    async def main() -> None:
        world = await start_world(1)
        for target in world.targets.values():
            target.max_listed_ends = 1
        for name in list(world.processes):
            await world.kill(name)
        # The tasks end, unless their leases expire before.
        for target in world.targets.values():
            for run in list(target.runs.values()):
                target.end(run, EndKind.DONE)
        await world.start_instance(NEW)
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("successor", [NEW, "instance-8"])
@pytest.mark.parametrize("seed", range(4))
def test_successor_of_a_new_instance_does_not_act_beside_the_first_leader(
    seed: int, successor: str
) -> None:
    """Guards against a second takeover that forgets whom the first one was to fence.

    The new instance knows its successor, which may be its own next process.
    """

    async def main() -> None:
        world = await start_world(seed)
        world.cuts.zones.add("zone-a")
        await asyncio.sleep(PLEDGED_SECONDS)
        for name in (NEW, successor):
            world.cuts.zone_of[name] = "zone-b"
        await world.start_instance(NEW)
        if successor != NEW:
            await world.start_instance(successor)
        await asyncio.sleep(PLEDGED_SECONDS)
        await world.kill(world.leader_name() or "")
        if successor == NEW:
            await world.start_instance(NEW)
        await asyncio.sleep(8.0)
        world.cuts.zones.discard("zone-a")
        await finish(world)

    run_virtual(main())


def test_new_instance_does_not_call_targets_without_a_pause_while_it_waits() -> None:
    """Guards against calls that each return at once, as ends are not acknowledged."""

    async def main() -> int:
        world = await start_world(1)
        for name in list(world.processes):
            await world.kill(name)
        [silent, *others] = [t for t in world.targets.values() if t.runs]
        silent.silent = True
        calls = 0

        def count(*values: Any) -> Failure[TargetFailure] | None:
            nonlocal calls
            calls += 1
            return renew(*values)

        target = others[0]
        for run in list(target.runs.values()):
            target.end(run, EndKind.DONE)
        renew = target.renew
        target.renew = count  # type: ignore[method-assign]
        await world.start_instance(NEW)
        await asyncio.sleep(WAITING_SECONDS)
        await world.stop()
        return calls

    assert run_virtual(main()) <= WAITING_SECONDS * MAX_CALLS_PER_SECOND
