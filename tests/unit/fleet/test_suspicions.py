"""What is known of a target that failed just after a start, and what it proves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from egretloft._internal import codec
from egretloft._internal.fleet.crash_suspects import is_settled
from egretloft._internal.fleet.crash_trials import CrashTrials
from egretloft._internal.fleet.lifecycle import apply_end
from egretloft._internal.fleet.models import EndKind, JobState, RunEnd
from egretloft._internal.fleet.records import JobProgress, StepProgress
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunRow,
    TargetRow,
    TaskRow,
)
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

NOW = 100.0
WALL = 1_800_000_000.0
# Long enough for a suspicion to be decided.
LATER = NOW + 6.0
BORN_MS = 1_000


class LostStart:
    """A trial that has been lost with its target just after its start, at ``NOW``.

    Without ``trial`` it is a first start.
    """

    def __init__(
        self,
        attempt: int = 1,
        trial: bool = True,
        steady: bool = True,
        confirmed: bool = True,
        leaving: bool = False,
    ) -> None:
        self.target = build_target(0)
        self.other = build_target(1)
        self.tables: FleetTables = build_tables(self.target, self.other)
        self.target.incarnation_ms = self.other.incarnation_ms = BORN_MS
        self.job: JobRow = add_job(self.tables, 1, single_step(1))
        self.task: TaskRow = first_task(self.job)
        self.trials: CrashTrials = build_trials(self.tables)
        self.run: RunRow = run_task(
            self.tables, self.target, self.task, SMALL, attempt=attempt, started_at=NOW
        )
        self.run.incarnation_ms = BORN_MS
        self.run.trial = trial
        self.run.on_steady_target = steady
        self.run.confirmed = confirmed
        self.target.report = replace(self.target.report, draining=leaving)
        self.target.last_answer = NOW
        self.target.failed_at = NOW + 1.0
        self.target.failed_incarnation_ms = BORN_MS
        self.target.reachable = False
        self.tables.remove_run(self.target, self.run)
        self.trials.on_lost(self.run, NOW + 3.5, WALL)

    def review(self) -> None:
        """Decide what is known after a while."""
        self.trials.review(LATER)


def restart(lost: LostStart) -> None:
    """Let the target answer as a later incarnation."""
    lost.target.reachable = True
    lost.target.incarnation_ms = BORN_MS + 1


def replace_at_address(lost: LostStart) -> None:
    """List another target, born later, at the address of the lost one."""
    lost.target.listed = False
    lost.other.report = replace(
        lost.other.report,
        address=lost.target.report.address,
        incarnation_ms=BORN_MS + 1,
    )


@pytest.mark.parametrize("listed", [False, True])
def test_silent_target_is_no_crash_whether_listed_or_not(listed: bool) -> None:
    """Guards against an expired entry being taken for a crash."""
    lost = LostStart()
    lost.target.listed = listed
    lost.review()
    assert not lost.task.has_crashed()
    assert lost.task.is_suspected()
    assert lost.trials.awaits(lost.target)


def test_target_that_answers_in_the_same_incarnation_withdraws_the_suspicion() -> None:
    """Guards against a suspicion that outlives its reason."""
    lost = LostStart()
    lost.target.reachable = True
    lost.target.last_answer = LATER
    lost.review()
    assert not lost.task.is_suspected()


@pytest.mark.parametrize("come_back", [restart, replace_at_address])
def test_later_incarnation_proves_a_crash(
    come_back: Callable[[LostStart], None],
) -> None:
    """Guards against a crash that is never held against its task."""
    lost = LostStart()
    come_back(lost)
    lost.review()
    assert lost.task.crashed == {1}


def test_crash_of_a_target_that_leaves_is_not_held_against_the_task() -> None:
    """Guards against a planned leave being taken for a crash."""
    lost = LostStart(leaving=True)
    restart(lost)
    lost.review()
    assert not lost.task.is_suspected()


@pytest.mark.parametrize(
    "kind",
    [
        EndKind.LEASE_EXPIRED,
        EndKind.STOPPED,
        EndKind.GANG_BROKEN,
        EndKind.GANG_INCOMPLETE,
    ],
)
def test_listed_end_withdraws_the_suspicion(kind: EndKind) -> None:
    """Guards against a run whose target lists its end being held as a crash."""
    lost = LostStart()
    apply_end(lost.tables, lost.target, RunEnd(1, lost.run.key, kind, ""))
    assert not lost.task.is_suspected()


def test_crash_beside_unexplained_failures_weighs_less() -> None:
    """Guards against a loss of power being held against a task."""
    lost = LostStart()
    lost.other.failed_at = lost.target.failed_at
    lost.other.failed_incarnation_ms = BORN_MS
    lost.other.incarnation_ms = BORN_MS + 1
    restart(lost)
    lost.review()
    assert lost.task.inconclusive == {1}
    assert not lost.task.crashed


def test_neighbour_that_was_only_cut_off_does_not_explain_a_crash() -> None:
    """Guards against a crashing task that is excused by a cut elsewhere."""
    lost = LostStart()
    lost.other.failed_at = lost.target.failed_at
    lost.other.failed_incarnation_ms = BORN_MS
    restart(lost)
    lost.review()
    assert lost.task.crashed == {1}


def test_inconclusive_crashes_alone_do_not_fail_the_job() -> None:
    """Guards against a sound job that fails by losses of power."""
    lost = LostStart(attempt=9, steady=False)
    lost.task.inconclusive = set(range(2, 9))
    restart(lost)
    lost.review()
    assert lost.job.state is JobState.QUEUED


def test_next_leader_learns_the_outcome_of_a_suspicion() -> None:
    """Guards against trials of a former leader that are never decided."""
    lost = LostStart()
    row = codec.encode(lost.job.progress())
    tables = build_tables(lost.target)
    job = add_job(tables, 1, single_step(1))
    job.restore(codec.decode(row, JobProgress).unwrap())
    trials = build_trials(tables)
    trials.restore(LATER, WALL + 3.0)
    restart(lost)
    trials.review(LATER + 5.0)
    assert first_task(job).crashed == {1}
    assert not first_task(job).in_evaluation


def test_suspicions_of_an_earlier_release_are_read() -> None:
    """Guards against rows without places that cannot be read, or count as crashes."""
    tables = build_tables(build_target(0))
    job = add_job(tables, 1, single_step(1))
    entry = StepProgress(0, 0, crashed={0: [1]}, unresolved={0: [2, 3]})
    job.restore(JobProgress(JobState.ACTIVE, True, 0, [entry]))
    trials = build_trials(tables)
    trials.restore(NOW, WALL)
    trials.review(NOW + 100.0)
    task = first_task(job)
    assert task.crashed == {1}
    assert not task.in_evaluation
    assert job.state is JobState.ACTIVE


def test_target_under_suspicion_is_asked_for_a_minute_only() -> None:
    """Guards against a session that asks a target that is gone for ever."""
    lost = LostStart()
    target: TargetRow = lost.target
    lost.trials.review(NOW + 30.0)
    assert lost.trials.awaits(target)
    lost.trials.review(NOW + 70.0)
    assert not lost.trials.awaits(target)


@pytest.mark.parametrize("trial", [False, True])
def test_start_that_is_refused_after_all_is_not_suspected(trial: bool) -> None:
    """Guards against the crash of a target on which the task never ran."""
    lost = LostStart(trial=trial, confirmed=False)
    lost.tables.remove_harmless_run(lost.target, lost.run)
    restart(lost)
    lost.review()
    assert not lost.task.is_suspected()


@pytest.mark.parametrize("unsure", ["trial", "steady", "confirmed"])
def test_start_that_may_not_be_the_cause_weighs_less(unsure: str) -> None:
    """Guards against a crash with other causes being held against its task."""
    lost = LostStart(**{unsure: False})
    restart(lost)
    lost.review()
    assert lost.task.inconclusive == {1}
    assert not lost.task.crashed


def test_target_that_restarts_again_and_again_is_judged() -> None:
    """Guards against a suspicion that each further restart keeps open."""
    lost = LostStart()
    for number in range(40):
        restart(lost)
        lost.target.incarnation_ms += number
        lost.target.restarted_at = NOW + 4.0 + number / 10
        lost.trials.review(NOW + 4.0 + number / 10)
    assert lost.task.has_crashed()
    assert not lost.task.in_evaluation


def lose_beside_silent_target() -> LostStart:
    """Return a crash beside another target that has fallen silent with it."""
    lost = LostStart()
    lost.other.failed_at = lost.target.failed_at
    lost.other.failed_incarnation_ms = BORN_MS
    lost.other.reachable = False
    restart(lost)
    lost.review()
    assert not lost.task.has_crashed()
    assert not lost.task.in_evaluation
    return lost


def test_crash_counts_once_the_silent_targets_beside_it_are_back() -> None:
    """Guards against a crashing task that goes on beside targets that are cut off."""
    lost = lose_beside_silent_target()
    lost.other.reachable = True
    lost.trials.review(LATER + 2.0)
    assert lost.task.crashed == {1}


def test_crash_beside_targets_that_stay_silent_weighs_less() -> None:
    """Guards against a loss of power from which others come back later."""
    lost = lose_beside_silent_target()
    lost.trials.review(LATER + 20.0)
    assert lost.task.inconclusive == {1}


def test_target_that_was_only_cut_off_is_settled() -> None:
    """Guards against a cut that excuses a crash soon after it."""
    target = build_target(0)
    target.returned_at = NOW
    assert is_settled(target, NOW)
    target.restarted_at = NOW
    assert not is_settled(target, NOW)
