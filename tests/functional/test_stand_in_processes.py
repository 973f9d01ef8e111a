"""Tests of the stand-in processes and of the code that controls them."""

import asyncio
import time
import uuid

import aiohttp
import pytest
from returns.result import Failure

from egretloft._internal.models.topology import InstanceKind, InstanceState
from egretloft._internal.platform.http_call import create_http_session
from egretloft._internal.platform.http_instance_list import create_http_instance_list
from egretloft._internal.platform.http_runner_client import create_http_runner_client
from egretloft._internal.platform.http_table_service import create_http_table_service
from egretloft._internal.platform.http_worker_client import create_http_worker_client
from egretloft._internal.platform.protocols import (
    CallFailureKind,
    StoreFailureKind,
    Transaction,
    Write,
)
from lib.deployment import DEPLOYMENTS, Platform
from lib.processes import ManagedProcess, ProcessError
from lib.serving import build_runner_request, build_task_start


@pytest.fixture
async def session():
    async with create_http_session() as session:
        yield session


@pytest.fixture
async def platform(tmp_path, session):
    platform = Platform(DEPLOYMENTS["bureau"], tmp_path, session)
    try:
        await platform.start(workers=5, runners=4, lag_seconds=0.0)
        yield platform
    finally:
        platform.stop()


async def test_targets_register_themselves(platform, session):
    """Guards against targets that the scheduler never sees.

    They take free ports and add themselves to the instance list.
    """
    client = create_http_instance_list(session, platform.addresses["instances"])
    records = (await client.list()).unwrap()
    workers = [item for item in records if item.kind is InstanceKind.WORKER]
    assert [item.zone for item in workers] == [
        "kurume",
        "kurume",
        "tosu",
        "omuta",
        "yame",
    ]
    assert {item.address for item in workers} <= set(platform.addresses.values())
    assert (workers[0].cores, workers[0].accelerators) == (64, 8)
    runners = [item for item in records if item.kind is InstanceKind.RUNNER]
    assert len(runners) == 4
    assert {item.service for item in runners} == {"salon-desk"}
    await platform.set_target_state(runners[0].instance_id, InstanceState.LEAVING)
    records = (await client.list()).unwrap()
    leaving = [item for item in records if item.state is InstanceState.LEAVING]
    assert [item.instance_id for item in leaving] == [runners[0].instance_id]
    runner_client = create_http_runner_client(session)
    status = (await runner_client.status(runners[0].address)).unwrap()
    assert status.leaving


async def test_wait_outlasts_a_list_without_the_runners(tmp_path, session):
    """Guards against tests that send requests to an instance that knows no runner yet.

    An instance that knows only workers is ready, and refuses requests for the moment.
    """
    platform = Platform(DEPLOYMENTS["bureau"], tmp_path, session)
    try:
        await platform.start(workers=1, runners=0, lag_seconds=0.0)
        await platform.start_entry("e1", "kurume")
        entry = platform.entries["e1"]
        await platform.wait_until_ready(entry)
        await put_profile(session, platform, entry)
        await platform.control("instances", {"down": "refuse"})
        await platform.start_runners(1)
        async with send_request(session, platform, entry) as answer:
            assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
            assert (await answer.json())["reason"] == "no_target"
        waiting = asyncio.create_task(platform.wait_until_targets_known(entry))
        assert await asyncio.wait({waiting}, timeout=0.5) == (set(), {waiting})
        await platform.control("instances", {"down": "no"})
        await waiting
        async with send_request(session, platform, entry) as answer:
            assert answer.status == 200, await answer.text()
    finally:
        platform.stop()


async def put_profile(session, platform, entry):
    """Let an organisation use the service in the zone of the entry."""
    body = {
        "organisation": "groomers",
        "region": platform.deployment.region,
        "zones": [entry.zone],
        "guarantees": [],
        "limits": {},
        "services": [platform.deployment.service],
        "expected_version": 0,
    }
    url = f"http://{entry.address}/v1/profiles/desk"
    async with session.put(url, json=body) as answer:
        assert answer.status == 200, await answer.text()


