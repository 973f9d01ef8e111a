"""A leader whose processor needs milliseconds for each call to a target.

On an eighth of a core, one call on a new connection takes about 8 ms with its answer.
"""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.call_pacer import MAX_CALLS_PER_TARGET, CallSlot
from egretloft._internal.fleet.decisions import Placement
from egretloft._internal.fleet.leader import Leader
from egretloft._internal.fleet.loop_delay import create_loop_delay
from egretloft._internal.fleet.models import EndKind, JobState
from egretloft._internal.fleet.orders import MAX_DECISION_AGE_SECONDS
from lib.busy_targets import (
    BusyTargets,
    busy_targets_factory,
    spend_processor_time,
)
from lib.fleet_builders import SMALL, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import REGISTRATION_PERIOD_SECONDS, FleetWorld

CALL_SECONDS = 0.008
TARGETS = 48


async def complete_burst(gang: bool, tasks: int) -> tuple[list[BusyTargets], int]:
    """Submit three jobs at once; return the clients and the unwanted ends."""
    clients: list[BusyTargets] = []
    world = build_world(
        instance_count=1,
        target_count=TARGETS,
        wrap_targets=busy_targets_factory(CALL_SECONDS, clients),
    )
    await world.start()
    await asyncio.sleep(5.0)
    for number in range(3):
        spec = single_step(tasks, SMALL, gang=gang)
        result = await world.submit(job_id(number), spec, 4.0)
        assert isinstance(result, Success)
    for number in range(3):
        assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 9.0)
    unwanted = [
        kind
        for process in world.processes.values()
        for kind in (EndKind.LEASE_EXPIRED, EndKind.GANG_INCOMPLETE)
        if process.instance.metrics.counter("run_ends", kind=kind.value)
    ]
    assert world.checker.violations == []
    assert world.checker.starts == 3 * tasks
    await world.stop()
    return clients, len(unwanted)


@pytest.mark.parametrize(("gang", "tasks"), [(False, 100), (True, 100)])
def test_burst_of_starts_neither_times_out_nor_loses_leases(
    gang: bool, tasks: int
) -> None:
    """Guards against start orders that time out because too many are sent at once."""
    clients, unwanted = run_virtual(complete_burst(gang, tasks))
    assert sum(client.timeouts for client in clients) == 0
    assert unwanted == 0


async def block_repeatedly(seconds: float) -> None:
    """Block the event loop most of the time."""
    while True:
        spend_processor_time(seconds)
        await asyncio.sleep(seconds / 3)


def test_late_event_loop_does_not_time_out_calls_that_were_answered() -> None:
    """Guards against calls that are repeated although their answers have arrived.

    The event loop is blocked for longer than the timeout of an order.
    """

    async def main() -> None:
        clients: list[BusyTargets] = []
        world = build_world(
            instance_count=1,
            target_count=8,
            wrap_targets=busy_targets_factory(0.001, clients),
        )
        await world.start()
        blocker = asyncio.create_task(block_repeatedly(0.32))
        await asyncio.sleep(1.0)
        before = sum(client.timeouts for client in clients)
        for number in range(12):
            spec = single_step(4, SMALL, gang=bool(number % 2))
            await world.submit(job_id(number), spec, 0.7)
        for number in range(12):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 20.0)
        assert sum(client.timeouts for client in clients) == before
        blocker.cancel()
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_timeouts_are_extended_while_the_loop_is_late() -> None:
    delay = create_loop_delay()
    assert delay.extend(0.3) == 0.3
    delay.observe(0.2)
    assert delay.extend(0.3) >= 0.6
    for _ in range(100):
        delay.observe(0.001)
    assert delay.extend(0.3) < 0.31
    delay.observe(30.0)
    assert delay.extend(0.3) <= 0.9


async def start_with_waiting_order() -> tuple[FleetWorld, Leader, list[CallSlot]]:
    """Start a world whose only target has all its calls taken, and submit a job.

    The start order of the job waits until one of the returned slots is released.
    """
    world = build_world(instance_count=1, target_count=1)
    await world.start()
    leader = next(iter(world.processes.values())).instance.leader
    assert leader is not None
    pacer = leader.orders.pacer
    slots = [await pacer.acquire("target-0") for _ in range(MAX_CALLS_PER_TARGET)]
    await world.submit(job_id(1), single_step(), 1.0)
    await asyncio.sleep(0.2)
    return world, leader, slots


def test_run_that_was_given_up_while_its_order_waited_is_not_started() -> None:
    """Guards against a task that runs twice, as its first order was only delayed.

    The run is lost with its target while the order waits for a place. The target
    returns, and the task has been placed again meanwhile.
    """

    async def main() -> None:
        world, leader, slots = await start_with_waiting_order()
        leader.sessions["target-0"].lose_all_runs("lease expired")
        await asyncio.sleep(0.1)
        for slot in slots:
            leader.orders.pacer.release(slot)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 6.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 1

    run_virtual(main())


@pytest.mark.parametrize("drains", [True, False])
def test_start_that_waited_for_long_is_decided_again(drains: bool) -> None:
    """Guards against starts on targets or in zones that are out of use by now."""

    async def main() -> None:
        world, leader, slots = await start_with_waiting_order()
        if drains:
            world.targets["target-0"].draining = True
            await asyncio.sleep(REGISTRATION_PERIOD_SECONDS + 0.3)
        else:
            world.evacuate("zone-a")
            await asyncio.sleep(MAX_DECISION_AGE_SECONDS)
        for slot in slots:
            leader.orders.pacer.release(slot)
        await asyncio.sleep(1.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 0

    run_virtual(main())


def test_start_that_was_never_sent_does_not_hold_its_task() -> None:
    """Guards against a run that waits for ever for an order that nobody sends.

    The leader loses its permission between the decision and the order.
    """

    async def main() -> None:
        world = build_world(instance_count=1, target_count=4)
        await world.start()
        process = next(iter(world.processes.values()))
        leader = process.instance.leader
        assert leader is not None
        start_step = leader.runs.start_step

        def start_without_permission(placement: Placement) -> None:
            leader.confirmation_needed_since = world.clock.boottime() + 0.5
            leader.runs.start_step = start_step  # type: ignore[method-assign]
            start_step(placement)

        leader.runs.start_step = start_without_permission  # type: ignore[method-assign]
        await world.submit(job_id(1), single_step(3), 1.0)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 6.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 3

    run_virtual(main())
