"""A loopback TCP proxy that can delay, drop or reset its connections."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536


class LinkMode(StrEnum):
    """Which bytes a proxy forwards.

    ``ONE_WAY`` forwards to the server only, ``ANSWERS_ONLY`` from the server only, and
    ``SILENT`` drops both directions.
    """

    PASSES = "passes"
    SILENT = "silent"
    ONE_WAY = "one_way"
    ANSWERS_ONLY = "answers_only"


DROPS_REQUESTS = frozenset({LinkMode.SILENT, LinkMode.ANSWERS_ONLY})
DROPS_ANSWERS = frozenset({LinkMode.SILENT, LinkMode.ONE_WAY})


class Proxy:
    """Forwards connections from one listening port to one server.

    A connection on which bytes were dropped stays silent when the mode changes again.
    One that is opened or closed while the link is silent is held: neither side learns
    of the other.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.mode = LinkMode.PASSES
        self.delay_seconds = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.silenced: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward the bytes of one connection in both directions."""
        self.writers.add(writer)
        if self.mode is LinkMode.SILENT:
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.close()
            return
        self.writers.add(server_writer)
        for source, sink, from_server in (
            (reader, server_writer, False),
            (server_reader, writer, True),
        ):
            task = asyncio.create_task(self.forward(source, sink, from_server))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        from_server: bool,
    ) -> None:
        """Forward bytes until the source ends; drop those for a silenced connection."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if self.mode in (DROPS_ANSWERS if from_server else DROPS_REQUESTS):
                    self.silenced.add(sink)
                if sink not in self.silenced:
                    sink.write(data)
                    await sink.drain()
            if self.mode is not LinkMode.SILENT:
                sink.close()

    def silence_connections(self) -> None:
        """Silence all open connections permanently; new ones work."""
        self.silenced.update(self.writers)

    def reset_connections(self) -> None:
        """Abort all open connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def stop(self) -> None:
        """Close the listening port and all connections."""
        self.reset_connections()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
