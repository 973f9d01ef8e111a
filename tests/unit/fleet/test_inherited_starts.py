"""Starts without an answer, and the leaders that come after the one that sent them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from returns.result import Success

from egretloft._internal import codec
from egretloft._internal.fleet.late_starts import LateStarts, SentStart
from egretloft._internal.fleet.models import RunKey
from egretloft._internal.fleet.records import JobProgress, UnansweredStart
from egretloft._internal.fleet.tables import JobRow
from lib.fleet_builders import (
    add_job,
    build_tables,
    build_world,
    job_id,
    single_step,
    task_key,
)
from lib.virtual_time import run_virtual
from standins.fleet.targets import LATE_ORDER_DELAY_SECONDS

JOB = 1
ATTEMPT = 5
LEASE_SECONDS = 6.0
WORK_SECONDS = 30.0
FIRST_COPY_SECONDS = 0.2
# The copy that was answered runs, and the store tells of the other one.
SETTLED_SECONDS = 1.5
# The copy was answered just before, and no call to the target has been since.
JUST_ANSWERED_SECONDS = 0.15
DOWN_SECONDS = 0.3
START = UnansweredStart("target-0", 1, 0, 0, 0, ATTEMPT, arrives_until=1012.0)
RUN = RunKey(task_key(JOB), ATTEMPT)
SENT = SentStart("target-0", 1, RUN)


def test_next_leader_learns_of_a_start_without_an_answer() -> None:
    """Guards against a late copy that nobody expects, also of a job that has ended."""
    job = add_job(build_tables(), JOB, single_step())
    job.note_unanswered(RUN, START, 1000.0)
    job.note_outlived(RUN)
    stored = codec.decode(codec.encode(job.progress()), JobProgress).unwrap()
    restored = JobRow(job.accepted)
    restored.restore(stored)
    assert restored.unanswered == {RUN: replace(START, outlived=True)}


def test_start_that_cannot_arrive_any_more_is_forgotten() -> None:
    job = add_job(build_tables(), JOB, single_step())
    job.note_unanswered(RUN, START, 1000.0)
    later = RunKey(RUN.task, ATTEMPT + 1)
    record = replace(START, attempt=ATTEMPT + 1, arrives_until=1025.0)
    job.note_unanswered(later, record, 1013.0)
    assert job.unanswered == {later: record}


@pytest.mark.parametrize(
    ("now", "is_unheard", "in_doubt"),
    [(1.0, True, True), (1.0, False, False), (11.0, True, True), (19.0, True, False)],
)
def test_job_is_in_doubt_while_its_start_may_arrive_or_run(
    now: float, is_unheard: bool, in_doubt: bool
) -> None:
    starts = LateStarts(LEASE_SECONDS)
    starts.inherit(SENT, 12.0, outlived=True)
    found = starts.jobs_in_doubt(lambda start, outlived: is_unheard, now)
    assert found == (frozenset({job_id(JOB)}) if in_doubt else frozenset())


@pytest.mark.parametrize("settled", [SETTLED_SECONDS, JUST_ANSWERED_SECONDS])
@pytest.mark.parametrize("seed", range(4))
def test_late_copy_does_not_run_beside_a_start_of_the_next_leader(
    seed: int, settled: float
) -> None:
    """Guards against a target that restarts, is cut off and carries out the copy."""

    async def main() -> None:
        world = build_world(seed, target_count=4)
        await world.start()
        leading = world.leader_name() or ""
        client = world.processes[leading].targets
        client.late_orders_outlive_crashes = True
        client.late_order_share = 1.0
        accepted = await world.submit(job_id(JOB), single_step(), WORK_SECONDS)
        assert isinstance(accepted, Success)
        # Only the first copy of the start is late; its target answers other calls.
        await asyncio.sleep(FIRST_COPY_SECONDS)
        client.late_order_share = 0.0
        await asyncio.sleep(settled)
        [target] = [target for target in world.targets.values() if target.runs]
        target.crash_for(DOWN_SECONDS)
        await asyncio.sleep(DOWN_SECONDS)
        target.cut = True
        await world.kill(leading)
        await asyncio.sleep(LATE_ORDER_DELAY_SECONDS[1] + LEASE_SECONDS)
        target.cut = False
        await asyncio.sleep(WORK_SECONDS)
        await world.stop()
        assert world.checker.starts
        assert world.checker.violations == []

    run_virtual(main())
