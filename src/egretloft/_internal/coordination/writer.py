"""Writes to the table service that find out their outcome after a lost answer.

The table service keeps the ids of the last operations with each row. When an answer
is lost, the writer reads the row back and looks for its own operation id.
"""

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

FIRST_RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 1.0
# Number of most recent operation ids that the table service keeps with each row.
REMEMBERED_OPERATIONS = 8

CommitResult = Result[Committed, StoreFailure]


@dataclass(slots=True)
class AttemptState:
    """Whether an attempt to commit a transaction may have taken effect."""

    may_have_applied: bool = False


def requires_absent_rows(transaction: Transaction) -> bool:
    """Return whether all checks on written rows require that the row is absent."""
    written = {write.key for write in transaction.writes}
    return not any(c.version for c in transaction.checks if c.key in written)


class SafeWriter:
    """Commits transactions and finds out their outcome when an answer is lost.

    ``highest_version`` is the highest store version that its commits returned.
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

        A ``Committed`` version of 0 means that the transaction took effect, but that
        all its rows have been overwritten since. ``NOT_APPLIED`` is returned without
        a retry, and only if no attempt may have taken effect.

        If all checks on the written rows require that these are absent, the
        transaction is applied at most once only as long as no one deletes the rows
        while a delayed attempt may still arrive. A check of a written row for a
        version other than 0 rules out a second application.

        Raises ``ValueError`` if no written row is also checked: a delayed first
        attempt could then take effect after its own retry.
        """
        if not {check.key for check in checks} & {write.key for write in writes}:
            raise ValueError("at least one written row must be checked")
        transaction = Transaction(self._operation_id(), tuple(checks), tuple(writes))
        state = AttemptState()
        started = self.clock.monotonic()
        try:
            async with asyncio.timeout(timeout_seconds):
                result = await self._commit_until_known(transaction, state)
        except TimeoutError:
            kind = (
                StoreFailureKind.UNKNOWN
                if state.may_have_applied
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
        self, transaction: Transaction, state: AttemptState
    ) -> CommitResult:
        delay = FIRST_RETRY_DELAY_SECONDS
        while True:
            earlier_may_have_applied = state.may_have_applied
            state.may_have_applied = True
            result = await self.table.commit(transaction)
            if isinstance(result, Success):
                return result
            kind = result.failure().kind
            if kind is not StoreFailureKind.UNKNOWN:
                state.may_have_applied = earlier_may_have_applied
                if not earlier_may_have_applied:
                    return result
                if kind is StoreFailureKind.CONFLICT:
                    known = await self._read_back(transaction)
                    if known is not None:
                        return known
            self.metrics.count("store_commit_retries", reason=kind.value)
            await asyncio.sleep(delay * self.generator.uniform(0.5, 1.0))
            delay = min(MAX_RETRY_DELAY_SECONDS, delay * 2)
            if state.may_have_applied and requires_absent_rows(transaction):
                # If the created rows have been deleted since, the checks hold again,
                # and the retry would apply the transaction a second time.
                known = await self._read_back(transaction, may_report_conflict=False)
                if known is not None:
                    return known

    async def _read_back(
        self, transaction: Transaction, may_report_conflict: bool = True
    ) -> CommitResult | None:
        """Look for the outcome of earlier attempts; ``None`` if it is not known.

        Unless ``may_report_conflict`` is set, only success is reported.
        """
        checked = {check.key: check.version for check in transaction.checks}
        overwritten = False
        not_applied = False
        for write in sorted(transaction.writes, key=lambda w: w.key not in checked):
            found = await self._read_including_deleted(
                write.key, checked.get(write.key, 0)
            )
            if isinstance(found, Failure):
                return None
            row = found.unwrap()
            if row is not None and transaction.operation_id in row.operations:
                if row.operations[-1] == transaction.operation_id:
                    self.metrics.count("store_commits_found_by_read_back")
                    return Success(Committed(row.version))
                # Another row may still show the version of the commit.
                overwritten = True
            elif (
                may_report_conflict
                and not overwritten
                and self._lists_all_operations(row, checked.get(write.key))
            ):
                not_applied = await self._is_current(write.key, row)
                break
        if overwritten:
            return Success(Committed(0))
        if not_applied:
            message = "a check failed"
            return Failure(StoreFailure(StoreFailureKind.CONFLICT, message))
        return None

    async def _read_including_deleted(
        self, key: str, after_version: int
    ) -> Result[Row | None, StoreFailure]:
        """Return the row, also if it was deleted after ``after_version``."""
        read = await self.table.read(key)
        if isinstance(read, Failure) or read.unwrap() is not None:
            return read
        # A scan after version 0 does not return deleted rows.
        scan = await self.table.scan(key, max(1, after_version))
        return scan.map(
            lambda found: next((row for row in found.rows if row.key == key), None)
        )

    @staticmethod
    def _lists_all_operations(row: Row | None, checked_version: int | None) -> bool:
        """Return whether every operation after the checked version is listed.

        Only then does a missing operation id mean that the operation was not applied.
        """
        if row is None or len(row.operations) < REMEMBERED_OPERATIONS:
            return True
        if checked_version is None:
            return False
        # Each commit increments the store version, so the difference is an upper limit
        # for the number of writes of this row.
        return row.version - checked_version <= REMEMBERED_OPERATIONS

    async def _is_current(self, key: str, row: Row | None) -> bool:
        """Return whether the row has the current version in the store.

        Reads may lag behind commits, but the checks of a transaction do not, so this
        commits a transaction that only checks.
        """
        version = row.version if row is not None and row.value is not None else 0
        check = Transaction(self._operation_id(), (Check(key, version),), ())
        return isinstance(await self.table.commit(check), Success)

    def _operation_id(self) -> str:
        return f"{self.generator.getrandbits(96):024x}"


def create_safe_writer(
    table: TableService, clock: Clock, metrics: Metrics, generator: random.Random
) -> SafeWriter:
    """Return a writer; ``generator`` provides operation ids and retry jitter.

    Each instance needs a generator with its own seed, or operation ids collide.
    """
    return SafeWriter(table, clock, metrics, generator)
