"""The table service over HTTP with msgpack bodies."""

from __future__ import annotations

from typing import TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from egretloft._internal.codec import decode, encode
from egretloft._internal.platform.http_call import send_request
from egretloft._internal.platform.protocols import (
    Committed,
    Row,
    Scan,
    StoreFailure,
    StoreFailureKind,
    Transaction,
)

T = TypeVar("T")


class ReadAnswer(msgspec.Struct):
    """Body of an answer to a read."""

    row: Row | None


class ErrorAnswer(msgspec.Struct):
    """Body of any answer that is not 200; ``error`` is a ``StoreFailureKind``."""

    error: str
    message: str = ""


def classify_error(body: bytes) -> StoreFailure:
    """Return the failure in an answer other than 200; ``UNKNOWN`` if unclear."""
    match decode(body, ErrorAnswer):
        case Success(answer) if answer.error in (
            StoreFailureKind.CONFLICT,
            StoreFailureKind.NOT_APPLIED,
        ):
            return StoreFailure(StoreFailureKind(answer.error), answer.message)
        case Success(answer):
            return StoreFailure(StoreFailureKind.UNKNOWN, answer.message)
    return StoreFailure(StoreFailureKind.UNKNOWN, "unreadable error answer")


class HttpTableService:
    """A ``TableService`` at one address."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_seconds: float
    ) -> None:
        self.session = session
        self.address = address
        self.timeout_seconds = timeout_seconds

    async def read(self, key: str) -> Result[Row | None, StoreFailure]:
        """Return the row, or ``None`` if it was never written or is deleted."""
        match await self._call("read", {"key": key}, ReadAnswer):
            case Success(answer):
                row = answer.row
                if row is not None and row.key != key:
                    return _unknown_outcome(f"asked for row {key}, got {row.key}")
                return Success(row if row and row.value is not None else None)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError("unreachable")

    async def scan(self, prefix: str, after_version: int) -> Result[Scan, StoreFailure]:
        """Return rows under ``prefix`` whose version is above ``after_version``."""
        body = {"prefix": prefix, "after_version": after_version}
        match await self._call("scan", body, Scan):
            case Success(scan) if not all(
                row.key.startswith(prefix) and after_version < row.version <= scan.as_of
                for row in scan.rows
            ):
                return _unknown_outcome(f"scan of {prefix} returned other rows")
            case result:
                return result

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreFailure]:
        """Apply the transaction atomically."""
        return await self._call("commit", transaction, Committed)

    async def _call(
        self, operation: str, body: object, type_: type[T]
    ) -> Result[T, StoreFailure]:
        url = f"http://{self.address}/table/{operation}"
        match await send_request(
            self.session, "POST", url, self.timeout_seconds, encode(body)
        ):
            case Success(answer) if answer.status == 200:
                match decode(answer.body, type_):
                    case Success(value):
                        return Success(value)
                    case Failure(message):
                        return _unknown_outcome(f"unreadable answer: {message}")
            case Success(answer):
                return Failure(classify_error(answer.body))
            case Failure(failure) if failure.sent:
                return _unknown_outcome(failure.message)
            case Failure(failure):
                return Failure(
                    StoreFailure(StoreFailureKind.NOT_APPLIED, failure.message)
                )
        raise AssertionError("unreachable")


def _unknown_outcome(message: str) -> Failure[StoreFailure]:
    return Failure(StoreFailure(StoreFailureKind.UNKNOWN, message))


def create_http_table_service(
    session: aiohttp.ClientSession, address: str, timeout_seconds: float = 1.0
) -> HttpTableService:
    """Return the table service at ``address`` (``host:port``)."""
    return HttpTableService(session, address, timeout_seconds)
