import asyncio
import time

import msgspec
import pytest
from returns.result import Failure

from egretloft._internal.platform.http_call import create_http_session
from egretloft._internal.platform.http_runner_client import create_http_runner_client
from egretloft._internal.platform.protocols import CallFailureKind, RunnerStatus
from lib.serving import build_runner_request, serving
from standins.runner import RunnerTarget
from standins.runner_state import RunnerState


def runner_target(slots: int = 8, connections: int = 64) -> RunnerTarget:
    state = RunnerState("runner-1", "zone-1", "service-1", slots, connections)
    return RunnerTarget(state, "127.0.0.1", 0)


async def test_answer_belongs_to_the_request():
    """Guards against concurrent requests that get each other's answers."""
    target = runner_target()
    async with serving(target) as session:
        client = create_http_runner_client(session)

        async def call(number: int) -> None:
            payload = msgspec.json.encode({"work_ms": 30 - number, "echo": number})
            request = build_runner_request(
                f"request-{number}", now=time.time(), payload=payload
            )
            answer = (await client.run(target.address, request, 2)).unwrap()
            body = msgspec.json.decode(answer)
            assert (body["request_id"], body["echo"]) == (request.request_id, number)

        await asyncio.gather(*(call(number) for number in range(20)))
        assert target.state.max_in_use > 8
        assert target.state.overloads > 0
        status = (await client.status(target.address)).unwrap()
        assert status == RunnerStatus(in_use=0, slots=8, leaving=False)


async def test_answer_with_another_id_is_unknown():
    """Guards against returning another request's answer when a runner swaps answers."""
    target = runner_target()
    async with serving(target) as session:
        client = create_http_runner_client(session)
        target.control({"swap_answers": 1})
        request = build_runner_request(now=time.time())
        failure = (await client.run(target.address, request, 1)).failure()
        assert failure.kind is CallFailureKind.UNKNOWN


@pytest.mark.parametrize(
    ("faults", "kind", "started"),
    [
        ({"down": "reset"}, CallFailureKind.UNKNOWN, False),
        ({"lose_answers": 1}, CallFailureKind.UNKNOWN, True),
        ({"fail_tasks": True}, CallFailureKind.UNKNOWN, True),
        ({"late_start_seconds": 0.6}, CallFailureKind.REFUSED, False),
    ],
)
async def test_failures_are_classified(faults, kind, started):
    """Guards against a retry after a failure where the first call may have run."""
    target = runner_target()
    async with serving(target) as session:
        client = create_http_runner_client(session)
        target.control(faults)
        request = build_runner_request(now=time.time())
        assert (await client.run(target.address, request, 2)).failure().kind is kind
        assert bool(target.state.starts) is started


async def test_refusal_without_the_id_is_unknown():
    """Guards against trust in a refusal that may be meant for another request."""
    target = runner_target()
    async with serving(target) as session:
        client = create_http_runner_client(session)
        target.control({"down": "refuse"})
        request = build_runner_request(now=time.time())
        failure = (await client.run(target.address, request, 2)).failure()
        assert failure.kind is CallFailureKind.UNKNOWN


async def test_timed_out_request_leaves_no_connection_to_reuse():
    """Guards against a late answer read by the next request on the connection."""
    target = runner_target()
    async with serving(target) as session:
        client = create_http_runner_client(session)
        payload = b'{"work_ms": 300, "echo": "late"}'
        request = build_runner_request("late", now=time.time(), payload=payload)
        failure = (await client.run(target.address, request, 0.1)).failure()
        assert failure.kind is CallFailureKind.UNKNOWN
        for number in range(20):
            request = build_runner_request(f"request-{number}", now=time.time())
            assert b'"a"' in (await client.run(target.address, request, 1)).unwrap()
            await asyncio.sleep(0.02)
        assert target.state.ends["late"]


async def test_connections_to_a_runner_are_limited():
    """Guards against concurrent requests that exceed a runner's connection limit."""
    target = runner_target(connections=4)
    async with serving(target):
        async with create_http_session(connections_per_target=4) as session:
            client = create_http_runner_client(session)
            requests = [
                build_runner_request(
                    f"request-{number}", now=time.time(), payload=b'{"work_ms": 10}'
                )
                for number in range(16)
            ]
            results = await asyncio.gather(
                *(client.run(target.address, item, 2) for item in requests)
            )
            assert all(result.unwrap() for result in results)
        assert target.max_connections == 4
        async with create_http_session() as session:
            client = create_http_runner_client(session)
            results = await asyncio.gather(
                *(client.run(target.address, item, 2) for item in requests)
            )
            failures = [
                result.failure() for result in results if isinstance(result, Failure)
            ]
            assert failures
            assert {item.kind for item in failures} == {CallFailureKind.REFUSED}


async def test_no_time_left_is_not_sent():
    """Guards against sending a request whose deadline has passed."""
    target = runner_target()
    async with serving(target) as session:
        client = create_http_runner_client(session)
        request = build_runner_request(now=time.time())
        failure = (await client.run(target.address, request, 0)).failure()
        assert failure.kind is CallFailureKind.NOT_SENT
        assert target.calls["run"] == 0
