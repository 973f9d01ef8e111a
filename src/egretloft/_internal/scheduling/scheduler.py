"""The scheduler: applies events to its state and returns decisions at each tick."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any, Protocol

from egretloft._internal.models.jobs import JobState
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.profiles import Profile
from egretloft._internal.scheduling import events
from egretloft._internal.scheduling.decisions import (
    Decision,
    QuarantineWorker,
    StopReason,
)
from egretloft._internal.scheduling.dispatch import Dispatcher
from egretloft._internal.scheduling.events import Event
from egretloft._internal.scheduling.health import Health
from egretloft._internal.scheduling.settings import SchedulerSettings
from egretloft._internal.scheduling.state import State
from egretloft._internal.scheduling.tables import (
    UNITS_PER_ACCELERATOR,
    GangState,
    JobRow,
    WorkerRow,
)

# Limit on the borrowed gangs of a profile that one tick tries to bind to its guarantee.
PROMOTIONS_PER_TICK = 4


class Scheduler(Protocol):
    """Decides where and when gangs run; performs no I/O."""

    def apply(self, event: Event) -> None:
        """Record an event; the next ``tick`` returns the decisions that follow."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``, in seconds; ``now`` must not decrease."""

    def unsatisfied_guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators that cannot be provided, by profile."""


class _Scheduler:
    def __init__(self, settings: SchedulerSettings, generator: random.Random) -> None:
        self.settings = settings
        self.generator = generator
        self.state = State(settings)
        self.health = Health(
            settings.quarantine_seconds, settings.quarantine_max_seconds
        )
        self.dispatcher = Dispatcher(self.state)
        self.workers_to_repair: dict[str, None] = {}
        self.workers_to_remove: dict[str, None] = {}
        self.repack_at = 0.0
        self.repack_needed = False
        self.repack_timer_set = False
        self.handlers: dict[type, Callable[[Any], None]] = {
            events.WorkerAvailable: self._worker_available,
            events.WorkerRemoved: self._worker_removed,
            events.WorkerLeaving: self._worker_leaving,
            events.ZoneChanged: self._zone_changed,
            events.ProfileChanged: self._profile_changed,
            events.ProfileRetired: self._profile_retired,
            events.JobQueued: self._job_queued,
            events.JobAdopted: self._job_adopted,
            events.GangStarted: self._gang_started,
            events.GangStartFailed: self._gang_start_failed,
            events.GangEnded: self._gang_ended,
            events.GangStopped: self._gang_stopped,
            events.JobCancelled: self._job_cancelled,
        }

    def apply(self, event: Event) -> None:
        """Record an event."""
        self.handlers[type(event)](event)

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``."""
        state = self.state
        state.now = max(now, state.now)
        self._fire_timers()
        if state.changed:
            state.changed = False
            self._repair_guarantees()
            state.start_ready_claims()
            self._promote_borrowed()
            self.dispatcher.run()
            state.start_ready_claims()
        decisions, state.decisions = state.decisions, []
        return decisions

    def unsatisfied_guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators that cannot be provided, by profile."""
        missing: dict[str, int] = {}
        for cell in self.state.guarantees.unplaced():
            missing[cell.profile] = missing.get(cell.profile, 0) + cell.residual
        return {
            profile: -(-units // UNITS_PER_ACCELERATOR)
            for profile, units in missing.items()
        }

    def _fire_timers(self) -> None:
        state = self.state
        while state.timers and state.timers[0][0] <= state.now:
            _, _, kind, subject = heapq.heappop(state.timers)
            if kind == "quarantine":
                self._end_quarantine(subject)
                continue
            if kind == "wake":
                self.repack_timer_set = False
                state.changed = True
                continue
            if kind == "reclaim":
                state.profile_version[subject] += 1
                state.changed = True
                continue
            row = state.jobs.get(subject)
            if row is None:
                continue
            if kind == "deadline":
                if not row.holds_cells:
                    state.end(row, Reason.DEADLINE_PASSED)
            elif row.state is GangState.WAITING:
                # The retry delay ended, or the time in which the job avoids workers.
                state.queue.discard(subject)
                if state.now >= row.avoid_until:
                    row.avoid.clear()
                state.enqueue(row)

    def _repair_guarantees(self) -> None:
        state = self.state
        guarantees = state.guarantees
        if self.workers_to_repair:
            guarantees.repair(self.workers_to_repair)
            self.workers_to_repair.clear()
        if self.repack_needed or guarantees.unplaced():
            self._place_unplaced_cells()
        for worker_id in list(self.workers_to_remove):
            worker = state.cells.workers.get(worker_id)
            if worker is None or worker.listed:
                del self.workers_to_remove[worker_id]
            elif not worker.gangs and not worker.is_claimed:
                del self.workers_to_remove[worker_id]
                state.cells.remove_worker(worker_id)

    def _place_unplaced_cells(self) -> None:
        state = self.state
        unplaced = state.guarantees.unplaced()
        if not unplaced:
            self.repack_needed = False
        elif state.now >= self.repack_at:
            self.repack_needed = False
            self.repack_at = state.now + self.settings.repack_seconds
            state.guarantees.place(unplaced)
        elif not self.repack_timer_set:
            self.repack_timer_set = True
            state.set_timer(self.repack_at, "wake", "")

    def _promote_borrowed(self) -> None:
        """Bind borrowed gangs to their guarantees where those have free units again."""
        state = self.state
        for profile in sorted(state.profiles_to_promote):
            tries = PROMOTIONS_PER_TICK
            for row in list(state.gangs.get(profile, {}).values()):
                if not tries or not state.guarantees.free_units.get(profile):
                    break
                if row.reclaimable:
                    tries -= 1
                    state.bind_or_pin(row)
        state.profiles_to_promote.clear()

    # Workers and zones

    def _worker_available(self, event: events.WorkerAvailable) -> None:
        cells = self.state.cells
        row = cells.workers.get(event.worker.worker_id)
        if row is not None and row.worker != event.worker and not row.gangs:
            self._mark_unlisted(row)
            self._repair_guarantees()
            row = cells.workers.get(event.worker.worker_id)
        if row is None:
            cells.add_worker(event.worker)
        elif row.listed and not row.leaving:
            return
        else:
            row.listed = True
            row.leaving = False
            cells.refresh_usable(row)
        self.repack_needed = True
        self.state.changed = True

    def _worker_removed(self, event: events.WorkerRemoved) -> None:
        row = self.state.cells.workers.get(event.worker_id)
        if row is not None:
            self._mark_unlisted(row)

    def _mark_unlisted(self, row: WorkerRow) -> None:
        row.listed = False
        self.workers_to_remove[row.worker.worker_id] = None
        self._refresh_worker(row)

    def _worker_leaving(self, event: events.WorkerLeaving) -> None:
        row = self.state.cells.workers.get(event.worker_id)
        if row is None or row.leaving:
            return
        row.leaving = True
        self._refresh_worker(row)
        self._stop_restartable(row, StopReason.WORKER_LEAVING)

    def _refresh_worker(self, row: WorkerRow) -> None:
        self.state.cells.refresh_usable(row)
        self.workers_to_repair[row.worker.worker_id] = None
        self.state.changed = True

    def _stop_restartable(self, worker: WorkerRow, reason: StopReason) -> None:
        for job_id in worker.gangs:
            row = self.state.jobs[job_id]
            if row.spec.restartable and not row.stopping and row.end_reason is None:
                self.state.stop(row, reason)

    def _zone_changed(self, event: events.ZoneChanged) -> None:
        zone = self.state.cells.zone(event.zone)
        if zone.in_service == event.in_service:
            return
        zone.in_service = event.in_service
        for row in zone.workers.values():
            row.in_service = event.in_service
            self._refresh_worker(row)
            if not event.in_service:
                self._stop_restartable(row, StopReason.ZONE_OUT)
        self.repack_needed = True

    # Profiles

    def _profile_changed(self, event: events.ProfileChanged) -> None:
        state = self.state
        profile = event.profile
        previous = state.profiles.get(profile.name)
        state.profiles[profile.name] = profile
        state.profile_version[profile.name] += 1
        state.changed = True
        if previous is not None and (previous.guarantees, previous.zones) == (
            profile.guarantees,
            profile.zones,
        ):
            return
        self._replace_guarantee(profile.name, profile)

    def _profile_retired(self, event: events.ProfileRetired) -> None:
        if self.state.profiles.pop(event.name, None) is not None:
            self._replace_guarantee(event.name, None)

    def _replace_guarantee(self, name: str, profile: Profile | None) -> None:
        state = self.state
        for row in list(state.claims.values()):
            if row.spec.profile == name:
                state.release(row)
                state.enqueue(row)
        gangs = list(state.gangs.get(name, {}).values())
        for row in gangs:
            state.unbind_gang(row)
        state.guarantees.drop_profile(name)
        if profile is not None:
            state.guarantees.set_profile(profile)
        # Work that cannot restart is bound first: it is pinned in any case.
        gangs.sort(key=lambda row: (row.spec.restartable, row.started_at))
        for row in gangs:
            state.bind_or_pin(row)
        self.repack_needed = True
        self.repack_at = 0.0
        state.changed = True

    # Jobs

    def _job_queued(self, event: events.JobQueued) -> None:
        state = self.state
        spec = event.job
        if spec.job_id in state.jobs:
            return
        row = state.jobs[spec.job_id] = JobRow(spec, event.attempt)
        if spec.deadline_at:
            state.set_timer(spec.deadline_at, "deadline", spec.job_id)
        state.enqueue(row)

    def _job_adopted(self, event: events.JobAdopted) -> None:
        state = self.state
        row = state.jobs.get(event.job.job_id)
        if row is None:
            row = state.jobs[event.job.job_id] = JobRow(event.job)
        elif row.holds_cells:
            return
        else:
            state.release(row)
        row.attempt = event.attempt
        row.started_at = event.started_at or state.now
        state.adopt(row, event.placement)
        for worker_id in row.needs:
            worker = state.cells.workers[worker_id]
            if not worker.in_service or worker.leaving:
                self._stop_unless_stopping(row, worker)
                break
        state.changed = True

    def _gang_started(self, event: events.GangStarted) -> None:
        row = self.state.jobs.get(event.job_id)
        if row is None or row.state is not GangState.STARTING:
            return
        row.state = GangState.RUNNING
        row.started_at = event.at

    def _stop_unless_stopping(self, row: JobRow, worker: WorkerRow) -> None:
        if row.spec.restartable and not row.stopping and row.end_reason is None:
            reason = (
                StopReason.WORKER_LEAVING if worker.leaving else StopReason.ZONE_OUT
            )
            self.state.stop(row, reason)

    def _gang_start_failed(self, event: events.GangStartFailed) -> None:
        state = self.state
        row = state.jobs.get(event.job_id)
        if row is None or not row.holds_cells:
            return
        counted = self._in_service(event.failed_workers)
        state.release(row)
        if row.end_reason is not None:
            state.forget(row)
            return
        for worker_id in counted:
            self._count_failure(worker_id, row, event.at)
        self._retry(row, event.at, counted)

    def _gang_ended(self, event: events.GangEnded) -> None:
        state = self.state
        row = state.jobs.get(event.job_id)
        if row is None or not row.holds_cells:
            return
        workers = list(row.needs)
        failed = event.outcome is JobState.FAILED
        counted = self._in_service(event.failed_workers or workers)
        if event.outcome is JobState.COMPLETED:
            for worker_id in workers:
                self._count_success(worker_id, event.at)
            if row.state is GangState.RUNNING:
                state.estimates.observe(
                    row.spec,
                    row.checkpointed_seconds + max(0.0, event.at - row.started_at),
                )
        worker_lost = failed and len(counted) < len(event.failed_workers)
        state.release(row)
        if row.end_reason is not None or not failed:
            state.forget(row)
            return
        if event.failed_workers:
            for worker_id in counted:
                self._count_failure(worker_id, row, event.at)
        if not row.spec.restartable:
            state.forget(row)
            return
        if not worker_lost:
            # The loss of a worker is no evidence against the job.
            row.failures += 1
            row.failed_sets.add(frozenset(event.failed_workers or workers))
        if self.health.is_bad_job(row.failed_sets, row.failures, self._is_quarantined):
            self.health.discard_job_evidence(row.spec.job_id)
            row.state = GangState.WAITING
            state.end(row, Reason.FAILED_REPEATEDLY)
            return
        self._retry(row, event.at, counted)

    def _retry(self, row: JobRow, at: float, workers: list[str]) -> None:
        """Queue a failed job for another attempt after a backoff.

        For some time it avoids ``workers``, on which it failed.
        """
        settings = self.settings
        state = self.state
        delay = settings.retry_seconds * 2.0 ** max(0, row.failures - 1)
        # Jitter keeps jobs that failed together from being retried together.
        jitter = 1.0 + 0.5 * self.generator.random()
        row.not_before = at + min(settings.retry_max_seconds, delay) * jitter
        if workers:
            row.avoid.update(workers)
            row.avoid_until = at + settings.avoid_seconds
            state.set_timer(row.avoid_until, "retry", row.spec.job_id)
        state.enqueue(row)

    def _gang_stopped(self, event: events.GangStopped) -> None:
        state = self.state
        row = state.jobs.get(event.job_id)
        if row is None or not row.holds_cells:
            return
        if event.checkpoint and row.state is GangState.RUNNING:
            row.checkpointed_seconds += max(0.0, event.at - row.started_at)
        state.release(row)
        if row.end_reason is not None:
            state.forget(row)
        else:
            state.enqueue(row)

    def _job_cancelled(self, event: events.JobCancelled) -> None:
        row = self.state.jobs.get(event.job_id)
        if row is not None:
            self.state.end(row, Reason.CANCELLED)

    # Health

    def _in_service(self, worker_ids: tuple[str, ...] | list[str]) -> list[str]:
        """Return the workers that are listed, not leaving and in service.

        Unlike ``WorkerRow.usable``, this includes workers in quarantine.
        """
        workers = self.state.cells.workers
        return [
            worker_id
            for worker_id in worker_ids
            if (row := workers.get(worker_id)) is not None
            and row.listed
            and not row.leaving
            and row.in_service
        ]

    def _is_quarantined(self, worker_id: str) -> bool:
        row = self.state.cells.workers.get(worker_id)
        return row is not None and row.quarantined

    def _count_success(self, worker_id: str, at: float) -> None:
        self.health.record_success(worker_id, at)
        row = self.state.cells.workers.get(worker_id)
        if row is not None and row.probation:
            row.probation = False
            self.state.cells.zones[row.worker.zone].freed_count += 1
            self.repack_needed = True

    def _count_failure(self, worker_id: str, job: JobRow, at: float) -> None:
        state = self.state
        row = state.cells.workers[worker_id]
        if row.quarantined:
            return
        until = self.health.record_failure(
            worker_id, job.spec.job_id, len(job.failed_sets), at
        )
        if until is None:
            return
        row.quarantined = True
        row.probation = False
        self._refresh_worker(row)
        state.decisions.append(QuarantineWorker(worker_id, until))
        state.set_timer(until, "quarantine", worker_id)

    def _end_quarantine(self, worker_id: str) -> None:
        row = self.state.cells.workers.get(worker_id)
        if row is None or not row.quarantined:
            return
        row.quarantined = False
        row.probation = True
        self.health.end_quarantine(worker_id)
        self.state.cells.refresh_usable(row)
        self.state.changed = True


def create_scheduler(settings: SchedulerSettings, random_seed: int) -> Scheduler:
    """Return an empty scheduler; the same events and seed give the same decisions."""
    return _Scheduler(settings, random.Random(random_seed))
