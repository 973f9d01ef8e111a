"""Which waiting job starts next, and where.

Urgent work goes first, then work within its guarantee, then borrowed work by the
organisation's share of use. Large gangs that cannot start get a reservation.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Iterator
from enum import Enum

from egretloft._internal.models.jobs import JobSpec, Priority
from egretloft._internal.scheduling.packing import Packing
from egretloft._internal.scheduling.placement import (
    Fit,
    TaskCounts,
    find_cheapest,
    find_free,
    fit_amount,
    needs_of,
)
from egretloft._internal.scheduling.queueing import Group, queue_place
from egretloft._internal.scheduling.reservations import Reservation, earliest_start
from egretloft._internal.scheduling.state import State
from egretloft._internal.scheduling.tables import (
    UNITS_PER_ACCELERATOR,
    Amount,
    JobRow,
    WorkerRow,
    task_amount,
)


class Heed(Enum):
    """Whose reservations a placement keeps."""

    ALL = 0
    OWN_PROFILE = 1
    NONE = 2


def _least(first: Fit, second: Fit) -> Fit:
    return lambda worker: min(first(worker), second(worker))


class Dispatcher:
    """Starts waiting jobs while cells are free or can be reclaimed."""

    def __init__(self, state: State) -> None:
        self.state = state

    def run(self) -> None:
        """Start all that can start now."""
        state = self.state
        waiting = [
            (group, row)
            for group, row in state.queue.heads()
            if row.spec.profile in state.profiles
            and group.blocked_at != state.blocked_mark(row.spec)
        ]
        if not waiting:
            return
        urgent = [item for item in waiting if item[1].spec.priority is Priority.URGENT]
        normal = [
            item for item in waiting if item[1].spec.priority is not Priority.URGENT
        ]
        urgent.sort(key=lambda item: queue_place(item[1].spec))
        for group, _ in urgent:
            self._start_all(group)
        normal.sort(key=lambda item: queue_place(item[1].spec))
        for group, _ in normal:
            self._start_guaranteed(group)
        self._start_borrowed([group for group, _ in normal])
        self._reserve()

    def _start_all(self, group: Group) -> None:
        while (row := group.head()) is not None:
            if not self._try_urgent(row):
                group.blocked_at = self.state.blocked_mark(row.spec)
                return

    def _start_guaranteed(self, group: Group) -> None:
        while (row := group.head()) is not None and self._try_guaranteed(row):
            pass

    def _start_borrowed(self, groups: Iterable[Group]) -> None:
        state = self.state
        order: list[tuple[float, tuple[float, str], int, Group]] = []
        number = 0
        for group in groups:
            row = group.head()
            if row is None:
                continue
            number += 1
            heapq.heappush(
                order, (self._share(row.spec), queue_place(row.spec), number, group)
            )
        while order:
            share, _, _, group = heapq.heappop(order)
            row = group.head()
            if row is None:
                continue
            current = self._share(row.spec)
            if current == share and not self._try_borrowed(row):
                group.blocked_at = state.blocked_mark(row.spec)
                continue
            row = group.head()
            if row is not None:
                number += 1
                heapq.heappush(
                    order,
                    (self._share(row.spec), queue_place(row.spec), number, group),
                )

    def _share(self, spec: JobSpec) -> float:
        return float(self.state.organisation_use[spec.organisation])

    def _within_limit(self, spec: JobSpec) -> bool:
        limit = self.state.profiles[spec.profile].limits.max_accelerators
        return (
            not limit
            or self.state.profile_use[spec.profile] + spec.accelerators <= limit
        )

    def _zones(self, spec: JobSpec) -> tuple[str, ...]:
        return self.state.profiles[spec.profile].zones

    def _free_fit(self, row: JobRow, heed: Heed) -> Fit:
        """Return the fit into free cells.

        Work that ends in time may use reserved cells, and so may jobs that are older
        than the holder of the reservation.
        """
        state = self.state
        spec = row.spec
        amount = task_amount(spec)
        reserved = state.reserved if heed is not Heed.NONE else {}
        ends_at = state.now + state.expected_seconds(row) if reserved else 0.0
        avoid = row.avoid if state.now < row.avoid_until else ()
        place = queue_place(spec)

        def fit(worker: WorkerRow) -> int:
            worker_id = worker.worker.worker_id
            if worker_id in avoid or (worker.probation and worker.gangs):
                return 0
            accelerators = worker.free_accelerators
            cores = worker.free_cores
            memory_gb = worker.free_memory_gb
            if reserved and worker_id in reserved:
                reservation = reserved[worker_id]
                holder = state.jobs[reservation.job_id].spec
                if (
                    ends_at > reservation.backfill_until
                    and queue_place(holder) < place
                    and (heed is Heed.ALL or holder.profile == spec.profile)
                ):
                    kept = reservation.needs[worker_id]
                    accelerators -= kept.accelerators
                    cores -= kept.cores
                    memory_gb -= kept.memory_gb
            return fit_amount(amount, accelerators, cores, memory_gb)

        return fit

    def _room_fit(self, row: JobRow, own: Packing, others: bool) -> Fit:
        """Return the fit into earmarked units of the job's own profile.

        With ``others`` also into units that no guarantee needs.
        """
        spec = row.spec
        amount = task_amount(spec)
        avoid = row.avoid if self.state.now < row.avoid_until else ()

        def fit(worker: WorkerRow) -> int:
            worker_id = worker.worker.worker_id
            if worker_id in avoid or (worker.probation and worker.gangs):
                return 0
            room = own.get(worker_id, 0)
            if others:
                room += worker.room()
            if room <= 0:
                return 0
            units = worker.units(amount)
            return room // units if units else spec.tasks

        return fit

    def _room_fits(self, row: JobRow, tight: bool) -> Iterator[Fit]:
        """Yield fits from the widest choice of cells to the safest."""
        guarantees = self.state.guarantees
        yield self._room_fit(row, guarantees.earmarks(row.spec.profile), True)
        for own in guarantees.earmarks_for(row.spec, tight):
            yield self._room_fit(row, own, False)

    def _bind(self, row: JobRow, counts: TaskCounts | None, tight: bool) -> bool:
        return counts is not None and self.state.guarantees.bind(
            row.spec, needs_of(row.spec, counts), tight
        )

    def find_bound_free(self, row: JobRow, tight: bool) -> TaskCounts | None:
        """Bind the gang to free cells and return them, or change nothing.

        ``tight`` is as in ``Guarantees.fitting_cells``.
        """
        spec = row.spec
        cells = self.state.cells
        zones = self._zones(spec)
        counts = find_free(spec, zones, cells, self._free_fit(row, Heed.ALL))
        if counts is not None and self._bind(row, counts, tight):
            return counts
        free = self._free_fit(row, Heed.OWN_PROFILE)
        for room in self._room_fits(row, tight):
            counts = find_free(spec, zones, cells, _least(free, room))
            if counts is not None and self._bind(row, counts, tight):
                return counts
        return None

    def _has_headroom(self, spec: JobSpec) -> bool:
        free = self.state.guarantees.free_units.get(spec.profile, 0)
        return free > 0 and free >= spec.accelerators * UNITS_PER_ACCELERATOR

    def _try_guaranteed(self, row: JobRow) -> bool:
        """Start or claim within the guarantee."""
        spec = row.spec
        if not self._within_limit(spec):
            return False
        if not self._has_headroom(spec):
            return not spec.restartable and self._try_uncovering(row)
        return self._start_bound(row)

    def _start_bound(self, row: JobRow) -> bool:
        """Start or claim within the guarantee, in the tightest cell that there is.

        Work that can restart would rather borrow free cells than stop other work.
        """
        spec = row.spec
        counts = self.find_bound_free(row, True)
        if counts is not None:
            self.state.start(row, counts, True)
            return True
        if spec.restartable and self._try_borrowed(row):
            return True
        if self._try_reclaim(row, True):
            return True
        if spec.restartable:
            return False
        counts = self.find_bound_free(row, False)
        if counts is not None:
            self.state.start(row, counts, True)
            return True
        return self._try_reclaim(row, False)

    def _try_reclaim(self, row: JobRow, tight: bool) -> bool:
        """Claim cells within the guarantee that hold borrowed work."""
        spec = row.spec
        state = self.state
        for room in self._room_fits(row, tight):
            counts = find_cheapest(
                spec,
                self._zones(spec),
                state.cells,
                room,
                lambda worker, amount: self._reclaim_cost(worker, spec, amount),
            )
            if counts is not None and self._bind(row, counts, tight):
                state.claim(row, counts, True)
                return True
        return False

    def _reclaim_cost(self, worker: WorkerRow, spec: JobSpec, amount: Amount) -> float:
        victims = self.state.victims(worker, spec, amount)
        if victims is None:
            return math.inf
        return sum(self.state.stop_cost(victim) for victim in victims)

    def _uncover_own(self, row: JobRow) -> list[JobRow]:
        """Uncover restartable gangs of the profile until the job has headroom."""
        state = self.state
        spec = row.spec
        own = [
            gang
            for gang in state.gangs.get(spec.profile, {}).values()
            if gang.covered
            and gang.spec.restartable
            and gang.spec.priority is not Priority.URGENT
            and not gang.stopping
        ]
        own.sort(key=lambda gang: -gang.started_at)
        uncovered: list[JobRow] = []
        for gang in own:
            if self._has_headroom(spec):
                break
            state.uncover(gang)
            uncovered.append(gang)
        return uncovered

    def _cover_again(self, uncovered: Iterable[JobRow]) -> None:
        for gang in uncovered:
            self.state.cover_or_pin(gang)

    def _try_uncovering(self, row: JobRow) -> bool:
        """Start on free cells in place of restartable work of the own guarantee.

        That work keeps running as borrowed work.
        """
        uncovered = self._uncover_own(row)
        if uncovered and self._has_headroom(row.spec):
            counts = self.find_bound_free(row, True)
            if counts is None:
                counts = self.find_bound_free(row, False)
            if counts is not None:
                self.state.start(row, counts, True)
                return True
        self._cover_again(uncovered)
        return False

    def _try_borrowed(self, row: JobRow) -> bool:
        spec = row.spec
        if not spec.restartable or not self._within_limit(spec):
            return False
        counts = find_free(
            spec, self._zones(spec), self.state.cells, self._free_fit(row, Heed.ALL)
        )
        if counts is None:
            return False
        self.state.start(row, counts, False)
        return True

    def _try_urgent(self, row: JobRow) -> bool:
        spec = row.spec
        state = self.state
        if not self._within_limit(spec):
            return False
        headroom = self._has_headroom(spec)
        if headroom:
            counts = self.find_bound_free(row, True)
            if counts is not None:
                state.start(row, counts, True)
                return True
        if spec.restartable:
            counts = find_free(
                spec, self._zones(spec), state.cells, self._free_fit(row, Heed.NONE)
            )
            if counts is not None:
                state.start(row, counts, False)
                return True
        if headroom and self._start_bound(row):
            return True
        if not headroom:
            uncovered = self._uncover_own(row)
            if uncovered and self._has_headroom(spec) and self._start_bound(row):
                return True
            self._cover_again(uncovered)
        return spec.restartable and self._try_urgent_borrowed(row)

    def _try_urgent_borrowed(self, row: JobRow) -> bool:
        """Claim cells of borrowed work that is not urgent, as borrowed cells."""
        spec = row.spec
        state = self.state
        amount = task_amount(spec)

        def fit(worker: WorkerRow) -> int:
            accelerators = worker.free_accelerators
            cores = worker.free_cores
            memory_gb = worker.free_memory_gb
            for job_id in worker.gangs:
                gang = state.jobs[job_id]
                if gang.reclaimable and gang.spec.priority is not Priority.URGENT:
                    held = worker.gangs[job_id]
                    accelerators += held.accelerators
                    cores += held.cores
                    memory_gb += held.memory_gb
            return fit_amount(amount, accelerators, cores, memory_gb)

        counts = find_cheapest(
            spec,
            self._zones(spec),
            state.cells,
            fit,
            lambda worker, need: self._reclaim_cost(worker, spec, need),
        )
        if counts is None:
            return False
        state.claim(row, counts, False)
        return True

    def _reserve(self) -> None:
        """Refresh reservations and make new ones for the oldest large gangs."""
        state = self.state
        settings = state.settings
        for reservation in list(state.reservations.values()):
            if not all(
                (worker := state.cells.workers.get(worker_id)) is not None
                and worker.usable
                for worker_id in reservation.needs
            ):
                state.drop_reservation(reservation.job_id)
        waiting = sorted(
            (
                row
                for _, row in state.queue.heads()
                if row.spec.accelerators >= settings.reservation_accelerators
                and row.spec.profile in state.profiles
                and row.spec.job_id not in state.reservations
                and self._within_limit(row.spec)
            ),
            key=lambda row: queue_place(row.spec),
        )
        for row in waiting:
            self._reserve_for(row)

    def _reserve_for(self, row: JobRow) -> None:
        state = self.state
        spec = row.spec
        counted: dict[str, int] = {}
        for reservation in state.reservations.values():
            zone = state.cells.workers[next(iter(reservation.needs))].worker.zone
            counted[zone] = counted.get(zone, 0) + 1
        zones = [
            name
            for name in self._zones(spec)
            if counted.get(name, 0) < state.settings.reservations_per_zone
        ]
        if not zones:
            return
        found = earliest_start(
            spec, zones, state.cells, state.expected_end, state.reserved, state.now
        )
        if found is None:
            return
        at, counts = found
        state.reserve(Reservation(spec.job_id, needs_of(spec, counts), at, at))
