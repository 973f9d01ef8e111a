"""Packing of guaranteed cells into the topology.

A cell with adjacency ``worker`` is a part of one worker. A larger cell consists of
whole workers of one rack or zone, and of a part of one more worker for the rest, so
that tasks of any size fit in it.
Packing is a best-fit heuristic: a packing that it finds is valid, but it may fail to
find one that exists.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.scheduling.cells import Cells
from egretloft._internal.scheduling.tables import UNITS_PER_ACCELERATOR, WorkerRow

Packing = dict[str, int]
"""Units by worker id."""


@dataclass(slots=True)
class GuaranteedCell:
    """One of the ``count`` cells of a guaranteed shape; ``size`` is in units.

    ``used`` holds the units that gangs of the organisation take from the cell, by job
    and worker. ``extent`` holds the units by worker where the whole cell lies, used or
    not, while it is ``placed``. The unused part of the extent is its earmark.
    """

    profile: str
    number: int
    size: int
    adjacency: Adjacency
    zones: tuple[str, ...]
    used: dict[str, Packing] = field(default_factory=dict)
    used_units: int = 0
    extent: Packing = field(default_factory=dict)
    earmark: Packing = field(default_factory=dict)
    placed: bool = False

    @property
    def residual(self) -> int:
        """Units that no gang uses."""
        return self.size - self.used_units

    def used_by_worker(self) -> Packing:
        """Return the units in use by worker, in the order in which gangs took them."""
        total: Packing = {}
        for units in self.used.values():
            for worker_id, taken in units.items():
                total[worker_id] = total.get(worker_id, 0) + taken
        return total


def create_guaranteed_cells(profile: Profile) -> list[GuaranteedCell]:
    """Return the cells of all shapes of a profile."""
    cells: list[GuaranteedCell] = []
    for shape in profile.guarantees:
        for _ in range(shape.count):
            cells.append(
                GuaranteedCell(
                    profile.name,
                    len(cells),
                    shape.accelerators * UNITS_PER_ACCELERATOR,
                    shape.adjacency,
                    profile.zones,
                )
            )
    return cells


def packing_order(cell: GuaranteedCell) -> tuple[bool, int, int, int, str, int]:
    """Return a sort key that puts the cells that are hardest to pack first."""
    spread = {Adjacency.WORKER: 2, Adjacency.RACK: 1, Adjacency.ZONE: 0}
    return (
        not cell.used,
        -cell.size,
        len(cell.zones),
        -spread[cell.adjacency],
        cell.profile,
        cell.number,
    )


def degraded_order(cell: GuaranteedCell) -> tuple[str, int, int]:
    """Return the sort key for when not all cells fit, as when zones are out of service.

    Profiles go by name, and the smaller cells of a profile first.
    """
    return cell.profile, cell.size, cell.number


def find_extent(cell: GuaranteedCell, topology: Cells) -> Packing | None:
    """Return an extent that holds the used units and overlaps no earmark.

    ``None`` means that none was found.
    """
    used = cell.used_by_worker()
    if cell.adjacency is Adjacency.WORKER:
        return _find_worker(cell, used, topology)
    best: Packing | None = None
    best_left = 0
    for location in _candidate_locations(cell, used, topology):
        found = _find_in_location(cell, used, location)
        if found is None:
            continue
        left = sum(row.available_units() for row in location.values())
        if best is None or left < best_left:
            best, best_left = found, left
    return best


def _find_worker(
    cell: GuaranteedCell, used: Packing, topology: Cells
) -> Packing | None:
    if used:
        ((worker_id, units),) = used.items()
        if topology.workers[worker_id].available_units() >= cell.size - units:
            return {worker_id: cell.size}
        return None
    best: WorkerRow | None = None
    best_key = (0, False)
    for zone_name in cell.zones:
        zone = topology.zones.get(zone_name)
        if zone is None:
            continue
        for row in zone.workers.values():
            room = row.available_units()
            if room >= cell.size:
                key = (
                    room,
                    row.free_accelerators * UNITS_PER_ACCELERATOR < cell.size,
                )
                if best is None or key < best_key:
                    best, best_key = row, key
    return None if best is None else {best.worker.worker_id: cell.size}


def _candidate_locations(
    cell: GuaranteedCell, used: Packing, topology: Cells
) -> Iterable[dict[str, WorkerRow]]:
    if used:
        worker = topology.workers[next(iter(used))].worker
        zone = topology.zones[worker.zone]
        if cell.adjacency is Adjacency.ZONE:
            return [zone.workers]
        return [zone.racks[worker.rack].workers]
    return [
        location
        for name in cell.zones
        if name in topology.zones
        for location in topology.zones[name].locations(cell.adjacency)
    ]


def _find_in_location(
    cell: GuaranteedCell, used: Packing, location: Mapping[str, WorkerRow]
) -> Packing | None:
    """Return an extent of whole workers and a part of at most one usable worker."""
    extent: Packing = {}
    needed = cell.size
    partly_used: str | None = None
    for worker_id, units in used.items():
        row = location[worker_id]
        if not row.usable:
            # The gang runs to its end there; the rest of the worker cannot be used.
            extent[worker_id] = units
        elif (
            row.available_units() + units == row.total_units
            and needed >= row.total_units
        ):
            extent[worker_id] = row.total_units
        elif partly_used is None:
            partly_used = worker_id
            continue
        else:
            return None
        needed -= extent[worker_id]
    if needed < 0:
        return None
    whole = [
        row
        for worker_id, row in location.items()
        if worker_id not in used
        and row.total_units
        and row.available_units() == row.total_units
    ]
    # Large workers first; among equals those that are free now.
    whole.sort(key=lambda row: (-row.total_units, -row.free_accelerators))
    units_in_use = used[partly_used] if partly_used is not None else 0
    for row in whole:
        if needed - row.total_units >= units_in_use:
            extent[row.worker.worker_id] = row.total_units
            needed -= row.total_units
    if partly_used is not None:
        if (
            needed < units_in_use
            or location[partly_used].available_units() < needed - units_in_use
        ):
            return None
        extent[partly_used] = needed
    elif needed:
        partial_row: WorkerRow | None = None
        for worker_id, row in location.items():
            room = row.available_units()
            if (
                worker_id not in extent
                and room >= needed
                and (partial_row is None or room < partial_row.available_units())
            ):
                partial_row = row
        if partial_row is None:
            return None
        extent[partial_row.worker.worker_id] = needed
    return extent


def set_extent(cell: GuaranteedCell, extent: Packing | None, topology: Cells) -> None:
    """Move the cell and its earmark; ``None`` means that it has no place."""
    for worker_id, units in cell.earmark.items():
        row = topology.workers.get(worker_id)
        if row is not None:
            row.earmarked_units -= units
    cell.extent = extent or {}
    cell.placed = extent is not None
    cell.earmark = {}
    if extent is None:
        return
    used = cell.used_by_worker()
    for worker_id, units in extent.items():
        unused = units - used.get(worker_id, 0)
        if unused:
            cell.earmark[worker_id] = unused
            topology.workers[worker_id].earmarked_units += unused


def pack_all(cells: Iterable[GuaranteedCell], topology: Cells) -> bool:
    """Find a place for every cell; return whether all have one.

    When not all fit, ``degraded_order`` decides which are placed.
    """
    cells = list(cells)
    for order in (packing_order, degraded_order):
        for cell in cells:
            set_extent(cell, None, topology)
        for cell in sorted(cells, key=order):
            set_extent(cell, find_extent(cell, topology), topology)
        if all(cell.placed for cell in cells):
            return True
    return False
