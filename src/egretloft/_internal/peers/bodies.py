"""Encodes refusals in the bodies of answers and decodes them."""

from __future__ import annotations

from typing import Any

from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal

REFUSAL_FIELD = "refusal"


def refusal_body(refusal: Refusal) -> dict[str, Any]:
    """Return an answer body that carries ``refusal``."""
    return {
        REFUSAL_FIELD: {
            "kind": refusal.kind.value,
            "reason": refusal.reason.value,
            "message": refusal.message,
            "hint": refusal.hint,
        }
    }


def read_refusal(body: dict[str, Any]) -> Refusal | None:
    """Return the refusal in an answer body, or ``None`` if it has none.

    A refusal that cannot be decoded is returned as an unknown outcome, because its
    sender may have carried out the call.
    """
    data = body.get(REFUSAL_FIELD)
    if data is None:
        return None
    try:
        return Refusal(
            OutcomeKind(data["kind"]),
            Reason(data["reason"]),
            str(data["message"]),
            str(data["hint"]),
        )
    except (KeyError, TypeError, ValueError):
        return Refusal(
            OutcomeKind.UNKNOWN,
            Reason.PEER_UNREACHABLE,
            "another instance sent a refusal that this one cannot read",
        )
