"""In-memory state of the leader: jobs, steps, tasks, runs and targets."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field, replace
from enum import StrEnum

from egretloft._internal.fleet.clocks import TargetClock
from egretloft._internal.fleet.fencing import fencing_token
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
from egretloft._internal.fleet.records import (
    UNKNOWN_PLACE,
    AcceptedJob,
    JobProgress,
    RunPlace,
    StepProgress,
    SuspectedStarts,
    UnansweredStart,
)

MILLISECONDS = 1000.0


class RunPhase(StrEnum):
    """Phase of a run between the order to start it and its end."""

    STARTING = "starting"
    ACTIVE = "active"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class RunRow:
    """A run that takes resources of a target until it has certainly ended.

    ``started_at``, ``percent_changed_at``, ``reported_at`` and ``finishing_since`` are
    in seconds on the local boot-time clock; ``order_expires_ms`` is on the target's
    clock. ``reported_at`` is when the target last listed the run as active. A
    ``lasting`` run serves until its job is cancelled and is preempted only for a step
    that a guarantee covers. An ``adopted`` run was started by an earlier leader. A
    ``gang`` run works only together with the others of its step and attempt;
    ``finishing_since`` is when another of them was first seen to be done.
    ``incarnation_ms`` is that of the target when the start was decided. ``in_doubt``
    marks a start whose calls all had no answer, ``sent_before_restart`` one without a
    confirmation whose target has restarted since, so that the expiry of the order no
    longer bounds it. ``trial`` marks the start of a suspect, ``on_steady_target`` one
    on a target that had not come back lately. ``times_missing`` counts the target's
    consecutive answers that do not list the run. ``stop_reason`` is why the leader
    stops it, and ``stopping_since`` the boot time at which it decided to. ``job`` and
    ``task`` are ``None`` for a run of an unknown task.
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
    incarnation_ms: int = 0
    in_doubt: bool = False
    sent_before_restart: bool = False
    trial: bool = False
    on_steady_target: bool = True
    percent: int = 0
    percent_changed_at: float = 0.0
    reported_at: float = 0.0
    order_expires_ms: float = 0.0
    confirmed: bool = False
    stop_confirmed_at: float = 0.0
    times_missing: int = 0
    stop_reason: str = ""
    stopping_since: float = 0.0
    job: JobRow | None = None
    task: TaskRow | None = None

    def note_stopping(self, now: float) -> None:
        """Note that the leader has decided to stop the run."""
        self.phase = RunPhase.STOPPING
        self.stopping_since = now


@dataclass(slots=True, eq=False)
class TaskRow:
    """One task of a step.

    ``failed`` holds the attempts that failed, ``failed_on`` the targets to avoid.
    ``crashed`` holds the attempts whose crashes are held against the task,
    ``inconclusive`` those whose crashes may have had another cause. ``unresolved`` are
    those at whose start the target may have crashed, with their places: a trial from
    its start on. While it is ``in_evaluation``, the task waits to learn whether the
    last one counts; until ``alone_until``, it waits for a target without other runs.
    ``run`` is the newest run that may still be present on a target.
    """

    key: TaskKey
    done: bool = False
    failed: set[int] = field(default_factory=set)
    failed_on: set[str] = field(default_factory=set)
    crashed: set[int] = field(default_factory=set)
    inconclusive: set[int] = field(default_factory=set)
    unresolved: dict[int, RunPlace] = field(default_factory=dict)
    in_evaluation: bool = False
    alone_until: float = 0.0
    checkpoint: str = ""
    run: RunRow | None = None

    def is_suspected(self) -> bool:
        """Return whether a start of the task may have crashed its target."""
        return self.has_crashed() or bool(self.unresolved)

    def has_crashed(self) -> bool:
        """Return whether a target is known to have crashed at a start of the task."""
        return bool(self.crashed or self.inconclusive)

    def is_held_as_crash(self, attempt: int) -> bool:
        """Return whether an attempt is thought to have crashed its target."""
        return any(
            attempt in attempts
            for attempts in (self.crashed, self.inconclusive, self.unresolved)
        )

    def withdraw_suspicion(self, attempt: int) -> None:
        """Take back that an attempt has crashed its target."""
        self.crashed.discard(attempt)
        self.inconclusive.discard(attempt)
        self.unresolved.pop(attempt, None)