def send_request(session, platform, entry):
    """Send an idempotent request under the profile of ``put_profile``."""
    body = {
        "organisation": "groomers",
        "profile": "desk",
        "deadline_ms": 10_000,
        "idempotency_key": uuid.uuid4().hex,
        "idempotent": True,
        "payload": "tally",
    }
    service = platform.deployment.service
    return session.post(
        f"http://{entry.address}/v1/services/{service}/requests", json=body
    )


async def test_crashed_worker_comes_back_empty_at_its_address(platform, session):
    """Guards against a crash that ends more, or less, than one target.

    All workers share one process.
    """
    client = create_http_worker_client(session, 1.0)
    address = platform.addresses["kurume-r0-w0"]
    start = build_task_start(now=time.time(), throttled=False)
    assert (await client.start(address, start)).unwrap().state == "running"
    await platform.control("kurume-r0-w0", {"crash": True})
    failure = (await client.list_tasks(address)).failure()
    assert failure.kind is CallFailureKind.NOT_SENT
    other = platform.addresses["kurume-r0-w1"]
    assert (await client.list_tasks(other)).unwrap() == ()
    await platform.control("kurume-r0-w0", {"crash": False})
    assert (await client.list_tasks(address)).unwrap() == ()
    facts = (await platform.facts("workers"))["kurume-r0-w0"]
    assert [item["task_id"] for item in facts["starts"]] == ["task-1"]
    assert facts["tasks"][0]["state"] == "lapsed"


async def test_faults_of_one_target_or_all(platform, session):
    """Guards against a fault that hits other targets than the named one.

    All runners share one process, and a fault may be set for one or for all.
    """
    client = create_http_runner_client(session)
    names = [name for name, kind in platform.targets.items() if kind == "runners"]

    async def kinds():
        found = []
        for name in names:
            request = build_runner_request(name, now=time.time())
            result = await client.run(platform.addresses[name], request, 2)
            failed = isinstance(result, Failure)
            found.append(str(result.failure().kind) if failed else "")
        return found

    assert await kinds() == [""] * 4
    await platform.control(names[1], {"down": "reset"})
    assert await kinds() == ["", "unknown", "", ""]
    await platform.control("runners", {"down": "reset"})
    assert await kinds() == ["unknown"] * 4
    await platform.control("runners", {"reset": True})
    assert await kinds() == [""] * 4
    with pytest.raises(ProcessError):
        await platform.control(names[0], {"dwon": "reset"})


async def test_frozen_process_times_out_and_goes_on(platform, session):
    """Guards against a freeze that loses state or is taken for a refusal.

    A call to a frozen process times out, and takes effect when the process resumes.
    """
    table = create_http_table_service(session, platform.addresses["table"], 0.5)
    first = Transaction("op-1", (), (Write("control/owner/x", b"\x01"),))
    assert (await table.commit(first)).unwrap().version == 1
    process = platform.processes["table"]
    process.freeze()
    second = Transaction("op-2", (), (Write("b", b"\x02"),))
    failure = (await table.commit(second)).failure()
    assert failure.kind is StoreFailureKind.UNKNOWN
    process.resume()
    await asyncio.sleep(0.2)
    row = (await table.read("b")).unwrap()
    assert row is not None
    assert row.operations == ("op-2",)
    await platform.control("table", {"down": "refuse"})
    assert await platform.rows("control/") == {"control/owner/x": 1}
    process.terminate()
    assert await process.wait(5) == 0


async def test_process_that_ends_early_is_reported(tmp_path):
    """Guards against waiting for a process that has already ended.

    The error has to show what the process printed before its end.
    """
    process = ManagedProcess("bad", ["-c", "import sys; sys.exit('reason')"], tmp_path)
    process.start()
    with pytest.raises(ProcessError, match="reason"):
        await process.wait_for_line()
    async with aiohttp.ClientSession() as session:
        with pytest.raises(ProcessError, match="reason"):
            await process.wait_for_http(session, "http://127.0.0.1:1/readyz")
