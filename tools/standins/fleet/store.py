"""A transactional row store with a feed, and clients of it that may fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from egretloft._internal.fleet.interfaces import (
    RowKey,
    RowPage,
    RowTransaction,
    StoredRow,
    StoreFailure,
    StoreFailureKind,
)

CALL_SECONDS = 0.004
# A partition applies one transaction after the other, and refuses them while more than
# this much of them waits.
TRANSACTION_SECONDS = 0.005
LONGEST_QUEUE_SECONDS = 1.0
PAGE_ROWS = 500
# Timers fire this much early, as the loop compares times with a resolution.
TIME_RESOLUTION_SECONDS = 1e-6
LATE_WRITE_SECONDS = (1.0, 6.0)


class StoreMode(StrEnum):
    """How the store treats a client."""

    WORKS = "works"
    REFUSES = "refuses"
    SILENT = "silent"


class EmulatedStore:
    """The rows of all tables, with one counter of versions."""

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.history: list[StoredRow] = []
        self.history_from = 0
        self.changed = asyncio.Event()
        self.mode = StoreMode.WORKS
        self.slowness = 1.0
        self.lost_share = 0.0
        self.late = False
        self.calls = 0
        self.feeds_deaf = False
        self.busy_until: dict[str, float] = {}

    def queue_seconds(self, transaction: RowTransaction) -> float | None:
        """Take a turn at the transaction's partition; ``None`` if too many wait."""
        now = asyncio.get_running_loop().time()
        part = transaction.writes[0][0].part
        begins = max(now, self.busy_until.get(part, 0.0))
        if begins - now > LONGEST_QUEUE_SECONDS:
            return None
        self.busy_until[part] = begins + TRANSACTION_SECONDS * self.slowness
        return self.busy_until[part] - now

    def get(self, key: RowKey) -> StoredRow:
        """Return a row; an absent one has version 0."""
        return self.rows.get(key, StoredRow(key, None, 0))

    def apply(self, transaction: RowTransaction) -> Result[int, StoreFailure]:
        """Apply a transaction, all or nothing."""
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
        """Write a row of the operators or the targets."""
        row_key = RowKey(table, "", key)
        self.apply(RowTransaction((), ((row_key, value),)))

    def forget_history(self) -> None:
        """Drop all changes so far; feeds that are behind have to start over."""
        self.history.clear()
        self.history_from = self.version
        self.changed.set()
        self.changed = asyncio.Event()


async def never() -> None:
    """Wait without end, as a call to a silent store does."""
    await asyncio.get_running_loop().create_future()


async def at_once() -> None:
    """Hold nothing up."""


def refused(message: str) -> StoreFailure:
    """Return the failure of a call that did nothing."""
    return StoreFailure(StoreFailureKind.REFUSED, message)


def unknown(message: str) -> StoreFailure:
    """Return the failure of a call without an answer."""
    return StoreFailure(StoreFailureKind.UNKNOWN, message)


@dataclass(slots=True)
class StoreClient:
    """One instance's path to the store; ``gate`` holds it up while it is frozen."""

    store: EmulatedStore
    mode: StoreMode = StoreMode.WORKS
    gate: Callable[[], Awaitable[None]] = at_once
    late_writes: set[asyncio.Task[None]] = field(default_factory=set)

    async def begin(self, timeout_seconds: float) -> StoreFailure | None:
        """Spend the way to the store; return why the call does nothing."""
        await self.gate()
        store = self.store
        store.calls += 1
        modes = (self.mode, store.mode)
        if StoreMode.SILENT in modes:
            await asyncio.sleep(timeout_seconds)
            return unknown("no answer")
        way = CALL_SECONDS * store.slowness / 2
        if way > timeout_seconds:
            await asyncio.sleep(timeout_seconds)
            return unknown("no answer in time")
        await asyncio.sleep(way)
        if StoreMode.REFUSES in modes:
            return refused("503")
        return None

    async def finish(self) -> None:
        """Spend the way back."""
        await asyncio.sleep(CALL_SECONDS * self.store.slowness / 2)
        await self.gate()

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        """Apply a transaction, unless a fault is in force."""
        failure = await self.begin(timeout_seconds)
        if failure is not None:
            return Failure(failure)
        store = self.store
        waits = store.queue_seconds(transaction)
        if waits is None:
            return Failure(refused("429"))
        if waits > timeout_seconds:
            task = asyncio.create_task(self.apply_after(transaction, waits))
            self.late_writes.add(task)
            task.add_done_callback(self.late_writes.discard)
            await asyncio.sleep(timeout_seconds)
            return Failure(unknown("no answer in time"))
        await asyncio.sleep(waits)
        if store.lost_share and store.generator.random() < store.lost_share:
            task = asyncio.create_task(self.apply_late(transaction))
            self.late_writes.add(task)
            task.add_done_callback(self.late_writes.discard)
            await asyncio.sleep(timeout_seconds)
            return Failure(unknown("the answer was lost"))
        result = store.apply(transaction)
        await self.finish()
        return result

    async def apply_after(self, transaction: RowTransaction, seconds: float) -> None:
        """Apply a write whose caller does not wait for it."""
        await asyncio.sleep(seconds)
        self.store.apply(transaction)

    async def apply_late(self, transaction: RowTransaction) -> None:
        """Apply a write whose answer is lost, at once or seconds later."""
        if self.store.late:
            await asyncio.sleep(self.store.generator.uniform(*LATE_WRITE_SECONDS))
        self.store.apply(transaction)

    async def read(
        self,
        table: str,
        part: str,
        timeout_seconds: float,
        from_key: str = "",
        to_key: str = "",
    ) -> Result[RowPage, StoreFailure]:
        """Return rows of one moment."""
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
        await self.finish()
        return Success(page)

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        """Return changes as soon as there is one."""
        failure = await self.begin(wait_seconds)
        if failure is not None:
            return Failure(failure)
        store = self.store
        until = asyncio.get_running_loop().time() + wait_seconds
        while True:
            if after_version < store.history_from:
                lost = StoreFailure(StoreFailureKind.HISTORY_LOST, "gone")
                return Failure(lost)
            rows = self.changes(table, after_version)
            left = until - asyncio.get_running_loop().time()
            if (rows and not store.feeds_deaf) or left <= TIME_RESOLUTION_SECONDS:
                page = RowPage(
                    rows, store.version if not store.feeds_deaf else after_version
                )
                await self.finish()
                return Success(page)
            changed = store.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def changes(self, table: str, after_version: int) -> tuple[StoredRow, ...]:
        """Return the newest change of each row since a version."""
        if self.store.feeds_deaf:
            return ()
        newest = {
            row.key: row
            for row in self.store.history
            if row.key.table == table and row.version > after_version
        }
        return tuple(sorted(newest.values(), key=lambda row: row.version))
