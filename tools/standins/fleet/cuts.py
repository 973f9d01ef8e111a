"""Availability zones that are cut off from the others."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ZoneCuts:
    """Which zones are cut off; nothing passes between such a zone and the rest.

    The store is outside of all zones, so a zone that is cut off does not reach it.
    ``zone_of`` holds the zones of instances and targets by their names.
    """

    zones: set[str] = field(default_factory=set)
    zone_of: dict[str, str] = field(default_factory=dict)

    def separates(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two instances or targets."""
        zones = {self.zone_of.get(one, ""), self.zone_of.get(other, "")}
        return len(zones) > 1 and not zones.isdisjoint(self.zones)

    def hides_store(self, name: str) -> bool:
        """Return whether an instance or target does not reach the store."""
        return self.zone_of.get(name, "") in self.zones
