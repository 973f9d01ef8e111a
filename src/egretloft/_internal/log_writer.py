"""JSON log lines on standard output, with bounded memory and without blocking.

Lines are queued in memory and written as fast as the reader of the output accepts them.
Lines above the rate limit or the queue limit are dropped and counted; the count is
logged when the rate has fallen.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import deque
from typing import Any

import structlog

FLUSH_SECONDS = 0.05
MAX_QUEUED_LINES = 4_000
LINES_PER_SECOND = 400.0
# Size of the token bucket: lines that are accepted at once.
BURST_LINES = 1_500.0


class LogWriter:
    """Logger for ``structlog`` with a token bucket and a bounded queue."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.partial = b""
        self.tokens = BURST_LINES
        self.dropped = 0
        self.task: asyncio.Task[None] | None = None

    def msg(self, message: str) -> None:
        """Queue one line, or drop it at the rate limit or queue limit."""
        if self.tokens < 1.0 or len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.tokens -= 1.0
        self.lines.append(message.encode() + b"\n")

    debug = info = warning = error = critical = exception = log = msg

    def start(self) -> None:
        """Start writing in the background; needs a running event loop."""
        os.set_blocking(self.descriptor, False)
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Write queued lines periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            refill = LINES_PER_SECOND * FLUSH_SECONDS
            self.tokens = min(BURST_LINES, self.tokens + refill)
            if self.dropped and self.tokens >= BURST_LINES / 2:
                self.report_dropped()
            self.flush()

    def report_dropped(self) -> None:
        """Queue a line that says how many lines were dropped."""
        line = {"event": "log lines dropped", "level": "warning", "count": self.dropped}
        self.dropped = 0
        self.lines.append(json.dumps(line).encode() + b"\n")

    def flush(self) -> None:
        """Write as many queued lines as the output accepts without blocking."""
        while self.lines or self.partial:
            data = self.partial or b"".join(self.lines)
            if not self.partial:
                self.lines.clear()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                self.partial = data
                return
            except OSError:
                # Nobody reads the output any more; the program continues without it.
                self.partial = b""
                return
            self.partial = data[written:]


def configure_program_logging(level: int, instance_id: str) -> LogWriter:
    """Log JSON lines at or above ``level`` to standard output; return the writer."""
    writer = LogWriter(sys.stdout.fileno())

    def create_logger(*args: Any) -> LogWriter:
        return writer

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=create_logger,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance_id)
    return writer