@dataclass(slots=True, eq=False)
class StepRow:
    """A step of one occurrence, with its tasks.

    ``expected_seconds`` is the expected run time of one task. ``spread`` marks a gang
    with ``same_rack`` that was started on several racks. While ``pinned_until`` has not
    passed, capacity is reclaimed or reserved for the step only on the targets in
    ``pinned_target_ids``.
    ``reclaimed_work`` is the work, in core-seconds, that preemptions of the step have
    lost so far. ``suspected`` tells that a task has been suspected of a crash.
    """

    key: StepKey
    spec: StepSpec
    tasks: list[TaskRow]
    expected_seconds: float = 0.0
    spread: bool = False
    ready_at: float = 0.0
    started: bool = False
    pinned_target_ids: frozenset[str] = frozenset()
    pinned_until: float = 0.0
    reclaimed_until: float = 0.0
    reclaimed_work: float = 0.0
    suspected: bool = False

    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return all(task.done for task in self.tasks)

    def failures(self, task: TaskRow) -> int:
        """Return how many attempts of the task, or of its whole gang, have failed."""
        if not self.spec.gang:
            return len(task.failed)
        attempts: set[int] = set()
        for member in self.tasks:
            attempts |= member.failed
        return len(attempts)

    def suspected_starts(self) -> list[SuspectedStarts]:
        """Return the starts that may have crashed their targets, by place."""
        by_place: dict[RunPlace, SuspectedStarts] = {}
        for task in self.tasks if self.suspected else ():
            if task.done:
                continue
            for attempt, place in task.unresolved.items():
                starts = by_place.setdefault(place, SuspectedStarts(place))
                starts.attempts.append((task.key.index, attempt))
        return list(by_place.values())

    def waiting(self) -> list[TaskRow]:
        """Return the tasks that are neither done nor running."""
        return [task for task in self.tasks if not task.done and task.run is None]


