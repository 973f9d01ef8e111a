"""A local copy of the rows under ``control/`` and how recently it was confirmed.

The view is confirmed by a scan of the store or by a peer that has scanned it. If no
instance can reach the store, all of them may agree to go on with their last view for a
limited time (an *outage agreement*).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Annotated, Any, TypeVar

import msgspec
import structlog
from returns.result import Failure

from egretloft._internal.codec import decode
from egretloft._internal.coordination.membership import (
    Identity,
    Membership,
    identity,
)
from egretloft._internal.coordination.rows import (
    CONTROL_PREFIX,
    EPOCH_PREFIX,
    HEAD_KEY,
    INSTANCE_PREFIX,
    OWNER_PREFIX,
    PROFILE_PREFIX,
    ZONE_PREFIX,
    EpochRow,
    HeadRow,
    InstanceRow,
    OwnerRow,
)
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.members import Member
from egretloft._internal.models.profiles import Profile, ZoneState
from egretloft._internal.peers.protocols import Peers
from egretloft._internal.platform.protocols import Clock, Row, TableService

T = TypeVar("T")

FRESH_SECONDS = 2.5
SCAN_SECONDS = 0.8
# A scan in progress for longer than this counts as failed when a peer asks. Otherwise
# instances whose scans hang could not agree on an outage before their own timeouts.
SLOW_SCAN_SECONDS = 0.4
PEER_QUERY_SECONDS = 1.5
# An unchanged row of a listed instance is removed after 15 min (roster.py). The
# agreement ends a little earlier, because monotonic clocks differ in rate.
AGREEMENT_LIMIT_SECONDS = 15 * 60 - 2.0
# Limit of the rows in one answer, which must stay below MAX_FRAME_BYTES (1 MiB).
MAX_ANSWER_BYTES = 512 * 1024
VIEW_QUERY = "view_query"
STORE_VERSION = "store_version"

log = structlog.get_logger(__name__)

Age = Annotated[float, msgspec.Meta(ge=0)]
ViewCallback = Callable[[set[str]], None]


class ViewQuery(msgspec.Struct, frozen=True):
    """A query to a peer; ``after`` is the store version of the sender's view."""

    instance_id: str
    incarnation: str
    after: int


class ViewAnswer(msgspec.Struct, frozen=True):
    """The view of a peer; ages are in seconds at the time of the answer.

    ``rows`` are all rows with a version above the query's ``after`` and not above
    ``as_of``. ``agrees`` means that the peer cannot reach the store, has no change
    in flight and knows the sender of the query as a member.
    """

    instance_id: str
    incarnation: str
    as_of: int
    confirmed_age: Age | None
    store_age: Age | None
    agrees: bool
    members: tuple[tuple[str, str], ...]
    rows: tuple[tuple[str, bytes | None, int], ...]


