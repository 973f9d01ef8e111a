"""Two baseline policies with the same events and decisions as the scheduler.

Both start all tasks of a gang together, in order of submission. Gangs that do not fit
now are skipped, so that they do not block the queue and leave accelerators idle. A gang
is placed in the first zone (or rack or worker, depending on its adjacency) with enough
free accelerators by count, on the first workers that its tasks fit on. If the tasks do
not fit there, the next place is tried; if none fits, the gang waits. Both policies skip
a worker for a minute after three consecutive failures on it, and end a job after five
failures, as a simple scheduler would.

``first_fit_by_count`` ignores guarantees. ``quota_by_count`` serves organisations
below their quota (the sum of their guaranteed accelerators) first, starts jobs that
cannot restart only within the quota, and stops the newest jobs of organisations above
their quota until enough accelerators are free by count in one zone.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field

from egretloft._internal.models.jobs import (
    JobSpec,
    JobState,
    Priority,
    TaskPlacement,
)
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling import events
from egretloft._internal.scheduling.decisions import (
    Decision,
    EndJob,
    StartGang,
    StopGang,
    StopReason,
)

FAILURES_TO_SKIP_WORKER = 3
SKIP_WORKER_SECONDS = 60.0
FAILURES_TO_END_JOB = 5
# While enough accelerators are free by count but the gang still does not fit, more jobs
# are stopped at this interval.
RECLAIM_RETRY_SECONDS = 10.0


@dataclass(slots=True)
class CountedWorker:
    """A worker with its free accelerators, cores and memory."""

    worker: Worker
    devices: set[int]
    cores: int
    memory_gb: int
    leaving: bool = False
    failures: int = 0
    skipped_until: float = 0.0

    def count_fitting_tasks(self, spec: JobSpec) -> int:
        """Return how many tasks of a job fit on the worker now."""
        fit = spec.tasks
        if spec.accelerators_per_task:
            fit = len(self.devices) // spec.accelerators_per_task
        if spec.cores:
            fit = min(fit, self.cores // spec.cores)
        if spec.memory_gb:
            fit = min(fit, self.memory_gb // spec.memory_gb)
        return fit


@dataclass(slots=True)
class CountedJob:
    """A job that has not ended."""

    spec: JobSpec
    attempt: int = 0
    failures: int = 0
    placement: tuple[TaskPlacement, ...] = ()
    started_at: float = 0.0
    stopping: bool = False
    ending: bool = False
    last_reclaim_at: float = float("-inf")


@dataclass(slots=True)
class CountingPolicy:
    """``first_fit_by_count``; base class of ``quota_by_count``."""

    now: float = 0.0
    workers: dict[str, CountedWorker] = field(default_factory=dict)
    zones_out: set[str] = field(default_factory=set)
    profiles: dict[str, Profile] = field(default_factory=dict)
    jobs: dict[str, CountedJob] = field(default_factory=dict)
    waiting: dict[str, CountedJob] = field(default_factory=dict)
    use: Counter[str] = field(default_factory=Counter)
    decisions: list[Decision] = field(default_factory=list)
    wake_times: list[float] = field(default_factory=list)
    changed: bool = False

    def apply(self, event: events.Event) -> None:
        """Apply an event to the state of the policy."""
        self.changed = True
        match event:
            case events.WorkerAvailable(worker):
                known = self.workers.get(worker.worker_id)
                if known is None:
                    self.workers[worker.worker_id] = CountedWorker(
                        worker,
                        set(range(worker.accelerators)),
                        worker.cores,
                        worker.memory_gb,
                    )
                else:
                    known.leaving = False
            case events.WorkerLeaving(worker_id):
                self.workers[worker_id].leaving = True
                self._stop_on({worker_id}, StopReason.WORKER_LEAVING)
            case events.ZoneChanged(zone, in_service):
                if in_service:
                    self.zones_out.discard(zone)
                else:
                    self.zones_out.add(zone)
                    zone_workers = {
                        worker_id
                        for worker_id, row in self.workers.items()
                        if row.worker.zone == zone
                    }
                    self._stop_on(zone_workers, StopReason.ZONE_OUT)
            case events.ProfileChanged(profile):
                self.profiles[profile.name] = profile
            case events.JobQueued(spec):
                job = self.jobs[spec.job_id] = CountedJob(spec)
                self.waiting[spec.job_id] = job
            case events.GangEnded(job_id, at, outcome, failed_workers):
                self._handle_end(self.jobs[job_id], at, outcome, failed_workers)
            case events.GangStopped(job_id, _, _):
                job = self.jobs[job_id]
                self._release_resources(job)
                if job.ending:
                    del self.jobs[job_id]
                else:
                    self.waiting[job_id] = job
            case events.JobCancelled(job_id):
                job_or_none = self.jobs.get(job_id)
                if job_or_none is not None:
                    self._end(job_or_none, Reason.CANCELLED)

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``."""
        self.now = now
        while self.wake_times and self.wake_times[0] <= now:
            heapq.heappop(self.wake_times)
            self.changed = True
        if self.changed:
            self.changed = False
            self._schedule()
        decisions, self.decisions = self.decisions, []
        return decisions

    def _end(self, job: CountedJob, reason: Reason) -> None:
        if job.ending:
            return
        self.decisions.append(EndJob(job.spec.job_id, reason))
        if job.placement:
            job.ending = True
        else:
            self.waiting.pop(job.spec.job_id, None)
            del self.jobs[job.spec.job_id]

    def _handle_end(
        self,
        job: CountedJob,
        at: float,
        outcome: JobState,
        failed_workers: tuple[str, ...],
    ) -> None:
        placement = job.placement
        self._release_resources(job)
        if outcome is JobState.COMPLETED:
            for task in placement:
                self.workers[task.worker_id].failures = 0
        for worker_id in failed_workers:
            worker = self.workers[worker_id]
            worker.failures += 1
            if worker.failures >= FAILURES_TO_SKIP_WORKER:
                worker.failures = 0
                worker.skipped_until = at + SKIP_WORKER_SECONDS
                heapq.heappush(self.wake_times, worker.skipped_until)
        retried = outcome is JobState.FAILED and job.spec.restartable and not job.ending
        if not retried:
            del self.jobs[job.spec.job_id]
            return
        job.failures += 1
        if job.failures >= FAILURES_TO_END_JOB:
            self._end(job, Reason.FAILED_REPEATEDLY)
        else:
            self.waiting[job.spec.job_id] = job

    def _release_resources(self, job: CountedJob) -> None:
        if job.stopping or job.ending:
            # The gang may have ended before ``tick`` returned the decision to stop it;
            # the decision is then withdrawn.
            self.decisions = [
                each
                for each in self.decisions
                if not isinstance(each, StopGang | EndJob)
                or each.job_id != job.spec.job_id
            ]
        for task in job.placement:
            worker = self.workers[task.worker_id]
            worker.devices.update(task.accelerators)
            worker.cores += job.spec.cores
            worker.memory_gb += job.spec.memory_gb
        self.use[job.spec.profile] -= job.spec.accelerators
        job.placement = ()
        job.stopping = False

    def _stop_on(self, worker_ids: set[str], reason: StopReason) -> None:
        for job in self.jobs.values():
            if any(task.worker_id in worker_ids for task in job.placement):
                self._stop(job, reason)

    def _stop(self, job: CountedJob, reason: StopReason, for_job_id: str = "") -> None:
        if job.spec.restartable and not job.stopping and not job.ending:
            job.stopping = True
            self.decisions.append(StopGang(job.spec.job_id, reason, for_job_id))

    def _sort_waiting(self) -> list[CountedJob]:
        return sorted(
            self.waiting.values(),
            key=lambda job: (
                job.spec.priority is not Priority.URGENT,
                job.spec.submitted_at,
                job.spec.job_id,
            ),
        )

    def _schedule(self) -> None:
        failed: set[tuple[object, ...]] = set()
        for job in self._sort_waiting():
            spec = job.spec
            # Jobs of the same shape do not fit either, since nothing is freed here.
            shape = (
                spec.profile,
                spec.tasks,
                spec.accelerators_per_task,
                spec.cores,
                spec.memory_gb,
                spec.adjacency,
                spec.restartable,
            )
            if shape in failed:
                continue
            if not self._try_start(job):
                failed.add(shape)

    def _try_start(self, job: CountedJob) -> bool:
        limit = self.profiles[job.spec.profile].limits.max_accelerators
        if limit and self.use[job.spec.profile] + job.spec.accelerators > limit:
            return False
        counts = self._find_task_counts(job.spec)
        if counts is None:
            return False
        self._start(job, counts)
        return True

    def _candidate_places(self, spec: JobSpec) -> list[list[CountedWorker]]:
        """Return the workers of each place of the adjacency, in a fixed order."""
        places: dict[tuple[str, str], list[CountedWorker]] = {}
        zones = self.profiles[spec.profile].zones
        for worker_id, row in self.workers.items():
            worker = row.worker
            if (
                worker.zone in zones
                and worker.zone not in self.zones_out
                and not row.leaving
                and row.skipped_until <= self.now
            ):
                key = {
                    Adjacency.WORKER: (worker.zone, worker_id),
                    Adjacency.RACK: (worker.zone, worker.rack),
                    Adjacency.ZONE: (worker.zone, ""),
                }[spec.adjacency]
                places.setdefault(key, []).append(row)
        return list(places.values())

    def _find_task_counts(
        self, spec: JobSpec
    ) -> list[tuple[CountedWorker, int]] | None:
        for place in self._candidate_places(spec):
            if sum(len(row.devices) for row in place) < spec.accelerators:
                continue
            counts: list[tuple[CountedWorker, int]] = []
            tasks = spec.tasks
            for row in place:
                taken = min(tasks, row.count_fitting_tasks(spec))
                if taken > 0:
                    counts.append((row, taken))
                    tasks -= taken
                if not tasks:
                    return counts
        return None

    def _start(self, job: CountedJob, counts: list[tuple[CountedWorker, int]]) -> None:
        spec = job.spec
        placement: list[TaskPlacement] = []
        for row, count in counts:
            for _ in range(count):
                devices = tuple(sorted(row.devices)[: spec.accelerators_per_task])
                row.devices.difference_update(devices)
                row.cores -= spec.cores
                row.memory_gb -= spec.memory_gb
                placement.append(
                    TaskPlacement(len(placement), row.worker.worker_id, devices)
                )
        job.attempt += 1
        job.placement = tuple(placement)
        job.started_at = self.now
        self.use[spec.profile] += spec.accelerators
        self.waiting.pop(spec.job_id, None)
        self.decisions.append(StartGang(spec.job_id, job.attempt, job.placement))


