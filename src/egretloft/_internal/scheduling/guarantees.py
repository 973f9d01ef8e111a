"""Lazy binding of guarantees to cells.

Every guaranteed cell that can be placed has an extent, the units on workers where it
lies. The unused part of the extent is its earmark: those units are free or hold
reclaimable work. Earmarks overlap neither each other nor pinned work, which ensures
that all guarantees can be reclaimed at the same time. Earmarks may move: work may be
pinned on earmarked units when the cell can be packed elsewhere.
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

Binding = list[tuple[GuaranteedCell, Packing]]
"""The units of guaranteed cells that a gang uses, by cell and worker."""

Undo = dict[int, tuple[GuaranteedCell, Packing, bool]]
"""Former extents of cells that were moved, and whether they were placed."""

# Limit on the guaranteed cells that are tried for one gang.
MAX_CELLS_TRIED = 3


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
        """Pack all cells from scratch; return whether all of them are placed."""
        return pack_all(list(self.all_cells()), self.topology)

    def unplaced(self) -> list[GuaranteedCell]:
        """Return the cells that have no place at present."""
        return [cell for cell in self.all_cells() if not cell.placed]

    def earmarks(self, profile: str) -> Packing:
        """Return the earmarked units of the profile by worker."""
        own: Packing = {}
        for cell in self.cells.get(profile, ()):
            for worker_id, units in cell.earmark.items():
                own[worker_id] = own.get(worker_id, 0) + units
        return own

    def fitting_cells(
        self, profile: str, adjacency: Adjacency, units: int, tightest_only: bool
    ) -> list[GuaranteedCell]:
        """Return the cells that can each hold the whole gang, tightest first.

        Of equally tight cells, those with the adjacency of the gang come first. With
        ``tightest_only`` all cells that rank below the first are left out: a gang that
        takes part of a larger cell deprives its organisation of that cell while a
        smaller one is unused.
        """
        cells = [
            cell
            for cell in self.cells.get(profile, ())
            if cell.residual >= units and cell.residual > 0
        ]

        def key(cell: GuaranteedCell) -> tuple[int, bool]:
            return cell.residual, cell.adjacency is not adjacency

        cells.sort(key=lambda cell: (*key(cell), cell.number))
        if tightest_only:
            cells = [cell for cell in cells if key(cell) == key(cells[0])]
        return cells

    def earmarks_for(self, spec: JobSpec, tightest_only: bool) -> Iterator[Packing]:
        """Yield the earmarks to try for the gang, in order.

        First those of each placed cell that the gang fits into (at most
        ``MAX_CELLS_TRIED``), then those of all the profile's cells together.
        """
        units = 0
        for cell in self.cells.get(spec.profile, ()):
            for worker_id in cell.earmark:
                row = self.topology.workers[worker_id]
                units = spec.tasks * row.units(task_amount(spec))
                break
        cells = self.fitting_cells(spec.profile, spec.adjacency, units, tightest_only)
        for cell in cells[:MAX_CELLS_TRIED]:
            if cell.placed:
                yield cell.earmark
        yield self.earmarks(spec.profile)

    def bind(
        self, spec: JobSpec, needs: Mapping[str, Amount], tightest_only: bool
    ) -> bool:
        """Pin a gang within the guarantee of its profile; return whether it fits.

        If it does not fit, nothing changes.
        """
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
        for binding in self._bindings(spec, units, tightest_only):
            undo: Undo = {}
            for cell, packing in binding:
                self._displace(cell, undo)
                self._change_use(cell, spec.job_id, packing, 1)
            if self._repack_displaced([cell for cell, _ in binding], units, undo):
                return True
            for cell, packing in binding:
                self._change_use(cell, spec.job_id, packing, -1)
            self._restore(undo)
        self._pin(needs, -1)
        return False

    def unbind(self, profile: str, job_id: str, needs: Mapping[str, Amount]) -> None:
        """Unpin a gang and free the units of the guaranteed cells that it used."""
        self._pin(needs, -1)
        for cell in self.cells.get(profile, ()):
            packing = cell.used.get(job_id)
            if packing is not None:
                self._change_use(cell, job_id, packing, -1)
                set_extent(cell, cell.extent if cell.placed else None, self.topology)
        self.repair(needs)

    def pin(self, needs: Mapping[str, Amount]) -> None:
        """Pin work that is outside its guarantee and cannot be reclaimed."""
        self._pin(needs, 1)
        self.repair(needs)

    def unpin(self, needs: Mapping[str, Amount]) -> None:
        """Undo ``pin``."""
        self._pin(needs, -1)

    def repair(self, worker_ids: Iterable[str]) -> None:
        """Move earmarks off workers that can no longer hold them."""
        undo: Undo = {}
        if not self._repack_displaced([], worker_ids, undo):
            self._restore(undo)
            self.repack()

    def place(self, unplaced: Iterable[GuaranteedCell]) -> None:
        """Find places for cells that have none, and repack all if some remain."""
        for cell in sorted(unplaced, key=packing_order):
            set_extent(cell, find_extent(cell, self.topology), self.topology)
        if self.unplaced():
            self.repack()

    def _pin(self, needs: Mapping[str, Amount], sign: int) -> None:
        for worker_id, amount in needs.items():
            row = self.topology.workers.get(worker_id)
            if row is not None:
                self.topology.pin(row, amount, sign)

    def _change_use(
        self, cell: GuaranteedCell, job_id: str, packing: Packing, sign: int
    ) -> None:
        if sign > 0:
            cell.used[job_id] = packing
        else:
            del cell.used[job_id]
        units = sign * sum(packing.values())
        cell.used_units += units
        self.free_units[cell.profile] -= units

    def _displace(
        self,
        cell: GuaranteedCell,
        undo: Undo,
    ) -> None:
        undo.setdefault(id(cell), (cell, cell.extent, cell.placed))
        set_extent(cell, None, self.topology)

    def _restore(self, undo: Undo) -> None:
        for cell, _, _ in undo.values():
            set_extent(cell, None, self.topology)
        for cell, extent, placed in undo.values():
            set_extent(cell, extent if placed else None, self.topology)

    def _repack_displaced(
        self,
        displaced: list[GuaranteedCell],
        worker_ids: Iterable[str],
        undo: Undo,
    ) -> bool:
        """Pack the displaced cells and those on overcommitted workers.

        If they do not fit, all cells are packed from scratch. Returns whether every
        cell that was moved and had a place before has one again. A cell that had none
        may stay without one, even if a gang is being bound to it.
        """
        rows = [
            row
            for worker_id in worker_ids
            if (row := self.topology.workers.get(worker_id)) is not None
        ]
        overcommitted = {
            row.worker.worker_id: row for row in rows if row.available_units() < 0
        }
        if overcommitted:
            for cell in list(self.all_cells()):
                if any(
                    worker_id in overcommitted
                    and overcommitted[worker_id].available_units() < 0
                    for worker_id in cell.earmark
                ):
                    self._displace(cell, undo)
                    displaced.append(cell)
            if any(row.available_units() < 0 for row in overcommitted.values()):
                return False
        if self._pack_displaced(displaced, undo):
            return True
        if not overcommitted and not displaced:
            return True
        # Other earmarks may be in the way, so all cells are packed from scratch.
        for cell in self.all_cells():
            if id(cell) not in undo:
                undo[id(cell)] = (cell, cell.extent, cell.placed)
            set_extent(cell, None, self.topology)
        return self._pack_displaced(list(self.all_cells()), undo)

    def _pack_displaced(
        self,
        displaced: list[GuaranteedCell],
        undo: Undo,
    ) -> bool:
        for cell in sorted(displaced, key=packing_order):
            found = find_extent(cell, self.topology)
            set_extent(cell, found, self.topology)
            if found is None and undo[id(cell)][2]:
                return False
        return True

    def _bindings(
        self, spec: JobSpec, units: Packing, tightest_only: bool
    ) -> Iterator[Binding]:
        """Yield the ways to bind a gang on these workers to guaranteed cells.

        A gang is split over several cells only if no single cell can hold it on these
        workers, with ``tightest_only`` only if no cell has as many free units.
        """
        total = sum(units.values())
        fitting = self.fitting_cells(spec.profile, spec.adjacency, total, tightest_only)
        fitting = [cell for cell in fitting if self._contains(cell, units)]
        for cell in fitting[:MAX_CELLS_TRIED]:
            yield [(cell, dict(units))]
        if fitting:
            return
        cells = [cell for cell in self.cells[spec.profile] if cell.residual > 0]
        if tightest_only and any(cell.residual >= total for cell in cells):
            return
        parts = self._split_over_cells(cells, units)
        if parts is not None and len(parts) > 1:
            yield parts

    def _split_over_cells(
        self, cells: list[GuaranteedCell], units: Packing
    ) -> Binding | None:
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
        """Return whether the cell can span these workers and those that it uses."""
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
