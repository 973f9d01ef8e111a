"""Stand-in of one runner, as a process of its own.

Runs tasks under a lease as the page says. A job's ``spec`` is a JSON text: it tells how
long its tasks work (``ms``; 0 means until they are stopped) and how they end (``how``).
What is started and ended is written to a log, one JSON line each, in the time of day.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout, web

HEARTBEAT_SECONDS = 1.5
MAX_LISTED_ENDS = 500
MAX_HOLD_MS = 10_000
KILL_SECONDS = 0.2


@dataclass
class Run:
    """An active run; ``timer`` ends it."""

    attempt: int
    began: float
    seconds: float
    timer: asyncio.TimerHandle | None = None

    def percent(self) -> int:
        """Return the progress; a task that lasts is at work at once."""
        if not self.seconds:
            return 100
        return min(100, int((time.monotonic() - self.began) / self.seconds * 100))


class Runner:
    """The state of one boot."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_ms = 0.0
        self.runs: dict[str, Run] = {}
        self.ended: dict[str, int] = {}
        self.ends: list[list[object]] = []
        self.number = 0
        self.new_end = asyncio.Event()
        self.address = ""
        self.sequence = 0
        self.log_file = Path(options.log).open("a", buffering=1)  # noqa: SIM115

    def log(self, what: str, **fields: object) -> None:
        """Write one line of the log."""
        line = {"at": round(time.time(), 3), "runner": self.options.id, "what": what}
        self.log_file.write(json.dumps({**line, "born": self.born, **fields}) + "\n")

    def now_ms(self) -> int:
        """Return the runner's own steady clock, which starts with the boot."""
        return int((time.monotonic() - self.began) * 1000)

    def answer(self, status: int, **fields: object) -> web.Response:
        """Return a JSON answer."""
        body = {"server_time_ms": self.now_ms(), "born": self.born, **fields}
        return web.json_response(body, status=status)

    def is_unhealthy(self) -> bool:
        """Return whether the operator of the test has made the runner unhealthy."""
        return Path(self.options.log + ".unhealthy").exists()

    async def handle(self, request: web.Request) -> web.Response:
        """Serve one call."""
        body = json.loads(await request.read() or b"{}")
        if request.path == "/healthz":
            return web.Response(status=503 if self.is_unhealthy() else 200)
        if request.headers.get("Expected-Instance", self.options.id) != self.options.id:
            return self.answer(421)
        if request.path == "/run-start" and self.is_unhealthy():
            self.log("start shed", task=body["task_id"])
            return self.answer(503)
        if body.get("fencing_token", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fencing_token", 0)
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return web.Response(status=404)

    def extend(self, expires_ms: float) -> None:
        """Extend the lease of all runs; it never shortens."""
        latest = self.now_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(expires_ms, latest))

    def start(self, body: dict) -> web.Response:
        """Start a run; a start of a run that is there already has no effect."""
        task, attempt = body["task_id"], body["attempt"]
        if body["expires_at_ms"] < self.now_ms():
            return self.answer(409, reason="late")
        self.extend(body["expires_at_ms"])
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return self.answer(200)
        if attempt <= self.ended.get(task, 0):
            return self.answer(409, reason="old")
        spec = json.loads(body["spec"])
        seconds = spec["ms"] / 1000
        run = Run(attempt, time.monotonic(), seconds)
        self.runs[task] = run
        self.log("start", task=task, attempt=attempt, kind=self.options.kind)
        if seconds:
            loop = asyncio.get_running_loop()
            how = spec.get("how", "done")
            run.timer = loop.call_later(seconds, self.end, task, run, how)
        return self.answer(200)

    def stop(self, body: dict) -> web.Response:
        """Stop a run; a start of it that arrives later is refused."""
        task, attempt = body["task_id"], body["attempt"]
        run = self.runs.get(task)
        if run is None or run.attempt != attempt:
            self.ended[task] = max(self.ended.get(task, 0), attempt)
        else:
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(KILL_SECONDS, self.end, task, run, "stopped")
        return self.answer(200)

    def end(self, task: str, run: Run, how: str) -> None:
        """End a run and list its end until it is taken note of."""
        if self.runs.get(task) is not run:
            return
        del self.runs[task]
        self.ended[task] = max(self.ended.get(task, 0), run.attempt)
        self.number += 1
        self.ends.append([self.number, task, run.attempt, how, ""])
        self.log("end", task=task, attempt=run.attempt, how=how, number=self.number)
        self.new_end.set()
        self.new_end = asyncio.Event()

    async def hold(self, body: dict) -> web.Response:
        """Renew the lease, forget ends, and return both lists."""
        if body.get("expires_at_ms"):
            self.extend(body["expires_at_ms"])
        seen = body.get("last_seen", 0)
        if any(end[0] <= seen for end in self.ends):
            self.log("noted", upto=seen)
            self.ends = [end for end in self.ends if end[0] > seen]
        wait = min(2000, body.get("wait_ms", 0)) / 1000
        if wait and not self.ends:
            try:
                async with asyncio.timeout(wait):
                    await self.new_end.wait()
            except TimeoutError:
                pass
        active = [
            [task, run.attempt, "", run.percent(), 0] for task, run in self.runs.items()
        ]
        return self.answer(200, active=active, finished=self.ends[:MAX_LISTED_ENDS])

    async def check_lease(self) -> None:
        """End everything when the lease has expired."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.now_ms() >= self.lease_ms:
                for task, run in list(self.runs.items()):
                    self.end(task, run, "lapsed")

    def entry(self) -> dict[str, object]:
        """Return the entry with which the runner registers."""
        options = self.options
        self.sequence += 1
        return {
            "backend": options.service,
            "address": self.address,
            "zone": options.zone,
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "free_resources": {"cpu": 32_000, "mem_mb": 65_536, "gpus": 8},
            "labels": [options.kind, options.rack],
            "server_time_ms": self.now_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def register(self) -> None:
        """Register at the store, at once and then every heartbeat."""
        while True:
            await self.register_once()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def register_once(self) -> None:
        """Write the runner's entry, if the store can be reached."""
        url = f"http://{self.options.store}/standin/register"
        body = {"id": self.options.id, "entry": self.entry()}
        try:
            async with (
                ClientSession(timeout=ClientTimeout(1.0)) as session,
                session.post(url, json=body) as response,
            ):
                await response.read()
        except (ClientError, TimeoutError, OSError) as error:
            self.log("not registered", error=str(error))


async def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "store", "service", "zone", "rack", "kind", "port", "log"):
        parser.add_argument(f"--{name}", required=True)
    # Whether the runner registers before it serves calls, or as soon as it does.
    parser.add_argument("--registers", choices=("first", "then"), default="first")
    options = parser.parse_args()
    runner = Runner(options)
    runner.address = f"127.0.0.1:{options.port}"
    runner.log("boot", kind=options.kind)
    if options.registers == "first":
        await runner.register_once()
    server = web.ServerRunner(web.Server(runner.handle), shutdown_timeout=0.1)
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", int(options.port)).start()
    await asyncio.gather(runner.check_lease(), runner.register())


if __name__ == "__main__":
    asyncio.run(main())
