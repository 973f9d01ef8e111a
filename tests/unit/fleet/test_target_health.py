"""Judgement of targets by the runs that they carry."""

from __future__ import annotations

from egretloft._internal.fleet.models import EndKind, RunEnd, RunKey
from egretloft._internal.fleet.target_health import (
    FIRST_QUARANTINE_SECONDS,
    judge_end,
    stalled_runs,
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


def test_failures_of_two_jobs_set_a_target_aside() -> None:
    target = build_target(1)
    assert not judge_end(target, end(1, 1, EndKind.FAILED), 10.0)
    assert judge_end(target, end(2, 2, EndKind.FAILED), 11.0)
    assert target.quarantined_until == 11.0 + FIRST_QUARANTINE_SECONDS


def test_one_job_that_fails_again_and_again_is_no_evidence() -> None:
    """Guards against a job that can never be done closing sound targets."""
    target = build_target(1)
    for number in range(1, 6):
        assert not judge_end(target, end(number, 1, EndKind.FAILED), float(number))


def test_done_run_clears_a_target() -> None:
    target = build_target(1)
    judge_end(target, end(1, 1, EndKind.FAILED), 10.0)
    judge_end(target, end(2, 3, EndKind.DONE), 10.5)
    assert not judge_end(target, end(3, 2, EndKind.FAILED), 11.0)


def test_pause_doubles_after_a_failed_trial() -> None:
    target = build_target(1)
    judge_end(target, end(1, 1, EndKind.FAILED), 10.0)
    judge_end(target, end(2, 2, EndKind.FAILED), 11.0)
    assert judge_end(target, end(3, 3, EndKind.FAILED), 20.0)
    assert target.quarantined_until == 20.0 + 2 * FIRST_QUARANTINE_SECONDS


def test_run_without_progress_is_stalled_only_while_its_target_answers() -> None:
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step())
    run = run_task(target, first_task(job), SMALL)
    run.moved_at = 10.0
    target.last_answer = 12.0
    assert stalled_runs(tables, 60.0) == []
    target.last_answer = 14.0
    assert stalled_runs(tables, 60.0) == [run]


def test_run_that_outlasts_its_estimate_is_not_stalled() -> None:
    """Guards against stopping long tasks, which stay at 100 percent to their end."""
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step())
    run = run_task(target, first_task(job), SMALL)
    run.percent = 100
    run.moved_at = 10.0
    target.last_answer = 40.0
    assert stalled_runs(tables, 40.0) == []
