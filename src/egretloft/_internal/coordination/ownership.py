"""Ownership of partitions by renewed rows with epochs."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection
from dataclasses import dataclass

import structlog
import xxhash
from returns.result import Failure, Success

from egretloft._internal.codec import encode
from egretloft._internal.coordination.membership import Membership
from egretloft._internal.coordination.roster import Roster
from egretloft._internal.coordination.rows import (
    EPOCH_PREFIX,
    OWNER_PREFIX,
    EpochRow,
    OwnerRow,
)
from egretloft._internal.coordination.view import View
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.members import Member
from egretloft._internal.platform.protocols import Check, Clock, Write

# Renewals are sent every second; ``tick`` may come somewhat early.
RENEW_SECONDS = 0.9
WRITE_SECONDS = 1.0
# An owner acts for 2 s, a successor waits for 3 s. Between them lie the start window
# (0.5 s) and the difference of wall clocks (0.5 s).
ACT_SECONDS = 2.0
OBSERVE_SECONDS = 3.0
CANDIDATE_SECONDS = 0.3
# A claim that took longer than this counts as one whose outcome was unknown.
PROMPT_SECONDS = 0.5

log = structlog.get_logger(__name__)

OwnershipCallback = Callable[[str, bool], None]


@dataclass(slots=True, frozen=True)
class Epoch:
    """A held partition; ``key`` and ``version`` are its epoch row's."""

    partition: str
    number: int
    key: str
    version: int

    @property
    def check(self) -> Check:
        """The condition that fences writes of the owner."""
        return Check(self.key, self.version)


@dataclass(slots=True)
class Holding:
    """A partition that this instance owns, whether or not it may act now."""

    epoch: Epoch
    owner_version: int
    beat: int
    # Sending time of the last successful renewal or of the claim.
    renewed_at: float
    act_after: float
    sent_at: float = -math.inf


