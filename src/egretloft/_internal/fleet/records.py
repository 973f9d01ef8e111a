"""Rows that egretloft keeps in the platform's store, as msgpack."""

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
    """A job as it was accepted; never changed. Times are Unix milliseconds."""

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


@dataclass(slots=True)
class StepProgress:
    """What ended in one step of one occurrence.

    ``failed`` maps a task's index to the attempts that ended as failed, ``saved`` to
    the newest checkpoint.
    """

    occurrence: int
    step: int
    done: list[int] = field(default_factory=list)
    failed: dict[int, list[int]] = field(default_factory=dict)
    saved: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class JobProgress:
    """State of a job, written by the leader before the targets forget its ends."""

    state: JobState
    started: bool = False
    finished_at_ms: int = 0
    steps: list[StepProgress] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class CancelRequest:
    """A caller's request to cancel a job."""

    at_ms: int


@dataclass(slots=True, frozen=True)
class LeaderRecord:
    """The current leader. ``epoch`` is the fence of all its orders and writes."""

    instance_id: str
    incarnation: str
    epoch: int


@dataclass(slots=True, frozen=True)
class HeartbeatRecord:
    """Sign of life of the leader, with the counts of waiting jobs per queue.

    The leader may give orders for ``valid_seconds`` after it asked for this write, so
    nobody takes over sooner. A leader that ends its term says so with ``released``;
    ``successor`` is the instance that should take over, or empty.
    """

    epoch: int
    number: int
    released: bool = False
    waiting: dict[str, int] = field(default_factory=dict)
    successor: str = ""
    valid_seconds: float = HEARTBEAT_TIMEOUT_SECONDS


@dataclass(slots=True, frozen=True)
class UsedTarget:
    """A target that a leader may have given work to."""

    address: str
    service: str
    zone: str
    rack: str


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """Where an instance can be reached by the others.

    ``processors`` is the processor time of its machine, in cores.
    """

    instance_id: str
    incarnation: str
    peer_address: str
    zone: str
    region: str
    processors: float = 1.0


def job_partition(job_id: str) -> str:
    """Return the partition of what callers write of a job."""
    digest = xxhash.xxh32_intdigest(job_id.encode())
    return JOB_PARTITIONS[digest % len(JOB_PARTITIONS)]


def job_key(job_id: str) -> RowKey:
    """Return the key of the accepted job."""
    return RowKey(TABLE_JOBS, job_partition(job_id), job_id)


def cancel_key(job_id: str) -> RowKey:
    """Return the key of the cancel request."""
    return RowKey(TABLE_JOBS, job_partition(job_id), job_id + CANCEL_SUFFIX)


def progress_key(job_id: str) -> RowKey:
    """Return the key of the progress, which only the leader writes."""
    return RowKey(TABLE_JOBS, PARTITION, job_id + PROGRESS_SUFFIX)
