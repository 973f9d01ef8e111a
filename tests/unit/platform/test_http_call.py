"""Calls whose answers arrive slowly or not completely."""

from __future__ import annotations

import asyncio

from egretloft._internal.platform.http_call import create_http_session, send_request

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"


async def test_timeout_says_how_far_the_answer_had_come():
    """Guards against a slow transfer that looks like a silent connection in logs."""
    closed = asyncio.Event()

    async def answer_half(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"x" * 500)
        await writer.drain()
        await reader.read()
        writer.close()
        closed.set()

    server = await asyncio.start_server(answer_half, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    async with server, create_http_session() as session:
        result = await send_request(session, "GET", url, 0.3)
        await closed.wait()
    failure = result.failure()
    assert failure.sent
    assert "Timeout on reading data from socket" in failure.message
    assert "500 bytes of the answer" in failure.message


async def test_answer_that_stops_arriving_is_given_up():
    """Guards against a call that waits for a connection which has gone silent."""
    closed = asyncio.Event()

    async def answer_and_stop(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n" + b"x" * 500
        )
        await writer.drain()
        await reader.read()
        writer.close()
        closed.set()

    server = await asyncio.start_server(answer_and_stop, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    async with server, create_http_session() as session:
        async with asyncio.timeout(1.0):
            result = await send_request(session, "GET", url, 0.3)
        await closed.wait()
    assert result.failure().sent
