"""Emulated transactional row store with a change feed, and clients with faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from egretloft._internal.fleet.constants import FEED_TIMEOUT_SECONDS
from egretloft._internal.fleet.interfaces import (
    RowKey,
    RowPage,
    RowTransaction,
    StoredRow,
    StoreFailure,
    StoreFailureKind,
)

ROUND_TRIP_SECONDS = 0.004
# A partition applies one transaction at a time, and refuses new ones while its backlog
# is longer than ``MAX_QUEUE_SECONDS``.
TRANSACTION_SECONDS = 0.005
MAX_QUEUE_SECONDS = 1.0
# Conditions and writes of one transaction.
MAX_TRANSACTION_ENTRIES = 100
PAGE_ROWS = 500
# Timers may fire this much early, because the event loop rounds to its clock's
# resolution.
TIME_RESOLUTION_SECONDS = 1e-6
LATE_WRITE_DELAY_SECONDS = (1.0, 6.0)


class StoreMode(StrEnum):
    """How the store answers a client."""

    WORKS = "works"
    REFUSES = "refuses"
    SILENT = "silent"


class EmulatedStore:
    """Rows of all tables, with a single version counter.

    ``slowness`` multiplies the durations of calls and transactions.
    ``lost_answer_share`` is the share of commits that are applied but not answered;
    with ``delays_lost_commits`` these are applied seconds later. ``feeds_stalled``
    makes feeds return no changes.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.history: list[StoredRow] = []
        self.history_from = 0
        self.changed = asyncio.Event()
        self.mode = StoreMode.WORKS
        self.slowness = 1.0
        self.lost_answer_share = 0.0
        self.delays_lost_commits = False
        self.calls = 0
        self.feeds_stalled = False
        self.busy_until: dict[str, float] = {}

    def enqueue(self, transaction: RowTransaction) -> float | None:
        """Queue a transaction at its partition; return the seconds until it is applied.

        Returns ``None``, and queues nothing, if the backlog is too long.
        """
        now = asyncio.get_running_loop().time()
        part = transaction.writes[0][0].part
        begins = max(now, self.busy_until.get(part, 0.0))
        if begins - now > MAX_QUEUE_SECONDS:
            return None
        self.busy_until[part] = begins + TRANSACTION_SECONDS * self.slowness
        return self.busy_until[part] - now

    def get(self, key: RowKey) -> StoredRow:
        """Return a row, with version 0 and no value if it is absent."""
        return self.rows.get(key, StoredRow(key, None, 0))

    def apply(self, transaction: RowTransaction) -> Result[int, StoreFailure]:
        """Apply a transaction atomically and return the new version.

        Fails with the current rows if an expected version differs.
        """
        current = tuple(self.get(e.key) for e in transaction.expectations)
        for expectation, row in zip(transaction.expectations, current, strict=True):
            if expectation.version != row.version:
                return Failure(
                    StoreFailure(StoreFailureKind.CONFLICT, "conflict", current)
                )
        self.version += 1
        for key, value in transaction.writes:
            row = StoredRow(key, value, self.version)
            self.history.append(row)
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        self.changed.set()
        self.changed = asyncio.Event()
        return Success(self.version)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or, with ``None``, delete a row unconditionally."""
        row_key = RowKey(table, "", key)
        self.apply(RowTransaction((), ((row_key, value),)))

    def forget_history(self) -> None:
        """Drop the change history; feeds that are behind must read the table again."""
        self.history.clear()
        self.history_from = self.version
        self.changed.set()
        self.changed = asyncio.Event()


async def never() -> None:
    """Wait forever, as a call to a store that never answers does."""
    await asyncio.get_running_loop().create_future()


async def return_at_once() -> None:
    """Return at once, for a client that is never frozen."""


def never_cut_off() -> bool:
    """Return whether a client that is never cut off is cut off."""
    return False


def refused(message: str) -> StoreFailure:
    """Return the failure of a call that had no effect."""
    return StoreFailure(StoreFailureKind.REFUSED, message)


def unknown(message: str) -> StoreFailure:
    """Return the failure of a call whose outcome is unknown."""
    return StoreFailure(StoreFailureKind.UNKNOWN, message)


@dataclass(slots=True)
class StoreClient:
    """Store client of one instance.

    ``wait_until_thawed`` blocks while the instance is frozen, and no call is answered
    while ``is_cut_off`` holds. Feeds of ``silent_tables`` get no answer.
    """

    store: EmulatedStore
    mode: StoreMode = StoreMode.WORKS
    silent_tables: set[str] = field(default_factory=set)
    wait_until_thawed: Callable[[], Awaitable[None]] = return_at_once
    is_cut_off: Callable[[], bool] = never_cut_off
    late_writes: set[asyncio.Task[None]] = field(default_factory=set)

    async def begin(self, timeout_seconds: float) -> StoreFailure | None:
        """Wait until the request reaches the store; return the failure if it fails."""
        await self.wait_until_thawed()
        store = self.store
        store.calls += 1
        modes = (self.mode, store.mode)
        if StoreMode.SILENT in modes or self.is_cut_off():
            await asyncio.sleep(timeout_seconds)
            return unknown("no answer")
        one_way_delay = ROUND_TRIP_SECONDS * store.slowness / 2
        if one_way_delay > timeout_seconds:
            await asyncio.sleep(timeout_seconds)
            return unknown("no answer in time")
        await asyncio.sleep(one_way_delay)
        if StoreMode.REFUSES in modes:
            return refused("503")
        return None

    async def finish(self, timeout_seconds: float) -> StoreFailure | None:
        """Wait for the answer to reach the client; return the failure if it is lost."""
        if self.is_cut_off():
            await asyncio.sleep(timeout_seconds)
            return unknown("cut off")
        await asyncio.sleep(ROUND_TRIP_SECONDS * self.store.slowness / 2)
        await self.wait_until_thawed()
        return None

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        """Commit a transaction, subject to the faults of the client and the store."""
        failure = await self.begin(timeout_seconds)
        if failure is not None:
            return Failure(failure)
        entries = len(transaction.expectations) + len(transaction.writes)
        if entries > MAX_TRANSACTION_ENTRIES:
            return Failure(refused("400"))
        store = self.store
        queue_delay = store.enqueue(transaction)
        if queue_delay is None:
            return Failure(refused("429"))
        if queue_delay > timeout_seconds:
            task = asyncio.create_task(self.apply_after(transaction, queue_delay))
            self.late_writes.add(task)
            task.add_done_callback(self.late_writes.discard)
            await asyncio.sleep(timeout_seconds)
            return Failure(unknown("no answer in time"))
        await asyncio.sleep(queue_delay)
        if (
            store.lost_answer_share
            and store.generator.random() < store.lost_answer_share
        ):
            task = asyncio.create_task(self.apply_late(transaction))
            self.late_writes.add(task)
            task.add_done_callback(self.late_writes.discard)
            await asyncio.sleep(timeout_seconds)
            return Failure(unknown("the answer was lost"))
        result = store.apply(transaction)
        lost = await self.finish(timeout_seconds)
        return result if lost is None else Failure(lost)

    async def apply_after(self, transaction: RowTransaction, seconds: float) -> None:
        """Apply a transaction after its caller has timed out."""
        await asyncio.sleep(seconds)
        self.store.apply(transaction)

    async def apply_late(self, transaction: RowTransaction) -> None:
        """Apply a transaction whose answer is lost, at once or seconds later."""
        if self.store.delays_lost_commits:
            await asyncio.sleep(self.store.generator.uniform(*LATE_WRITE_DELAY_SECONDS))
        self.store.apply(transaction)

    async def read(
        self,
        table: str,
        part: str,
        timeout_seconds: float,
        from_key: str = "",
        to_key: str = "",
    ) -> Result[RowPage, StoreFailure]:
        """Return a page of a partition's rows, all at the same version.

        ``from_key`` is inclusive and ``to_key`` exclusive; empty means no bound.
        """
        failure = await self.begin(timeout_seconds)
        if failure is not None:
            return Failure(failure)
        rows = sorted(
            (
                row
                for key, row in self.store.rows.items()
                if key.table == table
                and key.part == part
                and key.key >= from_key
                and (not to_key or key.key < to_key)
            ),
            key=lambda row: row.key.key,
        )
        page = RowPage(
            tuple(rows[:PAGE_ROWS]), self.store.version, len(rows) > PAGE_ROWS
        )
        lost = await self.finish(timeout_seconds)
        return Success(page) if lost is None else Failure(lost)

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        """Return the changes after a version; wait up to ``wait_seconds`` for one."""
        timeout_seconds = wait_seconds + FEED_TIMEOUT_SECONDS
        failure = await self.begin(timeout_seconds)
        if failure is not None:
            return Failure(failure)
        if table in self.silent_tables:
            await asyncio.sleep(timeout_seconds)
            return Failure(unknown("no answer"))
        store = self.store
        until = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if after_version < store.history_from:
                lost = StoreFailure(StoreFailureKind.HISTORY_LOST, "gone")
                return Failure(lost)
            rows = self.changes(table, after_version)
            left = until - asyncio.get_running_loop().time()
            if (rows and not store.feeds_stalled) or left <= TIME_RESOLUTION_SECONDS:
                page = RowPage(
                    rows, store.version if not store.feeds_stalled else after_version
                )
                lost = await self.finish(FEED_TIMEOUT_SECONDS)
                return Success(page) if lost is None else Failure(lost)
            changed = store.changed
            # Not asyncio.wait_for, which swallows a cancellation that arrives as the
            # wait ends.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def changes(self, table: str, after_version: int) -> tuple[StoredRow, ...]:
        """Return all changes after a version in order, also several of one row."""
        if self.store.feeds_stalled:
            return ()
        return tuple(
            row
            for row in self.store.history
            if row.key.table == table and row.version > after_version
        )
