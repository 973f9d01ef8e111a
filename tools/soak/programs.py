"""Instances that run as processes of the real program."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from standins.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "deploy" / "egretloft_platform.py"
READY_TIMEOUT_SECONDS = 15.0


@dataclass(slots=True)
class Program:
    """One instance; it keeps its addresses when its process is restarted."""

    name: str
    zone: str
    directory: Path
    store_address: str
    http_port: int = field(default_factory=free_port)
    readiness_port: int = field(default_factory=free_port)
    peer_port: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0
    exit_codes: list[int] = field(default_factory=list)
    log_offset: int = 0
    more_settings: str = ""

    @property
    def log_path(self) -> Path:
        """Return the path of the log of all processes of the instance."""
        return self.directory / f"{self.name}.log"

    def write_settings(self) -> Path:
        """Write the settings file in the format of the platform and return its path."""
        path = self.directory / f"{self.name}.conf"
        path.write_text(
            f"node_name={self.name}\nip=127.0.0.1\nzone={self.zone}\nregion=region\n"
            f"bind_addresses.http=127.0.0.1:{self.http_port}\n"
            f"bind_addresses.readiness=127.0.0.1:{self.readiness_port}\n"
            f"port_range={self.peer_port},{self.peer_port}\n"
            f"platform.address={self.store_address}\nparameters.grace_s=6\n"
            f"{self.more_settings}",
            encoding="utf-8",
        )
        return path

    async def start(self) -> None:
        """Start a process, whose output is appended to the log."""
        environment = {
            **os.environ,
            "EGRETLOFT_SETTINGS": str(self.write_settings()),
            "EGRETLOFT_METRICS_PORT": "0",
        }
        with self.log_path.open("ab") as output:
            self.log_offset = output.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                stdout=output,
                stderr=output,
                env=environment,
            )
        self.start_count += 1

    def has_served(self) -> bool:
        """Return whether the last process logged that it serves its addresses."""
        with self.log_path.open("rb") as output:
            output.seek(self.log_offset)
            return b'"instance started"' in output.read()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end_process(self, number: signal.Signals) -> None:
        """Send a signal, wait until the process ends and record its exit code."""
        process = self.process
        if process is None:
            return
        self.send_signal(number)
        self.exit_codes.append(await process.wait())
        self.process = None

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the readiness check of the instance succeeds."""
        url = f"http://127.0.0.1:{self.readiness_port}/readyz"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
                return response.status == 200
        return False

    async def wait_ready(self, session: aiohttp.ClientSession) -> bool:
        """Wait until the instance is ready; return ``False`` on a timeout."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_TIMEOUT_SECONDS
        while loop.time() < until:
            if await self.is_ready(session):
                return True
            await asyncio.sleep(0.05)
        return False
