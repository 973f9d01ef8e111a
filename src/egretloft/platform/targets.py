"""Calls to the platform's runners: starts, stops and lease renewals."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.codec import UNREADABLE
from egretloft._internal.fleet.models import (
    ActiveRun,
    EndKind,
    Renewal,
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
from egretloft._internal.platform.http_call import create_reconnecting_session
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

# A connection that was opened for a call may be closed before it is used, at most so
# many times.
MAX_CONNECTION_TRIES = 4
# Calls that any incarnation of a runner may get.
ANY = 0
UNKNOWN_INCARNATION = -1
RESTARTED = TargetFailure(
    TargetFailureKind.REFUSED,
    "another incarnation of the target is there",
    StartRefusal.RESTARTED,
)
# The call needed an open connection, and there was none; never leaves this module.
UNCONNECTED = TargetFailure(TargetFailureKind.NOT_SENT, "no idle connection")

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


@dataclass(slots=True, frozen=True)
class IncarnationCall:
    """A call that only one incarnation of a runner may get, or ``ANY``.

    ``wait_seconds`` is how long the runner may wait before it answers.
    """

    path: str
    body: msgspec.Struct
    fencing_token: int
    incarnation_ms: int
    wait_seconds: float = 0.0


class Connections:
    """The connections to one runner; ``incarnation_ms`` has answered on the last ones.

    A runner that restarts at its address takes what was meant for its former
    incarnation, whose clock and end numbers mean nothing to it. So only calls without
    effect open connections, and none is used before the answer has told what
    incarnation is there. One to a former incarnation is of no use, but does no harm.
    """

    def __init__(self) -> None:
        self.session = create_reconnecting_session(traces_connections=True)
        self.incarnation_ms = UNKNOWN_INCARNATION
        # Held while a connection is opened, which may be to another incarnation.
        self.opening = asyncio.Lock()

    async def may_use(self, incarnation_ms: int, deadline: float) -> bool:
        """Return whether a call for an incarnation may use an idle connection.

        While one is being opened, this waits, until ``deadline`` of the event loop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline), self.opening:
                return incarnation_ms in (ANY, self.incarnation_ms)
        return False


