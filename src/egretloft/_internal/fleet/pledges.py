"""Pledges by which a leader may go on while no instance reaches the store.

A leader whose heartbeat the store does not confirm must not act beside a new leader.
That it hears of no instance with access to the store proves nothing: one that it does
not hear from may have it. So each instance that has lost the store pledges not to take
over for ``PLEDGE_SECONDS``, and the leader goes on only while it holds a pledge of
every other instance.

A pledge names the epoch of the leader and repeats the boot time of the leader's
heartbeat that it answers. It was made after that heartbeat was sent, so the leader
relies on it for less than ``PLEDGE_SECONDS`` from that time on, however late it
arrives. Both travel in the heartbeats between the instances.

A pledge is about the future only. An instance that led, and restarted without the
store, has forgotten its term, so a pledge also tells the newest epoch that the instance
has read since its start.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from egretloft._internal.fleet.constants import (
    CLOCK_RATE_ERROR,
    HEARTBEAT_TIMEOUT_SECONDS,
)
from egretloft._internal.fleet.election import Election
from egretloft._internal.fleet.interfaces import FleetClock
from egretloft._internal.peers.protocols import Peers

T = TypeVar("T")

HEARTBEAT_CLAIM = "leads"
HEARTBEAT_PLEDGE = "pledge"
# An instance that restarts forgets its pledge, but does not take over before a
# heartbeat has timed out.
PLEDGE_SECONDS = HEARTBEAT_TIMEOUT_SECONDS
RELIANCE_SECONDS = PLEDGE_SECONDS * (1 - 2 * CLOCK_RATE_ERROR)


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """The epoch of a leader, and when it sent its heartbeat, in its own boot time."""

    epoch: int
    sent_at: float


class Pledge(Claim, array_like=True, frozen=True):
    """The claim that a pledge answers, and the newest epoch that its maker has read.

    ``known_epoch`` is 0 if the maker has read none since its start, which
    ``incarnation`` tells from its other starts.
    """

    known_epoch: int = 0
    incarnation: str = ""


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One start of an instance."""

    instance_id: str
    incarnation: str


class Pledges:
    """Makes this instance's pledges, and counts those made to it while it leads."""

    def __init__(
        self,
        peers: Peers,
        peer_ids: Callable[[], list[str]],
        lacks_store: Callable[[], bool],
        election: Election,
        clock: FleetClock,
    ) -> None:
        self.peers = peers
        self.peer_ids = peer_ids
        self.lacks_store = lacks_store
        self.election = election
        self.clock = clock
        peers.heartbeat_sources.append(self.heartbeat)

    def heartbeat(self) -> dict[str, Any]:
        """Return the heartbeat entry with the claim of a leader, or a pledge to it.

        An instance that is about to take over makes no pledge.
        """
        now = self.clock.boottime()
        term = self.election.term
        if term is not None:
            return {HEARTBEAT_CLAIM: msgspec.to_builtins(Claim(term.epoch, now))}
        if not self.lacks_store() or self.election.campaigning:
            return {}
        claim = self.newest_claim()
        if claim is None:
            return {}
        self.election.pledged_until = now + PLEDGE_SECONDS
        leader = self.election.leader
        known_epoch = leader.epoch if leader is not None else 0
        pledge = Pledge(
            claim.epoch, claim.sent_at, known_epoch, self.election.incarnation
        )
        return {HEARTBEAT_PLEDGE: msgspec.to_builtins(pledge)}

    def newest_claim(self) -> Claim | None:
        """Return the newest claim of a peer, unless a newer leader is known."""
        claims = self.claims()
        if not claims:
            return None
        newest = max(claims, key=lambda claim: (claim.epoch, claim.sent_at))
        leader = self.election.leader
        if leader is not None and leader.epoch > newest.epoch:
            return None
        return newest

    def exclude_takeover(self, epoch: int) -> bool:
        """Return whether every other instance has pledged not to replace this leader.

        That includes instances that are heard from and not registered. Without any
        other instance there is nobody to pledge, and the answer is no. It also is if
        our heartbeat may have told a successor that we do not rely on pledges.
        """
        if not self.election.may_rely_on_pledges:
            return False
        return bool(self.needed()) and not self.missing(epoch)

    def missing(self, epoch: int) -> set[str]:
        """Return the instances of which a leader of this epoch lacks a pledge."""
        return self.needed() - self.valid(epoch).keys()

    def forgetful(self, epoch: int) -> set[Incarnation]:
        """Return the instances that have pledged without having read this epoch.

        They may have led in a newer one before they restarted.
        """
        return {
            Incarnation(instance_id, pledge.incarnation)
            for instance_id, pledge in self.valid(epoch).items()
            if pledge.known_epoch < epoch
        }

    def needed(self) -> set[str]:
        """Return the instances that have to pledge."""
        heard = {h.instance_id for h in self.peers.dated_heartbeats()}
        return heard.union(self.peer_ids())

    def valid(self, epoch: int) -> dict[str, Pledge]:
        """Return the pledges that a leader of this epoch may rely on now."""
        oldest = self.clock.boottime() - RELIANCE_SECONDS
        pledges: dict[str, Pledge] = {}
        for heartbeat in self.peers.dated_heartbeats():
            pledge = decode_pledge(heartbeat.body.get(HEARTBEAT_PLEDGE))
            if pledge is not None and pledge.epoch == epoch and pledge.sent_at > oldest:
                pledges[heartbeat.instance_id] = pledge
        return pledges

    def newest_claimed_epoch(self) -> int:
        """Return the newest epoch in which a live peer claims to lead; 0 if none."""
        return max((claim.epoch for claim in self.claims()), default=0)

    def claims(self) -> list[Claim]:
        """Return the claims of the live peers that lead, or believe that they do."""
        heartbeats = self.peers.dated_heartbeats()
        claims = [decode_claim(h.body.get(HEARTBEAT_CLAIM)) for h in heartbeats]
        return [claim for claim in claims if claim is not None]


def decode_claim(value: object) -> Claim | None:
    """Return a claim from a heartbeat; ``None`` if there is none that can be read."""
    return convert(value, Claim)


def decode_pledge(value: object) -> Pledge | None:
    """Return a pledge from a heartbeat; ``None`` if there is none that can be read."""
    return convert(value, Pledge)


def convert(value: object, kind: type[T]) -> T | None:
    """Return an entry of a heartbeat as ``kind``; ``None`` if it cannot be read."""
    if value is None:
        return None
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return None


def create_pledges(
    peers: Peers,
    peer_ids: Callable[[], list[str]],
    lacks_store: Callable[[], bool],
    election: Election,
    clock: FleetClock,
) -> Pledges:
    """Return the pledges of one instance, which travel in the heartbeats of ``peers``.

    ``peer_ids`` returns all instances that might take over, and ``lacks_store`` whether
    this instance fails to reach the store itself.
    """
    return Pledges(peers, peer_ids, lacks_store, election, clock)
