"""Validation of job submission and cancellation bodies."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from egretloft._internal.border.jobs import decode_cancel, decode_job
from egretloft._internal.models.outcomes import OutcomeKind, Reason

VALID: dict[str, Any] = {
    "organisation": "org-a",
    "profile": "org-a",
    "service": "salon-desk",
    "idempotency_key": "key-1",
    "tasks": 4,
    "accelerators_per_task": 2,
    "cores": 8,
    "memory_gb": 32,
    "adjacency": "rack",
    "declared_seconds": 600,
    "command": "train",
    "idempotent": True,
    "checkpointable": False,
    "priority": "urgent",
    "start_deadline_seconds": 30,
}


def test_valid_body() -> None:
    """Guards against mixing up fields when the body is converted to a job."""
    submission = decode_job(json.dumps(VALID).encode(), now=1000.0).unwrap()
    spec = submission.spec
    assert submission.idempotency_key == "key-1"
    assert (spec.tasks, spec.accelerators_per_task, spec.cores) == (4, 2, 8)
    assert (spec.memory_gb, spec.declared_seconds) == (32, 600.0)
    assert (spec.idempotent, spec.checkpointable) == (True, False)
    assert spec.deadline_at == 1030.0


def test_digest_depends_on_values_only() -> None:
    """Guards against refusing a retry as a reused key.

    A client may send the same fields in another order, and at a later time.
    """
    reordered = dict(reversed(VALID.items()))
    first, second = (
        decode_job(json.dumps(body).encode(), now=now).unwrap().spec.body_digest
        for body, now in ((VALID, 1.0), (reordered, 2.0))
    )
    other = {**VALID, "command": "train harder"}
    third = decode_job(json.dumps(other).encode(), 1.0).unwrap().spec.body_digest
    assert first == second != third


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("tasks", 0),
        ("tasks", 1025),
        ("tasks", 1.5),
        ("accelerators_per_task", -1),
        ("accelerators_per_task", 65),
        ("adjacency", "galaxy"),
        ("declared_seconds", 0),
        ("organisation", "a/b"),
        ("organisation", "a\n"),
        ("organisation", ""),
        ("idempotency_key", ""),
        ("idempotency_key", "k" * 129),
        ("command", "\ud800"),
        ("idempotent", "yes"),
        ("priority", "highest"),
        ("start_deadline_seconds", -1),
        ("not_a_field", 1),
    ],
)
def test_value_out_of_range(field: str, value: object) -> None:
    """Guards against accepting values that the scheduler or a row cannot handle."""
    result = decode_job(json.dumps({**VALID, field: value}).encode(), 1.0)
    assert result.failure().reason is Reason.MALFORMED


@pytest.mark.parametrize("ids", [[], ["a"] * 1001, ["a/b"], [1]])
def test_cancel_body_out_of_range(ids: list[object]) -> None:
    """Guards against cancellations that read too many rows or have invalid ids."""
    assert isinstance(decode_cancel(json.dumps({"job_ids": ids}).encode()), Failure)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(st.dictionaries(st.sampled_from(sorted(VALID)), JSON, max_size=3) | JSON)
def test_any_body_gives_a_job_or_a_typed_refusal(changes: object) -> None:
    """Guards against JSON that raises an exception instead of being refused."""
    body = {**VALID, **changes} if isinstance(changes, dict) else changes
    match decode_job(json.dumps(body).encode(), 1.0):
        case Success(submission):
            assert 1 <= submission.spec.tasks <= 1024
        case Failure(refusal):
            assert refusal.reason is Reason.MALFORMED
            assert refusal.kind is OutcomeKind.NOT_RUN


@given(st.binary(max_size=200))
def test_any_bytes_give_a_typed_refusal(data: bytes) -> None:
    """Guards against bytes that are not JSON and raise an exception."""
    assert isinstance(decode_job(data, 1.0), Failure)
    assert isinstance(decode_cancel(data), Failure)
