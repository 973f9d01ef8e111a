"""Runs on targets that announce that they leave."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet.departures import runs_to_move
from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.tables import RunRow, TargetRow
from lib.fleet_builders import (
    SMALL,
    add_job,
    build_tables,
    build_target,
    build_world,
    first_task,
    job_id,
    run_task,
    single_step,
)
from lib.virtual_time import run_virtual

NOW = 100.0


def is_moved(
    expected: float,
    worked: float,
    remaining: float | None,
    draining: bool = True,
    **values: object,
) -> bool:
    """Return whether a run is moved from a target that leaves after ``remaining``."""
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(estimate_ms=int(expected * 1000), **values))
    run = run_task(tables, target, first_task(job), SMALL, started_at=NOW - worked)
    run.lasting = bool(values.get("lasting"))
    announce(target, remaining, draining)
    return runs_to_move(tables, NOW) == [run]


def announce(target: TargetRow, remaining: float | None, draining: bool) -> None:
    """Let the target say that it drains and how long it stays."""
    report = target.report
    target.report = type(report)(
        report.target_id,
        report.address,
        report.service,
        report.zone,
        report.rack,
        report.labels,
        report.room,
        draining,
        report.incarnation_ms,
        remaining,
    )
    target.leaves_at = None if remaining is None else NOW + remaining


@pytest.mark.parametrize(
    ("expected", "worked", "remaining", "moved"),
    [
        (8.0, 1.0, 2.0, True),
        (8.0, 7.0, 2.0, False),
        # It would lose 6 s of work, and the target may stay for a while longer.
        (9.0, 6.0, 2.0, False),
        (9.0, 2.0, 2.0, True),
        # Overdue: nothing tells how long it goes on.
        (2.0, 5.0, 1.0, False),
        (8.0, 1.0, None, False),
    ],
)
def test_run_is_moved_if_its_target_leaves_well_before_its_end(
    expected: float, worked: float, remaining: float | None, moved: bool
) -> None:
    assert is_moved(expected, worked, remaining) == moved


def test_run_with_a_checkpoint_is_moved_also_late() -> None:
    assert is_moved(9.0, 6.0, 2.0, checkpoints=True)


def test_lasting_run_and_run_on_a_target_that_stays_are_not_moved() -> None:
    assert not is_moved(8.0, 1.0, 2.0, lasting=True)
    assert not is_moved(8.0, 1.0, 2.0, draining=False)


def test_progress_counts_for_a_run_of_an_earlier_leader() -> None:
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(estimate_ms=8_000))
    run: RunRow = run_task(tables, target, first_task(job), SMALL, started_at=NOW)
    announce(target, 2.0, True)
    assert runs_to_move(tables, NOW) == [run]
    run.percent = 80
    assert runs_to_move(tables, NOW) == []


@pytest.mark.parametrize("gang", [False, True])
def test_tasks_of_a_leaving_target_start_elsewhere_before_it_is_gone(
    gang: bool,
) -> None:
    """Guards against callers who wait until the lease of a target that left expires."""

    async def main() -> None:
        world = build_world(target_count=8)
        await world.start()
        spec = single_step(6, SMALL, gang=gang, estimate_ms=4_000)
        result = await world.submit(job_id(1), spec, 4.0)
        assert isinstance(result, Success)
        await asyncio.sleep(0.5)
        leaving = next(target for target in world.targets.values() if target.runs)
        task = asyncio.create_task(world.drain(leaving, 2.0))
        submitted = world.clock.boottime()
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 12.0)
        assert world.clock.boottime() - submitted < 4.0 + 1.5
        await task
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
