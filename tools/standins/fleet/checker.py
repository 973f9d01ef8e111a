"""Checks of the promises from what targets and callers see."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretloft._internal.fleet.models import (
    EndKind,
    JobSpec,
    Resources,
    RunKey,
    StepKey,
    TaskKey,
)


@dataclass(slots=True)
class JobTruth:
    """What the emulator knows of a job: its real run times and its failures.

    ``work_seconds`` is a task's time on a sound target. ``failing_attempts`` is how
    many runs of each task fail. ``cancelled_at`` is when the cancel was acknowledged.
    """

    spec: JobSpec
    work_seconds: float
    attempts: int = 4
    failing_attempts: int = 0
    cancelled_at: float | None = None
    cancel_sent: bool = False
    refused: bool = False


@dataclass(slots=True, eq=False)
class RunTruth:
    """A run on a target; ``work_left`` is in seconds of work."""

    key: RunKey
    target_id: str
    room: Resources
    checkpoint: str
    started_at: float
    working_since: float | None = None
    work_left: float = 0.0
    stopping: bool = False
    handles: list[object] = field(default_factory=list)


class Checker:
    """Collects broken promises."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobTruth] = {}
        self.violations: list[str] = []
        self.running: dict[TaskKey, list[RunTruth]] = {}
        self.noted_done: set[TaskKey] = set()
        self.done: set[TaskKey] = set()
        self.noted_failures: dict[TaskKey, int] = {}
        self.step_done: set[StepKey] = set()
        self.starts = 0

    def report(self, rule: str, what: str, at: float) -> None:
        """Note a broken promise."""
        self.violations.append(f"{rule} at {at:.3f}: {what}")

    def on_start(self, run: RunTruth, payload: str, at: float) -> None:
        """Check a start."""
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
        if task in self.noted_done:
            self.report("TWICE", f"{task} started after a noted end", at)
        if self.noted_failures.get(task, 0) >= truth.attempts:
            self.report("BUDGET", f"{task}", at)
        for number in truth.spec.steps[task.step.step].after:
            before = StepKey(task.step.job_id, task.step.occurrence, number)
            if not self.is_step_done(before, truth):
                self.report("ORDER", f"{task}", at)
        others.append(run)

    def is_step_done(self, step: StepKey, truth: JobTruth) -> bool:
        """Return whether all tasks of a step ended as done."""
        count = truth.spec.steps[step.step].tasks
        return all(TaskKey(step, index) in self.done for index in range(count))

    def on_end(self, run: RunTruth, kind: EndKind) -> None:
        """Take an end."""
        task = run.key.task
        others = self.running.get(task, [])
        if run in others:
            others.remove(run)
        if kind is EndKind.DONE:
            truth = self.jobs[task.step.job_id]
            step = truth.spec.steps[task.step.step]
            indexes = range(step.tasks) if step.gang else (task.index,)
            self.done.update(TaskKey(task.step, index) for index in indexes)

    def on_noted(self, task: TaskKey, kind: EndKind, lapsed: bool) -> None:
        """Take note that the system acknowledged an end."""
        if kind is EndKind.DONE and not lapsed:
            self.noted_done.add(task)
        if kind is EndKind.FAILED:
            self.noted_failures[task] = self.noted_failures.get(task, 0) + 1
