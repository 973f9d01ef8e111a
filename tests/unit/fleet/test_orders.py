"""Stops of a leader that is not confirmed, and starts of one that is slow."""

from __future__ import annotations

import asyncio
import random

from egretloft._internal.fleet.clocks import TargetClock
from egretloft._internal.fleet.orders import create_orders
from egretloft._internal.fleet.tables import RunPhase, RunRow, TargetRow
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import (
    SMALL,
    add_job,
    build_tables,
    first_task,
    run_task,
    single_step,
)
from lib.term_owner import FakeTermOwner
from lib.virtual_time import run_virtual
from standins.fleet.checker import Checker
from standins.fleet.targets import EmulatedTarget, TargetsClient
from standins.fleet.world import SERVICE, WHOLE_TARGET, LoopFleetClock

UNCONFIRMED_SECONDS = 0.7
STOP_SECONDS = 0.5
# How much longer than usual a slow leader waits for an answer.
SLOWNESS = 2.0


def build_emulated_target() -> EmulatedTarget:
    return EmulatedTarget(
        "target-0", SERVICE, "zone-a", "r-0", WHOLE_TARGET, Checker(), {}, {}, 0.0
    )


class SlowOwner(FakeTermOwner):
    """A leader whose event loop is late."""

    def extend_timeout(self, timeout_seconds: float) -> float:
        return timeout_seconds * SLOWNESS


def test_slow_leader_avoids_a_target_that_gets_no_start() -> None:
    """Guards against a plan that is made again with a silent target.

    Its starts are too old before all copies of them have been sent.
    """

    async def main() -> RunRow:
        emulated = build_emulated_target()
        emulated.loses_starts = True
        target = TargetRow(emulated.report(), recorded=True, fenced=True)
        target.incarnation_ms = emulated.incarnation_ms
        tables = build_tables(target)
        clock = LoopFleetClock()
        target.clock = TargetClock(emulated.time_ms(), clock.boottime())
        job = add_job(tables, 1, single_step())
        run = run_task(
            tables, target, first_task(job), SMALL, started_at=clock.boottime()
        )
        run.phase, run.confirmed = RunPhase.STARTING, False
        client = TargetsClient({"target-0": emulated}, random.Random(1))
        orders = create_orders(
            SlowOwner(confirmed=True), tables, client, clock, create_metrics()
        )
        await orders.start(target, run)
        return run

    run = run_virtual(main())
    assert run.task is not None
    assert run.in_doubt
    assert run.task.failed_on == {"target-0"}


def test_stop_is_sent_once_the_leader_is_confirmed_again() -> None:
    """Guards against a run that nothing ends: its start was never sent, nor its stop.

    Its task would count as running for the rest of the term.
    """

    async def main() -> RunRow:
        emulated = build_emulated_target()
        target = TargetRow(emulated.report(), recorded=True, fenced=True)
        tables = build_tables(target)
        job = add_job(tables, 1, single_step())
        run = run_task(tables, target, first_task(job), SMALL)
        run.phase = RunPhase.STOPPING
        run.confirmed = False
        owner = FakeTermOwner(confirmed=False)
        client = TargetsClient({"target-0": emulated}, random.Random(1))
        clock = LoopFleetClock()
        orders = create_orders(owner, tables, client, clock, create_metrics())
        stopping = asyncio.create_task(orders.stop(target, run))
        await asyncio.sleep(UNCONFIRMED_SECONDS)
        owner.confirmed = True
        async with asyncio.timeout(STOP_SECONDS):
            await stopping
        return run

    assert run_virtual(main()).stop_confirmed_at
