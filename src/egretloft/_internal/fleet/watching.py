"""Follows a table of the platform's store: reads a snapshot, then its changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.fleet.constants import (
    FEED_RETRY_SECONDS,
    FEED_WAIT_SECONDS,
    STORE_CALL_TIMEOUT_SECONDS,
)
from egretloft._internal.fleet.interfaces import (
    REREAD_FAILURES,
    FleetClock,
    RowPage,
    RowStore,
    StoredRow,
    StoreFailure,
)

log = structlog.get_logger(__name__)

# Appended to a key, gives the first key that sorts after it.
NEXT_KEY = "\0"

# Rows that were not confirmed for longer than this are to be confirmed at once.
PROMPT_AFTER_SECONDS = 1.5 * FEED_WAIT_SECONDS

SnapshotHandler = Callable[[tuple[StoredRow, ...]], None]
ChangeHandler = Callable[[tuple[StoredRow, ...]], None]


async def read_partition(
    store: RowStore, table: str, part: str, from_key: str = "", to_key: str = ""
) -> Result[RowPage, StoreFailure]:
    """Return the rows of a partition with ``from_key`` <= key < ``to_key``.

    An empty ``to_key`` sets no upper bound.

    The version is that of the first page, so that the feed repeats what changed while
    the other pages were read.
    """
    rows: list[StoredRow] = []
    version = 0
    start = from_key
    while True:
        result = await store.read(
            table, part, STORE_CALL_TIMEOUT_SECONDS, start, to_key
        )
        if isinstance(result, Failure):
            return result
        page = result.unwrap()
        version = version or page.version
        rows.extend(page.rows)
        if not page.has_more or not page.rows:
            return Success(RowPage(tuple(rows), version))
        start = page.rows[-1].key.key + NEXT_KEY


async def read_partitions(
    store: RowStore, table: str, parts: Sequence[str]
) -> Result[RowPage, StoreFailure]:
    """Return all rows of some partitions of a table.

    The version is the oldest of all partitions, so that the feed repeats what changed
    while the partitions were read.
    """
    results = await asyncio.gather(
        *(read_partition(store, table, part) for part in parts)
    )
    pages: list[RowPage] = []
    for result in results:
        if isinstance(result, Failure):
            return result
        pages.append(result.unwrap())
    rows = tuple(row for page in pages for row in page.rows)
    return Success(RowPage(rows, min(page.version for page in pages)))


class TableWatcher:
    """Follows one table and passes its rows to handlers.

    ``on_snapshot`` gets all rows of the partitions, ``on_change`` those that changed.
    """

    def __init__(
        self,
        store: RowStore,
        clock: FleetClock,
        table: str,
        parts: Sequence[str],
        on_snapshot: SnapshotHandler,
        on_change: ChangeHandler,
        pause_seconds: Callable[[], float],
        on_regained: Callable[[float], None],
    ) -> None:
        self.store = store
        self.clock = clock
        self.table = table
        self.parts = parts
        self.on_snapshot = on_snapshot
        self.on_change = on_change
        self.pause_seconds = pause_seconds
        self.on_regained = on_regained
        # The version to continue from; ``None`` if the table is to be read anew.
        self.version: int | None = None
        # The version up to which the handlers have got all rows.
        self.read_version = 0
        self.confirmed_at: float | None = None
        self.failing = False
        # When the first of the failing calls was made.
        self.failing_since = 0.0

    def staleness_seconds(self) -> float:
        """Return the seconds since the rows were last confirmed to be current."""
        if self.confirmed_at is None:
            return float("inf")
        return self.clock.boottime() - self.confirmed_at

    def wait_seconds(self) -> float:
        """Return how long the store may wait for a change before it answers.

        It answers at once if the rows have not been confirmed lately, as after a pause
        of the process or an outage of the store.
        """
        late = self.staleness_seconds() > PROMPT_AFTER_SECONDS
        return 0.0 if late else FEED_WAIT_SECONDS

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not await self.step():
                await asyncio.sleep(FEED_RETRY_SECONDS)
            elif self.pause_seconds():
                # Changes that arrive meanwhile are read together by the next call.
                await asyncio.sleep(self.pause_seconds())

    async def step(self) -> bool:
        """Read a snapshot or wait for changes once; return whether that succeeded."""
        asked_at = self.clock.boottime()
        wait = 0.0
        if self.version is None:
            result = await read_partitions(self.store, self.table, self.parts)
            handler = self.on_snapshot
        else:
            wait = self.wait_seconds()
            result = await self.store.feed(self.table, self.version, wait)
            handler = self.on_change
        if isinstance(result, Failure):
            self.on_failure(result.failure(), asked_at)
            return False
        page = result.unwrap()
        if self.failing:
            self.failing = False
            unreadable_for = self.clock.boottime() - self.failing_since
            log.info(
                "feed regained",
                table=self.table,
                version=page.version,
                seconds=round(unreadable_for, 3),
            )
            self.on_regained(unreadable_for)
        self.confirmed_at = asked_at
        if not page.rows and self.clock.boottime() >= asked_at + wait:
            # The store saw no change for all the time that it waited.
            self.confirmed_at += wait
        rows = tuple(row for row in page.rows if row.key.part in self.parts)
        if self.version is None or rows:
            handler(rows)
        self.version = self.read_version = page.version
        return True

    def on_failure(self, failure: StoreFailure, asked_at: float) -> None:
        """Read a new snapshot if the feed cannot go on; otherwise keep the version.

        ``asked_at`` is when the failed call was made.
        """
        if failure.kind in REREAD_FAILURES:
            log.info(
                "table read anew",
                table=self.table,
                version=self.version,
                why=failure.kind.value,
            )
            self.version = None
        elif not self.failing:
            self.failing = True
            self.failing_since = asked_at
            log.warning(
                "feed lost",
                table=self.table,
                version=self.version,
                error=failure.message,
            )


def create_table_watcher(
    store: RowStore,
    clock: FleetClock,
    table: str,
    parts: Sequence[str],
    on_snapshot: SnapshotHandler,
    on_change: ChangeHandler,
    pause_seconds: Callable[[], float] = lambda: 0.0,
    on_regained: Callable[[float], None] = lambda seconds: None,
) -> TableWatcher:
    """Return a watcher that has read nothing yet.

    ``pause_seconds`` returns the pause after each answer, which limits the call rate.
    ``on_regained`` is called before the handlers when the table can be read again, with
    the seconds for which it could not.
    """
    return TableWatcher(
        store, clock, table, parts, on_snapshot, on_change, pause_seconds, on_regained
    )