class View:
    """Rows under ``control/`` up to the store version ``as_of``.

    The view is complete up to ``as_of`` and *confirmed* at a time of this
    instance's monotonic clock: no change that was committed before that time is
    missing.
    """

    def __init__(
        self,
        table: TableService,
        network: Peers,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.network = network
        self.membership = membership
        self.clock = clock
        self.metrics = metrics
        self.as_of = 0
        self.rows: dict[str, Row] = {}
        self.seen_at: dict[str, float] = {}
        self.profiles: dict[str, Profile] = {}
        self.zones: dict[str, ZoneState] = {}
        self.members: dict[str, Member] = {}
        self.owners: dict[str, OwnerRow] = {}
        self.epochs: dict[str, EpochRow] = {}
        self.config_version = 0
        self.confirmed_at: float | None = None
        # When the last scan that this view is based on, own or a peer's, was sent.
        self.store_seen_at: float | None = None
        # When the last query that led to an outage agreement was sent.
        self.agreed_at: float | None = None
        # Since when all scans have succeeded and no outage was agreed with a peer.
        self.reachable_since: float | None = None
        self.scan_sent: float | None = None
        self.callbacks: list[ViewCallback] = []
        self.lock = asyncio.Lock()
        network.register(VIEW_QUERY, self.answer_query)
        network.heartbeat_sources.append(self._heartbeat_body)

    def row(self, key: str) -> Row | None:
        """Return the row, or ``None`` if it is absent or deleted."""
        row = self.rows.get(key)
        return row if row is not None and row.value is not None else None

    def row_version(self, key: str) -> int:
        """Return the row's version for a ``Check``, 0 if it is absent or deleted."""
        row = self.row(key)
        return row.version if row is not None else 0

    def is_fresh(self) -> bool:
        """Return whether the view is recent enough to start new work."""
        return (
            self.confirmed_at is not None
            and self.clock.monotonic() - self.confirmed_at <= FRESH_SECONDS
        )

    def zone_in_service(self, zone: str) -> bool:
        """Return whether the zone is in service; a zone without a row is."""
        state = self.zones.get(zone)
        return state is None or state.in_service

    def subscribe(self, callback: ViewCallback) -> None:
        """Call ``callback`` with the keys of the changed rows after each change."""
        self.callbacks.append(callback)

    def known_members(self) -> dict[Identity, Member]:
        """Return the roster and the acknowledged instances not yet in this view.

        This instance is included if it is on the roster.
        """
        known = {identity(member): member for member in self.members.values()}
        for key, acknowledged in self.membership.acknowledged.items():
            known[key] = acknowledged.member
        return known

    def is_registered(self) -> bool:
        """Return whether the view shows this process on the roster."""
        member = self.members.get(self.membership.member.instance_id)
        return (
            self.membership.row_version > 0
            and member is not None
            and member.incarnation == self.membership.member.incarnation
        )

    async def refresh(self) -> None:
        """Scan the store for changes; if that fails, query the peers."""
        async with self.lock:
            if self.reachable_since is None and self.store_seen_at is not None:
                # The last scan failed. If this one were awaited first, too little of
                # FRESH_SECONDS would be left for the peers' answers.
                await asyncio.gather(self._scan(), self._query_peers())
            elif not await self._scan():
                await self._query_peers()
        self.metrics.set_gauge("config_version", self.config_version)
        self.metrics.set_gauge("view_fresh", self.is_fresh())

    # The store

    def highest_known(self) -> int:
        """Return the highest store version that this instance has heard of."""
        highest = max(self.as_of, self.membership.writer.highest_version)
        for instance_id in self.members:
            version = self.network.last_heartbeat(instance_id).get(STORE_VERSION)
            if isinstance(version, int):
                highest = max(highest, version)
        return highest

    def _heartbeat_body(self) -> dict[str, Any]:
        version = max(self.as_of, self.membership.writer.highest_version)
        return {STORE_VERSION: version}

    async def _scan(self) -> bool:
        sent = self.clock.monotonic()
        expected = self.highest_known()
        changes = self.membership.changes
        self.scan_sent = sent
        try:
            async with asyncio.timeout(SCAN_SECONDS):
                result = await self.table.scan(CONTROL_PREFIX, self.as_of)
        except TimeoutError:
            return self._scan_failed("timeout")
        finally:
            self.scan_sent = None
        if isinstance(result, Failure):
            return self._scan_failed(result.failure().kind.value)
        scan = result.unwrap()
        if scan.as_of < expected:
            # The scan lags behind a commit that was made before it was sent.
            return self._scan_failed("lagging")
        self._merge(scan.rows, scan.as_of)
        self.membership.changes_scanned = changes
        self._confirm(sent)
        self.store_seen_at = max(sent, self.store_seen_at or sent)
        if self.reachable_since is None:
            self.reachable_since = self.clock.monotonic()
        return True

    def _scan_failed(self, reason: str) -> bool:
        self.metrics.count("view_scan_failures", reason=reason)
        self.reachable_since = None
        return False

    def _confirm(self, at: float) -> None:
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    # Rows

    def _merge(self, rows: Iterable[Row], as_of: int) -> None:
        """Apply newer rows; with ``rows`` the view is complete up to ``as_of``."""
        now = self.clock.monotonic()
        changed = set()
        for row in rows:
            known = self.rows.get(row.key)
            if known is None or row.version > known.version:
                self.rows[row.key] = row
                self.seen_at[row.key] = now
                self._index_row(row)
                changed.add(row.key)
        self.as_of = max(self.as_of, as_of)
        self.membership.drop_covered_acknowledgements(self.as_of)
        if changed:
            for callback in self.callbacks:
                callback(changed)

    def _index_row(self, row: Row) -> None:
        key = row.key
        if key == HEAD_KEY:
            head = self._decode(row, HeadRow)
            if head is not None:
                self.config_version = max(self.config_version, head.version)
        elif key.startswith(PROFILE_PREFIX):
            self._index_value(self.profiles, key, PROFILE_PREFIX, row, Profile)
        elif key.startswith(ZONE_PREFIX):
            self._index_value(self.zones, key, ZONE_PREFIX, row, ZoneState)
        elif key.startswith(OWNER_PREFIX):
            self._index_value(self.owners, key, OWNER_PREFIX, row, OwnerRow)
        elif key.startswith(EPOCH_PREFIX):
            self._index_value(self.epochs, key, EPOCH_PREFIX, row, EpochRow)
        elif key.startswith(INSTANCE_PREFIX):
            name = key.removeprefix(INSTANCE_PREFIX)
            instance = self._decode(row, InstanceRow)
            if instance is None:
                self.members.pop(name, None)
            else:
                self.members[name] = instance.member

    def _index_value(
        self, table: dict[str, T], key: str, prefix: str, row: Row, type_: type[T]
    ) -> None:
        value = self._decode(row, type_)
        if value is None:
            table.pop(key.removeprefix(prefix), None)
        else:
            table[key.removeprefix(prefix)] = value

    def _decode(self, row: Row, type_: type[T]) -> T | None:
        if row.value is None:
            return None
        result = decode(row.value, type_)
        if isinstance(result, Failure):
            self.metrics.count("view_rows_malformed")
            log.error("row cannot be decoded", key=row.key, error=result.failure())
            return None
        return result.unwrap()

    # The peers

    async def answer_query(
        self, instance_id: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Answer the ``ViewQuery`` of a peer that could not read the store."""
        query = msgspec.convert(body, ViewQuery)
        now = self.clock.monotonic()
        known = self.known_members()
        scan_is_slow = self.scan_sent is not None and (
            now - self.scan_sent > SLOW_SCAN_SECONDS
        )
        agrees = (
            (self.reachable_since is None or scan_is_slow)
            and self.membership.own_changes_scanned
            and (query.instance_id, query.incarnation) in known
        )
        if agrees:
            # The peer may go on as owner, so the takeover wait for its partitions
            # must start again after this answer (ownership.py).
            self.reachable_since = None
        rows, as_of = self._rows_after(query.after)
        answer = ViewAnswer(
            instance_id=self.membership.member.instance_id,
            incarnation=self.membership.member.incarnation,
            as_of=as_of,
            confirmed_age=_age(now, self.confirmed_at) if as_of == self.as_of else None,
            store_age=_age(now, self.store_seen_at) if as_of == self.as_of else None,
            agrees=agrees and as_of == self.as_of,
            members=tuple(known),
            rows=tuple((row.key, row.value, row.version) for row in rows),
        )
        return dict(msgspec.structs.asdict(answer))

    def _rows_after(self, after: int) -> tuple[list[Row], int]:
        """Return the rows changed after a version, and the version they reach.

        Stops at MAX_ANSWER_BYTES.
        """
        rows: list[Row] = []
        size = 0
        newer = (row for row in self.rows.values() if row.version > after)
        for row in sorted(newer, key=lambda row: row.version):
            size += len(row.key) + len(row.value or b"") + 16
            if size > MAX_ANSWER_BYTES:
                # Rows of one commit are sent together or not at all.
                complete = [r for r in rows if r.version < row.version]
                return complete, row.version - 1
            rows.append(row)
        return rows, self.as_of

    async def _query_peers(self) -> None:
        sent = self.clock.monotonic()
        own = identity(self.membership.member)
        asked = self.known_members()
        asked.pop(own, None)
        own_changes_scanned = self.membership.own_changes_scanned
        answers = await asyncio.gather(
            *(self._query_peer(member, sent) for member in asked.values())
        )
        agreed = (
            own_changes_scanned
            and self.reachable_since is None
            and self.is_registered()
            and self.store_seen_at is not None
            and sent - self.store_seen_at <= AGREEMENT_LIMIT_SECONDS
            and all(
                answer is not None
                and answer.agrees
                and answer.as_of <= self.as_of
                and set(answer.members) <= asked.keys() | {own}
                for answer in answers
            )
            # The answers may have added members that were not asked.
            and self.known_members().keys() <= asked.keys() | {own}
        )
        if agreed:
            self._confirm(sent)
            self.agreed_at = sent
        self.metrics.count("view_agreements", outcome="held" if agreed else "none")

    async def _query_peer(self, member: Member, sent: float) -> ViewAnswer | None:
        query = ViewQuery(*identity(self.membership.member), self.as_of)
        result = await self.network.call(
            member.instance_id,
            VIEW_QUERY,
            dict(msgspec.structs.asdict(query)),
            PEER_QUERY_SECONDS,
        )
        if isinstance(result, Failure):
            return None
        try:
            answer = msgspec.convert(result.unwrap(), ViewAnswer)
        except msgspec.ValidationError:
            self.metrics.count("view_answers_malformed")
            return None
        if (answer.instance_id, answer.incarnation) != identity(member):
            return None
        # The rows start after ``query.after``, which this view already includes.
        self._merge(
            (Row(key, value, version) for key, value, version in answer.rows),
            answer.as_of,
        )
        # The answer was made after ``sent``, so these times are never too late.
        if answer.confirmed_age is not None:
            self._confirm(sent - answer.confirmed_age)
        if answer.store_age is not None:
            seen = sent - answer.store_age
            self.store_seen_at = max(seen, self.store_seen_at or seen)
        return answer


def _age(now: float, at: float | None) -> float | None:
    return None if at is None else now - at


def create_view(
    table: TableService,
    network: Peers,
    membership: Membership,
    clock: Clock,
    metrics: Metrics,
) -> View:
    """Return an empty view that answers its peers' queries on ``network``."""
    return View(table, network, membership, clock, metrics)
