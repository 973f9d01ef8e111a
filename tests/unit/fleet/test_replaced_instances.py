"""All instances are replaced by new ones, or cut off beside new ones.

To a new instance both look the same. ``EGRETLOFT_FAULT_SEEDS=FIRST-LAST`` plays other
seeds of the storm.
"""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.constants import PARTITION, TABLE_TARGETS
from egretloft._internal.fleet.fencing import fencing_token
from egretloft._internal.fleet.interfaces import RowKey, RowTransaction, Targets
from egretloft._internal.fleet.models import JobState
from lib.acting import ActingWatch, acting_instances
from lib.counting_targets import CountingTargets
from lib.fleet_builders import build_world, job_id, single_step
from lib.fleet_faults import failure_text
from lib.replacement_storm import play_replacement_storm
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld
from unit.fleet.test_random_faults import chosen_seeds

KNOWN = "zone-a"
OUTSIDE = "zone-b"
NEW = "instance-8"
NEWER = "instance-9"
JOBS = 3
LATER_JOBS = 3
TASKS = 4
WORK_SECONDS = 4.0
LONG_WORK_SECONDS = 200.0
# The users expect a deployment to recover within 15 s.
RECOVERY_SECONDS = 15.0
# Longer than any wait of a leader that does not know the former one's fate.
LONG_CUT_SECONDS = 90.0
# A leader finds out that the store is lost, and collects pledges.
PLEDGED_SECONDS = 3.0
REPLACED_AFTER_SECONDS = 1.0
# A target is asked in vain only once in this time.
UNNOTICED_SECONDS = 0.9
# A gang member ended alone while a long cut was not taken for a disturbance.
FAILED_SEEDS = (204,)
# To a target without runs, by which the leader goes on without the store.
MAX_CALLS_PER_SECOND = 0.5


async def submit(world: FleetWorld, first: int, count: int, seconds: float) -> None:
    for number in range(first, first + count):
        accepted = await world.submit(job_id(number), single_step(TASKS), seconds)
        assert isinstance(accepted, Success)


async def replace_all(world: FleetWorld) -> None:
    """Kill all instances, and start new ones under other names."""
    for name in list(world.processes):
        await world.kill(name)
    await asyncio.sleep(REPLACED_AFTER_SECONDS)
    for name in (NEW, NEWER):
        await world.start_instance(name)


async def cut_off_and_join(world: FleetWorld, *names: str) -> None:
    """Cut the zone of all instances off, and start new ones outside."""
    world.cuts.zones.add(KNOWN)
    await asyncio.sleep(PLEDGED_SECONDS)
    for name in names:
        world.cuts.zone_of[name] = OUTSIDE
        await world.start_instance(name)


async def start_divided(inside: int) -> tuple[FleetWorld, ActingWatch]:
    """Return a fleet of five targets, so many of them in the zone of the instances."""
    world = build_world(1, 2, 5)
    for number, target_id in enumerate(world.targets):
        world.cuts.zone_of[target_id] = KNOWN if number < inside else OUTSIDE
    await world.start()
    return world, ActingWatch(world)


async def stop(world: FleetWorld, watch: ActingWatch) -> None:
    """Stop the fleet, in which no two instances must have acted at once."""
    await watch.stop()
    assert watch.both_act == []
    await world.stop()


async def seconds_until_acting(world: FleetWorld, name: str) -> float:
    """Return how long it takes until an instance acts, up to a long cut."""
    started = world.clock.boottime()
    while world.clock.boottime() - started < LONG_CUT_SECONDS:
        if name in acting_instances(world):
            break
        await asyncio.sleep(0.05)
    return world.clock.boottime() - started


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_new_instances_do_not_wait_for_targets_that_are_lost_for_good(
    lost: int,
) -> None:
    """Guards against a deployment that stands still until a dead target answers."""

    async def main() -> None:
        world = build_world(1, 3, 6)
        await world.start()
        await submit(world, 0, JOBS, WORK_SECONDS)
        await asyncio.sleep(1.0)
        busy = sorted(t.target_id for t in world.targets.values() if t.runs)
        rest = sorted(set(world.targets) - set(busy))
        for name in [*busy, *rest][:lost]:
            world.targets[name].crash_for(LONG_CUT_SECONDS)
        replaced_at = world.clock.boottime()
        await replace_all(world)
        await asyncio.sleep(RECOVERY_SECONDS / 2)
        await submit(world, JOBS, LATER_JOBS, WORK_SECONDS)
        for number in range(JOBS + LATER_JOBS):
            limit = RECOVERY_SECONDS + 2 * WORK_SECONDS
            left = limit - (world.clock.boottime() - replaced_at)
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, left)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


