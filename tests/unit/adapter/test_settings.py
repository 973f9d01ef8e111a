"""Reading of the platform's settings file."""

from __future__ import annotations

from pathlib import Path

from returns.result import Failure

from egretloft.platform.settings import parse_settings, read_settings

TEXT = """
# written by the platform
node_name=edge-kurume-1
ip=10.1.0.19
zone=kurume
region=kyushu-north
bind_addresses.http=10.1.0.19:8521
bind_addresses.readiness=10.1.0.19:8523
port_range=7000,7015
platform.address=10.200.1.7:8524
parameters.grace_s=6
parameters.config_apply_ms=2000
limits.cpu_quota=0.5
limits.cpu_cores=3
some.new_field=what=ever
"""


def test_settings_are_read_and_unknown_fields_are_ignored() -> None:
    settings = parse_settings(TEXT).unwrap()
    assert settings.instance_id == "edge-kurume-1"
    assert settings.first_peer_port == 7000
    assert settings.grace_seconds == 6.0
    assert settings.processors == 1.5
    assert settings.in_force_seconds == 2.0


def test_missing_setting_is_named() -> None:
    result = parse_settings(TEXT.replace("zone=kurume", ""))
    assert isinstance(result, Failure)
    assert "zone" in result.failure()


def test_non_numeric_setting_is_refused() -> None:
    result = parse_settings(TEXT.replace("7000,7015", "many"))
    assert isinstance(result, Failure)


def test_missing_file_is_refused(tmp_path: Path) -> None:
    assert isinstance(read_settings(tmp_path / "none"), Failure)
