"""Durable records of non-idempotent requests: claims, answers and releases."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal import codec
from egretloft._internal.models.outcomes import (
    Reason,
    Refusal,
    outcome_unknown,
)
from egretloft._internal.models.requests import (
    Answer,
    RecordState,
    RequestRecord,
    ServiceRequest,
)
from egretloft._internal.platform.protocols import (
    Check,
    Clock,
    ObjectStore,
    StoreFailureKind,
    TableService,
    Write,
)
from egretloft._internal.requests.interfaces import SafeWriter

# A claim that takes longer would use up the deadline of a typical request.
CLAIM_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 5.0
# The write that ends a claim is retried through outages of about a minute. After that
# the row stays claimed, and repeats of the key get ``unknown``.
FINAL_WRITE_SECONDS = 60.0
FINAL_WRITE_PAUSE_SECONDS = 1.0
MAX_ANSWER_IN_ROW_BYTES = 64 << 10


@dataclass(slots=True, frozen=True)
class Claim:
    """A claimed key; ``version`` is that of the claim row."""

    key: str
    version: int
    record: RequestRecord


class ClaimFailureKind(StrEnum):
    """What is known about a claim that did not certainly succeed."""

    # This submission wrote nothing; the key may have been used before.
    NOT_WRITTEN = "not_written"
    # This submission's claim may be in the table.
    UNKNOWN = "unknown"
    # The key is held, and its record cannot be read.
    UNREADABLE = "unreadable"
    # The key was released between the attempt and the read.
    RELEASED = "released"


@dataclass(slots=True, frozen=True)
class ClaimFailure:
    """A claim that did not certainly succeed."""

    kind: ClaimFailureKind
    message: str


class RequestRecords:
    """Reads and writes the rows ``request/<organisation>/<key digest>``."""

    def __init__(
        self,
        instance_id: str,
        table: TableService,
        objects: ObjectStore,
        writer: SafeWriter,
        clock: Clock,
    ) -> None:
        self.instance_id = instance_id
        self.table = table
        self.objects = objects
        self.writer = writer
        self.clock = clock

    async def claim(
        self, request: ServiceRequest, timeout_seconds: float
    ) -> Result[Claim | RequestRecord, ClaimFailure]:
        """Claim the request's key, or return the record that already holds it."""
        key = record_key(request)
        record = RequestRecord(
            request_id=request.request_id,
            instance_id=self.instance_id,
            body_digest=body_digest(request),
            claimed_at=self.clock.wall(),
        )
        result = await self.writer.commit(
            (Check(key, 0),),
            (Write(key, codec.encode(record)),),
            min(timeout_seconds, CLAIM_TIMEOUT_SECONDS),
        )
        if isinstance(result, Success):
            return Success(Claim(key, result.unwrap().version, record))
        failure = result.failure()
        if failure.kind is StoreFailureKind.NOT_APPLIED:
            return claim_failure(ClaimFailureKind.NOT_WRITTEN, failure.message)
        if failure.kind is StoreFailureKind.UNKNOWN:
            return claim_failure(ClaimFailureKind.UNKNOWN, failure.message)
        found = await self.read(key)
        if isinstance(found, Failure):
            return claim_failure(ClaimFailureKind.UNREADABLE, found.failure())
        row = found.unwrap()
        if row is None:
            return claim_failure(ClaimFailureKind.RELEASED, "the key was released")
        existing, version = row
        if existing.request_id == record.request_id:
            return Success(Claim(key, version, existing))
        return Success(existing)

    async def read(self, key: str) -> Result[tuple[RequestRecord, int] | None, str]:
        """Return the record and its row version, ``None`` if the key is free."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                result = await self.table.read(key)
        except TimeoutError:
            return Failure("the table did not answer in time")
        if isinstance(result, Failure):
            return Failure(result.failure().message)
        row = result.unwrap()
        if row is None or row.value is None:
            return Success(None)
        record = codec.decode(row.value, RequestRecord)
        if isinstance(record, Failure):
            return Failure(f"the record is malformed: {record.failure()}")
        return Success((record.unwrap(), row.version))

    async def store_answer(self, claim: Claim, answer: Answer) -> bool:
        """Store the answer and return whether repeats of the key will get it."""
        record = replace(
            claim.record,
            state=RecordState.ANSWERED,
            runner=answer.runner,
            zone=answer.zone,
        )
        if len(answer.payload) <= MAX_ANSWER_IN_ROW_BYTES:
            record = replace(record, answer=answer.payload)
        else:
            name = f"answer/{claim.key.removeprefix('request/')}/{answer.request_id}"
            if not await self._store_object(name, answer.payload):
                return False
            record = replace(record, answer_object=name)
        return await self._write_final(claim, codec.encode(record))

    async def mark_unknown(self, claim: Claim) -> bool:
        """Record that the outcome will stay unknown, so that repeats do not wait."""
        record = replace(claim.record, state=RecordState.UNKNOWN)
        return await self._write_final(claim, codec.encode(record))

    async def release(self, claim: Claim) -> bool:
        """Free the key of a request that certainly did not run."""
        return await self._write_final(claim, None)

    async def abandon(self, request: ServiceRequest) -> bool:
        """Release the key if this submission's claim was applied after all."""
        key = record_key(request)
        ends_at = self.clock.monotonic() + FINAL_WRITE_SECONDS
        while self.clock.monotonic() < ends_at:
            found = await self.read(key)
            if isinstance(found, Success):
                row = found.unwrap()
                if row is None or row[0].request_id != request.request_id:
                    return True
                return await self.release(Claim(key, row[1], row[0]))
            await asyncio.sleep(FINAL_WRITE_PAUSE_SECONDS)
        return False

    async def load_answer(self, record: RequestRecord) -> Result[Answer, Refusal]:
        """Return the stored answer of an answered record."""
        payload: bytes | None = record.answer
        if record.answer_object:
            try:
                async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                    result = await self.objects.get(record.answer_object)
            except TimeoutError:
                return Failure(store_unavailable("the object store did not answer"))
            if isinstance(result, Failure):
                return Failure(store_unavailable(result.failure().message))
            payload = result.unwrap()
            if payload is None:
                return Failure(store_unavailable("the stored answer is missing"))
        assert payload is not None
        return Success(Answer(record.request_id, payload, record.runner, record.zone))

    async def _write_final(self, claim: Claim, value: bytes | None) -> bool:
        ends_at = self.clock.monotonic() + FINAL_WRITE_SECONDS
        while self.clock.monotonic() < ends_at:
            result = await self.writer.commit(
                (Check(claim.key, claim.version),),
                (Write(claim.key, value),),
                WRITE_TIMEOUT_SECONDS,
            )
            if isinstance(result, Success):
                return True
            # Only this instance writes the row after the claim, so a conflict means
            # that an earlier write of unknown outcome was applied.
            if result.failure().kind is StoreFailureKind.CONFLICT:
                return True
            await asyncio.sleep(FINAL_WRITE_PAUSE_SECONDS)
        return False

    async def _store_object(self, name: str, payload: bytes) -> bool:
        ends_at = self.clock.monotonic() + FINAL_WRITE_SECONDS
        while self.clock.monotonic() < ends_at:
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                    result = await self.objects.put_if_absent(name, payload)
            except TimeoutError:
                continue
            # The name contains the request id, so an existing object is this answer.
            if isinstance(result, Success):
                return True
            await asyncio.sleep(FINAL_WRITE_PAUSE_SECONDS)
        return False


def claim_failure(
    kind: ClaimFailureKind, message: str
) -> Result[Claim | RequestRecord, ClaimFailure]:
    """Return the result of a claim that did not certainly succeed."""
    return Failure(ClaimFailure(kind, message))


def record_key(request: ServiceRequest) -> str:
    """Return the key of the request's row."""
    digest = hashlib.sha256(request.idempotency_key.encode()).hexdigest()
    return f"request/{request.organisation}/{digest}"


def body_digest(request: ServiceRequest) -> str:
    """Return a digest of the fields in which a repeat of the key must be equal."""
    parts = (request.service, request.profile, request.idempotent, request.payload)
    return hashlib.sha256(msgspec.msgpack.encode(parts)).hexdigest()


def store_unavailable(message: str) -> Refusal:
    """Return the refusal of a request whose record cannot be read or written."""
    return outcome_unknown(
        Reason.STORE_UNAVAILABLE, message, "repeat the request with the same key"
    )


def create_request_records(
    instance_id: str,
    *,
    table: TableService,
    objects: ObjectStore,
    writer: SafeWriter,
    clock: Clock,
) -> RequestRecords:
    """Return access to the request rows for one instance."""
    return RequestRecords(instance_id, table, objects, writer, clock)
