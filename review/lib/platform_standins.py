"""Stand-ins of the users' platform, and a small deployment of the program.

Written for the review cases, with the standard library only. They follow PROTOCOL.md;
each limit is named where it is applied. Nothing here judges the program: the cases do,
from the events that are recorded here.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEY = "review-key"
DOMAIN = "review.example"
TENANT = "tenant-a"
SERVICE = "service-a"
GRACE_S = 6
# Bounds of sites/vinkvoti.toml, and limits of PROTOCOL.md and DEPLOY.md.
ACK_TIMEOUT_S = 4.0
HOLD_MAX_S = 10.0
KILL_GRACE_S = 0.4
CHECKPOINT_INTERVAL_S = 0.5
HEARTBEAT_S = 1.5
TXN_S = 0.005
STORE_DELAY_S = 0.002
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS = 500
ENDS_PER_ANSWER = 500
MAX_WAIT_S = 2.0
CLOCK_RATE = 0.99
PORTS = (10_000, 32_000)
READY_S = 20.0

Answer = tuple[int, dict[str, Any]] | None


class Record:
    """The record of a case: what was sent, answered and run, one event a line."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.started

    def add(self, event: str, **fields: Any) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


@dataclass
class Call:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Call], Awaitable[Answer]]


class HttpServer:
    """An HTTP/1.1 server on a loopback port. A handler's ``None`` means no answer."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return IP and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen; after a stop, on the same port as before."""
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=4 * MAX_CALL_BYTES, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop to listen, and reset all channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel until it ends."""
        self.writers.add(writer)
        try:
            while (call := await read_call(reader)) is not None:
                answer = await self.handler(call)
                if answer is None:
                    # A channel on which an answer is lost delivers nothing more.
                    await reader.read()
                    return
                status, body = answer
                data = json.dumps(body, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read one request; return ``None`` at the end of the channel."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers: dict[str, str] = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
    return Call(method, parts.path, query, headers, body)


async def http_call(
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, Any]] | None:
    """Make one call on a channel of its own; return ``None`` without an answer."""
    data = json.dumps(body).encode() if body is not None else b""
    fields = {"Host": HOST, "Content-Length": len(data), **(headers or {})}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 22)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()).strip():
                name, _, value = line.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            text = await reader.readexactly(length)
    except (OSError, IndexError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
    with contextlib.suppress(ValueError):
        found = json.loads(text or b"{}")
        return status, found if isinstance(found, dict) else {}
    return status, {}


RowId = tuple[str, str, str]


class Store:
    """The platform's metadata store, as PROTOCOL.md tells it. ``down``: no answers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[RowId, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.down = False
        self.busy_until: dict[str, float] = {}
        self.refused: dict[int, int] = {}
        # Keys of rows of which the writes get no answer, and are done late.
        self.late_keys: set[str] = set()
        self.late_s = 0.0
        self.writes = 0
        self.lost_writes = 0
        self.late: set[asyncio.Task[None]] = set()
        self.server = HttpServer(self.handle)

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Write, or remove, a row of the operator or of a runner."""
        data = None
        if value is not None:
            data = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self.set_row((table, "", key), data)
        self.wake()

    def set_row(self, row_id: RowId, value: str | None) -> None:
        """Set one row at the current version."""
        table, part, key = row_id
        row = {"table_name": table, "part": part, "key": key}
        row["schema_version"] = self.version
        if value is None:
            self.rows.pop(row_id, None)
            row["deleted"] = True
        else:
            row["value"] = value
            self.rows[row_id] = row
        self.history.append(row)

    def wake(self) -> None:
        """Wake all feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, call: Call) -> Answer:
        """Serve one call."""
        if self.down:
            return None
        await asyncio.sleep(STORE_DELAY_S)
        if call.path == "/rows-tx":
            answer = await self.transact(call)
        elif call.path == "/rows-get":
            answer = self.get(call.query)
        elif call.path == "/rows-feed":
            answer = await self.feed(call.query)
        else:
            answer = (404, {})
        if answer is not None and answer[0] not in (200, 412):
            self.refused[answer[0]] = self.refused.get(answer[0], 0) + 1
        await asyncio.sleep(STORE_DELAY_S)
        # An outage that has begun meanwhile takes the answer too.
        return None if self.down else answer

    async def transact(self, call: Call) -> Answer:
        """Apply all entries of a transaction or none."""
        body = json.loads(call.body)
        expected = body.get("expected_revision") or []
        writes = body.get("write") or []
        removes = body.get("remove") or []
        if len(call.body) > MAX_CALL_BYTES:
            return 400, {"reason": "call too large"}
        if len(expected) + len(writes) + len(removes) > MAX_ENTRIES:
            return 400, {"reason": "too many entries"}
        sizes = [len(base64.b64decode(w["value"])) for w in writes]
        if max(sizes, default=0) > ROW_BYTES:
            self.record.add("store refuses a row", bytes=max(sizes), limit=ROW_BYTES)
            return 400, {"reason": "row too large"}
        if any(row["table_name"] in ("op", "servers") for row in [*writes, *removes]):
            return 403, {}
        part = (writes or removes or expected)[0].get("part", "")
        loop = asyncio.get_running_loop()
        begins = max(loop.time(), self.busy_until.get(part, 0.0))
        if begins - loop.time() > 1.0:
            return 429, {}
        self.busy_until[part] = begins + TXN_S
        await asyncio.sleep(self.busy_until[part] - loop.time())
        self.writes += 1
        if any(row["key"] in self.late_keys for row in writes):
            self.lost_writes += 1
            self.record.add("store loses the answer", key=writes[0]["key"])
            task = asyncio.create_task(self.apply_late(expected, writes, removes))
            self.late.add(task)
            return None
        return self.apply(expected, writes, removes)

    async def apply_late(self, *entries: list[dict[str, Any]]) -> None:
        """Apply a transaction seconds later, if its condition still holds."""
        await asyncio.sleep(self.late_s)
        answer = self.apply(*entries)
        status = answer[0] if answer is not None else None
        self.record.add("late write", key=entries[1][0]["key"], status=status)

    def apply(
        self,
        expected: list[dict[str, Any]],
        writes: list[dict[str, Any]],
        removes: list[dict[str, Any]],
    ) -> Answer:
        """Apply all entries if every row has the version that is expected."""
        current = []
        for row in expected:
            row_id = (row["table_name"], row.get("part", ""), row["key"])
            absent = dict(zip(("table_name", "part", "key"), row_id, strict=True))
            current.append(self.rows.get(row_id, {**absent, "schema_version": 0}))
        if any(
            row["schema_version"] != found["schema_version"]
            for row, found in zip(expected, current, strict=True)
        ):
            return 412, {"rows": current, "schema_version": self.version}
        self.version += 1
        for row in writes:
            self.set_row(
                (row["table_name"], row.get("part", ""), row["key"]), row["value"]
            )
        for row in removes:
            self.set_row((row["table_name"], row.get("part", ""), row["key"]), None)
        self.wake()
        return 200, {"schema_version": self.version}

    def get(self, query: dict[str, str]) -> Answer:
        """Return a page of a partition's rows."""
        table, part = query["table_name"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target", "")
        rows = sorted(
            (
                row
                for row_id, row in self.rows.items()
                if row_id[:2] == (table, part)
                and row_id[2] >= first
                and (not last or row_id[2] < last)
            ),
            key=lambda row: row["key"].encode(),
        )
        page: list[dict[str, Any]] = []
        size = 0
        for row in rows:
            size += len(row["value"])
            if len(page) == MAX_ROWS or (page and size > MAX_CALL_BYTES):
                break
            page.append(row)
        return 200, {
            "rows": page,
            "schema_version": self.version,
            "has_more": len(page) < len(rows),
            "now_ms": int(time.monotonic() * 1000),
        }

    async def feed(self, query: dict[str, str]) -> Answer:
        """Return the changed rows of a table as soon as there is one."""
        table, after = query["table_name"], int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + min(30.0, int(query.get("wait_ms", "0")) / 1000)
        while True:
            rows = []
            for row in reversed(self.history):
                if row["schema_version"] <= after:
                    break
                if row["table_name"] == table:
                    rows.append(row)
            left = until - loop.time()
            if rows or left <= 0:
                rows.reverse()
                return 200, {"rows": rows, "schema_version": self.version}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()


@dataclass
class Run:
    """One run of a task on a runner; ``how`` is empty while it is there."""

    task: str
    attempt: int
    runner: str
    boot: int
    spec: dict[str, Any]
    checkpoint: str
    started: float
    how: str = ""
    ended: float = 0.0
    number: int = 0
    acked: float = 0.0
    lapsed_between: bool = False
    listed: float = 0.0
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class Runner:
    """A runner: starts what it is told, under a lease, and lists runs and ends.

    What a task needs and how long it works is read from the job's ``spec``, which is
    a JSON text in these cases. Room isn't enforced (``enforce_limits`` false).
    """

    def __init__(
        self,
        runner_id: str,
        zone: str,
        rack: str,
        room: dict[str, int],
        store: Store,
        record: Record,
        kind: str = "a",
    ) -> None:
        self.runner_id = runner_id
        self.zone = zone
        self.rack = rack
        self.kind = kind
        self.room = room
        self.store = store
        self.record = record
        self.runs: list[Run] = []
        self.orders: list[tuple[float, str, str, int]] = []
        self.server = HttpServer(self.handle)
        self.boot = 0
        self.registration: asyncio.Task[None] | None = None
        # What the runner has reported of itself, and when the store accepted it.
        self.reported: list[tuple[float, dict[str, int]]] = []

    async def start(self) -> None:
        """Boot: nothing runs, no epoch is known, and all counts start anew."""
        self.boot += 1
        self.born = int(time.time() * 1000)
        self.booted = time.monotonic()
        self.active: dict[tuple[str, int], Run] = {}
        self.ends: list[Run] = []
        self.next_number = 1
        self.fence = 0
        self.lease_ms = 0.0
        self.highest: dict[str, int] = {}
        self.end_event = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None
        self.record.add(
            "runner boots",
            runner=self.runner_id,
            boot=self.boot,
            room=self.room,
            kind=self.kind,
        )
        await self.server.start()
        self.registration = asyncio.create_task(self.register())

    async def crash(self) -> None:
        """Crash: everything that runs is gone, nothing is sent."""
        self.record.add("runner crashes", runner=self.runner_id, runs=len(self.active))
        if self.registration is not None:
            self.registration.cancel()
        await self.server.stop()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        for run in self.active.values():
            self.cancel_timers(run)
            run.how, run.ended = "crashed", self.record.now()
        self.active.clear()

    def clock_ms(self) -> float:
        """Return the runner's steady clock, which starts anew with each boot."""
        return (time.monotonic() - self.booted) * 1000 * CLOCK_RATE

    async def register(self) -> None:
        """Write the runner's entry at its boot and about every heartbeat."""
        sequence = 0
        while True:
            while self.store.down:
                await asyncio.sleep(0.05)
            sequence += 1
            entry = {
                "backend": SERVICE,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "capacity": 8,
                "state": "ready",
                "sequence": sequence,
                "free_resources": self.room,
                "labels": [self.kind, self.rack],
                "born": self.born,
            }
            self.store.put("servers", self.runner_id, entry)
            if sequence == 1:
                self.reported.append((self.record.now(), dict(self.room)))
                self.record.add(
                    "runner registers",
                    runner=self.runner_id,
                    boot=self.boot,
                    room=self.room,
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, call: Call) -> Answer:
        """Serve one call of the system."""
        boot = self.boot
        if call.headers.get("expected-instance", self.runner_id) != self.runner_id:
            return 421, {}
        body = json.loads(call.body or b"{}")
        if body.get("fencing_token", 0) < self.fence:
            return 409, {"server_time_ms": int(self.clock_ms()), "reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        if call.path == "/run-start":
            answer: Answer = self.start_run(body)
        elif call.path == "/run-stop":
            answer = self.stop_run(body)
        elif call.path == "/hold":
            answer = await self.hold(body)
        else:
            answer = (404, {})
        return answer if boot == self.boot else None

    def extend(self, expires_at_ms: float) -> None:
        """Extend the lease, at most to the longest one; it never shortens."""
        latest = self.clock_ms() + HOLD_MAX_S * 1000
        self.lease_ms = max(self.lease_ms, min(expires_at_ms, latest))
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left = max(0.0, self.lease_ms - self.clock_ms()) / 1000 / CLOCK_RATE
        self.lease_timer = asyncio.get_running_loop().call_later(left, self.lapse)

    def lapse(self) -> None:
        """End everything that runs when the lease has run out."""
        if self.clock_ms() + 0.5 < self.lease_ms:
            self.extend(self.lease_ms)
            return
        for run in self.ends:
            run.lapsed_between = True
        for run in list(self.active.values()):
            self.end(run, "lapsed")

    def start_run(self, body: dict[str, Any]) -> Answer:
        """Start a run, unless it may not start."""
        task, attempt = body["task_id"], body["attempt"]
        now = {"server_time_ms": int(self.clock_ms())}
        if body["expires_at_ms"] < self.clock_ms():
            return 409, {**now, "reason": "late"}
        self.extend(body["expires_at_ms"])
        if (task, attempt) in self.active:
            return 200, now
        if attempt <= self.highest.get(task, 0):
            return 409, {**now, "reason": "old"}
        spec = json.loads(body["spec"])
        run = Run(
            task,
            attempt,
            self.runner_id,
            self.boot,
            spec,
            body.get("checkpoint", ""),
            self.record.now(),
        )
        self.runs.append(run)
        self.active[task, attempt] = run
        self.record.add(
            "run starts",
            runner=self.runner_id,
            task=task,
            run=attempt,
            epoch=self.fence,
        )
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(self.work_s(run), self.end, run, "done"))
        return 200, now

    def work_s(self, run: Run) -> float:
        """Return how long the run works; the job's text may name a list by index."""
        seconds = run.spec["work_s"]
        index = int(run.task.rsplit(".", 1)[1])
        return seconds[index % len(seconds)] if isinstance(seconds, list) else seconds

    def cancel_timers(self, run: Run) -> None:
        """Cancel what the run would still do."""
        for timer in run.timers:
            timer.cancel()

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.active.pop((run.task, run.attempt), None) is None:
            return
        self.cancel_timers(run)
        run.how, run.ended, run.number = how, self.record.now(), self.next_number
        self.next_number += 1
        self.highest[run.task] = max(run.attempt, self.highest.get(run.task, 0))
        self.ends.append(run)
        self.end_event.set()
        self.record.add(
            "run ends",
            runner=self.runner_id,
            task=run.task,
            run=run.attempt,
            how=how,
            number=run.number,
        )

    def stop_run(self, body: dict[str, Any]) -> Answer:
        """Stop a run; one that isn't there yet will be rejected."""
        task, attempt = body["task_id"], body["attempt"]
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        run = self.active.get((task, attempt))
        if run is not None:
            loop = asyncio.get_running_loop()
            run.timers.append(
                loop.call_later(KILL_GRACE_S / 2, self.end, run, "stopped")
            )
        return 200, {"server_time_ms": int(self.clock_ms())}

    async def hold(self, body: dict[str, Any]) -> Answer:
        """Extend the lease, forget the ends that are known, and list runs and ends."""
        boot = self.boot
        if body.get("expires_at_ms"):
            self.extend(body["expires_at_ms"])
        seen = body.get("last_seen", 0)
        for run in self.ends:
            if run.number <= seen:
                run.acked = self.record.now()
        self.ends = [run for run in self.ends if run.number > seen]
        wait = min(MAX_WAIT_S, body.get("wait_ms", 0) / 1000)
        if wait and not self.ends:
            self.end_event.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self.end_event.wait()
        if boot != self.boot:
            return None
        listed = self.ends[:ENDS_PER_ANSWER]
        for run in listed:
            run.listed = run.listed or self.record.now()
        return 200, {
            "server_time_ms": int(self.clock_ms()),
            "born": self.born,
            "active": [
                [
                    run.task,
                    run.attempt,
                    self.checkpoint_of(run),
                    self.percent_of(run),
                    0,
                ]
                for run in self.active.values()
            ],
            "finished": [
                [run.number, run.task, run.attempt, run.how, self.checkpoint_of(run)]
                for run in listed
            ],
        }

    def checkpoint_of(self, run: Run) -> str:
        """Return the newest checkpoint: 16 characters, as on the wire page."""
        worked = (run.ended or self.record.now()) - run.started
        steps = int(worked / CHECKPOINT_INTERVAL_S)
        if not run.spec.get("checkpoints") or not steps:
            return run.checkpoint
        return f"{steps:08x}{run.task[:8]}"

    def percent_of(self, run: Run) -> int:
        """Return how much of its work the run has done."""
        return min(99, int(100 * (self.record.now() - run.started) / self.work_s(run)))


def free_port() -> int:
    """Return a port that is free now, below those that outgoing channels get."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as listener, contextlib.suppress(OSError):
            listener.bind((HOST, port))
            return port


class Program:
    """One instance of the program, started by the run line of the deploy file."""

    def __init__(self, name: str, zone: str, folder: Path, store_address: str) -> None:
        self.name = name
        self.zone = zone
        self.folder = folder
        self.store_address = store_address
        self.process: asyncio.subprocess.Process | None = None
        self.choose_ports()

    def choose_ports(self) -> None:
        """Choose free ports; another process may still take them."""
        self.http_port, self.ready_port = free_port(), free_port()
        self.peer_port, self.metrics_port = free_port(), free_port()

    def write_settings(self) -> Path:
        """Write the settings file in the format of DEPLOY.md."""
        path = self.folder / f"{self.name}.conf"
        lines = {
            "node_name": self.name,
            "role": "egretloft",
            "instance_class": "edge",
            "serves": "edge",
            "ip": HOST,
            "zone": self.zone,
            "region": "region",
            "bind_addresses.http": f"{HOST}:{self.http_port}",
            "bind_addresses.readiness": f"{HOST}:{self.ready_port}",
            "port_range": f"{self.peer_port},{self.peer_port}",
            "bootstrap": "true",
            "limits.cpu_quota": "0.537",
            "limits.cpu_cores": "2",
            "limits.memory_mb": "300",
            "discovery": "platform",
            "ingress": "anycast",
            "heartbeat_ms": "1500",
            "parameters.contact_ms": "3000",
            "parameters.ack_timeout_ms": "4000",
            "parameters.grace_s": str(GRACE_S),
            "parameters.config_apply_ms": "2000",
            "parameters.cancel_ms": "3000",
            "parameters.hold_max_ms": "10000",
            "parameters.kill_grace_ms": "400",
            "parameters.gang_timeout_ms": "3000",
            "commands": "request",
            "platform.address": self.store_address,
            "platform.form": "table",
            "platform.row_bytes": str(ROW_BYTES),
        }
        path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        return path

    async def start(self) -> None:
        """Start the process from the repository's root, with nothing else around it."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["EGRETLOFT_SETTINGS"] = str(self.write_settings())
        environment["EGRETLOFT_METRICS_PORT"] = str(self.metrics_port)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "target/app/deploy/egretloft_platform.py",
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=environment,
            )

    async def restart_if_ended(self) -> None:
        """Start the process again, on other ports, if it has ended by itself."""
        if self.process is not None and self.process.returncode is not None:
            self.choose_ports()
            await self.start()

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        answer = await http_call(self.ready_port, "GET", "/readyz", timeout=1.0)
        return answer is not None and answer[0] == 200

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """A small deployment: a store, runners, instances and clients' calls."""

    def __init__(self, record: Record, zones: tuple[str, ...]) -> None:
        self.record = record
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="egretloft-review-"))
        self.store = Store(record)
        self.runners: list[Runner] = []
        self.programs: list[Program] = []
        self.calls = 0

    async def start(self, instances: int, runners: int, room: dict[str, int]) -> bool:
        """Start everything; return whether all instances became ready."""
        await self.store.server.start()
        routes = [
            {
                "name": f"queue-{priority}",
                "host": DOMAIN,
                "path_prefix": f"/queue-{priority}/",
                "backend": SERVICE,
                "priority": priority,
                "attempts": 4,
                "slack_factor": 3.0,
                "target_latency_ms": 1000,
                "timeout_ms": 3000,
            }
            for priority in range(3)
        ]
        tenant = {"name": TENANT, "api_keys": [KEY], "guaranteed": {"gpus": 8}}
        config = {
            "version": 1,
            "routes": routes,
            "backends": [{"name": SERVICE}],
            "tenants": [tenant],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.put("op", "config", config)
        for number in range(runners):
            zone = self.zones[number % len(self.zones)]
            runner = Runner(
                f"i-{number:010x}",
                zone,
                f"r-{number}",
                dict(room),
                self.store,
                self.record,
            )
            self.runners.append(runner)
            await runner.start()
        for number in range(instances):
            zone = self.zones[number % len(self.zones)]
            address = self.store.server.address
            self.programs.append(Program(f"edge-{number}", zone, self.folder, address))
            await self.programs[-1].start()
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            for program in self.programs:
                await program.restart_if_ended()
            ready = [await program.is_ready() for program in self.programs]
            if all(ready):
                # A leader is chosen within seconds.
                await asyncio.sleep(3.0)
                self.record.add("deployment ready", folder=self.folder)
                return True
            await asyncio.sleep(0.1)
        return False

    async def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]] | None:
        """Call the instances in turn, as a client does."""
        program = self.programs[self.calls % len(self.programs)]
        self.calls += 1
        headers = {
            "Host": DOMAIN,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "3000",
            "Content-Type": "application/json",
        }
        answer = await http_call(program.http_port, method, path, body, headers)
        self.record.add(
            "call",
            method=method,
            path=path,
            instance=program.name,
            answer=answer[0] if answer else None,
            body=answer[1] if answer else "",
        )
        return answer

    async def submit(
        self,
        queue: int,
        job_id: str,
        spec: dict[str, Any],
        phases: list[dict[str, Any]],
    ) -> bool:
        """Submit a job with up to five tries; return whether it was accepted."""
        body = {"spec": json.dumps(spec), "phases": phases}
        for _ in range(5):
            answer = await self.call("POST", f"/queue-{queue}/{job_id}", body)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, queue: int, job_id: str) -> str:
        """Return a job's state, or an empty text without one."""
        answer = await self.call("GET", f"/queue-{queue}/{job_id}")
        return answer[1].get("state", "") if answer and answer[0] == 200 else ""

    async def wait_for_state(
        self, queue: int, job_id: str, state: str, seconds: float
    ) -> bool:
        """Wait until a job is shown in a state; return whether it was in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.state(queue, job_id) == state:
                return True
            await asyncio.sleep(0.5)
        return False

    def runs(self) -> list[Run]:
        """Return all runs of all runners, in the order of their starts."""
        found = [run for runner in self.runners for run in runner.runs]
        return sorted(found, key=lambda run: run.started)

    async def stop(self) -> None:
        """End every process that was started, and all stand-ins."""
        for program in self.programs:
            await program.kill()
        for runner in self.runners:
            await runner.crash()
        await self.store.server.stop()
        if "REVIEW_KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


Case = Callable[[Deployment, Record, bool], Awaitable[int]]


def main(
    case: Case, folder: Path, zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play() -> int:
        deployment = Deployment(record, zones)
        try:
            async with asyncio.timeout(110):
                return await case(deployment, record, trouble)
        except TimeoutError:
            record.add("the case took too long")
            return 2
        finally:
            await deployment.stop()

    try:
        code = asyncio.run(play())
    except Exception as error:
        record.add("the case could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    record.add("verdict", code=code, trouble=trouble)
    record.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
