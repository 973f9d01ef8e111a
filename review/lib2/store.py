"""Stand-in of the platform's metadata store, with the limits that its page states.

It enforces ``row_bytes``, 100 entries and 1 MB a call, one partition a transaction, and
that the system may not write the tables ``op`` and ``servers``. Calls of runners and of
the operator come by private routes that no instance knows.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass

from aiohttp import web

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_NAME_BYTES = 200
ANSWER_SECONDS = 0.004
TRANSACTION_SECONDS = 0.005
PLATFORM_TABLES = ("op", "servers")

Key = tuple[str, str, str]


@dataclass(frozen=True)
class Row:
    """A row; ``value`` is ``None`` once it is removed."""

    key: Key
    value: bytes | None
    version: int

    def wire(self) -> dict[str, object]:
        """Return the row as the page spells it."""
        table, part, key = self.key
        row: dict[str, object] = {
            "table_name": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(self.value or b"").decode(),
            "schema_version": self.version,
        }
        if self.value is None:
            row["deleted"] = True
        return row


class Store:
    """Rows of all tables with one version counter; ``down`` leaves calls unanswered."""

    def __init__(self) -> None:
        self.rows: dict[Key, Row] = {}
        self.history: list[Row] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.locks: dict[str, asyncio.Lock] = {}
        self.down = False
        self.refused: list[tuple[float, str]] = []

    def put(self, table: str, key: str, value: object | None) -> None:
        """Write or remove a row as the operator or a runner does."""
        data = None if value is None else json.dumps(value).encode()
        self.apply([((table, "", key), data)])

    def apply(self, writes: list[tuple[Key, bytes | None]]) -> int:
        """Apply writes atomically and return their version."""
        self.version += 1
        for key, value in writes:
            row = Row(key, value, self.version)
            self.history.append(row)
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    # The calls of the page.

    def answer(self, status: int, body: dict[str, object]) -> web.Response:
        """Return a JSON answer with the newest version and the store's clock."""
        body = {"schema_version": self.version, **body}
        body["now_ms"] = int(time.monotonic() * 1000)
        return web.json_response(body, status=status)

    def refuse(self, why: str) -> web.Response:
        """Refuse a malformed call, which then has no effect."""
        self.refused.append((time.time(), why))
        return self.answer(400, {"reason": why})

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one call."""
        body = await request.read()
        while self.down:
            await asyncio.sleep(0.02)
            if request.transport is None or request.transport.is_closing():
                return web.Response(status=500)
        if request.path == "/rows-tx":
            return await self.transact(body)
        await asyncio.sleep(ANSWER_SECONDS)
        if request.path == "/rows-get":
            return self.read(request)
        if request.path == "/rows-feed":
            return await self.feed(request)
        return web.Response(status=404)

    async def transact(self, body: bytes) -> web.Response:
        """Serve a transaction."""
        if len(body) > MAX_CALL_BYTES:
            return self.refuse(f"a call of {len(body)} bytes")
        call = json.loads(body)
        expected = call.get("expected_revision") or []
        writes = call.get("write") or []
        removes = call.get("remove") or []
        entries = [*expected, *writes, *removes]
        if not entries or len(entries) > MAX_ENTRIES:
            return self.refuse(f"{len(entries)} entries")
        if len({entry["part"] for entry in entries}) > 1:
            return self.refuse("several parts")
        for entry in entries:
            names = (entry["table_name"], entry["part"], entry["key"])
            if any(len(name.encode()) > MAX_NAME_BYTES for name in names):
                return self.refuse("a name is too long")
        if any(e["table_name"] in PLATFORM_TABLES for e in [*writes, *removes]):
            return self.answer(403, {})
        values = [(key_of(entry), base64.b64decode(entry["value"])) for entry in writes]
        for key, value in values:
            if len(value) > ROW_BYTES:
                return self.refuse(f"a row of {len(value)} bytes: {'/'.join(key)}")
        lock = self.locks.setdefault(entries[0]["part"], asyncio.Lock())
        async with lock:
            await asyncio.sleep(TRANSACTION_SECONDS)
            current = [self.current(key_of(entry)) for entry in expected]
            for entry, row in zip(expected, current, strict=True):
                if entry["schema_version"] != row.version:
                    return self.answer(412, {"rows": [row.wire() for row in current]})
            removed = [(key_of(entry), None) for entry in removes]
            version = self.apply([*values, *removed])
        return self.answer(200, {"schema_version": version})

    def current(self, key: Key) -> Row:
        """Return a row; an absent one has version 0."""
        return self.rows.get(key, Row(key, None, 0))

    def read(self, request: web.Request) -> web.Response:
        """Serve a read of a range of keys."""
        query = request.query
        table, part = query["table_name"], query.get("part", "")
        low, high = query.get("from", ""), query.get("target", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("max_items", MAX_PAGE_ROWS)))
        found = sorted(
            (
                row
                for key, row in self.rows.items()
                if key[:2] == (table, part)
                and key[2].encode() >= low.encode()
                and (not high or key[2].encode() < high.encode())
            ),
            key=lambda row: row.key[2].encode(),
        )
        page: list[dict[str, object]] = []
        size = 0
        for row in found:
            size += len(row.value or b"")
            if len(page) == limit or (page and size > MAX_PAGE_BYTES):
                break
            page.append(row.wire())
        return self.answer(200, {"rows": page, "has_more": len(page) < len(found)})

    async def feed(self, request: web.Request) -> web.Response:
        """Serve the changes of a table, as soon as there is one."""
        query = request.query
        table, after = query["table_name"], int(query["after"])
        until = time.monotonic() + min(30_000, int(query.get("wait_ms", "0"))) / 1000
        while True:
            changes = self.changes(table, after)
            left = until - time.monotonic()
            if changes or left <= 0:
                return self.answer(200, {"rows": [row.wire() for row in changes]})
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def changes(self, table: str, after: int) -> list[Row]:
        """Return the changed rows of a table in order."""
        found: list[Row] = []
        for row in reversed(self.history):
            if row.version <= after:
                break
            if row.key[0] == table:
                found.append(row)
        return found[::-1]

    # Private routes of the runners.

    async def register(self, request: web.Request) -> web.Response:
        """Take a runner's entry, or remove it."""
        body = await request.json()
        while self.down:
            await asyncio.sleep(0.02)
        self.put("servers", body["id"], body.get("entry"))
        return web.Response()


def key_of(entry: dict[str, str]) -> Key:
    """Return the key of an entry of a transaction."""
    return entry["table_name"], entry["part"], entry["key"]


async def start_store(store: Store) -> tuple[web.AppRunner, str]:
    """Serve the store on a free loopback port; return its server and its address."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/standin/register", store.register)
    app.router.add_route("*", "/{path:.*}", store.handle)
    server = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", 0).start()
    host, port = server.addresses[0][:2]
    return server, f"{host}:{port}"
