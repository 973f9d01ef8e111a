"""Cancellations of jobs that the store does not hold yet."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure, Success

from egretloft._internal import codec
from egretloft._internal.fleet import leader
from egretloft._internal.fleet.intake import IntakeRefusalKind
from egretloft._internal.fleet.interfaces import RowTransaction
from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.records import AcceptedJob, cancel_key, job_key
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import LATE_WRITE_DELAY_SECONDS
from standins.fleet.world import SERVICE, FleetWorld, is_cancel_acknowledged

JOB = job_id(1)
WORK_SECONDS = 5.0
RETENTION_SECONDS = 20.0


async def submit_with_late_write(world: FleetWorld) -> IntakeRefusalKind:
    """Submit the job while writes are done seconds late; return why it was refused."""
    world.store.lost_answer_share = 1.0
    world.store.delays_lost_commits = True
    result = await world.submit(JOB, single_step(4), WORK_SECONDS)
    world.store.lost_answer_share = 0.0
    assert isinstance(result, Failure)
    return result.failure().kind


@pytest.mark.parametrize("seed", range(8))
def test_job_whose_write_is_done_after_its_cancellation_does_not_run(seed: int) -> None:
    """Guards against a cancellation that leaves nothing for a write under way.

    The caller was told that the job is unknown, which was true at that moment.
    """

    async def main() -> None:
        world = build_world(seed)
        await world.start()
        kind = await submit_with_late_write(world)
        assert kind is IntakeRefusalKind.OUTCOME_UNKNOWN
        assert is_cancel_acknowledged(await world.cancel(JOB))
        starts = world.checker.starts
        await asyncio.sleep(LATE_WRITE_DELAY_SECONDS[1] + WORK_SECONDS)
        assert await world.state(JOB) in (None, JobState.CANCELLED)
        assert world.checker.starts == starts
        await world.stop()

    run_virtual(main())


def test_submission_after_a_cancellation_is_refused_and_never_runs() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        world.checker.jobs.clear()
        process = next(iter(world.processes.values()))
        deadline = world.clock.boottime() + 3.0
        await process.instance.intake.cancel(JOB, deadline)
        result = await world.submit(JOB, single_step(1), 1.0)
        assert isinstance(result, Failure)
        assert result.failure().kind is IntakeRefusalKind.CANCELLED
        assert result.failure().retry_after_seconds is None
        await asyncio.sleep(2.0)
        assert world.checker.starts == 0
        assert await world.state(JOB) is None
        await world.stop()

    run_virtual(main())


def test_repeated_submission_of_a_cancelled_job_is_still_known() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        assert isinstance(await world.submit(JOB, single_step(1), 9.0), Success)
        assert isinstance(await world.cancel(JOB), Success)
        assert await world.submit(JOB, single_step(1), 9.0) == Success(False)
        assert await world.state(JOB) is JobState.CANCELLED
        await world.stop()

    run_virtual(main())


def accepted_job(world: FleetWorld) -> AcceptedJob:
    spec = single_step(1)
    return AcceptedJob(JOB, "normal", SERVICE, "kennel", 1, 4, 3.0, 1000, 0, spec)


def test_job_row_that_follows_its_cancel_request_does_not_run() -> None:
    """Guards against an instance of an earlier release, which writes the row anyway."""

    async def main() -> None:
        world = build_world()
        await world.start()
        process = next(iter(world.processes.values()))
        await process.instance.intake.cancel(JOB, world.clock.boottime() + 3.0)
        await asyncio.sleep(1.0)
        row = codec.encode(accepted_job(world))
        world.store.apply(RowTransaction((), ((job_key(JOB), row),)))
        await asyncio.sleep(2.0)
        assert world.checker.starts == 0
        assert await world.state(JOB) is JobState.CANCELLED
        await world.stop()

    run_virtual(main())


def test_cancel_request_of_an_unknown_job_is_removed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rows that stay for ever, as no job is removed with them."""
    monkeypatch.setattr(leader, "RETENTION_SECONDS", RETENTION_SECONDS)

    async def main() -> None:
        world = build_world()
        await world.start()
        process = next(iter(world.processes.values()))
        await process.instance.intake.cancel(JOB, world.clock.boottime() + 3.0)
        assert cancel_key(JOB) in world.store.rows
        await asyncio.sleep(RETENTION_SECONDS / 2)
        assert cancel_key(JOB) in world.store.rows
        await asyncio.sleep(RETENTION_SECONDS)
        assert cancel_key(JOB) not in world.store.rows
        await world.stop()

    run_virtual(main())
