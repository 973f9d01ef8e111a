"""Entities of the leader: jobs, steps, tasks, runs and targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from egretloft._internal.fleet.clocks import TargetClock
from egretloft._internal.fleet.models import (
    TERMINAL_STATES,
    JobState,
    Resources,
    RunKey,
    StepKey,
    StepSpec,
    TargetReport,
    TaskKey,
)
from egretloft._internal.fleet.records import AcceptedJob, JobProgress, StepProgress

MILLISECONDS = 1000.0


class RunPhase(StrEnum):
    """Where a run is between its order and its end."""

    STARTING = "starting"
    ACTIVE = "active"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRow:
    """A run that takes room on a target until it has certainly ended.

    ``started_at`` and ``moved_at`` are on our steady clock; the latter is when
    ``percent`` last changed. ``order_expires_ms`` is on the target's clock. A
    ``lasting`` run serves until its job is cancelled and never makes room for others.
    An ``adopted`` one was started by an earlier leader. A ``gang`` run works only
    together with the others of its step and attempt; it is ``finishing_since`` another
    of them was heard to be done.
    """

    key: RunKey
    target_id: str
    room: Resources
    priority: int
    phase: RunPhase
    started_at: float
    checkpoint: str = ""
    lasting: bool = False
    adopted: bool = False
    gang: bool = False
    finishing_since: float = 0.0
    percent: int = 0
    moved_at: float = 0.0
    order_expires_ms: float = 0.0
    confirmed: bool = False
    stop_confirmed_at: float = 0.0
    absences: int = 0


@dataclass(slots=True, eq=False)
class TaskRow:
    """One task; ``run`` is the run that may be present, if any."""

    key: TaskKey
    done: bool = False
    failed: set[int] = field(default_factory=set)
    failed_on: set[str] = field(default_factory=set)
    checkpoint: str = ""
    run: RunRow | None = None


@dataclass(slots=True, eq=False)
class StepRow:
    """A step of one occurrence, with its tasks.

    ``expected_seconds`` is how long a task will probably run. A gang that wants one
    rack and was started on several is ``spread``.
    """

    key: StepKey
    spec: StepSpec
    tasks: list[TaskRow]
    expected_seconds: float = 0.0
    spread: bool = False
    ready_at: float = 0.0
    begun: bool = False
    reclaim_targets: frozenset[str] = frozenset()
    reclaim_until: float = 0.0
    reclaimed_work: float = 0.0

    def is_done(self) -> bool:
        """Return whether all tasks ended as done."""
        return all(task.done for task in self.tasks)

    def failures(self, task: TaskRow) -> int:
        """Return how many attempts failed: the gang's, or the task's."""
        if not self.spec.gang:
            return len(task.failed)
        attempts: set[int] = set()
        for member in self.tasks:
            attempts |= member.failed
        return len(attempts)

    def waiting(self) -> list[TaskRow]:
        """Return the tasks that have to start."""
        return [task for task in self.tasks if not task.done and task.run is None]


@dataclass(slots=True, eq=False)
class JobRow:
    """A job and what is known of its progress.

    ``recorded`` is the state that the store holds; ``progress_version`` the version
    of that row. ``due_at_ms`` of an occurrence follows from the specification.
    """

    accepted: AcceptedJob
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    started: bool = False
    recorded: JobState | None = None
    progress_version: int = 0
    changes: int = 0
    recorded_changes: int = 0
    finished_at_ms: int = 0
    steps: dict[StepKey, StepRow] = field(default_factory=dict)
    known_before_term: bool = False

    def touch(self) -> None:
        """Note that the progress row has to be written."""
        self.changes += 1

    def is_dirty(self) -> bool:
        """Return whether the store's row is older than this one."""
        return self.changes != self.recorded_changes

    def is_final(self) -> bool:
        """Return whether nothing more is to be run."""
        return self.state in TERMINAL_STATES

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.accepted.spec.occurrences)

    def due_at_ms(self, occurrence: int) -> int:
        """Return when the occurrence is due, in Unix milliseconds; 0: at once."""
        spec = self.accepted.spec
        if spec.occurrences == 0:
            return 0
        return spec.start_at_ms + occurrence * spec.interval_ms

    def step(self, key: StepKey) -> StepRow:
        """Return the step, which comes into being when first asked for."""
        row = self.steps.get(key)
        if row is None:
            spec = self.accepted.spec.steps[key.step]
            tasks = [TaskRow(TaskKey(key, index)) for index in range(spec.tasks)]
            row = StepRow(key, spec, tasks, spec.estimate_ms / MILLISECONDS)
            self.steps[key] = row
        return row

    def step_keys(self, occurrence: int) -> list[StepKey]:
        """Return the keys of an occurrence's steps in order."""
        count = len(self.accepted.spec.steps)
        job_id = self.accepted.job_id
        return [StepKey(job_id, occurrence, number) for number in range(count)]

    def progress(self) -> JobProgress:
        """Return the row for the store."""
        steps: list[StepProgress] = []
        # Nothing more is run for a job in its final state, so its ends are not needed.
        rows = {} if self.is_final() else self.steps
        for key, row in rows.items():
            entry = StepProgress(key.occurrence, key.step)
            for task in row.tasks:
                if task.done:
                    entry.done.append(task.key.index)
                    continue
                if task.failed:
                    entry.failed[task.key.index] = sorted(task.failed)
                if task.checkpoint:
                    entry.saved[task.key.index] = task.checkpoint
            if entry.done or entry.failed or entry.saved:
                steps.append(entry)
        return JobProgress(self.state, self.started, self.finished_at_ms, steps)

    def restore(self, progress: JobProgress) -> None:
        """Take over what the store holds."""
        self.state = progress.state
        self.recorded = progress.state
        self.started = progress.started
        self.finished_at_ms = progress.finished_at_ms
        for entry in progress.steps:
            key = StepKey(self.accepted.job_id, entry.occurrence, entry.step)
            row = self.step(key)
            row.begun = True
            for index in entry.done:
                row.tasks[index].done = True
            for index, attempts in entry.failed.items():
                row.tasks[index].failed = set(attempts)
            for index, saved in entry.saved.items():
                row.tasks[index].checkpoint = saved


