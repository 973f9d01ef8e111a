"""The store by this instance's own path, or through a peer that reaches it.

Answers a store that turns some instances away while it serves the others. A call is
passed on only when nothing was done by the own path, so no write is made twice. While
no path works, calls are refused at once and a probe looks for the store's return.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.constants import FEED_ANSWER_SECONDS, STORE_CALL_SECONDS
from egretloft._internal.fleet.interfaces import (
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
# While the own path fails it is tried again this often.
PROBE_SECONDS = 0.4
PROBE_CALL_SECONDS = 0.5
# A delay counts for this long after the call that showed it.
DELAY_MEMORY_SECONDS = 2.0
# Peers that one call is passed to, one after the other.
RELAYS_PER_CALL = 2


class RelayAnswer(msgspec.Struct, array_like=True):
    """Answer of a peer: a page, a version, or a failure."""

    page: RowPage | None = None
    version: int | None = None
    failure: StoreFailure | None = None


class RelayRead(msgspec.Struct, array_like=True):
    """A read that is passed on."""

    table: str
    part: str
    from_key: str
    to_key: str


class RelayFeed(msgspec.Struct, array_like=True):
    """A wait for changes that is passed on."""

    table: str
    after_version: int
    wait_seconds: float


def refused(message: str) -> StoreFailure:
    """Return the failure of a call that had no effect."""
    return StoreFailure(StoreFailureKind.REFUSED, message)


class StoreAccess:
    """A ``RowStore`` that falls back to peers."""

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
        self.calls_begun: dict[int, float] = {}
        self.call_numbers = itertools.count()
        self.delays: deque[tuple[float, float]] = deque()
        peers.register(CALL_COMMIT, self.serve_commit)
        peers.register(CALL_READ, self.serve_read)
        peers.register(CALL_FEED, self.serve_feed)
        peers.heartbeat_sources.append(self.heartbeat)

    def delay_seconds(self) -> float:
        """Return how late the store's answers are, those that are due included."""
        now = self.clock.boottime()
        while self.delays and now - self.delays[0][0] > DELAY_MEMORY_SECONDS:
            self.delays.popleft()
        overdue = [now - due_at for due_at in self.calls_begun.values()]
        return max([0.0, *overdue, *(delay for _, delay in self.delays)])

    async def timed(
        self, call: Awaitable[Result[T, StoreFailure]], wait_seconds: float = 0.0
    ) -> Result[T, StoreFailure]:
        """Make a call by the own path and note how late its answer is."""
        number = next(self.call_numbers)
        due_at = self.clock.boottime() + wait_seconds
        self.calls_begun[number] = due_at
        try:
            result = await call
        finally:
            del self.calls_begun[number]
        now = self.clock.boottime()
        if not isinstance(result, Failure) and now > due_at:
            self.delays.append((now, now - due_at))
        return result

    def heartbeat(self) -> dict[str, Any]:
        """Tell the peers whether the own path works."""
        return {HEARTBEAT_STORE: self.direct_works and self.reached_at is not None}

    def peers_lack_store(self) -> bool:
        """Return whether peers are alive and none of them reaches the store."""
        alive = [peer for peer in self.peer_ids() if self.peers.is_alive(peer)]
        beats = [self.peers.last_heartbeat(peer) for peer in alive]
        return bool(beats) and not any(beat.get(HEARTBEAT_STORE) for beat in beats)

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        """Apply a transaction by the first path that works."""
        if self.direct_works:
            result = await self.timed(self.direct.commit(transaction, timeout_seconds))
            if not self.note(result) or not self.relays():
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
        """Read by the first path that works."""
        if self.direct_works:
            result = await self.timed(
                self.direct.read(table, part, timeout_seconds, from_key, to_key)
            )
            if not self.note(result) or not self.relays():
                return result
        request = RelayRead(table, part, from_key, to_key)
        return page_of(await self.relay(CALL_READ, request, timeout_seconds))

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        """Wait for changes by the first path that works."""
        if self.direct_works:
            result = await self.timed(
                self.direct.feed(table, after_version, wait_seconds), wait_seconds
            )
            if not self.note(result) or not self.relays():
                return result
        request = RelayFeed(table, after_version, wait_seconds)
        timeout = wait_seconds + FEED_ANSWER_SECONDS
        return page_of(await self.relay(CALL_FEED, request, timeout))

    def relays(self) -> list[str]:
        """Return the peers that say that they reach the store."""
        return [
            peer
            for peer in self.peer_ids()
            if self.peers.is_alive(peer)
            and self.peers.last_heartbeat(peer).get(HEARTBEAT_STORE)
        ]

    def note(self, result: Result[Any, StoreFailure]) -> bool:
        """Record whether the own path works; return whether it failed."""
        failed = isinstance(result, Failure) and result.failure().kind in (
            StoreFailureKind.REFUSED,
            StoreFailureKind.UNKNOWN,
        )
        if failed and self.direct_works:
            self.direct_works = False
            log.warning("store lost", error=result.failure().message)
            self.metrics.count("store_path_losses")
        elif not failed:
            self.set_direct_works()
        return failed

    def set_direct_works(self) -> None:
        """Record a success of the own path."""
        self.reached_at = self.clock.boottime()
        if not self.direct_works:
            self.direct_works = True
            log.info("store regained")

    async def probe(self) -> None:
        """Try the own path again while it does not work."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            if self.direct_works:
                continue
            result = await self.direct.read("control", "", PROBE_CALL_SECONDS, "", "0")
            if not isinstance(result, Failure):
                self.set_direct_works()

    async def relay(
        self, call: str, request: Any, timeout_seconds: float, is_write: bool = False
    ) -> RelayAnswer:
        """Pass a call on to peers; a write goes to a second one only if unsent."""
        body = {"request": msgspec.msgpack.encode(request)}
        last = RelayAnswer(failure=refused("no peer reaches the store"))
        for peer in self.relays()[:RELAYS_PER_CALL]:
            self.metrics.count("store_relays", call=call)
            result = await self.peers.call(peer, call, body, timeout_seconds)
            if isinstance(result, Failure):
                failure = result.failure()
                known = failure.kind is PeerFailureKind.NOT_SENT
                kind = StoreFailureKind.REFUSED if known else StoreFailureKind.UNKNOWN
                last = RelayAnswer(failure=StoreFailure(kind, failure.message))
            else:
                last = msgspec.msgpack.decode(
                    result.unwrap()["answer"], type=RelayAnswer
                )
            if last.failure is None:
                self.reached_at = self.clock.boottime()
                return last
            kind = last.failure.kind
            if kind in (StoreFailureKind.CONFLICT, StoreFailureKind.HISTORY_LOST):
                return last
            if is_write and kind is StoreFailureKind.UNKNOWN:
                return last
        return last

    async def serve_commit(self, peer: str, body: dict[str, Any]) -> dict[str, Any]:
        """Apply a peer's transaction by the own path."""
        request = msgspec.msgpack.decode(body["request"], type=RowTransaction)
        result = await self.direct.commit(request, STORE_CALL_SECONDS)
        self.note(result)
        if isinstance(result, Failure):
            return packed(RelayAnswer(failure=result.failure()))
        return packed(RelayAnswer(version=result.unwrap()))

    async def serve_read(self, peer: str, body: dict[str, Any]) -> dict[str, Any]:
        """Read for a peer by the own path."""
        request = msgspec.msgpack.decode(body["request"], type=RelayRead)
        result = await self.direct.read(
            request.table,
            request.part,
            STORE_CALL_SECONDS,
            request.from_key,
            request.to_key,
        )
        return self.packed_page(result)

    async def serve_feed(self, peer: str, body: dict[str, Any]) -> dict[str, Any]:
        """Wait for changes for a peer by the own path."""
        request = msgspec.msgpack.decode(body["request"], type=RelayFeed)
        result = await self.direct.feed(
            request.table, request.after_version, request.wait_seconds
        )
        return self.packed_page(result)

    def packed_page(self, result: Result[RowPage, StoreFailure]) -> dict[str, Any]:
        """Return the answer to a read for a peer."""
        self.note(result)
        if isinstance(result, Failure):
            return packed(RelayAnswer(failure=result.failure()))
        return packed(RelayAnswer(page=result.unwrap()))


def packed(answer: RelayAnswer) -> dict[str, Any]:
    """Return the body of a peer call's answer."""
    return {"answer": msgspec.msgpack.encode(answer)}


def page_of(answer: RelayAnswer) -> Result[RowPage, StoreFailure]:
    """Return the page that a peer read."""
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
    """Return access to the store with a fallback to peers."""
    return StoreAccess(direct, peers, peer_ids, clock, metrics)
