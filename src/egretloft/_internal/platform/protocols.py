"""Interfaces to the platform's services, as ``Protocol`` types.

Calls return ``Result`` values; a failure of the called service is never raised.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from egretloft._internal.models.topology import InstanceRecord

# Wall clocks of the platform's machines differ by no more than this.
CLOCK_ERROR_SECONDS = 0.5


class Clock(Protocol):
    """Source of time, in seconds."""

    def monotonic(self) -> float:
        """Return time that never goes back; only differences are meaningful."""

    def wall(self) -> float:
        """Return Unix time."""


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the table service.

    ``version`` is the store-wide number of the commit that last wrote the row.
    ``operations`` are the ids of the last eight operations that wrote it, newest
    last. ``value`` is ``None`` for a deleted row.
    """

    key: str
    value: bytes | None
    version: int
    operations: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Scan:
    """Changed rows under a prefix, in the snapshot of store version ``as_of``."""

    rows: tuple[Row, ...]
    as_of: int


@dataclass(slots=True, frozen=True)
class Check:
    """A condition of a transaction; version 0 means that the row is absent."""

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """A write of a transaction; ``None`` deletes the row."""

    key: str
    value: bytes | None


@dataclass(slots=True, frozen=True)
class Transaction:
    """Writes that take effect all together if every check holds, else not at all."""

    operation_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@dataclass(slots=True, frozen=True)
class Committed:
    """A transaction that took effect as commit number ``version``."""

    version: int


class StoreFailureKind(StrEnum):
    """What is known about a store call that did not succeed."""

    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class StoreFailure:
    """A store call that did not succeed."""

    kind: StoreFailureKind
    message: str


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Result[Row | None, StoreFailure]:
        """Return the row, or ``None`` if it was never written or is deleted."""

    async def scan(self, prefix: str, after_version: int) -> Result[Scan, StoreFailure]:
        """Return rows under ``prefix`` whose version is above ``after_version``.

        Deleted rows are included with value ``None`` when ``after_version`` > 0.
        """

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreFailure]:
        """Apply the transaction atomically."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreFailure]:
        """Store the object; false when the name already exists."""

    async def get(self, name: str) -> Result[bytes | None, StoreFailure]:
        """Return the object, ``None`` when it does not exist."""


@dataclass(slots=True, frozen=True)
class ListFailure:
    """The instance list could not be read."""

    message: str


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which lags behind."""

    async def list(self) -> Result[tuple[InstanceRecord, ...], ListFailure]:
        """Return all listed instances."""


class CallFailureKind(StrEnum):
    """Whether a call to a target may have had an effect."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class CallFailure:
    """A call to a worker or runner that did not succeed.

    ``REFUSED`` means that the target answered and did nothing.
    """

    kind: CallFailureKind
    message: str


class TaskState(StrEnum):
    """State of a task as its worker reports it."""

    THROTTLED = "throttled"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class TaskStart:
    """Start of one gang member; times are wall clock, Unix seconds.

    The worker refuses a start that arrives after ``start_before`` and ends the
    task at ``lease_until`` unless the lease was renewed.
    """

    task_id: str
    job_id: str
    attempt: int
    task_index: int
    accelerators: tuple[int, ...]
    cores: int
    memory_gb: int
    command: str
    start_before: float
    lease_until: float
    throttled: bool
    checkpoint: str = ""


@dataclass(slots=True, frozen=True)
class Renewal:
    """New lease end of a task; an earlier end than the current one is ignored."""

    task_id: str
    lease_until: float
    throttled: bool


@dataclass(slots=True, frozen=True)
class TaskReport:
    """A task as its worker reports it; times are Unix seconds, 0 for unset.

    ``started_at`` is when the task was first released from its throttle.
    """

    task_id: str
    state: TaskState
    job_id: str = ""
    attempt: int = 0
    task_index: int = 0
    accelerators: tuple[int, ...] = ()
    lease_until: float = 0.0
    started_at: float = 0.0
    ended_at: float = 0.0
    exit_code: int = 0
    result: str = ""


@dataclass(slots=True, frozen=True)
class UsageRecord:
    """A usage report of a worker, which lags behind; times are Unix seconds."""

    sequence: int
    task_id: str
    started_at: float
    ended_at: float


class WorkerClient(Protocol):
    """Calls to workers; ``address`` is ``host:port``."""

    async def start(
        self, address: str, start: TaskStart
    ) -> Result[TaskReport, CallFailure]:
        """Start a task; a task id that was seen before is not started twice."""

    async def renew(
        self, address: str, renewals: Sequence[Renewal]
    ) -> Result[tuple[TaskReport, ...], CallFailure]:
        """Renew leases; the reports are in the order of the renewals."""

    async def checkpoint(self, address: str, task_id: str) -> Result[str, CallFailure]:
        """Write a checkpoint and return its name."""

    async def stop(self, address: str, task_id: str) -> Result[TaskReport, CallFailure]:
        """Stop a task; also prevents a later start of the same task id."""

    async def list_tasks(
        self, address: str
    ) -> Result[tuple[TaskReport, ...], CallFailure]:
        """Return the tasks that the worker remembers."""

    async def usage(
        self, address: str, after: int
    ) -> Result[tuple[UsageRecord, ...], CallFailure]:
        """Return usage records with a sequence above ``after``."""


@dataclass(slots=True, frozen=True)
class RunnerRequest:
    """One execution on a runner; ``start_before`` is Unix seconds."""

    request_id: str
    service: str
    payload: bytes
    start_before: float


@dataclass(slots=True, frozen=True)
class RunnerStatus:
    """Load of a runner as it reports it."""

    in_use: int
    slots: int
    leaving: bool


class RunnerClient(Protocol):
    """Calls to runners; ``address`` is ``host:port``."""

    async def run(
        self, address: str, request: RunnerRequest, timeout_seconds: float
    ) -> Result[bytes, CallFailure]:
        """Execute the request and return the whole answer."""

    async def status(self, address: str) -> Result[RunnerStatus, CallFailure]:
        """Return the runner's load."""
