"""Lazy binding of guarantees to cells.

Every guaranteed cell has an extent, and its unused part is an earmark: units on workers
that are free or hold reclaimable work. Earmarks of all cells and pinned work are
disjoint, so they prove that every guarantee can be reclaimed at once. They move freely:
pinning work where an earmark lies is allowed when that cell can be packed elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from egretloft._internal.models.jobs import JobSpec
from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.scheduling.cells import Cells
from egretloft._internal.scheduling.packing import (
    GuaranteedCell,
    Packing,
    create_guaranteed_cells,
    find_extent,
    pack_all,
    packing_order,
    set_extent,
)
from egretloft._internal.scheduling.tables import Amount, task_amount

Cover = list[tuple[GuaranteedCell, Packing]]
"""Units of guaranteed cells that a gang uses."""

Undo = dict[int, tuple[GuaranteedCell, Packing, bool]]
"""Former extents of cells that were moved, and whether they were carried."""

# Guaranteed cells that are tried for a gang that would fit in each of them.
CELLS_TRIED = 3


class Guarantees:
    """Guaranteed cells of all profiles, their use and their earmarks."""

    def __init__(self, topology: Cells) -> None:
        self.topology = topology
        self.cells: dict[str, list[GuaranteedCell]] = {}
        self.free_units: dict[str, int] = {}

    def all_cells(self) -> Iterable[GuaranteedCell]:
        """Yield the cells of all profiles."""
        for cells in self.cells.values():
            yield from cells

    def set_profile(self, profile: Profile) -> None:
        """Create the cells of a profile; no gang may be bound to it."""
        self.drop_profile(profile.name)
        cells = create_guaranteed_cells(profile)
        if cells:
            self.cells[profile.name] = cells
            self.free_units[profile.name] = sum(each.size for each in cells)

    def drop_profile(self, name: str) -> None:
        """Forget a profile; no gang may be bound to it."""
        for cell in self.cells.pop(name, ()):
            set_extent(cell, None, self.topology)
        self.free_units.pop(name, None)

    def repack(self) -> bool:
        """Find a place for all earmarks anew; return whether all are carried."""
        return pack_all(list(self.all_cells()), self.topology)

    def uncarried(self) -> list[GuaranteedCell]:
        """Return the cells that no worker carries at present."""
        return [cell for cell in self.all_cells() if not cell.carried]

    def earmarks(self, profile: str) -> Packing:
        """Return the units by worker that the profile's cells have earmarked."""
        own: Packing = {}
        for cell in self.cells.get(profile, ()):
            for worker_id, units in cell.earmark.items():
                own[worker_id] = own.get(worker_id, 0) + units
        return own

    def fitting_cells(
        self, profile: str, adjacency: Adjacency, units: int, tight: bool
    ) -> list[GuaranteedCell]:
        """Return the cells that a gang would fit in alone, tightest first.

        With ``tight`` only the tightest ones: a gang that takes part of a larger cell
        leaves its organisation without that cell, although a smaller one is unused.
        """
        cells = [
            cell
            for cell in self.cells.get(profile, ())
            if cell.residual >= units and cell.residual > 0
        ]

        def key(cell: GuaranteedCell) -> tuple[int, bool]:
            return cell.residual, cell.adjacency is not adjacency

        cells.sort(key=lambda cell: (*key(cell), cell.number))
        if tight:
            cells = [cell for cell in cells if key(cell) == key(cells[0])]
        return cells

    def earmarks_for(self, spec: JobSpec, tight: bool) -> Iterator[Packing]:
        """Yield earmarks of single cells that hold the gang, then of all cells."""
        units = 0
        for cell in self.cells.get(spec.profile, ()):
            for worker_id in cell.earmark:
                row = self.topology.workers[worker_id]
                units = spec.tasks * row.units(task_amount(spec))
                break
        cells = self.fitting_cells(spec.profile, spec.adjacency, units, tight)
        for cell in cells[:CELLS_TRIED]:
            if cell.carried:
                yield cell.earmark
        yield self.earmarks(spec.profile)

    def bind(self, spec: JobSpec, needs: Mapping[str, Amount], tight: bool) -> bool:
        """Pin a gang within the guarantee of its profile, or change nothing."""
        profile = spec.profile
        if profile not in self.cells:
            return False
        workers = self.topology.workers
        units = {
            worker_id: workers[worker_id].units(amount)
            for worker_id, amount in needs.items()
        }
        if not units or sum(units.values()) > self.free_units[profile]:
            return False
        for worker_id, taken in units.items():
            row = workers[worker_id]
            if row.usable and row.pinned_units + taken > row.total_units:
                return False
        self._pin(needs, 1)
        for cover in self._covers(spec, units, tight):
            undo: Undo = {}
            for cell, packing in cover:
                self._lift(cell, undo)
                self._use(cell, spec.job_id, packing, 1)
            if self._settle([cell for cell, _ in cover], units, undo):
                return True
            for cell, packing in cover:
                self._use(cell, spec.job_id, packing, -1)
            self._restore(undo)
        self._pin(needs, -1)
        return False

    def unbind(self, profile: str, job_id: str, needs: Mapping[str, Amount]) -> None:
        """Give back the cells that a gang used; they can be bound elsewhere."""
        self._pin(needs, -1)
        for cell in self.cells.get(profile, ()):
            packing = cell.used.get(job_id)
            if packing is not None:
                self._use(cell, job_id, packing, -1)
                set_extent(cell, cell.extent if cell.carried else None, self.topology)
        self.repair(needs)

    def pin(self, needs: Mapping[str, Amount]) -> None:
        """Pin work that lies in no guarantee and that cannot be reclaimed."""
        self._pin(needs, 1)
        self.repair(needs)

    def unpin(self, needs: Mapping[str, Amount]) -> None:
        """Undo ``pin``."""
        self._pin(needs, -1)

    def repair(self, worker_ids: Iterable[str]) -> None:
        """Move earmarks off workers that cannot carry them any more."""
        undo: Undo = {}
        if not self._settle([], worker_ids, undo):
            self._restore(undo)
            self.repack()

    def place(self, uncarried: Iterable[GuaranteedCell]) -> None:
        """Find places for cells that have none, moving others where that helps."""
        for cell in sorted(uncarried, key=packing_order):
            set_extent(cell, find_extent(cell, self.topology), self.topology)
        if self.uncarried():
            self.repack()

    def _pin(self, needs: Mapping[str, Amount], sign: int) -> None:
        for worker_id, amount in needs.items():
            row = self.topology.workers.get(worker_id)
            if row is not None:
                self.topology.pin(row, amount, sign)

    def _use(
        self, cell: GuaranteedCell, job_id: str, packing: Packing, sign: int
    ) -> None:
        if sign > 0:
            cell.used[job_id] = packing
        else:
            del cell.used[job_id]
        units = sign * sum(packing.values())
        cell.used_units += units
        self.free_units[cell.profile] -= units

    def _lift(
        self,
        cell: GuaranteedCell,
        undo: Undo,
    ) -> None:
        undo.setdefault(id(cell), (cell, cell.extent, cell.carried))
        set_extent(cell, None, self.topology)

    def _restore(self, undo: Undo) -> None:
        for cell, _, _ in undo.values():
            set_extent(cell, None, self.topology)
        for cell, extent, carried in undo.values():
            set_extent(cell, extent if carried else None, self.topology)

    def _settle(
        self,
        lifted: list[GuaranteedCell],
        worker_ids: Iterable[str],
        undo: Undo,
    ) -> bool:
        """Pack the lifted cells and those on overfull workers; true when all fit.

        Cells that were not carried before need not be carried afterwards, unless the
        gang is bound to them.
        """
        rows = [
            row
            for worker_id in worker_ids
            if (row := self.topology.workers.get(worker_id)) is not None
        ]
        overfull = {row.worker.worker_id: row for row in rows if row.room() < 0}
        if overfull:
            for cell in list(self.all_cells()):
                if any(
                    worker_id in overfull and overfull[worker_id].room() < 0
                    for worker_id in cell.earmark
                ):
                    self._lift(cell, undo)
                    lifted.append(cell)
            if any(row.room() < 0 for row in overfull.values()):
                return False
        if self._pack_lifted(lifted, undo):
            return True
        if not overfull and not lifted:
            return True
        # Other earmarks may be in the way: pack all anew.
        for cell in self.all_cells():
            if id(cell) not in undo:
                undo[id(cell)] = (cell, cell.extent, cell.carried)
            set_extent(cell, None, self.topology)
        return self._pack_lifted(list(self.all_cells()), undo)

    def _pack_lifted(
        self,
        lifted: list[GuaranteedCell],
        undo: Undo,
    ) -> bool:
        for cell in sorted(lifted, key=packing_order):
            found = find_extent(cell, self.topology)
            set_extent(cell, found, self.topology)
            if found is None and undo[id(cell)][2]:
                return False
        return True

    def _covers(self, spec: JobSpec, units: Packing, tight: bool) -> Iterator[Cover]:
        """Yield the cells that a gang on these workers could use."""
        total = sum(units.values())
        fitting = self.fitting_cells(spec.profile, spec.adjacency, total, tight)
        fitting = [cell for cell in fitting if self._contains(cell, units)]
        for cell in fitting[:CELLS_TRIED]:
            yield [(cell, dict(units))]
        if fitting:
            return
        cells = [cell for cell in self.cells[spec.profile] if cell.residual > 0]
        if tight and any(cell.residual >= total for cell in cells):
            return
        parts = self._cover_parts(cells, units)
        if parts is not None and len(parts) > 1:
            yield parts

    def _cover_parts(self, cells: list[GuaranteedCell], units: Packing) -> Cover | None:
        left = {id(cell): cell.residual for cell in cells}
        parts: dict[int, tuple[GuaranteedCell, Packing]] = {}
        for worker_id, needed in units.items():
            while needed:
                best: GuaranteedCell | None = None
                best_key = (False, 0)
                for cell in cells:
                    room = left[id(cell)]
                    part = parts.get(id(cell), (cell, {}))[1]
                    if room <= 0 or not self._contains(cell, [*part, worker_id]):
                        continue
                    key = (room < needed, room if room >= needed else -room)
                    if best is None or key < best_key:
                        best, best_key = cell, key
                if best is None:
                    return None
                taken = min(needed, left[id(best)])
                left[id(best)] -= taken
                needed -= taken
                part = parts.setdefault(id(best), (best, {}))[1]
                part[worker_id] = part.get(worker_id, 0) + taken
        return list(parts.values())

    def _contains(self, cell: GuaranteedCell, worker_ids: Iterable[str]) -> bool:
        """Return whether the cell, as far as it is fixed, can lie on the workers."""
        places = set()
        for worker_id in (*cell.used_by_worker(), *worker_ids):
            row = self.topology.workers.get(worker_id)
            if row is None or row.worker.zone not in cell.zones:
                return False
            worker = row.worker
            if cell.adjacency is Adjacency.WORKER:
                places.add(worker_id)
            elif cell.adjacency is Adjacency.RACK:
                places.add(f"{worker.zone}/{worker.rack}")
            else:
                places.add(worker.zone)
        return len(places) == 1
