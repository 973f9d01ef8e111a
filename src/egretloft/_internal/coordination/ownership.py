"""Ownership of partitions: leases that are renewed in the store, fenced by epochs.

A partition has an owner row, which its owner renews, and an epoch row, which changes
only with the owner and which the owner's writes check.
"""

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

# Renewals are sent every second. The value is a little below that, because ``tick``
# may run slightly early.
RENEW_PERIOD_SECONDS = 0.9
WRITE_SECONDS = 1.0
# An owner may act for LEASE_SECONDS after its last renewal or outage agreement. A
# successor claims after TAKEOVER_WAIT_SECONDS without a renewal. The margin of 1 s
# covers the start window (0.5 s) and the difference between wall clocks (0.5 s).
LEASE_SECONDS = 2.0
TAKEOVER_WAIT_SECONDS = 3.0
# Each instance waits this much longer than the one before it in the order of ``_rank``.
RANK_DELAY_SECONDS = 0.3
# After a claim that took longer than this the new owner waits before it acts, as
# after a claim whose outcome was unknown.
PROMPT_CLAIM_SECONDS = 0.5

log = structlog.get_logger(__name__)

OwnershipCallback = Callable[[str, bool], None]


@dataclass(slots=True, frozen=True)
class Epoch:
    """The epoch of a partition; ``key`` and ``version`` are those of its epoch row."""

    partition: str
    number: int
    key: str
    version: int

    @property
    def check(self) -> Check:
        """The check that fences writes of the owner."""
        return Check(self.key, self.version)


