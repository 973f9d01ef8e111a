"""Clients' calls, status checks and metrics over HTTP."""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec
import structlog
from aiohttp import web
from returns.result import Failure, Result

from egretloft._internal.fleet.instance import Instance
from egretloft._internal.fleet.intake import (
    Caller,
    IntakeRefusal,
    IntakeRefusalKind,
    admit,
)
from egretloft._internal.fleet.models import JobState
from egretloft.platform.decoding import job_of

log = structlog.get_logger(__name__)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "Deadline-Ms"
DEFAULT_DEADLINE_SECONDS = 3.0
LONGEST_DEADLINE_SECONDS = 60.0
BEARER = "Bearer "
READINESS_PATH = "/readyz"
STATUS = {
    IntakeRefusalKind.NO_CONFIGURATION: 503,
    IntakeRefusalKind.UNKNOWN_QUEUE: 404,
    IntakeRefusalKind.UNKNOWN_KEY: 401,
    IntakeRefusalKind.MALFORMED: 400,
    IntakeRefusalKind.STORE_UNAVAILABLE: 503,
    IntakeRefusalKind.OUTCOME_UNKNOWN: 504,
    IntakeRefusalKind.NO_SUCH_JOB: 410,
    IntakeRefusalKind.UNSUPPORTED: 503,
}


class StateAnswer(msgspec.Struct):
    """Answer to a question for a job's state."""

    state: str


class CountAnswer(msgspec.Struct):
    """Answer to a question for a queue's waiting jobs."""

    pending: int


class RefusalAnswer(msgspec.Struct):
    """Why a call was not served."""

    reason: str
    message: str


def answer(status: int, body: msgspec.Struct | None = None) -> web.Response:
    """Return a JSON response."""
    data = msgspec.json.encode(body) if body is not None else b"{}"
    return web.Response(status=status, body=data, content_type="application/json")


def refusal_answer(refusal: IntakeRefusal) -> web.Response:
    """Return the response to a call that is not served."""
    response = answer(
        STATUS[refusal.kind], RefusalAnswer(refusal.kind.value, refusal.message)
    )
    if refusal.retry_after_seconds is not None:
        response.headers["Retry-After"] = str(refusal.retry_after_seconds)
    return response


def malformed(message: str) -> web.Response:
    """Return the response to a call that makes no sense."""
    return refusal_answer(IntakeRefusal(IntakeRefusalKind.MALFORMED, message))


class Ingress:
    """Translates clients' calls for one instance."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call."""
        self.in_flight += 1
        started = self.instance.clock.boottime()
        try:
            response = await self.serve(request, started)
        finally:
            self.in_flight -= 1
        metrics = self.instance.metrics
        metrics.count("calls", method=request.method, status=str(response.status))
        metrics.observe_seconds(
            "call_seconds",
            self.instance.clock.boottime() - started,
            method=request.method,
        )
        if self.instance.stopping:
            response.force_close()
        return response

    async def serve(self, request: web.BaseRequest, started: float) -> web.Response:
        """Find out what a call is for, and serve it."""
        deadline = started + deadline_seconds(request)
        body = b""
        if request.method == "POST":
            try:
                body = await request.read()
            except web.HTTPRequestEntityTooLarge:
                return answer(413, RefusalAnswer("too_large", "the body is too large"))
        host = request.headers.get("Host", "").partition(":")[0]
        key = request.headers.get("Authorization", "").removeprefix(BEARER)
        configuration = self.instance.operators.current().configuration
        admitted = admit(configuration, host, request.path, key)
        if isinstance(admitted, Failure):
            refusal = admitted.failure()
            log.info(
                "call refused",
                path=request.path,
                reason=refusal.kind.value,
                configuration=configuration.version if configuration else None,
                age=round(
                    min(self.instance.operator_watcher.staleness_seconds(), 1e6), 3
                ),
            )
            return refusal_answer(refusal)
        caller = admitted.unwrap()
        rest = request.path.removeprefix(caller.queue.path_prefix)
        if not rest and request.method == "GET":
            count = self.instance.queue_length(caller.queue.name)
            return answer(200, CountAnswer(count))
        if not JOB_ID.fullmatch(rest):
            return malformed("a job's id has 16 hexadecimal digits")
        return await self.serve_job(request.method, caller, rest, body, deadline)

    async def serve_job(
        self, method: str, caller: Caller, job_id: str, body: bytes, deadline: float
    ) -> web.Response:
        """Serve a call for one job."""
        if method == "POST":
            return await self.submit(caller, job_id, body, deadline)
        if method == "GET":
            return state_answer(await self.instance.intake.state(job_id))
        if method == "DELETE":
            return state_answer(await self.instance.intake.cancel(job_id, deadline))
        return answer(405, RefusalAnswer("method", f"{method} is not served"))

    async def submit(
        self, caller: Caller, job_id: str, body: bytes, deadline: float
    ) -> web.Response:
        """Accept a job."""
        configuration = self.instance.operators.current().configuration
        if configuration is not None and len(body) > configuration.max_body_bytes:
            return answer(413, RefusalAnswer("too_large", "the body is too large"))
        spec = job_of(body)
        if isinstance(spec, Failure):
            return malformed(spec.failure())
        result = await self.instance.intake.submit(
            caller, job_id, spec.unwrap(), deadline
        )
        if isinstance(result, Failure):
            return refusal_answer(result.failure())
        return answer(200)


def state_answer(result: Result[JobState, IntakeRefusal]) -> web.Response:
    """Return the response with a job's state."""
    if isinstance(result, Failure):
        return refusal_answer(result.failure())
    return answer(200, StateAnswer(result.unwrap().value))


def deadline_seconds(request: web.BaseRequest) -> float:
    """Return how long the client waits."""
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        seconds = float(text) / 1000
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS
    return min(max(seconds, 0.0), LONGEST_DEADLINE_SECONDS)


def create_readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[web.BaseRequest], web.Response]:
    """Return the handler of the balancer's status checks."""

    def handle(request: web.BaseRequest) -> web.Response:
        if request.path != READINESS_PATH:
            return answer(404)
        return answer(200 if is_ready() else 503)

    return handle


def create_ingress(instance: Instance) -> Ingress:
    """Return the ingress of an instance."""
    return Ingress(instance)