@dataclass(slots=True, eq=False)
class JobRow:
    """A job and its progress.

    ``recorded`` is the state that the store holds, ``progress_version`` the version of
    that row. ``known_before_term`` marks jobs that were read when the leader's term
    began. ``runs`` holds the job's runs on all targets. ``unanswered`` are the starts
    of which a copy may arrive late, also after the job has ended.
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
    runs: dict[RunKey, RunRow] = field(default_factory=dict)
    known_before_term: bool = False
    unanswered: dict[RunKey, UnansweredStart] = field(default_factory=dict)

    def mark_changed(self) -> None:
        """Mark the job's progress row as out of date, so that it is written."""
        self.changes += 1

    def note_unanswered(self, run: RunKey, start: UnansweredStart, wall: float) -> None:
        """Note a start without an answer; forget those that cannot arrive any more."""
        for key, earlier in list(self.unanswered.items()):
            if earlier.arrives_until < wall:
                del self.unanswered[key]
        known = self.unanswered.get(run, start)
        self.unanswered[run] = replace(start, outlived=known.outlived)

    def note_outlived(self, run: RunKey) -> None:
        """Note that the target has answered since a start without an answer."""
        start = self.unanswered.get(run)
        if start is not None:
            self.unanswered[run] = replace(start, outlived=True)

    def is_dirty(self) -> bool:
        """Return whether the job's progress row in the store is out of date."""
        return self.changes != self.recorded_changes

    def is_final(self) -> bool:
        """Return whether the job is in a final state."""
        return self.state in TERMINAL_STATES

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.accepted.spec.occurrences)

    def due_at_ms(self, occurrence: int) -> int:
        """Return when the occurrence is due, in Unix milliseconds; 0 means at once."""
        spec = self.accepted.spec
        if spec.occurrences == 0:
            return 0
        return spec.start_at_ms + occurrence * spec.interval_ms

    def step(self, key: StepKey) -> StepRow:
        """Return the step; it is created on the first call."""
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
        """Return the progress row to be stored."""
        steps: list[StepProgress] = []
        # A job in a final state runs nothing more, so its steps are not needed.
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
                if task.crashed:
                    entry.crashed[task.key.index] = sorted(task.crashed)
                if task.inconclusive:
                    entry.inconclusive[task.key.index] = sorted(task.inconclusive)
            entry.suspected = row.suspected_starts()
            if entry.holds_progress():
                steps.append(entry)
        return JobProgress(
            self.state,
            self.started,
            self.finished_at_ms,
            steps,
            list(self.unanswered.values()),
        )

    def restore(self, progress: JobProgress) -> None:
        """Load the progress that an earlier leader stored."""
        self.state = progress.state
        self.recorded = progress.state
        self.started = progress.started
        self.finished_at_ms = progress.finished_at_ms
        for start in progress.unanswered:
            step = StepKey(self.accepted.job_id, start.occurrence, start.step)
            run = RunKey(TaskKey(step, start.task), start.attempt)
            self.unanswered[run] = start
        for entry in progress.steps:
            key = StepKey(self.accepted.job_id, entry.occurrence, entry.step)
            row = self.step(key)
            row.started = True
            for index in entry.done:
                row.tasks[index].done = True
            for index, attempts in entry.failed.items():
                row.tasks[index].failed = set(attempts)
            for index, saved in entry.saved.items():
                row.tasks[index].checkpoint = saved
            for index, attempts in entry.crashed.items():
                row.tasks[index].crashed = set(attempts)
                row.suspected = True
            for index, attempts in entry.inconclusive.items():
                row.tasks[index].inconclusive = set(attempts)
                row.suspected = True
            for index, attempts in entry.unresolved.items():
                row.tasks[index].unresolved = dict.fromkeys(attempts, UNKNOWN_PLACE)
                row.suspected = True
            for starts in entry.suspected:
                for index, attempt in starts.attempts:
                    row.tasks[index].unresolved[attempt] = starts.place
                row.suspected = True


