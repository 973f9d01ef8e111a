"""Service requests, their answers and the stored records of non-idempotent requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A short request to a service.

    ``request_id`` identifies this submission. ``idempotency_key`` identifies the
    operation, so submissions that repeat it have the same key. ``deadline_seconds``
    counts from the submission.
    """

    request_id: str
    organisation: str
    profile: str
    service: str
    deadline_seconds: float
    idempotency_key: str
    idempotent: bool
    payload: bytes


@dataclass(slots=True, frozen=True)
class Answer:
    """The complete answer to a request and the runner that produced it."""

    request_id: str
    payload: bytes
    runner: str
    zone: str


class RecordState(StrEnum):
    """What the table knows about a non-idempotent request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class RequestRecord:
    """The row of a non-idempotent request.

    ``instance_id`` is the instance that received the request and claimed its key, at
    ``claimed_at`` in Unix seconds. The answer is stored in ``answer`` or in the object
    named ``answer_object``.
    """

    request_id: str
    instance_id: str
    body_digest: str
    claimed_at: float
    state: RecordState = RecordState.CLAIMED
    answer: bytes = b""
    answer_object: str = ""
    runner: str = ""
    zone: str = ""
