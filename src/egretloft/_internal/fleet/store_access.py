"""Access to the store, directly or relayed by a peer.

The store may refuse some instances while it serves others. A write is relayed only if
the direct call certainly had no effect, so that no write is made twice. While neither
works, calls fail at once, and a probe checks whether the store is reachable again.
"""

from __future__ import annotations

import asyncio
import itertools
import zlib
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.codec import UNREADABLE
from egretloft._internal.fleet.constants import (
    FEED_TIMEOUT_SECONDS,
    STORE_CALL_TIMEOUT_SECONDS,
)
from egretloft._internal.fleet.interfaces import (
    REREAD_FAILURES,
    FleetClock,
    RowPage,
    RowStore,
    RowTransaction,
    StoreFailure,
    StoreFailureKind,
)
from egretloft._internal.metrics import Metrics
from egretloft._internal.peers.protocols import PeerFailureKind, Peers

T = TypeVar("T")

log = structlog.get_logger(__name__)

CALL_COMMIT = "store_commit"
CALL_READ = "store_read"
CALL_FEED = "store_feed"
HEARTBEAT_STORE = "store"
# While direct calls fail, the store is probed this often.
PROBE_SECONDS = 0.4
PROBE_TIMEOUT_SECONDS = 0.5
# An observed delay counts for this long after its call.
DELAY_WINDOW_SECONDS = 2.0
# A call is relayed to at most this many peers, one after the other.
RELAYS_PER_CALL = 2
# A relayed answer to a read may take this much longer than the call, as the peer has to
# receive a large page first. A peer that dies meanwhile is noticed by its silence.
RELAY_TRANSFER_SECONDS = 10.0
# Larger answers are compressed: a frame and a slow link hold only so much.
COMPRESS_FROM_BYTES = 16 * 1024
COMPRESSION_LEVEL = 1
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Keys of the bodies of relayed calls and of their answers.
KEY_REQUEST = "request"
KEY_ACCEPTS_COMPRESSED = "accepts_compressed"
KEY_ANSWER = "answer"
KEY_COMPRESSED_ANSWER = "compressed_answer"


class RelayAnswer(msgspec.Struct, array_like=True):
    """Answer of a peer: the page of a read, the version of a commit, or a failure."""

    page: RowPage | None = None
    version: int | None = None
    failure: StoreFailure | None = None


class RelayRead(msgspec.Struct, array_like=True):
    """A read to be relayed."""

    table: str
    part: str
    from_key: str
    to_key: str


class RelayFeed(msgspec.Struct, array_like=True):
    """A feed call to be relayed."""

    table: str
    after_version: int
    wait_seconds: float


def refused(message: str) -> StoreFailure:
    """Return the failure of a call that had no effect."""
    return StoreFailure(StoreFailureKind.REFUSED, message)


