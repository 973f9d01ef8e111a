"""Acceptance, state and cancelling of jobs, on any instance.

An accepted job is a row of the store before the caller learns of it. A refusal that
says that a job does not run is given only when no write can have taken effect.
"""

from __future__ import annotations

import asyncio
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
    STORE_CALL_SECONDS,
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
    Configuration,
    JobSpec,
    JobState,
    Organisation,
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
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

MILLISECONDS = 1000.0
# Time kept back from the caller's deadline for the answer's way.
ANSWER_SECONDS = 0.1
FIRST_RETRY_SECONDS = 0.02
# An outage of the store mostly outlasts a second; a sooner return meets it again.
STORE_RETRY_AFTER_SECONDS = 1


class IntakeRefusalKind(StrEnum):
    """Why a call was not served."""

    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_QUEUE = "unknown_queue"
    UNKNOWN_KEY = "unknown_key"
    MALFORMED = "malformed"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_SUCH_JOB = "no_such_job"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True, frozen=True)
class IntakeRefusal:
    """A call that was not served; ``retry_after_seconds`` where a return helps."""

    kind: IntakeRefusalKind
    message: str
    retry_after_seconds: int | None = None


@dataclass(slots=True, frozen=True)
class Caller:
    """Queue and organisation that a call was admitted for."""

    queue: Queue
    organisation: str
    configuration_version: int


@dataclass(slots=True, frozen=True)
class StoredJob:
    """What the store holds of a job."""

    accepted: AcceptedJob
    progress: JobProgress | None
    cancelled: bool

    def state(self) -> JobState:
        """Return the state as callers see it."""
        if self.progress is not None and self.progress.state in TERMINAL_STATES:
            return self.progress.state
        if self.cancelled:
            return JobState.CANCELLED
        return self.progress.state if self.progress else JobState.QUEUED


def unavailable(message: str) -> IntakeRefusal:
    """Return the refusal for a store that did nothing."""
    return IntakeRefusal(
        IntakeRefusalKind.STORE_UNAVAILABLE, message, STORE_RETRY_AFTER_SECONDS
    )


def admit(
    configuration: Configuration | None, host: str, path: str, key: str
) -> Result[Caller, IntakeRefusal]:
    """Return whom a call is for, by the configuration in force."""
    if configuration is None:
        return Failure(
            IntakeRefusal(
                IntakeRefusalKind.NO_CONFIGURATION,
                "this instance has no configuration yet",
                STORE_RETRY_AFTER_SECONDS,
            )
        )
    queue = configuration.find_queue(host, path)
    if queue is None:
        return Failure(
            IntakeRefusal(
                IntakeRefusalKind.UNKNOWN_QUEUE,
                f"no queue for host {host!r} and path {path!r}",
            )
        )
    organisation: Organisation | None = configuration.organisation_of_key(key)
    if organisation is None and not queue.public:
        return Failure(
            IntakeRefusal(IntakeRefusalKind.UNKNOWN_KEY, "the key is not known")
        )
    name = organisation.name if organisation else ""
    return Success(Caller(queue, name, configuration.version))