@pytest.mark.parametrize("seconds", [8.0, LONG_CUT_SECONDS])
@pytest.mark.parametrize(
    "zones",
    [
        (KNOWN,),
        (KNOWN, KNOWN, OUTSIDE),
        (KNOWN, OUTSIDE),
        (KNOWN, OUTSIDE, OUTSIDE),
        (OUTSIDE,),
    ],
    ids=lambda zones: "".join(zone[-1] for zone in zones),
)
def test_one_side_of_a_cut_acts(zones: tuple[str, ...], seconds: float) -> None:
    """Guards against two leaders, and against none, whichever side has the targets.

    All instances that the leader knows are cut off with it.
    """

    async def main() -> None:
        world = build_world(1, 2, 6, zones=(KNOWN, *zones[1:]))
        for target, zone in zip(
            world.targets.values(), zones * len(world.targets), strict=False
        ):
            world.cuts.zone_of[target.target_id] = zone
        await world.start()
        watch = ActingWatch(world)
        await submit(world, 0, JOBS, LONG_WORK_SECONDS)
        await asyncio.sleep(1.0)
        leading = world.leader_name() or ""
        await cut_off_and_join(world, NEW)
        await asyncio.sleep(seconds)
        acting = acting_instances(world)
        if 2 * zones.count(KNOWN) > len(zones):
            assert acting == [leading]
        elif seconds >= RECOVERY_SECONDS:
            assert acting == [NEW]
        world.cuts.zones.clear()
        await asyncio.sleep(RECOVERY_SECONDS)
        assert len(acting_instances(world)) == 1
        await stop(world, watch)
        assert world.checker.violations == []

    run_virtual(main())


def test_target_that_restarts_inside_the_cut_does_not_count() -> None:
    """Guards against a majority that includes a target which forgot the new epoch."""

    async def main() -> None:
        world, watch = await start_divided(inside=2)
        await cut_off_and_join(world, NEW)
        assert await seconds_until_acting(world, NEW) <= RECOVERY_SECONDS
        moving = list(world.targets)[2]
        world.targets[moving].crash()
        world.cuts.zone_of[moving] = KNOWN
        await asyncio.sleep(RECOVERY_SECONDS)
        assert acting_instances(world) == [NEW]
        await stop(world, watch)

    run_virtual(main())


def test_target_that_has_forgotten_the_new_epoch_does_not_count() -> None:
    """Guards against a majority by a target that the former leader never missed.

    It is out of the former leader's reach for less time than it takes to notice that.
    """

    async def main() -> None:
        world, watch = await start_divided(inside=3)
        await cut_off_and_join(world, NEW)
        await asyncio.sleep(RECOVERY_SECONDS)
        moving = list(world.targets)[2]
        world.cuts.zone_of[moving] = OUTSIDE
        await asyncio.sleep(UNNOTICED_SECONDS)
        assert world.targets[moving].fence >= fencing_token(2, 0)
        world.targets[moving].crash()
        world.cuts.zone_of[moving] = KNOWN
        assert await seconds_until_acting(world, NEW) <= RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS)
        await stop(world, watch)

    run_virtual(main())


def test_successor_waits_until_the_former_leader_has_noticed() -> None:
    """Guards against two leaders while the former one still counts a target.

    The target that gives its majority away is cut off from it, and not restarted.
    """

    async def main() -> None:
        world, watch = await start_divided(inside=3)
        leading = world.leader_name() or ""
        await cut_off_and_join(world, NEW)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert acting_instances(world) == [leading]
        world.cuts.zone_of[list(world.targets)[2]] = OUTSIDE
        assert await seconds_until_acting(world, NEW) <= RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS)
        await stop(world, watch)

    run_virtual(main())


def test_targets_that_are_new_do_not_outvote_those_of_the_former_leader() -> None:
    """Guards against a second takeover that counts targets nobody had used before."""

    async def main() -> None:
        world = build_world(1, 2, 6, zones=(KNOWN, KNOWN, OUTSIDE))
        await world.start()
        watch = ActingWatch(world)
        await cut_off_and_join(world, NEW)
        for number in range(6, 16):
            target = world.add_target(number)
            world.cuts.zone_of[target.target_id] = OUTSIDE
            world.spawn_registration(target)
        await asyncio.sleep(RECOVERY_SECONDS)
        world.cuts.zone_of[NEWER] = OUTSIDE
        await world.start_instance(NEWER)
        await world.kill(NEW)
        await asyncio.sleep(LONG_CUT_SECONDS)
        assert NEWER not in acting_instances(world)
        world.cuts.zones.clear()
        await asyncio.sleep(RECOVERY_SECONDS)
        assert len(acting_instances(world)) == 1
        await stop(world, watch)

    run_virtual(main())


