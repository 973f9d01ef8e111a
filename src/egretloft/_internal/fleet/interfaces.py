"""Services that the fleet scheduler depends on, as ``Protocol`` types."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from egretloft._internal.fleet.models import (
    Configuration,
    Renewal,
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetReport,
)


@dataclass(slots=True, frozen=True)
class RowKey:
    """Identifies a row of the platform's store."""

    table: str
    part: str
    key: str


@dataclass(slots=True, frozen=True)
class StoredRow:
    """A row; ``value`` is ``None`` if removed, ``version`` is 0 if never written."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(slots=True, frozen=True)
class Expectation:
    """Required version of a row in a transaction; 0 means that the row is absent."""

    key: RowKey
    version: int


@dataclass(slots=True, frozen=True)
class RowTransaction:
    """Writes that are applied atomically if all expectations hold; ``None`` removes."""

    expectations: tuple[Expectation, ...]
    writes: tuple[tuple[RowKey, bytes | None], ...]


@dataclass(slots=True, frozen=True)
class RowPage:
    """Rows of one point in time, with the store's newest ``version`` at that time."""

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False


class StoreFailureKind(StrEnum):
    """Why a store call failed, or whether its outcome is unknown.

    After ``HISTORY_LOST`` and ``BACKLOG_TOO_LARGE``, a feed cannot go on from its
    version: the changes since then are no longer kept, or are too many to be worth
    reading one by one. The table has to be read anew.
    """

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history_lost"
    BACKLOG_TOO_LARGE = "backlog_too_large"


# Failures of a feed after which its table has to be read anew.
REREAD_FAILURES = frozenset(
    {StoreFailureKind.HISTORY_LOST, StoreFailureKind.BACKLOG_TOO_LARGE}
)


@dataclass(slots=True, frozen=True)
class StoreFailure:
    """A failed call to the store.

    After a conflict, ``rows`` holds the current rows of the expectations.
    """

    kind: StoreFailureKind
    message: str
    rows: tuple[StoredRow, ...] = ()


class RowStore(Protocol):
    """The platform's table store."""

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        """Apply a transaction and return the version of its rows."""

    async def read(
        self,
        table: str,
        part: str,
        timeout_seconds: float,
        from_key: str = "",
        to_key: str = "",
    ) -> Result[RowPage, StoreFailure]:
        """Return rows from ``from_key`` up to, but not including, ``to_key``."""

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        """Return the rows of ``table`` changed since ``after_version``."""


class Targets(Protocol):
    """Client for the targets.

    A target shortens longer leases to ``max_lease_seconds``. What a call says on the
    clock of one incarnation, or of its ends, does not reach a later one at the same
    address, unless the call is carried out late.
    """

    max_lease_seconds: float

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Start a run and return the time on the target's clock, in milliseconds.

        Another incarnation than that of the order counts as a refusal.
        """

    async def stop(
        self,
        target: TargetReport,
        run: RunKey,
        fencing_token: int,
        timeout_seconds: float,
    ) -> Result[int, TargetFailure]:
        """Stop a run and return the time on the target's clock, in milliseconds."""

    async def renew(
        self,
        target: TargetReport,
        renewal: Renewal,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Renew the lease of all runs on the target and return its lists of runs.

        The target forgets the ends that are acknowledged. It may wait for an end for up
        to ``wait_seconds`` before it answers. Another incarnation than that of the
        renewal is only asked for its lists.
        """


class RowDecoder(Protocol):
    """Decoder of the rows that the operators and the targets write."""

    def operator_table(self) -> str:
        """Return the table that operators write."""

    def target_table(self) -> str:
        """Return the table in which targets register."""

    def configuration(self, row: StoredRow) -> Result[Configuration, str] | None:
        """Return the configuration, or ``None`` if the row holds something else."""

    def evacuated_zone(self, row: StoredRow) -> str | None:
        """Return the zone that the row evacuates, or ``None`` for any other row."""

    def target(self, row: StoredRow) -> Result[TargetReport, str]:
        """Decode a target's registration."""


class FleetClock(Protocol):
    """Clocks, in seconds."""

    def boottime(self) -> float:
        """Return monotonic time that also advances while the machine is suspended."""

    def wall(self) -> float:
        """Return Unix time."""
