"""Serves the emulated store and targets over the platform's HTTP interface."""

from __future__ import annotations

import asyncio
import base64
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from aiohttp import web
from returns.result import Failure, Result

from egretloft._internal.fleet.interfaces import (
    Expectation,
    RowKey,
    RowTransaction,
    StoredRow,
    StoreFailure,
    StoreFailureKind,
)
from egretloft._internal.fleet.models import (
    Renewal,
    RenewalAnswer,
    StartOrder,
    TargetFailure,
    TargetReport,
)
from egretloft.platform.targets import REFUSAL_REASONS, parse_run, task_name
from egretloft.platform.wire import (
    WireHold,
    WireHoldAnswer,
    WireRoom,
    WireRow,
    WireRows,
    WireRunnerAnswer,
    WireServer,
    WireStart,
    WireStop,
    WireTransaction,
)
from standins.fleet.store import EmulatedStore, StoreClient, StoreMode
from standins.fleet.targets import EmulatedTarget, TargetsClient

MILLISECONDS = 1000.0
CALL_TIMEOUT_SECONDS = 5.0
LINK_CHUNK_BYTES = 16 * 1024
REASONS = {refusal: reason for reason, refusal in REFUSAL_REASONS.items()}
# A target that cannot register for this many periods is removed from the store.
MISSED_REGISTRATIONS = 3
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# Returns the value of a row as one caller is to see it.
View = Callable[[RowKey, bytes], bytes]


def unchanged(key: RowKey, value: bytes) -> bytes:
    """Return the value of a row as it is stored."""
    return value


def json_answer(status: int, body: msgspec.Struct) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


class Link:
    """The caller's network link, whose capacity all its answers share."""

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.busy_until = 0.0

    async def carry(self, size: int) -> None:
        """Wait until ``size`` more bytes have passed."""
        now = asyncio.get_running_loop().time()
        begins = max(now, self.busy_until)
        self.busy_until = begins + size / self.bytes_per_second
        await asyncio.sleep(self.busy_until - now)

    async def answer(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse:
        """Send a JSON body as fast as the link carries it."""
        response = web.StreamResponse()
        response.content_type = "application/json"
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), LINK_CHUNK_BYTES):
            chunk = body[start : start + LINK_CHUNK_BYTES]
            await self.carry(len(chunk))
            await response.write(chunk)
        await response.write_eof()
        return response


def reset_connection(request: web.BaseRequest) -> web.StreamResponse:
    """Reset the caller's connection.

    The returned response, which the handler has to return, is never sent.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def wire_row(row: StoredRow, view: View = unchanged) -> WireRow:
    """Return a row, seen through ``view``, in the platform's wire format."""
    value = base64.b64encode(view(row.key, row.value or b"")).decode("ascii")
    return WireRow(
        row.key.table, row.key.part, row.key.key, value, row.version, row.value is None
    )


