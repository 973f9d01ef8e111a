"""Late copies of starts on targets that restart while nobody can hear them.

Nothing that a leader sends reaches such a target, so it depends on where the task was
started since.
"""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Result, Success

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import (
    JobState,
    StartOrder,
    TargetFailure,
    TargetReport,
)
from lib.fleet_builders import WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.targets import EmulatedTarget, no_answer
from standins.fleet.world import FleetWorld

WORK_SECONDS = 30.0
# A task with room for it has to run within 3 s.
START_SECONDS = 3.0
CUT_AFTER_SECONDS = 4.0
CRASH_AFTER_SECONDS = 4.5
DOWN_SECONDS = 0.5
CARRIED_OUT_AFTER_SECONDS = 6.0
CUT_SECONDS = 5.3


class KeptStarts:
    """Targets that leave the first ``count`` copies of starts unanswered."""

    def __init__(self, inner: Targets) -> None:
        self.inner = inner
        self.max_lease_seconds = inner.max_lease_seconds
        self.stop = inner.stop
        self.renew = inner.renew

    # Shared by all instances.
    count = 0
    kept: list[tuple[str, StartOrder]]

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        if len(KeptStarts.kept) >= KeptStarts.count:
            return await self.inner.start(target, order, timeout_seconds)
        KeptStarts.kept.append((target.target_id, order))
        await asyncio.sleep(timeout_seconds)
        return no_answer()


async def submit_with_kept_starts(count: int, target_count: int = 8) -> FleetWorld:
    """Submit a job of which the first copies of a start get no answer."""
    KeptStarts.count, KeptStarts.kept = count, []
    world = build_world(target_count=target_count, wrap_targets=KeptStarts)
    await world.start()
    await asyncio.sleep(1.0)
    accepted = await world.submit(job_id(1), single_step(1, WHOLE), WORK_SECONDS)
    assert isinstance(accepted, Success)
    while not KeptStarts.kept:
        await asyncio.sleep(0.01)
    return world


def first_kept(world: FleetWorld) -> tuple[EmulatedTarget, StartOrder]:
    """Return the first copy without an answer, and its target."""
    target_id, order = KeptStarts.kept[0]
    return world.targets[target_id], order


async def restart_behind_a_cut(world: FleetWorld, sent: float) -> None:
    """Cut off the target of the first copy, which restarts and carries it out."""
    target, order = first_kept(world)
    await sleep_until(sent + CUT_AFTER_SECONDS)
    target.cut = True
    await sleep_until(sent + CRASH_AFTER_SECONDS)
    target.crash()
    await sleep_until(sent + CARRIED_OUT_AFTER_SECONDS)
    target.start(order)
    await sleep_until(sent + CUT_AFTER_SECONDS + CUT_SECONDS)
    target.cut = False


async def sleep_until(at: float) -> None:
    """Sleep until the event loop's clock shows ``at``."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())


@pytest.mark.parametrize("copies", [1, 2, 3, 4])
def test_task_stays_with_a_target_that_has_unanswered_copies_of_its_start(
    copies: int,
) -> None:
    """Guards against a start elsewhere, beside which a copy runs behind a cut."""

    async def main() -> None:
        world = await submit_with_kept_starts(copies)
        sent = asyncio.get_running_loop().time()
        while not world.checker.starts:
            await asyncio.sleep(0.02)
        assert asyncio.get_running_loop().time() - sent <= START_SECONDS
        await restart_behind_a_cut(world, sent)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 90.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_copy_of_a_former_attempt_counts_for_a_silent_target() -> None:
    """Guards against a wait that knows the copies of the last attempt only.

    All copies of a start are without an answer, and the only target gets the next one.
    Another target is there by the time it is cut off.
    """

    async def main() -> None:
        world = await submit_with_kept_starts(5, target_count=2)
        sent = asyncio.get_running_loop().time()
        used, _ = first_kept(world)
        [other] = [t for t in world.targets.values() if t is not used]
        other.draining = True
        while not used.runs:
            await asyncio.sleep(0.02)
        other.draining = False
        await restart_behind_a_cut(world, sent)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 90.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_start_that_is_given_up_does_not_run_later() -> None:
    """Guards against a copy on a target that its task has left, in the same life."""

    async def main() -> None:
        world = await submit_with_kept_starts(5)
        used, _ = first_kept(world)
        while not world.checker.starts:
            await asyncio.sleep(0.02)
        assert not used.runs
        for _, copy in KeptStarts.kept:
            used.start(copy)
        assert not used.runs
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 90.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
