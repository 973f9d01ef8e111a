"""HTTP handlers of jobs and accounts, with the real services behind them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from egretloft._internal.accounts.service import create_account_service
from egretloft._internal.http import accounts, jobs
from egretloft._internal.models.jobs import JobState
from lib.fakes import Fault, MemoryObjects
from lib.gang_world import World

BODY: dict[str, Any] = {
    "organisation": "org-a",
    "profile": "org-a",
    "service": "service-1",
    "idempotency_key": "key-1",
    "tasks": 1,
    "accelerators_per_task": 1,
    "cores": 1,
    "memory_gb": 1,
    "adjacency": "worker",
    "declared_seconds": 60,
    "command": "train",
    "idempotent": True,
    "checkpointable": True,
}


class Api:
    """An HTTP client of one node in a simulated world."""

    def __init__(self) -> None:
        self.world = World()
        node = self.world.nodes[0]
        self.app = web.Application()
        clock = self.world.time.clock
        jobs.add_routes(self.app, node.service, clock, node.metrics)
        service = create_account_service(
            instance_id=node.name,
            time_zone="Asia/Tokyo",
            table=node.node_table,
            objects=MemoryObjects(),
            writer=node.jobs.writer,
            clock=clock,
            metrics=node.metrics,
        ).unwrap()
        accounts.add_routes(self.app, service, node.metrics)
        self.metrics = node.metrics
        self.client = TestClient(TestServer(self.app))

    async def call(self, method: str, path: str, **options: Any) -> tuple[int, Any]:
        async with self.client.request(method, path, **options) as response:
            if response.content_type == "application/json":
                return response.status, await response.json()
            return response.status, await response.text()


@pytest.fixture
async def api() -> AsyncIterator[Api]:
    api = Api()
    await api.client.start_server()
    yield api
    await api.client.close()


async def test_submit_retry_get_list_and_cancel(api: Api) -> None:
    """Guards against a retry that queues a second job."""
    status, job = await api.call("POST", "/v1/jobs", json=BODY)
    assert (status, job["state"]) == (202, "queued")
    status, again = await api.call("POST", "/v1/jobs", json=BODY)
    assert (status, again) == (202, job)
    path = f"/v1/jobs/{job['job_id']}"
    assert await api.call("GET", path) == (200, job)
    status, listed = await api.call("GET", "/v1/jobs?organisation=org-a")
    assert [item["job_id"] for item in listed["jobs"]] == [job["job_id"]]
    assert (await api.call("GET", "/v1/jobs?organisation=x")) == (200, {"jobs": []})
    status, cancelled = await api.call("POST", f"{path}/cancel")
    assert (status, cancelled["cancel_requested"]) == (202, True)


@pytest.mark.parametrize(
    ("changes", "status", "reason"),
    [
        ({"tasks": 0}, 400, "malformed"),
        ({"profile": "none", "idempotency_key": "2"}, 404, "unknown_profile"),
        ({"organisation": "org-b"}, 404, "unknown_organisation"),
        ({"service": "other", "idempotency_key": "2"}, 404, "unknown_service"),
        ({"command": "other"}, 409, "key_reused"),
    ],
)
async def test_refusals_of_a_submission(
    api: Api, changes: dict[str, Any], status: int, reason: str
) -> None:
    """Guards against a wrong status code for errors that the caller must correct."""
    await api.call("POST", "/v1/jobs", json=BODY)
    answer = await api.call("POST", "/v1/jobs", json={**BODY, **changes})
    assert (answer[0], answer[1]["reason"]) == (status, reason)
    assert answer[1]["outcome"] == "not_run"
    assert api.metrics.counter("refusals", reason=reason) == 1


async def test_submission_during_an_outage(api: Api) -> None:
    """Guards against ``not_run`` for a job that may be queued.

    The table commits the job, but the answer is lost.
    """
    node = api.world.nodes[0]
    node.table.fault = Fault.DOWN
    status, answer = await api.call("POST", "/v1/jobs", json=BODY)
    assert (status, answer["outcome"]) == (503, "not_run")
    node.table.fault = Fault.NONE
    node.fail_commit(JobState.QUEUED, Fault.LOST_ANSWER, 2)
    status, answer = await api.call("POST", "/v1/jobs", json=BODY)
    assert (status, answer["outcome"]) == (502, "unknown")
    status, answer = await api.call("POST", "/v1/jobs", json=BODY)
    assert status == 202


async def test_body_over_the_limit(api: Api) -> None:
    """Guards against reading bodies of any size into memory."""
    for path in ("/v1/jobs", "/v1/jobs/cancel"):
        status, answer = await api.call("POST", path, data=b" " * (1 << 20) + b" ")
        assert (status, answer["reason"]) == (413, "too_large")


async def test_cancel_of_many(api: Api) -> None:
    """Guards against one unknown id that hides the outcomes of the other ids."""
    _, job = await api.call("POST", "/v1/jobs", json=BODY)
    ids = [job["job_id"], "none"]
    status, answer = await api.call("POST", "/v1/jobs/cancel", json={"job_ids": ids})
    assert status == 202
    assert [item["job_id"] for item in answer["jobs"]] == ids
    assert answer["jobs"][1]["refusal"]["reason"] == "unknown_job"
    assert (await api.call("POST", "/v1/jobs/none/cancel"))[0] == 404


async def test_accounts(api: Api) -> None:
    """Guards against closing a month that has not ended."""
    status, text = await api.call("GET", "/v1/accounts/2026-01")
    assert status == 200
    assert text.startswith("egretloft account")
    assert await api.call("POST", "/v1/accounts/2026-01/close") == (200, text)
    assert (await api.call("POST", "/v1/accounts/2099-01/close"))[0] == 409
    assert (await api.call("GET", "/v1/accounts/january"))[0] == 400