@dataclass(slots=True, eq=False)
class TargetRow:
    """A target and the runs on it.

    ``listed`` tells whether the platform's list contains it, ``recorded`` whether the
    store holds it as a target that may have runs, ``used_before`` whether it did when
    the term began, ``has_answered`` whether it has seen this leader's epoch and so
    refuses the former one, ``fenced`` whether it has then listed all that it holds.
    ``lease_ends_ms`` is the end of the longest lease that was
    granted, on the target's clock. ``last_applied_end``, ``last_recorded_end`` and
    ``last_acknowledged_end`` are the highest numbers of the target's ends that were
    applied to the tables, recorded in the store and acknowledged to the target;
    ``listed_ends`` is how many ends its last answer listed, and ``lists_all_ends``
    whether these were all; ``is_readable`` tells whether each row of it could be
    decoded.
    ``failed_renewals`` counts the consecutive lease renewals that have failed.
    ``stalling`` tells whether a run on the target makes no progress. ``leaves_at`` is
    the boot time at which a draining target leaves at the earliest, if it has said so.
    ``returned_at`` is the boot time at which a target that is new, or was lost, was
    first heard of; minus infinity for one that was there when the term began.
    ``replaced`` tells that another target answers at its address. ``failed_at`` is when
    it last failed to answer, or restarted, as ``failed_incarnation_ms``; the failure is
    explained if a run that had just started may have caused it.
    ``reports_since_failure`` counts what the target has registered since, in the same
    incarnation. ``restarted_at`` is when a later incarnation was first heard of, and
    ``former_answer`` the last answer of the one before. Until ``watched_until``
    the target is asked even if it has no runs. ``unanswered`` are the starts without an
    answer since its last answer.
    ``restarts`` is how many restarts of targets the leader had heard of at the last one
    of this target; its calls to the target carry a token that rises with it. Until the
    target ``refuses_late_calls``, it may carry out a late call that was meant for a
    former incarnation: none arrives after ``late_calls_until``, which is minus infinity
    if there is none. Of the renewals without an answer, none arrives after
    ``unanswered_until``. Both are boot times.
    ``confirmed_incarnation_ms`` is the incarnation that answered last while the store
    confirmed the leader, and ``vote_sent_at`` the boot time at which the last call was
    sent that it has answered.
    ``in_use`` is the sum of the resources of ``runs``, including runs that are being
    stopped; both are changed by ``FleetTables`` only.
    """

    report: TargetReport
    listed: bool = True
    recorded: bool = False
    used_before: bool = False
    has_answered: bool = False
    fenced: bool = False
    reachable: bool = True
    failed_renewals: int = 0
    last_acknowledged_end: int = 0
    clock: TargetClock | None = None
    incarnation_ms: int = 0
    lease_ends_ms: float = 0.0
    last_recorded_end: int = 0
    last_applied_end: int = 0
    listed_ends: int = 0
    lists_all_ends: bool = True
    is_readable: bool = True
    runs: dict[RunKey, RunRow] = field(default_factory=dict)
    in_use: Resources = field(default_factory=Resources)
    last_answer: float = 0.0
    failed_jobs: list[tuple[float, str]] = field(default_factory=list)
    quarantined_until: float = 0.0
    quarantines: int = 0
    stalling: bool = False
    leaves_at: float | None = None
    returned_at: float = -math.inf
    replaced: bool = False
    failed_at: float = -math.inf
    failed_incarnation_ms: int = 0
    reports_since_failure: int = 0
    restarted_at: float = -math.inf
    former_answer: float = 0.0
    failure_explained: bool = False
    watched_until: float = -math.inf
    unanswered: list[RunKey] = field(default_factory=list)
    restarts: int = 0
    refuses_late_calls: bool = True
    late_calls_until: float = -math.inf
    unanswered_until: float = -math.inf
    confirmed_incarnation_ms: int = 0
    vote_sent_at: float = -math.inf

    def fencing_token(self, epoch: int) -> int:
        """Return the token of the calls that a leader sends to the target now."""
        return fencing_token(epoch, self.restarts)

    def is_report_current(self) -> bool:
        """Return whether the incarnation that answers is the one that has registered.

        Labels and room of another incarnation may differ.
        """
        return self.report.incarnation_ms == self.incarnation_ms


