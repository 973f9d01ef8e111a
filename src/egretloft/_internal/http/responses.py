"""Converts refusals to JSON responses with a status code."""

from __future__ import annotations

from aiohttp import web

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import OutcomeKind, Reason, Refusal

BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
UNPROCESSABLE = 422
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Reasons that are not listed may be temporary and are answered with 503.
STATUS_BY_REASON = {
    Reason.MALFORMED: BAD_REQUEST,
    Reason.INVALID_SHAPE: BAD_REQUEST,
    Reason.UNKNOWN_ORGANISATION: NOT_FOUND,
    Reason.UNKNOWN_PROFILE: NOT_FOUND,
    Reason.UNKNOWN_SERVICE: NOT_FOUND,
    Reason.UNKNOWN_ZONE: NOT_FOUND,
    Reason.UNKNOWN_JOB: NOT_FOUND,
    Reason.KEY_REUSED: CONFLICT,
    Reason.CONFLICT: CONFLICT,
    Reason.IN_PROGRESS: CONFLICT,
    Reason.MONTH_OPEN: CONFLICT,
    Reason.MONTH_CLOSED: CONFLICT,
    Reason.CANCELLED: CONFLICT,
    Reason.TOO_LARGE: TOO_LARGE,
    Reason.IMPOSSIBLE: UNPROCESSABLE,
    Reason.INFEASIBLE_GUARANTEES: UNPROCESSABLE,
    Reason.FAILED: UNPROCESSABLE,
    Reason.FAILED_REPEATEDLY: UNPROCESSABLE,
    Reason.LIMIT_EXCEEDED: TOO_MANY_REQUESTS,
    Reason.RETRY_BUDGET_SPENT: TOO_MANY_REQUESTS,
    Reason.DEADLINE_PASSED: GATEWAY_TIMEOUT,
    Reason.DEADLINE_BEFORE_START: GATEWAY_TIMEOUT,
}
RETRY_AFTER_SECONDS = 1


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status code of a refusal."""
    status = STATUS_BY_REASON.get(refusal.reason, UNAVAILABLE)
    # Callers and proxies retry a 503, so a request that may have run never gets one.
    if refusal.kind is OutcomeKind.UNKNOWN and status != GATEWAY_TIMEOUT:
        return BAD_GATEWAY
    return status


def refusal_response(refusal: Refusal, metrics: Metrics) -> web.Response:
    """Return the JSON response for a refusal and count it by reason."""
    metrics.count("refusals", reason=refusal.reason.value)
    status = refusal_status(refusal)
    headers = {}
    if status in {UNAVAILABLE, TOO_MANY_REQUESTS}:
        headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
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
