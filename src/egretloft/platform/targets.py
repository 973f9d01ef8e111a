"""Calls to the platform's runners: starts, stops and lease renewals."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.codec import UNREADABLE
from egretloft._internal.fleet.models import (
    ActiveRun,
    EndKind,
    RenewalAnswer,
    RunEnd,
    RunKey,
    StartOrder,
    StartRefusal,
    StepKey,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
    TaskKey,
)
from egretloft._internal.platform.http_call import (
    ReconnectingSession,
    create_reconnecting_session,
)
from egretloft.platform.wire import (
    WireHold,
    WireHoldAnswer,
    WireRunnerAnswer,
    WireStart,
    WireStop,
)

# A runner lists at most so many of the ends that it still holds, the oldest ones.
MAX_LISTED_ENDS = 500
OK = 200
CONFLICT = 409
OTHER_INCARNATION_STATUS = 421
UNHEALTHY_STATUSES = frozenset({429, 503})
REFUSAL_REASONS = {
    "fence": StartRefusal.FENCED,
    "old": StartRefusal.SUPERSEDED,
    "late": StartRefusal.LATE,
    "room": StartRefusal.INSUFFICIENT_RESOURCES,
    "ticket": StartRefusal.TICKET,
}

# What a row with missing or malformed columns raises.
ROW_ERRORS = (ValueError, TypeError, LookupError, OverflowError)

T = TypeVar("T")

encoder = msgspec.json.Encoder()
answer_decoder = msgspec.json.Decoder(WireRunnerAnswer)
hold_decoder = msgspec.json.Decoder(WireHoldAnswer)


def task_name(task: TaskKey) -> str:
    """Return a task's name on the wire."""
    step = task.step
    return f"{step.job_id}.{step.occurrence}.{step.step}.{task.index}"


def parse_count(value: object) -> int:
    """Return a whole number that is not negative; raises ``ValueError``."""
    number = int(str(value))
    if number < 0:
        raise ValueError(f"{number} is negative")
    return number


def parse_run(name: object, attempt: object) -> RunKey:
    """Return the run for a task's name and an attempt; raises ``ValueError``."""
    job_id, occurrence, step, index = str(name).rsplit(".", 3)
    key = StepKey(job_id, parse_count(occurrence), parse_count(step))
    return RunKey(TaskKey(key, parse_count(index)), parse_count(attempt))


def parse_active_run(row: Any) -> ActiveRun:
    """Return an active run; more columns than are used here are allowed."""
    return ActiveRun(parse_run(row[0], row[1]), str(row[2]), int(float(row[3])))


def parse_end(row: Any) -> RunEnd:
    """Return an end; more columns than are used here are allowed."""
    return RunEnd(
        parse_count(row[0]),
        parse_run(row[1], row[2]),
        EndKind(str(row[3])),
        str(row[4]),
    )


def parse_rows(rows: list[Any], parse: Callable[[Any], T]) -> list[T]:
    """Return the readable rows."""
    parsed: list[T] = []
    for row in rows:
        with contextlib.suppress(*ROW_ERRORS):
            parsed.append(parse(row))
    return parsed