@dataclass(slots=True, eq=False)
class FleetTables:
    """All jobs and targets that a leader knows in one term.

    Ticks look only at what may have changed: ``startable_jobs`` contains every open job
    that may have tasks to start, and ``unreviewed_jobs`` every job of which a run may
    have become unnecessary. Whoever changes a job, its tasks or its runs calls
    ``touch``; the methods for runs do so themselves. ``orphans`` are runs of unknown
    tasks, ``trials`` those of tasks that are suspected of a crash. ``closed_jobs`` is a
    heap of the times at which jobs ended, in Unix milliseconds. ``restarts`` counts the
    restarts of targets that the leader has heard of.
    """

    jobs: dict[str, JobRow] = field(default_factory=dict)
    open_jobs: dict[str, JobRow] = field(default_factory=dict)
    startable_jobs: dict[str, JobRow] = field(default_factory=dict)
    unreviewed_jobs: dict[str, JobRow] = field(default_factory=dict)
    orphans: dict[RunKey, RunRow] = field(default_factory=dict)
    trials: dict[RunKey, RunRow] = field(default_factory=dict)
    closed_jobs: list[tuple[int, str]] = field(default_factory=list)
    targets: dict[str, TargetRow] = field(default_factory=dict)
    restarts: int = 0

    def add_target(self, target: TargetRow) -> None:
        """Add a target, which may have been there before.

        Its token is at least as high as each that it has seen in this term.
        """
        target.restarts = self.restarts
        self.targets[target.report.target_id] = target

    def note_restart(self, target: TargetRow) -> None:
        """Raise the token of the calls to a target that has restarted."""
        self.restarts += 1
        target.restarts = self.restarts

    def add_job(self, job: JobRow) -> None:
        """Add an open job."""
        job_id = job.accepted.job_id
        self.jobs[job_id] = job
        self.open_jobs[job_id] = job
        self.touch(job)

    def close_job(self, job: JobRow) -> None:
        """Remove a job in a final state from the open jobs; its runs are reviewed.

        Idempotent. The job's ``finished_at_ms`` must be set.
        """
        job_id = job.accepted.job_id
        if self.open_jobs.pop(job_id, None) is not None:
            heapq.heappush(self.closed_jobs, (job.finished_at_ms, job_id))
        self.startable_jobs.pop(job_id, None)
        self.touch(job)

    def withdraw_job(self, job: JobRow) -> None:
        """Forget an open job without runs; nothing of it is started or written."""
        job_id = job.accepted.job_id
        self.remove_job(job)
        del self.open_jobs[job_id]
        self.startable_jobs.pop(job_id, None)

    def take_expired_jobs(self, cutoff_ms: float, limit: int) -> list[JobRow]:
        """Return up to ``limit`` jobs that ended before ``cutoff_ms``, oldest first.

        They are no longer in ``closed_jobs``.
        """
        expired: list[JobRow] = []
        while self.closed_jobs and len(expired) < limit:
            finished_at_ms, job_id = self.closed_jobs[0]
            if finished_at_ms >= cutoff_ms:
                break
            heapq.heappop(self.closed_jobs)
            expired.append(self.jobs[job_id])
        return expired

    def postpone_removal(self, job: JobRow, until_ms: float) -> None:
        """Return an expired job to ``closed_jobs`` as if it had ended later."""
        heapq.heappush(self.closed_jobs, (int(until_ms), job.accepted.job_id))

    def remove_job(self, job: JobRow) -> None:
        """Remove a closed job."""
        job_id = job.accepted.job_id
        del self.jobs[job_id]
        self.unreviewed_jobs.pop(job_id, None)

    def touch(self, job: JobRow) -> None:
        """Note that the next tick has to look at the job and its runs."""
        job_id = job.accepted.job_id
        if job.runs:
            self.unreviewed_jobs[job_id] = job
        if job_id in self.open_jobs:
            self.startable_jobs[job_id] = job

    def add_run(self, target: TargetRow, run: RunRow) -> None:
        """Add a run to its target and job."""
        target.runs[run.key] = run
        target.in_use = target.in_use.plus(run.room)
        if run.job is None:
            self.orphans[run.key] = run
            return
        run.job.runs[run.key] = run
        if run.task is not None and run.task.is_suspected():
            self.trials[run.key] = run
        self.touch(run.job)

    def remove_run(self, target: TargetRow, run: RunRow) -> None:
        """Remove a run that has certainly ended, which frees its resources."""
        if target.runs.pop(run.key, None) is None:
            return
        target.in_use = target.in_use.minus(run.room)
        self.trials.pop(run.key, None)
        if run.task is not None and run.task.run is run:
            run.task.run = None
        if run.job is None:
            self.orphans.pop(run.key, None)
            return
        run.job.runs.pop(run.key, None)
        self.touch(run.job)

    def remove_harmless_run(self, target: TargetRow, run: RunRow) -> None:
        """Remove a run that certainly has not crashed its target.

        What becomes of a late copy of a start says nothing of the start itself.
        """
        self.remove_run(target, run)
        if run.task is not None and not run.adopted:
            run.task.unresolved.pop(run.key.attempt, None)

    def clear_suspicion(self, task: TaskRow) -> None:
        """Forget the crashes of a task, a run of which has survived its start."""
        task.crashed.clear()
        task.inconclusive.clear()
        task.unresolved.clear()
        if task.run is not None:
            self.trials.pop(task.run.key, None)

    def task(self, key: TaskKey) -> TaskRow | None:
        """Return the task, or ``None`` if its job is unknown or the key is invalid."""
        job = self.jobs.get(key.step.job_id)
        if job is None or key.step.step >= len(job.accepted.spec.steps):
            return None
        if key.step.occurrence >= job.occurrences():
            return None
        step = job.step(key.step)
        return step.tasks[key.index] if key.index < len(step.tasks) else None
