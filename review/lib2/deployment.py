"""A small deployment on loopback addresses: store, runners, instances and a client."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from lib2.store import Store, start_store

ROOT = Path(__file__).resolve().parents[2]
RUNNER = Path(__file__).with_name("runner.py")
HOST = "review.example"
SERVICE = "service"
DEFAULT_TENANT = "tenant"
QUEUE_ATTEMPTS = 4
READY_SECONDS = 20.0

# Figures of the small deployments of the users' pages.
VISIBLE_SECONDS = 3.0
ACK_TIMEOUT_SECONDS = 4.0
CONTACT_SECONDS = 3.0
PARAMETERS = """\
heartbeat_ms=1500
fault_tolerance.machines=2
fault_tolerance.zones=1
limits.cpu_quota=0.537
limits.cpu_cores=2
limits.memory_mb=300
parameters.contact_ms=3000
parameters.ack_timeout_ms=4000
parameters.drain_ms=2000
parameters.grace_s=6
parameters.config_apply_ms=2000
parameters.evacuation_ms=5000
parameters.hold_max_ms=10000
parameters.kill_grace_ms=400
parameters.gang_timeout_ms=3000
parameters.cancel_ms=3000
parameters.visible_ms=3000
parameters.finish_s=14
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.txn_ms=5.0
platform.shard_writes_s=200
platform.row_bytes=65536
platform.cross_shard=false
platform.history_s=20
commands=request
"""


# Below the ports that the system gives to outgoing connections.
PORTS = random.SystemRandom().sample(range(10_000, 32_000), 22_000)


def free_port() -> int:
    """Return a free port that was not returned before."""
    while True:
        port = PORTS.pop()
        with socket.socket() as listener, contextlib.suppress(OSError):
            listener.bind(("127.0.0.1", port))
            return port


def key_of(tenant: str) -> str:
    """Return the API key of a tenant."""
    return f"key-of-{tenant}"


def deploy_command() -> list[str]:
    """Return the run line of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    return shlex.split(next(iter(deploy["roles"].values()))["run"])


@dataclass
class RunnerProcess:
    """A runner; it keeps its id and its address when it is started again."""

    name: str
    zone: str
    rack: str
    kind: str
    log: Path
    port: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None

    def lines(self) -> list[dict[str, Any]]:
        """Return what the runner has logged."""
        if not self.log.exists():
            return []
        text = self.log.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]


@dataclass
class InstanceProcess:
    """An instance of the system."""

    name: str
    zone: str
    http: int = field(default_factory=free_port)
    readiness: int = field(default_factory=free_port)
    peers: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None


