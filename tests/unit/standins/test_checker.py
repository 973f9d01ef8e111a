"""The checker of the emulated platform."""

from __future__ import annotations

import pytest

from egretloft._internal.fleet.models import (
    EndKind,
    JobSpec,
    JobState,
    Resources,
    RunKey,
    StepKey,
    StepSpec,
    TaskKey,
)
from standins.fleet.checker import Checker, JobTruth, RunTruth

JOB = "00000000000000aa"
ROOM = Resources(1, 1, 1)


@pytest.mark.parametrize(("started_at", "broken"), [(10.9, False), (11.1, True)])
def test_start_over_a_second_after_its_job_was_shown_as_complete_breaks_twice(
    started_at: float, broken: bool
) -> None:
    checker = Checker()
    checker.jobs[JOB] = JobTruth(JobSpec("text", (StepSpec(1, ROOM),)), 0.1)
    checker.on_shown_complete(JOB, 10.0)
    key = RunKey(TaskKey(StepKey(JOB, 0, 0), 0), 2)
    checker.on_start(RunTruth(key, "i-1", ROOM, "", started_at), "text", started_at)
    assert ["TWICE" in violation for violation in checker.violations] == [True] * broken


def test_what_is_excused_is_recorded_apart_from_violations() -> None:
    checker = Checker()
    checker.is_excused = lambda rule, at: rule == "GANG" and at < 5.0
    for rule, at in (("GANG", 4.0), ("GANG", 6.0), ("TWICE", 4.0)):
        checker.report(rule, "task", at)
    assert checker.excused == ["GANG at 4.000: task"]
    assert checker.violations == ["GANG at 6.000: task", "TWICE at 4.000: task"]


def checker_with_job(tasks: int = 2, gang: bool = False) -> Checker:
    """Return a checker that knows one job of one step."""
    checker = Checker()
    spec = JobSpec("text", (StepSpec(tasks, ROOM, gang=gang),))
    checker.jobs[JOB] = JobTruth(spec, 0.1)
    return checker


def end_run(checker: Checker, index: int, attempt: int, kind: EndKind) -> None:
    """Start a run of a task and end it."""
    key = RunKey(TaskKey(StepKey(JOB, 0, 0), index), attempt)
    run = RunTruth(key, "i-1", ROOM, "", 1.0)
    checker.on_start(run, "text", 1.0)
    checker.on_end(run, kind)


@pytest.mark.parametrize(
    "kind", [EndKind.LEASE_EXPIRED, EndKind.STOPPED, EndKind.GANG_BROKEN]
)
def test_only_ends_as_failed_excuse_a_job_that_is_shown_as_failed(
    kind: EndKind,
) -> None:
    checker = checker_with_job()
    for attempt in range(9):
        end_run(checker, 0, attempt, kind)
    checker.on_shown(JOB, JobState.FAILED, 5.0)
    assert [v.split()[0] for v in checker.violations] == ["LOST"]


@pytest.mark.parametrize(("failures", "broken"), [((3, 3), True), ((4, 0), False)])
def test_one_task_must_have_used_up_its_attempts_when_its_job_is_shown_as_failed(
    failures: tuple[int, int], broken: bool
) -> None:
    checker = checker_with_job()
    for index, count in enumerate(failures):
        for attempt in range(count):
            end_run(checker, index, attempt, EndKind.FAILED)
    checker.on_shown(JOB, JobState.FAILED, 5.0)
    checker.on_shown(JOB, JobState.FAILED, 6.0)
    assert ["LOST" in v for v in checker.violations] == [True] * broken


@pytest.mark.parametrize(("crashes", "broken"), [((2, 2), True), ((3, 0), False)])
def test_one_task_must_have_crashed_three_targets_when_its_job_is_shown_as_failed(
    crashes: tuple[int, int], broken: bool
) -> None:
    checker = checker_with_job()
    for index, count in enumerate(crashes):
        checker.crashes[TaskKey(StepKey(JOB, 0, 0), index)] = count
    checker.on_shown(JOB, JobState.FAILED, 5.0)
    assert ["LOST" in v for v in checker.violations] == [True] * broken


def test_failures_of_another_job_do_not_excuse_a_job_that_is_shown_as_failed() -> None:
    checker = checker_with_job()
    other = "00000000000000bb"
    checker.jobs[other] = checker.jobs[JOB]
    checker.crashes[TaskKey(StepKey(JOB, 0, 0), 0)] = 9
    checker.on_shown(other, JobState.FAILED, 5.0)
    assert ["LOST" in v for v in checker.violations] == [True]


@pytest.mark.parametrize("done", [1, 2])
def test_job_is_shown_as_complete_only_after_all_its_tasks_are_done(done: int) -> None:
    checker = checker_with_job(tasks=2)
    for index in range(done):
        end_run(checker, index, 1, EndKind.DONE)
    checker.on_shown(JOB, JobState.COMPLETE, 5.0)
    assert ["MIXED" in v for v in checker.violations] == [True] * (done < 2)


@pytest.mark.parametrize("asked", [False, True])
def test_job_is_shown_as_cancelled_only_after_a_caller_has_asked_for_that(
    asked: bool,
) -> None:
    checker = checker_with_job()
    checker.jobs[JOB].cancel_sent = asked
    checker.on_shown(JOB, JobState.CANCELLED, 5.0)
    assert ["LOST" in v for v in checker.violations] == [True] * (not asked)
