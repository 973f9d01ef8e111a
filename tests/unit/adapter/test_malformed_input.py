"""Random and mutated input for every decoder of the adapter.

A decoder returns a failure for input that it cannot read; it never raises.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.interfaces import RowKey, StoredRow
from egretloft._internal.fleet.models import EndKind
from egretloft._internal.platform.http_call import HttpResponse
from egretloft.platform.decoding import (
    MAX_JOB_TASKS,
    create_platform_row_decoder,
    decode_job,
)
from egretloft.platform.ingress import MAX_DEADLINE_SECONDS, seconds_to_deadline
from egretloft.platform.rows import decode_page
from egretloft.platform.settings import parse_settings
from egretloft.platform.targets import (
    MAX_LISTED_ENDS,
    classify_failure,
    decode_renewal_answer,
    decode_target_time,
)

RUN = "00000000000000aa.0.0.1"
HOLD_ANSWER = {
    "server_time_ms": 482_113,
    "born": 5,
    "active": [[RUN, 2, "saved", 41]],
    "finished": [[58, RUN, 1, "done", ""]],
}
SERVER = {
    "backend": "desk",
    "address": "10.0.0.1:1",
    "zone": "zone-a",
    "state": "ready",
    "free_resources": {"cpu": 1000, "mem_mb": 10, "gpus": 8},
    "labels": ["kind", "rack"],
    "born": 7,
}
CONFIG = {
    "version": 3,
    "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "backend": "desk"}],
    "tenants": [{"name": "kennel", "api_keys": ["k"], "guaranteed": {"gpus": 8}}],
    "limits": {"max_body_bytes": 1000},
}
JOB = {
    "spec": "text",
    "times": 2,
    "start_at_ms": 1_800_000_000_000,
    "interval_ms": 500,
    "phases": [
        {"replicas": 4, "cpu": 500, "mem_mb": 256, "gpus": 1, "estimate_ms": 900},
        {"replicas": 2, "after": [0], "coscheduled": True, "target_ms": 20},
    ],
}
PAGE = {
    "rows": [
        {
            "table_name": "t",
            "part": "",
            "key": "k",
            "value": "AA==",
            "schema_version": 1,
        }
    ],
    "schema_version": 9,
}

TEXT = st.text("ab.-019\u00fe\U0001f43e", max_size=8)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(["", "x", RUN, "a.b.c.d", "-1", "1e999", "done", "\ud7ff"])
    | TEXT,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4)
    ),
    max_leaves=6,
)
# Numbers that are valid JSON and too large for a float.
HUGE = b"1e999"

DEPTH = 200_000
DEEP = b"[" * DEPTH + b"]" * DEPTH


def deeply_nested(document: dict[str, Any]) -> bytes:
    """Return a valid message with one more field, which is nested very deeply."""
    return json.dumps({**document, "more": "DEEP"}).encode().replace(b'"DEEP"', DEEP)


@st.composite
def mutated(draw: st.DrawFn, valid: dict[str, Any]) -> bytes:
    """Return a valid message with one of its values replaced, or other bytes."""
    choice = draw(st.integers(0, 9))
    if choice == 0:
        return draw(st.binary(max_size=40))
    document = json.loads(json.dumps(valid))
    node: Any = document
    while True:
        keys = list(node) if isinstance(node, dict) else list(range(len(node)))
        if not keys:
            break
        key = draw(st.sampled_from(keys))
        if isinstance(node[key], dict | list) and draw(st.booleans()):
            node = node[key]
            continue
        if choice == 1 and isinstance(node, dict):
            del node[key]
        else:
            node[key] = "HUGE" if choice == 2 else draw(JSON)
        break
    return json.dumps(document).encode().replace(b'"HUGE"', HUGE)


def row(key: str, value: bytes | None) -> StoredRow:
    return StoredRow(RowKey("t", "", key), value, 1)


@given(mutated(HOLD_ANSWER))
@example(json.dumps(HOLD_ANSWER).encode().replace(b"41", HUGE))
@example(json.dumps(HOLD_ANSWER).encode().replace(b"482113", HUGE))
def test_renewal_answers_never_raise(body: bytes) -> None:
    result = decode_renewal_answer(body)
    if isinstance(result, Failure):
        return
    for active in result.unwrap().active:
        assert min(active.run.task.index, active.run.attempt) >= 0
    for end in result.unwrap().ends:
        assert end.number >= 0


@pytest.mark.parametrize("count", [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS])
def test_a_full_list_of_ends_is_not_taken_for_all_ends(count: int) -> None:
    """Guards against ends that a runner holds back as its list is full."""
    rows = [[number, RUN, 1, "done", ""] for number in range(1, count + 1)]
    answer = decode_renewal_answer(
        json.dumps({**HOLD_ANSWER, "finished": rows}).encode()
    )
    assert answer.unwrap().lists_all_ends == (count < MAX_LISTED_ENDS)


def test_an_unreadable_row_of_a_renewal_answer_costs_only_itself() -> None:
    """Guards against a target that is lost because of one strange row."""
    answer = {
        **HOLD_ANSWER,
        "active": [
            ["not a task", 1, "", 0],
            ["00000000000000aa.0.-1.1", 1, "", 0],
            [RUN],
            [RUN, 2, "saved", 41],
        ],
        "finished": [
            [58, RUN, 1, "vanished", ""],
            [59, RUN, "one", "done", ""],
            [60, RUN, 1, "done", ""],
        ],
    }
    decoded = decode_renewal_answer(json.dumps(answer).encode()).unwrap()
    assert [active.percent for active in decoded.active] == [41]
    assert [(end.number, end.kind) for end in decoded.ends] == [(60, EndKind.DONE)]


@given(mutated(HOLD_ANSWER))
def test_answers_to_orders_never_raise(body: bytes) -> None:
    assert isinstance(decode_target_time(body), Success | Failure)
    for status in (200, 400, 409, 421, 500, 503):
        assert classify_failure(status, body).message


@given(mutated(PAGE), st.sampled_from([200, 400, 410, 412, 429, 500, 503]))
def test_answers_of_the_store_never_raise(body: bytes, status: int) -> None:
    assert isinstance(
        decode_page(Success(HttpResponse(status, {}, body))), Success | Failure
    )


@given(mutated(SERVER))
@example(b"null")
def test_rows_of_targets_never_raise(value: bytes) -> None:
    report: Result[Any, str] = create_platform_row_decoder().target(row("i-1", value))
    if isinstance(report, Success):
        room = report.unwrap().room
        assert min(room.cpu, room.memory_mb, room.gpus) >= 0


@given(mutated(CONFIG))
@example(json.dumps(CONFIG).encode().replace(b'"version": 3', b'"version": 1e999'))
def test_configurations_never_raise(value: bytes) -> None:
    decoder = create_platform_row_decoder()
    assert isinstance(decoder.configuration(row("config", value)), Success | Failure)


@given(mutated(JOB))
@example(json.dumps(JOB).encode().replace(b"1800000000000", HUGE))
def test_jobs_never_raise_and_are_bounded(body: bytes) -> None:
    result = decode_job(body)
    if isinstance(result, Failure):
        return
    spec = result.unwrap()
    tasks = max(1, spec.occurrences) * sum(step.tasks for step in spec.steps)
    assert 0 < tasks <= MAX_JOB_TASKS
    for step in spec.steps:
        room = step.room
        assert min(room.cpu, room.memory_mb, room.gpus) >= 0
        assert step.estimate_ms >= 0


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("replicas", 10**9),
        ("cpu", -1),
        ("gpus", -8),
        ("mem_mb", -1),
        ("estimate_ms", -5),
        ("anti_affinity", -1),
    ],
)
def test_a_step_beyond_the_limits_is_refused(field: str, value: int) -> None:
    """Guards against one job whose tasks do not fit into the leader's memory."""
    job = {"phases": [{"replicas": 1, field: value}]}
    assert isinstance(decode_job(json.dumps(job).encode()), Failure)


