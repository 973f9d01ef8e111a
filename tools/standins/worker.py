"""Stand-in of workers: ``python -m standins.worker --port 0 --count 24``."""

from __future__ import annotations

import asyncio
import time
from typing import TypeVar

import click
import msgspec
from aiohttp import web
from returns.result import Failure, Success

from egretloft._internal.models.topology import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from egretloft._internal.platform.protocols import Renewal, TaskStart
from standins.layout import place_targets
from standins.server import run
from standins.target import Target, json_response
from standins.worker_state import WorkerState

T = TypeVar("T")


class TaskBody(msgspec.Struct):
    """Body of a checkpoint or stop call."""

    task_id: str


class RenewBody(msgspec.Struct):
    """Body of a renewal call."""

    renewals: list[Renewal]


class WorkerTarget(Target):
    """One worker over HTTP."""

    def __init__(self, state: WorkerState, host: str, port: int) -> None:
        super().__init__(state.worker_id, host, port)
        self.state = state

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service."""
        return [
            web.post("/tasks/start", self.start_task),
            web.post("/tasks/renew", self.renew),
            web.post("/tasks/checkpoint", self.checkpoint),
            web.post("/tasks/stop", self.stop_task),
            web.get("/tasks", self.list_tasks),
            web.get("/usage", self.usage),
        ]

    async def start_task(self, request: web.Request) -> web.Response:
        """Start a task."""
        body = await self.body(request, TaskStart)
        if isinstance(body, web.Response):
            return body
        faults = self.fault_state.faults
        if faults.late_start_seconds > 0:
            await asyncio.sleep(faults.late_start_seconds)
        match self.state.start(body, time.time(), self.fault_state.faults.fail_tasks):
            case Success(report):
                return json_response(report)
            case Failure(message):
                return self.refusal(message)
        raise AssertionError("unreachable")

    async def renew(self, request: web.Request) -> web.Response:
        """Renew leases."""
        body = await self.body(request, RenewBody)
        if isinstance(body, web.Response):
            return body
        now = time.time()
        return json_response([self.state.renew(item, now) for item in body.renewals])

    async def checkpoint(self, request: web.Request) -> web.Response:
        """Write a checkpoint."""
        body = await self.body(request, TaskBody)
        if isinstance(body, web.Response):
            return body
        match self.state.checkpoint(body.task_id, time.time()):
            case Success(name):
                return json_response({"task_id": body.task_id, "checkpoint": name})
            case Failure(message):
                return self.refusal(message)
        raise AssertionError("unreachable")

    async def stop_task(self, request: web.Request) -> web.Response:
        """Stop a task."""
        body = await self.body(request, TaskBody)
        if isinstance(body, web.Response):
            return body
        return json_response(self.state.stop(body.task_id, time.time()))

    async def list_tasks(self, request: web.Request) -> web.Response:
        """Answer with all tasks."""
        return json_response(self.state.reports(time.time()))

    async def usage(self, request: web.Request) -> web.Response:
        """Answer with usage records after a sequence number."""
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return self.refusal("after is not a number")
        return json_response(self.state.usage_after(after, time.time()))

    async def body(self, request: web.Request, type_: type[T]) -> T | web.Response:
        """Return the decoded body, or the refusal of a malformed one."""
        try:
            return msgspec.json.decode(await request.read(), type=type_)
        except msgspec.DecodeError as error:
            return self.refusal(str(error))

    def command(self, name: str, value: object) -> bool:
        """Set the lag of usage reports (``usage_lag_seconds``)."""
        if name != "usage_lag_seconds":
            return False
        self.state.usage_lag_seconds = msgspec.convert(value, float)
        return True

    def on_crash(self) -> None:
        """End all tasks."""
        self.state.crash(time.time())

    def refusal(self, message: str) -> web.Response:
        """Return the answer that says that nothing was done."""
        return json_response({"error": "refused", "message": message}, 409)

    def facts(self) -> dict[str, object]:
        """Return the recorded facts."""
        return self.state.facts(time.time())


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option(
    "--port", default=0, show_default=True, help="First port; 0 chooses free ones."
)
@click.option("--count", default=1, show_default=True)
@click.option("--id", "ids", multiple=True, help="Instead of <zone>-r<rack>-w<n>.")
@click.option("--region", default="region-1", show_default=True)
@click.option("--zone", "zones", multiple=True, help="Repeat to spread the workers.")
@click.option("--rack", default="", help="One rack for all, instead of --per-rack.")
@click.option("--per-rack", default=6, show_default=True)
@click.option("--cores", default=64, show_default=True)
@click.option("--memory-gb", default=256, show_default=True)
@click.option("--accelerators", default=8, show_default=True)
@click.option("--usage-lag-seconds", default=1.0, show_default=True)
@click.option("--instances-address", default="", help="Register there if given.")
def main(
    host: str,
    port: int,
    count: int,
    ids: tuple[str, ...],
    region: str,
    zones: tuple[str, ...],
    rack: str,
    per_rack: int,
    cores: int,
    memory_gb: int,
    accelerators: int,
    usage_lag_seconds: float,
    instances_address: str,
) -> None:
    """Serve workers, each on a port of its own."""
    places = place_targets(
        len(ids) or count, zones or ("zone-1",), ids, "w", rack, per_rack
    )
    targets = []
    records = []
    for index, place in enumerate(places):
        state = WorkerState(
            worker_id=place.target_id,
            zone=place.zone,
            cores=cores,
            memory_gb=memory_gb,
            accelerators=accelerators,
            usage_lag_seconds=usage_lag_seconds,
        )
        targets.append(WorkerTarget(state, host, port + index if port else 0))
        records.append(
            InstanceRecord(
                instance_id=place.target_id,
                kind=InstanceKind.WORKER,
                state=InstanceState.LIVE,
                address="",
                region=region,
                zone=place.zone,
                rack=place.rack,
                cores=cores,
                memory_gb=memory_gb,
                accelerators=accelerators,
            )
        )
    run(targets, instances_address, records)


if __name__ == "__main__":
    main()
