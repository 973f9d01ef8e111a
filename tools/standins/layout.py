"""Ids, zones and racks of the targets that one stand-in process serves."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Place:
    """Id, zone and rack of one target."""

    target_id: str
    zone: str
    rack: str


def place_targets(
    count: int,
    zones: Sequence[str],
    ids: Sequence[str] = (),
    letter: str = "w",
    rack: str = "",
    per_rack: int = 6,
) -> list[Place]:
    """Spread ``count`` targets over the zones and fill racks within each zone.

    Ids are ``<zone>-r<rack>-<letter><n>`` unless given.
    """
    places: list[Place] = []
    for zone_index, zone in enumerate(zones):
        in_zone = count // len(zones) + (zone_index < count % len(zones))
        for index in range(in_zone):
            name = rack or f"{zone}-r{index // per_rack}"
            target_id = (
                ids[len(places)] if ids else f"{name}-{letter}{index % per_rack}"
            )
            places.append(Place(target_id, zone, name))
    return places
