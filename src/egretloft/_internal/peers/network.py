"""Calls and heartbeats between the instances on the roster.

Each instance dials its members. Its calls, their answers and the other side's
heartbeats all use the connection that it dialled. So everything an instance knows
about a member comes over one stream, and an instance can reach a member that does not
know it yet. The heartbeats of instances that are connected to this one are available
too, whether or not they are members.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

import structlog
from returns.result import Failure

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.members import Member
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.peers.call_server import create_call_server
from egretloft._internal.peers.connection import Connection, create_connection
from egretloft._internal.peers.frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameType,
    encode_frame,
)
from egretloft._internal.peers.pending_calls import create_pending_calls, not_sent
from egretloft._internal.peers.protocols import (
    CallResult,
    DatedHeartbeat,
    Handler,
    HeartbeatSource,
)
from egretloft._internal.platform.protocols import Clock

TICK_SECONDS = 0.2
# Heartbeats are sent at every second tick, because each one costs a write and a read
# for every peer. Two of them still fit into SILENCE_SECONDS.
TICKS_PER_HEARTBEAT = 2
# A connection on which nothing was received for this long is closed.
SILENCE_SECONDS = 1.0
CONNECT_SECONDS = 1.0
FIRST_RECONNECT_DELAY_SECONDS = 0.1
MAX_RECONNECT_DELAY_SECONDS = 2.0
# A stopping instance waits at most this long for its peers to read the last frames.
FLUSH_SECONDS = 0.5
FLUSH_POLL_SECONDS = 0.01

log = structlog.get_logger(__name__)


@dataclass(slots=True, eq=False)
class Peer:
    """Another instance and the connection dialled to it."""

    member: Member
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None


class PeerNetwork:
    """Calls and heartbeats over streams to and from the other instances."""

    def __init__(
        self,
        instance_id: str,
        host: str,
        port: int,
        clock: Clock,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.host = host
        self.port = port
        self.clock = clock
        self.metrics = metrics
        self.generator = generator
        self.heartbeat_sources: list[HeartbeatSource] = []
        self.peers: dict[str, Peer] = {}
        self.calls = create_pending_calls(metrics)
        self.call_server = create_call_server(metrics, self._spawn)
        self.dialled: set[Connection] = set()
        self.accepted: set[Connection] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.server: asyncio.Server | None = None
        self.last_tick = clock.monotonic()
        self.ticks = 0

    async def start(self) -> None:
        """Listen on ``port`` and start heartbeats.

        If ``port`` is 0, it is set to the free port that was chosen.
        """
        self.server = await asyncio.start_server(self._accept, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self._spawn(self._run_heartbeats())

    async def stop(self) -> None:
        """Close all streams; calls in progress fail.

        Peers are told which of their calls reached a handler, so that they can retry
        the others elsewhere.
        """
        if self.server is not None:
            self.server.close()
        await self._send_goodbyes()
        self.set_members(())
        for connection in self.dialled | self.accepted:
            connection.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _send_goodbyes(self) -> None:
        """Handle no further call and wait until the peers have read the goodbyes."""
        self.call_server.stopping = True
        for connection in self.accepted:
            connection.offer(self.call_server.goodbye_frame(connection))
        # A peer closes its stream when it reads the goodbye; by then it has read all
        # answers.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_SECONDS):
                while any(connection.instance_id for connection in self.accepted):
                    await asyncio.sleep(FLUSH_POLL_SECONDS)

    def register(self, call_type: str, handler: Handler) -> None:
        """Let ``handler`` answer calls of type ``call_type``."""
        self.call_server.handlers[call_type] = handler

    def set_members(self, members: Collection[Member]) -> None:
        """Connect to new members and close the streams to those that are gone."""
        wanted = {m.instance_id: m for m in members}
        wanted.pop(self.instance_id, None)
        for instance_id, peer in list(self.peers.items()):
            if wanted.get(instance_id) != peer.member:
                del self.peers[instance_id]
                if peer.task is not None:
                    peer.task.cancel()
                if peer.connection is not None:
                    peer.connection.close()
        for instance_id, member in wanted.items():
            if instance_id not in self.peers:
                peer = Peer(member)
                self.peers[instance_id] = peer
                peer.task = self._spawn(self._keep_connected(peer))

    def is_alive(self, instance_id: str) -> bool:
        """Return whether the instance was heard from within ``SILENCE_SECONDS``."""
        if instance_id == self.instance_id:
            return True
        peer = self.peers.get(instance_id)
        return (
            peer is not None
            and peer.connection is not None
            and not self._is_silent(peer.connection)
        )

    def alive_ids(self) -> set[str]:
        """Return the instances that were heard from recently, on any stream."""
        return {
            connection.instance_id
            for connection in self.dialled | self.accepted
            if connection.instance_id and not self._is_silent(connection)
        }

    def last_heartbeat(self, instance_id: str) -> dict[str, Any]:
        """Return the body of the last heartbeat, empty if the peer is not alive."""
        if instance_id == self.instance_id:
            return self._heartbeat_body()
        peer = self.peers.get(instance_id)
        if peer is None or peer.connection is None or not self.is_alive(instance_id):
            return {}
        return peer.connection.heartbeat or {}

    def inbound_heartbeats(self) -> list[dict[str, Any]]:
        """Return the bodies of the last heartbeats on live streams that others opened.

        A stream on which no heartbeat has arrived yet is left out.
        """
        return [
            connection.heartbeat
            for connection in self.accepted
            if connection.heartbeat is not None and not self._is_silent(connection)
        ]

    def dated_heartbeats(self) -> list[DatedHeartbeat]:
        """Return the last heartbeat of each live peer, on any stream."""
        newest: dict[str, Connection] = {}
        for connection in self.dialled | self.accepted:
            if connection.heartbeat is None or self._is_silent(connection):
                continue
            other = newest.get(connection.instance_id)
            if other is None or other.heartbeat_at < connection.heartbeat_at:
                newest[connection.instance_id] = connection
        now = self.clock.monotonic()
        return [
            DatedHeartbeat(
                instance_id, connection.heartbeat or {}, now - connection.heartbeat_at
            )
            for instance_id, connection in newest.items()
        ]

    async def call(
        self,
        instance_id: str,
        call_type: str,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> CallResult:
        """Call a handler of another instance, or of this one."""
        result = await self._call(instance_id, call_type, body, timeout_seconds)
        if isinstance(result, Failure):
            failure = result.failure()
            self.metrics.count(
                "peer_call_failures",
                call=call_type,
                kind=failure.kind.value,
                reason=failure.reason.value,
            )
        return result

    async def _call(
        self,
        instance_id: str,
        call_type: str,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> CallResult:
        if instance_id == self.instance_id:
            return await self.call_server.call_local(
                instance_id, call_type, body, timeout_seconds
            )
        peer = self.peers.get(instance_id)
        if (
            peer is None
            or peer.connection is None
            or peer.connection.closed
            or peer.connection.peer_is_stopping
        ):
            return not_sent(
                Reason.PEER_UNREACHABLE, f"no connection to instance {instance_id}"
            )
        return await self.calls.send_and_wait(
            instance_id, peer.connection, call_type, body, timeout_seconds
        )

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _is_silent(self, connection: Connection) -> bool:
        return (
            connection.closed
            or self.clock.monotonic() - connection.last_received > SILENCE_SECONDS
        )

    def _heartbeat_body(self) -> dict[str, Any]:
        body: dict[str, Any] = {}
        for source in self.heartbeat_sources:
            body.update(source())
        return body

    async def _run_heartbeats(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                # A heartbeat source that raises is a defect. The loop goes on, because
                # without heartbeats all peers would take this instance for dead.
                self.metrics.count("peer_heartbeat_errors")
                log.exception("peer heartbeat tick failed")
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = self.clock.monotonic()
        # If this process was paused, frames that arrived meanwhile are still unread. So
        # connections are checked for silence only at the next tick.
        paused = now - self.last_tick > SILENCE_SECONDS / 2
        self.last_tick = now
        for connection in self.dialled | self.accepted:
            no_hello = (
                not connection.instance_id
                and now - connection.opened_at > SILENCE_SECONDS
            )
            if not paused and (no_hello or self._is_silent(connection)):
                self.metrics.count("peer_connections_silent")
                connection.close()
        self.ticks += 1
        if self.ticks % TICKS_PER_HEARTBEAT == 0:
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        # A heartbeat that does not fit into a full buffer is not needed: the frames in
        # it show that this instance is alive.
        empty_heartbeat = encode_frame(FrameType.HEARTBEAT).unwrap()
        heartbeat_frame = encode_frame(FrameType.HEARTBEAT, body=self._heartbeat_body())
        if isinstance(heartbeat_frame, Failure):
            self.metrics.count("peer_heartbeat_errors")
            log.error(
                "sending heartbeat without its body", error=heartbeat_frame.failure()
            )
        frame = heartbeat_frame.value_or(empty_heartbeat)
        for connection in self.dialled | self.accepted:
            connection.offer(frame)

    def _hello_frame(self, expected: str) -> bytes:
        body = {
            "instance_id": self.instance_id,
            "protocol_version": PROTOCOL_VERSION,
            "expected": expected,
        }
        return encode_frame(FrameType.HELLO, body=body).unwrap()

    def _refuse_frame(self, connection: Connection, reason: str) -> None:
        self.metrics.count("peer_frames_refused", reason=reason)
        connection.close()

    def _accept_hello(self, connection: Connection, frame: Frame) -> str | None:
        """Return the sender of a hello; close the stream if the hello is invalid."""
        sender = frame.body.get("instance_id")
        if frame.t is not FrameType.HELLO or not isinstance(sender, str) or not sender:
            self._refuse_frame(connection, "no_hello")
            return None
        if frame.body.get("protocol_version") != PROTOCOL_VERSION:
            self._refuse_frame(connection, "unknown_version")
            return None
        return sender

    # The dialling side

    async def _keep_connected(self, peer: Peer) -> None:
        delay = FIRST_RECONNECT_DELAY_SECONDS
        while True:
            if await self._dial(peer):
                delay = FIRST_RECONNECT_DELAY_SECONDS
            await asyncio.sleep(delay * self.generator.uniform(0.75, 1.25))
            delay = min(MAX_RECONNECT_DELAY_SECONDS, delay * 2)

    async def _dial(self, peer: Peer) -> bool:
        """Connect to a peer and serve the connection until it ends.

        Returns whether the peer sent a valid hello.
        """
        host, _, port = peer.member.peer_address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
            self.metrics.count("peer_connect_failures")
            return False
        connection = create_connection(reader, writer, self.clock, self.metrics)
        self.dialled.add(connection)
        connection.offer(self._hello_frame(expected=peer.member.instance_id))
        try:
            await connection.serve(
                lambda frame: self._on_dialled_frame(peer, connection, frame)
            )
        finally:
            self.dialled.discard(connection)
            if peer.connection is connection:
                peer.connection = None
            self.calls.fail(connection)
        return bool(connection.instance_id)

    def _on_dialled_frame(
        self, peer: Peer, connection: Connection, frame: Frame
    ) -> None:
        if not connection.instance_id:
            sender = self._accept_hello(connection, frame)
            if sender is None:
                return
            if sender != peer.member.instance_id:
                # The address now belongs to another instance.
                self._refuse_frame(connection, "wrong_instance")
                return
            connection.instance_id = sender
            peer.connection = connection
        elif frame.t is FrameType.HEARTBEAT:
            connection.on_heartbeat(frame.body)
        elif frame.t in {FrameType.ANSWER, FrameType.REFUSED, FrameType.FAILED}:
            self.calls.on_answer(connection, frame)
        elif frame.t is FrameType.GOODBYE:
            self.calls.on_goodbye(connection, frame)
        else:
            self._refuse_frame(connection, "unexpected_type")

    # The accepting side

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = create_connection(reader, writer, self.clock, self.metrics)
        self.accepted.add(connection)
        try:
            await connection.serve(
                lambda frame: self._on_accepted_frame(connection, frame)
            )
        finally:
            self.accepted.discard(connection)

    def _on_accepted_frame(self, connection: Connection, frame: Frame) -> None:
        if not connection.instance_id:
            sender = self._accept_hello(connection, frame)
            if sender is None:
                return
            if frame.body.get("expected") != self.instance_id:
                self._refuse_frame(connection, "wrong_instance")
                return
            connection.instance_id = sender
            connection.offer(self._hello_frame(expected=sender))
        elif frame.t is FrameType.CALL:
            self.call_server.on_call(connection, frame)
        elif frame.t is FrameType.HEARTBEAT:
            connection.on_heartbeat(frame.body)
        else:
            self._refuse_frame(connection, "unexpected_type")


def create_peer_network(
    instance_id: str,
    host: str,
    port: int,
    clock: Clock,
    metrics: Metrics,
    generator: random.Random,
) -> PeerNetwork:
    """Return a network that is not started; ``port`` 0 means any free port."""
    return PeerNetwork(instance_id, host, port, clock, metrics, generator)
