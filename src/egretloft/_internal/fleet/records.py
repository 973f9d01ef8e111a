"""Rows that egretloft keeps in the platform's store, encoded as msgpack."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from egretloft._internal.fleet.constants import (
    CANCEL_SUFFIX,
    HEARTBEAT_TIMEOUT_SECONDS,
    JOB_PARTITIONS,
    PARTITION,
    PROGRESS_SUFFIX,
    TABLE_JOBS,
)
from egretloft._internal.fleet.interfaces import RowKey
from egretloft._internal.fleet.models import JobSpec, JobState


@dataclass(slots=True, frozen=True)
class AcceptedJob:
    """A job as it was accepted; the row never changes. Times are Unix milliseconds.

    ``service`` is that of the queue in ``configuration_version``; earlier releases did
    not store the version.
    """

    job_id: str
    queue: str
    service: str
    organisation: str
    priority: int
    attempts: int
    slack_factor: float
    latency_target_ms: int
    accepted_at_ms: int
    spec: JobSpec
    configuration_version: int = 0


@dataclass(slots=True, frozen=True)
class RunPlace:
    """The incarnation of a target to which a start was sent.

    ``conclusive`` tells that a crash of the target would have no other explanation, as
    far as is known. ``lost_at`` is when the run was given up, in seconds of the time of
    day; 0 if it was not. ``confirmed`` tells that the target has listed the run, so
    that the start has certainly arrived; earlier releases did not store that.
    """

    target_id: str
    address: str
    incarnation_ms: int
    conclusive: bool = False
    lost_at: float = 0.0
    confirmed: bool = True


# Where a start was sent that an earlier release has stored.
UNKNOWN_PLACE = RunPlace("", "", 0)


@dataclass(slots=True)
class SuspectedStarts:
    """Starts at one place that may have crashed the target: attempts by task index."""

    place: RunPlace
    attempts: list[tuple[int, int]] = field(default_factory=list)


@dataclass(slots=True)
class StepProgress:
    """Progress of one step of one occurrence.

    ``done`` holds the indexes of completed tasks. ``failed`` maps a task's index to the
    attempts that failed, ``saved`` to its newest checkpoint, ``crashed`` to the
    attempts whose crashes are held against it, ``inconclusive`` to those whose crashes
    may have had another cause. ``suspected`` has those at whose start the target may
    have crashed, ``unresolved`` such attempts of an earlier release, which did not
    store their places.
    """

    occurrence: int
    step: int
    done: list[int] = field(default_factory=list)
    failed: dict[int, list[int]] = field(default_factory=dict)
    saved: dict[int, str] = field(default_factory=dict)
    crashed: dict[int, list[int]] = field(default_factory=dict)
    unresolved: dict[int, list[int]] = field(default_factory=dict)
    inconclusive: dict[int, list[int]] = field(default_factory=dict)
    suspected: list[SuspectedStarts] = field(default_factory=list)

    def holds_progress(self) -> bool:
        """Return whether the step has anything to be stored."""
        held = self.crashed or self.inconclusive or self.suspected
        return bool(self.done or self.failed or self.saved or held)


@dataclass(slots=True, frozen=True)
class UnansweredStart:
    """A start order without an answer, of which a copy may arrive late.

    It was sent to one incarnation of a target. ``arrives_until`` is in seconds of the
    time of day. ``outlived`` tells that the target has answered other calls since, so
    the start is not lost with the target's link.
    """

    target_id: str
    incarnation_ms: int
    occurrence: int
    step: int
    task: int
    attempt: int
    arrives_until: float
    outlived: bool = False


@dataclass(slots=True)
class JobProgress:
    """State of a job; the leader writes it before it acknowledges ends to targets.

    ``unanswered`` tells a later leader which starts it may still see carried out.
    """

    state: JobState
    started: bool = False
    finished_at_ms: int = 0
    steps: list[StepProgress] = field(default_factory=list)
    unanswered: list[UnansweredStart] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class CancelRequest:
    """A caller's request to cancel a job."""

    at_ms: int


@dataclass(slots=True, frozen=True)
class LeaderRecord:
    """The current leader; ``epoch`` is the fencing token of its orders and writes."""

    instance_id: str
    incarnation: str
    epoch: int


@dataclass(slots=True, frozen=True)
class HeartbeatRecord:
    """Heartbeat of the leader, with the counts of waiting jobs per queue.

    The leader may give orders for ``valid_seconds`` after it sent this write, so no
    other instance takes over sooner. A leader that ends its term sets ``released``;
    ``successor`` is the instance that should take over, or empty.
    The leader, or a former one that may still go on, knows all instances that
    registered up to ``members_version``. It is ``None`` if nobody goes on after the
    release of a term, and from a leader of an earlier release. Without
    ``relies_on_pledges`` it stops when it loses the store, so nobody goes on either.
    Whoever goes on ``needs_targets`` does so only while more than half of the targets
    answer; a leader of an earlier release does not.
    """

    epoch: int
    number: int
    released: bool = False
    waiting: dict[str, int] = field(default_factory=dict)
    successor: str = ""
    valid_seconds: float = HEARTBEAT_TIMEOUT_SECONDS
    members_version: int | None = None
    relies_on_pledges: bool = True
    needs_targets: bool = False


@dataclass(slots=True, frozen=True)
class UsedTarget:
    """A target that some leader may have started runs on."""

    address: str
    service: str
    zone: str
    rack: str


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """Address of an instance for its peers.

    ``processors`` is the processor capacity of its machine, in cores. ``known_since``
    is the version of the row with which the instance registered first; 0 in that row.
    """

    instance_id: str
    incarnation: str
    peer_address: str
    zone: str
    region: str
    processors: float = 1.0
    known_since: int = 0


def job_partition(job_id: str) -> str:
    """Return the partition of a job's accepted row and cancel request."""
    digest = xxhash.xxh32_intdigest(job_id.encode())
    return JOB_PARTITIONS[digest % len(JOB_PARTITIONS)]


def job_key(job_id: str) -> RowKey:
    """Return the key of a job's accepted row."""
    return RowKey(TABLE_JOBS, job_partition(job_id), job_id)


def cancel_key(job_id: str) -> RowKey:
    """Return the key of a job's cancel request."""
    return RowKey(TABLE_JOBS, job_partition(job_id), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Return the key of a job's progress row, which only the leader writes."""
    return RowKey(TABLE_JOBS, PARTITION, job_id + PROGRESS_SUFFIX)