class StoreAccess:
    """A ``RowStore`` that relays calls through peers while direct calls fail."""

    def __init__(
        self,
        direct: RowStore,
        peers: Peers,
        peer_ids: Callable[[], list[str]],
        clock: FleetClock,
        metrics: Metrics,
    ) -> None:
        self.direct = direct
        self.peers = peers
        self.peer_ids = peer_ids
        self.clock = clock
        self.metrics = metrics
        self.direct_works = True
        self.reached_at: float | None = None
        self.lost_at = 0.0
        self.pending_due_at: dict[int, float] = {}
        self.call_numbers = itertools.count()
        self.delays: deque[tuple[float, float]] = deque()
        peers.register(CALL_COMMIT, self.serve_commit)
        peers.register(CALL_READ, self.serve_read)
        peers.register(CALL_FEED, self.serve_feed)
        peers.heartbeat_sources.append(self.heartbeat)

    def delay_seconds(self) -> float:
        """Return how many seconds late the store's answers are.

        This is the largest delay of the recent direct calls and of those in flight.
        """
        now = self.clock.boottime()
        while self.delays and now - self.delays[0][0] > DELAY_WINDOW_SECONDS:
            self.delays.popleft()
        overdue = [now - due_at for due_at in self.pending_due_at.values()]
        return max([0.0, *overdue, *(delay for _, delay in self.delays)])

    def outage_seconds(self) -> float | None:
        """Return how long direct calls have failed, or ``None`` while they work."""
        if self.direct_works:
            return None
        return self.clock.boottime() - self.lost_at

    async def timed(
        self, call: Awaitable[Result[T, StoreFailure]], wait_seconds: float = 0.0
    ) -> Result[T, StoreFailure]:
        """Make a direct call and record how late its answer is.

        ``wait_seconds`` is how long the store may wait before it answers.
        """
        number = next(self.call_numbers)
        due_at = self.clock.boottime() + wait_seconds
        self.pending_due_at[number] = due_at
        try:
            result = await call
        finally:
            del self.pending_due_at[number]
        now = self.clock.boottime()
        if not isinstance(result, Failure) and now > due_at:
            self.delays.append((now, now - due_at))
        return result

    def heartbeat(self) -> dict[str, Any]:
        """Return the heartbeat entry that tells peers whether direct calls work."""
        return {HEARTBEAT_STORE: not self.is_lost()}

    def is_lost(self) -> bool:
        """Return whether direct calls fail, or none has succeeded yet."""
        return not self.direct_works or self.reached_at is None

    def peers_lack_store(self) -> bool:
        """Return whether at least one peer is alive and no live peer reaches the store.

        A peer that is not heard from may reach it all the same.
        """
        alive = [peer for peer in self.peer_ids() if self.peers.is_alive(peer)]
        heartbeats = [self.peers.last_heartbeat(peer) for peer in alive]
        heartbeats += self.peers.inbound_heartbeats()
        return bool(heartbeats) and not any(h.get(HEARTBEAT_STORE) for h in heartbeats)

    def silent_members(self) -> set[str]:
        """Return the other instances that were not heard from recently."""
        return set(self.peer_ids()) - self.peers.alive_ids()

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        """Apply a transaction directly or through a peer.

        It is not relayed if the outcome of the direct call is unknown.
        """
        if self.direct_works:
            result = await self.timed(self.direct.commit(transaction, timeout_seconds))
            if not self.record_result(result) or not self.relay_peers():
                return result
            if result.failure().kind is StoreFailureKind.UNKNOWN:
                return result
        answer = await self.relay(
            CALL_COMMIT, transaction, timeout_seconds, is_write=True
        )
        if answer.failure is not None or answer.version is None:
            return Failure(answer.failure or refused("no relay"))
        return Success(answer.version)

    async def read(
        self,
        table: str,
        part: str,
        timeout_seconds: float,
        from_key: str = "",
        to_key: str = "",
    ) -> Result[RowPage, StoreFailure]:
        """Read rows directly or through a peer."""
        if self.direct_works:
            result = await self.timed(
                self.direct.read(table, part, timeout_seconds, from_key, to_key)
            )
            if not self.record_result(result) or not self.relay_peers():
                return result
        request = RelayRead(table, part, from_key, to_key)
        timeout = timeout_seconds + RELAY_TRANSFER_SECONDS
        return page_of(await self.relay(CALL_READ, request, timeout))

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        """Wait for changes directly or through a peer."""
        if self.direct_works:
            result = await self.timed(
                self.direct.feed(table, after_version, wait_seconds), wait_seconds
            )
            if not self.record_result(result) or not self.relay_peers():
                return result
        request = RelayFeed(table, after_version, wait_seconds)
        timeout = wait_seconds + FEED_TIMEOUT_SECONDS + RELAY_TRANSFER_SECONDS
        return page_of(await self.relay(CALL_FEED, request, timeout))

    def relay_peers(self) -> list[str]:
        """Return the live peers that report that they reach the store."""
        return [
            peer
            for peer in self.peer_ids()
            if self.peers.is_alive(peer)
            and self.peers.last_heartbeat(peer).get(HEARTBEAT_STORE)
        ]

    def record_result(self, result: Result[Any, StoreFailure]) -> bool:
        """Record whether direct calls work; return whether this one failed.

        Conflicts and ``REREAD_FAILURES`` are answers of a store that works.
        """
        failed = isinstance(result, Failure) and result.failure().kind in (
            StoreFailureKind.REFUSED,
            StoreFailureKind.UNKNOWN,
        )
        if failed and self.direct_works:
            self.direct_works = False
            self.lost_at = self.clock.boottime()
            log.warning("store lost", error=result.failure().message)
            self.metrics.count("store_path_losses")
        elif not failed:
            self.on_direct_success()
        return failed

    def on_direct_success(self) -> None:
        """Record that the store answered a direct call."""
        self.reached_at = self.clock.boottime()
        if not self.direct_works:
            self.direct_works = True
            log.info("store regained")

    async def probe(self) -> None:
        """Periodically try a direct read while direct calls fail."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            if self.direct_works:
                continue
            result = await self.direct.read(
                "control", "", PROBE_TIMEOUT_SECONDS, "", "0"
            )
            if not isinstance(result, Failure):
                self.on_direct_success()

    async def relay(
        self, call: str, request: Any, timeout_seconds: float, is_write: bool = False
    ) -> RelayAnswer:
        """Relay a call through up to ``RELAYS_PER_CALL`` peers.

        A write is relayed again only if the last attempt certainly had no effect.
        """
        body = {
            KEY_REQUEST: msgspec.msgpack.encode(request),
            KEY_ACCEPTS_COMPRESSED: True,
        }
        last = RelayAnswer(failure=refused("no peer reaches the store"))
        for peer in self.relay_peers()[:RELAYS_PER_CALL]:
            self.metrics.count("store_relays", call=call)
            result = await self.peers.call(peer, call, body, timeout_seconds)
            if isinstance(result, Failure):
                failure = result.failure()
                unsent = failure.kind is PeerFailureKind.NOT_SENT
                kind = StoreFailureKind.REFUSED if unsent else StoreFailureKind.UNKNOWN
                last = RelayAnswer(failure=StoreFailure(kind, failure.message))
            else:
                last = decode_answer(result.unwrap())
            if last.failure is None:
                self.reached_at = self.clock.boottime()
                return last
            kind = last.failure.kind
            if kind is StoreFailureKind.CONFLICT or kind in REREAD_FAILURES:
                return last
            if is_write and kind is StoreFailureKind.UNKNOWN:
                return last
        return last

    async def serve_commit(self, peer: str, body: dict[str, Any]) -> dict[str, Any]:
        """Apply a peer's transaction directly."""
        request = msgspec.msgpack.decode(body[KEY_REQUEST], type=RowTransaction)
        result = await self.direct.commit(request, STORE_CALL_TIMEOUT_SECONDS)
        self.record_result(result)
        if isinstance(result, Failure):
            return encode_answer(RelayAnswer(failure=result.failure()), body)
        return encode_answer(RelayAnswer(version=result.unwrap()), body)

    async def serve_read(self, peer: str, body: dict[str, Any]) -> dict[str, Any]:
        """Read directly for a peer."""
        request = msgspec.msgpack.decode(body[KEY_REQUEST], type=RelayRead)
        result = await self.direct.read(
            request.table,
            request.part,
            STORE_CALL_TIMEOUT_SECONDS,
            request.from_key,
            request.to_key,
        )
        return self.encode_page(result, body)

    async def serve_feed(self, peer: str, body: dict[str, Any]) -> dict[str, Any]:
        """Wait directly for changes for a peer."""
        request = msgspec.msgpack.decode(body[KEY_REQUEST], type=RelayFeed)
        result = await self.direct.feed(
            request.table, request.after_version, request.wait_seconds
        )
        return self.encode_page(result, body)

    def encode_page(
        self, result: Result[RowPage, StoreFailure], call: dict[str, Any]
    ) -> dict[str, Any]:
        """Record the result of a direct read and encode it for a peer's ``call``."""
        self.record_result(result)
        if isinstance(result, Failure):
            return encode_answer(RelayAnswer(failure=result.failure()), call)
        return encode_answer(RelayAnswer(page=result.unwrap()), call)


