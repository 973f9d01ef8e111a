"""Workloads of the two simulated deployments, generated from a seed."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from egretloft._internal.models.jobs import JobSpec, Priority
from egretloft._internal.models.profiles import (
    Adjacency,
    GuaranteedShape,
    Limits,
    Profile,
)
from egretloft._internal.models.topology import Worker

HOUR = 3600.0


@dataclass(slots=True, frozen=True)
class Arrival:
    """A job, with properties that the policies do not see.

    ``run_seconds`` is its actual run time. A bad job fails after ``fails_after``
    seconds on every worker.
    """

    spec: JobSpec
    run_seconds: float
    bad: bool = False
    fails_after: float = 0.0


@dataclass(slots=True, frozen=True)
class BadWorker:
    """A worker on which every task fails during a period."""

    worker_id: str
    start: float
    end: float


@dataclass(slots=True, frozen=True)
class ZoneOutage:
    """A zone that operators take out of service for a period."""

    zone: str
    start: float
    end: float


@dataclass(slots=True)
class Workload:
    """Workers, profiles, jobs and faults of one deployment, the same for all policies.

    A gang counts as large from ``large_accelerators`` on.
    """

    name: str
    workers: list[Worker]
    profiles: list[Profile]
    arrivals: list[Arrival] = field(default_factory=list)
    cancellations: list[tuple[float, str]] = field(default_factory=list)
    bad_workers: list[BadWorker] = field(default_factory=list)
    outages: list[ZoneOutage] = field(default_factory=list)
    large_accelerators: int = 32


@dataclass(slots=True, frozen=True)
class JobClass:
    """Parameters that the jobs of one service are drawn from.

    A shape is (tasks, accelerators per task, adjacency). ``spread`` is the sigma of the
    log-normal run time. ``cores`` and ``memory_gb`` are per accelerator of a task, or
    per task without accelerators. ``restartable`` and ``urgent`` are shares of all
    jobs, ``checkpointable`` is a share of those that can restart.
    """

    service: str
    shapes: tuple[tuple[int, int, Adjacency], ...]
    median_seconds: float
    spread: float
    per_hour: float
    organisations: tuple[str, ...]
    cores: tuple[int, ...]
    memory_gb: tuple[int, ...]
    restartable: float = 0.85
    checkpointable: float = 0.5
    urgent: float = 0.02


class WorkloadBuilder:
    """Adds randomly drawn jobs to the workload of a deployment."""

    def __init__(
        self, name: str, region: str, workers: list[Worker], profiles: list[Profile]
    ) -> None:
        self.workload = Workload(name, workers, profiles)
        self.region = region
        self.profiles = {profile.organisation: profile for profile in profiles}
        self.number = 0

    def add(
        self,
        generator: random.Random,
        job_class: JobClass,
        at: float,
        *,
        organisation: str = "",
        shape: tuple[int, int, Adjacency] | None = None,
        bad: bool = False,
        restartable: bool | None = None,
    ) -> JobSpec:
        """Draw a job, add its arrival and return it."""
        self.number += 1
        organisation = organisation or generator.choice(job_class.organisations)
        tasks, accelerators, adjacency = shape or generator.choice(job_class.shapes)
        run = min(3 * HOUR, generator.lognormvariate(0, job_class.spread)) * (
            job_class.median_seconds
        )
        # Declared run times are inaccurate: each organisation has a constant bias for
        # each service, and each job a random error on top of it, so that
        # declared = actual / (bias x log-normal error).
        bias = (
            0.25 + 3.0 * random.Random(f"{organisation}/{job_class.service}").random()
        )
        declared = run / (bias * generator.lognormvariate(0, 0.6))
        can_restart = generator.random() < job_class.restartable
        if restartable is not None:
            can_restart = restartable
        checkpointable = can_restart and generator.random() < job_class.checkpointable
        spec = JobSpec(
            job_id=f"job-{self.number:06}",
            organisation=organisation,
            profile=self.profiles[organisation].name,
            region=self.region,
            service=job_class.service,
            tasks=tasks,
            accelerators_per_task=accelerators,
            cores=generator.choice(job_class.cores) * max(1, accelerators),
            memory_gb=generator.choice(job_class.memory_gb) * max(1, accelerators),
            adjacency=adjacency,
            declared_seconds=max(5.0, round(declared, 1)),
            command="run",
            idempotent=can_restart,
            checkpointable=checkpointable,
            priority=(
                Priority.URGENT
                if generator.random() < job_class.urgent
                else Priority.NORMAL
            ),
            submitted_at=at,
        )
        self.workload.arrivals.append(
            Arrival(spec, max(5.0, run), bad, generator.uniform(3, 20))
        )
        return spec

    def add_stream(
        self,
        generator: random.Random,
        job_class: JobClass,
        hours: float,
        burst_period: float,
        burst_factor: float,
        load: float,
    ) -> None:
        """Add Poisson arrivals, with a burst of five minutes in every period."""
        at = 0.0
        while True:
            phase = at % burst_period
            factor = burst_factor if phase < 300.0 else 1.0
            at += generator.expovariate(job_class.per_hour * load * factor / HOUR)
            if at >= hours * HOUR:
                return
            self.add(generator, job_class, at, bad=generator.random() < 0.01)

    def add_guaranteed_demand(
        self,
        generator: random.Random,
        job_class: JobClass,
        organisation: str,
        at: float,
    ) -> None:
        """Add jobs that together use all guaranteed shapes of an organisation."""
        for shape in self.profiles[organisation].guarantees:
            for _ in range(shape.count):
                per_task = min(8, shape.accelerators)
                self.add(
                    generator,
                    job_class,
                    at + generator.uniform(0, 2),
                    organisation=organisation,
                    shape=(shape.accelerators // per_task, per_task, shape.adjacency),
                )

    def add_cancelled_jobs(
        self, generator: random.Random, job_class: JobClass, at: float, count: int
    ) -> None:
        """Add many jobs at ``at``; most are cancelled together 90 seconds later."""
        organisation = generator.choice(job_class.organisations)
        for _ in range(count):
            spec = self.add(
                generator,
                job_class,
                at + generator.uniform(0, 10),
                organisation=organisation,
                restartable=True,
            )
            if generator.random() < 0.97:
                self.workload.cancellations.append((at + 90.0, spec.job_id))

    def add_impossible(
        self, generator: random.Random, job_class: JobClass, at: float
    ) -> None:
        """Add a gang that does not fit into any zone."""
        self.add(generator, job_class, at, shape=(40, 8, Adjacency.ZONE))

    def build(self) -> Workload:
        """Return the workload, sorted by time."""
        self.workload.arrivals.sort(key=lambda each: each.spec.submitted_at)
        self.workload.cancellations.sort()
        return self.workload


def _create_workers(
    region: str, zones: Sequence[str], per_zone: int, cores: int, memory_gb: int
) -> list[Worker]:
    return [
        Worker(
            worker_id=f"{zone}-w{index:02}",
            region=region,
            zone=zone,
            rack=f"{zone}-r1",
            cores=cores,
            memory_gb=memory_gb,
            accelerators=8,
        )
        for zone in zones
        for index in range(per_zone)
    ]


def _create_profile(
    organisation: str,
    region: str,
    zones: tuple[str, ...],
    guarantees: tuple[GuaranteedShape, ...],
    limit: int = 0,
) -> Profile:
    return Profile(
        name=organisation,
        organisation=organisation,
        region=region,
        zones=zones,
        guarantees=guarantees,
        limits=Limits(max_accelerators=limit),
    )


def create_bureau(seed: int, hours: float, load: float) -> Workload:
    """Return the bureau's workload: many short jobs whose users wait for the result."""
    generator = random.Random(seed)
    region = "kyushu-north"
    zones = ("kurume", "tosu", "omuta", "yame")
    worker, rack, zone = Adjacency.WORKER, Adjacency.RACK, Adjacency.ZONE
    profiles = [
        _create_profile(
            "salons",
            region,
            zones,
            (GuaranteedShape(4, 8, worker), GuaranteedShape(8, 1, worker)),
        ),
        _create_profile("clinics", region, zones, (GuaranteedShape(2, 16, rack),)),
        _create_profile("archive", region, zones, (GuaranteedShape(8, 2, worker),)),
        _create_profile("training", region, zones, (), limit=120),
    ]
    all_organisations = tuple(profile.organisation for profile in profiles)
    builder = WorkloadBuilder(
        "bureau", region, _create_workers(region, zones, 6, 64, 256), profiles
    )
    short = JobClass(
        "styling",
        ((1, 1, worker), (1, 1, worker), (1, 2, worker), (2, 1, zone)),
        30.0,
        0.8,
        2000.0,
        all_organisations,
        (2, 4, 8),
        (8, 16, 32),
    )
    medium = JobClass(
        "matching",
        ((1, 4, worker), (1, 8, worker), (2, 4, rack), (4, 2, zone)),
        120.0,
        0.7,
        160.0,
        all_organisations,
        (4, 8),
        (16, 32),
    )
    large = JobClass(
        "fitting",
        ((2, 8, rack), (4, 8, zone), (3, 8, rack)),
        300.0,
        0.6,
        13.0,
        ("clinics", "training", "archive"),
        (4, 8),
        (16, 32),
        restartable=1.0,
        checkpointable=0.8,
    )
    builder.add_stream(generator, short, hours, 2400.0, 4.0, load)
    builder.add_stream(generator, medium, hours, 3600.0, 3.0, load)
    builder.add_stream(generator, large, hours, 3000.0, 3.0, load)
    demand = replace(medium, urgent=0.0, restartable=0.5)
    for at in range(1500, int(hours * HOUR), 2700):
        builder.add_guaranteed_demand(
            generator, demand, ("clinics", "salons", "archive")[at // 2700 % 3], at
        )
    builder.add_cancelled_jobs(generator, short, 1.2 * HOUR, 1000)
    for at in range(600, int(hours * HOUR), 3000):
        builder.add_impossible(generator, large, float(at))
    workload = builder.build()
    workload.bad_workers = [
        BadWorker("tosu-w02", 0.5 * HOUR, 1.5 * HOUR),
        BadWorker("yame-w04", 2.6 * HOUR, 3.1 * HOUR),
    ]
    workload.outages = [ZoneOutage("omuta", 2.0 * HOUR, 2.0 * HOUR + 1500.0)]
    workload.large_accelerators = 16
    return workload


def create_software_house(seed: int, hours: float, load: float) -> Workload:
    """Return the software house's workload: large gangs and many smaller jobs."""
    generator = random.Random(seed)
    region = "is-sudvestur"
    zones = ("rvk-a", "hfj-b", "kef-c")
    worker, rack, zone = Adjacency.WORKER, Adjacency.RACK, Adjacency.ZONE
    profiles = [
        _create_profile("cellar", region, zones, (GuaranteedShape(1, 32, zone),)),
        _create_profile(
            "ledger",
            region,
            zones,
            (GuaranteedShape(2, 16, rack), GuaranteedShape(8, 1, worker)),
        ),
        _create_profile("bottling", region, zones, (GuaranteedShape(3, 8, worker),)),
        _create_profile("research", region, zones, ()),
    ]
    all_organisations = tuple(profile.organisation for profile in profiles)
    builder = WorkloadBuilder(
        "software_house", region, _create_workers(region, zones, 8, 32, 64), profiles
    )
    short = JobClass(
        "tests",
        ((1, 1, worker), (1, 1, worker), (1, 2, worker), (1, 4, worker)),
        180.0,
        1.0,
        260.0,
        all_organisations,
        (1, 2, 4),
        (2, 4, 8),
    )
    medium = JobClass(
        "builds",
        ((1, 8, worker), (2, 8, rack), (4, 2, zone), (8, 1, zone)),
        600.0,
        0.8,
        17.0,
        all_organisations,
        (2, 4),
        (4, 8),
    )
    large = JobClass(
        "models",
        ((4, 8, zone), (6, 8, zone), (8, 8, zone), (4, 8, rack)),
        700.0,
        0.6,
        3.2,
        ("cellar", "research", "ledger"),
        (2, 4),
        (4, 8),
        restartable=1.0,
        checkpointable=0.8,
    )
    builder.add_stream(generator, short, hours, 2400.0, 3.0, load)
    builder.add_stream(generator, medium, hours, 3600.0, 3.0, load)
    builder.add_stream(generator, large, hours, 3000.0, 3.0, load)
    demand = replace(medium, urgent=0.0, restartable=0.5)
    for at in range(1500, int(hours * HOUR), 2700):
        builder.add_guaranteed_demand(
            generator, demand, ("cellar", "ledger", "bottling")[at // 2700 % 3], at
        )
    builder.add_cancelled_jobs(generator, short, 1.2 * HOUR, 1000)
    for at in range(600, int(hours * HOUR), 3000):
        builder.add_impossible(generator, large, float(at))
    workload = builder.build()
    workload.bad_workers = [
        BadWorker("rvk-a-w03", 0.5 * HOUR, 1.5 * HOUR),
        BadWorker("kef-c-w05", 2.6 * HOUR, 3.1 * HOUR),
    ]
    workload.outages = [ZoneOutage("hfj-b", 2.0 * HOUR, 2.0 * HOUR + 1500.0)]
    return workload


def offered_load(workload: Workload) -> float:
    """Return the offered accelerator-seconds as a share of the capacity.

    The capacity is that of all workers until the last arrival. Jobs that are cancelled,
    bad or larger than 64 accelerators do not count.
    """
    cancelled = {job_id for _, job_id in workload.cancellations}
    offered = sum(
        each.run_seconds * each.spec.accelerators
        for each in workload.arrivals
        if not each.bad
        and each.spec.job_id not in cancelled
        and each.spec.accelerators <= 64
    )
    capacity = sum(worker.accelerators for worker in workload.workers)
    last = max(each.spec.submitted_at for each in workload.arrivals)
    return offered / (capacity * last) if last else math.nan
