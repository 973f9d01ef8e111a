"""Builders of the rows that the platform's operators and targets write."""

from __future__ import annotations

import msgspec

from egretloft.platform.wire import WireConfig, WireRoute, WireTenant


def wire_route(number: int) -> WireRoute:
    """Return a route of about 200 bytes with a host and a path of its own."""
    return WireRoute(
        name=f"route-{number:06}",
        host=f"host-{number % 100:02}.example",
        path_prefix=f"/path-{number:06}/",
        backend="service",
        priority=1,
        attempts=3,
        timeout_ms=3000,
    )


def wire_configuration(version: int, routes: int, first_route: int = 0) -> bytes:
    """Return the row of a configuration with this number of routes."""
    numbers = range(first_route, first_route + routes)
    tenants = [WireTenant("tenant", ["key-1"])]
    config = WireConfig(version, [wire_route(n) for n in numbers], tenants)
    return msgspec.json.encode(config)
