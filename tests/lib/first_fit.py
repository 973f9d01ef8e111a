"""A scheduler for tests: first fit by count, without guarantees."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretloft._internal.models.jobs import (
    JobSpec,
    JobState,
    Placement,
    TaskPlacement,
)
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling import decisions, events


@dataclass(slots=True)
class FirstFitScheduler:
    """Starts queued jobs in order; ``injected`` is for a test's own decisions."""

    workers: dict[str, Worker] = field(default_factory=dict)
    free: dict[str, set[int]] = field(default_factory=dict)
    queued: dict[str, tuple[JobSpec, int]] = field(default_factory=dict)
    held: dict[str, tuple[JobSpec, int, Placement]] = field(default_factory=dict)
    unavailable: set[str] = field(default_factory=set)
    injected: list[decisions.Decision] = field(default_factory=list)
    applied: list[events.Event] = field(default_factory=list)

    def apply(self, event: events.Event) -> None:
        self.applied.append(event)
        match event:
            case events.WorkerAvailable(worker):
                if worker.worker_id not in self.workers:
                    self.free[worker.worker_id] = set(range(worker.accelerators))
                self.workers[worker.worker_id] = worker
                self.unavailable.discard(worker.worker_id)
            case events.WorkerRemoved(worker_id) | events.WorkerLeaving(worker_id):
                self.unavailable.add(worker_id)
            case events.ZoneChanged(zone, in_service):
                (self.unavailable.discard if in_service else self.unavailable.add)(zone)
            case events.JobQueued(job, attempt):
                self.queued[job.job_id] = job, attempt
            case events.JobAdopted(job, placement, attempt, _):
                for part in placement:
                    self.free[part.worker_id] -= set(part.accelerators)
                self.held[job.job_id] = job, attempt, placement
            case events.GangStartFailed(job_id) | events.GangStopped(job_id):
                self._release(job_id, requeue=True)
            case events.GangEnded(job_id, _, outcome):
                job = self.held[job_id][0]
                failed = outcome is JobState.FAILED
                self._release(job_id, requeue=failed and job.restartable)
            case events.JobCancelled(job_id):
                self.queued.pop(job_id, None)

    def tick(self, now: float) -> list[decisions.Decision]:
        decided, self.injected = self.injected, []
        for job, attempt in list(self.queued.values()):
            placement = self._place(job)
            if placement:
                del self.queued[job.job_id]
                self.held[job.job_id] = job, attempt + 1, placement
                decided.append(decisions.StartGang(job.job_id, attempt + 1, placement))
        return decided

    def unsatisfied_guarantees(self) -> dict[str, int]:
        return {}

    def _place(self, job: JobSpec) -> Placement:
        parts: list[TaskPlacement] = []
        for worker in self.workers.values():
            if {worker.worker_id, worker.zone} & self.unavailable:
                continue
            free = sorted(self.free[worker.worker_id])
            while len(parts) < job.tasks and len(free) >= job.accelerators_per_task:
                taken = free[: job.accelerators_per_task]
                free = free[job.accelerators_per_task :]
                parts.append(TaskPlacement(len(parts), worker.worker_id, tuple(taken)))
        if len(parts) < job.tasks:
            return ()
        for part in parts:
            self.free[part.worker_id] -= set(part.accelerators)
        return tuple(parts)

    def _release(self, job_id: str, *, requeue: bool) -> None:
        job, attempt, placement = self.held.pop(job_id)
        for part in placement:
            self.free[part.worker_id] |= set(part.accelerators)
        if requeue:
            self.queued[job_id] = job, attempt
