"""Serves stand-in targets in a test's event loop, and builds requests to them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from egretloft._internal.models.topology import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from egretloft._internal.platform.http_call import create_http_session
from egretloft._internal.platform.protocols import RunnerRequest, TaskStart
from standins.target import Target


@asynccontextmanager
async def serving(target: Target) -> AsyncIterator[aiohttp.ClientSession]:
    """Serve the target and yield an HTTP session for calls to it."""
    await target.start()
    session = create_http_session()
    try:
        yield session
    finally:
        await session.close()
        await target.stop()


def build_task_start(
    task_id: str = "task-1",
    *,
    now: float,
    command: str = "work 60",
    accelerators: tuple[int, ...] = (0,),
    cores: int = 1,
    memory_gb: int = 1,
    start_seconds: float = 2.0,
    lease_seconds: float = 6.0,
    throttled: bool = True,
    checkpoint: str = "",
) -> TaskStart:
    """Return the start of the only task of ``job-1``; ``now`` is in Unix seconds."""
    return TaskStart(
        task_id=task_id,
        job_id="job-1",
        attempt=1,
        task_index=0,
        accelerators=accelerators,
        cores=cores,
        memory_gb=memory_gb,
        command=command,
        start_before=now + start_seconds,
        lease_until=now + lease_seconds,
        throttled=throttled,
        checkpoint=checkpoint,
    )


def build_runner_request(
    request_id: str = "request-1",
    *,
    now: float,
    payload: bytes = b'{"echo": "a"}',
    start_seconds: float = 0.5,
) -> RunnerRequest:
    """Return a request that must start within ``start_seconds`` after ``now``."""
    return RunnerRequest(request_id, "service-1", payload, now + start_seconds)


def build_record(
    instance_id: str = "worker-1",
    *,
    kind: InstanceKind = InstanceKind.WORKER,
    state: InstanceState = InstanceState.LIVE,
    address: str = "127.0.0.1:1",
    zone: str = "zone-1",
) -> InstanceRecord:
    """Return an entry of the platform's instance list."""
    return InstanceRecord(
        instance_id=instance_id,
        kind=kind,
        state=state,
        address=address,
        region="region-1",
        zone=zone,
        service="service-1" if kind is InstanceKind.RUNNER else "",
        slots=8 if kind is InstanceKind.RUNNER else 0,
    )
