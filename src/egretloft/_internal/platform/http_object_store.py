"""The object store over HTTP."""

from __future__ import annotations

from typing import TypeVar
from urllib.parse import quote

import aiohttp
from returns.result import Failure, Result, Success

from egretloft._internal.platform.http_call import (
    HttpFailure,
    HttpResponse,
    send_request,
)
from egretloft._internal.platform.http_table_service import classify_error
from egretloft._internal.platform.protocols import StoreFailure, StoreFailureKind

T = TypeVar("T")

# The store sets this header on each of its answers. It distinguishes a missing object
# from a 404 of another service that listens at the address.
OBJECT_NAME_HEADER = "Object-Name"


class HttpObjectStore:
    """An ``ObjectStore`` at one address."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_seconds: float
    ) -> None:
        self.session = session
        self.address = address
        self.timeout_seconds = timeout_seconds

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreFailure]:
        """Store the object; false when the name already exists."""
        match await self._call("PUT", name, data):
            case Success(answer) if answer.status == 201 and is_about(answer, name):
                return Success(True)
            case Success(answer) if answer.status == 412 and is_about(answer, name):
                return Success(False)
            case other:
                return _store_failure(other)

    async def get(self, name: str) -> Result[bytes | None, StoreFailure]:
        """Return the object, ``None`` when it does not exist."""
        match await self._call("GET", name, None):
            case Success(answer) if answer.status == 200 and is_about(answer, name):
                return Success(answer.body)
            case Success(answer) if answer.status == 404 and is_about(answer, name):
                return Success(None)
            case other:
                return _store_failure(other)

    async def _call(
        self, method: str, name: str, data: bytes | None
    ) -> Result[HttpResponse, HttpFailure]:
        url = f"http://{self.address}/objects/{quote(name)}"
        headers = {"If-None-Match": "*"} if method == "PUT" else None
        return await send_request(
            self.session, method, url, self.timeout_seconds, data, headers
        )


def is_about(answer: HttpResponse, name: str) -> bool:
    """Return whether the store sent the answer, and for this object."""
    return answer.headers.get(OBJECT_NAME_HEADER) == quote(name)


def _store_failure(result: Result[HttpResponse, HttpFailure]) -> Failure[StoreFailure]:
    match result:
        case Failure(failure) if not failure.sent:
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, failure.message))
        case Failure(failure):
            return Failure(StoreFailure(StoreFailureKind.UNKNOWN, failure.message))
        case Success(answer) if answer.status >= 400:
            return Failure(classify_error(answer.body))
    return Failure(StoreFailure(StoreFailureKind.UNKNOWN, "unexpected answer"))


def create_http_object_store(
    session: aiohttp.ClientSession, address: str, timeout_seconds: float = 5.0
) -> HttpObjectStore:
    """Return the object store at ``address`` (``host:port``)."""
    return HttpObjectStore(session, address, timeout_seconds)
