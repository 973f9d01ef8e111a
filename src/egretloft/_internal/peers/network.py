"""Calls and heartbeats between the instances on the roster.

Each instance dials every other one. Its calls, their answers and the other side's
heartbeats all use the connection that it dialled, so what an instance knows about a
peer comes over one stream, and neither side depends on being known to the other.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Collection
from dataclasses import dataclass, field
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
    Handler,
    HeartbeatSource,
)
from egretloft._internal.platform.protocols import Clock

TICK_SECONDS = 0.2
# Heartbeats go out at every second tick. Each one costs a write and a read at every
# peer, and two of them still fit into the time after which a stream counts as silent.
TICKS_PER_HEARTBEAT = 2
SILENCE_SECONDS = 1.0
CONNECT_SECONDS = 1.0
FIRST_RECONNECT_SECONDS = 0.1
LAST_RECONNECT_SECONDS = 2.0
# A stop waits at most this long for the last frames to be written and read.
FLUSH_SECONDS = 0.5
FLUSH_POLL_SECONDS = 0.01

log = structlog.get_logger(__name__)


@dataclass(slots=True, eq=False)
class Peer:
    """Another instance and the connection dialled to it."""

    member: Member
    connection: Connection | None = None
    heartbeat: dict[str, Any] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


class PeerNetwork:
    """Streams to and from the other instances."""

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
        """Listen on the port (0: any, see ``port``) and start heartbeats."""
        self.server = await asyncio.start_server(self._accept, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self._spawn(self._beat())

    async def stop(self) -> None:
        """Close all streams; calls in progress fail.

        Peers learn which of their calls reached no handler, so that they may repeat
        them elsewhere.
        """
        if self.server is not None:
            self.server.close()
        await self._say_goodbye()
        self.set_members(())
        for connection in self.dialled | self.accepted:
            connection.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _say_goodbye(self) -> None:
        """Handle no further call, and wait until the peers have been told."""
        self.call_server.stopping = True
        for connection in self.accepted:
            connection.offer(self.call_server.goodbye(connection))
        # A peer closes a stream after the goodbye; only then has it read all answers.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_SECONDS):
                while any(connection.instance_id for connection in self.accepted):
                    await asyncio.sleep(FLUSH_POLL_SECONDS)

    def register(self, call_type: str, handler: Handler) -> None:
        """Let ``handler`` answer calls of ``call_type``."""
        self.call_server.handlers[call_type] = handler

    def set_members(self, members: Collection[Member]) -> None:
        """Dial new members and drop the streams to those that are gone."""
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
        """Return whether the instance was heard within ``SILENCE_SECONDS``."""
        if instance_id == self.instance_id:
            return True
        peer = self.peers.get(instance_id)
        return (
            peer is not None
            and peer.connection is not None
            and not self._is_silent(peer.connection)
        )

    def last_heartbeat(self, instance_id: str) -> dict[str, Any]:
        """Return the body of the last heartbeat, empty when not alive."""
        if instance_id == self.instance_id:
            return self._heartbeat_body()
        peer = self.peers.get(instance_id)
        return peer.heartbeat if peer and self.is_alive(instance_id) else {}

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
            or peer.connection.peer_stops
        ):
            return not_sent(
                Reason.PEER_UNREACHABLE, f"no connection to instance {instance_id}"
            )
        return await self.calls.make(
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

    async def _beat(self) -> None:
        while True:
            try:
                self._tick()
            except Exception:
                # A heartbeat source that raises is a defect; without heartbeats
                # all peers would take this instance for dead.
                self.metrics.count("peer_heartbeat_errors")
                log.exception("heartbeat failed")
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = self.clock.monotonic()
        # After a pause of this process the frames that arrived meanwhile are still
        # unread, so silence is judged only at the next tick.
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
        # A full buffer needs no heartbeat, the frames in it show that we are alive.
        ping = encode_frame(FrameType.HEARTBEAT).unwrap()
        for connection in self.dialled:
            connection.offer(ping)
        beat = encode_frame(FrameType.HEARTBEAT, body=self._heartbeat_body())
        if isinstance(beat, Failure):
            self.metrics.count("peer_heartbeat_errors")
            log.error("heartbeat body not sent", error=beat.failure())
        for connection in self.accepted:
            connection.offer(beat.value_or(ping))

    def _hello(self, expected: str) -> bytes:
        body = {
            "instance_id": self.instance_id,
            "protocol_version": PROTOCOL_VERSION,
            "expected": expected,
        }
        return encode_frame(FrameType.HELLO, body=body).unwrap()

    def _refuse_frame(self, connection: Connection, reason: str) -> None:
        self.metrics.count("peer_frames_refused", reason=reason)
        connection.close()

    def _hello_sender(self, connection: Connection, frame: Frame) -> str | None:
        """Return who said hello; the stream is closed if that is not acceptable."""
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
        delay = FIRST_RECONNECT_SECONDS
        while True:
            if await self._dial(peer):
                delay = FIRST_RECONNECT_SECONDS
            await asyncio.sleep(delay * self.generator.uniform(0.75, 1.25))
            delay = min(LAST_RECONNECT_SECONDS, delay * 2)

    async def _dial(self, peer: Peer) -> bool:
        """Serve one connection until it ends; true when the peer said hello."""
        host, _, port = peer.member.peer_address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
            self.metrics.count("peer_connect_failures")
            return False
        connection = create_connection(reader, writer, self.clock, self.metrics)
        self.dialled.add(connection)
        connection.offer(self._hello(expected=peer.member.instance_id))
        try:
            await connection.serve(
                lambda frame: self._on_dialled_frame(peer, connection, frame)
            )
        finally:
            self.dialled.discard(connection)
            if peer.connection is connection:
                peer.connection = None
                peer.heartbeat = {}
            self.calls.fail(connection)
        return bool(connection.instance_id)

    def _on_dialled_frame(
        self, peer: Peer, connection: Connection, frame: Frame
    ) -> None:
        if not connection.instance_id:
            sender = self._hello_sender(connection, frame)
            if sender is None:
                return
            if sender != peer.member.instance_id:
                # The address now belongs to another instance.
                self._refuse_frame(connection, "wrong_instance")
                return
            connection.instance_id = sender
            peer.connection = connection
        elif frame.t is FrameType.HEARTBEAT:
            peer.heartbeat = frame.body
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
            sender = self._hello_sender(connection, frame)
            if sender is None:
                return
            if frame.body.get("expected") != self.instance_id:
                self._refuse_frame(connection, "wrong_instance")
                return
            connection.instance_id = sender
            connection.offer(self._hello(expected=sender))
        elif frame.t is FrameType.CALL:
            self.call_server.on_call(connection, frame)
        elif frame.t is not FrameType.HEARTBEAT:
            self._refuse_frame(connection, "unexpected_type")


def create_peer_network(
    instance_id: str,
    host: str,
    port: int,
    clock: Clock,
    metrics: Metrics,
    generator: random.Random,
) -> PeerNetwork:
    """Return a network that is not started; ``port`` 0 takes any free port."""
    return PeerNetwork(instance_id, host, port, clock, metrics, generator)
