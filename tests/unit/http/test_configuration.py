"""HTTP handlers of profiles and zones."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from egretloft._internal.http.configuration import add_routes
from lib.nodes import Site

PROFILE = {
    "organisation": "org-a",
    "region": "region-1",
    "zones": ["zone-1"],
    "guarantees": [{"count": 1, "accelerators": 8, "adjacency": "worker"}],
    "expected_version": 0,
}
Client = TestClient[web.Request, web.Application]


@pytest_asyncio.fixture
async def client() -> AsyncIterator[Client]:
    (node,) = await Site().start_nodes("a")
    app = web.Application()
    add_routes(app, node.parts.configuration, node.parts.view)
    async with TestClient(TestServer(app)) as test_client:
        yield test_client


async def send(client: Client, method: str, path: str, body: Any = None) -> Any:
    response = await client.request(method, path, json=body)
    return response.status, await response.json()


async def test_profile_is_written_read_and_retired(client: Client) -> None:
    """Guards against a profile that reads back other than it was written."""
    path = "/v1/profiles/salon-desk"
    assert await send(client, "PUT", path, PROFILE) == (200, {"version": 1})
    status, answer = await send(client, "GET", path)
    assert status == 200
    assert answer["version"] == 1
    assert answer["fresh"] is True
    assert answer["profile"]["guarantees"] == PROFILE["guarantees"]
    assert (await send(client, "GET", "/v1/profiles"))[1]["profiles"] == [
        answer["profile"]
    ]
    status, answer = await send(client, "PUT", path, PROFILE)
    assert (status, answer["reason"]) == (409, "conflict")
    assert (await send(client, "DELETE", path))[0] == 400
    retired = await send(client, "DELETE", f"{path}?expected_version=1")
    assert retired == (200, {"version": 2})
    assert (await send(client, "GET", path))[0] == 404


async def test_zone_is_taken_out_and_brought_back(client: Client) -> None:
    """Guards against listing a zone as in service after it was taken out."""
    body = {"expected_version": 0}
    taken = await send(client, "POST", "/v1/zones/zone-1/take-out", body)
    assert taken == (200, {"version": 1})
    _, answer = await send(client, "GET", "/v1/zones")
    assert answer["zones"] == [
        {"zone": "zone-1", "in_service": False},
        {"zone": "zone-2", "in_service": True},
    ]
    back = await send(
        client, "POST", "/v1/zones/zone-1/bring-back", {"expected_version": 1}
    )
    assert back == (200, {"version": 2})


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "reason"),
    [
        ("PUT", "/v1/profiles/a%20b", PROFILE, 400, "malformed"),
        ("PUT", "/v1/profiles/a", {"x": "y" * 2**20}, 413, "too_large"),
        (
            "PUT",
            "/v1/profiles/a",
            {**PROFILE, "guarantees": [{"count": 0}]},
            400,
            "invalid_shape",
        ),
        (
            "POST",
            "/v1/zones/zone-9/take-out",
            {"expected_version": 0},
            404,
            "unknown_zone",
        ),
        ("POST", "/v1/zones/zone-1/take-out", {}, 400, "malformed"),
    ],
)
async def test_refusals(
    client: Client, method: str, path: str, body: Any, status: int, reason: str
) -> None:
    """Guards against answering invalid input with a server error."""
    answered, answer = await send(client, method, path, body)
    assert (answered, answer["reason"]) == (status, reason)
    assert answer["outcome"] == "not_run"
    assert answer["hint"]
