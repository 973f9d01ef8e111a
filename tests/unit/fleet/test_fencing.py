"""Fencing tokens over restarts of targets and changes of leader."""

from __future__ import annotations

import asyncio
from typing import NoReturn

from returns.result import Failure, Result, Success

from egretloft._internal.fleet.clocks import MILLISECONDS, TargetClock
from egretloft._internal.fleet.fencing import MAX_RESTARTS, fencing_token
from egretloft._internal.fleet.models import (
    RunKey,
    StartOrder,
    StartRefusal,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
)
from egretloft._internal.fleet.orders import create_orders
from egretloft._internal.fleet.tables import FleetTables, RunPhase, TargetRow
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


def test_tokens_of_a_term_are_below_those_of_the_next_one() -> None:
    """Guards against a count of restarts that overflows into the epoch."""
    assert fencing_token(1, 0) < fencing_token(1, 1) < fencing_token(1, MAX_RESTARTS)
    assert fencing_token(1, MAX_RESTARTS + 5) < fencing_token(2, 0)


def test_target_that_is_added_again_gets_no_lower_token() -> None:
    """Guards against a leader that its own former token ends."""
    tables = FleetTables()
    tables.add_target(build_target(0))
    tables.note_restart(tables.targets["target-0"])
    former = tables.targets["target-0"].fencing_token(1)
    tables.add_target(build_target(0))
    assert tables.targets["target-0"].fencing_token(1) >= former


class OwnerOfFencedCalls(FakeTermOwner):
    """A leader that notes that its term has ended."""

    fenced = False

    def on_fenced(self) -> None:
        self.fenced = True


class FencedTargets:
    """Targets that refuse each start as outdated.

    A ``replacement`` takes the place of the target in the tables meanwhile.
    """

    max_lease_seconds = 6.0

    def __init__(self, tables: FleetTables, replacement: TargetRow | None) -> None:
        self.tables = tables
        self.replacement = replacement

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        if self.replacement is not None:
            self.tables.add_target(self.replacement)
        kind = TargetFailureKind.REFUSED
        return Failure(TargetFailure(kind, "fence", StartRefusal.FENCED))

    async def stop(
        self,
        target: TargetReport,
        run: RunKey,
        fencing_token: int,
        timeout_seconds: float,
    ) -> Result[int, TargetFailure]:
        raise NotImplementedError

    async def renew(self, *_: object) -> NoReturn:
        raise NotImplementedError


def is_fenced_by_a_start(replacement: TargetRow | None) -> bool:
    """Return whether the term ends by a refused start; the target may be replaced."""
    target = build_target(0)
    tables = build_tables(target)
    clock = StubClock(100.0)
    target.clock = TargetClock(clock.now * MILLISECONDS, clock.now)
    run = run_task(tables, target, first_task(add_job(tables, 1, single_step())), SMALL)
    run.phase, run.confirmed, run.started_at = RunPhase.STARTING, False, clock.now
    owner = OwnerOfFencedCalls(confirmed=True)
    orders = create_orders(
        owner, tables, FencedTargets(tables, replacement), clock, create_metrics()
    )
    run_virtual(orders.start(target, run))
    return owner.fenced


def test_refused_call_ends_the_term() -> None:
    assert is_fenced_by_a_start(None)


def test_refused_call_to_a_target_that_was_added_again_does_not_end_the_term() -> None:
    """Guards against a leader that steps down as its target has its later token."""
    assert not is_fenced_by_a_start(build_target(0))


def test_calls_on_their_way_over_a_restart_do_not_end_the_term() -> None:
    """Guards against a call with a former token that counts as a newer leader's."""

    async def main() -> None:
        world = build_world(target_count=4)
        await world.start()
        await asyncio.sleep(1.0)
        leader = world.leader_name()
        for number in range(40):
            accepted = await world.submit(job_id(number), single_step(4), 0.3)
            assert isinstance(accepted, Success)
            for target in world.targets.values():
                if number % 4 == int(target.target_id[-1]):
                    target.crash()
            await asyncio.sleep(0.113)
        assert leader is not None
        process = world.processes[leader]
        assert process.instance.leader is not None
        assert process.instance.leader.epoch == 1
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
