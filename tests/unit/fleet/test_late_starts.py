"""Copies of start orders that arrive after their target has restarted."""

from __future__ import annotations

import asyncio
from typing import NoReturn

import pytest
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.clocks import MILLISECONDS, TargetClock
from egretloft._internal.fleet.constants import START_EXPIRY_SECONDS
from egretloft._internal.fleet.models import (
    JobState,
    RunKey,
    StartOrder,
    StartRefusal,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
)
from egretloft._internal.fleet.orders import create_orders
from egretloft._internal.fleet.tables import RunPhase
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import (
    SMALL,
    StubClock,
    add_job,
    build_tables,
    build_target,
    build_world,
    first_task,
    job_id,
    run_task,
    single_step,
)
from lib.term_owner import FakeTermOwner
from lib.virtual_time import run_virtual
from standins.fleet.targets import LATE_ORDER_DELAY_SECONDS, EmulatedTarget
from standins.fleet.world import FleetWorld

# All copies of a start go without an answer, and its order expires.
GIVEN_UP_SECONDS = 1.6
# Only the first copy of a start goes without an answer.
FIRST_COPY_SECONDS = 0.2
LONG_WORK_SECONDS = 16.0
SHORT_WORK_SECONDS = 0.5
ALL_COPIES_SECONDS = LATE_ORDER_DELAY_SECONDS[1] + 1.0
# A stop, or the end of a run, has been heard of.
SETTLED_SECONDS = 1.0
SEEDS = range(6)


async def start_world(seed: int, target_count: int = 4) -> FleetWorld:
    """Return a fleet whose targets carry out late orders also after a restart."""
    world = build_world(seed, target_count=target_count)
    await world.start()
    for process in world.processes.values():
        process.targets.late_orders_outlive_crashes = True
    await asyncio.sleep(1.0)
    return world


async def submit_with_late_orders(
    world: FleetWorld, work_seconds: float, late_seconds: float
) -> list[EmulatedTarget]:
    """Submit a task while orders are late; return the targets that they were sent to.

    The orders were sent before the return, and have not been carried out yet.
    """
    leader = world.leader_name()
    assert leader is not None
    client = world.processes[leader].targets
    client.late_order_share = 1.0
    accepted = await world.submit(job_id(1), single_step(), work_seconds)
    assert isinstance(accepted, Success)
    await asyncio.sleep(late_seconds)
    client.late_order_share = 0.0
    assert client.late_orders
    return [target for target in world.targets.values() if not target.runs]


