"""Calls to a former incarnation of a target that the present one carries out."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Result, Success

from egretloft._internal.fleet.fencing import fencing_token
from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    JobState,
    Renewal,
    RenewalAnswer,
    TargetFailure,
    TargetReport,
)
from lib.fleet_builders import WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import EmulatedTarget, no_answer, renew_late
from standins.fleet.world import FleetWorld

LONG_SECONDS = 30.0
OTHER_SECONDS = 8.0
# Later than this, a crash of the target is not held against the run.
SURVIVED_SECONDS = 2.5
CRASH_AFTER_SECONDS = 1.5
DOWN_SECONDS = 0.5
RESTARTED_SECONDS = 1.0
CUT_SECONDS = 5.3
LONG_LEASE_SECONDS = 10.0
LONG_CUT_SECONDS = 12.0
# A call has been answered.
ANSWER_SECONDS = 0.05
MILLISECONDS = 1000.0


class KeptRenewals:
    """Targets of which one leaves a lease renewal unanswered once that is asked for."""

    def __init__(self, inner: Targets) -> None:
        self.inner = inner
        self.max_lease_seconds = inner.max_lease_seconds
        self.start = inner.start
        self.stop = inner.stop

    # Shared by all instances.
    target_id = ""
    kept: Renewal | None = None

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        is_wanted = target.target_id == KeptRenewals.target_id
        if is_wanted and KeptRenewals.kept is None and renewal.expires_at_ms:
            KeptRenewals.kept = renewal
            await asyncio.sleep(timeout_seconds)
            return no_answer()
        return await self.inner.renew(target, renewal, wait_seconds, timeout_seconds)


async def start_jobs(world: FleetWorld) -> EmulatedTarget:
    """Start a long job and another on the two targets; return the first one's."""
    await world.start()
    await asyncio.sleep(1.0)
    for number, seconds in enumerate((LONG_SECONDS, OTHER_SECONDS)):
        accepted = await world.submit(job_id(number), single_step(1, WHOLE), seconds)
        assert isinstance(accepted, Success)
        await asyncio.sleep(0.5)
    await asyncio.sleep(SURVIVED_SECONDS)
    [target] = [t for t in world.targets.values() if runs_job(t, 0)]
    return target


def runs_job(target: EmulatedTarget, number: int) -> bool:
    """Return whether a job runs on a target."""
    return any(run.task.step.job_id == job_id(number) for run in target.runs)


async def keep_renewal(target: EmulatedTarget) -> Renewal:
    """Leave the next lease renewal of a target unanswered, and return it."""
    KeptRenewals.target_id, KeptRenewals.kept = target.target_id, None
    while KeptRenewals.kept is None:
        await asyncio.sleep(0.02)
    return KeptRenewals.kept


async def restart_and_renew_late(world: FleetWorld, target: EmulatedTarget) -> None:
    """Let a target carry out a former renewal as it is back, and run the job again."""
    renewal = await keep_renewal(target)
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    target.crash_for(DOWN_SECONDS)
    target.incarnation_ms = int(world.clock.wall() * MILLISECONDS)
    await asyncio.sleep(DOWN_SECONDS)
    renew_late(target, renewal)
    while not runs_job(target, 0):
        await asyncio.sleep(0.02)


async def end_cut(world: FleetWorld, target: EmulatedTarget, seconds: float) -> None:
    """End the cut of a target after a while; its first job completes soundly."""
    await asyncio.sleep(seconds)
    target.cut = False
    assert await world.wait_for_state(job_id(0), JobState.COMPLETE, 90.0)
    await world.stop()
    assert world.checker.violations == []


@pytest.mark.parametrize("returns_seconds", [0.0, RESTARTED_SECONDS])
def test_late_renewal_does_not_outlast_the_lease_that_the_leader_expects(
    returns_seconds: float,
) -> None:
    """Guards against a renewal for the former incarnation that the new one carries out.

    Its expiry is far ahead on the new clock. It arrives before the leader has heard of
    the restart, or ``returns_seconds`` after that, and the target is cut off.
    """

    async def main() -> None:
        world = build_world(target_count=2, wrap_targets=KeptRenewals)
        target = await start_jobs(world)
        renewal = await keep_renewal(target)
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        target.crash_for(DOWN_SECONDS)
        await asyncio.sleep(DOWN_SECONDS)
        if not returns_seconds:
            renew_late(target, renewal)
        while not runs_job(target, 0):
            await asyncio.sleep(0.02)
        if returns_seconds:
            await asyncio.sleep(returns_seconds)
            renew_late(target, renewal)
        target.cut = True
        await end_cut(world, target, CUT_SECONDS)

    run_virtual(main())


def test_late_renewal_does_not_outlast_the_lease_that_a_new_leader_expects() -> None:
    """Guards against a lease that a renewal of the former leader brought.

    It arrives just after the restart of its target, then that leader is killed, and the
    target is cut off once it has answered the next one.
    """

    async def main() -> None:
        world = build_world(target_count=2, wrap_targets=KeptRenewals)
        target = await start_jobs(world)
        await restart_and_renew_late(world, target)
        former = world.leader_name()
        assert former is not None
        await world.kill(former)
        while target.fence < fencing_token(2, 0):
            await asyncio.sleep(0.02)
        await asyncio.sleep(ANSWER_SECONDS)
        target.cut = True
        await end_cut(world, target, CUT_SECONDS)

    run_virtual(main())


class LongLeases(KeptRenewals):
    """Targets that grant leases which outlast the recovery of a new leader."""

    def __init__(self, inner: Targets) -> None:
        super().__init__(inner)
        self.max_lease_seconds = LONG_LEASE_SECONDS


def test_late_renewal_does_not_outlast_the_recovery_of_a_leader_that_never_heard() -> (
    None
):
    """Guards against a lease on a target that is cut off as its leader is killed."""

    async def main() -> None:
        world = build_world(target_count=2, wrap_targets=LongLeases)
        for each in world.targets.values():
            each.max_lease_seconds = LONG_LEASE_SECONDS
        target = await start_jobs(world)
        await restart_and_renew_late(world, target)
        former = world.leader_name()
        assert former is not None
        target.cut = True
        await world.kill(former)
        await end_cut(world, target, LONG_CUT_SECONDS)

    run_virtual(main())
