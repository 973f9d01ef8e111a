"""Messages between the receiver of a request and the owner of a runner group."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.models.outcomes import (
    OutcomeKind,
    Reason,
    Refusal,
    outcome_unknown,
)

FORWARD_TYPE = "run_request"
KEY_QUERY_TYPE = "request_key_query"
COMPLETED = "completed"
# An answer must fit, with its envelope, into one peer frame of at most 1 MiB.
MAX_ANSWER_BYTES = (1 << 20) - (16 << 10)


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a request, sent to the owner of a runner group.

    ``remaining_seconds`` and ``start_seconds`` count from the time of sending.
    ``deadline_at`` and ``start_by`` are the same limits as Unix time; they apply to a
    frame that waited in a buffer while the owner was frozen.
    """

    attempt_id: str
    organisation: str
    profile: str
    service: str
    zone: str
    idempotent: bool
    payload: bytes
    remaining_seconds: float
    start_seconds: float
    deadline_at: float
    start_by: float
    attempts_left: int


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """The owner's answer to one attempt.

    ``outcome`` is ``completed`` or a refusal's kind. ``attempts`` is the number of
    times the owner sent the request to a runner. ``load`` is the group's load
    report at the time of the reply, empty if there is none.
    """

    attempt_id: str
    outcome: str
    reason: str = ""
    message: str = ""
    answer: bytes = b""
    runner: str = ""
    zone: str = ""
    attempts: int = 0
    load: tuple[float, ...] = ()

    @property
    def refusal(self) -> Refusal | None:
        """The refusal in this reply; one that cannot be decoded counts as unknown."""
        if self.outcome == COMPLETED:
            return None
        try:
            return Refusal(OutcomeKind(self.outcome), Reason(self.reason), self.message)
        except ValueError:
            return outcome_unknown(
                Reason.TARGET_LOST, f"the owner's reply is invalid: {self.outcome}"
            )


class KeyQuery(msgspec.Struct, frozen=True):
    """Asks an instance whether it received a request with this key."""

    key: str


class KeyReply(msgspec.Struct, frozen=True):
    """Whether an instance has not received a key.

    ``sure`` is false if the instance may have lost keys that were received recently.
    """

    unseen: bool
    sure: bool


def encode_message(message: msgspec.Struct) -> dict[str, Any]:
    """Return the body of a peer call."""
    return msgspec.structs.asdict(message)


def decode_forward(body: Mapping[str, Any]) -> Result[Forward, str]:
    """Return the forward in a peer call, or what is wrong with it."""
    try:
        return Success(msgspec.convert(body, Forward))
    except msgspec.ValidationError as error:
        return Failure(str(error))


def match_reply(attempt_id: str, body: Mapping[str, Any]) -> Result[Reply, str]:
    """Return the reply if it belongs to the attempt, or what is wrong with it."""
    try:
        reply = msgspec.convert(body, Reply)
    except msgspec.ValidationError as error:
        return Failure(str(error))
    if reply.attempt_id != attempt_id:
        return Failure(f"the reply is for {reply.attempt_id}, not {attempt_id}")
    return Success(reply)


def refusal_reply(attempt_id: str, refusal: Refusal, attempts: int = 0) -> Reply:
    """Return the reply that carries a refusal."""
    return Reply(
        attempt_id=attempt_id,
        outcome=refusal.kind.value,
        reason=refusal.reason.value,
        message=refusal.message,
        attempts=attempts,
    )
