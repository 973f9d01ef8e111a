"""In-memory fakes of the platform for unit tests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from egretloft._internal.platform.protocols import (
    Committed,
    Row,
    Scan,
    StoreFailure,
    StoreFailureKind,
    Transaction,
)
from standins.table_state import TableState


class ManualClock:
    """A clock that advances only when a test calls ``advance``."""

    def __init__(self, wall: float = 1_800_000_000.0) -> None:
        self.now = 1_000.0
        self.wall_offset = wall - self.now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        self.now += seconds


class Fault(StrEnum):
    """The fault of the next calls to a fake table."""

    NONE = "none"
    DOWN = "down"  # refused before anything was applied
    LOST_ANSWER = "lost_answer"  # applied, but the caller gets no answer
    LOST_REQUEST = "lost_request"  # not applied, and the caller gets no answer


@dataclass(slots=True)
class MemoryTable:
    """An in-memory ``TableService``; several clients may share one ``TableState``."""

    state: TableState = field(default_factory=TableState)
    fault: Fault = Fault.NONE
    # Number of calls that the fault applies to; negative means all calls.
    fault_calls: int = -1

    def next_fault(self) -> Fault:
        if self.fault is Fault.NONE or self.fault_calls == 0:
            return Fault.NONE
        self.fault_calls -= 1
        return self.fault

    async def read(self, key: str) -> Result[Row | None, StoreFailure]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, "down"))
        return Success(self.state.read(key))

    async def scan(self, prefix: str, after_version: int) -> Result[Scan, StoreFailure]:
        if self.next_fault() is not Fault.NONE:
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, "down"))
        return Success(self.state.scan(prefix, after_version))

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreFailure]:
        fault = self.next_fault()
        if fault is Fault.DOWN:
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, "down"))
        if fault is Fault.LOST_REQUEST:
            return Failure(StoreFailure(StoreFailureKind.UNKNOWN, "no answer"))
        committed = self.state.commit(transaction)
        if fault is Fault.LOST_ANSWER:
            return Failure(StoreFailure(StoreFailureKind.UNKNOWN, "no answer"))
        if committed is None:
            return Failure(StoreFailure(StoreFailureKind.CONFLICT, "check failed"))
        return Success(committed)


@dataclass(slots=True)
class MemoryObjects:
    """An ``ObjectStore`` in memory."""

    objects: dict[str, bytes] = field(default_factory=dict)
    down: bool = False

    async def put_if_absent(self, name: str, data: bytes) -> Result[bool, StoreFailure]:
        if self.down:
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, "down"))
        if name in self.objects:
            return Success(False)
        self.objects[name] = data
        return Success(True)

    async def get(self, name: str) -> Result[bytes | None, StoreFailure]:
        if self.down:
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, "down"))
        return Success(self.objects.get(name))
