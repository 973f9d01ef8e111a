"""Chooses the runner group that a request is forwarded to."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from egretloft._internal.models.outcomes import Reason, Refusal, not_run
from egretloft._internal.models.profiles import Profile
from egretloft._internal.requests.admission import INITIAL_RUN_SECONDS
from egretloft._internal.requests.dispatch import GroupLoad, partition_of
from egretloft._internal.requests.interfaces import (
    Ownership,
    PeerNetwork,
    Topology,
    View,
)

HEARTBEAT_FIELD = "runner_groups"
# Round trip over the slowest link between zones (5 ms one way).
LINK_SECONDS = 0.010
# Costs within this margin of the lowest count as equal. Of equal groups, that in the
# own zone is chosen, otherwise a random one, so that receivers with the same reports do
# not all send to the same group.
EQUAL_COST_SECONDS = 0.002


@dataclass(slots=True, frozen=True)
class Route:
    """A runner group and its owner."""

    partition: str
    zone: str
    owner_id: str


@dataclass(slots=True)
class ReportedLoad:
    """The last load report of a group, and the number of forwards sent since.

    ``heartbeat`` is the group's report in the last heartbeat seen from its owner.
    """

    heartbeat: Any = None
    load: GroupLoad | None = None
    sent: int = 0


class Router:
    """Chooses among the groups that serve a request's service and profile."""

    def __init__(
        self,
        instance_id: str,
        zone: str,
        view: View,
        ownership: Ownership,
        topology: Topology,
        network: PeerNetwork,
        own_load: Callable[[str], GroupLoad | None],
        generator: random.Random,
        link_seconds: float,
    ) -> None:
        self.instance_id = instance_id
        self.zone = zone
        self.view = view
        self.ownership = ownership
        self.topology = topology
        self.network = network
        self.own_load = own_load
        self.generator = generator
        self.link_seconds = link_seconds
        self.reported_loads: dict[str, ReportedLoad] = {}

    def choose(
        self, service: str, profile: Profile, avoid: Collection[str] = ()
    ) -> Result[Route, Refusal]:
        """Return the group with the shortest expected wait, including the link.

        A partition in ``avoid`` is chosen only if there is no other.
        """
        zones = {
            record.zone
            for record in self.topology.runners.values()
            if record.service == service
            and record.zone in profile.zones
            and not self.topology.is_leaving(record.instance_id)
        }
        if not zones:
            return Failure(
                not_run(
                    Reason.NO_TARGET, f"no runner of {service} in the profile's zones"
                )
            )
        in_service = [zone for zone in zones if self.view.zone_in_service(zone)]
        if not in_service:
            return Failure(not_run(Reason.NO_TARGET, "all zones are out of service"))
        routes = [
            route
            for zone in sorted(in_service)
            if (route := self._route(service, zone)) is not None
        ]
        if not routes:
            return Failure(not_run(Reason.NOT_OWNER, "no runner group has an owner"))
        preferred = [route for route in routes if route.partition not in avoid]
        return Success(self._cheapest(preferred or routes))

    def count_sent(self, route: Route) -> None:
        """Count a forward that the owner's last report does not include yet."""
        self.reported_loads.setdefault(route.partition, ReportedLoad()).sent += 1

    def record_load_report(self, route: Route, report: Any) -> None:
        """Store the load report that came with a reply.

        Heartbeats are up to 0.4 s old, and a burst can fill a group in less time.
        """
        load = decode_load(report)
        if load is not None:
            reported = self.reported_loads.setdefault(route.partition, ReportedLoad())
            reported.load = load
            reported.sent = 0

    def _route(self, service: str, zone: str) -> Route | None:
        partition = partition_of(service, zone)
        if self.ownership.holds(partition) is not None:
            return Route(partition, zone, self.instance_id)
        owner = self.ownership.owner_of(partition)
        if (
            owner is None
            or owner.instance_id == self.instance_id
            or not self.network.is_alive(owner.instance_id)
        ):
            return None
        return Route(partition, zone, owner.instance_id)

    def _cheapest(self, routes: list[Route]) -> Route:
        costs = [(self._cost(route), route) for route in routes]
        lowest = min(cost for cost, _ in costs)
        equal = [route for cost, route in costs if cost <= lowest + EQUAL_COST_SECONDS]
        near = [route for route in equal if route.zone == self.zone]
        return (near or [self.generator.choice(equal)])[0]

    def _cost(self, route: Route) -> float:
        link = 0.0 if route.zone == self.zone else self.link_seconds
        load, sent = self._reported_load(route)
        if load is None:
            # An owner that has not reported yet is assumed to serve without a wait.
            return link
        if load.slots <= 0:
            # No usable runner now: costs more than any queue that is being served.
            return link + 1e6 + load.queued + sent
        waiting = max(0, load.queued + sent + 1 - load.free)
        return link + waiting * load.run_seconds / load.slots

    def _reported_load(self, route: Route) -> tuple[GroupLoad | None, int]:
        if route.owner_id == self.instance_id:
            return self.own_load(route.partition), 0
        heartbeat = self.network.last_heartbeat(route.owner_id) or {}
        groups = heartbeat.get(HEARTBEAT_FIELD)
        report = groups.get(route.partition) if isinstance(groups, Mapping) else None
        reported = self.reported_loads.setdefault(route.partition, ReportedLoad())
        # Each heartbeat brings a new object, even if the values are the same.
        if report is not reported.heartbeat:
            reported.heartbeat = report
            reported.load = decode_load(report)
            reported.sent = 0
        return reported.load, reported.sent


def encode_load(load: GroupLoad) -> tuple[float, ...]:
    """Return the load as sent in heartbeats and replies."""
    return load.free, load.queued, load.slots, load.run_seconds


def decode_load(report: Any) -> GroupLoad | None:
    """Return the load in a report, or ``None`` if it is missing or malformed."""
    if not isinstance(report, list | tuple) or len(report) != 4:
        return None
    if not all(
        isinstance(value, int | float) and math.isfinite(value) and value >= 0
        for value in report
    ):
        return None
    free, queued, slots, run_seconds = report
    return GroupLoad(
        int(free), int(queued), int(slots), float(run_seconds) or INITIAL_RUN_SECONDS
    )


def create_router(
    instance_id: str,
    zone: str,
    *,
    view: View,
    ownership: Ownership,
    topology: Topology,
    network: PeerNetwork,
    own_load: Callable[[str], GroupLoad | None],
    generator: random.Random,
    link_seconds: float = LINK_SECONDS,
) -> Router:
    """Return a router for an instance in ``zone``."""
    return Router(
        instance_id,
        zone,
        view,
        ownership,
        topology,
        network,
        own_load,
        generator,
        link_seconds,
    )
