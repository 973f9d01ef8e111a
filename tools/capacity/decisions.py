"""Measures the processor time of one scheduler decision pass, in this process."""

from __future__ import annotations

import time

from egretloft._internal.models.jobs import JobSpec, JobState
from egretloft._internal.models.profiles import Adjacency, Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling.decisions import StartGang
from egretloft._internal.scheduling.events import (
    GangEnded,
    GangStarted,
    JobQueued,
    ProfileChanged,
    WorkerAvailable,
)
from egretloft._internal.scheduling.scheduler import Scheduler, create_scheduler
from egretloft._internal.scheduling.settings import SchedulerSettings

REGION = "region-1"
ZONES = ("zone-1", "zone-2", "zone-3")
WORKERS_PER_RACK = 8
REPEATS = 5


def create_workers(number: int) -> list[Worker]:
    """Return workers in three zones; every seventh has two accelerators."""
    return [
        Worker(
            worker_id=f"w{index}",
            region=REGION,
            zone=ZONES[index % 3],
            rack=f"{ZONES[index % 3]}-r{index // 3 // WORKERS_PER_RACK}",
            cores=64,
            memory_gb=256,
            accelerators=2 if index % 7 == 0 else 1,
        )
        for index in range(number)
    ]


def create_job(name: str, tasks: int, accelerators: int) -> JobSpec:
    """Return a gang of the given size; tasks without accelerators share workers."""
    return JobSpec(
        job_id=name,
        organisation="org",
        profile="org",
        region=REGION,
        service="service",
        tasks=tasks,
        accelerators_per_task=accelerators,
        cores=1,
        memory_gb=1,
        adjacency=Adjacency.ZONE,
        declared_seconds=3600,
        command="work 3600",
        idempotent=True,
        checkpointable=True,
    )


class LoadedScheduler:
    """A scheduler with workers and running tasks, on simulated time."""

    def __init__(self, workers: int, tasks: int) -> None:
        self.now = 1_800_000_000.0
        self.scheduler: Scheduler = create_scheduler(SchedulerSettings(), 1)
        self.running: list[str] = []
        self.job_count = 0
        for worker in create_workers(workers):
            self.scheduler.apply(WorkerAvailable(worker))
        profile = Profile("org", "org", REGION, ZONES, services=("service",))
        self.scheduler.apply(ProfileChanged(profile))
        for _ in range(tasks // 8):
            self.queue_job(8, 0)
        self.run_until_started()

    def queue_job(self, tasks: int, accelerators: int) -> None:
        """Queue one job."""
        self.job_count += 1
        job = create_job(f"job-{self.job_count}", tasks, accelerators)
        self.scheduler.apply(JobQueued(job))

    def pass_seconds(self) -> float:
        """Run one decision pass and return its processor time."""
        self.now += 0.2
        began = time.process_time()
        decisions = self.scheduler.tick(self.now)
        seconds = time.process_time() - began
        for decision in decisions:
            if isinstance(decision, StartGang):
                self.scheduler.apply(GangStarted(decision.job_id, self.now))
                self.running.append(decision.job_id)
        return seconds

    def run_until_started(self) -> None:
        """Run decision passes until one of them starts no gang."""
        while True:
            before = len(self.running)
            self.pass_seconds()
            if len(self.running) == before:
                return

    def change_jobs(self, number: int) -> None:
        """End ``number // 2`` gangs and queue as many jobs: ``number`` changed jobs."""
        for _ in range(number // 2):
            name = self.running.pop(0)
            self.scheduler.apply(GangEnded(name, self.now, JobState.COMPLETED))
            self.queue_job(8, 0)


def measure_changed_jobs(workers: int, tasks: int) -> list[tuple[float, float]]:
    """Return (changed jobs, milliseconds of a pass); the minimum of the repeats."""
    loaded = LoadedScheduler(workers, tasks)
    points = []
    for number in (0, 10, 40, 100, 200):
        best = float("inf")
        for _ in range(REPEATS):
            loaded.change_jobs(number)
            best = min(best, loaded.pass_seconds())
            loaded.run_until_started()
        points.append((float(number), 1000 * best))
    return points


def measure_running_tasks(workers: int) -> list[tuple[float, float]]:
    """Return (running tasks, milliseconds of a pass with ten changed jobs).

    Each time is the minimum of the repeats.
    """
    points = []
    for tasks in (1_000, 2_500, 5_000, 10_000):
        loaded = LoadedScheduler(workers, tasks)
        best = float("inf")
        for _ in range(REPEATS):
            loaded.change_jobs(10)
            best = min(best, loaded.pass_seconds())
            loaded.run_until_started()
        points.append((float(tasks), 1000 * best))
    return points
