"""The scheduler: events in, decisions out."""

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

# Borrowed gangs that one tick tries to move under their guarantee.
PROMOTIONS_PER_TICK = 4


class Scheduler(Protocol):
    """Decides where and when gangs run; performs no I/O."""

    def apply(self, event: Event) -> None:
        """Take note of an event; decisions follow at the next ``tick``."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``, which must not go back."""

    def unsatisfied_guarantees(self) -> dict[str, int]:
        """Return accelerators by profile that no cells in service can carry."""


class _Scheduler:
    def __init__(self, settings: SchedulerSettings, generator: random.Random) -> None:
        self.settings = settings
        self.generator = generator
        self.state = State(settings)
        self.health = Health(
            settings.quarantine_seconds, settings.quarantine_max_seconds
        )
        self.dispatcher = Dispatcher(self.state)
        self.overfull: dict[str, None] = {}
        self.unlisted: dict[str, None] = {}
        self.repack_at = 0.0
        self.repack_wanted = False
        self.repack_timer = False
        self.handlers: dict[type, Callable[[Any], None]] = {
            events.WorkerAvailable: self._worker_seen,
            events.WorkerRemoved: self._worker_gone,
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
        """Take note of an event."""
        self.handlers[type(event)](event)

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``."""
        state = self.state
        state.now = max(now, state.now)
        self._fire_timers()
        if state.changed:
            state.changed = False
            self._settle_guarantees()
            state.start_ready_claims()
            self._promote()
            self.dispatcher.run()
            state.start_ready_claims()
        decisions, state.decisions = state.decisions, []
        return decisions

    def unsatisfied_guarantees(self) -> dict[str, int]:
        """Return accelerators by profile that no cells in service can carry."""
        missing: dict[str, int] = {}
        for cell in self.state.guarantees.uncarried():
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
                self.repack_timer = False
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
                # The end of a retry delay, or of the time to pass over workers.
                state.queue.discard(subject)
                if state.now >= row.avoid_until:
                    row.avoid.clear()
                state.enqueue(row)

    def _settle_guarantees(self) -> None:
        state = self.state
        guarantees = state.guarantees
        if self.overfull:
            guarantees.repair(self.overfull)
            self.overfull.clear()
        if self.repack_wanted or guarantees.uncarried():
            self._place_uncarried()
        for worker_id in list(self.unlisted):
            worker = state.cells.workers.get(worker_id)
            if worker is None or worker.listed:
                del self.unlisted[worker_id]
            elif not worker.gangs and not worker.is_claimed:
                del self.unlisted[worker_id]
                state.cells.remove_worker(worker_id)

    def _place_uncarried(self) -> None:
        state = self.state
        uncarried = state.guarantees.uncarried()
        if not uncarried:
            self.repack_wanted = False
        elif state.now >= self.repack_at:
            self.repack_wanted = False
            self.repack_at = state.now + self.settings.repack_seconds
            state.guarantees.place(uncarried)
        elif not self.repack_timer:
            self.repack_timer = True
            state.set_timer(self.repack_at, "wake", "")

    def _promote(self) -> None:
        """Cover borrowed gangs by guarantees that have room again."""
        state = self.state
        for profile in sorted(state.promotable):
            tries = PROMOTIONS_PER_TICK
            for row in list(state.gangs.get(profile, {}).values()):
                if not tries or not state.guarantees.free_units.get(profile):
                    break
                if row.reclaimable:
                    tries -= 1
                    state.cover_or_pin(row)
        state.promotable.clear()

    # Workers and zones

    def _worker_seen(self, event: events.WorkerAvailable) -> None:
        cells = self.state.cells
        row = cells.workers.get(event.worker.worker_id)
        if row is not None and row.worker != event.worker and not row.gangs:
            self._unlist(row)
            self._settle_guarantees()
            row = cells.workers.get(event.worker.worker_id)
        if row is None:
            cells.add_worker(event.worker)
        elif row.listed and not row.leaving:
            return
        else:
            row.listed = True
            row.leaving = False
            cells.refresh_usable(row)
        self.repack_wanted = True
        self.state.changed = True

    def _worker_gone(self, event: events.WorkerRemoved) -> None:
        row = self.state.cells.workers.get(event.worker_id)
        if row is not None:
            self._unlist(row)

    def _unlist(self, row: WorkerRow) -> None:
        row.listed = False
        self.unlisted[row.worker.worker_id] = None
        self._became_unusable(row)

    def _worker_leaving(self, event: events.WorkerLeaving) -> None:
        row = self.state.cells.workers.get(event.worker_id)
        if row is None or row.leaving:
            return
        row.leaving = True
        self._became_unusable(row)
        self._stop_restartable(row, StopReason.WORKER_LEAVING)

    def _became_unusable(self, row: WorkerRow) -> None:
        self.state.cells.refresh_usable(row)
        self.overfull[row.worker.worker_id] = None
        self.state.changed = True

    def _stop_restartable(self, worker: WorkerRow, reason: StopReason) -> None:
        for job_id in worker.gangs:
            row = self.state.jobs[job_id]
            if row.spec.restartable and not row.stopping and row.ending is None:
                self.state.stop(row, reason)

    def _zone_changed(self, event: events.ZoneChanged) -> None:
        zone = self.state.cells.zone(event.zone)
        if zone.in_service == event.in_service:
            return
        zone.in_service = event.in_service
        for row in zone.workers.values():
            row.in_service = event.in_service
            self._became_unusable(row)
            if not event.in_service:
                self._stop_restartable(row, StopReason.ZONE_OUT)
        self.repack_wanted = True

    # Profiles

    def _profile_changed(self, event: events.ProfileChanged) -> None:
        state = self.state
        profile = event.profile
        former = state.profiles.get(profile.name)
        state.profiles[profile.name] = profile
        state.profile_version[profile.name] += 1
        state.changed = True
        if former is not None and (former.guarantees, former.zones) == (
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
            state.uncover(row)
        state.guarantees.drop_profile(name)
        if profile is not None:
            state.guarantees.set_profile(profile)
        # Work that cannot restart is covered first: it is pinned in any case.
        gangs.sort(key=lambda row: (row.spec.restartable, row.started_at))
        for row in gangs:
            state.cover_or_pin(row)
        self.repack_wanted = True
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
        if row.spec.restartable and not row.stopping and row.ending is None:
            reason = (
                StopReason.WORKER_LEAVING if worker.leaving else StopReason.ZONE_OUT
            )
            self.state.stop(row, reason)

    def _gang_start_failed(self, event: events.GangStartFailed) -> None:
        state = self.state
        row = state.jobs.get(event.job_id)
        if row is None or not row.holds_cells:
            return
        counted = self._usable(event.failed_workers)
        state.release(row)
        if row.ending is not None:
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
        counted = self._usable(event.failed_workers or workers)
        if event.outcome is JobState.COMPLETED:
            for worker_id in workers:
                self._count_success(worker_id, event.at)
            if row.state is GangState.RUNNING:
                state.estimates.observe(
                    row.spec, row.kept_seconds + max(0.0, event.at - row.started_at)
                )
        lost = failed and len(counted) < len(event.failed_workers)
        state.release(row)
        if row.ending is not None or not failed:
            state.forget(row)
            return
        if event.failed_workers:
            for worker_id in counted:
                self._count_failure(worker_id, row, event.at)
        if not row.spec.restartable:
            state.forget(row)
            return
        if not lost:
            # A lost worker says nothing about the job.
            row.failures += 1
            row.failed_sets.add(frozenset(event.failed_workers or workers))
        if self.health.is_bad_job(row.failed_sets, row.failures, self._is_quarantined):
            self.health.condemn_job(row.spec.job_id)
            row.state = GangState.WAITING
            state.end(row, Reason.FAILED_REPEATEDLY)
            return
        self._retry(row, event.at, counted)

    def _retry(self, row: JobRow, at: float, workers: list[str]) -> None:
        """Let a job wait for another attempt elsewhere."""
        settings = self.settings
        state = self.state
        delay = settings.retry_seconds * 2.0 ** max(0, row.failures - 1)
        # Jobs that failed together should not all be tried again together.
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
            row.kept_seconds += max(0.0, event.at - row.started_at)
        state.release(row)
        if row.ending is not None:
            state.forget(row)
        else:
            state.enqueue(row)

    def _job_cancelled(self, event: events.JobCancelled) -> None:
        row = self.state.jobs.get(event.job_id)
        if row is not None:
            self.state.end(row, Reason.CANCELLED)

    # Health

    def _usable(self, worker_ids: tuple[str, ...] | list[str]) -> list[str]:
        """Return the workers that are listed, stay and are in service."""
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
            self.state.cells.zones[row.worker.zone].freed += 1
            self.repack_wanted = True

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
        self._became_unusable(row)
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