async def finish(world: FleetWorld) -> None:
    assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 40.0)
    await asyncio.sleep(ALL_COPIES_SECONDS)
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("seed", SEEDS)
def test_start_that_was_given_up_does_not_run_on_the_restarted_target(
    seed: int,
) -> None:
    """Guards against an expiry on the old clock that is far ahead on the new one."""

    async def main() -> None:
        world = await start_world(seed)
        idle = await submit_with_late_orders(
            world, LONG_WORK_SECONDS, late_seconds=GIVEN_UP_SECONDS
        )
        for target in idle:
            target.crash()
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_copy_of_a_start_does_not_run_after_its_end_and_a_restart(seed: int) -> None:
    """Guards against a copy without an answer, when another copy was answered."""

    async def main() -> None:
        world = await start_world(seed)
        await submit_with_late_orders(
            world, SHORT_WORK_SECONDS, late_seconds=FIRST_COPY_SECONDS
        )
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 5.0)
        await asyncio.sleep(SETTLED_SECONDS / 4)
        for target in world.targets.values():
            target.crash()
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_copy_of_a_lost_start_does_not_run_beside_the_next_one(seed: int) -> None:
    """Guards against a copy without an answer of a run that a restart has ended."""

    async def main() -> None:
        world = await start_world(seed)
        await submit_with_late_orders(
            world, LONG_WORK_SECONDS, late_seconds=FIRST_COPY_SECONDS
        )
        await asyncio.sleep(SETTLED_SECONDS)
        for target in world.targets.values():
            if target.runs:
                target.crash()
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("cut_after", [3.0, 6.0, 9.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_refused_copy_may_bring_the_longest_lease_to_a_restarted_target(
    seed: int, cut_after: float
) -> None:
    """Guards against a second start while a target that was cut off holds that lease.

    The copy arrives seconds after the restart, when other runs are there.
    """

    async def main() -> None:
        world = await start_world(seed, target_count=2)
        await submit_with_late_orders(
            world, SHORT_WORK_SECONDS, late_seconds=FIRST_COPY_SECONDS
        )
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 5.0)
        [used] = [t for t in world.targets.values() if t.next_number > 1]
        for target in world.targets.values():
            target.crash()
        await asyncio.sleep(SETTLED_SECONDS)
        for number in (2, 3):
            accepted = await world.submit(job_id(number), single_step(2), 9.0)
            assert isinstance(accepted, Success)
        await asyncio.sleep(cut_after - SETTLED_SECONDS)
        used.cut = True
        for number in (2, 3):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 60.0)
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_copy_of_a_start_does_not_run_on_a_target_that_restarts_unheard(
    seed: int,
) -> None:
    """Guards against a copy on a target that is cut off as soon as it is back."""

    async def main() -> None:
        world = await start_world(seed)
        await submit_with_late_orders(
            world, LONG_WORK_SECONDS, late_seconds=FIRST_COPY_SECONDS
        )
        await asyncio.sleep(SETTLED_SECONDS)
        [used] = [target for target in world.targets.values() if target.runs]
        used.crash()
        used.cut = True
        await asyncio.sleep(ALL_COPIES_SECONDS)
        used.cut = False
        await finish(world)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_task_waits_until_the_stop_of_a_late_copy_is_confirmed(seed: int) -> None:
    """Guards against a copy on a target that never got the stop of it."""

    async def main() -> None:
        world = await start_world(seed)
        await submit_with_late_orders(
            world, LONG_WORK_SECONDS, late_seconds=FIRST_COPY_SECONDS
        )
        await asyncio.sleep(SETTLED_SECONDS / 4)
        [used] = [target for target in world.targets.values() if target.runs]
        used.crash()
        used.loses_stops = True
        await asyncio.sleep(SETTLED_SECONDS)
        used.cut = True
        await asyncio.sleep(ALL_COPIES_SECONDS)
        used.cut = used.loses_stops = False
        await finish(world)

    run_virtual(main())


class FullTargets:
    """Targets that have no room for any start."""

    max_lease_seconds = 6.0

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        kind = TargetFailureKind.REFUSED
        reason = StartRefusal.INSUFFICIENT_RESOURCES
        return Failure(TargetFailure(kind, "no room", reason))

    async def stop(
        self, target: TargetReport, run: RunKey, epoch: int, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        raise NotImplementedError

    async def renew(self, *_: object) -> NoReturn:
        raise NotImplementedError


def test_refused_start_counts_for_the_lease_of_what_runs_there() -> None:
    """Guards against a lease that is taken for expired while the target holds it."""

    async def main() -> float:
        clock = StubClock(100.0)
        target = build_target(0)
        target.clock = TargetClock(clock.now * MILLISECONDS, clock.now)
        tables = build_tables(target)
        task = first_task(add_job(tables, 1, single_step()))
        run = run_task(tables, target, task, SMALL, started_at=clock.now)
        run.phase = RunPhase.STARTING
        run.confirmed = False
        orders = create_orders(
            FakeTermOwner(confirmed=True),
            tables,
            FullTargets(),
            clock,
            create_metrics(),
        )
        await orders.start(target, run)
        assert not target.runs
        return target.lease_ends_ms

    assert run_virtual(main()) >= (100.0 + START_EXPIRY_SECONDS) * MILLISECONDS
