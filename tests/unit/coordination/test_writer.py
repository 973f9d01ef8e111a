"""Safe writes: after a lost answer the outcome is found out or reported unknown."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest
from returns.result import Failure, Result, Success

from egretloft._internal.coordination.writer import SafeWriter, create_safe_writer
from egretloft._internal.metrics import create_metrics
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    Row,
    Scan,
    StoreFailure,
    StoreFailureKind,
    Transaction,
    Write,
)
from lib.fakes import Fault, ManualClock, MemoryTable

KEY = "job/1"


@dataclass(slots=True)
class InterruptedTable(MemoryTable):
    """Another writer commits ``others`` times after the first unanswered attempt."""

    others: int = 0
    deletes: bool = False

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreFailure]:
        result = await super(InterruptedTable, self).commit(transaction)
        if isinstance(result, Failure) and self.others:
            for n in range(self.others):
                value = None if self.deletes else b"other"
                write = Transaction(f"other{n}", (), (Write(KEY, value),))
                self.state.commit(write)
            self.others = 0
        return result


def create(table: MemoryTable) -> SafeWriter:
    return create_safe_writer(table, ManualClock(), create_metrics(), random.Random(1))


async def commit(table: MemoryTable, seconds: float = 2.0, version: int = 0) -> object:
    """Return the version of the commit or the kind of its failure."""
    result = await create(table).commit(
        (Check(KEY, version),), (Write(KEY, b"own"),), seconds
    )
    return result.map(lambda c: c.version).lash(lambda f: Failure(f.kind))._inner_value


@pytest.mark.parametrize("fault", [Fault.LOST_ANSWER, Fault.LOST_REQUEST])
async def test_lost_answer_commits_once(fault: Fault) -> None:
    """Guards against a write that is repeated or reported as conflicting with itself.

    The request or its answer is lost, and the writer retries.
    """
    table = MemoryTable(fault=fault, fault_calls=1)
    assert await commit(table) == 1
    assert [row.value for row in table.state.rows.values()] == [b"own"]
    assert table.state.rows[KEY].version == 1


@pytest.mark.parametrize(
    ("fault", "others", "deletes", "expected"),
    [
        (Fault.LOST_ANSWER, 1, False, 0),
        (Fault.LOST_ANSWER, 1, True, 0),
        (Fault.LOST_REQUEST, 1, False, StoreFailureKind.CONFLICT),
        (Fault.LOST_REQUEST, 7, False, StoreFailureKind.CONFLICT),
        # The row no longer lists the operation id, so the outcome stays unknown.
        (Fault.LOST_ANSWER, 8, False, StoreFailureKind.UNKNOWN),
        (Fault.LOST_REQUEST, 9, False, StoreFailureKind.UNKNOWN),
    ],
)
async def test_overwritten_row_shows_the_outcome_or_leaves_it_unknown(
    fault: Fault, others: int, deletes: bool, expected: object
) -> None:
    """Guards against a wrong conclusion when another writer came in between.

    Other writers overwrite or delete the row between a lost attempt and its read-back.
    """
    table = InterruptedTable(fault=fault, fault_calls=1, others=others, deletes=deletes)
    assert await commit(table, 0.6) == expected


@pytest.mark.parametrize(
    ("first", "expected"),
    [
        (Fault.DOWN, StoreFailureKind.NOT_APPLIED),
        (Fault.LOST_ANSWER, StoreFailureKind.UNKNOWN),
        (Fault.LOST_REQUEST, StoreFailureKind.UNKNOWN),
    ],
)
async def test_down_store_after_an_attempt_leaves_it_unknown(
    first: Fault, expected: StoreFailureKind
) -> None:
    """Guards against ``not_applied`` after an attempt that may have been applied.

    The store goes down after the first attempt.
    """

    class FailingAfterFirstCall(MemoryTable):
        def next_fault(self) -> Fault:
            fault, self.fault = self.fault, Fault.DOWN
            return fault

    assert await commit(FailingAfterFirstCall(fault=first), 0.3) is expected


async def test_lagging_read_back_is_not_believed() -> None:
    """Guards against an applied write that is reported as failed.

    The answer is lost, and the read-back reaches a lagging replica.
    """

    class Lagging(MemoryTable):
        async def read(self, key: str) -> Result[Row | None, StoreFailure]:
            return Success(None)

        async def scan(self, prefix: str, after: int) -> Result[Scan, StoreFailure]:
            return Success(Scan((), 0))

    table = Lagging(fault=Fault.LOST_ANSWER, fault_calls=1)
    assert await commit(table, 0.3) is StoreFailureKind.UNKNOWN


async def test_plain_conflict_is_returned_at_once() -> None:
    """Guards against retries that cannot succeed.

    A check fails at the first attempt.
    """
    table = MemoryTable()
    assert await commit(table, 0.3, version=5) is StoreFailureKind.CONFLICT
    with pytest.raises(ValueError, match="checked"):
        await create(table).commit((), (Write(KEY, b"own"),), 1.0)
