"""Runs the handlers of incoming calls and sends their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from returns.result import Failure, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.peers.connection import Connection
from egretloft._internal.peers.frames import Frame, FrameType, encode_frame
from egretloft._internal.peers.pending_calls import not_sent, unanswered
from egretloft._internal.peers.protocols import CallResult, Handler

# Limit of the calls in progress on one connection; further calls are refused before
# they reach a handler.
MAX_CALLS_IN_PROGRESS = 1_024

log = structlog.get_logger(__name__)

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class CallServer:
    """Runs the handlers of calls until ``stopping`` is set."""

    def __init__(self, metrics: Metrics, spawn: Spawn) -> None:
        self.metrics = metrics
        self.spawn = spawn
        self.handlers: dict[str, Handler] = {}
        self.stopping = False

    def goodbye_frame(self, connection: Connection) -> bytes:
        """Return the goodbye frame, which lists the peer's calls in progress."""
        body = {"in_progress": sorted(connection.calls_in_progress)}
        return encode_frame(FrameType.GOODBYE, body=body).unwrap()

    async def call_local(
        self,
        instance_id: str,
        call_type: str,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> CallResult:
        """Call a handler of this instance directly."""
        handler = self.handlers.get(call_type)
        if handler is None:
            return not_sent(Reason.MALFORMED, f"no handler for {call_type}")
        try:
            async with asyncio.timeout(timeout_seconds):
                return Success(await handler(instance_id, body))
        except TimeoutError:
            return unanswered(f"no answer in {timeout_seconds} s")

    def on_call(self, connection: Connection, frame: Frame) -> None:
        """Start the handler of a call, or refuse the call."""
        if self.stopping:
            # For calls that the goodbye does not list, the peer reports ``not_sent``.
            return
        handler = self.handlers.get(frame.name)
        if handler is None:
            self.metrics.count("peer_calls_refused", reason="unknown_call_type")
            refusal = Reason.MALFORMED, f"no handler for calls of type {frame.name}"
        elif len(connection.calls_in_progress) >= MAX_CALLS_IN_PROGRESS:
            self.metrics.count("peer_calls_refused", reason="peer_overloaded")
            refusal = Reason.PEER_OVERLOADED, "too many calls in progress"
        else:
            connection.calls_in_progress.add(frame.id)
            self.spawn(self.run_handler(connection, frame, handler))
            return
        body = {"reason": refusal[0].value, "message": refusal[1]}
        # Dropped if the buffer is full; the caller then gets a timeout.
        connection.offer(encode_frame(FrameType.REFUSED, frame.id, body=body).unwrap())

    async def run_handler(
        self, connection: Connection, frame: Frame, handler: Handler
    ) -> None:
        """Run the handler of a call and send its answer."""
        try:
            answer = await self.handle(connection, frame, handler)
            await connection.offer_when_room(answer)
        finally:
            # The call stays in progress until its answer is buffered. Otherwise a
            # goodbye sent before that would let the caller repeat a handled call.
            connection.calls_in_progress.discard(frame.id)

    async def handle(
        self, connection: Connection, frame: Frame, handler: Handler
    ) -> bytes:
        """Run the handler and return its answer, or a failure, as an encoded frame."""
        try:
            body = await handler(connection.instance_id, frame.body)
        except Exception as error:
            # Handlers return refusals as values, so an exception is a defect.
            self.metrics.count("peer_handler_errors", call=frame.name)
            log.exception("peer call handler failed", call=frame.name)
            return failed_frame(frame.id, f"the handler failed: {type(error).__name__}")
        answer = encode_frame(FrameType.ANSWER, frame.id, body=body)
        if isinstance(answer, Failure):
            return failed_frame(frame.id, answer.failure())
        return answer.unwrap()


def failed_frame(call_id: int, message: str) -> bytes:
    """Return an encoded failure of a call that may have had an effect."""
    return encode_frame(FrameType.FAILED, call_id, body={"message": message}).unwrap()


def create_call_server(metrics: Metrics, spawn: Spawn) -> CallServer:
    """Return a server without handlers; ``spawn`` runs a coroutine as a task."""
    return CallServer(metrics, spawn)
