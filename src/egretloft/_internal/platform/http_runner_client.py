"""Calls to runners over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec
from returns.result import Result, Success

from egretloft._internal.platform.http_call import send_request
from egretloft._internal.platform.http_target_call import (
    classify_failure,
    unknown_outcome,
)
from egretloft._internal.platform.protocols import (
    CallFailure,
    RunnerRequest,
    RunnerStatus,
)

REQUEST_ID_HEADER = "Egretloft-Request-Id"
START_BEFORE_HEADER = "Egretloft-Start-Before"
SERVICE_HEADER = "Egretloft-Service"


class HttpRunnerClient:
    """A ``RunnerClient`` for all runners."""

    def __init__(
        self, session: aiohttp.ClientSession, status_timeout_seconds: float
    ) -> None:
        self.session = session
        self.status_timeout_seconds = status_timeout_seconds

    async def run(
        self, address: str, request: RunnerRequest, timeout_seconds: float
    ) -> Result[bytes, CallFailure]:
        """Execute the request and return the whole answer.

        An answer or a refusal without the id of the request may belong to another
        request, so its outcome is unknown.
        """
        result = await send_request(
            self.session,
            "POST",
            f"http://{address}/run",
            timeout_seconds,
            request.payload,
            {
                REQUEST_ID_HEADER: request.request_id,
                START_BEFORE_HEADER: f"{request.start_before:.6f}",
                SERVICE_HEADER: request.service,
                "Content-Type": "application/octet-stream",
            },
        )
        match result:
            case Success(answer):
                answered_id = answer.headers.get(REQUEST_ID_HEADER)
                if answered_id != request.request_id:
                    return unknown_outcome(f"got the answer to request {answered_id}")
                if answer.status == 200:
                    return Success(answer.body)
        return classify_failure(result)

    async def status(self, address: str) -> Result[RunnerStatus, CallFailure]:
        """Return the runner's load."""
        result = await send_request(
            self.session, "GET", f"http://{address}/status", self.status_timeout_seconds
        )
        match result:
            case Success(answer) if answer.status == 200:
                try:
                    status = msgspec.json.decode(answer.body, type=RunnerStatus)
                except (msgspec.DecodeError, RecursionError) as error:
                    return unknown_outcome(f"unreadable status: {error}")
                if status.in_use < 0 or status.slots < 0:
                    return unknown_outcome("status with negative numbers")
                return Success(status)
        return classify_failure(result)


def create_http_runner_client(
    session: aiohttp.ClientSession, status_timeout_seconds: float = 1.0
) -> HttpRunnerClient:
    """Return a client for all runners.

    The session should limit the connections to one runner, see
    ``create_http_session``.
    """
    return HttpRunnerClient(session, status_timeout_seconds)
