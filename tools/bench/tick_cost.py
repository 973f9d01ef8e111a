"""Measures the run time of a scheduler tick at the size expected in two years."""

from __future__ import annotations

import random
import time

from bench.measures import summary
from egretloft._internal.models.jobs import JobSpec, JobState, Placement
from egretloft._internal.models.profiles import Adjacency, GuaranteedShape, Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.scheduling import events
from egretloft._internal.scheduling.decisions import StartGang
from egretloft._internal.scheduling.scheduler import create_scheduler
from egretloft._internal.scheduling.settings import SchedulerSettings

WORKERS = 1_500
TASKS = 10_000
ORGANISATIONS = 67
TICKS = 300
CHANGES_PER_TICK = 3


def _create_workers() -> list[Worker]:
    """Return 1,500 workers with 1,700 accelerators in 5 zones."""
    workers = []
    for index in range(WORKERS):
        zone = index % 5
        # 25 large workers with 9 accelerators each; 1,475 with one.
        accelerators = 9 if index < 25 else 1
        workers.append(
            Worker(
                worker_id=f"w{index:04}",
                region="region",
                zone=f"zone-{zone}",
                rack=f"zone-{zone}-r{index // 5 % 20}",
                cores=72 if accelerators == 9 else 32,
                memory_gb=288 if accelerators == 9 else 128,
                accelerators=accelerators,
            )
        )
    return workers


def _create_job(generator: random.Random, number: int) -> JobSpec:
    organisation = f"org-{generator.randrange(ORGANISATIONS):02}"
    uses_accelerators = generator.random() < 0.25
    tasks = generator.choice((1, 1, 1, 2, 4, 8, 16, 32, 64, 128))
    return JobSpec(
        job_id=f"job-{number:06}",
        organisation=organisation,
        profile=organisation,
        region="region",
        service="service",
        tasks=tasks,
        accelerators_per_task=1 if uses_accelerators else 0,
        cores=generator.choice((1, 2)),
        memory_gb=generator.choice((2, 4)),
        adjacency=Adjacency.ZONE,
        declared_seconds=generator.uniform(600, 20_000),
        command="run",
        idempotent=True,
        checkpointable=generator.random() < 0.5,
        submitted_at=float(number) / 1_000,
    )


def measure_tick_cost(seed: int) -> dict[str, object]:
    """Return the run times of idle ticks and of ticks with a few changed jobs."""
    generator = random.Random(seed)
    scheduler = create_scheduler(SchedulerSettings(), seed)
    zones = tuple(f"zone-{index}" for index in range(5))
    for worker in _create_workers():
        scheduler.apply(events.WorkerAvailable(worker))
    for index in range(ORGANISATIONS):
        name = f"org-{index:02}"
        shapes = (
            GuaranteedShape(4, 1, Adjacency.WORKER),
            GuaranteedShape(1, 8, Adjacency.ZONE),
        )
        scheduler.apply(
            events.ProfileChanged(Profile(name, name, "region", zones, shapes))
        )
    now = 1_000.0
    started = time.perf_counter()
    scheduler.tick(now)
    first_tick_seconds = time.perf_counter() - started
    running: dict[str, Placement] = {}
    tasks = 0
    number = 0

    def tick() -> float:
        nonlocal now, tasks
        now += 1.0
        begin = time.perf_counter()
        decisions = scheduler.tick(now)
        spent = time.perf_counter() - begin
        for decision in decisions:
            if isinstance(decision, StartGang):
                running[decision.job_id] = decision.placement
                tasks += len(decision.placement)
                scheduler.apply(events.GangStarted(decision.job_id, now))
        return spent

    fill_began = time.perf_counter()
    for _ in range(100):
        if tasks >= TASKS:
            break
        for _ in range(50):
            number += 1
            scheduler.apply(events.JobQueued(_create_job(generator, number)))
        tick()
    fill_seconds = time.perf_counter() - fill_began
    idle: list[float] = []
    busy: list[float] = []
    for _ in range(TICKS):
        idle.append(tick())
    for _ in range(TICKS):
        begin = time.perf_counter()
        for _ in range(CHANGES_PER_TICK):
            job_id = generator.choice(list(running))
            tasks -= len(running.pop(job_id))
            scheduler.apply(events.GangEnded(job_id, now, JobState.COMPLETED))
            number += 1
            scheduler.apply(events.JobQueued(_create_job(generator, number)))
        applied = time.perf_counter() - begin
        busy.append(applied + tick())
    state = getattr(scheduler, "state")  # noqa: B009
    return {
        "workers": WORKERS,
        "tasks_running": tasks,
        "jobs_waiting": len(state.queue.group_of),
        "first_tick_milliseconds": round(first_tick_seconds * 1e3, 1),
        "fill_seconds": round(fill_seconds, 2),
        "idle_tick_seconds": summary(idle),
        "tick_seconds_with_6_events": summary(busy),
    }
