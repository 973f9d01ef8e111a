"""Rows of another writer among those of the targets."""

from __future__ import annotations

import json
from typing import Any

import pytest
from returns.result import Failure

from egretloft._internal.fleet.interfaces import RowKey, StoredRow
from egretloft.platform.decoding import create_platform_row_decoder

SERVER: dict[str, Any] = {
    "backend": "desk",
    "address": "10.0.0.1:8447",
    "zone": "zone-a",
    "state": "ready",
    "free_resources": {"cpu": 1000, "mem_mb": 10, "gpus": 8},
    "labels": ["kind", "rack"],
    "born": 7,
}


def row(value: bytes) -> StoredRow:
    return StoredRow(RowKey("servers", "", "i-1"), value, 1)


@pytest.mark.parametrize(
    "address",
    [
        "",
        ":",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1:65536",
        "10.0.0.1:70000",
        "10.0.0.1:" + "9" * 20,
        "10.0.0.1:http",
        "10.0.0.1:80/path",
        "10.0.0.1:80 10.0.0.2:80",
        "10.0.0.1:\uff18\uff10",
        "user@10.0.0.1:80",
        "10.0.0.1@10.0.0.2:80",
        "10.0.0.256:80",
        "::1:80",
        "name:80",
    ],
)
def test_address_that_cannot_be_called_names_no_target(address: str) -> None:
    """Guards against targets that get work but can never be reached."""
    value = json.dumps({**SERVER, "address": address}).encode()
    assert isinstance(create_platform_row_decoder().target(row(value)), Failure)


@pytest.mark.parametrize("address", ["10.0.0.1:1", "10.0.0.1:65535", "[fd00::1]:8447"])
def test_address_of_a_target_is_taken_as_it_is(address: str) -> None:
    value = json.dumps({**SERVER, "address": address}).encode()
    report = create_platform_row_decoder().target(row(value))
    assert report.unwrap().address == address


@pytest.mark.parametrize(
    "number", [b"1e999", b"-1", b"9007199254740993", b"1" * 400, b"NaN", b"1.5"]
)
def test_number_that_is_too_large_names_no_target(number: bytes) -> None:
    for old in (b'"cpu": 1000', b'"born": 7'):
        field = old.partition(b": ")[0]
        value = json.dumps(SERVER).encode().replace(old, field + b": " + number)
        assert isinstance(create_platform_row_decoder().target(row(value)), Failure)