class PlatformTargets:
    """Calls runners, each over its own connections.

    Deadlines are in seconds on the clock of the event loop.
    """

    def __init__(self, max_lease_seconds: float) -> None:
        self.max_lease_seconds = max_lease_seconds
        self.connections_of: dict[str, Connections] = {}

    def connections(self, target: TargetReport) -> Connections:
        """Return the connections to one runner."""
        connections = self.connections_of.get(target.target_id)
        if connections is None:
            connections = Connections()
            self.connections_of[target.target_id] = connections
        return connections

    async def call(
        self,
        target: TargetReport,
        path: str,
        body: msgspec.Struct,
        deadline: float,
        opens_connection: bool,
    ) -> Result[bytes, TargetFailure]:
        """Send a call and return the body of a successful answer.

        Without ``opens_connection`` it fails as ``UNCONNECTED`` if none is idle.
        """
        result = await self.connections(target).session.send_request(
            "POST",
            f"http://{target.address}{path}",
            deadline - asyncio.get_running_loop().time(),
            encoder.encode(body),
            {
                "Content-Type": "application/json",
                "Expected-Instance": target.target_id,
            },
            opens_connection=opens_connection,
        )
        if isinstance(result, Failure):
            http_failure = result.failure()
            if http_failure.unconnected:
                return Failure(UNCONNECTED)
            sent = http_failure.sent
            kind = TargetFailureKind.UNKNOWN if sent else TargetFailureKind.NOT_SENT
            return Failure(TargetFailure(kind, http_failure.message))
        answer = result.unwrap()
        if answer.status == OK:
            return Success(answer.body)
        return Failure(classify_failure(answer.status, answer.body))

    async def look(
        self, target: TargetReport, fencing_token: int, deadline: float
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Ask a runner for its lists, on a new connection if none is idle.

        Such a call has no effect but that of its token, whichever incarnation gets it.
        """
        connections = self.connections(target)
        try:
            async with asyncio.timeout_at(deadline):
                await connections.opening.acquire()
        except TimeoutError:
            return not_sent("no connection to the target in time")
        try:
            body = WireHold(fencing_token=fencing_token)
            result = await self.call(target, "/hold", body, deadline, True)
            answer = result.bind(decode_renewal_answer)
            # A refusal does not tell which incarnation the connection is with.
            connections.incarnation_ms = (
                UNKNOWN_INCARNATION
                if isinstance(answer, Failure)
                else answer.unwrap().incarnation_ms
            )
            return answer
        finally:
            connections.opening.release()

    async def send(
        self,
        target: TargetReport,
        call: IncarnationCall,
        deadline: float,
    ) -> Result[bytes, TargetFailure]:
        """Send a call that only one incarnation may get, or any; return the body.

        It goes over a connection on which that incarnation has answered. Without one, a
        call without effect opens it.
        """
        connections = self.connections(target)
        if await connections.may_use(call.incarnation_ms, deadline):
            result = await self.call(target, call.path, call.body, deadline, False)
            if not is_unconnected(result):
                return result
        for _ in range(MAX_CONNECTION_TRIES):
            looked = await self.look_for(target, call, deadline)
            if isinstance(looked, Failure):
                return looked
            # No other task runs between the answer and the choice of the connection,
            # so none takes the one that has just answered.
            result = await self.call(target, call.path, call.body, deadline, False)
            if not is_unconnected(result):
                return result
        return not_sent("no connection to the target was left")

    async def look_for(
        self, target: TargetReport, call: IncarnationCall, deadline: float
    ) -> Result[None, TargetFailure]:
        """Find out whether the incarnation that a call is for is there, in time."""
        looked = await self.look(
            target, call.fencing_token, deadline - call.wait_seconds
        )
        if isinstance(looked, Failure):
            return Failure(as_not_sent(looked.failure()))
        if call.incarnation_ms not in (ANY, looked.unwrap().incarnation_ms):
            return Failure(RESTARTED)
        return Success(None)

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Start a run and return the target's clock."""
        body = WireStart(
            task_id=task_name(order.run.task),
            attempt=order.run.attempt,
            spec=order.payload,
            expires_at_ms=order.expires_at_ms,
            fencing_token=order.fencing_token,
            checkpoint=order.checkpoint,
            token=order.ticket,
        )
        call = IncarnationCall(
            "/run-start", body, order.fencing_token, order.incarnation_ms
        )
        result = await self.send(target, call, deadline_after(timeout_seconds))
        return result.bind(decode_target_time)

    async def stop(
        self,
        target: TargetReport,
        run: RunKey,
        fencing_token: int,
        timeout_seconds: float,
    ) -> Result[int, TargetFailure]:
        """Stop a run and return the target's clock."""
        body = WireStop(task_name(run.task), run.attempt, fencing_token)
        call = IncarnationCall("/run-stop", body, fencing_token, ANY)
        result = await self.send(target, call, deadline_after(timeout_seconds))
        return result.bind(decode_target_time)

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Renew the lease of all runs on the target and return what it lists."""
        body = WireHold(
            fencing_token=renewal.fencing_token,
            last_seen=renewal.last_recorded_end,
            expires_at_ms=renewal.expires_at_ms or 0,
            wait_ms=int(wait_seconds * 1000),
        )
        deadline = deadline_after(timeout_seconds)
        result = await self.send_renewal(target, renewal, body, wait_seconds, deadline)
        if isinstance(result, Failure) and needs_look(result.failure()):
            look_until = deadline_after(timeout_seconds - wait_seconds)
            return await self.look(target, renewal.fencing_token, look_until)
        return result.bind(decode_renewal_answer)

    async def send_renewal(
        self,
        target: TargetReport,
        renewal: Renewal,
        body: WireHold,
        wait_seconds: float,
        deadline: float,
    ) -> Result[bytes, TargetFailure]:
        """Send a renewal; one that only asks does not open a connection for that."""
        if renewal.asks_only():
            return await self.call(target, "/hold", body, deadline, False)
        call = IncarnationCall(
            "/hold", body, renewal.fencing_token, renewal.incarnation_ms, wait_seconds
        )
        return await self.send(target, call, deadline)


def deadline_after(seconds: float) -> float:
    """Return the time of the event loop after ``seconds``."""
    return asyncio.get_running_loop().time() + seconds


def is_unconnected(result: Result[bytes, TargetFailure]) -> bool:
    """Return whether a call was not sent as no connection was open and idle."""
    return isinstance(result, Failure) and result.failure() is UNCONNECTED


def needs_look(failure: TargetFailure) -> bool:
    """Return whether only a call without effect can get the answer to a renewal."""
    return failure is UNCONNECTED or failure is RESTARTED


def not_sent(message: str) -> Failure[TargetFailure]:
    """Return the failure of a call that was certainly not sent."""
    return Failure(TargetFailure(TargetFailureKind.NOT_SENT, message))


def as_not_sent(failure: TargetFailure) -> TargetFailure:
    """Return the failure of a call without effect as that of the call it was for."""
    if failure.kind is TargetFailureKind.REFUSED:
        return failure
    return replace(failure, kind=TargetFailureKind.NOT_SENT)


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
