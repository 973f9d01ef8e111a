"""Submission, state and cancellation of jobs, served by every instance.

A job is written to the store before its submission is confirmed to the caller. A
refusal states that the job was not accepted only if no write can have taken effect;
otherwise it says that the outcome is unknown.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal import codec
from egretloft._internal.fleet.constants import (
    CANCEL_SUFFIX,
    JOB_RANGE_END,
    PARTITION,
    PROGRESS_SUFFIX,
    STORE_CALL_TIMEOUT_SECONDS,
    TABLE_JOBS,
)
from egretloft._internal.fleet.interfaces import (
    Expectation,
    FleetClock,
    RowPage,
    RowStore,
    RowTransaction,
    StoredRow,
    StoreFailure,
    StoreFailureKind,
)
from egretloft._internal.fleet.models import (
    TERMINAL_STATES,
    JobSpec,
    JobState,
    Queue,
)
from egretloft._internal.fleet.records import (
    AcceptedJob,
    CancelRequest,
    JobProgress,
    cancel_key,
    job_key,
    job_partition,
)
from egretloft._internal.fleet.retry_after import retry_after_seconds
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

MILLISECONDS = 1000.0
# Part of the caller's deadline that is reserved for sending the response.
RESPONSE_MARGIN_SECONDS = 0.1
FIRST_RETRY_SECONDS = 0.02


class IntakeRefusalKind(StrEnum):
    """Why a call was not served."""

    NO_CONFIGURATION = "no_configuration"
    OUTDATED_CONFIGURATION = "outdated_configuration"
    UNKNOWN_QUEUE = "unknown_queue"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_SUCH_JOB = "no_such_job"
    CANCELLED = "cancelled"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True, frozen=True)
class IntakeRefusal:
    """Why a call was not served.

    ``retry_after_seconds`` is set if the same call may succeed later.
    """

    kind: IntakeRefusalKind
    message: str
    retry_after_seconds: int | None = None


@dataclass(slots=True, frozen=True)
class Caller:
    """Queue and organisation of an admitted call.

    ``organisation`` is empty for a call without a known key to a public queue.
    """

    queue: Queue
    organisation: str
    configuration_version: int


@dataclass(slots=True, frozen=True)
class StoredJob:
    """A job as the store holds it."""

    accepted: AcceptedJob
    progress: JobProgress | None
    cancelled: bool

    def state(self) -> JobState:
        """Return the state that callers see.

        A cancel request counts at once, unless the job has ended already.
        """
        if self.progress is not None and self.progress.state in TERMINAL_STATES:
            return self.progress.state
        if self.cancelled:
            return JobState.CANCELLED
        return self.progress.state if self.progress else JobState.QUEUED


class Intake:
    """Serves submissions, state queries and cancellations from the store."""

    def __init__(
        self,
        store: RowStore,
        clock: FleetClock,
        metrics: Metrics,
        outage_seconds: Callable[[], float | None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.outage_seconds = outage_seconds

    async def submit(
        self, caller: Caller, job_id: str, spec: JobSpec, deadline: float
    ) -> Result[bool, IntakeRefusal]:
        """Store a job; return whether it is new.

        ``deadline`` is in seconds on the boot-time clock.
        """
        queue = caller.queue
        if queue.requires_ticket:
            # The queue's targets refuse starts without a ticket, and egretloft does not
            # request tickets.
            return Failure(
                IntakeRefusal(
                    IntakeRefusalKind.UNSUPPORTED,
                    "queues that require a start ticket are not supported",
                )
            )
        accepted = AcceptedJob(
            job_id=job_id,
            queue=queue.name,
            service=queue.service,
            organisation=caller.organisation,
            priority=queue.priority,
            attempts=queue.attempts,
            slack_factor=queue.slack_factor,
            latency_target_ms=queue.latency_target_ms,
            accepted_at_ms=int(self.clock.wall() * MILLISECONDS),
            spec=spec,
            configuration_version=caller.configuration_version,
        )
        key = job_key(job_id)
        # A cancel request that is there already ends the job, however late this write
        # is carried out.
        transaction = RowTransaction(
            (Expectation(key, 0), Expectation(cancel_key(job_id), 0)),
            ((key, codec.encode(accepted)),),
        )
        result = await self.write(transaction, deadline)
        if isinstance(result, Success):
            self.log_decision("job accepted", job_id, caller, version=result.unwrap())
            return Success(True)
        failure = result.failure()
        if failure.kind is StoreFailureKind.CONFLICT:
            if is_cancelled_before_submission(job_id, failure.rows):
                self.log_decision("job cancelled before", job_id, caller)
                return Failure(cancelled_before_submission(job_id))
            self.log_decision("job known already", job_id, caller)
            return Success(False)
        refusal = self.write_refusal(failure, deadline)
        outage = self.outage_seconds()
        self.log_decision(
            "job refused",
            job_id,
            caller,
            why=failure.message,
            retry_after=refusal.retry_after_seconds,
            outage=None if outage is None else round(outage, 2),
        )
        return Failure(refusal)

    async def write(
        self, transaction: RowTransaction, deadline: float
    ) -> Result[int, StoreFailure]:
        """Commit a transaction, and repeat it until the outcome is known.

        A write without an answer is repeated until the deadline, which is safe because
        its expectations let it take effect only once. A write that the store refused is
        not repeated.
        """
        unknown_outcome: StoreFailure | None = None
        while True:
            remaining = deadline - RESPONSE_MARGIN_SECONDS - self.clock.boottime()
            if remaining <= 0:
                return Failure(unknown_outcome or out_of_time())
            result = await self.store.commit(
                transaction, min(remaining, STORE_CALL_TIMEOUT_SECONDS)
            )
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if failure.kind is StoreFailureKind.UNKNOWN:
                unknown_outcome = failure
                continue
            if failure.kind is StoreFailureKind.REFUSED and unknown_outcome is not None:
                return Failure(unknown_outcome)
            return result

    async def find(self, job_id: str) -> Result[StoredJob | None, StoreFailure]:
        """Read a job from the store; return ``None`` if it has none."""
        results = await asyncio.gather(
            self.read_rows(job_id, job_partition(job_id)),
            self.read_rows(job_id, PARTITION),
        )
        rows: list[StoredRow] = []
        for result in results:
            if isinstance(result, Failure):
                return result
            rows.extend(result.unwrap().rows)
        return Success(self.decode_job(job_id, rows))

    async def read_rows(self, job_id: str, part: str) -> Result[RowPage, StoreFailure]:
        """Read a job's rows from one partition."""
        return await self.store.read(
            TABLE_JOBS, part, STORE_CALL_TIMEOUT_SECONDS, job_id, job_id + JOB_RANGE_END
        )

    def decode_job(self, job_id: str, rows: list[StoredRow]) -> StoredJob | None:
        """Decode a job from its rows; return ``None`` if it is absent or unreadable."""
        values = {row.key.key: row.value for row in rows if row.value is not None}
        if job_id not in values:
            return None
        accepted = codec.decode(values[job_id], AcceptedJob)
        if isinstance(accepted, Failure):
            log.error(
                "job row cannot be decoded", request_id=job_id, why=accepted.failure()
            )
            return None
        progress: JobProgress | None = None
        if job_id + PROGRESS_SUFFIX in values:
            decoded = codec.decode(values[job_id + PROGRESS_SUFFIX], JobProgress)
            if isinstance(decoded, Failure):
                log.error("job progress row cannot be decoded", request_id=job_id)
            else:
                progress = decoded.unwrap()
        cancelled = job_id + CANCEL_SUFFIX in values
        return StoredJob(accepted.unwrap(), progress, cancelled)

    async def state(self, job_id: str) -> Result[JobState, IntakeRefusal]:
        """Return a job's state."""
        found = await self.find(job_id)
        if isinstance(found, Failure):
            return Failure(self.store_unavailable(found.failure().message))
        job = found.unwrap()
        if job is None:
            return Failure(no_such_job(job_id))
        return Success(job.state())

    async def cancel(
        self, job_id: str, deadline: float
    ) -> Result[JobState, IntakeRefusal]:
        """Store a cancel request; the leader then stops the job's runs.

        A request for an unknown job is stored too, and the answer is that there is no
        such job: a write of the job may be under way, and must not take effect later.
        """
        found = await self.find(job_id)
        if isinstance(found, Failure):
            return Failure(self.store_unavailable(found.failure().message, deadline))
        job = found.unwrap()
        if job is None:
            log.info("cancel request for an unknown job", request_id=job_id)
        elif job.cancelled or job.state() in TERMINAL_STATES:
            return Success(job.state())
        key = cancel_key(job_id)
        request = CancelRequest(int(self.clock.wall() * MILLISECONDS))
        transaction = RowTransaction(
            (Expectation(key, 0),), ((key, codec.encode(request)),)
        )
        result = await self.write(transaction, deadline)
        if isinstance(result, Failure):
            failure = result.failure()
            if failure.kind is not StoreFailureKind.CONFLICT:
                log.info(
                    "cancel request not confirmed by the store",
                    request_id=job_id,
                    why=failure.message,
                )
                return Failure(self.write_refusal(failure, deadline))
        log.info("cancel request stored", request_id=job_id)
        if job is None:
            return Failure(no_such_job(job_id))
        return Success(JobState.CANCELLED)

    def store_unavailable(
        self, message: str, deadline: float = math.inf
    ) -> IntakeRefusal:
        """Return the refusal for a store that certainly applied nothing."""
        patience = deadline - self.clock.boottime()
        return IntakeRefusal(
            IntakeRefusalKind.STORE_UNAVAILABLE,
            message,
            retry_after_seconds(self.outage_seconds(), patience),
        )

    def write_refusal(self, failure: StoreFailure, deadline: float) -> IntakeRefusal:
        """Return the refusal for a failed write: not stored, or outcome unknown."""
        if failure.kind is StoreFailureKind.REFUSED:
            return self.store_unavailable(failure.message, deadline)
        return IntakeRefusal(IntakeRefusalKind.OUTCOME_UNKNOWN, failure.message)

    def log_decision(
        self,
        event: str,
        job_id: str,
        caller: Caller,
        version: int | None = None,
        why: str = "",
        **details: float | None,
    ) -> None:
        """Log and count the outcome of a submission, with further ``details``.

        The event text is also the value of the metric label ``outcome``.
        """
        self.metrics.count("submissions", outcome=event.replace(" ", "_"))
        log.info(
            event,
            request_id=job_id,
            queue=caller.queue.name,
            organisation=caller.organisation,
            configuration=caller.configuration_version,
            version=version,
            why=why,
            **details,
        )


