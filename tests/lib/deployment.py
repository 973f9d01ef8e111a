"""The platform and the entry instances of a scaled-down deployment."""

from __future__ import annotations

import asyncio
import base64
import itertools
import math
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from egretloft._internal.models.topology import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from lib.processes import (
    POLL_SECONDS,
    READY_TIMEOUT_SECONDS,
    ManagedProcess,
    ProcessError,
    create_daemon,
    create_standin,
)
from standins.ports import free_port

# Kind in the instance list of the targets of each stand-in process.
TARGET_KINDS = {
    "workers": InstanceKind.WORKER.value,
    "runners": InstanceKind.RUNNER.value,
}


@dataclass(slots=True, frozen=True)
class Deployment:
    """Region, zones, time zone and machine sizes of a deployment."""

    region: str
    zones: tuple[str, ...]
    service: str
    cores: int
    memory_gb: int
    per_rack: int
    time_zone: str
    accelerators: int = 8
    slots: int = 8
    connections: int = 64


DEPLOYMENTS = {
    "bureau": Deployment(
        region="kyushu-north",
        zones=("kurume", "tosu", "omuta", "yame"),
        service="salon-desk",
        cores=64,
        memory_gb=256,
        per_rack=6,
        time_zone="Asia/Tokyo",
    ),
    "software-house": Deployment(
        region="is-sudvestur",
        zones=("rvk-a", "hfj-b", "kef-c"),
        service="kvotabok",
        cores=32,
        memory_gb=64,
        per_rack=8,
        time_zone="Atlantic/Reykjavik",
    ),
}


@dataclass(slots=True)
class Entry:
    """One entry instance."""

    instance_id: str
    zone: str
    address: str
    process: ManagedProcess
    ready: bool = False
    draining: bool = False

    @property
    def usable(self) -> bool:
        """Whether a load balancer would send requests to it."""
        available = self.process.running and not self.process.frozen
        return available and self.ready and not self.draining


