"""Handlers of ``/v1/jobs``."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web
from returns.result import Failure, Success

from egretloft._internal.border.jobs import Submission, decode_cancel, decode_job
from egretloft._internal.gangs.service import CancelOutcome, JobService
from egretloft._internal.http.bodies import read_body
from egretloft._internal.http.responses import refusal_response
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.jobs import JobRecord
from egretloft._internal.models.outcomes import Reason, Refusal, not_run
from egretloft._internal.platform.protocols import Clock


class JobHandlers:
    """Handlers that call the job service of this instance."""

    def __init__(self, service: JobService, clock: Clock, metrics: Metrics) -> None:
        self.service = service
        self.clock = clock
        self.metrics = metrics

    async def submit(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/jobs``."""
        body = await read_body(request)
        match body.bind(lambda data: decode_job(data, self.clock.wall())):
            case Success(Submission(spec, key)):
                result = await self.service.submit(spec, key)
            case Failure(refusal):
                return self._refuse(refusal)
        match result:
            case Success(record):
                return web.json_response(job_json(record), status=202)
            case Failure(refusal):
                return self._refuse(refusal)
        raise AssertionError("a result is a success or a failure")

    async def get(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/jobs/{id}``."""
        match await self.service.get(request.match_info["id"]):
            case Success(record):
                return web.json_response(job_json(record))
            case Failure(refusal):
                return self._refuse(refusal)
        raise AssertionError("a result is a success or a failure")

    async def list_jobs(self, request: web.Request) -> web.Response:
        """Answer ``GET /v1/jobs?organisation=`` with the jobs without their results."""
        organisation = request.query.get("organisation", "")
        if not organisation:
            return self._refuse(
                not_run(
                    Reason.MALFORMED,
                    "organisation is missing",
                    "name it in the query, ?organisation=",
                )
            )
        match await self.service.list_jobs(organisation):
            case Success(records):
                jobs = [job_json(record, results=False) for record in records]
                return web.json_response({"jobs": jobs})
            case Failure(refusal):
                return self._refuse(refusal)
        raise AssertionError("a result is a success or a failure")

    async def cancel(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/jobs/{id}/cancel``."""
        match await self.service.cancel([request.match_info["id"]]):
            case Success((CancelOutcome(record=JobRecord() as record),)):
                return web.json_response(job_json(record), status=202)
            case Success((CancelOutcome(refusal=Refusal() as refusal),)):
                return self._refuse(refusal)
            case Failure(refusal):
                return self._refuse(refusal)
        raise AssertionError("an outcome has a record or a refusal")

    async def cancel_many(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/jobs/cancel`` with an outcome for each id."""
        body = await read_body(request)
        match body.bind(decode_cancel):
            case Success(job_ids):
                result = await self.service.cancel(job_ids)
            case Failure(refusal):
                return self._refuse(refusal)
        match result:
            case Success(outcomes):
                for outcome in outcomes:
                    if outcome.refusal is not None:
                        reason = outcome.refusal.reason.value
                        self.metrics.count("refusals", reason=reason)
                jobs = [cancel_outcome_json(outcome) for outcome in outcomes]
                return web.json_response({"jobs": jobs}, status=202)
            case Failure(refusal):
                return self._refuse(refusal)
        raise AssertionError("a result is a success or a failure")

    def _refuse(self, refusal: Refusal) -> web.Response:
        return refusal_response(refusal, self.metrics)


def job_json(record: JobRecord, *, results: bool = True) -> dict[str, Any]:
    """Return a job as a JSON object; times are Unix seconds, 0 if not set."""
    spec = record.spec
    fields: dict[str, Any] = {
        "job_id": spec.job_id,
        "organisation": spec.organisation,
        "profile": spec.profile,
        "service": spec.service,
        "region": spec.region,
        "state": record.state.value,
        "attempt": record.attempt,
        "tasks": spec.tasks,
        "accelerators_per_task": spec.accelerators_per_task,
        "priority": spec.priority.value,
        "zone": record.zone,
        "placement": msgspec.to_builtins(record.placement),
        "cancel_requested": record.cancel_requested,
        "submitted_at": spec.submitted_at,
        "started_at": record.started_at,
        "ended_at": record.ended_at,
        "reason": record.reason,
        "message": record.message,
    }
    if results:
        fields["results"] = list(record.results)
    return fields


def cancel_outcome_json(outcome: CancelOutcome) -> dict[str, Any]:
    """Return the JSON object for one id: the job's state, or the refusal."""
    if outcome.record is not None:
        return {"job_id": outcome.job_id, "state": outcome.record.state.value}
    return {"job_id": outcome.job_id, "refusal": msgspec.to_builtins(outcome.refusal)}


def add_routes(
    app: web.Application, service: JobService, clock: Clock, metrics: Metrics
) -> None:
    """Add the routes of ``/v1/jobs`` to ``app``."""
    handlers = JobHandlers(service, clock, metrics)
    app.router.add_post("/v1/jobs", handlers.submit)
    app.router.add_get("/v1/jobs", handlers.list_jobs)
    app.router.add_post("/v1/jobs/cancel", handlers.cancel_many)
    app.router.add_get("/v1/jobs/{id}", handlers.get)
    app.router.add_post("/v1/jobs/{id}/cancel", handlers.cancel)
