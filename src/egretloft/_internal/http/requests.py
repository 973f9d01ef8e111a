"""``POST /v1/services/{service}/requests``."""

from __future__ import annotations

import uuid
from typing import Protocol

from aiohttp import web
from returns.result import Failure, Result

from egretloft._internal.border.requests import (
    MAX_BODY_BYTES,
    decode_request,
    too_large,
)
from egretloft._internal.http.responses import refusal_response
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import Reason, Refusal, outcome_unknown
from egretloft._internal.models.requests import Answer, ServiceRequest

READ_BYTES = 1 << 16


class Submitter(Protocol):
    """What the handler needs of the request service."""

    async def submit(self, request: ServiceRequest, /) -> Result[Answer, Refusal]:
        """Run the request."""


def add_routes(app: web.Application, service: Submitter, metrics: Metrics) -> None:
    """Add the route of service requests to ``app``."""

    async def submit(request: web.Request) -> web.Response:
        body = await read_body(request)
        if body is None:
            refusal = too_large(f"the body is over {MAX_BODY_BYTES} bytes")
            return refusal_response(refusal, metrics)
        decoded = decode_request(request.match_info["service"], body, uuid.uuid4().hex)
        if isinstance(decoded, Failure):
            return refusal_response(decoded.failure(), metrics)
        result = await service.submit(decoded.unwrap())
        if isinstance(result, Failure):
            return refusal_response(result.failure(), metrics)
        return answer_response(result.unwrap(), metrics)

    app.router.add_post("/v1/services/{service}/requests", submit)


async def read_body(request: web.Request) -> bytes | None:
    """Return the body, or ``None`` when it is over the limit.

    The limit holds whatever ``client_max_size`` the application has.
    """
    if (request.content_length or 0) > MAX_BODY_BYTES:
        return None
    body = bytearray()
    async for chunk in request.content.iter_chunked(READ_BYTES):
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return None
    return bytes(body)


def answer_response(answer: Answer, metrics: Metrics) -> web.Response:
    """Return the answer as JSON; one that is not UTF-8 cannot be shown whole."""
    try:
        text = answer.payload.decode()
    except UnicodeDecodeError:
        refusal = outcome_unknown(
            Reason.FAILED, "the request ran, but its answer is not UTF-8 text"
        )
        return refusal_response(refusal, metrics)
    return web.json_response(
        {
            "outcome": "completed",
            "request_id": answer.request_id,
            "answer": text,
            "runner": answer.runner,
            "zone": answer.zone,
        }
    )
