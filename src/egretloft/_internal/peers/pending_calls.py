"""Outgoing calls to other instances and their answers."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.peers.connection import Connection, OutgoingFrame
from egretloft._internal.peers.frames import Frame, FrameType, encode_frame
from egretloft._internal.peers.protocols import (
    CallResult,
    PeerFailure,
    PeerFailureKind,
)


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call on one connection that waits for its answer."""

    connection: Connection
    outgoing: OutgoingFrame
    future: asyncio.Future[CallResult]


def not_sent(reason: Reason, message: str) -> Failure[PeerFailure]:
    """Return the failure of a call that had no effect."""
    return Failure(PeerFailure(PeerFailureKind.NOT_SENT, reason, message))


def unanswered(message: str) -> Failure[PeerFailure]:
    """Return the failure of a call that may have had an effect."""
    return Failure(
        PeerFailure(PeerFailureKind.UNKNOWN, Reason.PEER_UNREACHABLE, message)
    )


class PendingCalls:
    """The outgoing calls in progress on all connections, by call id."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.pending: dict[int, PendingCall] = {}
        self.call_ids = itertools.count(1)

    async def send_and_wait(
        self,
        instance_id: str,
        connection: Connection,
        call_type: str,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> CallResult:
        """Send a call over a connection and wait for its answer."""
        call_id = next(self.call_ids)
        encoded = encode_frame(FrameType.CALL, call_id, call_type, body)
        if isinstance(encoded, Failure):
            return not_sent(Reason.TOO_LARGE, encoded.failure())
        outgoing = connection.offer(encoded.unwrap())
        if outgoing is None:
            return not_sent(
                Reason.PEER_OVERLOADED,
                f"too many frames wait to be sent to instance {instance_id}",
            )
        future: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        self.pending[call_id] = PendingCall(connection, outgoing, future)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await future
        except TimeoutError:
            message = f"instance {instance_id} did not answer in {timeout_seconds} s"
            if connection.withdraw(outgoing):
                return not_sent(Reason.PEER_OVERLOADED, message)
            return unanswered(message)
        finally:
            connection.withdraw(outgoing)
            del self.pending[call_id]

    def fail(self, connection: Connection) -> None:
        """Fail the calls on a connection that was lost."""
        for call in self.pending.values():
            if call.connection is connection and not call.future.done():
                message = "the connection was lost"
                call.future.set_result(
                    unanswered(message)
                    if call.outgoing.written
                    else not_sent(Reason.PEER_UNREACHABLE, message)
                )

    def on_answer(self, connection: Connection, frame: Frame) -> None:
        """Complete the call that an answer belongs to."""
        call = self.pending.get(frame.id)
        if call is None or call.connection is not connection or call.future.done():
            # The answer is late (the call timed out) or a duplicate.
            self.metrics.count("peer_answers_dropped")
            return
        message = str(frame.body.get("message", ""))
        if frame.t is FrameType.ANSWER:
            call.future.set_result(Success(frame.body))
        elif frame.t is FrameType.FAILED:
            call.future.set_result(unanswered(message))
        else:
            reason = frame.body.get("reason")
            call.future.set_result(
                not_sent(
                    Reason(reason)
                    if reason in set(Reason)
                    else Reason.PEER_UNREACHABLE,
                    message,
                )
            )

    def on_goodbye(self, connection: Connection, frame: Frame) -> None:
        """Fail the calls that reached no handler of the stopping peer as not sent.

        All answers arrive before the goodbye. Calls whose handlers are still running
        end with an unknown outcome when the stream closes.
        """
        connection.peer_is_stopping = True
        in_progress = frame.body.get("in_progress")
        handled = set(in_progress) if isinstance(in_progress, list) else None
        for call_id, call in self.pending.items():
            if call.connection is not connection or call.future.done():
                continue
            if handled is None or call_id in handled:
                continue
            call.future.set_result(
                not_sent(Reason.PEER_UNREACHABLE, "the instance is stopping")
            )
        connection.close()


def create_pending_calls(metrics: Metrics) -> PendingCalls:
    """Return an object without calls in progress."""
    return PendingCalls(metrics)
