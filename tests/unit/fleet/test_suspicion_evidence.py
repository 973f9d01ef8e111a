"""What is taken for evidence of a crash, or of none, and proves something else."""

from __future__ import annotations

from dataclasses import replace

from unit.fleet.test_suspicions import (
    BORN_MS,
    LATER,
    LostStart,
    replace_at_address,
    restart,
)


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