class Deployment:
    """Starts everything, and ends all processes that it started."""

    def __init__(
        self,
        record: Path,
        runners: list[tuple[str, str]],
        tenants: dict[str, int] | None = None,
    ) -> None:
        """Prepare the deployment.

        ``runners`` holds the kind and the zone of each runner, ``tenants`` how many
        accelerators are guaranteed to each tenant.
        """
        self.tenants = tenants or {DEFAULT_TENANT: 8}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = record.open("w", buffering=1, encoding="utf-8")
        self.began = time.time()
        self.store = Store()
        self.store_server: Any = None
        self.store_address = ""
        self.instances = [
            InstanceProcess(f"edge-{n}", ("zone-a", "zone-b")[n % 2]) for n in range(3)
        ]
        self.runners = [
            RunnerProcess(f"i-{n:08x}", zone, f"r-{n // 4}", kind, self.log_path(n))
            for n, (kind, zone) in enumerate(runners)
        ]
        self.session: Any = None
        self.version = 0

    def log_path(self, number: int) -> Path:
        """Return the path of a runner's log."""
        return self.folder / f"runner-{number}.log"

    def record(self, what: str) -> None:
        """Write a line to the record, with the seconds since the begin."""
        line = f"{time.time() - self.began:8.3f} {what}"
        self.record_file.write(line + "\n")

    async def __aenter__(self) -> Deployment:
        """Start everything; what was started is ended if that fails."""
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self) -> None:
        """Start the store, the runners and the instances, and wait until they serve."""
        self.session = ClientSession(timeout=ClientTimeout(3.0))
        self.store_server, self.store_address = await start_store(self.store)
        self.put_configuration()
        for runner in self.runners:
            await self.start_runner(runner)
        for instance in self.instances:
            await self.start_instance(instance)
        for instance in self.instances:
            if not await self.wait_ready(instance):
                raise CannotRunError(f"{instance.name} is not ready")
        # The elections and the first looks at the runners take a moment.
        await asyncio.sleep(4.0)

    async def __aexit__(self, *error: object) -> None:
        """End all processes and servers that were started."""
        for item in [*self.instances, *self.runners]:
            await self.kill(item)
        if self.store_server is not None:
            await self.store_server.cleanup()
        if self.session is not None:
            await self.session.close()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def put_configuration(self) -> None:
        """Write a configuration with three queues, of priority 0 to 2."""
        self.version += 1
        routes = [
            {
                "name": f"queue-{priority}",
                "host": HOST,
                "path_prefix": f"/queue-{priority}/",
                "type": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": priority,
                "backend": SERVICE,
                "attempts": QUEUE_ATTEMPTS,
                "slack_factor": 3.0,
                "public": False,
            }
            for priority in range(3)
        ]
        tenants = [
            {"name": name, "api_keys": [key_of(name)], "guaranteed": {"gpus": gpus}}
            for name, gpus in self.tenants.items()
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "backends": [{"name": SERVICE, "health_check": "/healthz"}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144},
            "tenants": tenants,
        }
        self.store.put("op", "config", config)

    async def start_runner(self, runner: RunnerProcess) -> None:
        """Start a runner's process."""
        options = {
            "id": runner.name,
            "store": self.store_address,
            "service": SERVICE,
            "zone": runner.zone,
            "rack": runner.rack,
            "kind": runner.kind,
            "port": runner.port,
            "log": runner.log,
        }
        words = [word for k, v in options.items() for word in (f"--{k}", str(v))]
        with (self.folder / "runners.err").open("ab") as errors:
            runner.process = await asyncio.create_subprocess_exec(
                sys.executable, str(RUNNER), *words, stdout=errors, stderr=errors
            )

    async def start_instance(self, instance: InstanceProcess) -> None:
        """Start an instance's process with the run line of the deploy file."""
        path = self.folder / f"{instance.name}.conf"
        path.write_text(
            f"node_name={instance.name}\nrole=egretloft\ninstance_class=edge\n"
            f"serves=edge\nip=127.0.0.1\nzone={instance.zone}\nregion=region\n"
            f"bind_addresses.http=127.0.0.1:{instance.http}\n"
            f"bind_addresses.readiness=127.0.0.1:{instance.readiness}\n"
            f"port_range={instance.peers},{instance.peers}\n"
            f"platform.address={self.store_address}\n{PARAMETERS}",
            encoding="utf-8",
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "EGRETLOFT_SETTINGS": str(path),
            "EGRETLOFT_METRICS_PORT": "0",
        }
        with (self.folder / f"{instance.name}.log").open("ab") as output:
            instance.process = await asyncio.create_subprocess_exec(
                *deploy_command(),
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )

    async def wait_ready(self, instance: InstanceProcess) -> bool:
        """Wait until an instance's readiness check succeeds."""
        until = time.monotonic() + READY_SECONDS
        url = f"http://127.0.0.1:{instance.readiness}/readyz"
        while time.monotonic() < until:
            with contextlib.suppress(ClientError, TimeoutError, OSError):
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self, item: RunnerProcess | InstanceProcess) -> None:
        """Kill a process that was started here, and wait for its end."""
        process, item.process = item.process, None
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        node: int = 0,
        tenant: str = DEFAULT_TENANT,
    ) -> tuple[int, dict[str, Any]]:
        """Make a client's call to an instance; the status is 0 without an answer."""
        url = f"http://127.0.0.1:{self.instances[node].http}{path}"
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key_of(tenant)}",
            "Deadline-Ms": "3000",
        }
        try:
            async with self.session.request(
                method, url, json=body, headers=headers
            ) as response:
                text = await response.text()
                return response.status, json.loads(text) if text else {}
        except (ClientError, TimeoutError, OSError, ValueError):
            return 0, {}

    async def submit(
        self,
        queue: int,
        job_id: str,
        body: dict[str, Any],
        tenant: str = DEFAULT_TENANT,
    ) -> bool:
        """Submit a job as a client does; return whether it was accepted."""
        for attempt in range(4):
            status, _ = await self.call(
                "POST", f"/queue-{queue}/{job_id}", body, attempt % 3, tenant
            )
            self.record(f"POST /queue-{queue}/{job_id} -> {status}")
            if status == 200:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, queue: int, job_id: str, node: int = 0) -> str:
        """Return the state that a client is shown, or the status of the refusal."""
        status, body = await self.call("GET", f"/queue-{queue}/{job_id}", node=node)
        return body.get("state", "") if status == 200 else str(status)

    def runner_lines(self) -> list[dict[str, Any]]:
        """Return what all runners have logged, in order."""
        lines = [line for runner in self.runners for line in runner.lines()]
        return sorted(lines, key=lambda line: line["at"])

    def since_begin(self, at: float) -> float:
        """Return a time of day in seconds since the begin of the case."""
        return at - self.began


class CannotRunError(Exception):
    """The deployment did not start."""


def run_case(case: Any) -> None:
    """Run a case's coroutine function; exit with 1 if the rule broke, 2 if it failed.

    ``case`` takes whether the disruption happens, and returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(trouble), 112.0))
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
