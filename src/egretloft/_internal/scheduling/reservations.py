"""Reservations for waiting large gangs, by the expected ends of running work."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.profiles import Adjacency
from egretloft._internal.scheduling.cells import Cells
from egretloft._internal.scheduling.placement import fit_amount
from egretloft._internal.scheduling.tables import Amount, WorkerRow, task_amount


@dataclass(slots=True)
class Reservation:
    """Cells that are reserved for a waiting gang, and when it is expected to start.

    Other work may use the cells (backfill) if it is expected to end by
    ``backfill_until``. That time never increases, so wrong estimates cannot delay the
    gang indefinitely. ``checked_at`` is when an earlier start on other cells was last
    looked for. Times are in seconds on the clock of ``Scheduler.tick``.
    """

    job_id: str
    needs: dict[str, Amount]
    starts_at: float
    backfill_until: float
    checked_at: float = 0.0


def earliest_start(
    spec: JobSpec,
    zones: Iterable[str],
    topology: Cells,
    ends_at: Callable[[str], float],
    reserved: Mapping[str, Reservation],
    now: float,
) -> tuple[float, dict[str, int]] | None:
    """Return when and where the gang can first start, ``None`` if never.

    ``ends_at(job_id)`` is the expected end of a running gang. Workers in ``reserved``
    are not considered, because they are reserved for other gangs.
    """
    best: tuple[float, dict[str, int]] | None = None
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
            latest = math.inf if best is None else best[0]
            found = _earliest_start_in(spec, location, ends_at, reserved, now, latest)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
    return best


def _earliest_start_in(
    spec: JobSpec,
    location: Mapping[str, WorkerRow],
    ends_at: Callable[[str], float],
    reserved: Mapping[str, Reservation],
    now: float,
    latest: float,
) -> tuple[float, dict[str, int]] | None:
    amount = task_amount(spec)
    free: dict[str, list[int]] = {}
    fits: dict[str, int] = {}
    possible = 0
    holders: dict[str, list[str]] = {}
    for worker_id, row in location.items():
        if not row.usable or worker_id in reserved:
            continue
        free[worker_id] = [row.free_accelerators, row.free_cores, row.free_memory_gb]
        fits[worker_id] = fit_amount(amount, *free[worker_id])
        worker = row.worker
        possible += fit_amount(
            amount, worker.accelerators, worker.cores, worker.memory_gb
        )
        for job_id in row.gangs:
            holders.setdefault(job_id, []).append(worker_id)
    if possible < spec.tasks:
        return None
    queue = [(ends_at(job_id), job_id) for job_id in holders]
    heapq.heapify(queue)
    freed_at = dict.fromkeys(fits, now)
    total = sum(fits.values())
    at = now
    while total < spec.tasks:
        if not queue:
            return None
        at, job_id = heapq.heappop(queue)
        if at >= latest:
            return None
        for worker_id in holders[job_id]:
            room = free[worker_id]
            held = location[worker_id].gangs[job_id]
            for index in range(3):
                room[index] += held[index]
            fit = fit_amount(amount, *room)
            if fit != fits[worker_id]:
                total += fit - fits[worker_id]
                fits[worker_id] = fit
                freed_at[worker_id] = at
    counts: dict[str, int] = {}
    tasks = spec.tasks
    # Cells that come free last are needed in any case; those that come free earlier are
    # left to other work.
    for worker_id in sorted(fits, key=lambda each: (-freed_at[each], fits[each])):
        count = min(tasks, fits[worker_id])
        if count > 0:
            counts[worker_id] = count
            tasks -= count
        if not tasks:
            break
    return max(at, now), counts
