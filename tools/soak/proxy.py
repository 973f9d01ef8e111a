"""A loopback proxy that delays, cuts, silences or resets what goes through it."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

CHUNK_BYTES = 65_536


class LinkMode(StrEnum):
    """What happens to bytes on a link."""

    PASSES = "passes"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Proxy:
    """One listening port in front of one server."""

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
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass the bytes of one connection in both directions."""
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.close()
            return
        self.writers.add(far_writer)
        for source, sink, backwards in (
            (reader, far_writer, False),
            (far_reader, writer, True),
        ):
            task = asyncio.create_task(self.pass_on(source, sink, backwards))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pass_on(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        backwards: bool,
    ) -> None:
        """Pass bytes on until one side ends; silenced connections stay silent."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                lost = self.mode is LinkMode.SILENT or (
                    self.mode is LinkMode.ONE_WAY and backwards
                )
                if lost:
                    self.silenced.add(sink)
                if sink not in self.silenced:
                    sink.write(data)
                    await sink.drain()
            sink.close()

    def silence_open(self) -> None:
        """Silence all open connections for good; new ones work."""
        self.silenced.update(self.writers)

    def reset_open(self) -> None:
        """Break off all open connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def stop(self) -> None:
        """End the proxy."""
        self.reset_open()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
