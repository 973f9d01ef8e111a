import dataclasses

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.topology import InstanceKind
from egretloft._internal.platform.http_instance_list import (
    create_http_instance_list,
    decode_records,
    is_usable,
)
from lib.serving import build_record, serving
from standins.instances import InstancesTarget

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


async def test_list_and_its_failure():
    """Guards against an exception when the list service refuses or does not answer."""
    target = InstancesTarget("127.0.0.1", 0, lag_seconds=0)
    async with serving(target) as session:
        instances = create_http_instance_list(session, target.address, 0.3)
        record = build_record()
        target.state.put([record], 0)
        assert (await instances.list()).unwrap() == (record,)
        for fault in ({"down": "refuse"}, {"down": "reset"}, {"frozen": True}):
            target.control(fault)
            assert isinstance(await instances.list(), Failure)
            target.control({"reset": True})


@given(st.binary() | json_values.map(msgspec.json.encode))
def test_any_body_gives_a_result(body):
    """Guards against an exception, for example from a body that is no JSON list."""
    match decode_records(body, create_metrics()):
        case Success(records):
            assert all(is_usable(record) for record in records)


@given(st.lists(json_values, max_size=3))
def test_malformed_records_do_not_hide_valid_ones(items):
    """Guards against one malformed record that makes the whole list unreadable."""
    good = build_record()
    metrics = create_metrics()
    body = msgspec.json.encode([*items, good])
    assert decode_records(body, metrics).unwrap() == (good,)
    assert metrics.counter("instance_records_malformed") == len(items)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "127.0.0.1"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:70000"},
        {"address": ":80"},
        {"instance_id": ""},
        {"zone": ""},
        {"cores": -1},
        {"kind": InstanceKind.RUNNER, "slots": 0},
    ],
)
def test_unusable_records_are_left_out(change):
    """Guards against calls to a target without a valid address, zone or slots."""
    record = dataclasses.replace(build_record(), **change)
    body = msgspec.json.encode([record])
    assert decode_records(body, create_metrics()).unwrap() == ()


async def test_unchanged_list_is_not_sent_again():
    """Guards against reading the whole list each time although nothing changed.

    A changed list must still be seen at the next read.
    """
    target = InstancesTarget("127.0.0.1", 0, 0.0)
    async with serving(target) as session:
        instances = create_http_instance_list(session, target.address)
        target.state.put([build_record("w1")], 0.0)
        first = (await instances.list()).unwrap()
        assert (await instances.list()).unwrap() is first
        target.state.put([build_record("w2")], 0.0)
        changed = (await instances.list()).unwrap()
        assert {record.instance_id for record in changed} == {"w1", "w2"}
