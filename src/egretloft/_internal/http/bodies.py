"""Reads request bodies up to the size limit of the API."""

from __future__ import annotations

from aiohttp import web
from returns.result import Failure, Result, Success

from egretloft._internal.border.requests import MAX_BODY_BYTES
from egretloft._internal.models.outcomes import Reason, Refusal, not_run

READ_CHUNK_BYTES = 1 << 16


async def read_body(request: web.Request) -> Result[bytes, Refusal]:
    """Return the body, or a refusal if it is over the limit.

    The limit applies even if the application has a larger ``client_max_size``.
    """
    if (request.content_length or 0) > MAX_BODY_BYTES:
        return Failure(body_too_large())
    body = bytearray()
    async for chunk in request.content.iter_chunked(READ_CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return Failure(body_too_large())
    return Success(bytes(body))


def body_too_large() -> Refusal:
    """Return the refusal for a body that is over the limit."""
    return not_run(
        Reason.TOO_LARGE,
        f"the body is over {MAX_BODY_BYTES} bytes",
        "send less data in one request",
    )
