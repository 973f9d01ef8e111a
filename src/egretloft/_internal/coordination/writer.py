"""Writes to the table service whose outcome survives lost answers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.platform.protocols import (
    Check,
    Clock,
    Committed,
    Row,
    StoreFailure,
    StoreFailureKind,
    TableService,
    Transaction,
    Write,
)

FIRST_RETRY_SECONDS = 0.05
LAST_RETRY_SECONDS = 1.0
# Number of operation ids that the table service keeps with a row.
REMEMBERED_OPERATIONS = 8

CommitResult = Result[Committed, StoreFailure]


@dataclass(slots=True)
class Progress:
    """Whether an attempt of a transaction may have taken effect."""

    uncertain: bool = False


def creates_rows(transaction: Transaction) -> bool:
    """Return whether every written row that is checked must be absent."""
    written = {write.key for write in transaction.writes}
    return not any(c.version for c in transaction.checks if c.key in written)


class SafeWriter:
    """Commits transactions and learns the outcome of its own lost answers.

    ``highest_version`` is the highest store version of a commit made here.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.generator = generator
        self.highest_version = 0

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> CommitResult:
        """Apply ``writes`` at most once, if all ``checks`` hold.

        A ``Committed`` version of 0 means that the transaction took effect, but
        that all its rows have been written again since. ``NOT_APPLIED`` is returned
        at once and only if no attempt may have taken effect.

        A transaction whose written rows are all checked as absent is applied at
        most once only if no one deletes these rows again while a delayed attempt
        may still arrive; a version number in one of the checks rules that out.

        Raises ``ValueError`` when no written row is also checked: a delayed
        first attempt could then take effect after its own repetition.
        """
        if not {check.key for check in checks} & {write.key for write in writes}:
            raise ValueError("at least one written row must be checked")
        transaction = Transaction(self._operation_id(), tuple(checks), tuple(writes))
        progress = Progress()
        started = self.clock.monotonic()
        try:
            async with asyncio.timeout(timeout_seconds):
                result = await self._commit_until_known(transaction, progress)
        except TimeoutError:
            kind = (
                StoreFailureKind.UNKNOWN
                if progress.uncertain
                else StoreFailureKind.NOT_APPLIED
            )
            result = Failure(StoreFailure(kind, f"no outcome in {timeout_seconds} s"))
        if isinstance(result, Success):
            outcome = "committed"
            self.highest_version = max(self.highest_version, result.unwrap().version)
        else:
            outcome = result.failure().kind.value
        self.metrics.count("store_commits", outcome=outcome)
        self.metrics.observe_seconds(
            "store_commit_seconds", self.clock.monotonic() - started
        )
        return result

    async def _commit_until_known(
        self, transaction: Transaction, progress: Progress
    ) -> CommitResult:
        delay = FIRST_RETRY_SECONDS
        while True:
            earlier = progress.uncertain
            progress.uncertain = True
            result = await self.table.commit(transaction)
            if isinstance(result, Success):
                return result
            kind = result.failure().kind
            if kind is not StoreFailureKind.UNKNOWN:
                progress.uncertain = earlier
                if not earlier:
                    return result
                if kind is StoreFailureKind.CONFLICT:
                    known = await self._read_back(transaction)
                    if known is not None:
                        return known
            self.metrics.count("store_commit_retries", reason=kind.value)
            await asyncio.sleep(delay * self.generator.uniform(0.5, 1.0))
            delay = min(LAST_RETRY_SECONDS, delay * 2)
            if progress.uncertain and creates_rows(transaction):
                # If the created rows were deleted since, the checks hold again and
                # a second attempt would succeed as well.
                known = await self._read_back(transaction, may_refute=False)
                if known is not None:
                    return known

    async def _read_back(
        self, transaction: Transaction, may_refute: bool = True
    ) -> CommitResult | None:
        """Return whether an earlier attempt took effect, ``None`` if not known.

        Without ``may_refute`` only an attempt that took effect is reported.
        """
        checked = {check.key: check.version for check in transaction.checks}
        overwritten = False
        refuted = False
        for write in sorted(transaction.writes, key=lambda w: w.key not in checked):
            found = await self._find(write.key, checked.get(write.key, 0))
            if isinstance(found, Failure):
                return None
            row = found.unwrap()
            if row is not None and transaction.operation_id in row.operations:
                if row.operations[-1] == transaction.operation_id:
                    self.metrics.count("store_commits_found_by_read_back")
                    return Success(Committed(row.version))
                # Its own version may still be learned from another row.
                overwritten = True
            elif (
                may_refute
                and not overwritten
                and self._shows_all_writers(row, checked.get(write.key))
            ):
                refuted = await self._is_current(write.key, row)
                break
        if overwritten:
            return Success(Committed(0))
        if refuted:
            message = "a check failed"
            return Failure(StoreFailure(StoreFailureKind.CONFLICT, message))
        return None

    async def _find(
        self, key: str, after_version: int
    ) -> Result[Row | None, StoreFailure]:
        """Return the row, or its remains if it was deleted after the version."""
        read = await self.table.read(key)
        if isinstance(read, Failure) or read.unwrap() is not None:
            return read
        # A scan after version 0 leaves deleted rows out.
        scan = await self.table.scan(key, max(1, after_version))
        return scan.map(
            lambda found: next((row for row in found.rows if row.key == key), None)
        )

    @staticmethod
    def _shows_all_writers(row: Row | None, checked_version: int | None) -> bool:
        """Return whether every operation after the checked version is listed.

        Only then does a missing operation id mean that it was not applied.
        """
        if row is None or len(row.operations) < REMEMBERED_OPERATIONS:
            return True
        if checked_version is None:
            return False
        # Each commit raises the store version, so this bounds the writes of the row.
        return row.version - checked_version <= REMEMBERED_OPERATIONS

    async def _is_current(self, key: str, row: Row | None) -> bool:
        """Return whether the row is what the store holds now.

        Reads may lag behind commits. A transaction that only checks cannot.
        """
        version = row.version if row is not None and row.value is not None else 0
        check = Transaction(self._operation_id(), (Check(key, version),), ())
        return isinstance(await self.table.commit(check), Success)

    def _operation_id(self) -> str:
        return f"{self.generator.getrandbits(96):024x}"


def create_safe_writer(
    table: TableService, clock: Clock, metrics: Metrics, generator: random.Random
) -> SafeWriter:
    """Return a writer; ``generator`` draws operation ids and jitter.

    Instances need differently seeded generators, else their operation ids collide.
    """
    return SafeWriter(table, clock, metrics, generator)
