"""Stand-in of runners: ``python -m standins.runner --port 0 --count 24``."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import click
import msgspec
from aiohttp import web

from egretloft._internal.models.topology import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from egretloft._internal.platform.http_runner_client import (
    REQUEST_ID_HEADER,
    START_BEFORE_HEADER,
)
from standins.layout import place_targets
from standins.runner_state import RunnerState
from standins.server import run
from standins.target import Target, json_response


class RunnerTarget(Target):
    """One runner over HTTP."""

    def __init__(self, state: RunnerState, host: str, port: int) -> None:
        super().__init__(state.runner_id, host, port)
        self.state = state
        self.leaving = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [web.post("/run", self.run), web.get("/status", self.status)]

    async def run(self, request: web.Request) -> web.Response:
        """Execute a request; the answer repeats the request id and the echo."""
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        try:
            start_before = float(request.headers.get(START_BEFORE_HEADER, ""))
        except ValueError:
            start_before = 0.0
        if self.open_connections() > self.state.max_connections:
            self.state.refused_connections += 1
            response = self.answer(
                request_id, {"error": "refused", "message": "too many connections"}, 503
            )
            response.force_close()
            return response
        payload = await request.read()
        late = self.fault_state.faults.late_start_seconds
        if late > 0:
            await asyncio.sleep(late)
        now = time.time()
        # A missing or malformed time, or NaN, counts as passed.
        if not request_id or not now <= start_before:
            self.state.refuse(request_id, now, start_before)
            return self.answer(
                request_id, {"error": "refused", "message": "too late to start"}, 409
            )
        self.state.begin(request_id, payload, now)
        try:
            work = _work(payload)
            if work.work_ms > 0:
                await asyncio.sleep(work.work_ms / 1000)
        finally:
            self.state.end(request_id, time.time())
        if self.fault_state.faults.fail_tasks:
            return self.answer(
                request_id, {"error": "failed", "message": "execution failed"}, 500
            )
        body = {
            "request_id": request_id,
            "runner": self.state.runner_id,
            "echo": work.echo,
            "filler": "x" * work.answer_bytes,
        }
        if self.fault_state.faults.count_down_if_applies("swap_answers"):
            request_id = f"{request_id}-other"
            body |= {"request_id": request_id, "echo": "of another request"}
        return self.answer(request_id, body)

    def answer(self, request_id: str, body: object, status: int = 200) -> web.Response:
        """Return an answer that carries the request id."""
        response = json_response(body, status)
        response.headers[REQUEST_ID_HEADER] = request_id
        return response

    async def status(self, request: web.Request) -> web.Response:
        """Answer with the load and whether the runner is leaving."""
        return json_response(
            {
                "in_use": self.state.in_use,
                "slots": self.state.slots,
                "leaving": self.leaving,
            }
        )

    def command(self, name: str, value: object) -> bool:
        """Set whether the runner reports that it is leaving (``leaving``)."""
        if name != "leaving":
            return False
        self.leaving = msgspec.convert(value, bool)
        return True

    def refusal(self, message: str) -> web.Response:
        """Return the answer that says that nothing was done."""
        return json_response({"error": "refused", "message": message}, 503)

    def facts(self) -> dict[str, object]:
        """Return the recorded facts."""
        return self.state.facts()


class Work(msgspec.Struct):
    """Execution that a payload describes; unknown fields are ignored."""

    work_ms: float = 0.0
    echo: Any = None
    answer_bytes: int = 0


def _work(payload: bytes) -> Work:
    try:
        return msgspec.json.decode(payload, type=Work)
    except (msgspec.DecodeError, RecursionError):
        return Work(echo=payload.decode(errors="replace"))


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option(
    "--port", default=0, show_default=True, help="First port; 0 chooses free ones."
)
@click.option("--count", default=1, show_default=True)
@click.option("--id", "ids", multiple=True, help="Instead of <service>-<rack>-s<n>.")
@click.option("--region", default="region-1", show_default=True)
@click.option("--zone", "zones", multiple=True, help="Repeat to spread the runners.")
@click.option("--service", default="service-1", show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--connections", default=64, show_default=True)
@click.option("--instances-address", default="", help="Register there if given.")
def main(
    host: str,
    port: int,
    count: int,
    ids: tuple[str, ...],
    region: str,
    zones: tuple[str, ...],
    service: str,
    slots: int,
    connections: int,
    instances_address: str,
) -> None:
    """Serve runners, each on a port of its own."""
    places = place_targets(len(ids) or count, zones or ("zone-1",), ids, "s")
    targets = []
    records = []
    for index, place in enumerate(places):
        runner_id = place.target_id if ids else f"{service}-{place.target_id}"
        state = RunnerState(runner_id, place.zone, service, slots, connections)
        targets.append(RunnerTarget(state, host, port + index if port else 0))
        records.append(
            InstanceRecord(
                instance_id=runner_id,
                kind=InstanceKind.RUNNER,
                state=InstanceState.LIVE,
                address="",
                region=region,
                zone=place.zone,
                rack=place.rack,
                service=service,
                slots=slots,
                connections=connections,
            )
        )
    run(targets, instances_address, records)


if __name__ == "__main__":
    main()
