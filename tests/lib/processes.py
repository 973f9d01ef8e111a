"""Processes that tests start, freeze, kill and watch."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import msgspec

CHECKOUT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
TAIL_LINES = 30


class ProcessError(AssertionError):
    """A process did not start, answer or end as the test requires."""


def environment() -> dict[str, str]:
    """Return an environment that imports from this checkout.

    Settings of egretloft and Python in the environment of the tests are left out.
    """
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(("EGRETLOFT_", "PYTHON"))
    }
    folders = [str(CHECKOUT / "src"), str(CHECKOUT / "tools")]
    return kept | {"PYTHONPATH": os.pathsep.join(folders), "PYTHONUNBUFFERED": "1"}


class ManagedProcess:
    """One process whose output goes to ``<directory>/<name>.out`` and ``.err``."""

    def __init__(self, name: str, arguments: Sequence[str], directory: Path) -> None:
        self.name = name
        self.arguments = list(arguments)
        self.output_path = directory / f"{name}.out"
        self.error_path = directory / f"{name}.err"
        self.process: subprocess.Popen[bytes] | None = None
        self.frozen = False

    def start(self) -> None:
        """Start the process; its output is appended to that of a former run."""
        self.output_path.parent.mkdir(parents=True, exist_ok=True)
        with self.output_path.open("ab") as output, self.error_path.open("ab") as error:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=error,
                env=environment(),
                cwd=CHECKOUT,
            )
        self.frozen = False

    @property
    def running(self) -> bool:
        """Whether the process exists; a frozen one does."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, ``None`` before the end."""
        return None if self.process is None else self.process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self) -> None:
        """Resume a frozen process."""
        self.send_signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Ask the process to stop, with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    async def wait(self, seconds: float) -> int:
        """Wait for the end and return the exit code; raise after ``seconds``."""
        deadline = time.monotonic() + seconds
        while self.running:
            if time.monotonic() > deadline:
                raise ProcessError(f"{self.name} did not end within {seconds} s")
            await asyncio.sleep(POLL_SECONDS)
        if self.process is None:
            raise ProcessError(f"{self.name} was never started")
        return self.process.returncode

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_for_line(self) -> dict[str, object]:
        """Wait for the first line of the output and return it decoded from JSON."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and self.running:
            first, newline, _ = self.output_path.read_bytes().partition(b"\n")
            if newline:
                return msgspec.json.decode(first, type=dict[str, object])
            await asyncio.sleep(POLL_SECONDS)
        raise ProcessError(f"{self.name} is not ready\n{self.last_log_lines()}")

    async def wait_for_http(self, session: aiohttp.ClientSession, url: str) -> None:
        """Wait until the URL answers 200."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        timeout = aiohttp.ClientTimeout(total=1)
        while time.monotonic() < deadline and self.running:
            try:
                async with session.get(url, timeout=timeout) as answer:
                    if answer.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_SECONDS)
        raise ProcessError(
            f"{self.name} is not ready at {url}\n{self.last_log_lines()}"
        )

    def last_log_lines(self) -> str:
        """Return the last lines of the error output, each with the process name."""
        if not self.error_path.exists():
            return ""
        lines = self.error_path.read_text(errors="replace").splitlines()
        return "\n".join(f"{self.name}: {line}" for line in lines[-TAIL_LINES:])


def create_standin(
    name: str, module: str, directory: Path, options: Sequence[str] = ()
) -> ManagedProcess:
    """Return a stand-in process on free ports, not yet started."""
    arguments = ["-m", f"standins.{module}", "--port", "0", *options]
    return ManagedProcess(name, arguments, directory)


def create_daemon(
    instance_id: str, directory: Path, options: dict[str, str]
) -> ManagedProcess:
    """Return an entry instance with the options as flags, not yet started."""
    flags = [part for name, value in options.items() for part in (f"--{name}", value)]
    return ManagedProcess(
        instance_id,
        ["-m", "egretloft.cli.daemon", "--instance-id", instance_id, *flags],
        directory,
    )
