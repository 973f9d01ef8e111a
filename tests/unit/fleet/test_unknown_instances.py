"""Takeovers by an instance that the former leader does not know."""

from __future__ import annotations

import asyncio
import random

import pytest
from returns.result import Success

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    EndKind,
    JobState,
)
from egretloft._internal.fleet.records import HeartbeatRecord
from egretloft._internal.fleet.sessions import RETRY_SECONDS
from lib.counting_targets import CountingTargets
from lib.fleet_builders import (
    StubClock,
    build_election,
    build_world,
    job_id,
    single_step,
)
from lib.virtual_time import run_virtual
from standins.fleet.store import EmulatedStore, StoreClient
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b")
NEW = "instance-8"
NEWER = "instance-9"
JOBS = 3
TASKS = 4
WORK_SECONDS = 8.0
LONG_WORK_SECONDS = 100.0
# Longer than a leader waits for the targets of a former one.
LONG_CUT_SECONDS = 75.0
# The row of an instance that is down has been removed by then.
REMOVED_SECONDS = 6.0
# The users expect a deployment to recover within 15 s.
RECOVERY_SECONDS = 15.0
# A leader finds out that the store is lost, and collects pledges.
PLEDGED_SECONDS = 3.0
# The timeout of a heartbeat, the delay of an unknown candidate, and the recovery.
TAKEOVER_SECONDS = 3.0


async def start_world(seed: int) -> FleetWorld:
    """Return a fleet with targets in two zones and all its instances in one."""
    world = build_world(seed, 2, 6, zones=ZONES)
    await start_work(world)
    return world


async def start_work(world: FleetWorld, seconds: float = WORK_SECONDS) -> None:
    await world.start()
    for number in range(JOBS):
        spec = single_step(TASKS)
        accepted = await world.submit(job_id(number), spec, seconds)
        assert isinstance(accepted, Success)
    await asyncio.sleep(1.0)


async def cut_off_and_join(world: FleetWorld, *names: str) -> None:
    """Cut all known instances off, and start new ones outside."""
    world.cuts.zones.add("zone-a")
    await asyncio.sleep(PLEDGED_SECONDS)
    for name in names:
        world.cuts.zone_of[name] = "zone-b"
        await world.start_instance(name)


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
        await cut_off_and_join(world, NEW)
        await asyncio.sleep(cut_seconds)
        world.cuts.zones.discard("zone-a")
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_successor_of_a_new_instance_does_not_act_beside_a_former_leader(
    seed: int, planned: bool
) -> None:
    """Guards against a second takeover, from a leader that knows its successor."""

    async def main() -> None:
        world = await start_world(seed)
        await cut_off_and_join(world, NEW, NEWER)
        await asyncio.sleep(PLEDGED_SECONDS)
        leading = world.leader_name()
        assert leading in (NEW, NEWER)
        if planned:
            await world.stop_gracefully(leading)
        else:
            await world.kill(leading)
        await asyncio.sleep(8.0)
        world.cuts.zones.discard("zone-a")
        await finish(world)

    run_virtual(main())


def test_new_instance_takes_over_soon_if_it_reaches_all_targets() -> None:
    async def main() -> float:
        world = await start_world(1)
        for name in list(world.processes):
            await world.kill(name)
        await world.start_instance(NEW)
        started = world.clock.boottime()
        leader = None
        while leader is None or leader.awaits_fences or leader.recovering:
            await asyncio.sleep(0.05)
            leader = world.processes[NEW].instance.leader
        took = world.clock.boottime() - started
        await finish(world)
        assert world.checker.starts == JOBS * TASKS
        return took

    assert run_virtual(main()) < TAKEOVER_SECONDS


def test_known_instance_takes_over_before_a_new_one() -> None:
    """Guards against a leader that waits for targets that only it has to wait for."""

    async def main() -> None:
        world = build_world(processors={NEW: 4.0})
        await world.start()
        leading = world.leader_name() or ""
        world.processes[leading].store.silent_tables.add("control")
        await asyncio.sleep(0.2)
        await world.start_instance(NEW)
        await asyncio.sleep(0.3)
        await world.kill(leading)
        await asyncio.sleep(TAKEOVER_SECONDS)
        assert world.leader_name() in set(world.instance_names) - {leading}
        await world.stop()

    run_virtual(main())


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


def is_known(heartbeat: HeartbeatRecord, heartbeat_version: int) -> bool:
    """Return whether an instance whose row has version 1 is known to a leader."""
    store = StoreClient(EmulatedStore(random.Random(1)))
    election = build_election(store, StubClock())
    election.heartbeat = heartbeat
    election.heartbeat_version = heartbeat_version
    return election.is_known_to_leader()


