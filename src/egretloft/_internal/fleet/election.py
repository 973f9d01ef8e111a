"""Leader election through a leader row and a heartbeat row in the store.

An instance takes over when the heartbeat has not changed for the timeout. It needs no
agreement with the former leader: the new epoch fences all orders and writes of older
ones.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import structlog
from returns.result import Failure, Success

from egretloft._internal import codec
from egretloft._internal.fleet.constants import (
    FEED_WAIT_SECONDS,
    HEARTBEAT_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    KEY_HEARTBEAT,
    KEY_LEADER,
    MAX_TIMEOUT_EXTENSION_SECONDS,
    PARTITION,
    STORE_CALL_TIMEOUT_SECONDS,
    STORE_DELAY_FACTOR,
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
# Largest random delay of a candidate, so that mostly only one of them tries to take
# over.
CANDIDATE_JITTER_SECONDS = 0.15
# Extra delay of a candidate while a larger instance could lead, or after a release that
# names another successor.
SECONDARY_DELAY_SECONDS = 0.3
# Extra delay of a candidate that the former leader may not know. One that it knows need
# not wait for targets that cannot be reached.
UNKNOWN_DELAY_SECONDS = 1.0
# The heartbeat may have been impossible to write, and not only to read, once its feed
# has failed for longer than this. A call that is cut off may have waited for
# FEED_WAIT_SECONDS before it failed.
UNREADABLE_SECONDS = FEED_WAIT_SECONDS + 0.2
# Range of the random backoff after a failed takeover. Without it, the attempts of many
# candidates would delay the leader's writes while the store is slow.
CAMPAIGN_BACKOFF_SECONDS = (0.2, 0.6)


@dataclass(slots=True, frozen=True)
class Term:
    """A term in which this instance leads.

    The leader's writes require that the leader row still has ``leader_version``.
    ``known_to_former`` tells whether the former leader certainly knew this instance,
    and thus did not go on without its pledge, and whether no leader before it does.
    ``former_needs_targets`` tells whether one that goes on does so only while more than
    half of the targets answer it.
    """

    epoch: int
    leader_version: int
    known_to_former: bool = True
    former_needs_targets: bool = True


class Registrations(Protocol):
    """What an instance has read of the rows with which the instances register."""

    def members_version(self) -> int:
        """Return the version up to which the rows have been read."""

    def known_since(self) -> int | None:
        """Return the version with which this instance registered, if it has."""

    def knows_others(self) -> bool:
        """Return whether any other instance is registered."""


class Election:
    """Watches the leader's rows, takes over after a timeout and sends the heartbeat."""

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
        rows_readable: Callable[[], bool],
        registrations: Registrations,
    ) -> None:
        self.store = store
        self.clock = clock
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.generator = generator
        self.waiting_counts = waiting_counts
        self.larger_instance = larger_instance
        self.store_delay = store_delay
        self.rows_readable = rows_readable
        self.registrations = registrations
        self.leader: LeaderRecord | None = None
        self.leader_version = 0
        self.heartbeat: HeartbeatRecord | None = None
        self.heartbeat_version = 0
        self.heartbeat_changed_at = clock.boottime()
        self.rows_loaded = False
        self.term: Term | None = None
        self.confirmed_at = 0.0
        self.confirmed_for = HEARTBEAT_TIMEOUT_SECONDS
        self.campaign_after = 0.0
        self.may_campaign = True
        # Whether a takeover of this instance is under way at the store.
        self.campaigning = False
        # Whether the leader that the last attempt was to replace knew this instance.
        self.known_to_former = True
        # What a former leader that may still go on has read of the instances' rows.
        self.former_members_version: int | None = None
        # Whether such a former leader goes on only while most targets answer it.
        self.former_needs_targets = True
        # Whether each of our heartbeats that may be the newest in the store announces
        # that we rely on pledges. A successor does not wait for a leader that does not.
        self.may_rely_on_pledges = True
        # Whether our term is being released, so that another may have begun.
        self.releasing = False
        # Until when this instance has pledged to a leader not to take over.
        self.pledged_until = 0.0
        self.jitter = generator.uniform(0, CANDIDATE_JITTER_SECONDS)
        self.last_heartbeat_at = 0.0
        # When the first heartbeat was sent of those without an answer since the last
        # answer; ``None`` if there is none.
        self.unanswered_since: float | None = None

    def on_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the leader and heartbeat rows among ``rows``."""
        self.rows_loaded = True
        for row in rows:
            if row.key == LEADER_KEY:
                self.on_leader_row(row)
            elif row.key == HEARTBEAT_KEY:
                self.on_heartbeat_row(row)

    def on_leader_row(self, row: StoredRow) -> None:
        """Update the leader; an epoch newer than ours ends our term."""
        if row.version <= self.leader_version or row.value is None:
            return
        record = codec.decode(row.value, LeaderRecord)
        if isinstance(record, Failure):
            log.error("leader row cannot be decoded", version=row.version)
            return
        self.leader = record.unwrap()
        self.leader_version = row.version
        if self.term is not None and self.leader.epoch > self.term.epoch:
            self.step_down(f"superseded by epoch {self.leader.epoch}")

    def on_heartbeat_row(self, row: StoredRow) -> None:
        """Update the heartbeat and restart its timeout."""
        if row.version <= self.heartbeat_version or row.value is None:
            return
        record = codec.decode(row.value, HeartbeatRecord)
        if isinstance(record, Failure):
            log.error("heartbeat row cannot be decoded", version=row.version)
            return
        self.heartbeat = record.unwrap()
        self.heartbeat_version = row.version
        self.heartbeat_changed_at = self.clock.boottime()

    def on_rows_regained(self, unreadable_for: float) -> None:
        """Restart the heartbeat timeout if the rows could not be read for long.

        The leader may have been alive without reaching the store either, so it gets the
        time to send a heartbeat.
        """
        if unreadable_for > UNREADABLE_SECONDS:
            self.heartbeat_changed_at = self.clock.boottime()

    def on_former_leader_fenced(self) -> None:
        """Note that no former leader can go on any more."""
        self.former_members_version = None
        self.former_needs_targets = True

    def step_down(self, why: str) -> None:
        """End our term, if any, without releasing it in the store."""
        if self.term is not None:
            log.warning("leadership lost", epoch=self.term.epoch, why=why)
            self.term = None

    async def tick(self) -> None:
        """Send the heartbeat if it is due, or try to take over if there is no leader.

        Called periodically.
        """
        if self.term is not None:
            if self.clock.boottime() - self.last_heartbeat_at >= HEARTBEAT_SECONDS:
                await self.send_heartbeat(released=False)
        elif self.should_campaign() and self.clock.boottime() >= self.campaign_after:
            self.campaigning = True
            try:
                await self.campaign()
            finally:
                self.campaigning = False

    def should_campaign(self) -> bool:
        """Return whether leadership is vacant and it is this instance's turn to try."""
        if not self.rows_loaded or not self.may_campaign or self.is_pledged():
            return False
        if not self.rows_readable():
            # A heartbeat that cannot be read is not evidence of a silent leader.
            return False
        if self.leader is None or self.heartbeat is None:
            return True
        is_own = self.leader.instance_id == self.instance_id
        if is_own and self.leader.incarnation != self.incarnation:
            # This instance led before its process restarted.
            return True
        silent_for = self.clock.boottime() - self.heartbeat_changed_at
        if self.heartbeat.released:
            return silent_for >= self.delay_after_release(self.heartbeat.successor)
        timeout = max(self.heartbeat.valid_seconds, self.timeout_seconds())
        if not self.is_known_to_leader():
            timeout += UNKNOWN_DELAY_SECONDS
        if silent_for < timeout + self.jitter:
            return False
        if silent_for >= timeout + self.jitter + SECONDARY_DELAY_SECONDS:
            return True
        return self.larger_instance() is None

    def is_known_to_leader(self) -> bool:
        """Return whether the leader that is to be replaced surely knows this instance.

        One that does not may go on without its pledge. This instance's row may have
        been removed since it read the instances' rows, if the heartbeat is newer.
        """
        heartbeat = self.heartbeat
        if heartbeat is None or not heartbeat.relies_on_pledges:
            return True
        if heartbeat.members_version is None:
            return heartbeat.released
        if self.registrations.members_version() < self.heartbeat_version:
            return False
        since = self.registrations.known_since()
        return since is not None and since <= heartbeat.members_version

    def judge_former_leader(self) -> None:
        """Note whether a leader that is replaced may go on, and whom it knows."""
        self.known_to_former = self.is_known_to_leader()
        self.former_members_version = (
            None if self.known_to_former else self.known_to_former_leaders()
        )
        self.former_needs_targets = (
            self.known_to_former
            or self.heartbeat is None
            or self.heartbeat.needs_targets
        )

    def known_to_former_leaders(self) -> int:
        """Return what a takeover tells of the instances that former leaders know.

        It repeats what the heartbeat before it tells: if its answer is lost, this
        instance may still pledge to the former leader. Everybody is known if nobody
        goes on, nobody if the former leader does not tell.
        """
        heartbeat = self.heartbeat
        if heartbeat is None or not heartbeat.relies_on_pledges:
            return self.registrations.members_version()
        if heartbeat.members_version is not None:
            return heartbeat.members_version
        return self.registrations.members_version() if heartbeat.released else 0

    def members_version(self, released: bool = False) -> int | None:
        """Return what our heartbeat tells of the instances that a leader knows.

        Nobody goes on after a leader that has ``released`` its term, unless its own
        predecessor may still do so.
        """
        if self.former_members_version is not None:
            return self.former_members_version
        return None if released else self.registrations.members_version()

    def relies_on_pledges(self) -> bool:
        """Return whether our heartbeat announces that we may go on without the store.

        A former leader may, as long as it is not fenced. Without other instances that
        are registered there would be hardly anybody to pledge, so we do not.
        """
        return self.former_members_version is not None or (
            self.registrations.knows_others()
        )

    def may_have_former(self) -> bool:
        """Return whether a former leader may still go on, as far as we know."""
        return self.former_members_version is not None

    def is_pledged(self) -> bool:
        """Return whether this instance has pledged to a leader not to take over now."""
        return self.clock.boottime() < self.pledged_until

    def timeout_seconds(self) -> float:
        """Return the heartbeat timeout, extended while the store is slow."""
        extension = STORE_DELAY_FACTOR * self.store_delay()
        return HEARTBEAT_TIMEOUT_SECONDS + min(MAX_TIMEOUT_EXTENSION_SECONDS, extension)

    def is_confirmed(self) -> bool:
        """Return whether our last confirmed heartbeat still excludes a takeover."""
        if self.releasing:
            return False
        return self.clock.boottime() - self.confirmed_at <= self.confirmed_for

    def confirmed_age(self) -> float | None:
        """Return how old the confirmation of our term is, for logs."""
        if self.confirmed_at == -math.inf:
            return None
        return round(self.clock.boottime() - self.confirmed_at, 3)

    def delay_after_release(self, successor: str) -> float:
        """Return how many seconds to wait after the leader has released its term."""
        delay = self.jitter / 5
        if successor == self.instance_id:
            return 0.0
        if successor or self.larger_instance() is not None:
            return delay + SECONDARY_DELAY_SECONDS
        return delay

    async def campaign(self) -> None:
        """Try to become the leader.

        The transaction fails if the leader row or the heartbeat has changed meanwhile.
        """
        epoch = (self.leader.epoch if self.leader else 0) + 1
        self.judge_former_leader()
        record = LeaderRecord(self.instance_id, self.incarnation, epoch)
        heartbeat = HeartbeatRecord(
            epoch,
            0,
            waiting=self.heartbeat.waiting if self.heartbeat else {},
            valid_seconds=self.timeout_seconds(),
            members_version=self.known_to_former_leaders(),
            relies_on_pledges=(
                self.heartbeat is None or self.heartbeat.relies_on_pledges
            ),
            needs_targets=self.former_needs_targets,
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
            STORE_CALL_TIMEOUT_SECONDS,
        )
        if isinstance(result, Failure):
            failure = result.failure()
            log.info(
                "leadership takeover not confirmed by the store",
                epoch=epoch,
                error=failure.message,
            )
            self.campaign_after = self.clock.boottime() + self.generator.uniform(
                *CAMPAIGN_BACKOFF_SECONDS
            )
            self.on_rows(failure.rows)
            self.adopt_unconfirmed_takeover(failure.rows)
            return
        version = result.unwrap()
        silent_for = started - self.heartbeat_changed_at
        self.leader, self.leader_version = record, version
        self.heartbeat, self.heartbeat_version = heartbeat, version
        self.heartbeat_changed_at = self.clock.boottime()
        self.begin_term(epoch, version, silent_for, started)

    def adopt_unconfirmed_takeover(self, rows: tuple[StoredRow, ...]) -> None:
        """Begin the term if an earlier takeover succeeded but its answer was lost.

        ``rows`` are the current rows that a conflict returned. The other instances
        count from that takeover, so the term is not confirmed before a heartbeat is.
        """
        leader = self.leader
        if not rows or leader is None or leader.incarnation != self.incarnation:
            return
        if self.term is None and leader.instance_id == self.instance_id:
            # The attempt that took effect may not be the last one.
            self.judge_former_leader()
            self.begin_term(leader.epoch, self.leader_version, 0.0, None)

    def begin_term(
        self, epoch: int, version: int, silent_for: float, sent_at: float | None
    ) -> None:
        """Begin a term that is confirmed as of ``sent_at``; ``None`` if it is not yet.

        ``silent_for`` is how many seconds the former leader's heartbeat was unchanged.
        """
        self.term = Term(
            epoch, version, self.known_to_former, self.former_needs_targets
        )
        self.releasing = False
        self.confirmed_at = self.last_heartbeat_at = (
            -math.inf if sent_at is None else sent_at
        )
        if self.heartbeat is not None:
            self.note_newest(self.heartbeat)
        log.info(
            "leadership taken",
            epoch=epoch,
            version=version,
            silent_for=round(silent_for, 3),
            confirmed_age=self.confirmed_age(),
            known_to_former=self.known_to_former,
        )

    async def send_heartbeat(self, released: bool, successor: str = "") -> bool:
        """Write the heartbeat and return whether the store confirmed it.

        ``released`` ends the term, with ``successor`` as the instance to take over.
        """
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
            self.members_version(released),
            self.relies_on_pledges(),
            self.former_needs_targets,
        )
        sent_at = self.clock.boottime()
        self.last_heartbeat_at = sent_at
        # If the answer is lost, other instances may still see this heartbeat and wait
        # only as long as it says.
        self.confirmed_for = min(self.confirmed_for, heartbeat.valid_seconds)
        self.may_rely_on_pledges &= heartbeat.relies_on_pledges
        if self.unanswered_since is None:
            self.unanswered_since = sent_at
        result = await self.store.commit(
            RowTransaction(
                (
                    Expectation(LEADER_KEY, term.leader_version),
                    Expectation(HEARTBEAT_KEY, self.heartbeat_version),
                ),
                ((HEARTBEAT_KEY, codec.encode(heartbeat)),),
            ),
            STORE_CALL_TIMEOUT_SECONDS,
        )
        if isinstance(result, Success):
            self.heartbeat, self.heartbeat_version = heartbeat, result.unwrap()
            self.heartbeat_changed_at = self.clock.boottime()
            self.unanswered_since = None
            self.confirmed_at = sent_at
            self.note_newest(heartbeat)
            return True
        failure = result.failure()
        if failure.kind is StoreFailureKind.CONFLICT:
            self.on_heartbeat_conflict(failure.rows, term, sent_at)
        return False

    def note_newest(self, heartbeat: HeartbeatRecord) -> None:
        """Go by what a heartbeat announces that certainly is the newest one."""
        self.confirmed_for = heartbeat.valid_seconds
        self.may_rely_on_pledges = heartbeat.relies_on_pledges

    def on_heartbeat_conflict(
        self, rows: tuple[StoredRow, ...], term: Term, sent_at: float
    ) -> None:
        """Go on if an earlier heartbeat whose answer was lost caused the conflict.

        The leader row is unchanged then. The other instances count from that earlier
        heartbeat, so it is the one that counts as confirmed, and the next is sent at
        once. ``sent_at`` is when the conflicting one was sent.
        """
        self.on_rows(rows)
        if self.term is None or self.leader_version != term.leader_version:
            return
        since = sent_at if self.unanswered_since is None else self.unanswered_since
        self.unanswered_since = None
        self.last_heartbeat_at = -math.inf
        self.confirmed_at = max(self.confirmed_at, since)
        if self.heartbeat is not None:
            self.note_newest(self.heartbeat)

    async def release(self, successor: str = "") -> None:
        """End the term so that another instance, preferably ``successor``, takes over.

        Up to three heartbeats try to announce the release. One whose answer is lost may
        have let another instance in, so the leader may not act from the first one on.
        """
        self.releasing = True
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
    rows_readable: Callable[[], bool],
    registrations: Registrations,
) -> Election:
    """Return an election in which this instance does not lead.

    ``waiting_counts`` returns the waiting jobs per queue, for the heartbeat;
    ``larger_instance`` a live instance that is preferred as leader, if any;
    ``store_delay`` how many seconds late the store's answers are; ``rows_readable``
    whether the last attempt to read the leader's rows succeeded.
    """
    return Election(
        store,
        clock,
        instance_id,
        incarnation,
        generator,
        waiting_counts,
        larger_instance,
        store_delay,
        rows_readable,
        registrations,
    )
