"""Msgpack encoding of data classes, for rows of the table service."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

T = TypeVar("T")

# What ``msgspec`` raises for input that it cannot decode: the second for invalid UTF-8,
# the third for input that is nested too deeply.
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def encode(value: object) -> bytes:
    """Return ``value``, a data class or plain value, as msgpack."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, type_: type[T]) -> Result[T, str]:
    """Return ``data`` decoded as a ``type_``, or why it cannot be decoded."""
    try:
        return Success(msgspec.msgpack.decode(data, type=type_))
    except UNREADABLE as error:
        return Failure(str(error))
