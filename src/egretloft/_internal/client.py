"""HTTP client of ``egretctl``."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.codec import UNREADABLE


@dataclass(slots=True, frozen=True)
class ClientFailure:
    """A call that was refused, or whose outcome is not known.

    ``outcome`` is ``not_run``, ``unknown`` or ``unreachable``; ``status`` is the HTTP
    status, 0 without an answer.
    """

    outcome: str
    reason: str
    message: str
    hint: str = ""
    status: int = 0


@dataclass(slots=True, frozen=True)
class Client:
    """Calls the first entry instance of ``servers`` that accepts a connection.

    The next server is tried only if nothing was sent to the one before, so that a
    call is made at most once.
    """

    servers: Sequence[str]
    timeout_seconds: float

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        params: dict[str, str] | None = None,
    ) -> Result[Any, ClientFailure]:
        """Return the decoded JSON answer, or text for other content types."""
        return asyncio.run(self._call(method, path, body, params or {}))

    async def _call(
        self, method: str, path: str, body: object, params: dict[str, str]
    ) -> Result[Any, ClientFailure]:
        timeout = aiohttp.ClientTimeout(total=self.timeout_seconds)
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data is not None else {}
        last_error = ""
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for server in self.servers:
                try:
                    async with session.request(
                        method,
                        f"http://{server}{path}",
                        data=data,
                        headers=headers,
                        params=params,
                    ) as response:
                        return decode_answer(
                            response.status,
                            response.content_type,
                            await response.read(),
                        )
                except aiohttp.ClientConnectorError as error:
                    last_error = str(error)
                except (aiohttp.ClientError, TimeoutError) as error:
                    return Failure(
                        ClientFailure(
                            "unknown" if method != "GET" else "unreachable",
                            "connection_lost",
                            f"{server} did not answer: {error or 'timed out'}",
                            "ask for the state before repeating the command",
                        )
                    )
        return Failure(
            ClientFailure(
                "unreachable",
                "connection_refused",
                f"no entry instance could be reached: {last_error}",
                "check --server or EGRETCTL_SERVER",
            )
        )


def decode_answer(
    status: int, content_type: str, data: bytes
) -> Result[Any, ClientFailure]:
    """Return the decoded answer, or the failure that the instance reported."""
    if content_type != "application/json":
        text = data.decode("utf-8", "replace")
        if status < 400:
            return Success(text)
        return Failure(ClientFailure("unknown", "http", text[:200], "", status))
    try:
        body = msgspec.json.decode(data)
    except UNREADABLE as error:
        return Failure(ClientFailure("unknown", "http", str(error), "", status))
    if status < 400:
        return Success(body)
    fields = body if isinstance(body, dict) else {}
    return Failure(
        ClientFailure(
            str(fields.get("outcome", "unknown")),
            str(fields.get("reason", "http")),
            str(fields.get("message", f"HTTP status {status}")),
            str(fields.get("hint", "")),
            status,
        )
    )


def create_client(servers: Sequence[str], timeout_seconds: float) -> Client:
    """Return a client of the given ``IP:PORT`` addresses."""
    return Client(tuple(servers), timeout_seconds)
