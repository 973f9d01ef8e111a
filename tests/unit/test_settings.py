"""Settings: a wrong value is refused with its name and the allowed values."""

from dataclasses import replace

import pytest
from click.testing import CliRunner
from returns.result import Failure, Success

from egretloft._internal.settings import Settings, check_settings
from egretloft.cli.daemon import main

VALID = Settings(
    instance_id="entry-1",
    region="region-1",
    zone="zone-1",
    http_host="127.0.0.1",
    http_port=0,
    peer_host="::1",
    peer_port=0,
    table_address="127.0.0.1:7000",
    objects_address="127.0.0.1:7001",
    instances_address="127.0.0.1:7002",
    account_time_zone="Asia/Tokyo",
    log_level="info",
    link_ms=6.0,
    drain_grace_seconds=2.0,
    drain_timeout_seconds=30.0,
)


def test_valid_settings_pass() -> None:
    """Guards against a check that refuses valid settings, such as port 0 or IPv6."""
    assert check_settings(VALID) == Success(VALID)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("instance_id", "Entry 1"),
        ("zone", ""),
        ("http_host", "localhost"),
        ("http_port", 70_000),
        ("table_address", "table.example:80"),
        ("objects_address", "127.0.0.1:0"),
        ("account_time_zone", "Nowhere/City"),
        ("log_level", "loud"),
        ("drain_grace_seconds", -1.0),
        ("drain_timeout_seconds", 0.0),
    ],
)
def test_wrong_setting_is_named(field: str, value: object) -> None:
    """Guards against a wrong value that is accepted or reported without its name."""
    result = check_settings(replace(VALID, **{field: value}))
    assert isinstance(result, Failure)
    (error,) = result.failure()
    assert error.name == "--" + field.replace("_", "-")
    assert error.value == str(value)
    assert error.allowed


def test_every_wrong_setting_is_reported() -> None:
    """Guards against reporting only the first error, so that each needs a new start."""
    result = check_settings(replace(VALID, zone="?", log_level="?"))
    assert isinstance(result, Failure)
    assert [error.name for error in result.failure()] == ["--zone", "--log-level"]


def test_daemon_refuses_wrong_setting_from_environment() -> None:
    """Guards against environment variables that are used without a check."""
    environment = {
        "EGRETLOFT_REGION": "region-1",
        "EGRETLOFT_ZONE": "zone-1",
        "EGRETLOFT_TABLE_ADDRESS": "nonsense",
        "EGRETLOFT_OBJECTS_ADDRESS": "127.0.0.1:1",
        "EGRETLOFT_INSTANCES_ADDRESS": "127.0.0.1:2",
        "EGRETLOFT_ACCOUNT_TIME_ZONE": "UTC",
    }
    result = CliRunner().invoke(main, [], env=environment)
    assert result.exit_code == 2
    assert "--table-address: 'nonsense' is not allowed" in result.output
