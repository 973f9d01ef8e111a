"""Stand-in of the instance list: ``python -m standins.instances --port 0``."""

from __future__ import annotations

import time

import click
import msgspec
import xxhash
from aiohttp import web

from egretloft._internal.models.topology import InstanceRecord, InstanceState
from standins.instances_state import InstancesState
from standins.server import run
from standins.target import Target, json_response


class StateBody(msgspec.Struct):
    """Body of a change of an instance's state."""

    state: InstanceState


class InstancesTarget(Target):
    """The instance list over HTTP."""

    def __init__(self, host: str, port: int, lag_seconds: float) -> None:
        super().__init__("instances", host, port)
        self.state = InstancesState(lag_seconds)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for reading and for changing the list."""
        return [
            web.get("/instances", self.list),
            web.post("/instances", self.put),
            web.post("/instances/{id}/state", self.set_state),
            web.delete("/instances/{id}", self.remove),
        ]

    def bypasses_faults(self, request: web.Request) -> bool:
        """Return whether the request changes the list; faults apply only to reading."""
        return request.method != "GET" or super().bypasses_faults(request)

    async def list(self, request: web.Request) -> web.Response:
        """Answer with the list as of the lag ago, or 304 if the caller has it."""
        response = json_response(self.state.visible(time.time()))
        tag = f'"{xxhash.xxh64_hexdigest(bytes(response.body))}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        response.headers["ETag"] = tag
        return response

    async def put(self, request: web.Request) -> web.Response:
        """Add or replace records; the body is a JSON list of them."""
        try:
            records = msgspec.json.decode(
                await request.read(), type=list[InstanceRecord]
            )
        except msgspec.DecodeError as error:
            return json_response({"error": "refused", "message": str(error)}, 400)
        self.state.put(records, time.time())
        return json_response({"instances": len(self.state.records)})

    async def set_state(self, request: web.Request) -> web.Response:
        """Mark an instance as live or leaving."""
        try:
            body = msgspec.json.decode(await request.read(), type=StateBody)
        except msgspec.DecodeError as error:
            return json_response({"error": "refused", "message": str(error)}, 400)
        known = self.state.set_state(request.match_info["id"], body.state, time.time())
        return json_response({"known": known}, 200 if known else 404)

    async def remove(self, request: web.Request) -> web.Response:
        """Remove an instance from the list."""
        known = self.state.remove(request.match_info["id"], time.time())
        return json_response({"known": known}, 200 if known else 404)

    def command(self, name: str, value: object) -> bool:
        """Set the lag (``lag_seconds``)."""
        if name != "lag_seconds":
            return False
        self.state.lag_seconds = msgspec.convert(value, float)
        return True

    def refusal(self, message: str) -> web.Response:
        """Return the response of a list that cannot be read."""
        return json_response({"error": "refused", "message": message}, 503)

    def facts(self) -> dict[str, object]:
        """Return the current records without lag."""
        return {
            "lag_seconds": self.state.lag_seconds,
            "instances": msgspec.to_builtins(self.state.records),
            "changed_at": self.state.changed_at,
        }


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 chooses a free port.")
@click.option("--lag-seconds", default=1.0, show_default=True)
def main(host: str, port: int, lag_seconds: float) -> None:
    """Serve the list of live and leaving instances."""
    run([InstancesTarget(host, port, lag_seconds)])


if __name__ == "__main__":
    main()