@dataclass(slots=True, eq=False)
class TargetRow:
    """A target and the runs that take its room.

    ``listed`` tells whether the platform's list has it. ``fenced`` tells whether it
    has seen this leader's epoch. ``lease_ends_ms`` is the latest lease that was
    granted, on its clock. ``last_recorded_end`` and ``last_applied_end`` are numbers of
    its ends: recorded in the store, and taken into the tables.
    """

    report: TargetReport
    listed: bool = True
    recorded: bool = False
    fenced: bool = False
    reachable: bool = True
    silent_renewals: int = 0
    last_acknowledged_end: int = 0
    clock: TargetClock | None = None
    incarnation_ms: int = 0
    lease_ends_ms: float = 0.0
    last_recorded_end: int = 0
    last_applied_end: int = 0
    runs: dict[RunKey, RunRow] = field(default_factory=dict)
    last_answer: float = 0.0
    failed_jobs: list[tuple[float, str]] = field(default_factory=list)
    quarantined_until: float = 0.0
    quarantines: int = 0

    def used(self) -> Resources:
        """Return the room that runs take, those being stopped included."""
        cpu = memory_mb = gpus = 0
        for run in self.runs.values():
            cpu += run.room.cpu
            memory_mb += run.room.memory_mb
            gpus += run.room.gpus
        return Resources(cpu, memory_mb, gpus)


@dataclass(slots=True, eq=False)
class FleetTables:
    """All entities of one term of a leader."""

    jobs: dict[str, JobRow] = field(default_factory=dict)
    open_jobs: dict[str, JobRow] = field(default_factory=dict)
    targets: dict[str, TargetRow] = field(default_factory=dict)

    def task(self, key: TaskKey) -> TaskRow | None:
        """Return the task, if its job is known and the key is sound."""
        job = self.jobs.get(key.step.job_id)
        if job is None or key.step.step >= len(job.accepted.spec.steps):
            return None
        if key.step.occurrence >= job.occurrences():
            return None
        step = job.step(key.step)
        return step.tasks[key.index] if key.index < len(step.tasks) else None