def test_new_instances_that_are_replaced_in_turn_do_not_wait() -> None:
    """Guards against a wait that begins anew with each lot of instances."""

    async def main() -> None:
        world = build_world(1, 2, 6)
        await world.start()
        await submit(world, 0, JOBS, WORK_SECONDS)
        next(iter(world.targets.values())).crash_for(LONG_CUT_SECONDS)
        await replace_all(world)
        await asyncio.sleep(PLEDGED_SECONDS)
        for name in list(world.processes):
            await world.kill(name)
        await world.start_instance("instance-10")
        assert await seconds_until_acting(world, "instance-10") <= RECOVERY_SECONDS
        for number in range(JOBS):
            state = await world.wait_for_state(
                job_id(number), JobState.COMPLETE, RECOVERY_SECONDS
            )
            assert state is not None
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_row_of_a_target_that_cannot_be_read_does_not_stop_new_instances() -> None:
    """Guards against a recovery that ends before the former leader is fenced."""

    async def main() -> None:
        world = build_world(1, 3, 6)
        await world.start()
        key = RowKey(TABLE_TARGETS, PARTITION, "target-9")
        world.store.apply(RowTransaction((), ((key, b"unreadable"),)))
        await replace_all(world)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert len(acting_instances(world)) == 1
        await submit(world, 0, JOBS, WORK_SECONDS)
        for number in range(JOBS):
            state = await world.wait_for_state(
                job_id(number), JobState.COMPLETE, RECOVERY_SECONDS
            )
            assert state is not None
        await world.stop()

    run_virtual(main())


def test_rows_of_gone_targets_that_operators_remove_end_the_wait() -> None:
    """More than half of the targets are gone for good with all instances.

    Nothing tells a new instance that the former leader is not cut off with them.
    """

    async def main() -> None:
        world = build_world(1, 3, 6)
        await world.start()
        lost = list(world.targets)[:4]
        for name in lost:
            world.targets[name].crash_for(10 * LONG_CUT_SECONDS)
        await replace_all(world)
        await asyncio.sleep(LONG_CUT_SECONDS)
        assert acting_instances(world) == []
        keys = [RowKey(TABLE_TARGETS, PARTITION, name) for name in lost]
        world.store.apply(RowTransaction((), tuple((key, None) for key in keys)))
        leading = world.leader_name() or ""
        await world.kill(leading)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert len(acting_instances(world)) == 1
        await world.stop()

    run_virtual(main())


@pytest.mark.parametrize("jobs", [0, JOBS])
def test_outage_of_the_store_asks_little_of_targets_without_runs(jobs: int) -> None:
    """Guards against a leader whose calls grow with the size of the fleet."""

    async def main() -> float:
        clients: list[CountingTargets] = []

        def wrap(targets: Targets) -> CountingTargets:
            clients.append(CountingTargets(targets))
            return clients[-1]

        world = build_world(1, 3, 12, wrap_targets=wrap)
        await world.start()
        await submit(world, 0, jobs, LONG_WORK_SECONDS)
        await asyncio.sleep(1.0)
        idle = [t.target_id for t in world.targets.values() if not t.runs]
        leading = world.leader_name() or ""
        world.store.mode = StoreMode.SILENT
        await asyncio.sleep(PLEDGED_SECONDS)
        assert acting_instances(world) == [leading]
        for client in clients:
            client.renewals.clear()
        await asyncio.sleep(RECOVERY_SECONDS)
        assert acting_instances(world) == [leading]
        asked = [sum(client.renewals[name] for client in clients) for name in idle]
        await world.stop()
        assert world.checker.violations == []
        return max(asked) / RECOVERY_SECONDS

    assert 0 < run_virtual(main()) <= MAX_CALLS_PER_SECOND


@pytest.mark.parametrize("seed", [*chosen_seeds(), *FAILED_SEEDS])
def test_replaced_instances_break_no_promise(seed: int) -> None:
    report = run_virtual(play_replacement_storm(seed))
    assert not report.violations, failure_text(report)
    assert not report.unfinished, failure_text(report)
    assert report.accepted
