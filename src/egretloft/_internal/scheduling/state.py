"""The scheduler's tables, and the operations that move jobs between their states."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Mapping

from egretloft._internal.models.jobs import JobSpec, Placement, Priority, TaskPlacement
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.profiles import Profile
from egretloft._internal.scheduling.cells import Cells, device_indexes
from egretloft._internal.scheduling.decisions import (
    Decision,
    EndJob,
    StartGang,
    StopGang,
    StopReason,
)
from egretloft._internal.scheduling.estimates import Estimates
from egretloft._internal.scheduling.guarantees import Guarantees
from egretloft._internal.scheduling.placement import needs_of
from egretloft._internal.scheduling.queueing import Queue
from egretloft._internal.scheduling.reservations import Reservation
from egretloft._internal.scheduling.settings import SchedulerSettings
from egretloft._internal.scheduling.tables import (
    Amount,
    GangState,
    JobRow,
    WorkerRow,
    task_amount,
)


class State:
    """Tables of workers, jobs, profiles, claims and reservations."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.now = 0.0
        self.cells = Cells()
        self.guarantees = Guarantees(self.cells)
        self.estimates = Estimates(settings.estimate_quantile)
        self.queue = Queue()
        self.profiles: dict[str, Profile] = {}
        self.jobs: dict[str, JobRow] = {}
        self.gangs: dict[str, dict[str, JobRow]] = {}
        self.claims: dict[str, JobRow] = {}
        self.reservations: dict[str, Reservation] = {}
        self.reserved: dict[str, Reservation] = {}
        self.profile_use: Counter[str] = Counter()
        self.organisation_use: Counter[str] = Counter()
        # Incremented when work of the profile ends or the profile changes.
        self.profile_version: Counter[str] = Counter()
        self.profiles_to_promote: set[str] = set()
        self.timers: list[tuple[float, int, str, str]] = []
        self.timer_number = 0
        self.decisions: list[Decision] = []
        self.changed = False

    def set_timer(self, at: float, kind: str, subject: str) -> None:
        """Set a timer that fires at the first tick at or after ``at``."""
        self.timer_number += 1
        heapq.heappush(self.timers, (at, self.timer_number, kind, subject))

    def placement_version(self, spec: JobSpec) -> tuple[int, int]:
        """Return a version that changes when a job that could not start may fit.

        A blocked group is not tried again while the version stays the same.
        """
        profile = self.profiles[spec.profile]
        zones = self.cells.zones
        freed_count = sum(
            zones[name].freed_count for name in profile.zones if name in zones
        )
        return freed_count, self.profile_version[spec.profile]

    def enqueue(self, row: JobRow) -> None:
        """Queue a job at its position, not before its ``not_before`` time."""
        if row.state is not GangState.WAITING or row.attempt == 0:
            row.queued_at = max(self.now, row.not_before)
        row.state = GangState.WAITING
        self.changed = True
        if row.not_before > self.now:
            self.set_timer(row.not_before, "retry", row.spec.job_id)
            return
        self.queue.add(row, self.expected_seconds(row))

    def expected_seconds(self, row: JobRow) -> float:
        """Return the expected run time of the next attempt."""
        return max(1.0, self.estimates.run_seconds(row.spec) - row.checkpointed_seconds)

    def expected_end(self, job_id: str) -> float:
        """Return when the cells of a gang are expected to be free."""
        row = self.jobs[job_id]
        if row.stopping or row.end_reason is not None:
            return self.now + self.settings.stop_seconds
        if row.state is GangState.STARTING:
            return self.now + self.expected_seconds(row)
        elapsed = max(0.0, self.now - row.started_at)
        return self.now + self.estimates.remaining_seconds(
            row.spec, elapsed + row.checkpointed_seconds
        )

    def start(self, row: JobRow, counts: Mapping[str, int], bound: bool) -> None:
        """Hold the cells of a gang and add the decision to start it.

        With ``bound`` the caller has already bound the gang to its guarantee.
        """
        spec = row.spec
        self.queue.discard(spec.job_id)
        self.drop_reservation(spec.job_id)
        amount = task_amount(spec)
        tasks: list[TaskPlacement] = []
        for worker_id, count in counts.items():
            worker = self.cells.workers[worker_id]
            for _ in range(count):
                devices = self.cells.hold(worker, spec.job_id, amount)
                tasks.append(TaskPlacement(len(tasks), worker_id, devices))
                row.devices[worker_id] = row.devices.get(worker_id, ()) + devices
        row.needs = needs_of(spec, counts)
        row.attempt += 1
        row.state = GangState.STARTING
        row.started_at = self.now
        row.stopping = False
        row.bound = row.pinned = bound
        self._change_use(row, 1)
        self.gangs.setdefault(spec.profile, {})[spec.job_id] = row
        self.decisions.append(StartGang(spec.job_id, row.attempt, tuple(tasks)))

    def adopt(self, row: JobRow, placement: Placement) -> None:
        """Hold the cells of a gang that is already running.

        Tasks on unknown workers and devices that other gangs hold are left out.
        """
        spec = row.spec
        amount = task_amount(spec)
        for task in placement:
            worker = self.cells.workers.get(task.worker_id)
            if worker is None:
                continue
            mask = sum(1 << device for device in task.accelerators) & worker.free_mask
            held = Amount(mask.bit_count(), amount.cores, amount.memory_gb)
            self.cells.hold_devices(worker, spec.job_id, held, mask)
            row.devices[task.worker_id] = row.devices.get(
                task.worker_id, ()
            ) + device_indexes(mask)
            row.needs[task.worker_id] = worker.gangs[spec.job_id]
        row.state = GangState.RUNNING
        self._change_use(row, 1)
        self.gangs.setdefault(spec.profile, {})[spec.job_id] = row
        self.bind_or_pin(row)

    def bind_or_pin(self, row: JobRow) -> None:
        """Bind a gang to its guarantee; pin it in any case if it cannot restart."""
        if self.guarantees.bind(row.spec, row.needs, True) or (
            not row.spec.restartable
            and self.guarantees.bind(row.spec, row.needs, False)
        ):
            row.bound = row.pinned = True
        elif not row.spec.restartable:
            self.guarantees.pin(row.needs)
            row.pinned = True

    def unbind_gang(self, row: JobRow) -> None:
        """Remove a gang from its guarantee and unpin it."""
        if row.bound:
            self.guarantees.unbind(row.spec.profile, row.spec.job_id, row.needs)
        elif row.pinned:
            self.guarantees.unpin(row.needs)
        row.bound = row.pinned = False

    def release(self, row: JobRow) -> None:
        """Release the cells that a gang holds or claims; dequeue a waiting job."""
        spec = row.spec
        if row.state is GangState.WAITING:
            self.queue.discard(spec.job_id)
            self.drop_reservation(spec.job_id)
            return
        if row.state is GangState.CLAIMED:
            self._drop_claim(row)
        else:
            for worker_id in row.needs:
                worker = self.cells.workers[worker_id]
                self.cells.release(worker, spec.job_id, row.devices.get(worker_id, ()))
            del self.gangs[spec.profile][spec.job_id]
            if row.stopping or row.end_reason is not None:
                self._withdraw_decisions(spec.job_id)
        self.unbind_gang(row)
        self._change_use(row, -1)
        row.needs = {}
        row.devices = {}
        row.stopping = False
        self.profile_version[spec.profile] += 1
        self.profiles_to_promote.add(spec.profile)
        self.changed = True

    def _withdraw_decisions(self, job_id: str) -> None:
        """Drop stop and end decisions that ``tick`` has not yet returned."""
        self.decisions = [
            decision
            for decision in self.decisions
            if not isinstance(decision, StopGang | EndJob) or decision.job_id != job_id
        ]

    def forget(self, row: JobRow) -> None:
        """Remove a job that is final; its cells have been released."""
        self.queue.discard(row.spec.job_id)
        self.drop_reservation(row.spec.job_id)
        del self.jobs[row.spec.job_id]

    def end(self, row: JobRow, reason: Reason) -> None:
        """End a job for good; one that holds cells is forgotten when they are free."""
        if row.end_reason is not None:
            return
        self.decisions.append(EndJob(row.spec.job_id, reason))
        if row.holds_cells:
            row.end_reason = reason
        else:
            self.release(row)
            self.forget(row)
        self.changed = True

    def stop(self, row: JobRow, reason: StopReason, for_job_id: str = "") -> None:
        """Stop a gang so that it is queued again."""
        row.stopping = True
        row.stops += 1
        self.decisions.append(StopGang(row.spec.job_id, reason, for_job_id))

    def claim(
        self,
        row: JobRow,
        counts: Mapping[str, int],
        bound: bool,
        reason: StopReason,
        may_stop: Callable[[JobRow], bool] | None = None,
    ) -> None:
        """Claim cells for a gang and stop the borrowed work on them."""
        spec = row.spec
        self.queue.discard(spec.job_id)
        self.drop_reservation(spec.job_id)
        if bound:
            self._cancel_borrowed_claims(counts)
        row.needs = needs_of(spec, counts)
        row.claimed_tasks = dict(counts)
        row.state = GangState.CLAIMED
        row.bound = row.pinned = bound
        self._change_use(row, 1)
        for worker_id, amount in row.needs.items():
            self.cells.claim(self.cells.workers[worker_id], amount, 1)
        self.claims[spec.job_id] = row
        for worker_id in row.needs:
            worker = self.cells.workers[worker_id]
            for victim in self.victims(worker, Amount(0, 0, 0), may_stop) or ():
                self.stop(victim, reason, spec.job_id)

    def victims(
        self,
        worker: WorkerRow,
        amount: Amount,
        may_stop: Callable[[JobRow], bool] | None = None,
    ) -> list[JobRow] | None:
        """Return borrowed gangs to stop before the amount is free on the worker.

        ``None`` means that stopping all of them is not enough. Gangs that
        ``may_stop`` excludes are left running.
        """
        short = [
            amount.accelerators - worker.free_accelerators,
            amount.cores - worker.free_cores,
            amount.memory_gb - worker.free_memory_gb,
        ]
        if max(short) <= 0:
            return []
        candidates: list[JobRow] = []
        for job_id, held in worker.gangs.items():
            row = self.jobs[job_id]
            if row.stopping or row.end_reason is not None:
                for index in range(3):
                    short[index] -= held[index]
            elif row.reclaimable and (may_stop is None or may_stop(row)):
                candidates.append(row)
        chosen: list[JobRow] = []
        candidates.sort(
            key=lambda row: (
                row.spec.priority is Priority.URGENT,
                self.stop_cost(row),
                row.spec.job_id,
            )
        )
        worker_id = worker.worker.worker_id
        for row in candidates:
            if max(short) <= 0:
                break
            held = row.needs[worker_id]
            # Stopping a gang that holds none of what is short would not help.
            if any(short[index] > 0 and held[index] > 0 for index in range(3)):
                chosen.append(row)
                for index in range(3):
                    short[index] -= held[index]
        return chosen if max(short) <= 0 else None

    def lost_work(self, row: JobRow) -> float:
        """Return the accelerator-seconds that are lost when a gang is stopped."""
        seconds = self.settings.restart_seconds
        if not row.spec.checkpointable:
            seconds += max(0.0, self.now - row.started_at)
        return seconds * max(1, row.spec.accelerators)

    def stop_cost(self, row: JobRow) -> float:
        """Return the cost by which the gang to stop is chosen.

        A gang that has been stopped before costs more, so that the same gang is not
        stopped again and again.
        """
        return self.lost_work(row) * (1 + row.stops) ** 2

    def start_ready_claims(self) -> None:
        """Start the claimed gangs whose cells have become free."""
        for row in sorted(
            self.claims.values(),
            key=lambda row: (not row.bound, row.spec.submitted_at, row.spec.job_id),
        ):
            workers = [self.cells.workers[worker_id] for worker_id in row.needs]
            if not all(worker.usable for worker in workers):
                self.release(row)
                self.enqueue(row)
            elif all(
                self._is_claim_free(worker, row.needs[worker.worker.worker_id])
                for worker in workers
            ):
                counts = row.claimed_tasks
                bound = row.bound
                self._drop_claim(row)
                self._change_use(row, -1)
                self.start(row, counts, bound)

    def _is_claim_free(self, worker: WorkerRow, amount: Amount) -> bool:
        return (
            worker.free_accelerators + worker.claimed_accelerators
            >= amount.accelerators
            and worker.free_cores + worker.claimed_cores >= amount.cores
            and worker.free_memory_gb + worker.claimed_memory_gb >= amount.memory_gb
        )

    def _drop_claim(self, row: JobRow) -> None:
        del self.claims[row.spec.job_id]
        for worker_id, amount in row.needs.items():
            self.cells.claim(self.cells.workers[worker_id], amount, -1)

    def _cancel_borrowed_claims(self, counts: Mapping[str, int]) -> None:
        for row in list(self.claims.values()):
            if not row.bound and not row.needs.keys().isdisjoint(counts):
                self.release(row)
                self.enqueue(row)

    def _change_use(self, row: JobRow, sign: int) -> None:
        amount = sign * row.spec.accelerators
        self.profile_use[row.spec.profile] += amount
        self.organisation_use[row.spec.organisation] += amount

    def reserve(self, reservation: Reservation) -> None:
        """Keep cells for a waiting gang."""
        self.reservations[reservation.job_id] = reservation
        for worker_id in reservation.needs:
            self.reserved[worker_id] = reservation

    def drop_reservation(self, job_id: str) -> None:
        """Give up a reservation, if there is one."""
        reservation = self.reservations.pop(job_id, None)
        if reservation is None:
            return
        for worker_id in reservation.needs:
            if self.reserved.get(worker_id) is reservation:
                del self.reserved[worker_id]
            row = self.cells.workers.get(worker_id)
            if row is not None:
                self.cells.zones[row.worker.zone].freed_count += 1
