"""Gang jobs: their specification, placement and state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.models.profiles import Adjacency


class Priority(StrEnum):
    """Queue class of a job."""

    URGENT = "urgent"
    NORMAL = "normal"


class JobState(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


TERMINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN}
)


@dataclass(slots=True, frozen=True)
class JobSpec:
    """What a submitter asked for: a gang of ``tasks`` identical members.

    ``cores`` and ``memory_gb`` are per task. ``declared_seconds`` is the submitter's
    estimate of the run time. ``deadline_at`` is the wall-clock time in Unix seconds
    by which the job must have started, 0 for no deadline.
    """

    job_id: str
    organisation: str
    profile: str
    region: str
    service: str
    tasks: int
    accelerators_per_task: int
    cores: int
    memory_gb: int
    adjacency: Adjacency
    declared_seconds: float
    command: str
    idempotent: bool
    checkpointable: bool
    priority: Priority = Priority.NORMAL
    deadline_at: float = 0.0
    submitted_at: float = 0.0
    body_digest: str = ""

    @property
    def accelerators(self) -> int:
        """Number of accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task

    @property
    def restartable(self) -> bool:
        """Whether the gang may be stopped and restarted after its release."""
        return self.idempotent or self.checkpointable


@dataclass(slots=True, frozen=True)
class TaskPlacement:
    """The worker of one gang member and its accelerators, as device indexes."""

    task_index: int
    worker_id: str
    accelerators: tuple[int, ...]


Placement = tuple[TaskPlacement, ...]


@dataclass(slots=True, frozen=True)
class JobRecord:
    """The stored row of a job; times are in Unix seconds, 0 if not set."""

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: int = 0
    placement: Placement = ()
    epoch: int = 0
    cancel_requested: bool = False
    # Set when the gang is first released: from then on its tasks may have run.
    released: bool = False
    started_at: float = 0.0
    ended_at: float = 0.0
    start_window_ends_at: float = 0.0
    checkpoint: str = ""
    reason: str = ""
    message: str = ""
    results: tuple[str, ...] = ()
    # Zone of the placement; kept because the run is accounted for even if its workers
    # are no longer listed.
    zone: str = ""
