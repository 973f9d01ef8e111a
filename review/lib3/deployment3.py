"""A small deployment on loopback addresses for the cases of the third review.

The instances are the project's own programs, started with the run line of the deploy
file. Store, runners and clients are stand-ins: the project's own, with the limits that
the users' pages give for a row and for a call of the store.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from egretloft._internal.fleet.models import EndKind, Resources, TaskKey
from egretloft.platform.decoding import decode_job
from egretloft.platform.targets import task_name
from egretloft.platform.wire import (
    WireConfig,
    WireGuarantee,
    WireRoute,
    WireTenant,
    WireTransaction,
)
from standins.fleet.checker import Checker, JobTruth, RunTruth
from standins.fleet.http import (
    CALL_TIMEOUT_SECONDS,
    HttpPlatform,
    StoreServer,
    TargetServer,
    json_answer,
    reset_connection,
)
from standins.fleet.store import EmulatedStore
from standins.fleet.targets import EmulatedTarget
from standins.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
HOST = "review.example"
KEY = "review-key"
SERVICE = "salon-desk"
ZONES = ("kurume", "tosu")
# Bounds of the small deployment, as its pages give them.
PARAMETERS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "recovery_s": 12,
    "hold_max_ms": 6000,
    "kill_grace_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "checkpoint_interval_s": 1,
    "lease_ttl_ms": 3000,
}
FINISH_SECONDS = 14.0
ACK_TIMEOUT_SECONDS = 4.0
CONTACT_SECONDS = 3.0
# A value of at most ``row_bytes``, a call of at most 100 entries and 1 MB.
ROW_BYTES = 65_536
CALL_BYTES = 1_000_000
CALL_ENTRIES = 100
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT_SECONDS = 20.0


class CannotRunError(Exception):
    """The case could not be brought about, so it says nothing of the rule."""


class LimitedStoreServer(StoreServer):
    """The project's store, which refuses what is larger than the pages allow."""

    refused_calls = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call; 400 for a transaction that is too large."""
        if request.path == "/rows-tx":
            data = await request.read()
            body = msgspec.json.decode(data, type=WireTransaction)
            entries = [*body.expected_revision, *body.write, *body.remove]
            longest = max((len(w.value) for w in body.write), default=0)
            if (
                len(data) > CALL_BYTES
                or len(entries) > CALL_ENTRIES
                or longest * 3 // 4 - 2 > ROW_BYTES
            ):
                LimitedStoreServer.refused_calls += 1
                return json_answer(400, msgspec.defstruct("Refusal", [])())
        return await super().handle(request)


class RecordingChecker(Checker):
    """The project's checker, which also records what starts and ends on runners.

    ``unrecorded_jobs`` have too many runs to be listed one by one.
    """

    def __init__(self, record: Callable[[str], None]) -> None:
        super().__init__()
        self.record = record
        self.unrecorded_jobs: set[str] = set()
        self.done_by_job: dict[str, set[TaskKey]] = {}

    def on_start(self, run: RunTruth, payload: str, at: float) -> None:
        """Record a start."""
        super().on_start(run, payload, at)
        self.record_run(run, "starts")

    def on_end(self, run: RunTruth, kind: EndKind) -> None:
        """Record the end of a run."""
        super().on_end(run, kind)
        self.record_run(run, f"ends {kind.value}:")
        if kind is EndKind.DONE:
            self.done_by_job.setdefault(run.key.task.step.job_id, set()).add(
                run.key.task
            )

    def record_run(self, run: RunTruth, what: str) -> None:
        """Record what a run does."""
        job_id = run.key.task.step.job_id
        if job_id not in self.unrecorded_jobs:
            name = task_name(run.key.task)
            self.record(f"runner {run.target_id} {what} {name} run {run.key.attempt}")


@dataclass(slots=True)
class LateCalls:
    """Calls of one path to one runner that get no answer, and are carried out later.

    Those that ``wanted`` accepts are kept, at most ``most`` of them. A runner that is
    back under its id takes calls that were meant for its former life.
    """

    runner_id: str
    path: str
    most: int
    wanted: Callable[[bytes], bool] = bool
    kept: list[bytes] = field(default_factory=list)

    def take(self, runner_id: str, path: str, data: bytes) -> bool:
        """Keep a call if it is one of these; return whether it is."""
        if runner_id != self.runner_id or path != self.path:
            return False
        if len(self.kept) >= self.most or not self.wanted(data):
            return False
        self.kept.append(data)
        return True


class LateTargetServer(TargetServer):
    """One of the project's runners, of which some calls are carried out late."""

    late_calls: LateCalls | None = None

    async def serve(self, request: web.BaseRequest, data: bytes) -> web.StreamResponse:
        """Serve a call, or keep it without an answer."""
        late = LateTargetServer.late_calls
        if late is not None and late.take(self.target.target_id, request.path, data):
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return reset_connection(request)
        return await super().serve(request, data)


