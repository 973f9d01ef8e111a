"""Workers, racks, zones and jobs as the scheduler keeps them in memory."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.profiles import Adjacency
from egretloft._internal.models.topology import Worker

# Guarantees are counted in fractions of an accelerator, so that work which needs few
# cores and no accelerator takes little of a guarantee. Divisible by 1 to 16, 32 and 64.
UNITS_PER_ACCELERATOR = 2_882_880


class Amount(NamedTuple):
    """Accelerators, cores and gigabytes of memory."""

    accelerators: int
    cores: int
    memory_gb: int

    def times(self, count: int) -> Amount:
        """Return the amount of ``count`` equal tasks."""
        return Amount(
            self.accelerators * count, self.cores * count, self.memory_gb * count
        )


def task_amount(spec: JobSpec) -> Amount:
    """Return what one task of the job needs."""
    return Amount(spec.accelerators_per_task, spec.cores, spec.memory_gb)


@dataclass(slots=True)
class WorkerRow:
    """A worker and what is held on it.

    ``free_*`` is what no gang holds and no claim waits for; it is negative while a
    claim waits for work that is being stopped. ``pinned_units`` are held or claimed
    by work that cannot be reclaimed. ``earmarked_units`` are kept for the unused parts
    of guarantees; they may overlap with reclaimable work. ``UNITS_PER_ACCELERATOR``
    units are one accelerator with its share of the worker's cores and memory.
    """

    worker: Worker
    free_mask: int
    free_accelerators: int
    free_cores: int
    free_memory_gb: int
    claimed_accelerators: int = 0
    claimed_cores: int = 0
    claimed_memory_gb: int = 0
    pinned_units: int = 0
    earmarked_units: int = 0
    gangs: dict[str, Amount] = field(default_factory=dict)
    listed: bool = True
    leaving: bool = False
    in_service: bool = True
    quarantined: bool = False
    probation: bool = False
    usable: bool = True
    # Units of the whole worker; stored because packing reads it very often.
    total_units: int = field(init=False)

    @property
    def is_claimed(self) -> bool:
        """Whether a claim waits for cells of this worker."""
        return bool(
            self.claimed_accelerators or self.claimed_cores or self.claimed_memory_gb
        )

    def __post_init__(self) -> None:
        self.total_units = self.worker.accelerators * UNITS_PER_ACCELERATOR

    def units(self, amount: Amount) -> int:
        """Return how many units of this worker the amount takes."""
        worker = self.worker
        total = self.total_units
        return max(
            amount.accelerators * UNITS_PER_ACCELERATOR,
            -(-amount.cores * total // worker.cores) if worker.cores else 0,
            -(-amount.memory_gb * total // worker.memory_gb) if worker.memory_gb else 0,
        )

    def available_units(self) -> int:
        """Return the units that are neither pinned nor earmarked; may be negative."""
        if not self.usable or self.probation:
            return -self.earmarked_units
        free = self.total_units - self.pinned_units
        return (free if free > 0 else 0) - self.earmarked_units


class GangState(Enum):
    """State of a job in the scheduler."""

    WAITING = 0
    CLAIMED = 1  # its cells are being reclaimed
    STARTING = 2
    RUNNING = 3


@dataclass(slots=True)
class JobRow:
    """A job that is not yet final.

    ``needs`` is what the gang holds or claims by worker. ``pinned`` work cannot be
    reclaimed; ``bound`` work is pinned because it lies within its guarantee.
    """

    spec: JobSpec
    attempt: int = 0
    state: GangState = GangState.WAITING
    needs: dict[str, Amount] = field(default_factory=dict)
    devices: dict[str, tuple[int, ...]] = field(default_factory=dict)
    claimed_tasks: dict[str, int] = field(default_factory=dict)
    started_at: float = 0.0
    pinned: bool = False
    bound: bool = False
    stopping: bool = False
    end_reason: Reason | None = None
    queued_at: float = 0.0
    not_before: float = 0.0
    # Run time of earlier attempts that checkpoints preserve.
    checkpointed_seconds: float = 0.0
    stops: int = 0
    failures: int = 0
    failed_sets: set[frozenset[str]] = field(default_factory=set)
    # Workers on which the job failed recently, not used before ``avoid_until``.
    avoid: set[str] = field(default_factory=set)
    avoid_until: float = 0.0

    @property
    def holds_cells(self) -> bool:
        """Whether the gang holds cells, so that its members may run."""
        return self.state in (GangState.STARTING, GangState.RUNNING)

    @property
    def reclaimable(self) -> bool:
        """Whether the gang may be stopped for other work and is not yet stopping."""
        return (
            self.holds_cells
            and not self.pinned
            and not self.stopping
            and self.end_reason is None
        )


@dataclass(slots=True)
class Rack:
    """Workers of one rack, with incremental totals over usable workers."""

    name: str
    zone: str
    workers: dict[str, WorkerRow] = field(default_factory=dict)
    free_accelerators: int = 0


@dataclass(slots=True)
class Zone:
    """Racks of one zone; ``by_free`` holds usable workers by free accelerators."""

    name: str
    racks: dict[str, Rack] = field(default_factory=dict)
    workers: dict[str, WorkerRow] = field(default_factory=dict)
    by_free: dict[int, dict[str, WorkerRow]] = field(default_factory=dict)
    free_accelerators: int = 0
    in_service: bool = True
    # Incremented whenever cells become free or usable; a placement that failed is
    # retried only then.
    freed_count: int = 0

    def locations(self, adjacency: Adjacency) -> Iterator[dict[str, WorkerRow]]:
        """Yield the workers of each rack, or of the zone, for the adjacency."""
        if adjacency is Adjacency.ZONE:
            yield self.workers
        else:
            for rack in self.racks.values():
                yield rack.workers
