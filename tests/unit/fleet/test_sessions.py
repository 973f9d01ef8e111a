"""Cancellation of a target's session."""

from __future__ import annotations

import asyncio
import math

import pytest
from returns.result import Success

from egretloft._internal.fleet.models import (
    JobState,
    StartRefusal,
    TargetFailure,
    TargetFailureKind,
)
from egretloft._internal.fleet.sessions import TargetSession, create_target_session
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import (
    build_tables,
    build_target,
    build_world,
    job_id,
    single_step,
)
from lib.term_owner import FakeTermOwner
from lib.virtual_time import run_virtual
from standins.fleet.targets import TargetsClient
from standins.fleet.world import WHOLE_TARGET, LoopFleetClock


def build_session() -> TargetSession:
    target = build_target(0)
    client = TargetsClient({}, None)  # type: ignore[arg-type]
    tables = build_tables(target)
    return create_target_session(
        FakeTermOwner(confirmed=False),
        tables,
        target,
        client,
        LoopFleetClock(),
        create_metrics(),
    )


@pytest.mark.parametrize("unrecorded", [False, True])
def test_session_ends_when_cancelled_as_it_is_woken(unrecorded: bool) -> None:
    """Guards against a cancellation that is swallowed when the wait ends meanwhile.

    The term then never ends: in soak seed 311 a graceful shutdown hung, and the
    instance could not have led again.
    """

    async def main() -> None:
        for steps in range(8):
            session = build_session()
            session.target.last_applied_end = int(unrecorded)
            work = session.wait_for_recorder() if unrecorded else session.run()
            task = asyncio.create_task(work)
            for _ in range(steps):
                await asyncio.sleep(0.005 if unrecorded else 0)
            session.target.last_recorded_end = session.target.last_applied_end
            session.wake.set()
            if unrecorded:
                await asyncio.sleep(0.005)
            was_done = task.done()
            task.cancel()
            await asyncio.wait({task}, timeout=20.0)
            assert task.done()
            assert task.cancelled() or was_done

    run_virtual(main())


@pytest.mark.parametrize("seed", range(4))
def test_run_on_a_watched_target_gets_its_lease_in_time(seed: int) -> None:
    """Guards against runs that lapse as they start just after an idle target is asked.

    Such a call renewed no lease and waited as long as the lease of a start order.
    """

    async def main() -> int:
        world = build_world(seed=seed, target_count=1)
        await world.start()
        leader = world.processes[world.leader_name() or ""].instance.leader
        assert leader is not None
        leader.tables.targets["target-0"].watched_until = math.inf
        spec = single_step(1, WHOLE_TARGET)
        # The second run starts as soon as the end of the first one has been read.
        for number, seconds in ((1, 1.0), (2, 3.0)):
            result = await world.submit(job_id(number), spec, seconds)
            assert isinstance(result, Success)
        assert await world.wait_for_state(job_id(2), JobState.COMPLETE, 20.0)
        await world.stop()
        return world.checker.starts

    assert run_virtual(main()) == 2


def test_target_that_stays_replaced_has_failed_once() -> None:
    """Guards against a suspicion that is never decided, and a job that waits for ever.

    In a play of the bench each refused call counted as another restart.
    """
    refusal = StartRefusal.OTHER_INCARNATION
    refused = TargetFailure(TargetFailureKind.REFUSED, "421", refusal)

    async def main() -> None:
        session = build_session()
        moments: set[tuple[float, float]] = set()
        for _ in range(3):
            await session.on_failure(refused)
            target = session.target
            moments.add((target.failed_at, target.restarted_at))
        assert len(moments) == 1
        assert math.isfinite(session.target.failed_at)

    run_virtual(main())
