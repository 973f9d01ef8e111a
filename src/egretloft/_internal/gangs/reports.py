"""Counts that a region's gang owner reports to other instances in heartbeats."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from egretloft._internal.gangs.owner import GangOwner, gangs_partition

QUEUED_JOBS_FIELD = "queued_jobs"
DEGRADED_FIELD = "degraded_guarantees"


class Member(Protocol):
    """An entry instance of the membership."""

    @property
    def instance_id(self) -> str:
        """Return the instance id."""


class Ownership(Protocol):
    """Ownership of partitions."""

    def owner_of(self, partition: str, /) -> Member | None:
        """Return the owner according to the view, ``None`` if there is none."""


class Heartbeats(Protocol):
    """Heartbeats of all instances, this one included."""

    def last_heartbeat(self, instance_id: str, /) -> Mapping[str, Any]:
        """Return the merged heartbeat fields of the instance."""


class GangReports:
    """Sends and reads the counts that the gang owner of a region reports.

    Any instance can read them. They are empty if no heartbeat of an owner is
    available. That is acceptable because they are only used for operators and for the
    limit of queued jobs; no invariant depends on them.
    """

    def __init__(
        self,
        region: str,
        gang_owner: GangOwner,
        ownership: Ownership,
        heartbeats: Heartbeats,
    ) -> None:
        self.region = region
        self.gang_owner = gang_owner
        self.ownership = ownership
        self.heartbeats = heartbeats

    def heartbeat(self) -> dict[str, Any]:
        """Return this instance's heartbeat fields; empty unless it owns the gangs."""
        if self.gang_owner.session is None:
            return {}
        return {
            QUEUED_JOBS_FIELD: self.gang_owner.queued_jobs(),
            DEGRADED_FIELD: self.gang_owner.degraded_guarantees(),
        }

    def queued_jobs(self, organisation: str) -> int:
        """Return the number of queued jobs of an organisation."""
        return self._counts(QUEUED_JOBS_FIELD).get(organisation, 0)

    def degraded_guarantees(self) -> list[dict[str, Any]]:
        """Return the guaranteed accelerators that cannot be provided, by profile."""
        return [
            {"profile": profile, "accelerators_missing": missing}
            for profile, missing in sorted(self._counts(DEGRADED_FIELD).items())
        ]

    def _counts(self, field: str) -> dict[str, int]:
        owner = self.ownership.owner_of(gangs_partition(self.region))
        if owner is None:
            return {}
        counts = self.heartbeats.last_heartbeat(owner.instance_id).get(field)
        return counts if isinstance(counts, dict) else {}


def create_gang_reports(
    region: str, gang_owner: GangOwner, ownership: Ownership, heartbeats: Heartbeats
) -> GangReports:
    """Return the gang reports of a region."""
    return GangReports(region, gang_owner, ownership, heartbeats)
