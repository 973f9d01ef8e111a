"""Frames of the peer protocol: a 4-byte big-endian length, then a msgpack map."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 1 << 20
MAX_CALL_ID = (1 << 63) - 1
HEADER = struct.Struct(">I")


class FrameType(StrEnum):
    """The type of a frame."""

    HELLO = "hello"
    HEARTBEAT = "heartbeat"
    CALL = "call"
    ANSWER = "answer"
    # The call did not reach a handler, so it had no effect.
    REFUSED = "refused"
    # The handler raised, so the call may have had an effect.
    FAILED = "failed"
    # The sender is stopping and handles no further call. ``in_progress`` in the body
    # lists the ids of calls that reached a handler and are not answered yet.
    GOODBYE = "goodbye"


class Frame(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One frame; ``name`` is the call type, ``id`` matches answers to calls."""

    v: int
    t: FrameType
    id: Annotated[int, msgspec.Meta(ge=0, le=MAX_CALL_ID)]
    name: Annotated[str, msgspec.Meta(max_length=128)] = ""
    body: dict[str, Any] = {}


class FrameHead(msgspec.Struct, frozen=True):
    """The fields that frames of every protocol version have."""

    v: int
    t: str


class FrameFault(StrEnum):
    """Why a frame was refused."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_TYPE = "unknown_type"


# After a frame of unknown type the next frame can still be found. After any other fault
# the rest of the stream cannot be trusted.
FATAL_FAULTS = frozenset(FrameFault) - {FrameFault.UNKNOWN_TYPE}


def encode_frame(
    frame_type: FrameType,
    call_id: int = 0,
    name: str = "",
    body: dict[str, Any] | None = None,
) -> Result[bytes, str]:
    """Return the encoded frame with its header, or why it cannot be sent."""
    frame = Frame(PROTOCOL_VERSION, frame_type, call_id, name, body or {})
    try:
        payload = msgspec.msgpack.encode(frame)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        return Failure(f"the body cannot be encoded: {error}")
    if len(payload) > MAX_FRAME_BYTES:
        return Failure(
            f"the frame has {len(payload)} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )
    return Success(HEADER.pack(len(payload)) + payload)


def decode_payload(payload: bytes) -> Result[Frame, FrameFault]:
    """Decode a frame without its header; return the frame or why it is refused."""
    # TypeError: a map inside the body has a key that cannot be hashed.
    errors = (msgspec.DecodeError, TypeError, UnicodeDecodeError, RecursionError)
    try:
        frame = msgspec.msgpack.decode(payload, type=Frame)
    except errors:
        try:
            head = msgspec.msgpack.decode(payload, type=FrameHead)
        except errors:
            return Failure(FrameFault.MALFORMED)
        if head.v != PROTOCOL_VERSION:
            return Failure(FrameFault.UNKNOWN_VERSION)
        if head.t not in set(FrameType):
            return Failure(FrameFault.UNKNOWN_TYPE)
        return Failure(FrameFault.MALFORMED)
    if frame.v != PROTOCOL_VERSION:
        return Failure(FrameFault.UNKNOWN_VERSION)
    return Success(frame)


@dataclass(slots=True)
class FrameDecoder:
    """Splits a byte stream into frames; buffers at most one incomplete frame.

    After a fault in ``FATAL_FAULTS`` the decoder is ``broken`` and ignores its input.
    """

    buffer: bytearray
    broken: bool = False

    def feed(self, data: bytes) -> list[Result[Frame, FrameFault]]:
        """Return the frames that ``data`` completes, in order."""
        results: list[Result[Frame, FrameFault]] = []
        if self.broken:
            return results
        self.buffer += data
        start = 0
        while len(self.buffer) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self.buffer, start)
            if length > MAX_FRAME_BYTES:
                results.append(Failure(FrameFault.OVERSIZED))
                self.broken = True
                break
            end = start + HEADER.size + length
            if len(self.buffer) < end:
                break
            result = decode_payload(bytes(self.buffer[start + HEADER.size : end]))
            results.append(result)
            start = end
            if isinstance(result, Failure) and result.failure() in FATAL_FAULTS:
                self.broken = True
                break
        if self.broken:
            self.buffer.clear()
        else:
            del self.buffer[:start]
        return results


def create_frame_decoder() -> FrameDecoder:
    """Return a decoder at the start of a stream."""
    return FrameDecoder(bytearray())
