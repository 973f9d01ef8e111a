"""Dispatch: chooses which waiting job starts next, and on which workers.

Urgent work goes first, then work within its guarantee, then borrowed work, starting
with the organisation that uses the fewest accelerators. Large gangs that cannot start
get a reservation.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from enum import Enum

from egretloft._internal.models.jobs import JobSpec, Priority
from egretloft._internal.scheduling.decisions import StopReason
from egretloft._internal.scheduling.packing import Packing
from egretloft._internal.scheduling.placement import (
    Fit,
    TaskCounts,
    find_cheapest,
    find_free,
    fit_amount,
    needs_of,
)
from egretloft._internal.scheduling.queueing import Group, queue_position
from egretloft._internal.scheduling.reservations import Reservation, earliest_start
from egretloft._internal.scheduling.state import State
from egretloft._internal.scheduling.tables import (
    UNITS_PER_ACCELERATOR,
    Amount,
    JobRow,
    WorkerRow,
    task_amount,
)

# Extra cost, in accelerator-seconds, of reclaiming a reserved accelerator, so that a
# waiting gang loses its reservation only when nothing else can be reclaimed.
RESERVED_COST = 1e4
# Added to the wait of every job in the queue order, so that short jobs are preferred at
# once and not only after they have waited.
WAIT_OFFSET_SECONDS = 30.0
# The weight of a gang that holds a reservation is multiplied by this factor, so that it
# loses the reservation only to a gang of more than twice its weight.
HOLDER_WEIGHT_FACTOR = 2.0
# A reservation moves to other workers when the gang could start there in less than this
# share of its remaining wait; it is checked at intervals of ``RECHECK_SECONDS``.
MOVE_THRESHOLD = 0.5
RECHECK_SECONDS = 10.0
# A gang that has been stopped this many times is not stopped again to make room.
MAX_STOPS_TO_MAKE_ROOM = 2


class ReservationScope(Enum):
    """The reservations of other jobs that a placement must respect."""

    ALL = 0
    OWN_PROFILE = 1
    NONE = 2


def _min_fit(first: Fit, second: Fit) -> Fit:
    return lambda worker: min(first(worker), second(worker))


def _unearmarked_fit(spec: JobSpec) -> Fit:
    """Return the fit into free accelerators that are not earmarked."""
    per_task = spec.accelerators_per_task

    def fit(worker: WorkerRow) -> int:
        earmarked = -(-worker.earmarked_units // UNITS_PER_ACCELERATOR)
        if not per_task:
            return 0 if earmarked else spec.tasks
        return max(0, worker.free_accelerators - earmarked) // per_task

    return fit


class Dispatcher:
    """Starts waiting jobs on free cells and claims cells that can be reclaimed."""

    def __init__(self, state: State) -> None:
        self.state = state

    def run(self) -> None:
        """Start waiting jobs, claim cells for them, and refresh the reservations."""
        state = self.state
        waiting = [
            (group, row)
            for group, row in state.queue.heads()
            if row.spec.profile in state.profiles
            and group.blocked_version != state.placement_version(row.spec)
        ]
        if not waiting:
            return
        urgent = [item for item in waiting if item[1].spec.priority is Priority.URGENT]
        normal = [
            item for item in waiting if item[1].spec.priority is not Priority.URGENT
        ]
        urgent.sort(key=lambda item: queue_position(item[1].spec))
        for group, _ in urgent:
            self._start_urgent(group)
        normal.sort(key=lambda item: self._order_key(item[1]))
        for group, _ in normal:
            self._start_guaranteed(group)
        self._start_borrowed([group for group, _ in normal])
        self._reserve()

    def _start_urgent(self, group: Group) -> None:
        while (row := group.head()) is not None:
            if not self._try_urgent(row):
                group.blocked_version = self.state.placement_version(row.spec)
                return

    def _start_guaranteed(self, group: Group) -> None:
        while (row := group.head()) is not None and self._try_guaranteed(row):
            pass

    def _start_borrowed(self, groups: Iterable[Group]) -> None:
        state = self.state
        order: list[tuple[float, float, int, Group]] = []
        number = 0
        for group in groups:
            row = group.head()
            if row is None:
                continue
            number += 1
            heapq.heappush(
                order,
                (self._organisation_use(row.spec), self._order_key(row), number, group),
            )
        while order:
            queued_use, _, _, group = heapq.heappop(order)
            row = group.head()
            if row is None:
                continue
            # If the use has changed since the group was pushed, the group is not tried
            # but pushed again with the current use.
            current_use = self._organisation_use(row.spec)
            if current_use == queued_use and not self._try_borrowed(row):
                group.blocked_version = state.placement_version(row.spec)
                continue
            row = group.head()
            if row is not None:
                number += 1
                heapq.heappush(
                    order,
                    (
                        self._organisation_use(row.spec),
                        self._order_key(row),
                        number,
                        group,
                    ),
                )

    def _organisation_use(self, spec: JobSpec) -> float:
        return float(self.state.organisation_use[spec.organisation])

    def _order_key(self, row: JobRow) -> float:
        """Return the sort key of a job among jobs of equal rank; lower goes first.

        Short jobs go first. The key falls while the job waits, faster for shorter jobs,
        so that no job starves.
        """
        spec = row.spec
        waited = max(0.0, self.state.now - spec.submitted_at)
        return -(WAIT_OFFSET_SECONDS + waited) / self.state.expected_seconds(row)

    def _within_limit(self, spec: JobSpec) -> bool:
        limit = self.state.profiles[spec.profile].limits.max_accelerators
        return (
            not limit
            or self.state.profile_use[spec.profile] + spec.accelerators <= limit
        )

    def _zones(self, spec: JobSpec) -> tuple[str, ...]:
        return self.state.profiles[spec.profile].zones

    def _free_fit(self, row: JobRow, scope: ReservationScope, movable: bool) -> Fit:
        """Return the fit into free cells.

        Reserved cells are open to work that is expected to end in time (backfill), to
        jobs that are older than the holder of the reservation, and to ``movable``
        work, which can be stopped at a checkpoint when the holder starts.
        """
        state = self.state
        spec = row.spec
        amount = task_amount(spec)
        reserved = state.reserved if scope is not ReservationScope.NONE else {}
        ends_at = state.now + state.expected_seconds(row) if reserved else 0.0
        avoid = row.avoid if state.now < row.avoid_until else ()
        position = queue_position(spec)

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
                    and not movable
                    and queue_position(holder) < position
                    and (
                        scope is ReservationScope.ALL or holder.profile == spec.profile
                    )
                ):
                    kept = reservation.needs[worker_id]
                    accelerators -= kept.accelerators
                    cores -= kept.cores
                    memory_gb -= kept.memory_gb
            return fit_amount(amount, accelerators, cores, memory_gb)

        return fit

    def _guarantee_fit(
        self, row: JobRow, own_units: Packing, include_available: bool
    ) -> Fit:
        """Return the fit into ``own_units``, which are earmarked for the job's profile.

        With ``include_available`` it also includes units that are neither pinned nor
        earmarked.
        """
        spec = row.spec
        amount = task_amount(spec)
        avoid = row.avoid if self.state.now < row.avoid_until else ()

        def fit(worker: WorkerRow) -> int:
            worker_id = worker.worker.worker_id
            if worker_id in avoid or (worker.probation and worker.gangs):
                return 0
            room = own_units.get(worker_id, 0)
            if include_available:
                room += worker.available_units()
            if room <= 0:
                return 0
            units = worker.units(amount)
            return room // units if units else spec.tasks

        return fit

    def _guarantee_fits(self, row: JobRow, tightest_only: bool) -> Iterator[Fit]:
        """Yield the fits to try one after the other within the guarantee.

        The first includes units outside the guarantee and offers the widest choice of
        cells. The others are limited to earmarked units, where the gang is more likely
        to fit the guarantee.
        """
        guarantees = self.state.guarantees
        yield self._guarantee_fit(row, guarantees.earmarks(row.spec.profile), True)
        for own_units in guarantees.earmarks_for(row.spec, tightest_only):
            yield self._guarantee_fit(row, own_units, False)

    def _bind(
        self, row: JobRow, counts: TaskCounts | None, tightest_only: bool
    ) -> bool:
        return counts is not None and self.state.guarantees.bind(
            row.spec, needs_of(row.spec, counts), tightest_only
        )

    def bind_free_cells(
        self,
        row: JobRow,
        tightest_only: bool,
        scope: ReservationScope = ReservationScope.OWN_PROFILE,
    ) -> TaskCounts | None:
        """Bind the gang to free cells; return its tasks by worker, or ``None``.

        ``tightest_only`` is as in ``Guarantees.fitting_cells``.
        """
        spec = row.spec
        cells = self.state.cells
        zones = self._zones(spec)
        free = self._free_fit(row, scope, False)
        counts = find_free(spec, zones, cells, free)
        if counts is None:
            return None
        if self._bind(row, counts, tightest_only):
            return counts
        for guarantee_fit in self._guarantee_fits(row, tightest_only):
            counts = find_free(spec, zones, cells, _min_fit(free, guarantee_fit))
            if counts is not None and self._bind(row, counts, tightest_only):
                return counts
        return None

    def _has_headroom(self, spec: JobSpec) -> bool:
        free = self.state.guarantees.free_units.get(spec.profile, 0)
        return free > 0 and free >= spec.accelerators * UNITS_PER_ACCELERATOR

    def _try_guaranteed(self, row: JobRow) -> bool:
        """Start the job or claim cells for it, within the guarantee of its profile."""
        spec = row.spec
        if not self._within_limit(spec):
            return False
        if not self._has_headroom(spec):
            return not spec.restartable and self._try_unbinding(row)
        return self._start_within_guarantee(row)

    def _start_within_guarantee(self, row: JobRow) -> bool:
        """Start the job or claim cells for it, in the tightest guaranteed cell first.

        Work that can restart borrows free cells before it has other work stopped.
        """
        spec = row.spec
        if self._start_on_free_cells(row, True, ReservationScope.ALL):
            return True
        if spec.restartable and self._try_borrowed(row):
            return True
        if self._waits_for_running_work(row):
            return False
        # Reserved cells come last: pinned work there would delay the holder.
        if self._try_reclaim(row, True):
            return True
        if self.state.reserved and self._start_on_free_cells(
            row, True, ReservationScope.OWN_PROFILE
        ):
            return True
        if spec.restartable:
            return False
        if self._start_on_free_cells(row, False, ReservationScope.OWN_PROFILE):
            return True
        return self._try_reclaim(row, False)

    def _waits_for_running_work(self, row: JobRow) -> bool:
        """Return whether to wait for running work to end before reclaiming cells.

        If so, a timer is set for the end of the wait.
        """
        state = self.state
        due = row.queued_at + state.settings.reclaim_after_seconds
        if row.spec.priority is Priority.URGENT or state.now >= due:
            return False
        state.set_timer(due, "reclaim", row.spec.profile)
        return True

    def _start_on_free_cells(
        self, row: JobRow, tightest_only: bool, scope: ReservationScope
    ) -> bool:
        counts = self.bind_free_cells(row, tightest_only, scope)
        if counts is None:
            return False
        self.state.start(row, counts, True)
        return True

    def _try_reclaim(self, row: JobRow, tightest_only: bool) -> bool:
        """Claim cells within the guarantee and stop the borrowed work on them."""
        spec = row.spec
        state = self.state
        for guarantee_fit in self._guarantee_fits(row, tightest_only):
            counts = find_cheapest(
                spec,
                self._zones(spec),
                state.cells,
                guarantee_fit,
                self._reclaim_cost,
            )
            if counts is not None and self._bind(row, counts, tightest_only):
                state.claim(row, counts, True, StopReason.RECLAIM)
                return True
        return False

    def _reclaim_cost(
        self,
        worker: WorkerRow,
        amount: Amount,
        may_stop: Callable[[JobRow], bool] | None = None,
    ) -> float:
        victims = self.state.victims(worker, amount, may_stop)
        if victims is None:
            return math.inf
        cost = sum(self.state.stop_cost(victim) for victim in victims)
        if worker.worker.worker_id in self.state.reserved:
            cost += RESERVED_COST * max(1, amount.accelerators)
        return cost

    def _unbind_own(self, row: JobRow) -> list[JobRow]:
        """Unbind restartable gangs of the profile until the job has headroom.

        The gangs that started last go first. Returns the gangs that were unbound.
        """
        state = self.state
        spec = row.spec
        own = [
            gang
            for gang in state.gangs.get(spec.profile, {}).values()
            if gang.bound
            and gang.spec.restartable
            and gang.spec.priority is not Priority.URGENT
            and not gang.stopping
        ]
        own.sort(key=lambda gang: -gang.started_at)
        unbound: list[JobRow] = []
        for gang in own:
            if self._has_headroom(spec):
                break
            state.unbind_gang(gang)
            unbound.append(gang)
        return unbound

    def _rebind(self, unbound: Iterable[JobRow]) -> None:
        for gang in unbound:
            self.state.bind_or_pin(gang)

    def _try_unbinding(self, row: JobRow) -> bool:
        """Start on free cells within units taken from restartable work of the profile.

        That work keeps running as borrowed work.
        """
        unbound = self._unbind_own(row)
        if unbound and self._has_headroom(row.spec):
            counts = self.bind_free_cells(row, True)
            if counts is None:
                counts = self.bind_free_cells(row, False)
            if counts is not None:
                self.state.start(row, counts, True)
                return True
        self._rebind(unbound)
        return False

    def _try_borrowed(self, row: JobRow) -> bool:
        spec = row.spec
        if not spec.restartable or not self._within_limit(spec):
            return False
        zones = self._zones(spec)
        cells = self.state.cells
        free = self._free_fit(row, ReservationScope.ALL, spec.checkpointable)
        counts = None
        if not spec.checkpointable:
            # A stop would lose all its work, so it avoids earmarked cells, where a
            # guarantee may be reclaimed.
            counts = find_free(
                spec, zones, cells, _min_fit(free, _unearmarked_fit(spec))
            )
        if counts is None:
            counts = find_free(spec, zones, cells, free)
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
            counts = self.bind_free_cells(row, True)
            if counts is not None:
                state.start(row, counts, True)
                return True
        if spec.restartable:
            counts = find_free(
                spec,
                self._zones(spec),
                state.cells,
                self._free_fit(row, ReservationScope.NONE, False),
            )
            if counts is not None:
                state.start(row, counts, False)
                return True
        if headroom and self._start_within_guarantee(row):
            return True
        if not headroom:
            unbound = self._unbind_own(row)
            if (
                unbound
                and self._has_headroom(spec)
                and self._start_within_guarantee(row)
            ):
                return True
            self._rebind(unbound)
        return spec.restartable and self._try_urgent_borrowed(row)

    def _try_urgent_borrowed(self, row: JobRow) -> bool:
        """Claim cells for an urgent job outside its guarantee.

        Borrowed work that is not urgent is stopped for it.
        """
        return self._try_stopping(
            row,
            StopReason.URGENT,
            lambda gang: gang.spec.priority is not Priority.URGENT,
            math.inf,
        )

    def _try_make_room(self, row: JobRow) -> bool:
        """Claim cells of smaller borrowed work for a large gang that has waited.

        The work lost by the stops must not exceed a share of the accelerator-seconds
        that the gang has waited. This budget grows with the wait, so the wait is
        bounded, and cells need not stay idle for the gang in the meantime.
        """
        state = self.state
        spec = row.spec
        waited = state.now - spec.submitted_at
        if waited < state.settings.make_room_after_seconds:
            return False
        return self._try_stopping(
            row,
            StopReason.MAKE_ROOM,
            lambda gang: self._may_stop_to_make_room(gang, spec),
            state.settings.make_room_share * spec.accelerators * waited,
        )

    def _may_stop_to_make_room(self, gang: JobRow, spec: JobSpec) -> bool:
        return (
            gang.spec.priority is not Priority.URGENT
            and 2 * gang.spec.accelerators <= spec.accelerators
            and gang.stops < MAX_STOPS_TO_MAKE_ROOM
        )

    def _try_stopping(
        self,
        row: JobRow,
        reason: StopReason,
        may_stop: Callable[[JobRow], bool],
        budget: float,
    ) -> bool:
        """Claim the cells where stops lose the least work, outside the guarantee.

        Nothing is claimed when the lost work exceeds ``budget`` accelerator-seconds.
        """
        spec = row.spec
        state = self.state
        amount = task_amount(spec)
        avoid = row.avoid if state.now < row.avoid_until else ()

        def fit(worker: WorkerRow) -> int:
            if worker.worker.worker_id in avoid or (worker.probation and worker.gangs):
                return 0
            accelerators = worker.free_accelerators
            cores = worker.free_cores
            memory_gb = worker.free_memory_gb
            for job_id, held in worker.gangs.items():
                gang = state.jobs[job_id]
                if gang.reclaimable and may_stop(gang):
                    accelerators += held.accelerators
                    cores += held.cores
                    memory_gb += held.memory_gb
            return fit_amount(amount, accelerators, cores, memory_gb)

        def cost(worker: WorkerRow, need: Amount) -> float:
            return self._reclaim_cost(worker, need, may_stop)

        counts = find_cheapest(spec, self._zones(spec), state.cells, fit, cost)
        if counts is None:
            return False
        if budget < math.inf:
            victims = {
                victim.spec.job_id: victim
                for worker_id, need in needs_of(spec, counts).items()
                for victim in state.victims(
                    state.cells.workers[worker_id], need, may_stop
                )
                or ()
            }
            if sum(map(state.lost_work, victims.values())) > budget:
                return False
        state.claim(row, counts, False, reason, may_stop)
        return True

    def _reserve(self) -> None:
        """Refresh reservations and make new ones for the heaviest waiting gangs."""
        state = self.state
        settings = state.settings
        for reservation in list(state.reservations.values()):
            if not all(
                (worker := state.cells.workers.get(worker_id)) is not None
                and worker.usable
                for worker_id in reservation.needs
            ):
                state.drop_reservation(reservation.job_id)
                continue
            ends = [
                state.expected_end(job_id)
                for worker_id in reservation.needs
                for job_id in state.cells.workers[worker_id].gangs
                if not (
                    state.jobs[job_id].reclaimable
                    and state.jobs[job_id].spec.checkpointable
                )
            ]
            reservation.starts_at = max(ends, default=state.now)
            reservation.backfill_until = min(
                reservation.backfill_until, reservation.starts_at
            )
        waiting = [
            row
            for _, row in state.queue.heads()
            if (
                row.spec.accelerators >= settings.reservation_accelerators
                or state.now - row.spec.submitted_at
                >= settings.reservation_patience_seconds
            )
            and row.spec.profile in state.profiles
            and self._within_limit(row.spec)
        ]
        waiting.sort(key=lambda row: (-self._reservation_weight(row), row.spec.job_id))
        for row in waiting[: settings.reservations_tried]:
            if row.spec.restartable and self._try_make_room(row):
                continue
            held = state.reservations.get(row.spec.job_id)
            if (
                state.now - row.spec.submitted_at >= settings.reservation_after_seconds
                and (held is None or state.now - held.checked_at >= RECHECK_SECONDS)
            ):
                self._reserve_for(row)

    def _reservation_weight(self, row: JobRow) -> float:
        """Return the weight of a gang when reservations are made: size times wait."""
        state = self.state
        spec = row.spec
        weight = spec.accelerators * (60.0 + state.now - spec.submitted_at)
        return (
            weight * HOLDER_WEIGHT_FACTOR
            if spec.job_id in state.reservations
            else weight
        )

    def _reserve_for(self, row: JobRow) -> None:
        """Reserve the cells on which the gang is expected to start first.

        Workers that heavier gangs have reserved are left out. Lighter gangs lose the
        reservations that overlap.
        """
        state = self.state
        spec = row.spec
        weight = self._reservation_weight(row)
        kept_by_worker: dict[str, Reservation] = {}
        kept_count_by_zone: dict[str, int] = {}
        for reservation in state.reservations.values():
            if reservation.job_id == spec.job_id:
                continue
            if self._reservation_weight(state.jobs[reservation.job_id]) < weight:
                continue
            for worker_id in reservation.needs:
                kept_by_worker[worker_id] = reservation
            zone = state.cells.workers[next(iter(reservation.needs))].worker.zone
            kept_count_by_zone[zone] = kept_count_by_zone.get(zone, 0) + 1
        zones = [
            name
            for name in self._zones(spec)
            if kept_count_by_zone.get(name, 0) < state.settings.reservations_per_zone
        ]
        if not zones:
            return
        held = state.reservations.get(spec.job_id)

        def ends_at(job_id: str) -> float:
            gang = state.jobs[job_id]
            end = state.expected_end(job_id)
            if gang.reclaimable and self._may_stop_to_make_room(gang, spec):
                # It can be stopped to make room; the work that it would lose counts as
                # additional time.
                lost = state.lost_work(gang) / max(1, gang.spec.accelerators)
                end = min(end, state.now + state.settings.stop_seconds + lost)
            return end

        found = earliest_start(
            spec, zones, state.cells, ends_at, kept_by_worker, state.now
        )
        if held is not None:
            held.checked_at = state.now
        if found is None:
            return
        at, counts = found
        if held is not None:
            if at > state.now + MOVE_THRESHOLD * (held.starts_at - state.now):
                return
            state.drop_reservation(spec.job_id)
        for reservation in list(state.reservations.values()):
            if not reservation.needs.keys().isdisjoint(counts):
                state.drop_reservation(reservation.job_id)
        state.reserve(
            Reservation(spec.job_id, needs_of(spec, counts), at, at, state.now)
        )