class LimitedPlatform(HttpPlatform):
    """The project's platform, over a store with the limits of the pages."""

    async def listen_for(self, target: EmulatedTarget, port: int = 0) -> str:
        """Serve a runner on a port, a free one if it is 0; return its address."""
        server = LateTargetServer(target, self.generator)
        self.target_servers[target.target_id] = server
        address = await self.listen(server.handle, port)
        self.target_addresses[target.target_id] = address
        return address

    async def start(self) -> None:
        """Start all servers, and register all runners periodically."""
        self.store_server = LimitedStoreServer(self.store)
        self.store_address = await self.listen(self.store_server.handle)
        for target in self.targets.values():
            await self.add(target)

    async def crash_for_good(self, target: EmulatedTarget) -> None:
        """Let a runner crash and never come back; nothing listens at its address."""
        address = self.target_addresses[target.target_id]
        listener = next(one for one in self.listeners if one.address == address)
        self.listeners.remove(listener)
        target.crash()
        target.cut = target.down = True
        target.pause()
        await listener.runner.cleanup()

    async def add(self, target: EmulatedTarget) -> None:
        """Serve a runner and let it register."""
        address = await self.listen_for(target)
        task = asyncio.create_task(self.register_periodically(target, address))
        self.registrations.append(task)


@dataclass(slots=True)
class Machine:
    """One instance of the system; it keeps its addresses over restarts."""

    name: str
    zone: str
    ip: str
    directory: Path
    store_address: str
    http_port: int = field(default_factory=free_port)
    readiness_port: int = field(default_factory=free_port)
    peer_port: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None
    ends: list[int] = field(default_factory=list)

    @property
    def log_path(self) -> Path:
        """Return the path of the output of all its processes."""
        return self.directory / f"{self.name}.log"

    def settings(self) -> Path:
        """Write the settings file in the platform's format and return its path."""
        lines = [
            f"node_name={self.name}",
            "role=egretloft",
            "instance_class=edge",
            "serves=edge",
            f"ip={self.ip}",
            f"zone={self.zone}",
            "region=kyushu-north",
            f"bind_addresses.http={self.ip}:{self.http_port}",
            f"bind_addresses.readiness={self.ip}:{self.readiness_port}",
            f"port_range={self.peer_port},{self.peer_port}",
            "bootstrap=true",
            "limits.cpu_quota=0.537",
            "limits.cpu_cores=2",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "discovery=platform",
            "commands=request",
            f"platform.address={self.store_address}",
            "platform.form=table",
            "platform.writes_per_s=600",
            "platform.reads_per_s=2000",
            f"platform.row_bytes={ROW_BYTES}",
        ]
        lines += [f"parameters.{name}={value}" for name, value in PARAMETERS.items()]
        path = self.directory / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    async def start(self) -> None:
        """Start a process with the run line of the deploy file."""
        run = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["egretloft"]["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.directory),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EGRETLOFT_SETTINGS": str(self.settings()),
            "EGRETLOFT_METRICS_PORT": "0",
        }
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(run),
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal and wait until the process has ended."""
        if self.process is None:
            return
        self.send(number)
        self.ends.append(await self.process.wait())
        self.process = None


class Deployment:
    """The platform with its runners, the machines, and what was seen of them."""

    def __init__(
        self,
        machines: int,
        runners: list[Resources],
        services: list[str] | None = None,
    ) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.generator = random.Random(1)
        self.checker = RecordingChecker(self.record)
        self.ends_done = self.checker.done_by_job
        self.store = EmulatedStore(self.generator)
        self.runners: dict[str, EmulatedTarget] = {}
        for number, room in enumerate(runners):
            name = f"{0x10000000 + number:x}"
            service = services[number] if services else SERVICE
            self.runners[name] = self.new_runner(name, number, room, service)
        gangs: dict = {}
        for runner in self.runners.values():
            runner.gangs = gangs
        self.platform = LimitedPlatform(self.store, self.runners, self.generator)
        # The ``heartbeat_ms`` of the pages.
        self.platform.registration_period_seconds = 1.5
        self.platform.removes_silent_targets = True
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: list[Machine] = []
        self.first_machines = machines
        self.session: aiohttp.ClientSession | None = None
        self.accepted: dict[str, float] = {}
        self.prefixes: dict[str, str] = {}
        self.queue_service = SERVICE

    def new_runner(
        self, name: str, number: int, room: Resources, service: str
    ) -> EmulatedTarget:
        """Return a runner that is not served yet."""
        runner = EmulatedTarget(
            name,
            service,
            ZONES[number % len(ZONES)],
            f"r{number // 4}",
            room,
            self.checker,
            {},
            self.runners,
            self.generator.uniform(0, 1e6),
        )
        # A runner's clock counts from its start; ``born`` is a Unix time.
        runner.incarnation_ms = int(time.time() * 1000) + number
        return runner

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def note(self, text: str) -> None:
        """Add a line to the record, and print it."""
        self.record(text)
        print(self.lines[-1], flush=True)

    async def add_machine(self) -> Machine:
        """Start a further machine at new addresses, under a new name."""
        number = len(self.machines) + 1
        zone = ZONES[number % len(ZONES)]
        machine = Machine(
            f"edge-{zone}-{number}",
            zone,
            f"127.0.3.{number}",
            self.directory,
            self.platform.store_address,
        )
        self.machines.append(machine)
        await machine.start()
        return machine

    async def start(self) -> None:
        """Start the platform and the machines, and wait until these are ready."""
        await self.platform.start()
        self.session = aiohttp.ClientSession()
        self.configure()
        for _ in range(self.first_machines):
            await self.add_machine()
        until = self.now() + READY_TIMEOUT_SECONDS
        while not all([await self.is_ready(m) for m in self.machines]):
            if self.now() > until:
                raise CannotRunError("the machines did not become ready")
            await asyncio.sleep(0.1)
        await self.until(lambda: self.leader() is not None, 10, "nobody leads")
        self.note(f"{len(self.machines)} machines ready, {self.leader().name} leads")

    def configure(self, version: int = 1, service: str = SERVICE) -> None:
        """Write a config with a queue for each priority, which a service runs."""
        self.queue_service = service
        routes = [
            WireRoute(f"queue-{p}", HOST, f"/q{p}/", service, p, 4, 3.0, 1000.0)
            for p in range(3)
        ]
        config = WireConfig(version, routes, [WireTenant("t", [KEY], WireGuarantee(4))])
        self.store.put("op", "config", msgspec.json.encode(config))

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether the status check of a machine succeeds."""
        url = f"http://{machine.ip}:{machine.readiness_port}/readyz"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(1)) as got:
                return got.status == 200
        return False

    def leader(self) -> Machine | None:
        """Return the machine that leads by the store, if its process runs."""
        for key, row in self.store.rows.items():
            if key.table == "control" and key.key == "leader":
                name = msgspec.msgpack.decode(row.value)["instance_id"]
                for machine in self.machines:
                    if machine.name == name and machine.process is not None:
                        return machine
        return None

    async def until(
        self, holds: Callable[[], object], seconds: float, message: str
    ) -> None:
        """Wait until a condition holds; the case cannot run if it does not."""
        end = self.now() + seconds
        while not holds():
            if self.now() > end:
                raise CannotRunError(message)
            await asyncio.sleep(0.02)

    # Clients.

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        machine: Machine | None = None,
        deadline_ms: int = 3000,
    ) -> tuple[int | None, dict]:
        """Make one call; return the status and the body, or ``None`` without one."""
        running = [m for m in self.machines if m.process is not None]
        if machine is None and not running:
            return None, {}
        machine = machine or self.generator.choice(running)
        url = f"http://{machine.ip}:{machine.http_port}{path}"
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
        }
        try:
            async with self.session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(deadline_ms / 1000 + 0.1),
            ) as got:
                data = await got.read()
                return got.status, json.loads(data or b"{}")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None, {}

    async def submit(
        self,
        job_id: str,
        body: dict,
        work_seconds: float,
        priority: int = 1,
        quiet: bool = False,
        attempts: int = 4,
        tries: int = 5,
    ) -> bool:
        """Submit a job, with a client's retries; return whether it was accepted."""
        data = json.dumps(body).encode()
        spec = decode_job(data).unwrap()
        self.checker.jobs[job_id] = JobTruth(spec, work_seconds, attempts)
        self.prefixes[job_id] = f"/q{priority}/"
        for number in range(tries):
            status, answer = await self.call("POST", f"/q{priority}/{job_id}", data)
            say = self.record if quiet else self.note
            say(f"client: POST {job_id} -> {status} {answer or ''}")
            if status == 200:
                self.accepted[job_id] = self.now()
                return True
            if status in (400, 401, 404, 413):
                return False
            await asyncio.sleep(0.5 * (number + 1))
        return False

    async def state(self, job_id: str, machine: Machine | None = None) -> str:
        """Return the state in which a job is shown, or the status of the answer."""
        status, answer = await self.call(
            "GET", self.prefixes[job_id] + job_id, b"", machine
        )
        shown = answer.get("state", "") if status == 200 else f"status {status}"
        self.record(f"client: GET {job_id} -> {shown}")
        return shown

    # The end.

    async def stop(self) -> None:
        """End all processes and servers, and remove the temporary folder."""
        for machine in self.machines:
            machine.send(signal.SIGCONT)
            await machine.end()
        if self.session is not None:
            await self.session.close()
        await self.platform.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            target = Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for path in self.directory.iterdir():
                path.replace(target / path.name)
        for path in self.directory.iterdir():
            path.unlink()
        self.directory.rmdir()


