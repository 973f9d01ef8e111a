"""Stand-in of the object store: ``python -m standins.objects --port 0``."""

from __future__ import annotations

from urllib.parse import quote

import click
import msgspec
from aiohttp import web

from standins.server import run
from standins.target import Target


class ObjectsTarget(Target):
    """The object store over HTTP."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__("objects", host, port)
        self.objects: dict[str, bytes] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [
            web.put("/objects/{name:.+}", self.put),
            web.get("/objects/{name:.+}", self.get),
        ]

    async def put(self, request: web.Request) -> web.Response:
        """Store an object under a new name: 201, or 412 when it exists."""
        name = request.match_info["name"]
        headers = {"Object-Name": quote(name)}
        if name in self.objects:
            return web.Response(status=412, headers=headers)
        self.objects[name] = await request.read()
        return web.Response(status=201, headers=headers)

    async def get(self, request: web.Request) -> web.Response:
        """Answer with the object, or 404."""
        name = request.match_info["name"]
        headers = {"Object-Name": quote(name)}
        data = self.objects.get(name)
        if data is None:
            return web.Response(status=404, headers=headers)
        return web.Response(body=data, headers=headers)

    def refusal(self, message: str) -> web.Response:
        """Return the answer that says that nothing was done."""
        body = msgspec.msgpack.encode({"error": "not_applied", "message": message})
        return web.Response(body=body, status=503)

    def facts(self) -> dict[str, object]:
        """Return the size of each object."""
        return {"objects": {name: len(data) for name, data in self.objects.items()}}


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 chooses a free port.")
def main(host: str, port: int) -> None:
    """Serve an object store in memory."""
    run([ObjectsTarget(host, port)])


if __name__ == "__main__":
    main()
