"""Validation of job submission and cancellation bodies."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from egretloft._internal.models.jobs import JobSpec, Priority
from egretloft._internal.models.outcomes import Reason, Refusal, not_run
from egretloft._internal.models.profiles import Adjacency

T = TypeVar("T")

MAX_CANCELLED_JOBS = 1_000
# The command is stored in the job row and sent to every gang member.
MAX_COMMAND_CHARACTERS = 16_384
MAX_SECONDS = 366 * 86_400

# The same rule as for the names in a profile. ``\Z`` is used because ``$`` would accept
# a trailing line feed, which would break the lines of an account.
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")]
JobId = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,128}\Z")]


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of ``POST /v1/jobs``; cores and memory are per task."""

    organisation: Name
    profile: Name
    service: Name
    idempotency_key: Annotated[str, Meta(min_length=1, max_length=128)]
    tasks: Annotated[int, Meta(ge=1, le=1_024)]
    accelerators_per_task: Annotated[int, Meta(ge=0, le=64)]
    cores: Annotated[int, Meta(ge=0, le=4_096)]
    memory_gb: Annotated[int, Meta(ge=0, le=65_536)]
    adjacency: Adjacency
    declared_seconds: Annotated[float, Meta(gt=0, le=MAX_SECONDS)]
    command: Annotated[str, Meta(min_length=1, max_length=MAX_COMMAND_CHARACTERS)]
    idempotent: bool
    checkpointable: bool
    priority: Priority = Priority.NORMAL
    start_deadline_seconds: Annotated[float, Meta(ge=0, le=MAX_SECONDS)] = 0.0


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of ``POST /v1/jobs/cancel``."""

    job_ids: Annotated[
        tuple[JobId, ...], Meta(min_length=1, max_length=MAX_CANCELLED_JOBS)
    ]


@dataclass(slots=True, frozen=True)
class Submission:
    """A valid job and the idempotency key of its submission."""

    spec: JobSpec
    idempotency_key: str


def decode_job(data: bytes, now: float) -> Result[Submission, Refusal]:
    """Return the job described by a body that arrived at ``now``, in Unix seconds.

    The job service sets the id, the region and the submission time. Bodies with the
    same values have the same digest, whatever the order of their fields.
    """
    match _decode(data, JobBody):
        case Failure(refusal):
            return Failure(refusal)
        case Success(body):
            return Success(_submission(body, now))
    raise AssertionError("a result is a success or a failure")


def decode_cancel(data: bytes) -> Result[tuple[str, ...], Refusal]:
    """Return the job ids in a cancellation body."""
    return _decode(data, CancelBody).map(lambda body: body.job_ids)


def _submission(body: JobBody, now: float) -> Submission:
    deadline = body.start_deadline_seconds
    # A struct is encoded in the order of its definition, so the digest does not depend
    # on the order of the fields in the body.
    digest = hashlib.blake2b(msgspec.msgpack.encode(body), digest_size=16).hexdigest()
    spec = JobSpec(
        job_id="",
        organisation=body.organisation,
        profile=body.profile,
        region="",
        service=body.service,
        tasks=body.tasks,
        accelerators_per_task=body.accelerators_per_task,
        cores=body.cores,
        memory_gb=body.memory_gb,
        adjacency=body.adjacency,
        declared_seconds=body.declared_seconds,
        command=body.command,
        idempotent=body.idempotent,
        checkpointable=body.checkpointable,
        priority=body.priority,
        deadline_at=now + deadline if deadline else 0.0,
        body_digest=digest,
    )
    return Submission(spec, body.idempotency_key)


def _decode(data: bytes, type_: type[T]) -> Result[T, Refusal]:
    try:
        body = msgspec.json.decode(data, type=type_)
        # JSON can contain lone surrogates, but a row cannot; encoding detects them.
        msgspec.msgpack.encode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return Failure(
            not_run(Reason.MALFORMED, str(error), "correct the body and send it again")
        )
    return Success(body)
