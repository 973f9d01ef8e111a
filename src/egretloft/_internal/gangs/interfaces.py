"""Protocols of the gang package's dependencies: coordination, topology, scheduling."""

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

# Waits for a number of seconds. Tests pass a function that uses simulated time.
Sleep = Callable[[float], Awaitable[None]]


class Epoch(Protocol):
    """An ownership epoch; ``key`` and ``version`` identify the row that stores it."""

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
    """Ownership of partitions by this instance."""

    def holds(self, partition: str) -> Epoch | None:
        """Return the epoch, ``None`` if this instance may not act as the owner."""


class View(Protocol):
    """The configuration as this instance last confirmed it."""

    @property
    def profiles(self) -> Mapping[str, Profile]:
        """Return the profiles in force by name."""

    def row_version(self, key: str) -> int:
        """Return the version of a control row, 0 when it is absent."""

    def is_fresh(self) -> bool:
        """Return whether the view was confirmed recently enough to act on it."""

    def zone_in_service(self, zone: str) -> bool:
        """Return whether work may start in the zone."""


class Topology(Protocol):
    """Workers in the platform's instance list."""

    @property
    def workers(self) -> Mapping[str, Worker]:
        """Return the listed workers by id."""

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether the instance is leaving and must not get new work."""


class SafeWriter(Protocol):
    """Commits transactions and finds out their outcome if the answer is lost."""

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> Result[Committed, StoreFailure]:
        """Commit; fails as ``unknown`` only if the outcome could not be read back."""


class Scheduler(Protocol):
    """Decides which gang runs where; performs no I/O."""

    def apply(self, event: Event) -> None:
        """Update the scheduler's state with an event."""

    def tick(self, now: float) -> Sequence[Decision]:
        """Return the decisions to carry out at ``now``, in Unix seconds."""

    def unsatisfied_guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators that cannot be provided, by profile."""


class RunAccounting(Protocol):
    """Provides the account rows for the transaction that ends a gang run."""

    def run_rows(
        self, record: JobRecord, started_at: float, ended_at: float
    ) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
        """Return the checks and writes that record the run exactly once."""

    async def refresh(self) -> None:
        """Read again which months are closed; called after a conflict."""