def test_a_job_with_too_many_occurrences_is_refused() -> None:
    job = {"times": 10**12, "phases": [{"replicas": 1}]}
    assert isinstance(decode_job(json.dumps(job).encode()), Failure)


@given(st.binary(max_size=200))
def test_settings_never_raise(data: bytes) -> None:
    text = data.decode("utf-8", errors="replace")
    assert isinstance(parse_settings(text), Success | Failure)


@given(TEXT)
@example("nan")
@example("-inf")
@example("1e999")
def test_any_deadline_is_bounded(text: str) -> None:
    """Guards against a call that waits for ever, as any comparison with NaN fails."""
    assert 0 <= seconds_to_deadline(text) <= MAX_DEADLINE_SECONDS


def test_deeply_nested_input_is_refused_by_every_decoder() -> None:
    """Guards against an exception that ends whoever reads the input."""
    decoder = create_platform_row_decoder()
    page = Success(HttpResponse(200, {}, deeply_nested(PAGE)))
    results: list[Result[Any, Any] | None] = [
        decoder.target(row("i-1", deeply_nested(SERVER))),
        decoder.configuration(row("config", deeply_nested(CONFIG))),
        decode_job(deeply_nested(JOB)),
        decode_renewal_answer(deeply_nested(HOLD_ANSWER)),
        decode_target_time(deeply_nested(HOLD_ANSWER)),
        decode_page(page),
    ]
    assert all(isinstance(result, Failure) for result in results)
    assert classify_failure(409, deeply_nested({"reason": "fence"})).refusal is None
