"""The settings file that the platform writes for a process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure, Result, Success

SETTINGS_VARIABLE = "EGRETLOFT_SETTINGS"
MILLISECONDS = 1000.0
DEFAULT_SETTINGS_PATH = "/etc/egretloft/node.conf"


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """The settings that this process reads from the file.

    Addresses are ``IP:PORT``. ``first_peer_port`` is the first port of the range for
    connections between instances. ``processors`` is the processor capacity of the
    machine, in cores. ``in_force_seconds`` is the time after which a change of the
    configuration has to be in force on every instance. Targets shorten longer leases to
    ``max_lease_seconds``.
    """

    instance_id: str
    ip: str
    zone: str
    region: str
    http_address: str
    readiness_address: str
    first_peer_port: int
    store_address: str
    grace_seconds: float
    processors: float
    in_force_seconds: float
    max_lease_seconds: float


REQUIRED_SETTINGS = (
    "node_name",
    "ip",
    "zone",
    "region",
    "bind_addresses.http",
    "bind_addresses.readiness",
    "port_range",
    "platform.address",
)


def parse_fields(text: str) -> dict[str, str]:
    """Return the fields of lines ``name=value``; other lines are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not name.lstrip().startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def parse_settings(text: str) -> Result[PlatformSettings, str]:
    """Return the settings, or which settings are missing or malformed."""
    fields = parse_fields(text)
    missing = [name for name in REQUIRED_SETTINGS if not fields.get(name)]
    if missing:
        return Failure("missing settings: " + ", ".join(missing))
    try:
        settings = PlatformSettings(
            instance_id=fields["node_name"],
            ip=fields["ip"],
            zone=fields["zone"],
            region=fields["region"],
            http_address=fields["bind_addresses.http"],
            readiness_address=fields["bind_addresses.readiness"],
            first_peer_port=int(fields["port_range"].split(",")[0]),
            store_address=fields["platform.address"],
            grace_seconds=float(fields.get("parameters.grace_s", "6")),
            # The quota is the share of a core that is ``cpu_cores`` times as fast as a
            # standard core.
            processors=float(fields.get("limits.cpu_quota", "1"))
            * float(fields.get("limits.cpu_cores", "1")),
            in_force_seconds=float(fields.get("parameters.config_apply_ms", "4000"))
            / MILLISECONDS,
            max_lease_seconds=float(fields.get("parameters.hold_max_ms", "10000"))
            / MILLISECONDS,
        )
    except ValueError as error:
        return Failure(f"a setting is not a number: {error}")
    return Success(settings)


def read_settings(path: Path) -> Result[PlatformSettings, str]:
    """Return the settings in a file, or why they cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"{path}: {error}")
    return parse_settings(text)
