"""A model of workers and gangs that checks every decision of the scheduler.

The model sees only the events and decisions. It records by itself what runs where and
fails on any decision that breaks an invariant, such as a double-booked device, a
partial gang, or an exceeded limit.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from egretloft._internal.models.jobs import JobSpec, JobState, Placement
from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling import events
from egretloft._internal.scheduling.decisions import (
    Decision,
    EndJob,
    QuarantineWorker,
    StartGang,
    StopGang,
)
from egretloft._internal.scheduling.scheduler import Scheduler, create_scheduler
from egretloft._internal.scheduling.settings import SchedulerSettings


@dataclass(slots=True)
class RunningGang:
    """A gang that holds cells."""

    spec: JobSpec
    placement: Placement
    started_at: float
    stopping: bool = False


@dataclass(slots=True)
class GangWorld:
    """Workers, gangs and the scheduler under test."""

    seed: int = 0
    # Cells are reclaimed at once, so that one round of stops is enough.
    settings: SchedulerSettings = field(
        default_factory=lambda: SchedulerSettings(reclaim_after_seconds=0.0)
    )
    now: float = 0.0
    workers: dict[str, Worker] = field(default_factory=dict)
    unusable: set[str] = field(default_factory=set)
    zones_out: set[str] = field(default_factory=set)
    quarantined: dict[str, float] = field(default_factory=dict)
    profiles: dict[str, Profile] = field(default_factory=dict)
    jobs: dict[str, JobSpec] = field(default_factory=dict)
    running: dict[str, RunningGang] = field(default_factory=dict)
    ended: dict[str, str] = field(default_factory=dict)
    started_at: dict[str, float] = field(default_factory=dict)
    stops: list[StopGang] = field(default_factory=list)
    starts: Counter[str] = field(default_factory=Counter)
    scheduler: Scheduler = field(init=False)

    def __post_init__(self) -> None:
        self.scheduler = create_scheduler(self.settings, self.seed)

    def add_workers(self, workers: list[Worker]) -> None:
        for worker in workers:
            self.workers[worker.worker_id] = worker
            self.unusable.discard(worker.worker_id)
            self.scheduler.apply(events.WorkerAvailable(worker))

    def leave(self, worker_id: str) -> None:
        self.unusable.add(worker_id)
        self.scheduler.apply(events.WorkerLeaving(worker_id))

    def set_zone(self, zone: str, in_service: bool) -> None:
        (self.zones_out.discard if in_service else self.zones_out.add)(zone)
        self.scheduler.apply(events.ZoneChanged(zone, in_service))

    def set_profile(self, profile: Profile) -> None:
        self.profiles[profile.name] = profile
        self.scheduler.apply(events.ProfileChanged(profile))

    def submit(self, *specs: JobSpec) -> None:
        for spec in specs:
            self.jobs[spec.job_id] = spec
            self.scheduler.apply(events.JobQueued(spec))

    def adopt(self, spec: JobSpec, placement: Placement) -> None:
        self.jobs[spec.job_id] = spec
        self.running[spec.job_id] = RunningGang(spec, placement, self.now)
        self.scheduler.apply(events.JobAdopted(spec, placement, 1, self.now))

    def cancel(self, job_id: str) -> None:
        self.scheduler.apply(events.JobCancelled(job_id))

    def end(
        self,
        job_id: str,
        outcome: JobState = JobState.COMPLETED,
        failed_workers: tuple[str, ...] = (),
    ) -> None:
        del self.running[job_id]
        self.scheduler.apply(
            events.GangEnded(job_id, self.now, outcome, failed_workers)
        )

    def stop(self, job_id: str) -> None:
        gang = self.running.pop(job_id)
        checkpoint = "checkpoint" if gang.spec.checkpointable else ""
        self.scheduler.apply(events.GangStopped(job_id, self.now, checkpoint))

    def finish_stops(self) -> None:
        """Complete all stops that the scheduler has decided."""
        for job_id, gang in list(self.running.items()):
            if gang.stopping:
                self.stop(job_id)

    def tick(self, seconds: float = 1.0) -> list[Decision]:
        """Advance the clock, check the decisions and confirm the starts."""
        self.now += seconds
        self.quarantined = {
            worker_id: until
            for worker_id, until in self.quarantined.items()
            if until > self.now
        }
        decisions = self.scheduler.tick(self.now)
        for decision in decisions:
            if isinstance(decision, StartGang):
                self._check_start(decision)
            elif isinstance(decision, StopGang):
                self._check_stop(decision)
            elif isinstance(decision, EndJob):
                self.ended[decision.job_id] = decision.reason.value
                if decision.job_id in self.running:
                    self.running[decision.job_id].stopping = True
            elif isinstance(decision, QuarantineWorker):
                self.quarantined[decision.worker_id] = decision.until
        self.check_capacity()
        for decision in decisions:
            if isinstance(decision, StartGang) and decision.job_id in self.running:
                self.scheduler.apply(events.GangStarted(decision.job_id, self.now))
        return decisions

    def _check_start(self, decision: StartGang) -> None:
        spec = self.jobs[decision.job_id]
        assert decision.job_id not in self.running, "started while it runs"
        assert decision.job_id not in self.ended, "started after its end"
        placement = decision.placement
        assert [task.task_index for task in placement] == list(range(spec.tasks))
        used = [self.workers[task.worker_id] for task in placement]
        for worker, task in zip(used, placement, strict=True):
            assert len(task.accelerators) == spec.accelerators_per_task
            assert worker.worker_id not in self.unusable
            assert worker.worker_id not in self.quarantined
            assert worker.zone not in self.zones_out
            assert worker.zone in self.profiles[spec.profile].zones
        assert len({worker.zone for worker in used}) == 1
        if spec.adjacency is Adjacency.RACK:
            assert len({worker.rack for worker in used}) == 1
        if spec.adjacency is Adjacency.WORKER:
            assert len({worker.worker_id for worker in used}) == 1
        self.starts[decision.job_id] += 1
        self.started_at.setdefault(decision.job_id, self.now)
        self.running[decision.job_id] = RunningGang(spec, placement, self.now)

    def _check_stop(self, decision: StopGang) -> None:
        gang = self.running[decision.job_id]
        assert gang.spec.restartable, "work that cannot restart was stopped"
        assert not gang.stopping, "stopped twice"
        gang.stopping = True
        self.stops.append(decision)

    def check_capacity(self) -> None:
        """Check devices, cores, memory and profile limits of all running gangs."""
        devices: set[tuple[str, int]] = set()
        cores: Counter[str] = Counter()
        memory: Counter[str] = Counter()
        use: Counter[str] = Counter()
        for gang in self.running.values():
            use[gang.spec.profile] += gang.spec.accelerators
            for task in gang.placement:
                cores[task.worker_id] += gang.spec.cores
                memory[task.worker_id] += gang.spec.memory_gb
                for device in task.accelerators:
                    assert (task.worker_id, device) not in devices, "booked twice"
                    assert device < self.workers[task.worker_id].accelerators
                    devices.add((task.worker_id, device))
        for worker_id, worker in self.workers.items():
            assert cores[worker_id] <= worker.cores, "cores exceeded"
            assert memory[worker_id] <= worker.memory_gb, "memory exceeded"
        for name, profile in self.profiles.items():
            limit = profile.limits.max_accelerators
            assert not limit or use[name] <= limit, "limit of a profile exceeded"

    def can_start_after_reclaim(self, spec: JobSpec) -> bool:
        """Submit a job and return whether it starts after one round of stops."""
        self.submit(spec)
        self.tick()
        self.finish_stops()
        self.tick()
        return spec.job_id in self.started_at
