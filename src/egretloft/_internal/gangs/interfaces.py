"""What the gang packages need from coordination, topology and scheduling."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol

from returns.result import Result

from egretloft._internal.models.jobs import JobRecord
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    StoreFailure,
    Write,
)
from egretloft._internal.scheduling.decisions import Decision
from egretloft._internal.scheduling.events import Event

# Waits for a number of seconds; tests pass one that follows a manual clock.
Sleep = Callable[[float], Awaitable[None]]


class Epoch(Protocol):
    """A held partition; ``key`` and ``version`` identify its epoch row."""

    @property
    def number(self) -> int:
        """Return the epoch number."""

    @property
    def key(self) -> str:
        """Return the key of the epoch row."""

    @property
    def version(self) -> int:
        """Return the version of the epoch row."""


class Ownership(Protocol):
    """Partitions that this instance holds."""

    def holds(self, partition: str) -> Epoch | None:
        """Return the epoch while this instance may act as the owner."""


class View(Protocol):
    """The configuration as this instance last confirmed it."""

    @property
    def profiles(self) -> Mapping[str, Profile]:
        """Return the profiles in force by name."""

    def row_version(self, key: str) -> int:
        """Return the version of a control row, 0 when it is absent."""

    def is_fresh(self) -> bool:
        """Return whether the view may be acted on."""

    def zone_in_service(self, zone: str) -> bool:
        """Return whether work may start in the zone."""


class Topology(Protocol):
    """Workers as the platform lists them."""

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Return the listed workers by id."""

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether the instance is to get no new work."""


class SafeWriter(Protocol):
    """Transactions whose outcome survives a lost answer."""

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> Result[Committed, StoreFailure]:
        """Commit; ``unknown`` only when the outcome could not be read back."""


class Scheduler(Protocol):
    """Pure decisions about which gang runs where."""

    def apply(self, event: Event) -> None:
        """Take note of an event."""

    def tick(self, now: float) -> Sequence[Decision]:
        """Return what is to be done at ``now``, Unix seconds."""

    def unsatisfied_guarantees(self) -> dict[str, int]:
        """Return accelerators by profile that no cells in service can carry."""


class RunAccounting(Protocol):
    """Account rows of a gang run, for the transaction that ends the run."""

    def run_rows(
        self, record: JobRecord, started_at: float, ended_at: float
    ) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
        """Return the checks and writes that record the run once."""

    async def refresh(self) -> None:
        """Read again which months are closed, after a conflict."""