def encode_answer(answer: RelayAnswer, call: dict[str, Any]) -> dict[str, Any]:
    """Return the body of the answer to a peer's ``call``.

    A large answer is compressed if the caller can read that; an instance of an earlier
    release cannot.
    """
    data = msgspec.msgpack.encode(answer)
    if len(data) < COMPRESS_FROM_BYTES or not call.get(KEY_ACCEPTS_COMPRESSED):
        return {KEY_ANSWER: data}
    return {KEY_COMPRESSED_ANSWER: zlib.compress(data, COMPRESSION_LEVEL)}


def decode_answer(body: dict[str, Any]) -> RelayAnswer:
    """Return a peer's answer; one that cannot be read has an unknown outcome."""
    try:
        data = body.get(KEY_ANSWER)
        if data is None:
            data = decompress(body[KEY_COMPRESSED_ANSWER])
        return msgspec.msgpack.decode(data, type=RelayAnswer)
    except (*UNREADABLE, zlib.error, LookupError, TypeError) as error:
        message = f"the peer's answer is unreadable: {error}"
        return RelayAnswer(failure=StoreFailure(StoreFailureKind.UNKNOWN, message))


def decompress(data: bytes) -> bytes:
    """Return decompressed data; raises ``zlib.error`` beyond ``MAX_ANSWER_BYTES``."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, MAX_ANSWER_BYTES)
    if not decompressor.eof:
        raise zlib.error("incomplete or too large")
    return decompressed


def page_of(answer: RelayAnswer) -> Result[RowPage, StoreFailure]:
    """Return the page of a peer's answer, or its failure."""
    if answer.failure is not None or answer.page is None:
        return Failure(answer.failure or refused("no relay"))
    return Success(answer.page)


def create_store_access(
    direct: RowStore,
    peers: Peers,
    peer_ids: Callable[[], list[str]],
    clock: FleetClock,
    metrics: Metrics,
) -> StoreAccess:
    """Return access to the store.

    ``peer_ids`` returns the instances to relay through, the preferred ones first.
    """
    return StoreAccess(direct, peers, peer_ids, clock, metrics)
