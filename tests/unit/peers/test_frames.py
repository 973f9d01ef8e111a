"""Frames: no input may raise, desynchronise the stream or grow the buffer."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from egretloft._internal.peers.frames import (
    HEADER,
    MAX_FRAME_BYTES,
    FrameFault,
    FrameType,
    create_frame_decoder,
    decode_payload,
    encode_frame,
)

values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
frames = st.tuples(
    st.sampled_from(FrameType),
    st.integers(0, 2**63 - 1),
    st.text(max_size=32),
    st.dictionaries(st.text(), values, max_size=4),
)


@given(st.lists(frames, max_size=5), st.lists(st.integers(1, 40), min_size=1))
def test_frames_survive_any_cut_of_the_stream(
    sent: list[tuple[FrameType, int, str, dict[str, object]]], cuts: list[int]
) -> None:
    """Guards against frames that are lost or merged when TCP splits the stream.

    A read may return part of a frame, or several frames at once.
    """
    data = b"".join(encode_frame(*frame).unwrap() for frame in sent)
    decoder = create_frame_decoder()
    received = []
    position = 0
    while position < len(data):
        size = cuts[position % len(cuts)]
        received += decoder.feed(data[position : position + size])
        position += size
    assert [(f.t, f.id, f.name, f.body) for f in map(Success.unwrap, received)] == sent
    assert not decoder.buffer


@given(st.lists(st.binary(max_size=200), max_size=8))
def test_arbitrary_bytes_are_refused_without_raising(chunks: list[bytes]) -> None:
    """Guards against a malformed stream that stops the reader or fills memory.

    A peer, or another program, sends arbitrary bytes.
    """
    decoder = create_frame_decoder()
    for chunk in chunks:
        decoder.feed(chunk)
        assert len(decoder.buffer) <= MAX_FRAME_BYTES + HEADER.size
        assert not (decoder.broken and decoder.buffer)


@given(st.binary(max_size=100) | values.map(msgspec.msgpack.encode))
def test_arbitrary_payloads_are_refused_without_raising(payload: bytes) -> None:
    """Guards against a payload whose decoding raises an unexpected error.

    A frame of correct length contains arbitrary bytes or an arbitrary value.
    """
    decode_payload(payload)


def test_faults_are_told_apart() -> None:
    """Guards against a newer peer that is counted as sending malformed frames.

    It uses a frame type or protocol version that this one does not know.
    """
    fields = {"v": 1, "t": "call", "id": 1, "name": "x", "body": {}}
    cases = {
        FrameFault.UNKNOWN_VERSION: fields | {"v": 2, "new": 1},
        FrameFault.UNKNOWN_TYPE: fields | {"t": "gossip"},
        FrameFault.MALFORMED: fields | {"new": 1},
    }
    for fault, content in cases.items():
        payload = msgspec.msgpack.encode(content)
        assert decode_payload(payload) == Failure(fault)
    assert decode_payload(b"\x91" * 100_000) == Failure(FrameFault.MALFORMED)
    decoder = create_frame_decoder()
    refused = decoder.feed(HEADER.pack(MAX_FRAME_BYTES + 1))
    assert refused == [Failure(FrameFault.OVERSIZED)]
    assert isinstance(encode_frame(FrameType.CALL, body={"x": "a" * 2**20}), Failure)


def test_stream_stays_in_step_after_an_unknown_type() -> None:
    """Guards against a new frame type that makes an old peer drop the stream.

    A newer peer sends a frame of unknown type, followed by a known one.
    """
    payload = msgspec.msgpack.encode({"v": 1, "t": "gossip", "id": 0})
    good = encode_frame(FrameType.CALL, 7).unwrap()
    results = create_frame_decoder().feed(HEADER.pack(len(payload)) + payload + good)
    assert results[0] == Failure(FrameFault.UNKNOWN_TYPE)
    assert results[1].unwrap().id == 7