@dataclass(slots=True)
class Holding:
    """A partition that this instance owns, whether or not it may act now.

    ``valid_from`` is the time from which it may act.
    """

    epoch: Epoch
    owner_version: int
    beat: int
    # When the last successful renewal, or the claim, was sent.
    renewed_at: float
    valid_from: float
    last_sent_at: float = -math.inf


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
        # The partitions that the subscribers were last told are held.
        self.reported: set[str] = set()
        self.callbacks: list[OwnershipCallback] = []
        self.releasing = False
        self.lock = asyncio.Lock()

    def holds(self, partition: str) -> Epoch | None:
        """Return the epoch if this instance may act as the owner now.

        Call it right before each action, without an await in between.
        """
        holding = self.holdings.get(partition)
        if holding is None or self.releasing or self._is_superseded(holding):
            return None
        now = self.clock.monotonic()
        if now < holding.valid_from:
            return None
        basis = holding.renewed_at
        if self.view.agreed_at is not None:
            basis = max(basis, self.view.agreed_at)
        return holding.epoch if now - basis < LEASE_SECONDS else None

    def owner_of(self, partition: str) -> Member | None:
        """Return the roster member that owns the partition according to the view."""
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
        """Set the partitions that this instance may claim.

        It keeps those that it owns, also when they are not among them.
        """
        now = self.clock.monotonic()
        self.candidates = {
            partition: self.candidates.get(partition, now) for partition in partitions
        }

    async def tick(self) -> None:
        """Renew owned partitions and claim free ones, as due.

        Call it several times a second.
        """
        async with self.lock:
            if not self.releasing:
                self._drop_superseded()
                self._adopt_claimed()
                await asyncio.gather(
                    *(self._renew(holding) for holding in self.holdings.values()),
                    *(
                        self._claim(partition)
                        for partition in self.candidates
                        if partition not in self.holdings
                    ),
                )
        self._notify_subscribers()

    async def release_all(self) -> None:
        """Stop acting at once and release all partitions.

        Successors may claim released partitions without the takeover wait.
        """
        self.releasing = True
        self._notify_subscribers()
        async with self.lock:
            await asyncio.gather(
                *(self._release(holding) for holding in self.holdings.values())
            )
            self.holdings.clear()

    # Renewal

    def _is_superseded(self, holding: Holding) -> bool:
        version = self.view.row_version(holding.epoch.key)
        return version > holding.epoch.version

    def _drop_superseded(self) -> None:
        for partition, holding in list(self.holdings.items()):
            if self._is_superseded(holding):
                log.warning("partition ownership superseded", partition=partition)
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
        """Adopt the version of a renewal that took effect but whose answer was lost."""
        key = OWNER_PREFIX + holding.epoch.partition
        # While the epoch row is unchanged, only this instance writes the owner row.
        version = self.view.row_version(key)
        holding.owner_version = max(holding.owner_version, version)

    async def _renew(self, holding: Holding) -> None:
        sent = self.clock.monotonic()
        if sent - holding.last_sent_at < RENEW_PERIOD_SECONDS:
            return
        holding.last_sent_at = sent
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
            # The successor has to wait for TAKEOVER_WAIT_SECONDS.
            self.metrics.count("ownership_release_failures")

    # Claims

    def _rank(self, partition: str) -> int:
        """Return the position of this instance in the partition's order, from 0.

        All instances on the roster are ordered, those in the partition's zone or
        region first. A hash of partition and instance gives the rest of the order.
        """
        # ``gangs/<region>`` or ``runners/<service>/<zone>``
        place = partition.rpartition("/")[2]

        def order(member: Member) -> tuple[bool, int]:
            is_local = place in {member.zone, member.region}
            seed = f"{partition}|{member.instance_id}"
            return not is_local, xxhash.xxh64_intdigest(seed.encode())

        own = order(self.membership.member)
        return sum(order(member) < own for member in self.view.members.values())

    def _may_claim(self, partition: str) -> bool:
        reachable_since = self.view.reachable_since
        if reachable_since is None or not self.roster.is_full_member():
            return False
        row = self.view.owners.get(partition)
        wait = self._rank(partition) * RANK_DELAY_SECONDS
        if row is not None and not row.released:
            wait += TAKEOVER_WAIT_SECONDS
        since = max(
            reachable_since,
            self.candidates[partition],
            self.view.seen_at.get(OWNER_PREFIX + partition, -math.inf),
        )
        return self.clock.monotonic() - since >= wait

    async def _claim(self, partition: str) -> None:
        # No await between this check and the start of the commit. In between, this
        # instance could agree to an outage with a peer, which would go on as owner.
        if not self._may_claim(partition):
            return
        member = self.membership.member
        owner_key, epoch_key = OWNER_PREFIX + partition, EPOCH_PREFIX + partition
        previous = self.view.epochs.get(partition)
        number = previous.epoch + 1 if previous is not None else 1
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
            # ``_adopt_claimed`` takes the partition over if the claim took effect.
            return
        version = result.unwrap().version
        answered_at = self.clock.monotonic()
        prompt = answered_at - sent <= PROMPT_CLAIM_SECONDS
        self.holdings[partition] = Holding(
            epoch=Epoch(partition, number, epoch_key, version),
            owner_version=version,
            beat=0,
            renewed_at=sent,
            valid_from=answered_at if prompt else answered_at + TAKEOVER_WAIT_SECONDS,
            last_sent_at=sent,
        )

    def _adopt_claimed(self) -> None:
        """Adopt partitions whose claim took effect but whose answer was lost."""
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
                valid_from=self.clock.monotonic() + TAKEOVER_WAIT_SECONDS,
            )

    # Subscribers

    def _notify_subscribers(self) -> None:
        held = {partition for partition in self.holdings if self.holds(partition)}
        changes = [(partition, False) for partition in self.reported - held]
        changes += [(partition, True) for partition in held - self.reported]
        self.reported = held
        for partition, is_held in sorted(changes):
            self.metrics.count("ownership_changes", held=str(is_held).lower())
            log.info("partition ownership changed", partition=partition, held=is_held)
            for callback in self.callbacks:
                callback(partition, is_held)


def create_ownership(
    membership: Membership,
    view: View,
    roster: Roster,
    clock: Clock,
    metrics: Metrics,
) -> Ownership:
    """Return an ``Ownership`` that holds no partition."""
    return Ownership(membership, view, roster, clock, metrics)
