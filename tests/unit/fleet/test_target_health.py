"""Quarantine of targets and detection of stalled runs."""

from __future__ import annotations

from egretloft._internal.fleet.models import EndKind, RunEnd, RunKey
from egretloft._internal.fleet.target_health import (
    FIRST_QUARANTINE_SECONDS,
    stalled_runs,
    update_health,
)
from lib.fleet_builders import (
    SMALL,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
    task_key,
)


def end(number: int, job: int, kind: EndKind) -> RunEnd:
    return RunEnd(number, RunKey(task_key(job), 1), kind, "")


def test_failures_of_two_jobs_quarantine_a_target() -> None:
    target = build_target(1)
    assert not update_health(target, end(1, 1, EndKind.FAILED), 10.0)
    assert update_health(target, end(2, 2, EndKind.FAILED), 11.0)
    assert target.quarantined_until == 11.0 + FIRST_QUARANTINE_SECONDS


def test_repeated_failures_of_one_job_do_not_quarantine_a_target() -> None:
    """Guards against a defective job that puts healthy targets in quarantine.

    Such a job fails on each target where it is tried.
    """
    target = build_target(1)
    for number in range(1, 6):
        assert not update_health(target, end(number, 1, EndKind.FAILED), float(number))


def test_done_run_clears_the_failures_of_a_target() -> None:
    target = build_target(1)
    update_health(target, end(1, 1, EndKind.FAILED), 10.0)
    update_health(target, end(2, 3, EndKind.DONE), 10.5)
    assert not update_health(target, end(3, 2, EndKind.FAILED), 11.0)


def test_quarantine_doubles_when_the_next_job_fails_too() -> None:
    target = build_target(1)
    update_health(target, end(1, 1, EndKind.FAILED), 10.0)
    update_health(target, end(2, 2, EndKind.FAILED), 11.0)
    assert update_health(target, end(3, 3, EndKind.FAILED), 20.0)
    assert target.quarantined_until == 20.0 + 2 * FIRST_QUARANTINE_SECONDS


def test_run_without_progress_is_stalled_only_while_its_target_answers() -> None:
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step())
    run = run_task(tables, target, first_task(job), SMALL)
    run.percent_changed_at = 10.0
    target.last_answer = 12.0
    assert stalled_runs(tables) == []
    target.last_answer = 14.0
    assert stalled_runs(tables) == [run]


def test_run_that_outlasts_its_estimate_is_not_stalled() -> None:
    """Guards against stopping long tasks, which stay at 100 percent until they end.

    Their progress then does not change, as in a stalled run.
    """
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step())
    run = run_task(tables, target, first_task(job), SMALL)
    run.percent = 100
    run.percent_changed_at = 10.0
    target.last_answer = 40.0
    assert stalled_runs(tables) == []