class StoreServer:
    """Serves the emulated store, with a client (and its faults) per caller address.

    With a ``link``, reads and feeds are answered as fast as it carries them. All rows
    are served as seen through ``view``.
    """

    def __init__(self, store: EmulatedStore, view: View = unchanged) -> None:
        self.store = store
        self.view = view
        self.link: Link | None = None
        self.clients: dict[str, StoreClient] = {}

    def client(self, address: str) -> StoreClient:
        """Return the store client for a caller's address; create it if needed."""
        return self.clients.setdefault(address, StoreClient(self.store))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call."""
        client = self.client(request.remote or "")
        if request.path == "/rows-tx":
            body = msgspec.json.decode(await request.read(), type=WireTransaction)
            result = await client.commit(transaction_of(body), CALL_TIMEOUT_SECONDS)
            if isinstance(result, Failure):
                return self.failure(request, result.failure())
            return json_answer(200, WireRows([], result.unwrap()))
        query = request.query
        if request.path == "/rows-get":
            page = await client.read(
                query["table_name"],
                query.get("part", ""),
                CALL_TIMEOUT_SECONDS,
                query.get("from", ""),
                query.get("target", ""),
            )
        else:
            wait = int(query.get("wait_ms", "0")) / 1000
            page = await client.feed(query["table_name"], int(query["after"]), wait)
        if isinstance(page, Failure):
            return self.failure(request, page.failure())
        found = page.unwrap()
        rows = [wire_row(row, self.view) for row in found.rows]
        answer = WireRows(rows, found.version, found.has_more)
        if self.link is not None:
            return await self.link.answer(request, msgspec.json.encode(answer))
        return json_answer(200, answer)

    def failure(
        self, request: web.BaseRequest, failure: StoreFailure
    ) -> web.StreamResponse:
        """Return the response to a failed call.

        A failure with an unknown outcome resets the connection.
        """
        if failure.kind is StoreFailureKind.CONFLICT:
            rows = [wire_row(row, self.view) for row in failure.rows]
            return json_answer(412, WireRows(rows, self.store.version))
        if failure.kind is StoreFailureKind.HISTORY_LOST:
            return json_answer(410, WireRows())
        if failure.kind is StoreFailureKind.REFUSED:
            return json_answer(503, WireRows())
        return reset_connection(request)


def transaction_of(body: WireTransaction) -> RowTransaction:
    """Return the transaction that a request body describes."""
    expectations = tuple(
        Expectation(RowKey(e.table_name, e.part, e.key), e.schema_version)
        for e in body.expected_revision
    )
    writes: list[tuple[RowKey, bytes | None]] = [
        (RowKey(w.table_name, w.part, w.key), base64.b64decode(w.value))
        for w in body.write
    ]
    writes.extend((RowKey(r.table_name, r.part, r.key), None) for r in body.remove)
    return RowTransaction(expectations, tuple(writes))


class TargetServer:
    """Serves one emulated target."""

    def __init__(self, target: EmulatedTarget, generator: random.Random) -> None:
        self.target = target
        self.client = TargetsClient({target.target_id: target}, generator)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a call; neither it nor its answer passes while the target is paused."""
        data = await request.read()
        await self.target.resumed.wait()
        answer = await self.serve(request, data)
        await self.target.resumed.wait()
        return answer

    async def serve(self, request: web.BaseRequest, data: bytes) -> web.StreamResponse:
        """Serve a start, stop or renewal; 421 if it is meant for another target."""
        report = self.target.report()
        expected = request.headers.get("Expected-Instance", report.target_id)
        if expected != report.target_id:
            return json_answer(421, WireRunnerAnswer())
        if request.path == "/run-start":
            return await self.start(request, report)
        if request.path == "/run-stop":
            stop = msgspec.json.decode(data, type=WireStop)
            key = parse_run(stop.task_id, stop.attempt)
            return order_answer(
                request,
                await self.client.stop(
                    report, key, stop.fencing_token, CALL_TIMEOUT_SECONDS
                ),
            )
        return await self.renew(request, report)

    async def start(
        self, request: web.BaseRequest, report: TargetReport
    ) -> web.StreamResponse:
        """Serve a start."""
        body = msgspec.json.decode(await request.read(), type=WireStart)
        order = StartOrder(
            parse_run(body.task_id, body.attempt),
            body.spec,
            body.expires_at_ms,
            body.fencing_token,
            self.target.incarnation_ms,
            body.checkpoint,
        )
        result = await self.client.start(report, order, CALL_TIMEOUT_SECONDS)
        return order_answer(request, result)

    async def renew(
        self, request: web.BaseRequest, report: TargetReport
    ) -> web.StreamResponse:
        """Serve a lease renewal."""
        body = msgspec.json.decode(await request.read(), type=WireHold)
        result = await self.client.renew(
            report,
            Renewal(
                body.fencing_token,
                self.target.incarnation_ms,
                body.last_seen,
                body.expires_at_ms or None,
            ),
            body.wait_ms / 1000,
            CALL_TIMEOUT_SECONDS,
        )
        if isinstance(result, Failure):
            return order_failure(request, result.failure())
        return json_answer(200, wire_renewal_answer(result.unwrap()))


def wire_renewal_answer(answer: RenewalAnswer) -> WireHoldAnswer:
    """Return the active runs and the ends in the platform's wire format."""
    return WireHoldAnswer(
        server_time_ms=answer.target_time_ms,
        born=answer.incarnation_ms,
        active=[
            [task_name(a.run.task), a.run.attempt, a.checkpoint, a.percent]
            for a in answer.active
        ],
        finished=[
            [e.number, task_name(e.run.task), e.run.attempt, e.kind.value, e.checkpoint]
            for e in answer.ends
        ],
    )


def order_answer(
    request: web.BaseRequest, result: Result[int, TargetFailure]
) -> web.StreamResponse:
    """Return the response to a start or stop."""
    if isinstance(result, Failure):
        return order_failure(request, result.failure())
    return json_answer(200, WireRunnerAnswer(result.unwrap()))


def order_failure(
    request: web.BaseRequest, failure: TargetFailure
) -> web.StreamResponse:
    """Return the response to a failed start, stop or renewal.

    A failure without a refusal has an unknown outcome and resets the connection.
    """
    if failure.refusal is None:
        return reset_connection(request)
    reason = REASONS.get(failure.refusal, "")
    return json_answer(409, WireRunnerAnswer(failure.target_time_ms or 0, reason))


def wire_server(target: EmulatedTarget, address: str) -> WireServer:
    """Return the row with which a target registers."""
    report = target.report()
    room = WireRoom(report.room.cpu, report.room.memory_mb, report.room.gpus)
    return WireServer(
        backend=report.service,
        address=address,
        zone=report.zone,
        state="draining" if report.draining else "ready",
        free_resources=room,
        labels=["a", report.rack],
        born=report.incarnation_ms,
        remaining_ms=(
            None
            if report.remaining_seconds is None
            else report.remaining_seconds * MILLISECONDS
        ),
    )


