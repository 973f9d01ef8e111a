"""One HTTP exchange with the platform, with a bound on time and on size."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
from returns.result import Failure, Result, Success

# Share of a call's time that may pass before its connection is open. A call that fails
# within this share was certainly not sent; the rest remains for the answer.
CONNECT_SHARE = 0.5
# Larger answers are given up, so that a faulty target cannot fill the memory.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Idle connections are closed well before servers close them, so that few requests
# meet a connection that the server is just closing.
KEEPALIVE_SECONDS = 10.0


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpFailure:
    """No complete answer; ``sent`` is false only if nothing was sent."""

    sent: bool
    message: str


async def send_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_seconds: float,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> Result[HttpResponse, HttpFailure]:
    """Send one request and read the whole answer.

    A connection whose answer did not arrive completely is closed, never reused.
    """
    if timeout_seconds <= 0:
        return Failure(HttpFailure(False, "no time left to send the request"))
    timeout = aiohttp.ClientTimeout(
        total=timeout_seconds, connect=timeout_seconds * CONNECT_SHARE
    )
    try:
        async with session.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            chunks: list[bytes] = []
            size = 0
            async for chunk in response.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                if size > MAX_ANSWER_BYTES:
                    response.close()
                    return Failure(HttpFailure(True, f"{url}: answer too large"))
            return Success(
                HttpResponse(response.status, response.headers, b"".join(chunks))
            )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.InvalidURL,
    ) as error:
        return Failure(HttpFailure(False, f"{url}: {error or type(error).__name__}"))
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return Failure(HttpFailure(True, f"{url}: {error or type(error).__name__}"))


def create_http_session(connections_per_target: int = 0) -> aiohttp.ClientSession:
    """Return a session for calls to the platform; 0 connections means no limit.

    Needs a running event loop. Cookies and proxy settings of the environment are not
    used. The session sends each request once: aiohttp would otherwise repeat GET, PUT
    and DELETE after a lost connection, and a repeated PUT would report an object that
    the first attempt stored as one that had existed before.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_target,
            keepalive_timeout=KEEPALIVE_SECONDS,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    session._retry_connection = False
    return session


# Calls in progress on a session that was replaced may go on for this long.
REPLACED_SESSION_SECONDS = 5.0


class RenewableSession:
    """A session that is replaced after a call without an answer.

    A connection may go silent for good while new ones work; the others of the same
    age are then in doubt too, so the next call opens a new one.
    """

    def __init__(self) -> None:
        self.session = create_http_session()

    async def send_request(
        self,
        method: str,
        url: str,
        timeout_seconds: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[HttpResponse, HttpFailure]:
        """Send one request and read the whole answer."""
        session = self.session
        result = await send_request(
            session, method, url, timeout_seconds, body, headers
        )
        if isinstance(result, Failure) and session is self.session:
            self.replace()
        return result

    def replace(self) -> None:
        """Use new connections from now on, and close the old ones later."""
        old = self.session
        self.session = create_http_session()
        loop = asyncio.get_running_loop()
        loop.call_later(REPLACED_SESSION_SECONDS, close_later, old)


def close_later(session: aiohttp.ClientSession) -> None:
    """Close a session that is no longer used."""
    task = asyncio.ensure_future(session.close())
    closing_sessions.add(task)
    task.add_done_callback(closing_sessions.discard)


# Keeps references to running closes, as the event loop holds only weak ones.
closing_sessions: set[asyncio.Future[None]] = set()


def create_renewable_session() -> RenewableSession:
    """Return a session for one target; needs a running event loop."""
    return RenewableSession()
