"""Choice of workers for a gang: best fit, so that large cells stay unfragmented."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.profiles import Adjacency
from egretloft._internal.scheduling.cells import Cells
from egretloft._internal.scheduling.tables import Amount, WorkerRow, Zone, task_amount

TaskCounts = dict[str, int]
"""Number of tasks by worker id."""

Fit = Callable[[WorkerRow], int]
"""Returns how many tasks of the gang a worker can take."""

# Limit on the workers with equally many free accelerators that are compared.
MAX_COMPARED_WORKERS = 32


def fit_amount(amount: Amount, accelerators: int, cores: int, memory_gb: int) -> int:
    """Return how many tasks that each need ``amount`` fit.

    The number is practically unlimited for tasks that need nothing.
    """
    fit = 1 << 30
    if amount.accelerators:
        fit = accelerators // amount.accelerators
    if amount.cores:
        fit = min(fit, cores // amount.cores)
    if amount.memory_gb:
        fit = min(fit, memory_gb // amount.memory_gb)
    return max(0, fit)


def needs_of(spec: JobSpec, counts: Mapping[str, int]) -> dict[str, Amount]:
    """Return the amounts that the gang takes by worker."""
    amount = task_amount(spec)
    return {worker_id: amount.times(count) for worker_id, count in counts.items()}


def find_free(
    spec: JobSpec, zones: Iterable[str], topology: Cells, fit: Fit
) -> TaskCounts | None:
    """Return workers with enough free for the gang, ``None`` when there are none.

    ``fit`` must not return more tasks than the free cells of a worker hold.
    """
    found = [
        zone
        for name in zones
        if (zone := topology.zones.get(name)) is not None
        and zone.in_service
        and zone.free_accelerators >= spec.accelerators
    ]
    if spec.adjacency is Adjacency.WORKER or spec.tasks == 1:
        return _find_worker(spec, found, fit)
    best: TaskCounts | None = None
    best_left = 0
    for zone in found:
        for location in zone.locations(spec.adjacency):
            counts, left = _fill_location(spec, location, fit)
            if counts is None:
                continue
            if best is None or left < best_left:
                best, best_left = counts, left
    return best


def _find_worker(spec: JobSpec, zones: list[Zone], fit: Fit) -> TaskCounts | None:
    """Return the worker of the fullest zone that has the fewest free accelerators.

    Filling one zone after the other keeps whole zones free for large gangs.
    """
    for zone in sorted(zones, key=lambda zone: zone.free_accelerators):
        for free in sorted(zone.by_free):
            if free < spec.accelerators:
                continue
            best: WorkerRow | None = None
            compared = 0
            for row in zone.by_free[free].values():
                if fit(row) < spec.tasks:
                    continue
                # Fuller racks first, so that empty racks stay empty.
                left = zone.racks[row.worker.rack].free_accelerators
                if best is None or (
                    left < zone.racks[best.worker.rack].free_accelerators
                ):
                    best = row
                compared += 1
                if compared >= MAX_COMPARED_WORKERS:
                    break
            if best is not None:
                return {best.worker.worker_id: spec.tasks}
    return None


def _fill_location(
    spec: JobSpec, location: Mapping[str, WorkerRow], fit: Fit
) -> tuple[TaskCounts | None, int]:
    """Fill the fullest workers of the location first.

    Also returns how many accelerators the location has left.
    """
    fits = [
        (row, count)
        for row in location.values()
        if row.usable and (count := fit(row)) > 0
    ]
    if sum(count for _, count in fits) < spec.tasks:
        return None, 0
    fits.sort(key=lambda item: item[0].free_accelerators)
    counts: TaskCounts = {}
    tasks = spec.tasks
    for row, count in fits:
        taken = min(count, tasks)
        counts[row.worker.worker_id] = taken
        tasks -= taken
        if not tasks:
            break
    left = sum(row.free_accelerators for row in location.values() if row.usable)
    return counts, left - spec.accelerators


def find_cheapest(
    spec: JobSpec,
    zones: Iterable[str],
    topology: Cells,
    fit: Fit,
    cost: Callable[[WorkerRow, Amount], float],
) -> TaskCounts | None:
    """Return workers for the gang at the least total cost.

    ``cost(row, amount)`` is the cost of freeing the amount on the worker, infinite
    when it cannot be freed.
    """
    amount = task_amount(spec)
    best: TaskCounts | None = None
    best_cost = math.inf
    for name in zones:
        zone = topology.zones.get(name)
        if zone is None or not zone.in_service:
            continue
        if spec.adjacency is Adjacency.WORKER:
            locations: Iterable[Mapping[str, WorkerRow]] = (
                {worker_id: row} for worker_id, row in zone.workers.items()
            )
        else:
            locations = zone.locations(spec.adjacency)
        for location in locations:
            fits: list[tuple[float, WorkerRow, int]] = []
            for row in location.values():
                count = min(fit(row), spec.tasks) if row.usable else 0
                if count > 0:
                    price = cost(row, amount.times(count))
                    if price < math.inf:
                        fits.append((price / count, row, count))
            if sum(count for _, _, count in fits) < spec.tasks:
                continue
            fits.sort(key=lambda item: (item[0], item[1].free_accelerators))
            counts: TaskCounts = {}
            tasks = spec.tasks
            total = 0.0
            for _, row, count in fits:
                taken = min(count, tasks)
                counts[row.worker.worker_id] = taken
                total += cost(row, amount.times(taken))
                tasks -= taken
                if not tasks:
                    break
            if total < best_cost:
                best, best_cost = counts, total
    return best
