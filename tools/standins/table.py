"""Stand-in of the table service: ``python -m standins.table --port 0``."""

from __future__ import annotations

from typing import TypeVar

import click
import msgspec
from aiohttp import web

from egretloft._internal.platform.protocols import Transaction
from standins.server import run
from standins.table_state import TableState
from standins.target import Target, json_response

T = TypeVar("T")


class ReadBody(msgspec.Struct):
    """Body of a read."""

    key: str


class ScanBody(msgspec.Struct):
    """Body of a scan."""

    prefix: str
    after_version: int = 0


class TableTarget(Target):
    """The table service over HTTP."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__("table", host, port)
        self.state = TableState()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [
            web.post("/table/read", self.read),
            web.post("/table/scan", self.scan),
            web.post("/table/commit", self.commit),
            web.get("/control/rows", self.rows),
        ]

    async def read(self, request: web.Request) -> web.Response:
        """Answer with the row or nil."""
        body = await self.body(request, ReadBody)
        if isinstance(body, web.Response):
            return body
        return _answer({"row": self.state.read(body.key)})

    async def scan(self, request: web.Request) -> web.Response:
        """Answer with the changed rows and the store version."""
        body = await self.body(request, ScanBody)
        if isinstance(body, web.Response):
            return body
        return _answer(self.state.scan(body.prefix, body.after_version))

    async def commit(self, request: web.Request) -> web.Response:
        """Apply a transaction."""
        body = await self.body(request, Transaction)
        if isinstance(body, web.Response):
            return body
        committed = self.state.commit(body)
        if committed is None:
            return _answer({"error": "conflict", "message": "a check failed"}, 409)
        return _answer(committed)

    async def rows(self, request: web.Request) -> web.Response:
        """Answer with the rows under ``prefix``; for tests, so faults do not apply.

        The values are base64 text.
        """
        prefix = request.query.get("prefix", "")
        rows = self.state.rows.values()
        return json_response([row for row in rows if row.key.startswith(prefix)])

    async def body(self, request: web.Request, type_: type[T]) -> T | web.Response:
        """Return the decoded body, or the refusal of a malformed one."""
        try:
            return msgspec.msgpack.decode(await request.read(), type=type_)
        except msgspec.DecodeError as error:
            return self.refusal(str(error))

    def refusal(self, message: str) -> web.Response:
        """Return the answer that says that nothing was done."""
        return _answer({"error": "not_applied", "message": message}, 503)

    def facts(self) -> dict[str, object]:
        """Return sizes and counts; the rows can be read through the service."""
        return {
            "version": self.state.version,
            "rows": len(self.state.rows),
            "bytes": sum(len(row.value or b"") for row in self.state.rows.values()),
            "reads": self.state.reads,
            "commits": self.state.commits,
        }


def _answer(value: object, status: int = 200) -> web.Response:
    return web.Response(body=msgspec.msgpack.encode(value), status=status)


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 chooses a free port.")
def main(host: str, port: int) -> None:
    """Serve a transactional table in memory."""
    run([TableTarget(host, port)])


if __name__ == "__main__":
    main()
