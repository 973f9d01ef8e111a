"""Renewals and starts of a leader whose term ends before they are sent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from returns.result import Failure, Result

from egretloft._internal.fleet.clocks import MILLISECONDS, TargetClock
from egretloft._internal.fleet.constants import LEASE_SECONDS, START_EXPIRY_SECONDS
from egretloft._internal.fleet.models import (
    Renewal,
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
)
from egretloft._internal.fleet.orders import create_orders
from egretloft._internal.fleet.sessions import TargetSession, create_target_session
from egretloft._internal.fleet.tables import FleetTables, RunPhase, RunRow
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import (
    SMALL,
    StubClock,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
)
from lib.term_owner import FakeTermOwner
from lib.virtual_time import run_virtual

SUSPENDED_SECONDS = 0.7
NOW = 100.0
NO_ANSWER = Failure(TargetFailure(TargetFailureKind.UNKNOWN, "no answer"))


@dataclass(slots=True)
class SilentTargets:
    """Targets that record the expiry of each renewal and start, and answer none."""

    max_lease_seconds: float = 6.0
    renewals: list[int | None] = field(default_factory=list)
    starts: list[int] = field(default_factory=list)

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        self.starts.append(order.expires_at_ms)
        return NO_ANSWER

    async def stop(
        self, target: TargetReport, run: RunKey, epoch: int, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        return NO_ANSWER

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        self.renewals.append(renewal.expires_at_ms)
        return NO_ANSWER


class SuspendedOwner(FakeTermOwner):
    """A leader that is suspended just after it was found to have authority."""

    def __init__(self, clock: StubClock) -> None:
        super().__init__(confirmed=True)
        self.clock = clock

    def may_issue_orders(self) -> bool:
        self.clock.now += SUSPENDED_SECONDS
        return True

    def may_start_runs(self) -> bool:
        return self.may_issue_orders()


@dataclass(slots=True)
class Scene:
    """A target with one run, whose clock shows the time of ``clock`` in ms."""

    clock: StubClock = field(default_factory=lambda: StubClock(NOW))
    targets: SilentTargets = field(default_factory=SilentTargets)
    tables: FleetTables = field(default_factory=lambda: build_tables(build_target(0)))

    def session(self, owner: FakeTermOwner) -> TargetSession:
        target = self.tables.targets["target-0"]
        target.clock = TargetClock(NOW * MILLISECONDS, NOW)
        target.last_answer = NOW
        return create_target_session(
            owner, self.tables, target, self.targets, self.clock, create_metrics()
        )

    def add_run(self) -> RunRow:
        job = add_job(self.tables, 1, single_step())
        target = self.tables.targets["target-0"]
        return run_task(self.tables, target, first_task(job), SMALL, started_at=NOW)


def test_no_lease_is_renewed_if_the_term_ends_while_ends_are_recorded() -> None:
    """Guards against a lease from a former leader that a new one does not expect."""

    async def main() -> list[int | None]:
        scene = Scene()
        scene.add_run()
        owner = FakeTermOwner(confirmed=True)
        session = scene.session(owner)
        session.target.last_applied_end = 1
        renewing = asyncio.create_task(session.renew_once())
        await asyncio.sleep(0.1)
        owner.confirmed = False
        await renewing
        return scene.targets.renewals

    assert run_virtual(main()) == []


def test_suspension_after_the_check_of_authority_prolongs_no_lease() -> None:
    async def main() -> int | None:
        scene = Scene()
        scene.add_run()
        await scene.session(SuspendedOwner(scene.clock)).renew_once()
        return scene.targets.renewals[0]

    lease_ends_ms = run_virtual(main())
    # The authority is checked twice; the lease counts from before the second check.
    latest = NOW + SUSPENDED_SECONDS + LEASE_SECONDS
    assert lease_ends_ms is not None
    assert lease_ends_ms <= latest * MILLISECONDS


def test_suspension_after_the_check_of_authority_prolongs_no_start_order() -> None:
    async def main() -> int:
        scene = Scene()
        run = scene.add_run()
        run.phase = RunPhase.STARTING
        run.confirmed = False
        owner = SuspendedOwner(scene.clock)
        target = scene.session(owner).target
        orders = create_orders(
            owner, scene.tables, scene.targets, scene.clock, create_metrics()
        )
        await orders.start(target, run)
        return scene.targets.starts[0]

    latest = NOW + START_EXPIRY_SECONDS
    assert run_virtual(main()) <= latest * MILLISECONDS
