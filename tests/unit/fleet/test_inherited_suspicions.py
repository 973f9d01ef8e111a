"""Suspicions that a leader takes over from an earlier one."""

from __future__ import annotations

from dataclasses import replace

from egretloft._internal import codec
from egretloft._internal.fleet.crash_trials import CrashTrials
from egretloft._internal.fleet.records import JobProgress
from egretloft._internal.fleet.tables import JobRow, TargetRow, TaskRow
from lib.fleet_builders import (
    SMALL,
    add_job,
    build_tables,
    build_target,
    build_trials,
    first_task,
    run_task,
    single_step,
)
from unit.fleet.test_suspicions import BORN_MS, LATER, NOW, WALL, LostStart


class NextTerm:
    """The next leader, which begins at ``now`` and has yet to hear from the targets."""

    def __init__(self, job_then: JobRow, now: float) -> None:
        row = codec.encode(job_then.progress())
        self.now = now
        self.targets: list[TargetRow] = [build_target(0), build_target(1)]
        tables = build_tables(*self.targets)
        job = add_job(tables, 1, single_step(1))
        job.restore(codec.decode(row, JobProgress).unwrap())
        self.task: TaskRow = first_task(job)
        self.trials: CrashTrials = build_trials(tables)
        self.trials.restore(now, WALL + now - NOW)

    def hear_restarted(self) -> None:
        """Let all targets answer as later incarnations, and decide."""
        for target in self.targets:
            target.incarnation_ms = BORN_MS + 10_000
            target.last_answer = self.now + 1.0
        self.trials.review(self.now + 5.0)


def begin_trial(confirmed: bool) -> JobRow:
    """Return the job of a trial that has been begun, and may have been confirmed."""
    target = build_target(0)
    target.incarnation_ms = BORN_MS
    tables = build_tables(target, build_target(1))
    job = add_job(tables, 1, single_step(1))
    run = run_task(tables, target, first_task(job), SMALL, attempt=1, started_at=NOW)
    run.incarnation_ms = BORN_MS
    run.on_steady_target = True
    run.confirmed = False
    trials = build_trials(tables)
    trials.begin(run, NOW)
    if confirmed:
        trials.on_confirmed(run)
    return job


def test_next_leader_does_not_decide_what_was_given_up_long_before() -> None:
    """Guards against a restart an hour later that is held against a start."""
    lost = LostStart()
    lost.review()
    lost.trials.review(NOW + 70.0)
    assert not lost.trials.open
    term = NextTerm(lost.job, NOW + 3600.0)
    term.hear_restarted()
    assert not term.task.has_crashed()


def test_next_leader_knows_that_other_targets_failed_at_the_same_time() -> None:
    """Guards against a loss of power that counts in full after a takeover."""
    lost = LostStart()
    lost.other.failed_at = lost.target.failed_at
    lost.other.failed_incarnation_ms = BORN_MS
    lost.other.incarnation_ms = BORN_MS + 1
    lost.review()
    term = NextTerm(lost.job, LATER)
    term.hear_restarted()
    assert not term.task.crashed


def test_next_leader_knows_that_the_target_was_not_steady() -> None:
    """Guards against a flapping target that counts in full after a takeover."""
    lost = LostStart(steady=False)
    term = NextTerm(lost.job, LATER)
    term.hear_restarted()
    assert not term.task.crashed


def test_next_leader_knows_that_the_target_was_leaving() -> None:
    """Guards against a planned leave that is taken for a crash after a takeover."""
    lost = LostStart(leaving=True)
    term = NextTerm(lost.job, LATER)
    term.hear_restarted()
    assert not term.task.has_crashed()


def test_used_target_that_is_not_listed_is_not_leaving() -> None:
    """Guards against crashes that are forgotten with the term in which they fell."""
    term = NextTerm(LostStart().job, LATER)
    target = term.targets[0]
    target.report = replace(target.report, draining=True, incarnation_ms=0)
    target.listed = False
    term.trials.review(LATER + 1.0)
    assert term.task.is_suspected()


def test_trial_of_which_no_target_has_told_weighs_less_to_the_next_leader() -> None:
    """Guards against sound jobs that fail by starts that may never have arrived."""
    term = NextTerm(begin_trial(confirmed=False), LATER)
    term.hear_restarted()
    assert term.task.inconclusive == {1}
    assert not term.task.crashed


def test_confirmed_trial_counts_in_full_to_the_next_leader() -> None:
    """Guards against a crashing task that goes on as leaders change."""
    term = NextTerm(begin_trial(confirmed=True), LATER)
    term.hear_restarted()
    assert term.task.crashed == {1}
