"""Validation of service request bodies."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from egretloft._internal.border.requests import (
    MAX_BODY_BYTES,
    MAX_PAYLOAD_BYTES,
    decode_request,
)
from egretloft._internal.models.outcomes import OutcomeKind, Reason

VALID: dict[str, Any] = {
    "organisation": "Hvalfjörður Vínhugbúnaður ehf.",
    "profile": "vín",
    "deadline_ms": 1500,
    "idempotency_key": "k",
    "idempotent": True,
    "payload": "päyload",
}


def decode(body: Any) -> Any:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return decode_request("service-1", raw, "id-1")


def reason_of(result: Any) -> Reason:
    assert isinstance(result, Failure), result
    assert result.failure().kind is OutcomeKind.NOT_RUN
    return result.failure().reason


def test_valid_body_is_converted_with_its_units() -> None:
    """Guards against confusing milliseconds and seconds.

    The body has the deadline in milliseconds, the request has it in seconds.
    """
    request = decode(VALID).unwrap()
    assert request.deadline_seconds == 1.5
    assert request.payload == "päyload".encode()
    assert (request.request_id, request.service) == ("id-1", "service-1")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("organisation", ""),
        ("organisation", "a/b"),
        ("organisation", "a\n"),
        ("profile", "p" * 129),
        ("profile", 7),
        ("deadline_ms", 0),
        ("deadline_ms", -5),
        ("deadline_ms", 600_001),
        ("deadline_ms", 1.5),
        ("deadline_ms", True),
        ("deadline_ms", "100"),
        ("idempotency_key", ""),
        ("idempotency_key", "k" * 129),
        ("idempotency_key", "\ud800"),
        ("idempotent", 1),
        ("idempotent", "true"),
        ("payload", None),
        ("payload", {"nested": 1}),
        ("payload", "\udfff"),
        ("priority", "high"),
    ],
)
def test_wrong_field_is_malformed(name: str, value: Any) -> None:
    """Guards against type coercion and against ignoring unknown fields."""
    assert reason_of(decode(VALID | {name: value})) is Reason.MALFORMED


@pytest.mark.parametrize("name", sorted(VALID))
def test_missing_field_is_malformed(name: str) -> None:
    """Guards against defaults for fields that the caller must set."""
    body = {key: value for key, value in VALID.items() if key != name}
    assert reason_of(decode(body)) is Reason.MALFORMED


def test_sizes_past_a_limit_are_too_large() -> None:
    """Guards against a payload that does not fit into one peer frame."""
    largest = VALID | {"payload": "x" * MAX_PAYLOAD_BYTES}
    assert isinstance(decode(largest), Success)
    larger = VALID | {"payload": "x" * (MAX_PAYLOAD_BYTES + 1)}
    assert reason_of(decode(larger)) is Reason.TOO_LARGE
    assert reason_of(decode(b" " * (MAX_BODY_BYTES + 1))) is Reason.TOO_LARGE


@given(st.binary(max_size=200) | st.just(b"[" * 100_000) | st.just(b'{"a":' * 10_000))
def test_any_invalid_bytes_are_refused(body: bytes) -> None:
    """Guards against bytes, such as deeply nested JSON, that raise an exception."""
    assert reason_of(decode(body)) is Reason.MALFORMED


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(st.sampled_from([*sorted(VALID), "extra"]), JSON)
def test_any_field_value_is_kept_exactly_or_refused(name: str, value: Any) -> None:
    """Guards against a value that is changed by the conversion."""
    result = decode(VALID | {name: value})
    if isinstance(result, Failure):
        assert reason_of(result) in {Reason.MALFORMED, Reason.TOO_LARGE}
        return
    request = result.unwrap()
    assert name != "extra"
    kept = {
        "deadline_ms": round(request.deadline_seconds * 1000),
        "payload": request.payload.decode(),
    }
    given_value = kept[name] if name in kept else getattr(request, name)
    assert given_value == value
    assert type(given_value) is type(value) or name == "deadline_ms"
