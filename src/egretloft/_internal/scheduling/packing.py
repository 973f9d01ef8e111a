"""Packing of guaranteed cells into the topology.

A cell with adjacency ``worker`` is a part of one worker. A larger cell consists of
whole workers of one rack or zone, and of a part of one more worker for the rest.
Packing is a best-fit heuristic: a packing that is found is valid, but one may exist
that is not found.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.scheduling.cells import Cells
from egretloft._internal.scheduling.tables import WorkerRow

Packing = dict[str, int]
"""Units by worker id."""


@dataclass(slots=True)
class GuaranteedCell:
    """One of the ``count`` cells of a guaranteed shape.

    ``used`` holds the units that gangs of the organisation take from the cell, by job
    and worker. ``earmark`` is where the rest of the cell can be had; ``carried`` says
    whether there is such a place.
    """

    profile: str
    number: int
    accelerators: int
    adjacency: Adjacency
    zones: tuple[str, ...]
    used: dict[str, Packing] = field(default_factory=dict)
    used_units: int = 0
    earmark: Packing = field(default_factory=dict)
    carried: bool = False

    @property
    def residual(self) -> int:
        """Units that no gang uses."""
        return self.accelerators - self.used_units

    def used_workers(self) -> dict[str, None]:
        """Return the workers on which the cell is in use, in order of use."""
        return {worker_id: None for units in self.used.values() for worker_id in units}


def create_guaranteed_cells(profile: Profile) -> list[GuaranteedCell]:
    """Return the cells of all shapes of a profile."""
    cells: list[GuaranteedCell] = []
    for shape in profile.guarantees:
        for _ in range(shape.count):
            cells.append(
                GuaranteedCell(
                    profile.name,
                    len(cells),
                    shape.accelerators,
                    shape.adjacency,
                    profile.zones,
                )
            )
    return cells


def packing_order(cell: GuaranteedCell) -> tuple[int, int, int, str, int]:
    """Order cells by how hard they are to pack, hardest first."""
    spread = {Adjacency.WORKER: 2, Adjacency.RACK: 1, Adjacency.ZONE: 0}
    return (
        -cell.residual,
        len(cell.zones),
        -spread[cell.adjacency],
        cell.profile,
        cell.number,
    )


def rule_order(cell: GuaranteedCell) -> tuple[str, int, int]:
    """Order cells by the rule for zones that are out: by name, then smaller first."""
    return cell.profile, cell.accelerators, cell.number


def find_packing(cell: GuaranteedCell, topology: Cells) -> Packing | None:
    """Return a place for the unused units of the cell beside all earmarks."""
    needed = cell.residual
    if needed <= 0:
        return {}
    fixed = cell.used_workers()
    if cell.adjacency is Adjacency.WORKER:
        return _pack_worker(cell, needed, fixed, topology)
    best: Packing | None = None
    best_left = 0
    for location in _locations(cell, fixed, topology):
        found = _pack_location(needed, fixed, location)
        if found is None:
            continue
        left = sum(row.room() for row in location.values()) - needed
        if best is None or left < best_left:
            best, best_left = found, left
    return best


def _pack_worker(
    cell: GuaranteedCell, needed: int, fixed: Mapping[str, None], topology: Cells
) -> Packing | None:
    if fixed:
        worker_id = next(iter(fixed))
        row = topology.workers.get(worker_id)
        if row is not None and row.room() >= needed:
            return {worker_id: needed}
        return None
    best: WorkerRow | None = None
    best_key = (0, 0)
    for zone_name in cell.zones:
        zone = topology.zones.get(zone_name)
        if zone is None:
            continue
        for row in zone.workers.values():
            room = row.room()
            if room >= needed:
                key = (room, row.free_accelerators < needed)
                if best is None or key < best_key:
                    best, best_key = row, key
    return None if best is None else {best.worker.worker_id: needed}


def _locations(
    cell: GuaranteedCell, fixed: Mapping[str, None], topology: Cells
) -> Iterable[dict[str, WorkerRow]]:
    if fixed:
        row = topology.workers.get(next(iter(fixed)))
        if row is None:
            return []
        zone = topology.zones[row.worker.zone]
        if cell.adjacency is Adjacency.ZONE:
            return [zone.workers]
        return [zone.racks[row.worker.rack].workers]
    return [
        location
        for name in cell.zones
        if name in topology.zones
        for location in topology.zones[name].locations(cell.adjacency)
    ]


def _pack_location(
    needed: int, fixed: Mapping[str, None], location: Mapping[str, WorkerRow]
) -> Packing | None:
    packing: Packing = {}
    for worker_id in fixed:
        row = location.get(worker_id)
        taken = min(needed, row.room()) if row is not None else 0
        if taken > 0:
            packing[worker_id] = taken
            needed -= taken
    if not needed:
        return packing
    whole = [
        row
        for worker_id, row in location.items()
        if worker_id not in fixed
        and row.worker.accelerators
        and row.room() == row.worker.accelerators
    ]
    # Large workers first; among equals those that are free now.
    whole.sort(key=lambda row: (-row.room(), -row.free_accelerators))
    for row in whole:
        if row.worker.accelerators <= needed:
            packing[row.worker.worker_id] = row.worker.accelerators
            needed -= row.worker.accelerators
            if not needed:
                return packing
    rest: WorkerRow | None = None
    for worker_id, row in location.items():
        if (
            worker_id not in packing
            and row.room() >= needed
            and (rest is None or row.room() < rest.room())
        ):
            rest = row
    if rest is None:
        return None
    packing[rest.worker.worker_id] = needed
    return packing


def set_earmark(cell: GuaranteedCell, packing: Packing | None, topology: Cells) -> None:
    """Replace the earmark of the cell; ``None`` means that it is not carried."""
    for worker_id, units in cell.earmark.items():
        row = topology.workers.get(worker_id)
        if row is not None:
            row.earmarked -= units
    cell.earmark = packing or {}
    cell.carried = packing is not None
    for worker_id, units in cell.earmark.items():
        topology.workers[worker_id].earmarked += units


def pack_all(cells: Iterable[GuaranteedCell], topology: Cells) -> bool:
    """Earmark a place for every cell; return whether all have one.

    When not all can be carried, the rule for zones that are out decides which are.
    """
    cells = list(cells)
    for order in (packing_order, rule_order):
        for cell in cells:
            set_earmark(cell, None, topology)
        for cell in sorted(cells, key=order):
            set_earmark(cell, find_packing(cell, topology), topology)
        if all(cell.carried for cell in cells):
            return True
    return False
