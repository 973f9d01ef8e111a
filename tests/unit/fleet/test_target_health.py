"""Quarantine of targets and detection of stalled runs."""

from __future__ import annotations

from egretloft._internal.fleet.models import EndKind, RunEnd, RunKey
from egretloft._internal.fleet.target_health import (
    FIRST_QUARANTINE_SECONDS,
    review_progress,
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
    run = run_task(tables, target, first_task(job), SMALL, started_at=10.0)
    run.percent_changed_at = 10.0
    target.last_answer = 12.0
    assert review_progress(tables, 14.0) == []
    target.last_answer = 14.0
    assert review_progress(tables, 14.0) == [run]


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
    assert review_progress(tables, 40.0) == []
    assert target.quarantined_until == 0.0


def stop_delay(worked: float, checkpoints: bool = False) -> float:
    """Return how long a run stalls until it is stopped, after it has worked."""
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(checkpoints=checkpoints))
    run = run_task(tables, target, first_task(job), SMALL, started_at=100.0)
    run.percent = 50
    run.percent_changed_at = 100.0 + worked
    for step in range(1, 200):
        stalled = step / 10
        target.last_answer = run.percent_changed_at + stalled
        if review_progress(tables, target.last_answer):
            return stalled
    raise AssertionError("the run is never stopped")


def test_stalled_run_is_kept_longer_the_more_work_it_would_lose() -> None:
    """Guards against stopping a gang that had worked for long when its target paused.

    A target that is silent on progress for some seconds often goes on.
    """
    assert stop_delay(0.0) <= 3.2
    assert stop_delay(4.0) >= 5.5
    assert 7.5 <= stop_delay(6.0) <= 9.5
    assert stop_delay(60.0) <= 12.2


def test_stalled_run_with_a_checkpoint_is_stopped_soon() -> None:
    assert stop_delay(60.0, checkpoints=True) <= 3.2


def test_target_gets_no_new_work_while_a_run_on_it_stalls() -> None:
    """Guards against tasks that are started on a target where others stand still.

    The quarantine ends soon after progress is seen, and does not grow with the number
    of stalled runs.
    """
    target = build_target(1)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(6))
    for index in range(6):
        run = run_task(tables, target, first_task(job, index=index), SMALL)
        run.percent_changed_at = 20.0
    target.last_answer = 22.0
    assert review_progress(tables, 22.0) == []
    assert 22.0 < target.quarantined_until < 23.0
    for run in target.runs.values():
        run.percent_changed_at = 22.2
    target.last_answer = 22.3
    review_progress(tables, 22.3)
    assert target.quarantined_until < 23.0
    assert target.quarantines == 0
    assert not target.stalling
