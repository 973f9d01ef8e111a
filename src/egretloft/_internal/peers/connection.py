"""One stream to or from another instance, with a bounded outgoing buffer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure

from egretloft._internal.metrics import Metrics
from egretloft._internal.peers.frames import (
    FATAL_FAULTS,
    Frame,
    create_frame_decoder,
)
from egretloft._internal.platform.protocols import Clock

MAX_OUTGOING_FRAMES = 256
READ_BYTES = 64 * 1024
# The transport's own buffer is kept small, so that MAX_OUTGOING_FRAMES limits what
# waits for a slow peer, and unwritten frames can still be withdrawn.
TRANSPORT_BUFFER_BYTES = 64 * 1024


@dataclass(slots=True, eq=False)
class OutgoingFrame:
    """An encoded frame; ``written`` is set when its writing begins."""

    data: bytes
    written: bool = False


class Connection:
    """A stream to a peer, read and written by ``serve``.

    Frames are written in the order in which ``offer`` buffered them.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.clock = clock
        self.metrics = metrics
        self.instance_id = ""  # known after the peer's hello
        # Body of the newest heartbeat, and when it arrived.
        self.heartbeat: dict[str, Any] | None = None
        self.heartbeat_at = 0.0
        self.calls_in_progress: set[int] = set()
        # Set by the peer's goodbye: it handles no further call.
        self.peer_is_stopping = False
        self.opened_at = clock.monotonic()
        self.last_received = self.opened_at
        self.closed = False
        self.outgoing: deque[OutgoingFrame] = deque()
        self.wakeup = asyncio.Event()
        self.room_available = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=TRANSPORT_BUFFER_BYTES)

    def on_heartbeat(self, body: dict[str, Any]) -> None:
        """Keep the body of a heartbeat that has just arrived."""
        self.heartbeat = body
        self.heartbeat_at = self.clock.monotonic()

    def offer(self, data: bytes) -> OutgoingFrame | None:
        """Buffer a frame for sending.

        Returns ``None`` if the buffer is full or the stream is closed.
        """
        if self.closed or len(self.outgoing) >= MAX_OUTGOING_FRAMES:
            return None
        outgoing = OutgoingFrame(data)
        self.outgoing.append(outgoing)
        self.wakeup.set()
        return outgoing

    async def offer_when_room(self, data: bytes) -> None:
        """Wait until the buffer has room and buffer a frame.

        The frame is dropped if the stream closes meanwhile.
        """
        while self.offer(data) is None and not self.closed:
            self.room_available.clear()
            await self.room_available.wait()

    def withdraw(self, outgoing: OutgoingFrame) -> bool:
        """Remove a frame from the buffer; return whether no byte of it was written."""
        if not outgoing.written and outgoing in self.outgoing:
            self.outgoing.remove(outgoing)
            self.room_available.set()
        return not outgoing.written

    def close(self) -> None:
        """Close the stream at once and drop the frames in the buffer."""
        if self.closed:
            return
        self.closed = True
        self.wakeup.set()
        self.room_available.set()
        self.writer.transport.abort()

    async def serve(self, on_frame: Callable[[Frame], None]) -> None:
        """Read and write frames until the stream ends or a frame has a fatal fault."""
        writing = asyncio.create_task(self._write())
        try:
            await self._read(on_frame)
        finally:
            self.close()
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _read(self, on_frame: Callable[[Frame], None]) -> None:
        decoder = create_frame_decoder()
        while not self.closed:
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            # An incomplete frame counts too, so that a peer that sends a large frame
            # over a slow link is not taken for silent.
            self.last_received = self.clock.monotonic()
            for result in decoder.feed(data):
                if isinstance(result, Failure):
                    fault = result.failure()
                    self.metrics.count("peer_frames_refused", reason=fault.value)
                    if fault in FATAL_FAULTS:
                        return
                    continue
                on_frame(result.unwrap())
                if self.closed:
                    return

    async def _write(self) -> None:
        try:
            while not self.closed:
                while self.outgoing:
                    outgoing = self.outgoing.popleft()
                    outgoing.written = True
                    self.room_available.set()
                    self.writer.write(outgoing.data)
                    await self.writer.drain()
                self.wakeup.clear()
                await self.wakeup.wait()
        except OSError:
            self.close()


def create_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    clock: Clock,
    metrics: Metrics,
) -> Connection:
    """Return a connection over an open stream."""
    return Connection(reader, writer, clock, metrics)
