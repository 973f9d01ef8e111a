"""Validation of profile and zone bodies."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from egretloft._internal.border.configuration import (
    NAME_PATTERN,
    decode_profile,
    decode_version,
    decode_zone_change,
)
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.profiles import Adjacency

names = st.from_regex(NAME_PATTERN, fullmatch=True)
sizes = st.integers(1, 10_000)
profiles = st.fixed_dictionaries(
    {
        "organisation": names,
        "region": names,
        "zones": st.lists(names, min_size=1, max_size=4, unique=True),
        "expected_version": st.integers(0, 2**63 - 1),
    },
    optional={
        "guarantees": st.lists(
            st.fixed_dictionaries(
                {
                    "count": sizes,
                    "accelerators": sizes,
                    "adjacency": st.sampled_from([a.value for a in Adjacency]),
                }
            ),
            max_size=3,
        ),
        "limits": st.fixed_dictionaries({}, optional={"max_queued_jobs": sizes}),
        "services": st.lists(names, max_size=3, unique=True),
    },
)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)
VALID: dict[str, Any] = {
    "organisation": "org-a",
    "region": "region-1",
    "zones": ["zone-1"],
    "expected_version": 3,
    "guarantees": [{"count": 1, "accelerators": 8, "adjacency": "rack"}],
}


def encode(body: object) -> bytes:
    return json.dumps(body).encode()


@given(names, profiles)
def test_valid_profiles_are_converted_completely(
    name: str, body: dict[str, Any]
) -> None:
    """Guards against a field that is dropped or changed by the conversion."""
    profile, version = decode_profile(name, encode(body)).unwrap()
    assert (profile.name, version) == (name, body["expected_version"])
    assert list(profile.zones) == body["zones"]
    assert list(profile.services) == body.get("services", [])
    assert [
        {"count": g.count, "accelerators": g.accelerators, "adjacency": g.adjacency}
        for g in profile.guarantees
    ] == body.get("guarantees", [])


@given(st.binary() | values.map(encode), st.text(max_size=5))
def test_arbitrary_bodies_are_refused_without_raising(data: bytes, name: str) -> None:
    """Guards against exceptions from invalid JSON, UTF-8 or names."""
    for result in (decode_profile("p", data), decode_profile(name, data)):
        assert result.failure().reason in {Reason.MALFORMED, Reason.INVALID_SHAPE}
    decode_zone_change(data)
    decode_version("expected_version", name)


@given(profiles, st.sampled_from(sorted(VALID)), values)
def test_any_value_in_any_field_is_accepted_or_explained(
    body: dict[str, Any], field: str, value: Any
) -> None:
    """Guards against a refusal that does not name the field.

    The name is taken from the text of a msgspec error, which varies with the value.
    """
    result = decode_profile("p", encode({**body, field: value}))
    if isinstance(result, Failure):
        refusal = result.failure()
        assert field in refusal.message or "not valid JSON" in refusal.message


@pytest.mark.parametrize(
    ("change", "reason", "message", "hint"),
    [
        ({"extra": 1}, Reason.MALFORMED, "body is {", "unknown field `extra`"),
        ({"zones": []}, Reason.MALFORMED, "zones is []", "length >= 1"),
        ({"zones": ["a", "a"]}, Reason.MALFORMED, "zones is 'a'", "only once"),
        ({"zones": ["a/b"]}, Reason.MALFORMED, "zones[0] is 'a/b'", "letters"),
        ({"zones": ["a\n"]}, Reason.MALFORMED, "zones[0] is 'a\\n'", "letters"),
        ({"organisation": "a/b"}, Reason.MALFORMED, "is 'a/b'", "letters"),
        ({"expected_version": "3"}, Reason.MALFORMED, "is '3'", "`int`"),
        (
            {"guarantees": [{"count": 0, "accelerators": 1, "adjacency": "rack"}]},
            Reason.INVALID_SHAPE,
            "guarantees[0].count is 0",
            ">= 1",
        ),
        (
            {"guarantees": [{"count": 1, "accelerators": 1, "adjacency": "row"}]},
            Reason.INVALID_SHAPE,
            "guarantees[0].adjacency is 'row'",
            "enum",
        ),
    ],
)
def test_refusals_name_field_value_and_rule(
    change: dict[str, Any], reason: Reason, message: str, hint: str
) -> None:
    """Guards against a refusal that does not say what is wrong and what is allowed."""
    refusal = decode_profile("p", encode({**VALID, **change})).failure()
    assert refusal.reason is reason
    assert message in refusal.message
    assert hint in refusal.hint
