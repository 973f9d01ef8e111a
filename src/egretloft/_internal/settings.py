"""Settings of the daemon and their validation.

The ``check_`` functions return ``None``, or a text that says which values are allowed.
"""

from __future__ import annotations

import ipaddress
import re
import uuid
import zoneinfo
from dataclasses import dataclass

from returns.result import Failure, Result, Success

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one daemon; times are in seconds, ``link_ms`` in milliseconds."""

    instance_id: str
    region: str
    zone: str
    http_host: str
    http_port: int
    peer_host: str
    peer_port: int
    table_address: str
    objects_address: str
    instances_address: str
    account_time_zone: str
    log_level: str
    link_ms: float
    drain_grace_seconds: float
    drain_timeout_seconds: float


@dataclass(slots=True, frozen=True)
class SettingError:
    """A setting that was refused."""

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the message for the person who set the value."""
        return f"{self.name}: {self.value!r} is not allowed; allowed: {self.allowed}"


def check_name(value: str) -> str | None:
    """Return what is allowed if ``value`` cannot name an instance, zone or region."""
    if NAME_PATTERN.fullmatch(value):
        return None
    return "1 to 64 lower-case letters, digits and hyphens, no hyphen at the ends"


def check_ip(value: str) -> str | None:
    """Return what is allowed if ``value`` is not an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return "an IPv4 or IPv6 address"
    return None


def check_address(value: str) -> str | None:
    """Return what is allowed if ``value`` is not ``IP:PORT``."""
    allowed = "IP:PORT with an IP address and a port from 1 to 65535"
    host, separator, port = value.rpartition(":")
    if not separator or check_ip(host.strip("[]")) is not None:
        return allowed
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        return allowed
    return None


def check_time_zone(value: str) -> str | None:
    """Return what is allowed if ``value`` is not a known time zone."""
    try:
        zoneinfo.ZoneInfo(value)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return "a name of the IANA time zone database, for example Asia/Tokyo"
    return None


def check_range(value: float, lowest: float, highest: float) -> str | None:
    """Return what is allowed if ``value`` is outside the closed range."""
    if lowest <= value <= highest:
        return None
    return f"{lowest:g} to {highest:g}"


def check_settings(settings: Settings) -> Result[Settings, tuple[SettingError, ...]]:
    """Return the settings, or every setting that is not allowed."""
    checks: dict[str, str | None] = {
        "instance_id": check_name(settings.instance_id),
        "region": check_name(settings.region),
        "zone": check_name(settings.zone),
        "http_host": check_ip(settings.http_host),
        "http_port": check_range(settings.http_port, 0, 65535),
        "peer_host": check_ip(settings.peer_host),
        "peer_port": check_range(settings.peer_port, 0, 65535),
        "table_address": check_address(settings.table_address),
        "objects_address": check_address(settings.objects_address),
        "instances_address": check_address(settings.instances_address),
        "account_time_zone": check_time_zone(settings.account_time_zone),
        "log_level": None
        if settings.log_level in LOG_LEVELS
        else "one of " + ", ".join(LOG_LEVELS),
        "link_ms": check_range(settings.link_ms, 0, 1000),
        "drain_grace_seconds": check_range(settings.drain_grace_seconds, 0, 60),
        "drain_timeout_seconds": check_range(settings.drain_timeout_seconds, 1, 600),
    }
    errors = tuple(
        SettingError(
            "--" + name.replace("_", "-"), str(getattr(settings, name)), allowed
        )
        for name, allowed in checks.items()
        if allowed is not None
    )
    return Failure(errors) if errors else Success(settings)


def default_instance_id() -> str:
    """Return a random id; an instance stores nothing, so each start may use another."""
    return f"entry-{uuid.uuid4().hex[:12]}"
