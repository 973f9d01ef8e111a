"""Starts without an answer: what waits for them gets other targets in time."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    JobSpec,
    JobState,
    RunKey,
    StartOrder,
    StartRefusal,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
)
from lib.fleet_builders import SMALL, WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import no_answer
from standins.fleet.world import FleetWorld

WORK_SECONDS = 1.0
# A task with room for it has to run within 3 s of each time when nothing of its job
# runs; this is the time until the job is complete.
COMPLETE_SECONDS = 3.0 + WORK_SECONDS
# Three calls without an answer.
IN_DOUBT_SECONDS = 1.2


class ForgetfulTargets:
    """Targets of which one leaves each start unanswered, and then refuses it."""

    def __init__(self, inner: Targets, target_id: str) -> None:
        self.inner = inner
        self.max_lease_seconds = inner.max_lease_seconds
        self.target_id = target_id
        self.asked: set[RunKey] = set()
        self.stop = inner.stop
        self.renew = inner.renew

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        if target.target_id != self.target_id:
            return await self.inner.start(target, order, timeout_seconds)
        if order.run in self.asked:
            kind = TargetFailureKind.REFUSED
            return Failure(TargetFailure(kind, "busy", StartRefusal.UNHEALTHY))
        self.asked.add(order.run)
        await asyncio.sleep(timeout_seconds)
        return no_answer()


async def seconds_until_complete(world: FleetWorld) -> float | None:
    """Return the seconds until the job is complete, and check what targets saw."""
    took = await world.wait_for_state(job_id(1), JobState.COMPLETE, 30.0)
    await world.stop()
    assert world.checker.violations == []
    return took


async def complete_each(world: FleetWorld, specs: list[JobSpec]) -> list[float]:
    """Submit jobs one after the other; return the seconds until each is complete."""
    await world.start()
    times: list[float] = []
    for number, spec in enumerate(specs):
        result = await world.submit(job_id(number), spec, WORK_SECONDS)
        assert isinstance(result, Success)
        took = await world.wait_for_state(job_id(number), JobState.COMPLETE, 30.0)
        assert took is not None
        times.append(took)
    await world.stop()
    assert world.checker.violations == []
    return times


@pytest.mark.parametrize("lossy", range(8))
@pytest.mark.parametrize("tasks", [1, 4])
def test_job_runs_beside_a_target_that_never_gets_a_start(
    lossy: int, tasks: int
) -> None:
    """Guards against plans that are made again with a target that loses all starts."""
    world = build_world()
    world.targets[f"target-{lossy}"].loses_starts = True
    spec = single_step(tasks, WHOLE, gang=tasks > 1)
    took = run_virtual(complete_each(world, [spec]))
    assert max(took) <= COMPLETE_SECONDS


@pytest.mark.parametrize("lossy", range(4))
def test_gang_in_one_rack_runs_beside_a_target_that_never_gets_a_start(
    lossy: int,
) -> None:
    """Guards against a rack that is chosen again because its other targets fit."""
    world = build_world()
    world.targets[f"target-{lossy}"].loses_starts = True
    spec = single_step(4, WHOLE, gang=True, same_rack=True)
    took = run_virtual(complete_each(world, [spec]))
    assert max(took) <= COMPLETE_SECONDS


@pytest.mark.parametrize("lossy", range(0, 8, 2))
def test_task_runs_after_two_targets_in_a_row_that_never_get_a_start(
    lossy: int,
) -> None:
    """Guards against a wait that leaves no time for a second such target."""
    world = build_world()
    for number in (lossy, lossy + 1):
        world.targets[f"target-{number}"].loses_starts = True
    took = run_virtual(complete_each(world, [single_step(1, WHOLE)] * 3))
    assert max(took) <= COMPLETE_SECONDS


@pytest.mark.parametrize("gang", [False, True])
def test_start_in_doubt_does_not_outlive_its_target(gang: bool) -> None:
    """Guards against an expiry that is compared with the clock of the next life."""

    async def main() -> float | None:
        world = build_world(target_count=2)
        await world.start()
        for target in world.targets.values():
            target.silent = True
        result = await world.submit(
            job_id(1), single_step(2, SMALL, gang=gang), WORK_SECONDS
        )
        assert isinstance(result, Success)
        await asyncio.sleep(IN_DOUBT_SECONDS)
        for target in world.targets.values():
            target.crash()
            target.silent = False
        return await seconds_until_complete(world)

    took = run_virtual(main())
    assert took is not None
    assert took <= COMPLETE_SECONDS


@pytest.mark.parametrize("seed", range(4))
def test_start_on_an_idle_target_that_is_gone_ends_with_its_order(seed: int) -> None:
    """Guards against a lease that is granted to a target nobody has heard of lately.

    Its runs could be started elsewhere only once that lease had expired.
    """

    async def main() -> float | None:
        world = build_world(seed=seed)
        await world.start()
        await asyncio.sleep(3.0)
        for number in (0, 1):
            world.targets[f"target-{number}"].silent = True
        result = await world.submit(job_id(1), single_step(1, WHOLE), WORK_SECONDS)
        assert isinstance(result, Success)
        return await seconds_until_complete(world)

    took = run_virtual(main())
    assert took is not None
    assert took <= COMPLETE_SECONDS


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("restarted", [1, 8])
@pytest.mark.parametrize("cut", [False, True])
def test_start_on_a_target_that_restarted_while_idle_runs_once(
    seed: int, restarted: int, cut: bool
) -> None:
    """Guards against a start whose expiry is on the clock of the former life.

    With ``cut``, the targets that have it are lost for good a second later.
    """

    async def main() -> float | None:
        world = build_world(seed=seed)
        await world.start()
        await asyncio.sleep(5.0)
        for number in range(restarted):
            world.targets[f"target-{number}"].crash()
        await asyncio.sleep(0.5)
        result = await world.submit(job_id(1), single_step(1, WHOLE), 3.0)
        assert isinstance(result, Success)
        await asyncio.sleep(1.0)
        for target in world.targets.values():
            target.cut = cut and bool(target.runs)
        return await seconds_until_complete(world)

    assert run_virtual(main())


@pytest.mark.parametrize("seed", range(6))
def test_order_from_before_a_restart_may_bring_the_longest_lease(seed: int) -> None:
    """Guards against a second start while a cut-off target still holds that lease.

    The expiry of the order is far ahead on the new clock of the target.
    """

    async def main() -> float | None:
        world = build_world(seed=seed)
        await world.start()
        await asyncio.sleep(5.0)
        for target in world.targets.values():
            target.crash()
        await asyncio.sleep(0.5)
        result = await world.submit(job_id(1), single_step(1, WHOLE), 9.0)
        assert isinstance(result, Success)
        await asyncio.sleep(1.0)
        for target in world.targets.values():
            target.cut = bool(target.runs)
        return await seconds_until_complete(world)

    assert run_virtual(main())


@pytest.mark.parametrize("tasks", [1, 2, 4])
def test_job_runs_beside_a_target_that_refuses_after_it_gave_no_answer(
    tasks: int,
) -> None:
    """Guards against a refusal that counts for nothing as an earlier copy was lost."""
    world = build_world(wrap_targets=lambda inner: ForgetfulTargets(inner, "target-2"))
    spec = single_step(tasks, WHOLE, gang=tasks > 1)
    took = run_virtual(complete_each(world, [spec] * 3))
    assert max(took) <= COMPLETE_SECONDS
