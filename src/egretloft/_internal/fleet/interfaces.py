"""What the fleet scheduler needs from outside, as ``Protocol`` types."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from egretloft._internal.fleet.models import (
    Configuration,
    RenewalAnswer,
    RunKey,
    StartOrder,
    TargetFailure,
    TargetReport,
)


@dataclass(slots=True, frozen=True)
class RowKey:
    """Names a row of the platform's store."""

    table: str
    part: str
    key: str


@dataclass(slots=True, frozen=True)
class StoredRow:
    """A row; ``value`` is ``None`` if it was removed. ``version`` 0: never written."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(slots=True, frozen=True)
class Expectation:
    """A condition of a transaction; version 0 means that the row is absent."""

    key: RowKey
    version: int


@dataclass(slots=True, frozen=True)
class RowTransaction:
    """Writes (``None`` removes) that are applied together or not at all."""

    expectations: tuple[Expectation, ...]
    writes: tuple[tuple[RowKey, bytes | None], ...]


@dataclass(slots=True, frozen=True)
class RowPage:
    """Rows of one moment; ``version`` is the newest of the store at that moment."""

    rows: tuple[StoredRow, ...]
    version: int
    has_more: bool = False


class StoreFailureKind(StrEnum):
    """What is known of a store call without success."""

    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history_lost"


@dataclass(slots=True, frozen=True)
class StoreFailure:
    """A call to the store that did not succeed.

    ``rows`` holds the current rows of the expectations after a conflict.
    """

    kind: StoreFailureKind
    message: str
    rows: tuple[StoredRow, ...] = ()


class RowStore(Protocol):
    """The platform's table store."""

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        """Apply a transaction and return its version."""

    async def read(
        self,
        table: str,
        part: str,
        timeout_seconds: float,
        from_key: str = "",
        to_key: str = "",
    ) -> Result[RowPage, StoreFailure]:
        """Return rows from ``from_key`` up to, without, ``to_key``."""

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> Result[RowPage, StoreFailure]:
        """Return the rows of ``table`` changed since ``after_version``."""


class Targets(Protocol):
    """Orders to targets."""

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Start a run and return the target's clock."""

    async def stop(
        self,
        target: TargetReport,
        run: RunKey,
        epoch: int,
        timeout_seconds: float,
    ) -> Result[int, TargetFailure]:
        """Stop a run and return the target's clock."""

    async def renew(
        self,
        target: TargetReport,
        epoch: int,
        last_recorded_end: int,
        expires_at_ms: int | None,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> Result[RenewalAnswer, TargetFailure]:
        """Renew the lease of all runs on the target and return its lists.

        Ends up to ``last_recorded_end`` are forgotten by the target.
        """


class RowDecoder(Protocol):
    """Decoding of rows that the operators and the targets write."""

    def operator_table(self) -> str:
        """Return the table that operators write."""

    def target_table(self) -> str:
        """Return the table in which targets register."""

    def configuration(self, row: StoredRow) -> Result[Configuration, str] | None:
        """Return the configuration, or ``None`` if the row holds something else."""

    def evacuated_zone(self, row: StoredRow) -> str | None:
        """Return the zone whose evacuation the row asks for."""

    def target(self, row: StoredRow) -> Result[TargetReport, str]:
        """Return what a target says of itself."""


class FleetClock(Protocol):
    """Time, in seconds."""

    def boottime(self) -> float:
        """Return time that goes on while the machine is suspended."""

    def wall(self) -> float:
        """Return Unix time."""
