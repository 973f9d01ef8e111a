"""HTTP interface for clients and the load balancer's readiness checks."""

from __future__ import annotations

import math
import re
from collections.abc import Callable

import msgspec
import structlog
from aiohttp import web
from returns.result import Failure, Result

from egretloft._internal.fleet.admission import Admission
from egretloft._internal.fleet.instance import Instance
from egretloft._internal.fleet.intake import (
    Caller,
    IntakeRefusal,
    IntakeRefusalKind,
)
from egretloft._internal.fleet.models import JobState
from egretloft.platform.decoding import decode_job

log = structlog.get_logger(__name__)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "Deadline-Ms"
DEFAULT_DEADLINE_SECONDS = 3.0
MAX_DEADLINE_SECONDS = 60.0
BEARER = "Bearer "
READINESS_PATH = "/readyz"
REFUSAL_STATUSES = {
    IntakeRefusalKind.NO_CONFIGURATION: 503,
    IntakeRefusalKind.OUTDATED_CONFIGURATION: 503,
    IntakeRefusalKind.UNKNOWN_QUEUE: 404,
    IntakeRefusalKind.UNKNOWN_KEY: 401,
    IntakeRefusalKind.MALFORMED: 400,
    IntakeRefusalKind.STORE_UNAVAILABLE: 503,
    IntakeRefusalKind.OUTCOME_UNKNOWN: 504,
    IntakeRefusalKind.NO_SUCH_JOB: 410,
    IntakeRefusalKind.CANCELLED: 503,
    IntakeRefusalKind.UNSUPPORTED: 503,
}


class StateAnswer(msgspec.Struct):
    """Body of the answer to a query for a job's state."""

    state: str


class CountAnswer(msgspec.Struct):
    """Body of the answer to a query for a queue's length."""

    pending: int


class RefusalAnswer(msgspec.Struct):
    """Body of the answer to a call that was refused."""

    reason: str
    message: str


def answer(status: int, body: msgspec.Struct | None = None) -> web.Response:
    """Return a JSON response; the body is an empty object by default."""
    data = msgspec.json.encode(body) if body is not None else b"{}"
    return web.Response(status=status, body=data, content_type="application/json")


def refusal_answer(refusal: IntakeRefusal) -> web.Response:
    """Return the response to a refused call."""
    response = answer(
        REFUSAL_STATUSES[refusal.kind],
        RefusalAnswer(refusal.kind.value, refusal.message),
    )
    if refusal.retry_after_seconds is not None:
        response.headers["Retry-After"] = str(refusal.retry_after_seconds)
    return response


def malformed_answer(message: str) -> web.Response:
    """Return the response to a malformed call."""
    return refusal_answer(IntakeRefusal(IntakeRefusalKind.MALFORMED, message))


class Ingress:
    """Serves clients' calls to one instance."""

    def __init__(self, instance: Instance, admission: Admission) -> None:
        self.instance = instance
        self.admission = admission
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call and record its metrics."""
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
        """Check the caller's key and route the call by its path and method."""
        deadline = started + seconds_to_deadline(
            request.headers.get(DEADLINE_HEADER, "")
        )
        body = b""
        if request.method == "POST":
            try:
                body = await request.read()
            except web.HTTPRequestEntityTooLarge:
                return answer(413, RefusalAnswer("too_large", "the body is too large"))
        host = request.headers.get("Host", "").partition(":")[0]
        key = request.headers.get("Authorization", "").removeprefix(BEARER)
        admitted = self.admission.admit(host, request.path, key)
        if isinstance(admitted, Failure):
            refusal = admitted.failure()
            configuration = self.instance.operators.current().configuration
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
            return malformed_answer("a job's id has 16 hexadecimal digits")
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
        """Submit the job in the body."""
        configuration = self.instance.operators.current().configuration
        if configuration is not None and len(body) > configuration.max_body_bytes:
            return answer(413, RefusalAnswer("too_large", "the body is too large"))
        spec = decode_job(body)
        if isinstance(spec, Failure):
            return malformed_answer(spec.failure())
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


def seconds_to_deadline(text: str) -> float:
    """Return how many seconds the client waits for the answer, by its header."""
    try:
        seconds = float(text) / 1000
    except ValueError:
        return DEFAULT_DEADLINE_SECONDS
    if math.isnan(seconds):
        return DEFAULT_DEADLINE_SECONDS
    return min(max(seconds, 0.0), MAX_DEADLINE_SECONDS)


def create_readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[web.BaseRequest], web.Response]:
    """Return the handler of the load balancer's readiness checks."""

    def handle(request: web.BaseRequest) -> web.Response:
        if request.path != READINESS_PATH:
            return answer(404)
        return answer(200 if is_ready() else 503)

    return handle


def create_ingress(instance: Instance, in_force_seconds: float) -> Ingress:
    """Return the ingress of an instance.

    Changes of the configuration have to be in force after ``in_force_seconds``.
    """
    return Ingress(instance, instance.create_admission(in_force_seconds))
