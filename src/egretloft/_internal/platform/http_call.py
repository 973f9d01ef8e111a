"""HTTP calls to the platform with limits on time and response size."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
from returns.result import Failure, Result, Success

# Share of a call's timeout that connecting may take. A call that fails to connect was
# certainly not sent; the rest of the timeout remains for the answer.
CONNECT_TIMEOUT_SHARE = 0.5
# Reading stops at a larger answer, so that a faulty target cannot exhaust the memory.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# An answer may take this much longer to arrive than a call may otherwise take, by its
# size: a slow link needs seconds for the largest answers, and a call that was given up
# meanwhile would have to begin again. The rate is a fifth of the slowest link, as calls
# share it.
MIN_BYTES_PER_SECOND = 125_000.0
MAX_TRANSFER_SECONDS = 10.0
# Idle connections are closed well before servers close them, so that few requests are
# sent on a connection that the server is closing.
KEEPALIVE_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """An answer that was read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpFailure:
    """A call without a complete answer; ``sent`` is false only if nothing was sent.

    ``too_large`` tells that the answer was not read because of its size,
    ``unconnected`` that the call needed an open connection and there was none.
    """

    sent: bool
    message: str
    too_large: bool = False
    unconnected: bool = False


class NoOpenConnectionError(aiohttp.ClientConnectionError):
    """Raised if a call that must not open a connection finds none that is idle."""


async def send_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_seconds: float,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
    opens_connection: bool = True,
) -> Result[HttpResponse, HttpFailure]:
    """Send one request and read the whole answer.

    The answer has to begin within ``timeout_seconds``; a large one may take longer to
    arrive, as long as no gap is longer than that. A connection whose answer did not
    arrive completely is closed, never reused. Without ``opens_connection`` nothing is
    sent if no idle connection is left, provided that the session traces that.
    """
    if timeout_seconds <= 0:
        return Failure(HttpFailure(False, "no time left to send the request"))
    timeout = aiohttp.ClientTimeout(
        total=None,
        connect=timeout_seconds * CONNECT_TIMEOUT_SHARE,
        sock_read=timeout_seconds,
    )
    loop = asyncio.get_running_loop()
    started = loop.time()
    chunks: list[bytes] = []
    size = 0
    try:
        async with (
            asyncio.timeout(timeout_seconds) as limit,
            session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=opens_connection,
            ) as response,
        ):
            length = response.content_length
            limit.reschedule(started + timeout_seconds + transfer_seconds(length))
            if length is None or length <= max_answer_bytes:
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
                    size += len(chunk)
                    if size > max_answer_bytes:
                        break
            if max(size, length or 0) > max_answer_bytes:
                response.close()
                message = f"{url}: answer too large"
                return Failure(HttpFailure(True, message, too_large=True))
            return Success(
                HttpResponse(response.status, response.headers, b"".join(chunks))
            )
    except NoOpenConnectionError:
        return Failure(HttpFailure(False, f"{url}: no connection", unconnected=True))
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.InvalidURL,
    ) as error:
        return Failure(HttpFailure(False, f"{url}: {describe(error)}"))
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        seconds = loop.time() - started
        progress = f"{size} bytes of the answer after {seconds:.2f} s"
        return Failure(HttpFailure(True, f"{url}: {describe(error)}, {progress}"))


def transfer_seconds(length: int | None) -> float:
    """Return how long an answer of ``length`` bytes, if that is known, may arrive."""
    if length is None:
        return MAX_TRANSFER_SECONDS
    return min(MAX_TRANSFER_SECONDS, length / MIN_BYTES_PER_SECOND)


def describe(error: Exception) -> str:
    """Return the error's text, or its type if it has none, as for a timeout."""
    return str(error) or type(error).__name__


async def refuse_new_connection(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Fail a call that is about to open a connection and must not."""
    if context.trace_request_ctx is False:
        raise NoOpenConnectionError("no idle connection")


def connection_trace() -> aiohttp.TraceConfig:
    """Return the trace of a session whose calls may need an open connection."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(refuse_new_connection)
    return trace


def create_http_session(
    connections_per_target: int = 0, traces_connections: bool = False
) -> aiohttp.ClientSession:
    """Return a session for calls to the platform; 0 connections means no limit.

    Needs a running event loop. Cookies and proxy settings of the environment are not
    used. The session sends each request once: aiohttp would otherwise repeat GET, PUT
    and DELETE after a lost connection, and a repeated PUT would report an object that
    the first attempt stored as one that had existed before. If it
    ``traces_connections``, calls can do without opening one.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_target,
            keepalive_timeout=KEEPALIVE_SECONDS,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[connection_trace()] if traces_connections else None,
    )
    session._retry_connection = False
    return session


# Calls in progress on a replaced session have this long to finish before it is closed:
# the longest timeout of a call, and the time in which a large answer may arrive.
SESSION_CLOSE_DELAY_SECONDS = 5.0 + MAX_TRANSFER_SECONDS


class ReconnectingSession:
    """A session that is replaced after a call without an answer.

    A connection may stop answering for good while new ones work. Other connections of
    the same age may be affected too, so the next call opens a new one.
    """

    def __init__(self, traces_connections: bool) -> None:
        self.traces_connections = traces_connections
        self.session = create_http_session(traces_connections=traces_connections)

    async def send_request(
        self,
        method: str,
        url: str,
        timeout_seconds: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        opens_connection: bool = True,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send one request and read the whole answer."""
        session = self.session
        result = await send_request(
            session,
            method,
            url,
            timeout_seconds,
            body,
            headers,
            max_answer_bytes,
            opens_connection,
        )
        if not isinstance(result, Failure) or result.failure().unconnected:
            return result
        if session is self.session:
            self.replace()
        return result

    def replace(self) -> None:
        """Use new connections from now on, and close the old ones after a delay."""
        old = self.session
        self.session = create_http_session(traces_connections=self.traces_connections)
        loop = asyncio.get_running_loop()
        loop.call_later(SESSION_CLOSE_DELAY_SECONDS, close_in_background, old)


def close_in_background(session: aiohttp.ClientSession) -> None:
    """Start to close a session that is no longer used."""
    task = asyncio.ensure_future(session.close())
    close_tasks.add(task)
    task.add_done_callback(close_tasks.discard)


# References to running close tasks, as the event loop holds only weak ones.
close_tasks: set[asyncio.Future[None]] = set()


def create_reconnecting_session(
    traces_connections: bool = False,
) -> ReconnectingSession:
    """Return a session for one target; needs a running event loop.

    If it ``traces_connections``, calls can do without opening one.
    """
    return ReconnectingSession(traces_connections)