class Ownership:
    """The partitions that this instance holds or may claim."""

    def __init__(
        self,
        membership: Membership,
        view: View,
        roster: Roster,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.membership = membership
        self.view = view
        self.roster = roster
        self.clock = clock
        self.metrics = metrics
        # Since when each partition has been a candidate.
        self.candidates: dict[str, float] = {}
        self.holdings: dict[str, Holding] = {}
        self.reported: set[str] = set()
        self.callbacks: list[OwnershipCallback] = []
        self.releasing = False
        self.lock = asyncio.Lock()

    def holds(self, partition: str) -> Epoch | None:
        """Return the epoch if this instance may act as the owner now.

        To be asked at the moment of each action, without an await in between.
        """
        holding = self.holdings.get(partition)
        if holding is None or self.releasing or self._is_taken(holding):
            return None
        now = self.clock.monotonic()
        if now < holding.act_after:
            return None
        basis = holding.renewed_at
        if self.view.agreed_at is not None:
            basis = max(basis, self.view.agreed_at)
        return holding.epoch if now - basis < ACT_SECONDS else None

    def owner_of(self, partition: str) -> Member | None:
        """Return the roster member that owns the partition as far as is known."""
        row = self.view.owners.get(partition)
        if row is None or row.released:
            return None
        member = self.view.members.get(row.owner)
        if member is None or member.incarnation != row.incarnation:
            return None
        return member

    def subscribe(self, callback: OwnershipCallback) -> None:
        """Call ``callback(partition, held)`` when a partition is gained or lost."""
        self.callbacks.append(callback)

    def set_candidates(self, partitions: Collection[str]) -> None:
        """Set the partitions that this instance may claim; it keeps what it owns."""
        now = self.clock.monotonic()
        self.candidates = {
            partition: self.candidates.get(partition, now) for partition in partitions
        }

    async def tick(self) -> None:
        """Renew, adopt and claim as due; to be called several times a second."""
        async with self.lock:
            if not self.releasing:
                self._drop_taken()
                self._adopt()
                await asyncio.gather(
                    *(self._renew(holding) for holding in self.holdings.values()),
                    *(
                        self._claim(partition)
                        for partition in self.candidates
                        if partition not in self.holdings
                    ),
                )
        self._report()

    async def release_all(self) -> None:
        """Stop acting at once and let others take the partitions without waiting."""
        self.releasing = True
        self._report()
        async with self.lock:
            await asyncio.gather(
                *(self._release(holding) for holding in self.holdings.values())
            )
            self.holdings.clear()

    # Renewal

    def _is_taken(self, holding: Holding) -> bool:
        version = self.view.row_version(holding.epoch.key)
        return version > holding.epoch.version

    def _drop_taken(self) -> None:
        for partition, holding in list(self.holdings.items()):
            if self._is_taken(holding):
                log.warning("partition lost", partition=partition)
                del self.holdings[partition]

    def _owner_row(self, epoch: Epoch, beat: int, released: bool = False) -> bytes:
        member = self.membership.member
        return encode(
            OwnerRow(
                partition=epoch.partition,
                owner=member.instance_id,
                incarnation=member.incarnation,
                address=member.peer_address,
                epoch=epoch.number,
                beat=beat,
                released=released,
            )
        )

    def _adopt_owner_version(self, holding: Holding) -> None:
        """Take over the version of a renewal that succeeded without an answer."""
        key = OWNER_PREFIX + holding.epoch.partition
        # While the epoch row is unchanged, only this instance writes the owner row.
        version = self.view.row_version(key)
        holding.owner_version = max(holding.owner_version, version)

    async def _renew(self, holding: Holding) -> None:
        sent = self.clock.monotonic()
        if sent - holding.sent_at < RENEW_SECONDS:
            return
        holding.sent_at = sent
        holding.beat += 1
        self._adopt_owner_version(holding)
        key = OWNER_PREFIX + holding.epoch.partition
        result = await self.membership.writer.commit(
            (Check(key, holding.owner_version), holding.epoch.check),
            (Write(key, self._owner_row(holding.epoch, holding.beat)),),
            WRITE_SECONDS,
        )
        if isinstance(result, Failure):
            self.metrics.count(
                "ownership_renewal_failures", reason=result.failure().kind.value
            )
            return
        version = result.unwrap().version
        if version:
            holding.owner_version = version
            holding.renewed_at = max(holding.renewed_at, sent)

    async def _release(self, holding: Holding) -> None:
        self._adopt_owner_version(holding)
        key = OWNER_PREFIX + holding.epoch.partition
        result = await self.membership.writer.commit(
            (Check(key, holding.owner_version), holding.epoch.check),
            (Write(key, self._owner_row(holding.epoch, holding.beat + 1, True)),),
            WRITE_SECONDS,
        )
        if isinstance(result, Failure):
            # A successor then waits for OBSERVE_SECONDS.
            self.metrics.count("ownership_release_failures")

    # Claims

    def _rank(self, partition: str) -> int:
        """Return this instance's place in the order of candidates, from 0."""
        # ``gangs/<region>`` or ``runners/<service>/<zone>``
        place = partition.rpartition("/")[2]

        def order(member: Member) -> tuple[bool, int]:
            near = place in {member.zone, member.region}
            seed = f"{partition}|{member.instance_id}"
            return not near, xxhash.xxh64_intdigest(seed.encode())

        own = order(self.membership.member)
        return sum(order(member) < own for member in self.view.members.values())

    def _may_claim(self, partition: str) -> bool:
        reachable_since = self.view.reachable_since
        if reachable_since is None or not self.roster.is_full_member():
            return False
        row = self.view.owners.get(partition)
        wait = self._rank(partition) * CANDIDATE_SECONDS
        if row is not None and not row.released:
            wait += OBSERVE_SECONDS
        since = max(
            reachable_since,
            self.candidates[partition],
            self.view.seen_at.get(OWNER_PREFIX + partition, -math.inf),
        )
        return self.clock.monotonic() - since >= wait

    async def _claim(self, partition: str) -> None:
        # No await between this check and the start of the commit: a peer that was
        # told in between that the store cannot be reached would go on as owner.
        if not self._may_claim(partition):
            return
        member = self.membership.member
        owner_key, epoch_key = OWNER_PREFIX + partition, EPOCH_PREFIX + partition
        former = self.view.epochs.get(partition)
        number = former.epoch + 1 if former is not None else 1
        sent = self.clock.monotonic()
        epoch = Epoch(partition, number, epoch_key, 0)
        row = EpochRow(partition, member.instance_id, member.incarnation, number)
        result = await self.membership.commit(
            (
                Check(owner_key, self.view.row_version(owner_key)),
                Check(epoch_key, self.view.row_version(epoch_key)),
            ),
            (
                Write(owner_key, self._owner_row(epoch, 0)),
                Write(epoch_key, encode(row)),
            ),
            WRITE_SECONDS,
        )
        outcome = "won" if isinstance(result, Success) else "lost"
        self.metrics.count("ownership_claims", outcome=outcome)
        if not isinstance(result, Success) or not result.unwrap().version:
            # ``_adopt`` takes the partition over if the claim took effect.
            return
        version = result.unwrap().version
        learned = self.clock.monotonic()
        prompt = learned - sent <= PROMPT_SECONDS
        self.holdings[partition] = Holding(
            epoch=Epoch(partition, number, epoch_key, version),
            owner_version=version,
            beat=0,
            renewed_at=sent,
            act_after=learned if prompt else learned + OBSERVE_SECONDS,
            sent_at=sent,
        )

    def _adopt(self) -> None:
        """Take over partitions whose claim succeeded without an answer."""
        member = self.membership.member
        for partition, row in self.view.epochs.items():
            if partition in self.holdings or (row.owner, row.incarnation) != (
                member.instance_id,
                member.incarnation,
            ):
                continue
            key = EPOCH_PREFIX + partition
            self.holdings[partition] = Holding(
                epoch=Epoch(partition, row.epoch, key, self.view.row_version(key)),
                owner_version=self.view.row_version(OWNER_PREFIX + partition),
                beat=0,
                renewed_at=-math.inf,
                act_after=self.clock.monotonic() + OBSERVE_SECONDS,
            )

    # Subscribers

    def _report(self) -> None:
        held = {partition for partition in self.holdings if self.holds(partition)}
        changes = [(partition, False) for partition in self.reported - held]
        changes += [(partition, True) for partition in held - self.reported]
        self.reported = held
        for partition, is_held in sorted(changes):
            self.metrics.count("ownership_changes", held=str(is_held).lower())
            log.info("ownership changed", partition=partition, held=is_held)
            for callback in self.callbacks:
                callback(partition, is_held)


def create_ownership(
    membership: Membership,
    view: View,
    roster: Roster,
    clock: Clock,
    metrics: Metrics,
) -> Ownership:
    """Return the ownership of an instance that holds nothing."""
    return Ownership(membership, view, roster, clock, metrics)