class Intake:
    """Serves the callers from the store."""

    def __init__(self, store: RowStore, clock: FleetClock, metrics: Metrics) -> None:
        self.store = store
        self.clock = clock
        self.metrics = metrics

    async def submit(
        self, caller: Caller, job_id: str, spec: JobSpec, deadline: float
    ) -> Result[bool, IntakeRefusal]:
        """Store a job; the value tells whether it is new.

        ``deadline`` is on the steady clock.
        """
        queue = caller.queue
        if queue.requires_ticket:
            # Its targets refuse each start without a ticket, which is not asked for.
            return Failure(
                IntakeRefusal(
                    IntakeRefusalKind.UNSUPPORTED, "queues with advice are not served"
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
        )
        key = job_key(job_id)
        transaction = RowTransaction(
            (Expectation(key, 0),), ((key, codec.encode(accepted)),)
        )
        result = await self.write(transaction, deadline)
        if isinstance(result, Success):
            self.log_decision("job accepted", job_id, caller, version=result.unwrap())
            return Success(True)
        failure = result.failure()
        if failure.kind is StoreFailureKind.CONFLICT:
            self.log_decision("job known already", job_id, caller)
            return Success(False)
        refusal = write_refusal(failure)
        self.log_decision("job refused", job_id, caller, why=failure.message)
        return Failure(refusal)

    async def write(
        self, transaction: RowTransaction, deadline: float
    ) -> Result[int, StoreFailure]:
        """Write until the outcome is known or the time is over.

        A write without an answer is repeated: its conditions let it take effect once.
        A store that certainly did nothing is not asked again.
        """
        doubtful: StoreFailure | None = None
        while True:
            left = deadline - ANSWER_SECONDS - self.clock.boottime()
            if left <= 0:
                return Failure(doubtful or out_of_time())
            result = await self.store.commit(transaction, min(left, STORE_CALL_SECONDS))
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if failure.kind is StoreFailureKind.UNKNOWN:
                doubtful = failure
                continue
            if failure.kind is StoreFailureKind.REFUSED and doubtful is not None:
                return Failure(doubtful)
            return result

    async def find(self, job_id: str) -> Result[StoredJob | None, StoreFailure]:
        """Return what the store holds of a job."""
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
        """Return a job's rows of one partition."""
        return await self.store.read(
            TABLE_JOBS, part, STORE_CALL_SECONDS, job_id, job_id + JOB_RANGE_END
        )

    def decode_job(self, job_id: str, rows: list[StoredRow]) -> StoredJob | None:
        """Return the job that its rows describe."""
        values = {row.key.key: row.value for row in rows if row.value is not None}
        if job_id not in values:
            return None
        accepted = codec.decode(values[job_id], AcceptedJob)
        if isinstance(accepted, Failure):
            log.error("job row unreadable", request_id=job_id, why=accepted.failure())
            return None
        progress: JobProgress | None = None
        if job_id + PROGRESS_SUFFIX in values:
            decoded = codec.decode(values[job_id + PROGRESS_SUFFIX], JobProgress)
            if isinstance(decoded, Failure):
                log.error("progress unreadable", request_id=job_id)
            else:
                progress = decoded.unwrap()
        cancelled = job_id + CANCEL_SUFFIX in values
        return StoredJob(accepted.unwrap(), progress, cancelled)

    async def state(self, job_id: str) -> Result[JobState, IntakeRefusal]:
        """Return a job's state."""
        found = await self.find(job_id)
        if isinstance(found, Failure):
            return Failure(unavailable(found.failure().message))
        job = found.unwrap()
        if job is None:
            return Failure(no_such_job(job_id))
        return Success(job.state())

    async def cancel(
        self, job_id: str, deadline: float
    ) -> Result[JobState, IntakeRefusal]:
        """Store the cancel request; the leader stops what runs."""
        found = await self.find(job_id)
        if isinstance(found, Failure):
            return Failure(unavailable(found.failure().message))
        job = found.unwrap()
        if job is None:
            return Failure(no_such_job(job_id))
        if job.cancelled or job.state() in TERMINAL_STATES:
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
                log.info("cancel refused", request_id=job_id, why=failure.message)
                return Failure(write_refusal(failure))
        log.info("cancel stored", request_id=job_id)
        return Success(JobState.CANCELLED)

    def log_decision(
        self,
        event: str,
        job_id: str,
        caller: Caller,
        version: int | None = None,
        why: str = "",
    ) -> None:
        """Log what became of a submission, and count it."""
        self.metrics.count("submissions", outcome=event.replace(" ", "_"))
        log.info(
            event,
            request_id=job_id,
            queue=caller.queue.name,
            organisation=caller.organisation,
            configuration=caller.configuration_version,
            version=version,
            why=why,
        )


def out_of_time() -> StoreFailure:
    """Return the failure of a write that was never sent."""
    return StoreFailure(StoreFailureKind.REFUSED, "no time left to write")


def no_such_job(job_id: str) -> IntakeRefusal:
    """Return the refusal for a job that the store does not hold."""
    return IntakeRefusal(IntakeRefusalKind.NO_SUCH_JOB, f"no job {job_id}")


def write_refusal(failure: StoreFailure) -> IntakeRefusal:
    """Return what a failed write means for the caller."""
    if failure.kind is StoreFailureKind.REFUSED:
        return unavailable(failure.message)
    return IntakeRefusal(IntakeRefusalKind.OUTCOME_UNKNOWN, failure.message)


def create_intake(store: RowStore, clock: FleetClock, metrics: Metrics) -> Intake:
    """Return the intake of one instance."""
    return Intake(store, clock, metrics)
