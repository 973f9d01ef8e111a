"""Preference among the instances that could lead.

In a deployment whose machines differ in size, the largest instance that is alive and
reaches the store should lead, because a single process runs the leader's ticks and
orders.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from egretloft._internal.fleet.records import InstanceRecord
from egretloft._internal.fleet.store_access import HEARTBEAT_STORE
from egretloft._internal.peers.protocols import Peers

# Least ratio of processors that is worth a handover, which costs about 0.1 s.
MIN_SIZE_RATIO = 1.4


class Succession:
    """Ranks this instance among the others that could lead."""

    def __init__(
        self,
        own_id: str,
        own_processors: float,
        members: Callable[[], Collection[InstanceRecord]],
        peers: Peers,
    ) -> None:
        self.own_id = own_id
        self.own_processors = own_processors
        self.members = members
        self.peers = peers

    def larger_instance(self) -> str | None:
        """Return the preferred leader among much larger instances, if any could lead.

        Much larger means at least ``MIN_SIZE_RATIO`` times the processors.
        """
        larger = [
            member
            for member in self.members()
            if member.processors >= self.own_processors * MIN_SIZE_RATIO
            and self.could_lead(member.instance_id)
        ]
        if not larger:
            return None
        return min(larger, key=candidate_rank).instance_id

    def could_lead(self, instance_id: str) -> bool:
        """Return whether ``instance_id`` is a live peer that reaches the store."""
        if instance_id == self.own_id or not self.peers.is_alive(instance_id):
            return False
        return bool(self.peers.last_heartbeat(instance_id).get(HEARTBEAT_STORE))

    def count_better_candidates(self) -> int:
        """Return how many live instances rank before this one."""
        own_rank = (-self.own_processors, self.own_id)
        return sum(
            candidate_rank(member) < own_rank
            and self.peers.is_alive(member.instance_id)
            for member in self.members()
            if member.instance_id != self.own_id
        )


def candidate_rank(member: InstanceRecord) -> tuple[float, str]:
    """Return the sort key of candidates: the largest first, then by name."""
    return (-member.processors, member.instance_id)


def create_succession(
    own_id: str,
    own_processors: float,
    members: Callable[[], Collection[InstanceRecord]],
    peers: Peers,
) -> Succession:
    """Return the ranking for one instance; ``own_processors`` is in cores."""
    return Succession(own_id, own_processors, members, peers)