@dataclass(slots=True)
class QuotaPolicy(CountingPolicy):
    """``quota_by_count``: serves organisations below their quota first."""

    def _quota(self, profile: str) -> int:
        return sum(
            shape.count * shape.accelerators
            for shape in self.profiles[profile].guarantees
        )

    def _within_quota(self, spec: JobSpec) -> bool:
        return self.use[spec.profile] + spec.accelerators <= self._quota(spec.profile)

    def _sort_waiting(self) -> list[CountedJob]:
        return sorted(
            self.waiting.values(),
            key=lambda job: (
                job.spec.priority is not Priority.URGENT,
                not self._within_quota(job.spec),
                job.spec.submitted_at,
                job.spec.job_id,
            ),
        )

    def _try_start(self, job: CountedJob) -> bool:
        within_quota = self._within_quota(job.spec)
        if not job.spec.restartable and not within_quota:
            return False
        # ``super()`` without arguments fails in a dataclass with slots.
        if CountingPolicy._try_start(self, job):
            return True
        if within_quota:
            self._reclaim(job)
        return False

    def _reclaim(self, job: CountedJob) -> None:
        """Stop the newest gangs above quota in one zone until the job fits by count."""
        if self.now - job.last_reclaim_at < RECLAIM_RETRY_SECONDS:
            return
        spec = job.spec
        reclaimed_before = job.last_reclaim_at > float("-inf")
        zones = [
            zone
            for zone in self.profiles[spec.profile].zones
            if zone not in self.zones_out
        ]
        for zone in zones:
            free = sum(
                len(row.devices)
                for row in self.workers.values()
                if row.worker.zone == zone and not row.leaving
            )
            excess: Counter[str] = Counter(
                {
                    name: self.use[name] - self._quota(name)
                    for name in self.profiles
                    if self.use[name] > self._quota(name)
                }
            )
            victims: list[CountedJob] = []
            running = [
                each
                for each in self.jobs.values()
                if each.placement
                and self.workers[each.placement[0].worker_id].worker.zone == zone
            ]
            free += sum(each.spec.accelerators for each in running if each.stopping)
            # An earlier reclaim freed enough by count and the job still does not fit,
            # so twice the count is reclaimed.
            needed = spec.accelerators + (spec.accelerators if reclaimed_before else 0)
            for each in sorted(running, key=lambda each: -each.started_at):
                if free >= needed:
                    break
                if (
                    excess[each.spec.profile] > 0
                    and each.spec.accelerators
                    and each.spec.restartable
                    and each.spec.priority is not Priority.URGENT
                    and not each.stopping
                    and not each.ending
                ):
                    excess[each.spec.profile] -= each.spec.accelerators
                    free += each.spec.accelerators
                    victims.append(each)
            if free >= spec.accelerators and (victims or not reclaimed_before):
                for victim in victims:
                    self._stop(victim, StopReason.RECLAIM, spec.job_id)
                job.last_reclaim_at = self.now
                heapq.heappush(self.wake_times, self.now + RECLAIM_RETRY_SECONDS)
                return


def create_first_fit_by_count() -> CountingPolicy:
    """Return the policy without guarantees."""
    return CountingPolicy()


def create_quota_by_count() -> QuotaPolicy:
    """Return the policy with quotas by number of accelerators."""
    return QuotaPolicy()
