"""Who leads: one row in the store, a heartbeat beside it, and takeover after silence.

A takeover needs no agreement with the former leader: its epoch fences every order and
every write of an older one.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from egretloft._internal import codec
from egretloft._internal.fleet.constants import (
    DELAYS_PER_HEARTBEAT,
    HEARTBEAT_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    KEY_HEARTBEAT,
    KEY_LEADER,
    LONGEST_EXTENSION_SECONDS,
    PARTITION,
    STORE_CALL_SECONDS,
    TABLE_CONTROL,
)
from egretloft._internal.fleet.interfaces import (
    Expectation,
    FleetClock,
    RowKey,
    RowStore,
    RowTransaction,
    StoredRow,
    StoreFailureKind,
)
from egretloft._internal.fleet.records import HeartbeatRecord, LeaderRecord

log = structlog.get_logger(__name__)

LEADER_KEY = RowKey(TABLE_CONTROL, PARTITION, KEY_LEADER)
HEARTBEAT_KEY = RowKey(TABLE_CONTROL, PARTITION, KEY_HEARTBEAT)
# Spread of the candidates after a silence, so that mostly one of them asks.
CANDIDATE_SPREAD_SECONDS = 0.15
# A candidate waits this much longer while a larger instance could lead, and after a
# release that names another successor.
SECONDARY_SECONDS = 0.3
# A candidate whose attempt failed asks again after this time, with some spread: at a
# slow store the attempts of many candidates would keep the leader's writes waiting.
CAMPAIGN_PAUSE_SECONDS = (0.2, 0.6)


@dataclass(slots=True, frozen=True)
class Term:
    """TermOwner of this instance; ``leader_version`` is a condition of its writes."""

    epoch: int
    leader_version: int


class Election:
    """Follows the leader's rows, takes over after silence and sends the heartbeat."""

    def __init__(
        self,
        store: RowStore,
        clock: FleetClock,
        instance_id: str,
        incarnation: str,
        generator: random.Random,
        waiting_counts: Callable[[], dict[str, int]],
        larger_instance: Callable[[], str | None],
        store_delay: Callable[[], float],
    ) -> None:
        self.store = store
        self.clock = clock
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.generator = generator
        self.waiting_counts = waiting_counts
        self.larger_instance = larger_instance
        self.store_delay = store_delay
        self.leader: LeaderRecord | None = None
        self.leader_version = 0
        self.heartbeat: HeartbeatRecord | None = None
        self.heartbeat_version = 0
        self.heartbeat_changed_at = clock.boottime()
        self.control_known = False
        self.term: Term | None = None
        self.confirmed_at = 0.0
        self.confirmed_for = HEARTBEAT_TIMEOUT_SECONDS
        self.campaign_after = 0.0
        self.may_campaign = True
        self.spread = generator.uniform(0, CANDIDATE_SPREAD_SECONDS)
        self.last_heartbeat_at = 0.0

    def on_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take over what the store says of the leader."""
        self.control_known = True
        for row in rows:
            if row.key == LEADER_KEY:
                self.on_leader_row(row)
            elif row.key == HEARTBEAT_KEY:
                self.on_heartbeat_row(row)

    def on_leader_row(self, row: StoredRow) -> None:
        """Learn of the leader; a newer epoch than ours ends our term."""
        if row.version <= self.leader_version or row.value is None:
            return
        record = codec.decode(row.value, LeaderRecord)
        if isinstance(record, Failure):
            log.error("leader row unreadable", version=row.version)
            return
        self.leader = record.unwrap()
        self.leader_version = row.version
        if self.term is not None and self.leader.epoch > self.term.epoch:
            self.step_down(f"epoch {self.leader.epoch} leads")

    def on_heartbeat_row(self, row: StoredRow) -> None:
        """Note that the leader lives."""
        if row.version <= self.heartbeat_version or row.value is None:
            return
        record = codec.decode(row.value, HeartbeatRecord)
        if isinstance(record, Failure):
            log.error("heartbeat row unreadable", version=row.version)
            return
        self.heartbeat = record.unwrap()
        self.heartbeat_version = row.version
        self.heartbeat_changed_at = self.clock.boottime()

    def step_down(self, why: str) -> None:
        """End the own term without telling anybody."""
        if self.term is not None:
            log.warning("leadership lost", epoch=self.term.epoch, why=why)
            self.term = None

    async def tick(self) -> None:
        """Send the heartbeat, or take over if there is no leader."""
        if self.term is not None:
            if self.clock.boottime() - self.last_heartbeat_at >= HEARTBEAT_SECONDS:
                await self.send_heartbeat(released=False)
        elif self.is_vacant() and self.clock.boottime() >= self.campaign_after:
            await self.campaign()

    def is_vacant(self) -> bool:
        """Return whether this instance should try to take over now."""
        if not self.control_known or not self.may_campaign:
            return False
        if self.leader is None or self.heartbeat is None:
            return True
        own = self.leader.instance_id == self.instance_id
        if own and self.leader.incarnation != self.incarnation:
            # This machine led before the process started again.
            return True
        silent_for = self.clock.boottime() - self.heartbeat_changed_at
        if self.heartbeat.released:
            return silent_for >= self.patience_after_release(self.heartbeat.successor)
        patience = max(self.heartbeat.valid_seconds, self.timeout_seconds())
        if silent_for < patience + self.spread:
            return False
        if silent_for >= patience + self.spread + SECONDARY_SECONDS:
            return True
        return self.larger_instance() is None

    def timeout_seconds(self) -> float:
        """Return how long a heartbeat may stay unchanged, by the store's delay."""
        extension = DELAYS_PER_HEARTBEAT * self.store_delay()
        return HEARTBEAT_TIMEOUT_SECONDS + min(LONGEST_EXTENSION_SECONDS, extension)

    def is_confirmed(self) -> bool:
        """Return whether nobody can have taken over since the last heartbeat."""
        return self.clock.boottime() - self.confirmed_at <= self.confirmed_for

    def patience_after_release(self, successor: str) -> float:
        """Return how long this instance waits once the leader has ended its term."""
        patience = self.spread / 5
        if successor == self.instance_id:
            return 0.0
        if successor or self.larger_instance() is not None:
            return patience + SECONDARY_SECONDS
        return patience

    async def campaign(self) -> None:
        """Try to become the leader; fails if the leader sent a heartbeat meanwhile."""
        epoch = (self.leader.epoch if self.leader else 0) + 1
        record = LeaderRecord(self.instance_id, self.incarnation, epoch)
        heartbeat = HeartbeatRecord(
            epoch,
            0,
            waiting=self.heartbeat.waiting if self.heartbeat else {},
            valid_seconds=self.timeout_seconds(),
        )
        started = self.clock.boottime()
        result = await self.store.commit(
            RowTransaction(
                (
                    Expectation(LEADER_KEY, self.leader_version),
                    Expectation(HEARTBEAT_KEY, self.heartbeat_version),
                ),
                (
                    (LEADER_KEY, codec.encode(record)),
                    (HEARTBEAT_KEY, codec.encode(heartbeat)),
                ),
            ),
            STORE_CALL_SECONDS,
        )
        if isinstance(result, Failure):
            failure = result.failure()
            log.info("takeover failed", epoch=epoch, error=failure.message)
            self.campaign_after = self.clock.boottime() + self.generator.uniform(
                *CAMPAIGN_PAUSE_SECONDS
            )
            self.on_rows(failure.rows)
            self.adopt_own_takeover(failure.rows)
            return
        version = result.unwrap()
        silent_for = started - self.heartbeat_changed_at
        self.leader, self.leader_version = record, version
        self.heartbeat, self.heartbeat_version = heartbeat, version
        self.heartbeat_changed_at = self.clock.boottime()
        self.begin_term(epoch, version, silent_for, started)

    def adopt_own_takeover(self, rows: tuple[StoredRow, ...]) -> None:
        """Begin the term if an earlier attempt took effect without an answer."""
        leader = self.leader
        if not rows or leader is None or leader.incarnation != self.incarnation:
            return
        if self.term is None and leader.instance_id == self.instance_id:
            self.begin_term(
                leader.epoch, self.leader_version, 0.0, self.clock.boottime()
            )

    def begin_term(
        self, epoch: int, version: int, silent_for: float, asked_at: float
    ) -> None:
        """Begin a term."""
        self.term = Term(epoch, version)
        self.confirmed_at = asked_at
        if self.heartbeat is not None:
            self.confirmed_for = self.heartbeat.valid_seconds
        self.last_heartbeat_at = asked_at
        log.info(
            "leadership taken",
            epoch=epoch,
            version=version,
            silent_for=round(silent_for, 3),
        )

    async def send_heartbeat(self, released: bool, successor: str = "") -> bool:
        """Write the heartbeat; return whether the store took it."""
        term = self.term
        if term is None:
            return False
        number = (self.heartbeat.number if self.heartbeat else 0) + 1
        heartbeat = HeartbeatRecord(
            term.epoch,
            number,
            released,
            self.waiting_counts(),
            successor,
            self.timeout_seconds(),
        )
        asked_at = self.clock.boottime()
        self.last_heartbeat_at = asked_at
        # The others may see this heartbeat although its answer is lost here.
        self.confirmed_for = min(self.confirmed_for, heartbeat.valid_seconds)
        result = await self.store.commit(
            RowTransaction(
                (
                    Expectation(LEADER_KEY, term.leader_version),
                    Expectation(HEARTBEAT_KEY, self.heartbeat_version),
                ),
                ((HEARTBEAT_KEY, codec.encode(heartbeat)),),
            ),
            STORE_CALL_SECONDS,
        )
        if isinstance(result, Success):
            self.heartbeat, self.heartbeat_version = heartbeat, result.unwrap()
            self.heartbeat_changed_at = self.clock.boottime()
            self.confirmed_at = asked_at
            self.confirmed_for = heartbeat.valid_seconds
            return True
        failure = result.failure()
        if failure.kind is StoreFailureKind.CONFLICT:
            self.on_rows(failure.rows)
            if self.term is not None and self.leader_version == term.leader_version:
                # A heartbeat without an answer took effect; the term goes on.
                self.confirmed_at = asked_at
                if self.heartbeat is not None:
                    self.confirmed_for = self.heartbeat.valid_seconds
        return False

    async def release(self, successor: str = "") -> None:
        """End the term; the successor, or else any other instance, takes over."""
        for _ in range(3):
            if self.term is None or await self.send_heartbeat(True, successor):
                break
        self.term = None


def create_election(
    store: RowStore,
    clock: FleetClock,
    instance_id: str,
    incarnation: str,
    generator: random.Random,
    waiting_counts: Callable[[], dict[str, int]],
    larger_instance: Callable[[], str | None],
    store_delay: Callable[[], float],
) -> Election:
    """Return an election in which this instance does not lead yet."""
    return Election(
        store,
        clock,
        instance_id,
        incarnation,
        generator,
        waiting_counts,
        larger_instance,
        store_delay,
    )
