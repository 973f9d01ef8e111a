"""What is taken for evidence of a crash, or of none, and proves something else."""

from __future__ import annotations

from dataclasses import replace

from lib.fleet_builders import SMALL, run_task
from unit.fleet.test_suspicions import (
    BORN_MS,
    LATER,
    NOW,
    LostStart,
    replace_at_address,
    restart,
)


def test_older_silent_target_does_not_end_the_evaluation_of_the_last_trial() -> None:
    """Guards against a suspect that is started before its last crash counts."""
    lost = LostStart()
    lost.trials.open[0].trial = True
    lost.review()
    now = NOW + 20.0
    run = run_task(lost.tables, lost.other, lost.task, SMALL, attempt=2, started_at=now)
    run.incarnation_ms = BORN_MS
    lost.trials.begin(run, now)
    lost.other.failed_at = lost.other.last_answer = now
    lost.tables.remove_run(lost.other, run)
    lost.trials.on_lost(run, now)
    lost.trials.review(now + 0.25)
    assert lost.task.in_evaluation


def test_restart_with_a_clock_that_stepped_back_is_a_restart() -> None:
    """Guards against a crash that withdraws the suspicion, as born is a wall time."""
    lost = LostStart()
    lost.target.reachable = True
    lost.target.incarnation_ms = BORN_MS - 1
    lost.target.last_answer = LATER
    lost.review()
    assert lost.task.has_crashed()


def test_leave_that_is_announced_after_the_run_was_lost_is_no_crash() -> None:
    """Guards against a planned leave behind a cut that is taken for a crash."""
    lost = LostStart()
    lost.target.report = replace(lost.target.report, draining=True)
    lost.review()
    replace_at_address(lost)
    lost.trials.review(LATER + 10.0)
    assert not lost.task.has_crashed()


def test_target_that_answers_at_a_new_address_was_not_replaced() -> None:
    """Guards against the new owner of an address that proves crashes for ever."""
    lost = LostStart()
    lost.target.replaced = True
    lost.target.report = replace(lost.target.report, address="address-new")
    lost.target.reachable = True
    lost.target.last_answer = LATER
    lost.review()
    assert not lost.task.has_crashed()


def test_cut_elsewhere_that_ends_later_does_not_excuse_a_crash() -> None:
    """Guards against a crashing task that is excused by targets that are cut off."""
    lost = LostStart()
    lost.other.failed_at = lost.target.failed_at
    lost.other.failed_incarnation_ms = BORN_MS
    lost.other.reachable = False
    lost.review()
    lost.other.reachable = True
    lost.other.last_answer = LATER + 1.0
    restart(lost)
    lost.trials.review(LATER + 3.0)
    assert lost.task.crashed == {1}
