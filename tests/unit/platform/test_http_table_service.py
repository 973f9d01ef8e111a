import asyncio
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretloft._internal.platform.http_call import create_http_session
from egretloft._internal.platform.http_table_service import (
    classify_error,
    create_http_table_service,
)
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    StoreFailureKind,
    Transaction,
    Write,
)
from lib.serving import serving
from standins.table import TableTarget


def transaction(
    key: str = "a", version: int = 0, operation: str = "op-1"
) -> Transaction:
    return Transaction(operation, (Check(key, version),), (Write(key, b"x"),))


async def test_rows_are_encoded_and_decoded_whole():
    """Guards against fields that are lost in encoding or decoding."""
    target = TableTarget("127.0.0.1", 0)
    async with serving(target) as session:
        table = create_http_table_service(session, target.address)
        assert (await table.read("a")).unwrap() is None
        assert (await table.commit(transaction())).unwrap() == Committed(1)
        row = (await table.read("a")).unwrap()
        assert row is not None
        assert (row.value, row.version, row.operations) == (b"x", 1, ("op-1",))
        assert (await table.scan("a", 0)).unwrap().rows == (row,)
        assert (await table.scan("a", 1)).unwrap().rows == ()


async def test_failed_check_is_a_conflict():
    """Guards against a conflict that is reported as an unknown outcome."""
    target = TableTarget("127.0.0.1", 0)
    async with serving(target) as session:
        table = create_http_table_service(session, target.address)
        failure = (await table.commit(transaction(version=7))).failure()
        assert failure.kind is StoreFailureKind.CONFLICT


async def test_refused_connection_is_not_applied():
    """Guards against unknown outcomes for calls that could not connect."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        async with create_http_session() as session:
            table = create_http_table_service(session, address)
            for result in (
                await table.commit(transaction()),
                await table.read("a"),
                await table.scan("a", 0),
            ):
                assert result.failure().kind is StoreFailureKind.NOT_APPLIED


@pytest.mark.parametrize(
    ("faults", "kind", "applied"),
    [
        ({"down": "refuse"}, StoreFailureKind.NOT_APPLIED, False),
        ({"down": "reset"}, StoreFailureKind.UNKNOWN, False),
        ({"lose_requests": 1}, StoreFailureKind.UNKNOWN, False),
        ({"lose_answers": 1}, StoreFailureKind.UNKNOWN, True),
        ({"slow_seconds": 5.0}, StoreFailureKind.UNKNOWN, False),
        ({"slow_answer_seconds": 5.0}, StoreFailureKind.UNKNOWN, True),
        ({"frozen": True}, StoreFailureKind.UNKNOWN, False),
    ],
)
async def test_failures_are_classified(faults, kind, applied):
    """Guards against ``NOT_APPLIED`` for a write that may have taken effect."""
    target = TableTarget("127.0.0.1", 0)
    async with serving(target) as session:
        table = create_http_table_service(session, target.address, 0.3)
        target.control(faults)
        started = time.monotonic()
        failure = (await table.commit(transaction())).failure()
        assert failure.kind is kind
        assert time.monotonic() - started < 1
        assert (target.state.commits > 0) is applied


async def test_unresponsive_connection_is_not_reused():
    """Guards against calls that all time out on a connection that stopped answering."""
    target = TableTarget("127.0.0.1", 0)
    async with serving(target) as session:
        table = create_http_table_service(session, target.address, 0.3)
        assert (await table.read("a")).unwrap() is None
        target.silence()
        assert (await table.read("a")).failure().kind is StoreFailureKind.UNKNOWN
        assert (await table.read("a")).unwrap() is None


async def test_late_answer_does_not_reach_the_next_call():
    """Guards against the answer to a timed-out call being read by a later one."""
    target = TableTarget("127.0.0.1", 0)
    async with serving(target) as session:
        table = create_http_table_service(session, target.address, 0.2)
        assert (await table.commit(transaction("a"))).unwrap() == Committed(1)
        target.control({"slow_seconds": 0.4, "operations": ["read"]})
        assert (await table.read("a")).failure().kind is StoreFailureKind.UNKNOWN
        target.control({"reset": True})
        for _ in range(20):
            assert (await table.read("b")).unwrap() is None
            await asyncio.sleep(0.02)


@given(st.binary())
def test_any_error_body_is_classified(body):
    """Guards against an exception or a definite outcome from a malformed answer."""
    assert classify_error(body).kind is StoreFailureKind.UNKNOWN


@pytest.mark.parametrize("status", [200, 409, 503])
async def test_answer_of_another_server_is_unknown(status):
    """Guards against trust in a status code that another server may have sent."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\noops".encode(),
        )
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, create_http_session() as session:
        table = create_http_table_service(session, f"127.0.0.1:{port}", 0.5)
        failure = (await table.commit(transaction())).failure()
        assert failure.kind is StoreFailureKind.UNKNOWN