@dataclass(slots=True)
class Listener:
    """A server on a loopback port."""

    runner: web.ServerRunner
    address: str


@dataclass(slots=True)
class HttpPlatform:
    """The emulated store and targets, each on a loopback port.

    The targets of ``unregistered_zones`` do not reach the store: they do not register,
    and lose their rows after a while. With ``removes_silent_targets``, so do targets
    that are cut off or paused. Those of ``removed_in_outages`` lose theirs while the
    store is down, too. With ``late_orders_outlive_crashes``, targets that have
    restarted carry out late orders too.
    """

    store: EmulatedStore
    targets: dict[str, EmulatedTarget]
    generator: random.Random
    listeners: list[Listener] = field(default_factory=list)
    registrations: list[asyncio.Task[None]] = field(default_factory=list)
    store_address: str = ""
    store_server: StoreServer | None = None
    target_addresses: dict[str, str] = field(default_factory=dict)
    target_servers: dict[str, TargetServer] = field(default_factory=dict)
    late_orders_outlive_crashes: bool = False
    unregistered_zones: Counter[str] = field(default_factory=Counter)
    registration_period_seconds: float = 0.5
    removes_silent_targets: bool = False
    removed_in_outages: set[str] = field(default_factory=set)

    async def start(self) -> None:
        """Start all servers, and register all targets periodically."""
        self.store_server = StoreServer(self.store)
        self.store_address = await self.listen(self.store_server.handle)
        for target in self.targets.values():
            address = await self.listen_for(target)
            task = asyncio.create_task(self.register_periodically(target, address))
            self.registrations.append(task)

    async def open_store(self, view: View) -> str:
        """Serve the store, seen through ``view``, on another port; return its address.

        A caller of that port is subject to faults of the whole store only.
        """
        return await self.listen(StoreServer(self.store, view).handle)

    def limit_link(self, bytes_per_second: float) -> None:
        """Limit the speed at which the store's answers reach the callers."""
        assert self.store_server is not None, "the platform has not been started"
        self.store_server.link = Link(bytes_per_second)

    async def listen_for(self, target: EmulatedTarget, port: int = 0) -> str:
        """Serve a target on a port, a free one if it is 0; return its address."""
        server = TargetServer(target, self.generator)
        server.client.late_orders_outlive_crashes = self.late_orders_outlive_crashes
        self.target_servers[target.target_id] = server
        address = await self.listen(server.handle, port)
        self.target_addresses[target.target_id] = address
        return address

    async def restart_target(
        self, target: EmulatedTarget, seconds: float, listens: bool = False
    ) -> None:
        """Crash a target; after ``seconds`` it returns at its address, under its id.

        Its open connections break. Nothing listens meanwhile, or if it ``listens``,
        what arrives is handled by the new incarnation, as if a network had held it up.
        """
        address = self.target_addresses[target.target_id]
        listener = next(one for one in self.listeners if one.address == address)
        self.listeners.remove(listener)
        port = int(address.rpartition(":")[2])
        target.crash()
        target.pause()
        await listener.runner.cleanup()
        if listens:
            await self.listen_for(target, port)
        await asyncio.sleep(seconds)
        target.resumed.set()
        if not listens:
            await self.listen_for(target, port)

    async def listen(self, handler: Handler, port: int = 0) -> str:
        """Serve a handler on a port, a free one if it is 0; return its address."""
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port)
        await site.start()
        host, port = runner.addresses[0][:2]
        address = f"{host}:{port}"
        self.listeners.append(Listener(runner, address))
        return address

    async def register_periodically(self, target: EmulatedTarget, address: str) -> None:
        """Register as often as the platform asks, unless target or store is down."""
        missed = 0
        while True:
            if self.misses_registration(target):
                missed += 1
                if missed == MISSED_REGISTRATIONS:
                    self.store.put("servers", target.target_id, None)
            elif not self.is_silent(target) and self.store.mode is StoreMode.WORKS:
                missed = 0
                entry = msgspec.json.encode(wire_server(target, address))
                self.store.put("servers", target.target_id, entry)
            await asyncio.sleep(self.registration_period_seconds)

    def is_silent(self, target: EmulatedTarget) -> bool:
        """Return whether a target is cut off or paused."""
        return target.cut or target.is_paused()

    def misses_registration(self, target: EmulatedTarget) -> bool:
        """Return whether a registration that is due now counts as missed."""
        if self.unregistered_zones[target.zone]:
            return True
        if self.removes_silent_targets and self.is_silent(target):
            return True
        is_down = self.store.mode is not StoreMode.WORKS
        return is_down and target.target_id in self.removed_in_outages

    async def stop(self) -> None:
        """Stop all registrations and servers."""
        for task in self.registrations:
            task.cancel()
        await asyncio.gather(*self.registrations, return_exceptions=True)
        for listener in self.listeners:
            await listener.runner.cleanup()
