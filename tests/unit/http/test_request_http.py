"""The HTTP handler of service requests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from returns.result import Failure, Result, Success

from egretloft._internal.http.requests import add_routes
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.outcomes import (
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.models.requests import Answer, ServiceRequest

BODY: dict[str, Any] = {
    "organisation": "org-a",
    "profile": "org-a",
    "deadline_ms": 1000,
    "idempotency_key": "k",
    "idempotent": True,
    "payload": "p",
}
URL = "/v1/services/service-1/requests"
METRICS = create_metrics()


class FakeSubmitter:
    def __init__(self) -> None:
        self.result: Result[Answer, Refusal] | None = None
        self.ids: list[str] = []

    async def submit(self, request: ServiceRequest) -> Result[Answer, Refusal]:
        self.ids.append(request.request_id)
        answer = Answer(request.request_id, "svár".encode(), "runner-1", "zone-1")
        return self.result or Success(answer)


@pytest.fixture
def submitter() -> FakeSubmitter:
    return FakeSubmitter()


@pytest.fixture
async def client(submitter: FakeSubmitter) -> AsyncIterator[TestClient[Any, Any]]:
    # The application's limit is larger, so only the route's own limit applies.
    app = web.Application(client_max_size=1 << 24)
    add_routes(app, submitter, METRICS)
    async with TestClient(TestServer(app)) as client:
        yield client


async def test_answer_contains_its_request_id(
    client: TestClient[Any, Any], submitter: FakeSubmitter
) -> None:
    """Guards against two submissions with the same id and against altered text."""
    for _ in range(2):
        response = await client.post(URL, json=BODY)
        assert response.status == 200
        assert await response.json() == {
            "outcome": "completed",
            "request_id": submitter.ids[-1],
            "answer": "svár",
            "runner": "runner-1",
            "zone": "zone-1",
        }
    assert len(set(submitter.ids)) == 2


@pytest.mark.parametrize(
    ("refusal", "status"),
    [
        (not_run(Reason.QUEUE_FULL, "full"), 503),
        (not_run(Reason.LIMIT_EXCEEDED, "limit"), 429),
        (not_run(Reason.KEY_REUSED, "reused"), 409),
        (outcome_unknown(Reason.TARGET_LOST, "lost"), 502),
        (outcome_unknown(Reason.DEADLINE_PASSED, "late"), 504),
    ],
)
async def test_refusal_keeps_its_outcome(
    client: TestClient[Any, Any],
    submitter: FakeSubmitter,
    refusal: Refusal,
    status: int,
) -> None:
    """Guards against a status that tells a caller to repeat an ``unknown`` outcome."""
    submitter.result = Failure(refusal)
    response = await client.post(URL, json=BODY)
    assert response.status == status
    assert (await response.json())["outcome"] == refusal.kind.value


async def test_oversized_bodies_are_refused(
    client: TestClient[Any, Any], submitter: FakeSubmitter
) -> None:
    """Guards against reading large bodies into memory.

    A chunked body has no ``Content-Length``, so its size is known only on reading.
    """

    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(40):
            yield b"x" * (1 << 15)

    for data in (b"x" * ((1 << 20) + 1), chunks()):
        response = await client.post(URL, data=data)
        assert response.status == 413
        assert (await response.json())["reason"] == "too_large"
    malformed = await client.post(URL, json=BODY | {"extra": 1})
    assert malformed.status == 400
    assert submitter.ids == []


async def test_answer_that_is_not_text_is_not_altered(
    client: TestClient[Any, Any], submitter: FakeSubmitter
) -> None:
    """Guards against returning an answer in which invalid bytes were replaced."""
    submitter.result = Success(Answer("id", b"\xff", "runner-1", "zone-1"))
    response = await client.post(URL, json=BODY)
    assert response.status == 502
    assert (await response.json())["outcome"] == "unknown"
