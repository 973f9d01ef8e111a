"""Value types of the fleet scheduler, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class Resources:
    """Amounts of CPU (millicores), memory (MB) and accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def holds(self, other: Resources) -> bool:
        """Return whether ``other`` fits into these resources."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.gpus <= self.gpus
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference; it may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@dataclass(slots=True, frozen=True)
class StepSpec:
    """Identical tasks that form one step of a job.

    ``estimate_ms`` is the caller's rough estimate of one task's run time. ``after``
    holds the numbers of the steps that must be done first. ``data_rack`` is where the
    data is; a task takes longer on other racks. ``max_per_target`` of 0 means no limit.
    """

    tasks: int
    room: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_target: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    best_effort_cpu: bool = False
    max_unavailable: int = 0


@dataclass(slots=True, frozen=True)
class JobSpec:
    """A job as a caller submitted it.

    ``occurrences`` of 0 means that the steps run once, at once; otherwise occurrence K
    is due at ``start_at_ms + K * interval_ms`` (Unix milliseconds).
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


@dataclass(slots=True, frozen=True)
class Queue:
    """A route of the configuration; ``priority`` 0 is the most urgent."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    attempts: int
    slack_factor: float
    latency_target_ms: int
    public: bool
    requires_ticket: bool = False


@dataclass(slots=True, frozen=True)
class Organisation:
    """A customer with API keys and a guaranteed number of accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed_gpus: int


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    organisations: tuple[Organisation, ...]
    max_body_bytes: int

    def organisation_of_key(self, key: str) -> Organisation | None:
        """Return the organisation that ``key`` belongs to, or ``None``."""
        for organisation in self.organisations:
            if key in organisation.keys:
                return organisation
        return None

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of ``host`` whose path prefix is the longest match."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


class JobState(StrEnum):
    """State of a job that callers see."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELLED})


class EndKind(StrEnum):
    """How a run ended on its target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


@dataclass(slots=True, frozen=True, order=True)
class StepKey:
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@dataclass(slots=True, frozen=True, order=True)
class TaskKey:
    """Identifies a task of a step."""

    step: StepKey
    index: int


@dataclass(slots=True, frozen=True)
class RunKey:
    """Identifies one start of a task; ``attempt`` rises with every start."""

    task: TaskKey
    attempt: int


@dataclass(slots=True, frozen=True)
class ActiveRun:
    """A run that a target reports as running; ``percent`` is its progress."""

    run: RunKey
    checkpoint: str
    percent: int


@dataclass(slots=True, frozen=True)
class RunEnd:
    """An end that a target reports; ``number`` rises within one incarnation."""

    number: int
    run: RunKey
    kind: EndKind
    checkpoint: str


@dataclass(slots=True, frozen=True)
class TargetReport:
    """A target's registration in the platform's list; ``room`` is its capacity.

    ``remaining_seconds`` is how long a draining target stays at least, if it says so.
    """

    target_id: str
    address: str
    service: str
    zone: str
    rack: str
    labels: frozenset[str]
    room: Resources
    draining: bool
    incarnation_ms: int
    remaining_seconds: float | None = None


@dataclass(slots=True, frozen=True)
class RenewalAnswer:
    """Answer to a lease renewal: the target's clock, active runs and ended runs.

    ``unreadable`` counts the listed runs and ends that could not be decoded. Without
    ``lists_all_ends`` there may be ends after the last one of ``ends``.
    """

    target_time_ms: int
    incarnation_ms: int
    active: tuple[ActiveRun, ...]
    ends: tuple[RunEnd, ...]
    unreadable: int = 0
    lists_all_ends: bool = True


class StartRefusal(StrEnum):
    """Why a target did not start a run."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    INSUFFICIENT_RESOURCES = "no_room"
    TICKET = "ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    # Another target has the address.
    OTHER_INCARNATION = "other_life"
    RESTARTED = "restarted"


@dataclass(slots=True, frozen=True)
class StartOrder:
    """An order to start a task on one incarnation of a target.

    ``expires_at_ms`` is on the clock of that incarnation.
    """

    run: RunKey
    payload: str
    expires_at_ms: int
    fencing_token: int
    incarnation_ms: int
    checkpoint: str
    ticket: str = ""


@dataclass(slots=True, frozen=True)
class Renewal:
    """A renewal of the lease of all runs on one incarnation of a target.

    It acknowledges the ends up to ``last_recorded_end``. Without ``expires_at_ms``,
    which is on the clock of that incarnation, no lease is renewed.
    """

    fencing_token: int
    incarnation_ms: int
    last_recorded_end: int = 0
    expires_at_ms: int | None = None

    def asks_only(self) -> bool:
        """Return whether any incarnation may get it, as it only asks for the lists."""
        return not self.last_recorded_end and self.expires_at_ms is None


class TargetFailureKind(StrEnum):
    """Whether a failed call was refused, never sent, or its outcome is unknown."""

    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class TargetFailure:
    """A failed order to a target."""

    kind: TargetFailureKind
    message: str
    refusal: StartRefusal | None = None
    target_time_ms: int | None = None


@dataclass(slots=True, frozen=True)
class OperatorState:
    """Configuration and evacuated zones, as last read from the store."""

    configuration: Configuration | None = None
    evacuated_zones: frozenset[str] = field(default_factory=frozenset)
