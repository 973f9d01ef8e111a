"""Decoding of the platform's rows and of submitted jobs."""

from __future__ import annotations

import json

import pytest
from returns.result import Failure

from egretloft._internal.fleet.interfaces import RowKey, StoredRow
from egretloft._internal.fleet.models import Resources
from egretloft.platform.decoding import create_platform_row_decoder, decode_job

DECODER = create_platform_row_decoder()

SERVER = {
    "backend": "desk",
    "address": "10.0.0.1:80",
    "zone": "kurume",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "warmup_left_ms": 0,
    "free_resources": {"cpu": 16000, "mem_mb": 32768, "gpus": 2},
    "labels": ["a", "r1-3"],
    "server_time_ms": 482113,
    "sequence": 4,
    "born": 1700,
}

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "type": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "backend": "desk",
            "attempts": 4,
            "slack_factor": 3.0,
            "public": False,
        },
        {"name": "r-2", "host": "a.example", "path_prefix": "/x/y/", "backend": "desk"},
    ],
    "backends": [{"name": "desk", "enforce_limits": True, "standby": False}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [{"name": "kaje", "api_keys": ["k1", "k2"], "guaranteed": {"gpus": 32}}],
}


def row(table: str, key: str, body: object) -> StoredRow:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return StoredRow(RowKey(table, "", key), data, 1)


def test_target_row_is_decoded() -> None:
    report = DECODER.target(row("servers", "i-1", SERVER)).unwrap()
    assert report.target_id == "i-1"
    assert report.rack == "r1-3"
    assert report.room == Resources(16000, 32768, 2)
    assert report.incarnation_ms == 1700
    assert not report.draining
    assert report.remaining_seconds is None


def test_draining_target_says_how_long_it_stays() -> None:
    leaving = {**SERVER, "state": "draining", "remaining_ms": 2500}
    report = DECODER.target(row("servers", "i-1", leaving)).unwrap()
    assert report.draining
    assert report.remaining_seconds == 2.5


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"labels": ["a"]},
        {"address": "nowhere"},
        {"address": 5},
        {"free_resources": None},
        {"born": "today"},
        {"remaining_ms": "soon"},
    ],
)
def test_malformed_target_row_is_refused(change: dict[str, object]) -> None:
    """Guards against using a target whose row is malformed, as others may write it."""
    result = DECODER.target(row("servers", "i-1", {**SERVER, **change}))
    assert isinstance(result, Failure)


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b'{"backend":"desk"}'])
def test_undecodable_target_row_is_refused(data: bytes) -> None:
    assert isinstance(DECODER.target(row("servers", "i-1", data)), Failure)


def test_configuration_finds_queue_and_organisation() -> None:
    result = DECODER.configuration(row("op", "config", CONFIG))
    assert result is not None
    configuration = result.unwrap()
    assert configuration.version == 7
    longest = configuration.find_queue("a.example", "/x/y/0011223344556677")
    assert longest is not None
    assert longest.name == "r-2"
    assert configuration.find_queue("b.example", "/x/") is None
    owner = configuration.organisation_of_key("k2")
    assert owner is not None
    assert owner.guaranteed_gpus == 32


def test_other_operator_rows_are_no_configuration() -> None:
    assert DECODER.configuration(row("op", "evacuate/kurume", {})) is None
    assert DECODER.evacuated_zone(row("op", "evacuate/kurume", {})) == "kurume"
    assert DECODER.evacuated_zone(row("op", "config", CONFIG)) is None


def test_job_is_decoded_with_defaults() -> None:
    body = {
        "spec": "text",
        "phases": [
            {"replicas": 4, "cpu": 500, "mem_mb": 256, "affinity": "r1-3"},
            {
                "replicas": 2,
                "gpus": 8,
                "estimate_ms": 7000,
                "after": [0],
                "checkpointing": True,
                "coscheduled": True,
                "same_rack": True,
                "anti_affinity": 1,
                "node_selector": "b",
            },
        ],
    }
    spec = decode_job(json.dumps(body).encode()).unwrap()
    first, second = spec.steps
    assert first.data_rack == "r1-3"
    assert first.room == Resources(500, 256, 0)
    assert second.after == (0,)
    assert second.gang
    assert second.same_rack
    assert second.checkpoints
    assert second.max_per_target == 1
    assert second.label == "b"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b'{"phases":[]}',
        b'{"phases":[{"replicas":0}]}',
        b'{"phases":[{"replicas":1,"after":[0]}]}',
        b'{"phases":[{"replicas":"many"}]}',
    ],
)
def test_malformed_job_is_refused_with_a_reason(body: bytes) -> None:
    result = decode_job(body)
    assert isinstance(result, Failure)
    assert result.failure()
