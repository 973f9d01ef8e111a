"""HTTP server of one target of a stand-in, with its faults and control route."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from standins.faults import Down, FaultState

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Interval at which a waiting request checks whether it may continue.
POLL_SECONDS = 0.02
# Larger request bodies, such as uploaded objects, are refused by the server.
MAX_BODY_BYTES = 64 * 1024 * 1024


class ConnectionLostError(Exception):
    """The connection is to be closed without an answer."""


class Target(ABC):
    """One port of a stand-in: routes, faults, and facts recorded for tests."""

    def __init__(self, target_id: str, host: str, port: int) -> None:
        self.target_id = target_id
        self.host = host
        self.port = port
        self.fault_state = FaultState()
        self.calls: Counter[str] = Counter()
        # Connections that have carried a request other than a control request.
        self.connections: set[RequestHandler] = set()
        self.max_connections = 0
        self.silent: set[RequestHandler] = set()
        self.siblings: dict[str, Target] = {target_id: self}
        self.runner: web.AppRunner | None = None
        self.crashed = False
        self.background: set[asyncio.Task[None]] = set()

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""

    @abstractmethod
    def refusal(self, message: str) -> web.Response:
        """Return the answer that says that nothing was done."""

    @abstractmethod
    def facts(self) -> dict[str, object]:
        """Return what was recorded, as plain data for JSON."""

    def bypasses_faults(self, request: web.Request) -> bool:
        """Return whether the request controls the stand-in; no fault applies to it."""
        return request.path.split("/")[1] == "control"

    def on_crash(self) -> None:
        """Discard the state that a machine loses in a crash."""
        self.silent.clear()

    def command(self, name: str, value: object) -> bool:
        """Apply a control command that is no fault; false if it is unknown."""
        return False

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by the chosen one, which then stays."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.add_routes(self.routes())
        app.add_routes(
            [
                web.get("/control", self._get_control),
                web.post("/control", self._post_control),
            ]
        )
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self.runner is not None:
            for connection in list(self.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await self.runner.cleanup()
            self.runner = None

    async def crash(self, crashed: bool) -> None:
        """Crash like a machine, or restart without state at the same port."""
        if crashed and not self.crashed:
            self.on_crash()
            self.crashed = True
            await self.stop()
        elif not crashed and self.crashed:
            await self.start()
            self.crashed = False

    def open_connections(self) -> int:
        """Return how many connections with requests are open."""
        closed = {item for item in self.connections if item.transport is None}
        self.connections -= closed
        self.silent -= closed
        return len(self.connections)

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Handler) -> Any:
        if self.bypasses_faults(request):
            return await handler(request)
        operation = request.path.rsplit("/", 1)[-1]
        self.calls[operation] += 1
        self.connections.add(request.protocol)
        self.max_connections = max(self.max_connections, self.open_connections())
        try:
            body = await request.read()
            del body  # Read before any delay, so that lost requests arrive in full.
            refusal = await self._before_handler(request, operation)
            if refusal is not None:
                return refusal
            response = await handler(request)
            await self._after_handler(request, operation)
        except ConnectionLostError:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        return response

    async def _before_handler(
        self, request: web.Request, operation: str
    ) -> web.StreamResponse | None:
        await self._wait_while_silent(request)
        state = self.fault_state
        if not state.faults.applies_to(operation):
            return None
        delay = state.delay_seconds()
        if delay > 0:
            await asyncio.sleep(delay)
        while state.faults.frozen:
            await asyncio.sleep(POLL_SECONDS)
        if state.faults.down is Down.REFUSE:
            return self.refusal("down")
        if state.faults.down is Down.RESET or state.faults.count_down_if_applies(
            "lose_requests"
        ):
            raise ConnectionLostError
        return None

    async def _after_handler(self, request: web.Request, operation: str) -> None:
        faults = self.fault_state.faults
        if faults.applies_to(operation):
            if faults.slow_answer_seconds > 0:
                await asyncio.sleep(faults.slow_answer_seconds)
            if faults.count_down_if_applies("lose_answers"):
                raise ConnectionLostError
        await self._wait_while_silent(request)

    async def _wait_while_silent(self, request: web.Request) -> None:
        # A silent connection never recovers; it ends when the caller closes it.
        if request.protocol not in self.silent:
            return
        while request.transport is not None and not request.transport.is_closing():
            await asyncio.sleep(POLL_SECONDS)
        raise ConnectionLostError

    def silence(self) -> None:
        """Stop answering on all connections that are open now, permanently."""
        self.silent |= self.connections

    async def _get_control(self, request: web.Request) -> web.Response:
        if request.query.get("targets") == "all":
            return json_response(
                {name: item.report() for name, item in self.siblings.items()}
            )
        return json_response(self.report())

    def report(self) -> dict[str, object]:
        """Return faults and facts of this target."""
        return {
            "id": self.target_id,
            "address": self.address,
            "crashed": self.crashed,
            "faults": msgspec.to_builtins(self.fault_state.faults),
            "calls": dict(self.calls),
            "open_connections": self.open_connections(),
            "max_connections": self.max_connections,
            **self.facts(),
        }

    async def _post_control(self, request: web.Request) -> web.Response:
        """Apply ``{"targets": [id, ...] | "all", <fault or command>: value, ...}``.

        Without ``targets`` it applies to the target at whose port it arrives. Commands
        are ``reset``, ``silence``, ``crash`` (true or false), and those of the
        target's ``command``.
        """
        try:
            changes = msgspec.json.decode(await request.read(), type=dict[str, Any])
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, 400)
        named = changes.pop("targets", [self.target_id])
        names = list(self.siblings) if named == "all" else named
        if not isinstance(names, list) or not set(names) <= set(self.siblings):
            return json_response({"error": f"unknown targets: {named}"}, 400)
        for name in names:
            try:
                self.siblings[name].control(changes)
            except (msgspec.ValidationError, ValueError) as error:
                return json_response({"error": str(error)}, 400)
        if self.target_id not in names:
            # This port is not closed by the crash, so the answer can wait until the
            # crash has happened.
            for name in names:
                await asyncio.gather(*self.siblings[name].background)
        return json_response({"changed": names})

    def control(self, changes: dict[str, Any]) -> None:
        """Apply control commands and faults; raise if one is malformed."""
        faults: dict[str, object] = {}
        for name, value in changes.items():
            if name == "reset":
                self.fault_state.reset()
            elif name == "silence":
                self.silence()
            elif name == "crash":
                # A crash closes the port at which the control request may have come,
                # so it happens a little later, after the answer.
                task = asyncio.create_task(self._crash_soon(bool(value)))
                self.background.add(task)
                task.add_done_callback(self.background.discard)
            elif not self.command(name, value):
                faults[name] = value
        if faults:
            self.fault_state.update(faults)

    async def _crash_soon(self, crashed: bool) -> None:
        await asyncio.sleep(POLL_SECONDS)
        await self.crash(crashed)


class ControlTarget(Target):
    """A port for control requests that stays when the other targets crash.

    ``GET /control`` answers with all targets of the process.
    """

    def routes(self) -> list[web.RouteDef]:
        """Return no routes; only the control route is served."""
        return []

    def refusal(self, message: str) -> web.Response:
        """Return the answer that says that nothing was done."""
        return json_response({"error": "refused", "message": message}, 503)

    def facts(self) -> dict[str, object]:
        """Return no facts; the control port records none."""
        return {}

    async def _get_control(self, request: web.Request) -> web.Response:
        return json_response(
            {name: item.report() for name, item in self.siblings.items()}
        )


def json_response(value: object, status: int = 200) -> web.Response:
    """Return ``value``, a data class or plain value, as a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