def out_of_time() -> StoreFailure:
    """Return the failure of a write that was not sent before the deadline."""
    return StoreFailure(
        StoreFailureKind.REFUSED, "deadline passed before the write was sent"
    )


def is_cancelled_before_submission(job_id: str, rows: tuple[StoredRow, ...]) -> bool:
    """Return whether the rows of a conflict hold a cancel request and no job."""
    present = {row.key for row in rows if row.version}
    return cancel_key(job_id) in present and job_key(job_id) not in present


def cancelled_before_submission(job_id: str) -> IntakeRefusal:
    """Return the refusal for a job that never runs, as its cancellation came first."""
    return IntakeRefusal(
        IntakeRefusalKind.CANCELLED, f"job {job_id} was cancelled before"
    )


def no_such_job(job_id: str) -> IntakeRefusal:
    """Return the refusal for a job that the store does not hold."""
    return IntakeRefusal(IntakeRefusalKind.NO_SUCH_JOB, f"no job {job_id}")


def create_intake(
    store: RowStore,
    clock: FleetClock,
    metrics: Metrics,
    outage_seconds: Callable[[], float | None],
) -> Intake:
    """Return the intake of one instance.

    ``outage_seconds`` returns how long the store has not been reached, or ``None``.
    """
    return Intake(store, clock, metrics, outage_seconds)
