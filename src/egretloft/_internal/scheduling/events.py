"""Events that the scheduler applies.

Times are seconds on the clock of ``Scheduler.tick``, which must be the clock of
``JobSpec.submitted_at`` and ``JobSpec.deadline_at`` (Unix seconds).
"""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.models.jobs import JobSpec, JobState, Placement
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import Worker


@dataclass(slots=True, frozen=True)
class WorkerAvailable:
    """A worker is listed and live; the event is idempotent."""

    worker: Worker


@dataclass(slots=True, frozen=True)
class WorkerRemoved:
    """A worker is no longer listed.

    Its gangs still occupy their accelerators until ``GangEnded`` or ``GangStopped``.
    """

    worker_id: str


@dataclass(slots=True, frozen=True)
class WorkerLeaving:
    """A worker is leaving; it gets no new work."""

    worker_id: str


@dataclass(slots=True, frozen=True)
class ZoneChanged:
    """Operators took a zone out of service or brought it back."""

    zone: str
    in_service: bool


@dataclass(slots=True, frozen=True)
class ProfileChanged:
    """A profile is new or has changed."""

    profile: Profile


@dataclass(slots=True, frozen=True)
class ProfileRetired:
    """A profile is no longer in force; its queued jobs wait until it is added again."""

    name: str


@dataclass(slots=True, frozen=True)
class JobQueued:
    """A job is ready to start; ``attempt`` is the number of attempts so far."""

    job: JobSpec
    attempt: int = 0


@dataclass(slots=True, frozen=True)
class JobAdopted:
    """A gang was found running on ``placement``, for example by a new owner.

    ``attempt`` is the running attempt and ``started_at`` its start; 0 stands for an
    unknown start, which is then taken as the time of the last tick.
    """

    job: JobSpec
    placement: Placement
    attempt: int = 1
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class GangStarted:
    """All members of a gang were released to run."""

    job_id: str
    at: float


@dataclass(slots=True, frozen=True)
class GangStartFailed:
    """A start was abandoned and no member holds cells; the job waits again.

    ``failed_workers`` are those on which a member failed; it is empty when the cause
    was elsewhere, for example a conflict in the store.
    """

    job_id: str
    at: float
    failed_workers: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class GangEnded:
    """A gang completed, failed or was ended by ``EndJob``, and holds no cells.

    ``outcome`` is a final state. After ``FAILED`` a restartable job stays with the
    scheduler, which answers with ``StartGang`` or ``EndJob``; in all other cases the
    scheduler forgets the job. A failure with empty ``failed_workers`` counts against
    the job only.
    """

    job_id: str
    at: float
    outcome: JobState
    failed_workers: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class GangStopped:
    """A gang was stopped and holds no cells; it is queued at its former position.

    ``checkpoint`` is the name of its checkpoint, empty for none.
    """

    job_id: str
    at: float
    checkpoint: str = ""


@dataclass(slots=True, frozen=True)
class JobCancelled:
    """The caller cancelled a job."""

    job_id: str


Event = (
    WorkerAvailable
    | WorkerRemoved
    | WorkerLeaving
    | ZoneChanged
    | ProfileChanged
    | ProfileRetired
    | JobQueued
    | JobAdopted
    | GangStarted
    | GangStartFailed
    | GangEnded
    | GangStopped
    | JobCancelled
)
