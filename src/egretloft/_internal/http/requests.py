"""Handler of ``POST /v1/services/{service}/requests``."""

from __future__ import annotations

import uuid
from typing import Protocol

from aiohttp import web
from returns.result import Failure, Result

from egretloft._internal.border.requests import decode_request
from egretloft._internal.http.bodies import read_body
from egretloft._internal.http.responses import refusal_response
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import Reason, Refusal, outcome_unknown
from egretloft._internal.models.requests import Answer, ServiceRequest


class Submitter(Protocol):
    """The part of the request service that the handler uses."""

    async def submit(self, request: ServiceRequest, /) -> Result[Answer, Refusal]:
        """Run the request and return its answer."""


def add_routes(app: web.Application, service: Submitter, metrics: Metrics) -> None:
    """Add the route of service requests to ``app``."""

    async def submit(request: web.Request) -> web.Response:
        service_name = request.match_info["service"]
        decoded = (await read_body(request)).bind(
            lambda body: decode_request(service_name, body, uuid.uuid4().hex)
        )
        if isinstance(decoded, Failure):
            return refusal_response(decoded.failure(), metrics)
        result = await service.submit(decoded.unwrap())
        if isinstance(result, Failure):
            return refusal_response(result.failure(), metrics)
        return answer_response(result.unwrap(), metrics)

    app.router.add_post("/v1/services/{service}/requests", submit)


def answer_response(answer: Answer, metrics: Metrics) -> web.Response:
    """Return the answer as JSON, or a refusal if it is not UTF-8 text.

    Replacing the invalid bytes would alter the answer.
    """
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
