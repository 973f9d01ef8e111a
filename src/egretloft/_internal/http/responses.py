"""Refusals as HTTP responses."""

from __future__ import annotations

from aiohttp import web

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal

RETRY_AFTER_SECONDS = 1

STATUS_CODES = {
    Reason.MALFORMED: 400,
    Reason.UNKNOWN_ORGANISATION: 404,
    Reason.UNKNOWN_PROFILE: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ZONE: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.KEY_REUSED: 409,
    Reason.CONFLICT: 409,
    Reason.MONTH_OPEN: 409,
    Reason.MONTH_CLOSED: 409,
    Reason.TOO_LARGE: 413,
    Reason.INVALID_SHAPE: 422,
    Reason.IMPOSSIBLE: 422,
    Reason.INFEASIBLE_GUARANTEES: 422,
    Reason.LIMIT_EXCEEDED: 429,
    Reason.DEADLINE_PASSED: 504,
    Reason.DEADLINE_BEFORE_START: 504,
}


def refusal_response(refusal: Refusal, metrics: Metrics) -> web.Response:
    """Return the response for a refusal, and count it by its reason."""
    metrics.count("refusals", reason=refusal.reason.value, kind=refusal.kind.value)
    status = STATUS_CODES.get(refusal.reason, 503)
    if refusal.kind is OutcomeKind.UNKNOWN and status != 504:
        status = 502
    headers = {"Retry-After": str(RETRY_AFTER_SECONDS)} if status == 503 else None
    return web.json_response(
        {
            "outcome": refusal.kind.value,
            "reason": refusal.reason.value,
            "message": refusal.message,
            "hint": refusal.hint,
        },
        status=status,
        headers=headers,
    )
