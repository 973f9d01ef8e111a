"""Who leads: one row in the store, a beat beside it, and takeover after silence.

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
    BEAT_SECONDS,
    BEAT_SILENCE_SECONDS,
    KEY_BEAT,
    KEY_LEADER,
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
from egretloft._internal.fleet.records import BeatRecord, LeaderRecord

log = structlog.get_logger(__name__)

LEADER_KEY = RowKey(TABLE_CONTROL, PARTITION, KEY_LEADER)
BEAT_KEY = RowKey(TABLE_CONTROL, PARTITION, KEY_BEAT)
# Spread of the candidates after a silence, so that mostly one of them asks.
CANDIDATE_SPREAD_SECONDS = 0.15
# A silence must outlast this many round trips to a slow store.
SILENCE_ROUND_TRIPS = 4.0


@dataclass(slots=True, frozen=True)
class Term:
    """Office of this instance; ``leader_version`` is a condition of its writes."""

    epoch: int
    leader_version: int


class Election:
    """Follows the leader's rows, takes over after silence and keeps the beat."""

    def __init__(
        self,
        store: RowStore,
        clock: FleetClock,
        instance_id: str,
        incarnation: str,
        generator: random.Random,
        waiting_counts: Callable[[], dict[str, int]],
    ) -> None:
        self.store = store
        self.clock = clock
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.generator = generator
        self.waiting_counts = waiting_counts
        self.leader: LeaderRecord | None = None
        self.leader_version = 0
        self.beat: BeatRecord | None = None
        self.beat_version = 0
        self.beat_changed_at = clock.steady()
        self.control_known = False
        self.term: Term | None = None
        self.confirmed_at = 0.0
        self.round_trip = 0.0
        self.may_stand = True
        self.spread = generator.uniform(0, CANDIDATE_SPREAD_SECONDS)
        self.last_beat_at = 0.0

    def on_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take over what the store says of the leader."""
        self.control_known = True
        for row in rows:
            if row.key == LEADER_KEY:
                self.on_leader_row(row)
            elif row.key == BEAT_KEY:
                self.on_beat_row(row)

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
            self.resign(f"epoch {self.leader.epoch} is in office")

    def on_beat_row(self, row: StoredRow) -> None:
        """Note that the leader lives."""
        if row.version <= self.beat_version or row.value is None:
            return
        record = codec.decode(row.value, BeatRecord)
        if isinstance(record, Failure):
            log.error("beat row unreadable", version=row.version)
            return
        self.beat = record.unwrap()
        self.beat_version = row.version
        self.beat_changed_at = self.clock.steady()

    def resign(self, why: str) -> None:
        """End the own term without telling anybody."""
        if self.term is not None:
            log.warning("leadership lost", epoch=self.term.epoch, why=why)
            self.term = None

    async def tick(self) -> None:
        """Keep the beat, or take over if the office is vacant."""
        if self.term is not None:
            if self.clock.steady() - self.last_beat_at >= BEAT_SECONDS:
                await self.send_beat(released=False)
        elif self.is_vacant():
            await self.stand()

    def is_vacant(self) -> bool:
        """Return whether this instance should try to take over now."""
        if not self.control_known or not self.may_stand:
            return False
        if self.leader is None or self.beat is None:
            return True
        own = self.leader.instance_id == self.instance_id
        if own and self.leader.incarnation != self.incarnation:
            # This machine led before the process started again.
            return True
        silent_for = self.clock.steady() - self.beat_changed_at
        if self.beat.released:
            return silent_for >= self.spread / 5
        patience = BEAT_SILENCE_SECONDS + SILENCE_ROUND_TRIPS * self.round_trip
        return silent_for >= patience + self.spread

    async def stand(self) -> None:
        """Try to take the office; fails if the leader has beaten meanwhile."""
        epoch = (self.leader.epoch if self.leader else 0) + 1
        record = LeaderRecord(self.instance_id, self.incarnation, epoch)
        beat = BeatRecord(epoch, 0, waiting=self.beat.waiting if self.beat else {})
        started = self.clock.steady()
        result = await self.store.commit(
            RowTransaction(
                (
                    Expectation(LEADER_KEY, self.leader_version),
                    Expectation(BEAT_KEY, self.beat_version),
                ),
                (
                    (LEADER_KEY, codec.encode(record)),
                    (BEAT_KEY, codec.encode(beat)),
                ),
            ),
            STORE_CALL_SECONDS,
        )
        if isinstance(result, Failure):
            failure = result.failure()
            log.info("takeover failed", epoch=epoch, error=failure.message)
            self.on_rows(failure.rows)
            self.adopt_own_takeover(failure.rows)
            return
        version = result.unwrap()
        self.round_trip = self.clock.steady() - started
        silent_for = started - self.beat_changed_at
        self.leader, self.leader_version = record, version
        self.beat, self.beat_version = beat, version
        self.beat_changed_at = self.clock.steady()
        self.enter_office(epoch, version, silent_for, started)

    def adopt_own_takeover(self, rows: tuple[StoredRow, ...]) -> None:
        """Enter the office if an earlier attempt took effect without an answer."""
        leader = self.leader
        if not rows or leader is None or leader.incarnation != self.incarnation:
            return
        if self.term is None and leader.instance_id == self.instance_id:
            self.enter_office(
                leader.epoch, self.leader_version, 0.0, self.clock.steady()
            )

    def enter_office(
        self, epoch: int, version: int, silent_for: float, asked_at: float
    ) -> None:
        """Begin a term."""
        self.term = Term(epoch, version)
        self.confirmed_at = asked_at
        self.last_beat_at = asked_at
        log.info(
            "leadership taken",
            epoch=epoch,
            version=version,
            silent_for=round(silent_for, 3),
        )

    async def send_beat(self, released: bool) -> bool:
        """Write the beat; return whether the store took it."""
        term = self.term
        if term is None:
            return False
        number = (self.beat.number if self.beat else 0) + 1
        beat = BeatRecord(term.epoch, number, released, self.waiting_counts())
        asked_at = self.clock.steady()
        self.last_beat_at = asked_at
        result = await self.store.commit(
            RowTransaction(
                (
                    Expectation(LEADER_KEY, term.leader_version),
                    Expectation(BEAT_KEY, self.beat_version),
                ),
                ((BEAT_KEY, codec.encode(beat)),),
            ),
            STORE_CALL_SECONDS,
        )
        if isinstance(result, Success):
            self.beat, self.beat_version = beat, result.unwrap()
            self.beat_changed_at = self.clock.steady()
            self.round_trip = self.beat_changed_at - asked_at
            self.confirmed_at = asked_at
            return True
        failure = result.failure()
        if failure.kind is StoreFailureKind.CONFLICT:
            self.on_rows(failure.rows)
            if self.term is not None and self.leader_version == term.leader_version:
                # A beat without an answer took effect; the office is still ours.
                self.confirmed_at = asked_at
        return False

    async def release(self) -> None:
        """Give up the office in a planned stop, so that another takes it at once."""
        self.may_stand = False
        for _ in range(3):
            if self.term is None or await self.send_beat(released=True):
                break
        self.term = None


def create_election(
    store: RowStore,
    clock: FleetClock,
    instance_id: str,
    incarnation: str,
    generator: random.Random,
    waiting_counts: Callable[[], dict[str, int]],
) -> Election:
    """Return an election in which this instance does not lead yet."""
    return Election(store, clock, instance_id, incarnation, generator, waiting_counts)