def test_leader_of_an_earlier_release_may_not_know_this_instance() -> None:
    assert not is_known(HeartbeatRecord(1, 1), 1)
    assert is_known(HeartbeatRecord(1, 1, released=True), 1)


def test_instance_whose_row_may_have_been_removed_since_is_not_known() -> None:
    """Guards against a heartbeat that a conflict brought, without the other rows."""
    heartbeat = HeartbeatRecord(1, 1, members_version=2)
    assert is_known(heartbeat, 1)
    assert not is_known(heartbeat, 2)


def test_leader_that_relies_on_no_pledges_leaves_nobody_behind() -> None:
    heartbeat = HeartbeatRecord(1, 1, members_version=0, relies_on_pledges=False)
    assert is_known(heartbeat, 2)


@pytest.mark.parametrize("seed", range(2))
def test_targets_are_not_asked_without_a_pause_while_they_are_fenced(seed: int) -> None:
    """Guards against a target that answers at once, as its ends are kept back."""

    async def main() -> float:
        clients: list[CountingTargets] = []

        def wrap(targets: Targets) -> CountingTargets:
            clients.append(CountingTargets(targets))
            return clients[-1]

        world = build_world(seed, 2, 6, zones=ZONES, wrap_targets=wrap)
        await start_work(world)
        await cut_off_and_join(world, NEW)
        await asyncio.sleep(WORK_SECONDS)
        renewals = clients[-1].renewals
        renewals.clear()
        await asyncio.sleep(WORK_SECONDS)
        await world.stop()
        return max(renewals.values()) / WORK_SECONDS

    assert run_virtual(main()) <= 1 / RETRY_SECONDS


@pytest.mark.parametrize("successor", [NEW, NEWER])
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


def test_new_instance_never_acts_beside_a_leader_however_long_it_is_cut_off() -> None:
    """Guards against a wait for targets that ends before the outage does."""

    async def main() -> None:
        world = build_world(1, 2, 6, zones=ZONES)
        await start_work(world, LONG_WORK_SECONDS)
        await cut_off_and_join(world, NEW)
        await asyncio.sleep(LONG_CUT_SECONDS)
        world.cuts.zones.discard("zone-a")
        await asyncio.sleep(WORK_SECONDS)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


async def recovery_seconds(world: FleetWorld) -> float:
    """Return how long it takes until a leader has recovered."""
    started = world.clock.boottime()
    while True:
        await asyncio.sleep(0.05)
        leading = world.processes.get(world.leader_name() or "")
        leader = leading.instance.leader if leading is not None else None
        if leader is not None and leader.state_loaded and not leader.recovering:
            return world.clock.boottime() - started


@pytest.mark.parametrize("instance_count", [2, 3])
def test_last_instance_that_was_down_does_not_wait_for_a_dead_target(
    instance_count: int,
) -> None:
    """Guards against a deployment that stands still, as the leader is dead as well."""

    async def main() -> float:
        world = build_world(1, instance_count, 4, zones=ZONES)
        await start_work(world)
        leading = world.leader_name() or ""
        others = [name for name in world.instance_names if name != leading]
        for name in others:
            await world.kill(name)
        await asyncio.sleep(REMOVED_SECONDS)
        used = next(target for target in world.targets.values() if target.runs)
        used.crash_for(LONG_CUT_SECONDS)
        await world.kill(leading)
        for name in others:
            await world.start_instance(name)
        took = await recovery_seconds(world)
        await world.stop()
        return took

    assert run_virtual(main()) <= RECOVERY_SECONDS


@pytest.mark.parametrize("seed", range(4))
def test_leader_that_knew_nobody_does_not_act_on_the_pledge_of_a_new_instance(
    seed: int,
) -> None:
    """Guards against two leaders: the other new instance does not wait for the first.

    The leader and a new instance are cut off; nobody else was registered before.
    """

    async def main() -> None:
        world = build_world(seed, 2, 6, zones=ZONES)
        await start_work(world)
        leading = world.leader_name() or ""
        for name in world.instance_names:
            if name != leading:
                await world.kill(name)
        await asyncio.sleep(REMOVED_SECONDS)
        world.cuts.zones.add(world.cuts.zone_of[leading])
        world.cuts.zone_of[NEWER] = world.cuts.zone_of[leading]
        world.cuts.zone_of[NEW] = "zone-b"
        await world.start_instance(NEWER)
        await asyncio.sleep(PLEDGED_SECONDS)
        await world.start_instance(NEW)
        await asyncio.sleep(WORK_SECONDS)
        assert world.processes[NEW].instance.leader is not None
        assert world.processes[NEW].instance.leader.term.known_to_former
        world.cuts.zones.clear()
        await finish(world)

    run_virtual(main())
