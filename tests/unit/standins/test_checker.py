"""The checker of the emulated platform."""

from __future__ import annotations

import pytest

from egretloft._internal.fleet.models import (
    JobSpec,
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
