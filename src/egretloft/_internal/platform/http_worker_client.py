"""Calls to workers over HTTP with JSON bodies."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

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
    Renewal,
    TaskReport,
    TaskStart,
    UsageRecord,
)

T = TypeVar("T")


class CheckpointAnswer(msgspec.Struct):
    """Body of an answer to a checkpoint call."""

    task_id: str
    checkpoint: str


class HttpWorkerClient:
    """A ``WorkerClient`` for all workers."""

    def __init__(self, session: aiohttp.ClientSession, timeout_seconds: float) -> None:
        self.session = session
        self.timeout_seconds = timeout_seconds

    async def start(
        self, address: str, start: TaskStart
    ) -> Result[TaskReport, CallFailure]:
        """Start a task; a task id that was seen before is not started twice."""
        result = await self._call(address, "POST", "/tasks/start", start, TaskReport)
        return _check_task_id(result, start.task_id)

    async def renew(
        self, address: str, renewals: Sequence[Renewal]
    ) -> Result[tuple[TaskReport, ...], CallFailure]:
        """Renew leases; the reports are in the order of the renewals."""
        body = {"renewals": list(renewals)}
        result = await self._call(
            address, "POST", "/tasks/renew", body, tuple[TaskReport, ...]
        )
        match result:
            case Success(reports) if [report.task_id for report in reports] != [
                renewal.task_id for renewal in renewals
            ]:
                return unknown_outcome("the reports do not match the renewed tasks")
        return result

    async def checkpoint(self, address: str, task_id: str) -> Result[str, CallFailure]:
        """Write a checkpoint and return its name."""
        body = {"task_id": task_id}
        result = await self._call(
            address, "POST", "/tasks/checkpoint", body, CheckpointAnswer
        )
        match result:
            case Success(answer) if answer.task_id != task_id:
                return unknown_outcome("got the checkpoint of another task")
        return result.map(lambda answer: answer.checkpoint)

    async def stop(self, address: str, task_id: str) -> Result[TaskReport, CallFailure]:
        """Stop a task; also prevents a later start of the same task id."""
        body = {"task_id": task_id}
        result = await self._call(address, "POST", "/tasks/stop", body, TaskReport)
        return _check_task_id(result, task_id)

    async def list_tasks(
        self, address: str
    ) -> Result[tuple[TaskReport, ...], CallFailure]:
        """Return the tasks that the worker remembers."""
        return await self._call(address, "GET", "/tasks", None, tuple[TaskReport, ...])

    async def usage(
        self, address: str, after: int
    ) -> Result[tuple[UsageRecord, ...], CallFailure]:
        """Return usage records with a sequence above ``after``."""
        result = await self._call(
            address, "GET", f"/usage?after={after}", None, tuple[UsageRecord, ...]
        )
        match result:
            case Success(records) if any(item.sequence <= after for item in records):
                return unknown_outcome("got usage records that were read before")
        return result

    async def _call(
        self, address: str, method: str, path: str, body: object, type_: type[T]
    ) -> Result[T, CallFailure]:
        result = await send_request(
            self.session,
            method,
            f"http://{address}{path}",
            self.timeout_seconds,
            None if body is None else msgspec.json.encode(body),
            None if body is None else {"Content-Type": "application/json"},
        )
        match result:
            case Success(answer) if answer.status == 200:
                try:
                    return Success(msgspec.json.decode(answer.body, type=type_))
                except (msgspec.DecodeError, RecursionError) as error:
                    return unknown_outcome(f"unreadable answer: {error}")
        return classify_failure(result)


def _check_task_id(
    result: Result[TaskReport, CallFailure], task_id: str
) -> Result[TaskReport, CallFailure]:
    match result:
        case Success(report) if report.task_id != task_id:
            return unknown_outcome(f"asked for task {task_id}, got {report.task_id}")
    return result


def create_http_worker_client(
    session: aiohttp.ClientSession, timeout_seconds: float = 2.0
) -> HttpWorkerClient:
    """Return a client for all workers; each call is bounded by the timeout."""
    return HttpWorkerClient(session, timeout_seconds)