@dataclass(slots=True)
class Platform:
    """Starts and controls stand-in processes and entry instances."""

    deployment: Deployment
    directory: Path
    session: aiohttp.ClientSession
    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    # Control address of each stand-in process, and the process of each target.
    controls: dict[str, str] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)
    entries: dict[str, Entry] = field(default_factory=dict)

    async def start(self, workers: int, runners: int, lag_seconds: float) -> None:
        """Start all stand-ins."""
        deployment = self.deployment
        await self._start_standin("table", "table")
        await self._start_standin("objects", "objects")
        await self._start_standin(
            "instances", "instances", "--lag-seconds", str(lag_seconds)
        )
        if workers:
            await self._start_targets(
                "workers",
                "worker",
                *("--count", str(workers)),
                *("--cores", str(deployment.cores)),
                *("--memory-gb", str(deployment.memory_gb)),
                *("--accelerators", str(deployment.accelerators)),
                *("--per-rack", str(deployment.per_rack)),
            )
        if runners:
            await self.start_runners(runners)

    async def start_runners(self, count: int) -> None:
        """Start the runners; they register with the instance list."""
        deployment = self.deployment
        await self._start_targets(
            "runners",
            "runner",
            *("--count", str(count)),
            *("--service", deployment.service),
            *("--slots", str(deployment.slots)),
            *("--connections", str(deployment.connections)),
        )

    async def _start_targets(self, name: str, module: str, *options: str) -> None:
        common = ["--region", self.deployment.region]
        common += ["--instances-address", self.addresses["instances"]]
        for zone in self.deployment.zones:
            common += ["--zone", zone]
        await self._start_standin(name, module, *common, *options)

    async def _start_standin(self, name: str, module: str, *options: str) -> None:
        process = create_standin(name, module, self.directory, options)
        self.processes[name] = process
        process.start()
        line = msgspec.convert(await process.wait_for_line(), ReadyLine)
        self.controls[name] = line.control
        self.targets |= dict.fromkeys(line.targets, name)
        self.addresses |= line.targets

    async def start_entry(self, instance_id: str, zone: str) -> None:
        """Start an entry instance and list it; does not wait until it is ready."""
        http_port, peer_port = free_port(), free_port()
        deployment = self.deployment
        options = {
            "region": deployment.region,
            "zone": zone,
            "http-host": "127.0.0.1",
            "http-port": str(http_port),
            "peer-host": "127.0.0.1",
            "peer-port": str(peer_port),
            "table-address": self.addresses["table"],
            "objects-address": self.addresses["objects"],
            "instances-address": self.addresses["instances"],
            "account-time-zone": deployment.time_zone,
            "log-level": "info",
        }
        process = create_daemon(instance_id, self.directory, options)
        entry = Entry(instance_id, zone, f"127.0.0.1:{http_port}", process)
        self.entries[instance_id] = entry
        process.start()
        await self.list_entry(entry, InstanceState.LIVE)

    async def restart_entry(self, entry: Entry) -> None:
        """Start an entry instance again; kill it first if it still runs."""
        entry.process.kill()
        entry.ready = entry.draining = False
        entry.process.start()
        await self.list_entry(entry, InstanceState.LIVE)

    async def wait_until_ready(self, entry: Entry) -> None:
        """Wait until an entry instance reports that it is ready."""
        await entry.process.wait_for_http(
            self.session, f"http://{entry.address}/readyz"
        )
        entry.ready = True

    async def wait_until_targets_known(self, entry: Entry) -> None:
        """Wait until an entry instance knows every worker and runner that was started.

        The instance list lags, so an instance can be ready with a part of the targets.
        """
        expected = Counter(
            TARGET_KINDS[process]
            for process in self.targets.values()
            if process in TARGET_KINDS
        )
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while (known := await self._known_targets(entry)) != expected:
            if time.monotonic() > deadline:
                raise ProcessError(
                    f"{entry.instance_id} knows {known}, expected {expected}\n"
                    f"{entry.process.last_log_lines()}"
                )
            await asyncio.sleep(POLL_SECONDS)

    async def _known_targets(self, entry: Entry) -> Counter[str]:
        status = await self._call("GET", entry.address, "/v1/status")
        known: Counter[str] = Counter()
        for row in status["targets"]:
            if row["kind"] in TARGET_KINDS.values():
                known[row["kind"]] += row["live"]
        return known

    async def list_entry(self, entry: Entry, state: InstanceState) -> None:
        """Add an entry instance to the instance list, or change its state there."""
        record = InstanceRecord(
            instance_id=entry.instance_id,
            kind=InstanceKind.ENTRY,
            state=state,
            address=entry.address,
            region=self.deployment.region,
            zone=entry.zone,
        )
        await self._call("POST", self.addresses["instances"], "/instances", [record])

    async def unlist(self, instance_id: str) -> None:
        """Remove an instance from the instance list."""
        path = f"/instances/{instance_id}"
        await self._call("DELETE", self.addresses["instances"], path)

    async def set_target_state(self, target_id: str, state: InstanceState) -> None:
        """Mark a worker or runner in the instance list; a runner also reports it."""
        path = f"/instances/{target_id}/state"
        await self._call("POST", self.addresses["instances"], path, {"state": state})
        if self.targets[target_id] == "runners":
            leaving = state is InstanceState.LEAVING
            await self.control(target_id, {"leaving": leaving})

    async def control(self, name: str, changes: dict[str, object]) -> None:
        """Set faults of one target, or of all targets of a stand-in process."""
        process = name if name in self.controls else self.targets[name]
        targets = "all" if name in self.controls else [name]
        body = {"targets": targets, **changes}
        await self._call("POST", self.controls[process], "/control", body)

    async def facts(self, name: str) -> dict[str, dict[str, Any]]:
        """Return the recorded facts of all targets of a stand-in process."""
        if name not in self.controls:
            return {}
        answer: dict[str, dict[str, Any]] = await self._call(
            "GET", self.controls[name], "/control"
        )
        return answer

    async def rows(self, prefix: str) -> dict[str, Any]:
        """Return the decoded rows of the table under the prefix."""
        path = f"/control/rows?prefix={prefix}"
        rows = await self._call("GET", self.addresses["table"], path)
        return {
            row["key"]: msgspec.msgpack.decode(base64.b64decode(row["value"]))
            for row in rows
            if row["value"] is not None
        }

    async def _call(
        self, method: str, address: str, path: str, body: object = None
    ) -> Any:
        data = None if body is None else msgspec.json.encode(body)
        url = f"http://{address}{path}"
        async with self.session.request(method, url, data=data) as answer:
            content = await answer.read()
            if answer.status != 200:
                raise ProcessError(f"{method} {url}: {answer.status} {content!r}")
            return msgspec.json.decode(content)

    def stop(self) -> None:
        """Kill all processes."""
        for entry in self.entries.values():
            entry.process.kill()
        for process in self.processes.values():
            process.kill()

    def last_log_lines(self) -> str:
        """Return the last log lines of all processes."""
        processes = [entry.process for entry in self.entries.values()]
        return "\n".join(
            process.last_log_lines()
            for process in [*processes, *self.processes.values()]
        )


class ReadyLine(msgspec.Struct):
    """The line that a stand-in prints when it is ready."""

    control: str
    targets: dict[str, str]


@dataclass(slots=True, frozen=True)
class GangTask:
    """Working time of one gang member, as its worker recorded it."""

    task_index: int
    state: str
    intervals: tuple[tuple[float, float], ...]
    ended_at: float


def partial_seconds(tasks: list[GangTask], size: int) -> float:
    """Return for how many seconds some members of a gang worked without the others.

    A member that finished counts as present from then on. The result is infinite if
    the gang has ended and a member never worked.
    """
    working = [task for task in tasks if task.intervals]
    if not working:
        return 0.0
    missing = len({task.task_index for task in working}) < size
    if missing and all(task.state != "running" for task in working):
        return math.inf
    times = sorted(
        {time for task in working for pair in task.intervals for time in pair}
    )
    partial = 0.0
    for begin, end in itertools.pairwise(times):
        middle = (begin + end) / 2
        active = [
            any(first <= middle < last for first, last in task.intervals)
            for task in working
        ]
        present = [
            is_active or (task.state == "finished" and task.ended_at <= middle)
            for is_active, task in zip(active, working, strict=True)
        ]
        if any(active) and (missing or not all(present)):
            partial += end - begin
    return partial
