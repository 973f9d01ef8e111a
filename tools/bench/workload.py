"""Arrivals and disturbances of the two deployments, from a fixed seed."""

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
    """A job with what only the simulation knows about it.

    ``run_seconds`` is its real run time. A bad job fails after ``fails_after`` seconds
    wherever it runs.
    """

    spec: JobSpec
    run_seconds: float
    bad: bool = False
    fails_after: float = 0.0


@dataclass(slots=True, frozen=True)
class BadWorker:
    """A worker that fails every task in a period."""

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
    """All that happens in one deployment, independent of the policy."""

    name: str
    workers: list[Worker]
    profiles: list[Profile]
    arrivals: list[Arrival] = field(default_factory=list)
    cancellations: list[tuple[float, str]] = field(default_factory=list)
    bad_workers: list[BadWorker] = field(default_factory=list)
    outages: list[ZoneOutage] = field(default_factory=list)
    large: int = 32


@dataclass(slots=True, frozen=True)
class JobClass:
    """A kind of job: shapes to draw from, with run time and rate."""

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
    """Draws jobs of a deployment."""

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
        kind: JobClass,
        at: float,
        *,
        organisation: str = "",
        shape: tuple[int, int, Adjacency] | None = None,
        bad: bool = False,
        restartable: bool | None = None,
    ) -> JobSpec:
        """Add one arrival."""
        self.number += 1
        organisation = organisation or generator.choice(kind.organisations)
        tasks, accelerators, adjacency = shape or generator.choice(kind.shapes)
        run = min(3 * HOUR, generator.lognormvariate(0, kind.spread)) * (
            kind.median_seconds
        )
        # Organisations misjudge their services each in their own way, and every job
        # a little differently: declared = real / (bias x log-normal factor).
        bias = 0.25 + 3.0 * random.Random(f"{organisation}/{kind.service}").random()
        declared = run / (bias * generator.lognormvariate(0, 0.6))
        can_restart = generator.random() < kind.restartable
        if restartable is not None:
            can_restart = restartable
        checkpointable = can_restart and generator.random() < kind.checkpointable
        spec = JobSpec(
            job_id=f"job-{self.number:06}",
            organisation=organisation,
            profile=self.profiles[organisation].name,
            region=self.region,
            service=kind.service,
            tasks=tasks,
            accelerators_per_task=accelerators,
            cores=generator.choice(kind.cores) * max(1, accelerators),
            memory_gb=generator.choice(kind.memory_gb) * max(1, accelerators),
            adjacency=adjacency,
            declared_seconds=max(5.0, round(declared, 1)),
            command="run",
            idempotent=can_restart,
            checkpointable=checkpointable,
            priority=(
                Priority.URGENT if generator.random() < kind.urgent else Priority.NORMAL
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
        kind: JobClass,
        hours: float,
        burst_every: float,
        burst_factor: float,
        load: float,
    ) -> None:
        """Add Poisson arrivals whose rate rises in bursts of five minutes."""
        at = 0.0
        while True:
            phase = at % burst_every
            factor = burst_factor if phase < 300.0 else 1.0
            at += generator.expovariate(kind.per_hour * load * factor / HOUR)
            if at >= hours * HOUR:
                return
            self.add(generator, kind, at, bad=generator.random() < 0.01)

    def add_demand(
        self, generator: random.Random, kind: JobClass, organisation: str, at: float
    ) -> None:
        """Add a demand for every guaranteed shape of an organisation at once."""
        for shape in self.profiles[organisation].guarantees:
            for _ in range(shape.count):
                per_task = min(8, shape.accelerators)
                self.add(
                    generator,
                    kind,
                    at + generator.uniform(0, 2),
                    organisation=organisation,
                    shape=(shape.accelerators // per_task, per_task, shape.adjacency),
                )

    def add_wave(
        self, generator: random.Random, kind: JobClass, at: float, count: int
    ) -> None:
        """Add a wave of jobs of which most are cancelled at once a little later."""
        organisation = generator.choice(kind.organisations)
        for _ in range(count):
            spec = self.add(
                generator,
                kind,
                at + generator.uniform(0, 10),
                organisation=organisation,
                restartable=True,
            )
            if generator.random() < 0.97:
                self.workload.cancellations.append((at + 90.0, spec.job_id))

    def add_impossible(
        self, generator: random.Random, kind: JobClass, at: float
    ) -> None:
        """Add a gang that is larger than any zone."""
        self.add(generator, kind, at, shape=(40, 8, Adjacency.ZONE))

    def build(self) -> Workload:
        """Return the workload in order of time."""
        self.workload.arrivals.sort(key=lambda each: each.spec.submitted_at)
        self.workload.cancellations.sort()
        return self.workload


def _workers(
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


def _profile(
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
    """Return the bureau's mix: many short jobs for which a groomer waits."""
    generator = random.Random(seed)
    region = "kyushu-north"
    zones = ("kurume", "tosu", "omuta", "yame")
    worker, rack, zone = Adjacency.WORKER, Adjacency.RACK, Adjacency.ZONE
    profiles = [
        _profile(
            "salons",
            region,
            zones,
            (GuaranteedShape(4, 8, worker), GuaranteedShape(8, 1, worker)),
        ),
        _profile("clinics", region, zones, (GuaranteedShape(2, 16, rack),)),
        _profile("archive", region, zones, (GuaranteedShape(8, 2, worker),)),
        _profile("training", region, zones, (), limit=120),
    ]
    everyone = tuple(profile.organisation for profile in profiles)
    builder = WorkloadBuilder(
        "bureau", region, _workers(region, zones, 6, 64, 256), profiles
    )
    short = JobClass(
        "styling",
        ((1, 1, worker), (1, 1, worker), (1, 2, worker), (2, 1, zone)),
        30.0,
        0.8,
        2000.0,
        everyone,
        (2, 4, 8),
        (8, 16, 32),
    )
    middle = JobClass(
        "matching",
        ((1, 4, worker), (1, 8, worker), (2, 4, rack), (4, 2, zone)),
        120.0,
        0.7,
        160.0,
        everyone,
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
    builder.add_stream(generator, middle, hours, 3600.0, 3.0, load)
    builder.add_stream(generator, large, hours, 3000.0, 3.0, load)
    demand = replace(middle, urgent=0.0, restartable=0.5)
    for at in range(1500, int(hours * HOUR), 2700):
        builder.add_demand(
            generator, demand, ("clinics", "salons", "archive")[at // 2700 % 3], at
        )
    builder.add_wave(generator, short, 1.2 * HOUR, 1000)
    for at in range(600, int(hours * HOUR), 3000):
        builder.add_impossible(generator, large, float(at))
    workload = builder.build()
    workload.bad_workers = [
        BadWorker("tosu-w02", 0.5 * HOUR, 1.5 * HOUR),
        BadWorker("yame-w04", 2.6 * HOUR, 3.1 * HOUR),
    ]
    workload.outages = [ZoneOutage("omuta", 2.0 * HOUR, 2.0 * HOUR + 1500.0)]
    workload.large = 16
    return workload


def create_software_house(seed: int, hours: float, load: float) -> Workload:
    """Return the software house's mix: large gangs among many smaller jobs."""
    generator = random.Random(seed)
    region = "is-sudvestur"
    zones = ("rvk-a", "hfj-b", "kef-c")
    worker, rack, zone = Adjacency.WORKER, Adjacency.RACK, Adjacency.ZONE
    profiles = [
        _profile("cellar", region, zones, (GuaranteedShape(1, 32, zone),)),
        _profile(
            "ledger",
            region,
            zones,
            (GuaranteedShape(2, 16, rack), GuaranteedShape(8, 1, worker)),
        ),
        _profile("bottling", region, zones, (GuaranteedShape(3, 8, worker),)),
        _profile("research", region, zones, ()),
    ]
    everyone = tuple(profile.organisation for profile in profiles)
    builder = WorkloadBuilder(
        "software_house", region, _workers(region, zones, 8, 32, 64), profiles
    )
    short = JobClass(
        "tests",
        ((1, 1, worker), (1, 1, worker), (1, 2, worker), (1, 4, worker)),
        180.0,
        1.0,
        260.0,
        everyone,
        (1, 2, 4),
        (2, 4, 8),
    )
    middle = JobClass(
        "builds",
        ((1, 8, worker), (2, 8, rack), (4, 2, zone), (8, 1, zone)),
        600.0,
        0.8,
        17.0,
        everyone,
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
    builder.add_stream(generator, middle, hours, 3600.0, 3.0, load)
    builder.add_stream(generator, large, hours, 3000.0, 3.0, load)
    demand = replace(middle, urgent=0.0, restartable=0.5)
    for at in range(1500, int(hours * HOUR), 2700):
        builder.add_demand(
            generator, demand, ("cellar", "ledger", "bottling")[at // 2700 % 3], at
        )
    builder.add_wave(generator, short, 1.2 * HOUR, 1000)
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
    """Return offered accelerator-seconds over capacity until the last arrival."""
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
