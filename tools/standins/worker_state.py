"""Tasks, leases and usage of one worker stand-in, without I/O.

All times are Unix seconds given by the caller. The end of a task is computed when the
state is next used, so no timers are needed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from egretloft._internal.platform.protocols import (
    Renewal,
    TaskReport,
    TaskStart,
    TaskState,
    UsageRecord,
)
from standins.task_command import TaskCommand, parse_command

ACTIVE_STATES = frozenset({TaskState.THROTTLED, TaskState.RUNNING})
FAILED_EXIT_CODE = 1
# A worker that fails every task fails it at most this long after its release.
FAULTY_TASK_SECONDS = 0.2


@dataclass(slots=True)
class Task:
    """One task with its progress in seconds of work."""

    start: TaskStart
    command: TaskCommand
    state: TaskState
    lease_until: float
    progress: float
    running_since: float = 0.0
    started_at: float = 0.0
    ended_at: float = 0.0
    exit_code: int = 0
    result: str = ""
    # Start and end times of the periods in which the task worked, for tests.
    intervals: list[tuple[float, float]] = field(default_factory=list)

    def report(self) -> TaskReport:
        """Return the task as the worker reports it."""
        return TaskReport(
            task_id=self.start.task_id,
            state=self.state,
            job_id=self.start.job_id,
            attempt=self.start.attempt,
            task_index=self.start.task_index,
            accelerators=self.start.accelerators,
            lease_until=self.lease_until,
            started_at=self.started_at,
            ended_at=self.ended_at,
            exit_code=self.exit_code,
            result=self.result,
        )

    def progress_at(self, now: float) -> float:
        """Return the seconds of work done by ``now``."""
        if self.state is TaskState.RUNNING:
            return self.progress + max(0.0, now - self.running_since)
        return self.progress


@dataclass(slots=True)
class WorkerState:
    """A worker that starts every task, and records when it is overloaded."""

    worker_id: str
    zone: str
    cores: int
    memory_gb: int
    accelerators: int
    usage_lag_seconds: float = 0.0
    tasks: dict[str, Task] = field(default_factory=dict)
    # Task ids that were stopped before any start arrived.
    stopped_before_start: set[str] = field(default_factory=set)
    usage: list[UsageRecord] = field(default_factory=list)
    # Not reset by a crash, so that a reader that continues from the last number it saw
    # misses no later record.
    usage_sequence: int = 0
    starts: list[dict[str, object]] = field(default_factory=list)
    releases: list[dict[str, object]] = field(default_factory=list)
    duplicate_starts: list[dict[str, object]] = field(default_factory=list)
    refused_starts: list[dict[str, object]] = field(default_factory=list)
    overloads: list[dict[str, object]] = field(default_factory=list)
    # Tasks that the worker lost in a crash; kept for tests.
    lost_tasks: list[Task] = field(default_factory=list)

    def start(
        self, start: TaskStart, now: float, fails: bool = False
    ) -> Result[TaskReport, str]:
        """Start a task, or return why it is refused."""
        self.end_due_tasks(now)
        known = self.report_of(start.task_id)
        if known.state is not TaskState.UNKNOWN:
            self.duplicate_starts.append({"task_id": start.task_id, "at": now})
            return Success(known)
        refusal = ""
        if now > start.start_before:
            refusal = f"start_before passed {now - start.start_before:.3f} s ago"
        elif now >= start.lease_until:
            refusal = "the lease has ended"
        parsed = parse_command(start.command, self.worker_id)
        if not refusal and isinstance(parsed, Failure):
            refusal = parsed.failure()
        if refusal:
            self.refused_starts.append(
                {"task_id": start.task_id, "at": now, "reason": refusal}
            )
            return Failure(refusal)
        command = parsed.unwrap()
        if fails:
            command = TaskCommand(min(command.seconds, FAULTY_TASK_SECONDS), True)
        task = Task(
            start=start,
            command=command,
            state=TaskState.THROTTLED,
            lease_until=start.lease_until,
            progress=checkpoint_progress(start.checkpoint),
        )
        self.tasks[start.task_id] = task
        self.starts.append(self._event(task, now))
        self._record_overload(task, now)
        if not start.throttled:
            self._release(task, now)
            self.end_due_tasks(now)
        return Success(task.report())

    def renew(self, renewal: Renewal, now: float) -> TaskReport:
        """Extend a lease and set the throttle; a task that ended stays ended."""
        self.end_due_tasks(now)
        task = self.tasks.get(renewal.task_id)
        if task is not None and task.state in ACTIVE_STATES:
            task.lease_until = max(task.lease_until, renewal.lease_until)
            if renewal.throttled and task.state is TaskState.RUNNING:
                self._pause(task, now)
                task.state = TaskState.THROTTLED
            elif not renewal.throttled and task.state is TaskState.THROTTLED:
                self._release(task, now)
                self.end_due_tasks(now)
        return self.report_of(renewal.task_id)

    def checkpoint(self, task_id: str, now: float) -> Result[str, str]:
        """Return the name of a checkpoint; the name itself carries the progress."""
        self.end_due_tasks(now)
        task = self.tasks.get(task_id)
        if task is None or task.state not in ACTIVE_STATES:
            return Failure("the task is not active")
        return Success(f"checkpoint-{task_id}-{int(task.progress_at(now) * 1000)}")

    def stop(self, task_id: str, now: float) -> TaskReport:
        """Stop a task; an unknown id can then no longer be started."""
        self.end_due_tasks(now)
        task = self.tasks.get(task_id)
        if task is None:
            self.stopped_before_start.add(task_id)
        elif task.state in ACTIVE_STATES:
            self._end(task, TaskState.STOPPED, now)
        return self.report_of(task_id)

    def reports(self, now: float) -> tuple[TaskReport, ...]:
        """Return all tasks that the worker remembers."""
        self.end_due_tasks(now)
        return tuple(task.report() for task in self.tasks.values())

    def usage_after(self, sequence: int, now: float) -> tuple[UsageRecord, ...]:
        """Return usage records after ``sequence`` that are older than the usage lag."""
        self.end_due_tasks(now)
        return tuple(
            record
            for record in self.usage
            if record.sequence > sequence
            and record.ended_at + self.usage_lag_seconds <= now
        )

    def report_of(self, task_id: str) -> TaskReport:
        """Return the report of one task, with state ``UNKNOWN`` if it is not known."""
        task = self.tasks.get(task_id)
        if task is not None:
            return task.report()
        if task_id in self.stopped_before_start:
            return TaskReport(task_id, TaskState.STOPPED)
        return TaskReport(task_id, TaskState.UNKNOWN)

    def end_due_tasks(self, now: float) -> None:
        """End tasks that finished, failed or lost their lease by ``now``, in order."""
        due: list[tuple[float, str, TaskState]] = []
        for task in self.tasks.values():
            if task.state not in ACTIVE_STATES:
                continue
            finish = math.inf
            if task.state is TaskState.RUNNING:
                remaining = max(0.0, task.command.seconds - task.progress)
                finish = task.running_since + remaining
            state = TaskState.FAILED if task.command.fails else TaskState.FINISHED
            if task.lease_until < finish:
                finish, state = task.lease_until, TaskState.LEASE_EXPIRED
            if finish <= now:
                due.append((finish, task.start.task_id, state))
        for at, task_id, state in sorted(due):
            self._end(self.tasks[task_id], state, at)

    def crash(self, now: float) -> None:
        """End all tasks and forget them, as a machine that restarts does."""
        self.end_due_tasks(now)
        for task in self.tasks.values():
            if task.state in ACTIVE_STATES:
                self._end(task, TaskState.LEASE_EXPIRED, now)
        self.lost_tasks.extend(self.tasks.values())
        self.tasks.clear()
        self.stopped_before_start.clear()
        self.usage.clear()

    def facts(self, now: float) -> dict[str, object]:
        """Return what was recorded for tests, as plain data."""
        self.end_due_tasks(now)
        return {
            "worker_id": self.worker_id,
            "zone": self.zone,
            "starts": self.starts,
            "releases": self.releases,
            "duplicate_starts": self.duplicate_starts,
            "refused_starts": self.refused_starts,
            "overloads": self.overloads,
            "tasks": [
                {
                    **self._event(task, task.started_at),
                    "state": task.state.value,
                    "ended_at": task.ended_at,
                    "lease_until": task.lease_until,
                    "intervals": [
                        *task.intervals,
                        *(
                            [(task.running_since, now)]
                            if task.state is TaskState.RUNNING
                            else []
                        ),
                    ],
                    "accelerators": task.start.accelerators,
                    "result": task.result,
                }
                for task in [*self.lost_tasks, *self.tasks.values()]
            ],
            "active": sum(task.state in ACTIVE_STATES for task in self.tasks.values()),
        }

    def _event(self, task: Task, at: float) -> dict[str, object]:
        return {
            "task_id": task.start.task_id,
            "job_id": task.start.job_id,
            "attempt": task.start.attempt,
            "task_index": task.start.task_index,
            "worker_id": self.worker_id,
            "zone": self.zone,
            "at": at,
        }

    def _release(self, task: Task, now: float) -> None:
        task.state = TaskState.RUNNING
        task.running_since = now
        task.started_at = task.started_at or now
        self.releases.append(self._event(task, now))

    def _pause(self, task: Task, now: float) -> None:
        task.progress = task.progress_at(now)
        task.intervals.append((task.running_since, now))

    def _end(self, task: Task, state: TaskState, at: float) -> None:
        if task.state is TaskState.RUNNING:
            self._pause(task, at)
        task.state = state
        task.ended_at = at
        if state is TaskState.FAILED:
            task.exit_code = FAILED_EXIT_CODE
        elif state is TaskState.FINISHED:
            start = task.start
            task.result = task.command.result or f"{start.job_id}/{start.task_index}"
        if task.started_at:
            self.usage_sequence += 1
            self.usage.append(
                UsageRecord(
                    self.usage_sequence, task.start.task_id, task.started_at, at
                )
            )

    def _record_overload(self, task: Task, now: float) -> None:
        active = [item for item in self.tasks.values() if item.state in ACTIVE_STATES]
        others = [item for item in active if item is not task]
        wanted = set(task.start.accelerators)
        shared = {
            other.start.task_id: sorted(wanted & set(other.start.accelerators))
            for other in others
            if wanted & set(other.start.accelerators)
        }
        absent = sorted(item for item in wanted if not 0 <= item < self.accelerators)
        cores = sum(item.start.cores for item in active)
        memory_gb = sum(item.start.memory_gb for item in active)
        repeated = len(wanted) != len(task.start.accelerators)
        if (
            shared
            or absent
            or repeated
            or cores > self.cores
            or memory_gb > self.memory_gb
        ):
            self.overloads.append(
                {
                    **self._event(task, now),
                    "accelerators_doubly_used": shared,
                    "accelerators_absent": absent,
                    "accelerators_repeated": repeated,
                    "cores": cores,
                    "memory_gb": memory_gb,
                }
            )


def checkpoint_progress(name: str) -> float:
    """Return the seconds of work in a checkpoint name; 0 for another name."""
    _, _, milliseconds = name.rpartition("-")
    if name.startswith("checkpoint-") and milliseconds.isascii():
        return int(milliseconds) / 1000 if milliseconds.isdigit() else 0.0
    return 0.0
