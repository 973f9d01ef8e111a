"""Starts on targets that have restarted and have not registered since."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from returns.result import Result, Success

from egretloft._internal.fleet.clocks import TargetClock
from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    JobState,
    OperatorState,
    Resources,
    StartOrder,
    TargetFailure,
    TargetReport,
)
from egretloft._internal.fleet.orders import create_orders
from egretloft._internal.fleet.scheduler import usable_targets
from egretloft._internal.fleet.tables import RunPhase
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import (
    SERVICE,
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
from lib.forwarding_targets import ForwardingTargets
from lib.term_owner import FakeTermOwner
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.targets import EmulatedTarget, TargetsClient
from standins.fleet.world import FleetWorld

SEEDS = range(6)
RESTARTS = 10
PAUSE_SECONDS = 2.5
DOWN_SECONDS = 0.5
# The room of a target that comes back smaller.
SHRUNK = Resources(2000, 4096, 1)
OTHER_KIND = {"a": "b", "b": "a"}


class CountingTargets(ForwardingTargets):
    """Targets that count the starts that they are sent."""

    def __init__(self, targets: Targets) -> None:
        super().__init__(targets)
        self.starts = 0

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        self.starts += 1
        return await super().start(target, order, timeout_seconds)


def change_kind(target: EmulatedTarget) -> None:
    target.crash_for(DOWN_SECONDS)
    target.kind = OTHER_KIND[target.kind]


def shrink(target: EmulatedTarget) -> None:
    target.crash()
    target.room = target.room_before = SHRUNK


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_target_of_another_kind_gets_no_start_for_the_former_one(
    seed: int,
) -> None:
    """Guards against starts by the labels that a former incarnation registered."""

    async def main() -> None:
        world = build_world(seed, target_count=8)
        for target in list(world.targets.values())[4:]:
            target.kind = "b"
        await world.start()
        names = await restart_under_load(world, change_kind, ("a", "b"))
        for name in names:
            assert await world.wait_for_state(name, JobState.COMPLETE, 60.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_restarted_target_with_less_room_is_not_overloaded(seed: int) -> None:
    """Guards against starts by the room that a former incarnation registered.

    The store does not answer from before the restart until a while after it.
    """

    async def main() -> None:
        world = build_world(seed, target_count=8)
        await world.start()
        names = [job_id(number) for number in range(8)]
        for name in names:
            accepted = await world.submit(
                name, single_step(30, Resources(4000, 1, 1)), 1.5
            )
            assert isinstance(accepted, Success)
        outage = asyncio.create_task(lose_store(world, 8.0))
        await asyncio.sleep(0.5)
        for target in list(world.targets.values())[:4]:
            shrink(target)
        await outage
        for name in names:
            assert await world.wait_for_state(name, JobState.COMPLETE, 90.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


async def lose_store(world: FleetWorld, seconds: float) -> None:
    """Let the store answer nobody for a while."""
    world.store.mode = StoreMode.SILENT
    await asyncio.sleep(seconds)
    world.store.mode = StoreMode.WORKS


async def restart_under_load(
    world: FleetWorld, restart: Callable[[EmulatedTarget], None], kinds: tuple[str, ...]
) -> list[str]:
    """Restart targets one after the other while jobs are submitted; return these."""
    names: list[str] = []
    targets = list(world.targets.values())
    for number in range(RESTARTS):
        for kind in kinds:
            names.append(job_id(len(names)))
            spec = single_step(30, Resources(4000, 512, 1), label=kind)
            accepted = await world.submit(names[-1], spec, 1.5)
            assert isinstance(accepted, Success)
        await asyncio.sleep(PAUSE_SECONDS / 2)
        restart(targets[number % len(targets)])
        await asyncio.sleep(PAUSE_SECONDS / 2)
    return names


def test_target_is_not_used_before_it_has_registered_again() -> None:
    target = build_target(0)
    tables = build_tables(target)
    assert usable_targets(tables, OperatorState(), SERVICE) == [target]
    target.incarnation_ms += 1
    assert usable_targets(tables, OperatorState(), SERVICE) == []


@pytest.mark.parametrize("registers", [False, True])
def test_start_that_was_decided_before_a_restart_is_not_sent(registers: bool) -> None:
    """Guards against an order that waits for its turn while the target restarts."""

    async def main() -> int:
        target = build_target(0)
        target.clock = TargetClock(0.0, 100.0)
        tables = build_tables(target)
        task = first_task(add_job(tables, 1, single_step()))
        run = run_task(tables, target, task, SMALL, started_at=100.0)
        run.phase = RunPhase.STARTING
        run.confirmed = False
        run.incarnation_ms = target.incarnation_ms
        target.incarnation_ms += 1
        if registers:
            target.report = replace(target.report, incarnation_ms=target.incarnation_ms)
        client = CountingTargets(TargetsClient({}, random.Random(1)))
        owner = FakeTermOwner(confirmed=True)
        orders = create_orders(
            owner, tables, client, StubClock(100.0), create_metrics()
        )
        await orders.start(target, run)
        assert not target.runs
        return client.starts

    assert run_virtual(main()) == 0
