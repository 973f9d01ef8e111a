"""Checks the scheduler's guarantees against what targets and callers observe."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from egretloft._internal.fleet.models import (
    EndKind,
    JobSpec,
    JobState,
    Resources,
    RunEnd,
    RunKey,
    StepKey,
    TaskKey,
)


@dataclass(slots=True)
class JobTruth:
    """Ground truth of a job: how long its tasks really run, and how they fail.

    ``work_seconds`` is how long each task runs on a healthy target, and
    ``failing_attempts`` is how many runs of each task fail. The tasks with an index in
    ``crashing_tasks`` crash every target that starts them. ``cancelled_at`` is when
    the cancellation was acknowledged.
    """

    spec: JobSpec
    work_seconds: float
    attempts: int = 4
    failing_attempts: int = 0
    cancelled_at: float | None = None
    cancel_sent: bool = False
    refused: bool = False
    crashing_tasks: frozenset[int] = frozenset()


@dataclass(slots=True, eq=False)
class RunTruth:
    """Ground truth of a run on a target.

    The run makes no progress between ``stalled_from`` and ``stalled_until``.
    ``work_left`` is in seconds. ``working_since`` is ``None`` until the run starts to
    work; a gang member waits for the other members first.
    """

    key: RunKey
    target_id: str
    room: Resources
    checkpoint: str
    started_at: float
    working_since: float | None = None
    stalled_from: float = 0.0
    stalled_until: float = 0.0
    work_left: float = 0.0
    stopping: bool = False
    handles: list[asyncio.TimerHandle] = field(default_factory=list)


# A task that has crashed this many targets may be started fewer times more than this.
CRASHES_LIMIT = 3
# No task of a job starts later than this after the job was shown as complete.
SHOWN_COMPLETE_SLACK_SECONDS = 1.0


def never_excused(rule: str, at: float) -> bool:
    """Return whether a rule does not hold at a time; by default all hold always."""
    return False


class Checker:
    """Records violations of the scheduler's guarantees.

    What ``is_excused`` covers is recorded too, but is no violation.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobTruth] = {}
        self.violations: list[str] = []
        self.excused: list[str] = []
        self.is_excused: Callable[[str, float], bool] = never_excused
        self.running: dict[TaskKey, list[RunTruth]] = {}
        self.acknowledged_done: set[TaskKey] = set()
        self.done_runs: dict[TaskKey, list[RunKey]] = {}
        self.started_after_done: dict[RunKey, list[RunKey]] = {}
        self.shown_complete_at: dict[str, float] = {}
        self.done: set[TaskKey] = set()
        self.failures: dict[TaskKey, int] = {}
        self.acknowledged_failures: dict[TaskKey, int] = {}
        self.step_done: set[StepKey] = set()
        self.starts = 0
        self.crashes: Counter[TaskKey] = Counter()
        self.starts_after_crashes: Counter[TaskKey] = Counter()
        self.shown_wrong: set[str] = set()

    def report(self, rule: str, what: str, at: float) -> None:
        """Record a violation of a rule, unless the rule does not hold now."""
        records = self.excused if self.is_excused(rule, at) else self.violations
        records.append(f"{rule} at {at:.3f}: {what}")

    def on_start(self, run: RunTruth, payload: str, at: float) -> None:
        """Check a run that starts on a target.

        Its job must have been submitted (UNASKED) and not refused (REFUSED). The task
        must have no other active run and no acknowledged completion, and its job must
        not have been shown as complete a while ago (TWICE). It must have attempts left
        (BUDGET), and all steps that it depends on must be done (ORDER). A start after
        an end as done that is acknowledged later is reported then.
        """
        self.starts += 1
        task = run.key.task
        truth = self.jobs.get(task.step.job_id)
        if truth is None or truth.spec.payload != payload:
            self.report("UNASKED", f"{task}", at)
            return
        if truth.refused:
            self.report("REFUSED", f"{task}", at)
        others = self.running.setdefault(task, [])
        if others:
            where = [other.target_id for other in others]
            self.report("TWICE", f"{task} runs on {where} and {run.target_id}", at)
        if task in self.acknowledged_done:
            self.report("TWICE", f"{task} started after its end was acknowledged", at)
        shown_at = self.shown_complete_at.get(task.step.job_id, at)
        if at - shown_at > SHOWN_COMPLETE_SLACK_SECONDS:
            self.report("TWICE", f"{task} started after it was shown as complete", at)
        if self.acknowledged_failures.get(task, 0) >= truth.attempts:
            self.report("BUDGET", f"{task}", at)
        if self.crashes[task] >= CRASHES_LIMIT:
            self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] >= CRASHES_LIMIT:
            crashes = self.crashes[task]
            self.report("BUDGET", f"{task} started after {crashes} crashes", at)
        for number in truth.spec.steps[task.step.step].after:
            before = StepKey(task.step.job_id, task.step.occurrence, number)
            if not self.is_step_done(before, truth):
                self.report("ORDER", f"{task}", at)
        for done in self.done_runs.get(task, ()):
            self.started_after_done.setdefault(done, []).append(run.key)
        others.append(run)

    def is_step_done(self, step: StepKey, truth: JobTruth) -> bool:
        """Return whether all tasks of a step have ended as done."""
        count = truth.spec.steps[step.step].tasks
        return all(TaskKey(step, index) in self.done for index in range(count))

    def on_end(self, run: RunTruth, kind: EndKind) -> None:
        """Record that a run ended on its target."""
        task = run.key.task
        others = self.running.get(task, [])
        if run in others:
            others.remove(run)
        if kind is EndKind.FAILED:
            self.failures[task] = self.failures.get(task, 0) + 1
        if kind is EndKind.DONE:
            self.done_runs.setdefault(task, []).append(run.key)
            truth = self.jobs[task.step.job_id]
            step = truth.spec.steps[task.step.step]
            indexes = range(step.tasks) if step.gang else (task.index,)
            self.done.update(TaskKey(task.step, index) for index in indexes)

    def on_shown_complete(self, job_id: str, at: float) -> None:
        """Record that a caller was told that a job is complete."""
        self.shown_complete_at.setdefault(job_id, at)

    def on_shown(self, job_id: str, state: JobState, at: float) -> None:
        """Check the state of an accepted job that a caller was shown.

        It must not be complete while a task has not ended as done (MIXED). It must not
        be failed unless a task is to blame, nor cancelled unless a caller has asked for
        that (LOST). Each job is reported once.
        """
        if state is JobState.COMPLETE:
            self.on_shown_complete(job_id, at)
        wrong = self.find_wrong_state(job_id, state)
        if wrong is not None and job_id not in self.shown_wrong:
            self.shown_wrong.add(job_id)
            counts = self.count_failures(job_id)
            self.report(wrong, f"job {job_id} is shown as {state.value}; {counts}", at)

    def find_wrong_state(self, job_id: str, state: JobState) -> str | None:
        """Return the rule that is broken if a job is shown in a state now, if any."""
        truth = self.jobs[job_id]
        if state is JobState.COMPLETE:
            keys = [StepKey(job_id, 0, n) for n in range(len(truth.spec.steps))]
            is_done = all(self.is_step_done(key, truth) for key in keys)
            return None if is_done else "MIXED"
        if state is JobState.FAILED:
            return "LOST" if not self.blamed_tasks(job_id) else None
        if state is JobState.CANCELLED:
            return None if truth.cancel_sent else "LOST"
        return None

    def blamed_tasks(self, job_id: str) -> list[TaskKey]:
        """Return the tasks for which a job may be given up.

        These have ended as failed as often as the queue allows, or have crashed
        ``CRASHES_LIMIT`` targets. Runs that ended in any other way do not count.
        """
        attempts = self.jobs[job_id].attempts
        failed = [task for task, count in self.failures.items() if count >= attempts]
        crashed = [t for t, count in self.crashes.items() if count >= CRASHES_LIMIT]
        return [task for task in failed + crashed if task.step.job_id == job_id]

    def count_failures(self, job_id: str) -> str:
        """Return the most ends as failed and the most crashes of a task of a job."""
        failed = [n for t, n in self.failures.items() if t.step.job_id == job_id]
        crashed = [n for t, n in self.crashes.items() if t.step.job_id == job_id]
        most_failed, most_crashed = max(failed, default=0), max(crashed, default=0)
        return (
            f"at most {most_failed} failed ends and {most_crashed} crashes of a task, "
            f"crashing tasks: {sorted(self.jobs[job_id].crashing_tasks)}"
        )

    def on_acknowledged(self, end: RunEnd, lease_expired: bool, at: float) -> None:
        """Record that the scheduler acknowledged the end of a run.

        ``lease_expired`` tells whether the target's lease expired after the run ended.
        If it did not, the task must not have started after an end as done (TWICE).
        """
        task, kind = end.run.task, end.kind
        if kind is EndKind.DONE and not lease_expired:
            self.acknowledged_done.add(task)
            for started in self.started_after_done.pop(end.run, ()):
                self.report("TWICE", f"{started} started after {end.run} was done", at)
        if kind is EndKind.FAILED:
            self.acknowledged_failures[task] = (
                self.acknowledged_failures.get(task, 0) + 1
            )
