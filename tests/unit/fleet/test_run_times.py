"""Expected run times from estimates and completed runs."""

from __future__ import annotations

import pytest

from egretloft._internal.fleet.decisions import TickContext
from egretloft._internal.fleet.run_times import create_run_times
from egretloft._internal.fleet.scheduler import Scheduler
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
)
from unit.fleet.test_demands import first_step
from unit.fleet.test_placing import NOW, operators, started


def test_estimate_is_used_alone_until_a_run_of_the_queue_is_done() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1, estimate_ms=400))
    run_times = create_run_times()
    assert run_times.expected_seconds(job, first_step(job)) == 0.4
    run = run_task(tables, target, first_task(job), SMALL, started_at=10.0)
    run_times.observe(job, first_step(job), run, 14.0)
    assert run_times.expected_seconds(job, first_step(job)) == pytest.approx(2.2)


def test_resumed_and_adopted_runs_are_ignored() -> None:
    """Guards against a mean of partial run times.

    A resumed run skips finished work; an adopted run's start time is unknown.
    """
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(2, estimate_ms=400))
    run_times = create_run_times()
    resumed = run_task(tables, target, first_task(job), SMALL)
    resumed.checkpoint = "saved"
    adopted = run_task(tables, target, first_task(job, index=1), SMALL)
    adopted.adopted = True
    for run in (resumed, adopted):
        run_times.observe(job, first_step(job), run, 14.0)
    assert run_times.means == {}


def test_a_gang_whose_estimate_is_too_short_is_not_spread_at_once() -> None:
    """Guards against gangs that are spread too early and run three times as long.

    The time until a gang is spread depends on its expected run time.
    """
    targets = [build_target(n, f"r-{n // 3}") for n in range(6)]
    tables = build_tables(*targets)
    for number in (0, 1, 3, 4):
        holder = add_job(tables, number, single_step(1, WHOLE), priority=1)
        run_task(tables, targets[number], first_task(holder), WHOLE, 1, started_at=NOW)
    extra = add_job(tables, 5, single_step(1), priority=1)
    run = run_task(tables, targets[5], first_task(extra), SMALL, 1, started_at=NOW - 10)
    gang = single_step(2, WHOLE, gang=True, same_rack=True, estimate_ms=500)
    job = add_job(tables, 6, gang)
    first_step(job).ready_at = NOW - 2.5
    scheduler = Scheduler(tables)
    scheduler.run_times.observe(extra, first_step(extra), run, NOW)
    tables.remove_run(targets[5], run)
    first_task(extra).done = True
    decisions = scheduler.decide(operators(), TickContext(NOW, 1_000.0))
    assert started(decisions) == []