def run_case(
    deployment: Deployment,
    folder: Path,
    play: Callable[[Deployment, bool], Awaitable[bool]],
) -> None:
    """Play a case, write its record and exit; ``play`` returns whether the rule held.

    ``TROUBLE=0`` leaves out the disruption.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    stand_in_errors: list[str] = []

    def on_error(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        error = context.get("exception")
        stand_in_errors.append(f"{context['message'][:200]} {error!r}"[:400])

    async def whole() -> int:
        asyncio.get_running_loop().set_exception_handler(on_error)
        try:
            async with asyncio.timeout(112):
                await deployment.start()
                held = await play(deployment, trouble)
            if stand_in_errors:
                raise CannotRunError(f"a stand-in failed: {stand_in_errors[0]}")
            deployment.note("the rule " + ("held" if held else "was BROKEN"))
            return EXIT_HELD if held else EXIT_BROKEN
        except (CannotRunError, TimeoutError, OSError) as error:
            deployment.note(f"could not run: {type(error).__name__} {error}")
            return EXIT_COULD_NOT_RUN
        finally:
            await deployment.stop()

    code = EXIT_COULD_NOT_RUN
    try:
        code = asyncio.run(whole())
    finally:
        name = "record.txt" if trouble else "record-without-trouble.txt"
        lines = [f"TROUBLE={int(trouble)}", *deployment.lines, f"exit {code}"]
        (folder / name).write_text("\n".join(lines) + "\n", encoding="utf-8")
    sys.exit(code)
