"""Validation of service request bodies."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from egretloft._internal.models.outcomes import Reason, Refusal, not_run
from egretloft._internal.models.requests import ServiceRequest

MAX_BODY_BYTES = 1 << 20
# A payload and its envelope must fit into one peer frame of at most 1 MiB.
MAX_PAYLOAD_BYTES = MAX_BODY_BYTES - (16 << 10)
MAX_DEADLINE_MS = 600_000

# Names become parts of row keys, in which "/" is the separator.
Name = Annotated[
    str, Meta(min_length=1, max_length=128, pattern=r"\A[^/\x00-\x1f\x7f]+\Z")
]


class RequestBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The JSON body of ``POST /v1/services/{service}/requests``."""

    organisation: Name
    profile: Name
    deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DEADLINE_MS)]
    idempotency_key: Annotated[str, Meta(min_length=1, max_length=128)]
    idempotent: bool
    payload: str


def decode_request(
    service: str, body: bytes, request_id: str
) -> Result[ServiceRequest, Refusal]:
    """Return the request in ``body``, or a refusal if it is invalid or too large."""
    if len(body) > MAX_BODY_BYTES:
        return Failure(too_large(f"the body is over {MAX_BODY_BYTES} bytes"))
    try:
        name = msgspec.convert(service, Name)
        fields = msgspec.json.decode(body, type=RequestBody)
        payload = fields.payload.encode()
        fields.idempotency_key.encode()
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        return Failure(
            not_run(
                Reason.MALFORMED, str(error), "correct the request and send it again"
            )
        )
    if len(payload) > MAX_PAYLOAD_BYTES:
        return Failure(too_large(f"the payload is over {MAX_PAYLOAD_BYTES} bytes"))
    return Success(
        ServiceRequest(
            request_id=request_id,
            organisation=fields.organisation,
            profile=fields.profile,
            service=name,
            deadline_seconds=fields.deadline_ms / 1000,
            idempotency_key=fields.idempotency_key,
            idempotent=fields.idempotent,
            payload=payload,
        )
    )


def too_large(message: str) -> Refusal:
    """Return the refusal of a request that exceeds a size limit."""
    return not_run(Reason.TOO_LARGE, message, "send less data in one request")
