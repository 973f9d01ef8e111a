"""Gang jobs: what was asked for, where it runs and how it ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.models.profiles import Adjacency


class Priority(StrEnum):
    """Queue class of a job."""

    URGENT = "urgent"
    NORMAL = "normal"


class JobState(StrEnum):
    """Life cycle of a job record."""

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
    """A gang of ``tasks`` equal members.

    ``cores`` and ``memory_gb`` are for one task. ``declared_seconds`` is the
    submitter's guess of the run time. ``deadline_at`` is wall clock time in Unix
    seconds by which the job must have started, 0 for none.
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
        """Accelerators of the whole gang."""
        return self.tasks * self.accelerators_per_task

    @property
    def restartable(self) -> bool:
        """Whether the gang may be stopped and started again after its release."""
        return self.idempotent or self.checkpointable


@dataclass(slots=True, frozen=True)
class TaskPlacement:
    """One member of a gang on one worker; ``accelerators`` are device indexes."""

    task_index: int
    worker_id: str
    accelerators: tuple[int, ...]


Placement = tuple[TaskPlacement, ...]


@dataclass(slots=True, frozen=True)
class JobRecord:
    """The durable row of a job. Times are wall clock, Unix seconds, 0 for unset."""

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: int = 0
    placement: Placement = ()
    epoch: int = 0
    cancel_requested: bool = False
    # Set with the first release of a gang: from then on it may have done work.
    released: bool = False
    started_at: float = 0.0
    ended_at: float = 0.0
    start_window_ends_at: float = 0.0
    checkpoint: str = ""
    reason: str = ""
    message: str = ""
    results: tuple[str, ...] = ()
    # Zone of the placement, for the account of a run whose workers are gone.
    zone: str = ""
