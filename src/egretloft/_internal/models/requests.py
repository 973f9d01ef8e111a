"""Service requests, their answers and the durable records of claimed keys."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A short request to a service.

    ``request_id`` is unique to this submission, ``idempotency_key`` to what the
    caller wants done once. ``deadline_seconds`` counts from the submission.
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
    """The whole answer to one request and where it was produced."""

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

    ``instance_id`` is the receiver that holds the claim, ``claimed_at`` is Unix
    seconds. An answer is in ``answer``, or in the object ``answer_object``.
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
