"""The emulated store and targets behind the platform's HTTP interface."""

from __future__ import annotations

import asyncio
import base64
import random
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

CALL_SECONDS = 5.0
REASONS = {refusal: reason for reason, refusal in REFUSAL_REASONS.items()}
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def json_answer(status: int, body: msgspec.Struct) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


def break_off(request: web.BaseRequest) -> web.StreamResponse:
    """Reset the caller's connection; the response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def wire_row(row: StoredRow) -> WireRow:
    """Return a row as the platform spells it."""
    value = base64.b64encode(row.value or b"").decode("ascii")
    return WireRow(
        row.key.table, row.key.part, row.key.key, value, row.version, row.value is None
    )


class StoreServer:
    """Serves the emulated store; ``modes`` holds faults by the caller's address."""

    def __init__(self, store: EmulatedStore) -> None:
        self.store = store
        self.clients: dict[str, StoreClient] = {}

    def client(self, address: str) -> StoreClient:
        """Return the path of one calling address."""
        return self.clients.setdefault(address, StoreClient(self.store))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one call."""
        client = self.client(request.remote or "")
        if request.path == "/rows-tx":
            body = msgspec.json.decode(await request.read(), type=WireTransaction)
            result = await client.commit(transaction_of(body), CALL_SECONDS)
            if isinstance(result, Failure):
                return self.failure(request, result.failure())
            return json_answer(200, WireRows([], result.unwrap()))
        query = request.query
        if request.path == "/rows-get":
            page = await client.read(
                query["table_name"],
                query.get("part", ""),
                CALL_SECONDS,
                query.get("from", ""),
                query.get("target", ""),
            )
        else:
            wait = int(query.get("wait_ms", "0")) / 1000
            page = await client.feed(query["table_name"], int(query["after"]), wait)
        if isinstance(page, Failure):
            return self.failure(request, page.failure())
        found = page.unwrap()
        rows = [wire_row(row) for row in found.rows]
        return json_answer(200, WireRows(rows, found.version, found.has_more))

    def failure(
        self, request: web.BaseRequest, failure: StoreFailure
    ) -> web.StreamResponse:
        """Return the response to a call that failed."""
        if failure.kind is StoreFailureKind.CONFLICT:
            rows = [wire_row(row) for row in failure.rows]
            return json_answer(412, WireRows(rows, self.store.version))
        if failure.kind is StoreFailureKind.HISTORY_LOST:
            return json_answer(410, WireRows())
        if failure.kind is StoreFailureKind.REFUSED:
            return json_answer(503, WireRows())
        return break_off(request)


def transaction_of(body: WireTransaction) -> RowTransaction:
    """Return a transaction in the product's terms."""
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
        """Serve one order."""
        data = await request.read()
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
                await self.client.stop(report, key, stop.fencing_token, CALL_SECONDS),
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
            body.checkpoint,
        )
        result = await self.client.start(report, order, CALL_SECONDS)
        return order_answer(request, result)

    async def renew(
        self, request: web.BaseRequest, report: TargetReport
    ) -> web.StreamResponse:
        """Serve a lease renewal."""
        body = msgspec.json.decode(await request.read(), type=WireHold)
        result = await self.client.renew(
            report,
            body.fencing_token,
            body.last_seen,
            body.expires_at_ms or None,
            body.wait_ms / 1000,
            CALL_SECONDS,
        )
        if isinstance(result, Failure):
            return order_failure(request, result.failure())
        return json_answer(200, wire_renewal_answer(result.unwrap()))


def wire_renewal_answer(answer: RenewalAnswer) -> WireHoldAnswer:
    """Return both lists as the platform spells them."""
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
    """Return the response to an order."""
    if isinstance(result, Failure):
        return order_failure(request, result.failure())
    return json_answer(200, WireRunnerAnswer(result.unwrap()))


def order_failure(
    request: web.BaseRequest, failure: TargetFailure
) -> web.StreamResponse:
    """Return the response to an order that failed; without an answer, reset."""
    if failure.refusal is None:
        return break_off(request)
    reason = REASONS.get(failure.refusal, "")
    return json_answer(409, WireRunnerAnswer(failure.target_time_ms or 0, reason))


def wire_server(target: EmulatedTarget, address: str) -> WireServer:
    """Return a target's entry in the table of targets."""
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
    )


@dataclass(slots=True)
class Listener:
    """A server on a loopback port."""

    runner: web.ServerRunner
    address: str


@dataclass(slots=True)
class HttpPlatform:
    """The store and the targets of a world on loopback ports."""

    store: EmulatedStore
    targets: dict[str, EmulatedTarget]
    generator: random.Random
    listeners: list[Listener] = field(default_factory=list)
    check_ins: list[asyncio.Task[None]] = field(default_factory=list)
    store_address: str = ""
    check_in_seconds: float = 0.5

    async def start(self) -> None:
        """Listen, and let all targets register."""
        server = StoreServer(self.store)
        self.store_address = await self.listen(server.handle)
        for target in self.targets.values():
            address = await self.listen(TargetServer(target, self.generator).handle)
            task = asyncio.create_task(self.check_in(target, address))
            self.check_ins.append(task)

    async def listen(self, handler: Handler) -> str:
        """Serve a handler on a free port and return its address."""
        runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        address = f"{host}:{port}"
        self.listeners.append(Listener(runner, address))
        return address

    async def check_in(self, target: EmulatedTarget, address: str) -> None:
        """Register as often as the platform asks, unless cut off."""
        while True:
            if not target.cut and self.store.mode is StoreMode.WORKS:
                entry = msgspec.json.encode(wire_server(target, address))
                self.store.put("servers", target.target_id, entry)
            await asyncio.sleep(self.check_in_seconds)

    async def stop(self) -> None:
        """End all servers."""
        for task in self.check_ins:
            task.cancel()
        await asyncio.gather(*self.check_ins, return_exceptions=True)
        for listener in self.listeners:
            await listener.runner.cleanup()