class PlatformTargets:
    """Calls runners, each with its own session."""

    def __init__(self, max_lease_seconds: float) -> None:
        self.max_lease_seconds = max_lease_seconds
        self.sessions: dict[str, ReconnectingSession] = {}

    def session(self, target: TargetReport) -> ReconnectingSession:
        """Return the session of one runner."""
        session = self.sessions.get(target.target_id)
        if session is None:
            session = create_reconnecting_session()
            self.sessions[target.target_id] = session
        return session

    async def call(
        self,
        target: TargetReport,
        path: str,
        body: msgspec.Struct,
        timeout_seconds: float,
    ) -> Result[bytes, TargetFailure]:
        """Send an order and return the body of a successful answer."""
        result = await self.session(target).send_request(
            "POST",
            f"http://{target.address}{path}",
            timeout_seconds,
            encoder.encode(body),
            {
                "Content-Type": "application/json",
                "Expected-Instance": target.target_id,
            },
        )
        if isinstance(result, Failure):
            http_failure = result.failure()
            return Failure(
                TargetFailure(TargetFailureKind.UNKNOWN, http_failure.message)
            )
        answer = result.unwrap()
        if answer.status == OK:
            return Success(answer.body)
        return Failure(classify_failure(answer.status, answer.body))

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Start a run and return the target's clock."""
        body = WireStart(
            task_id=task_name(order.run.task),
            attempt=order.run.attempt,
            spec=order.payload,
            expires_at_ms=order.expires_at_ms,
            fencing_token=order.epoch,
            checkpoint=order.checkpoint,
            token=order.ticket,
        )
        result = await self.call(target, "/run-start", body, timeout_seconds)
        return result.bind(decode_target_time)

    async def stop(
        self,
        target: TargetReport,
        run: RunKey,
        epoch: int,
        timeout_seconds: float,
    ) -> Result[int, TargetFailure]:
        """Stop a run and return the target's clock."""
        body = WireStop(task_name(run.task), run.attempt, epoch)
        result = await self.call(target, "/run-stop", body, timeout_seconds)
        return result.bind(decode_target_time)

    async def renew(
        self,
        target: TargetReport,
        epoch: int,
        last_recorded_end: int,
        expires_at_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Renew the lease of all runs on the target and return what it lists."""
        body = WireHold(
            fencing_token=epoch,
            last_seen=last_recorded_end,
            expires_at_ms=expires_at_ms or 0,
            wait_ms=int(wait_seconds * 1000),
        )
        result = await self.call(target, "/hold", body, timeout_seconds)
        return result.bind(decode_renewal_answer)


def unreadable_answer(error: Exception) -> Failure[TargetFailure]:
    """Return the failure for an answer that cannot be decoded."""
    message = f"answer of the target unreadable: {error}"
    return Failure(TargetFailure(TargetFailureKind.UNKNOWN, message))


def decode_target_time(body: bytes) -> Result[int, TargetFailure]:
    """Return the runner's clock in an answer, in milliseconds."""
    try:
        return Success(math.floor(answer_decoder.decode(body).server_time_ms))
    except UNREADABLE as error:
        return unreadable_answer(error)


def decode_renewal_answer(body: bytes) -> Result[RenewalAnswer, TargetFailure]:
    """Return the active and the ended runs of a runner."""
    try:
        wire = hold_decoder.decode(body)
    except UNREADABLE as error:
        return unreadable_answer(error)
    active = parse_rows(wire.active, parse_active_run)
    ends = parse_rows(wire.finished, parse_end)
    unreadable = len(wire.active) + len(wire.finished) - len(active) - len(ends)
    return Success(
        RenewalAnswer(
            math.floor(wire.server_time_ms),
            wire.born,
            tuple(active),
            tuple(ends),
            unreadable,
            lists_all_ends=len(wire.finished) < MAX_LISTED_ENDS,
        )
    )


def classify_failure(status: int, body: bytes) -> TargetFailure:
    """Return the failure for an answer other than 200.

    Only the listed statuses and reasons prove that the target did nothing.
    """
    try:
        wire = answer_decoder.decode(body) if body else WireRunnerAnswer()
    except UNREADABLE:
        wire = WireRunnerAnswer()
    message = f"the target answered {status} {wire.reason}".rstrip()
    refusal: StartRefusal | None = None
    if status == CONFLICT:
        refusal = REFUSAL_REASONS.get(wire.reason)
    elif status == OTHER_INCARNATION_STATUS:
        refusal = StartRefusal.OTHER_INCARNATION
    elif status in UNHEALTHY_STATUSES:
        refusal = StartRefusal.UNHEALTHY
    elif status == 400:
        refusal = StartRefusal.INVALID
    refused = refusal is not None
    kind = TargetFailureKind.REFUSED if refused else TargetFailureKind.UNKNOWN
    return TargetFailure(kind, message, refusal, math.floor(wire.server_time_ms))


def create_platform_targets(max_lease_seconds: float) -> PlatformTargets:
    """Return the targets; needs a running event loop."""
    return PlatformTargets(max_lease_seconds)
