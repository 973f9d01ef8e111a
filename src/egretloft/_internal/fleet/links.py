"""Which peers an instance keeps connections to.

In a small deployment every instance is connected to every other one. In a large one
that would make the cost of each instance grow with the number of instances, so an
instance connects to the leader, to the best-ranked candidates for leadership and to one
neighbour in each availability zone. The leader hears from all instances, because each
of them connects to it. One that restarts while the store cannot be reached knows no
other instance, so the leader connects to those that it does not hear from meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

import xxhash

from egretloft._internal.fleet.constants import MAX_PROMPT_CANDIDATES
from egretloft._internal.fleet.interfaces import FleetClock
from egretloft._internal.fleet.records import InstanceRecord
from egretloft._internal.fleet.succession import candidate_rank
from egretloft._internal.peers.protocols import Peers

# Up to this many instances, each is connected to every other one.
MAX_FULL_MESH = 12
# A peer counts as missing once it has been linked for this long without being alive.
# Connections to live peers open much faster, also when all instances start together.
LINK_GRACE_SECONDS = 2.0
# Bounds on how far missing peers make an instance connect to further ones.
MAX_CANDIDATE_LINKS = 16
MAX_NEIGHBOUR_LINKS = 4
# Number of positions on the hash ring of the neighbours.
RING_SIZE = 1 << 32


class Links:
    """Chooses the peers of one instance and replaces those that are missing."""

    def __init__(
        self,
        own_id: str,
        members: Callable[[], Collection[InstanceRecord]],
        leader_id: Callable[[], str],
        lacks_store: Callable[[], bool],
        peers: Peers,
        clock: FleetClock,
    ) -> None:
        self.own_id = own_id
        self.members = members
        self.leader_id = leader_id
        self.lacks_store = lacks_store
        self.peers = peers
        self.clock = clock
        self.linked_since: dict[str, float] = {}

    def choose(self) -> list[InstanceRecord]:
        """Return the instances to connect to."""
        now = self.clock.boottime()
        others = [m for m in self.members() if m.instance_id != self.own_id]
        if len(others) < MAX_FULL_MESH:
            chosen = others
        else:
            chosen = self.choose_some(others, now)
        self.linked_since = {
            member.instance_id: self.linked_since.get(member.instance_id, now)
            for member in chosen
        }
        return chosen

    def choose_some(
        self, others: list[InstanceRecord], now: float
    ) -> list[InstanceRecord]:
        """Return the leader, the best candidates and a neighbour in each zone."""

        def is_missing(member: InstanceRecord) -> bool:
            return self.is_missing(member.instance_id, now)

        leader_id = self.leader_id()
        chosen = {m.instance_id: m for m in others if m.instance_id == leader_id}
        ranked = sorted(others, key=candidate_rank)
        for member in shortest_prefix(
            ranked, is_missing, MAX_PROMPT_CANDIDATES, MAX_CANDIDATE_LINKS
        ):
            chosen[member.instance_id] = member
        for neighbours in ring_by_zone(self.own_id, others).values():
            for member in shortest_prefix(
                neighbours, is_missing, 1, MAX_NEIGHBOUR_LINKS
            ):
                chosen[member.instance_id] = member
        if leader_id == self.own_id and self.lacks_store():
            chosen.update({m.instance_id: m for m in self.unheard_members(others)})
        return list(chosen.values())

    def unheard_members(self, others: list[InstanceRecord]) -> list[InstanceRecord]:
        """Return the instances to which the leader has to connect by itself.

        A link that was opened for that stays, as the instance may know no other way.
        """
        heard = self.peers.alive_ids() - self.linked_since.keys()
        return [member for member in others if member.instance_id not in heard]

    def is_missing(self, instance_id: str, now: float) -> bool:
        """Return whether a linked peer has not been heard from for too long."""
        since = self.linked_since.get(instance_id)
        if since is None or now - since < LINK_GRACE_SECONDS:
            return False
        return not self.peers.is_alive(instance_id)


def shortest_prefix(
    ordered: Sequence[InstanceRecord],
    is_missing: Callable[[InstanceRecord], bool],
    wanted: int,
    most: int,
) -> Sequence[InstanceRecord]:
    """Return the first members up to the ``wanted``-th that is not missing.

    At most ``most`` members are returned. Missing ones stay included, so that their
    return is noticed.
    """
    present = 0
    for count, member in enumerate(ordered[:most], start=1):
        present += not is_missing(member)
        if present == wanted:
            return ordered[:count]
    return ordered[:most]


def ring_by_zone(
    own_id: str, others: Collection[InstanceRecord]
) -> dict[str, list[InstanceRecord]]:
    """Return the members of each zone in the order of a hash ring after ``own_id``.

    The ring spreads the instances evenly over those that connect to them.
    """
    own_position = ring_position(own_id)
    zones: dict[str, list[tuple[int, InstanceRecord]]] = {}
    for member in others:
        distance = (ring_position(member.instance_id) - own_position) % RING_SIZE
        zones.setdefault(member.zone, []).append((distance, member))
    return {
        zone: [member for _, member in sorted(ring, key=lambda entry: entry[0])]
        for zone, ring in zones.items()
    }


def ring_position(instance_id: str) -> int:
    """Return the position of an instance on the ring."""
    return xxhash.xxh32_intdigest(instance_id.encode())


def create_links(
    own_id: str,
    members: Callable[[], Collection[InstanceRecord]],
    leader_id: Callable[[], str],
    lacks_store: Callable[[], bool],
    peers: Peers,
    clock: FleetClock,
) -> Links:
    """Return the links of one instance; ``leader_id`` is empty without a leader.

    ``lacks_store`` tells whether this instance fails to reach the store itself.
    """
    return Links(own_id, members, leader_id, lacks_store, peers, clock)
