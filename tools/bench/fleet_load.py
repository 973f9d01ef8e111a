"""Compares scheduling policies on an emulated fleet in a minute of high load.

Submits jobs to three queues modelled on the users' workload sheets: urgent gangs with
little slack, large normal gangs, and single tasks that can wait ("patient"). The
estimates of run times are inaccurate, those of the gangs by up to 90%.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import statistics
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from types import ModuleType

import click
import structlog

from egretloft._internal.fleet import placing, reclaiming, run_times
from egretloft._internal.fleet.lost_work import weighted_cores
from egretloft._internal.fleet.models import EndKind, JobSpec, Resources, StepSpec
from lib.fleet_builders import fake_peers_factory, job_id
from lib.peer_fakes import PeerHub
from lib.virtual_time import run_virtual
from standins.fleet.checker import Checker, RunTruth
from standins.fleet.world import FleetWorld

TARGETS = 48
TARGETS_PER_RACK = 12
ARRIVAL_SECONDS = 40.0
# Time after the last arrival for jobs to end.
FINISH_SECONDS = 25.0
# An answer that misses its latency objective counts with ``late_worth`` up to this
# multiple of the objective, and with nothing after that.
MAX_LATE_FACTOR = 3.0
GPU_CHOICES = (1, 2, 4, 8, 8)


@dataclass(slots=True, frozen=True)
class QueueLoad:
    """Parameters of the jobs of one queue; ``per_second`` is the rate for each target.

    ``work_spread`` is the sigma of the log-normal run time, ``estimate_error`` the
    largest relative error of its estimate. ``worth`` is the worth of an answer within
    the latency objective, ``late_worth`` that of a late one.
    """

    queue: str
    per_second: float
    mean_tasks: float
    cpu: int
    memory_mb: int
    gpu_choices: tuple[int, ...]
    work_seconds: float
    work_spread: float
    estimate_error: float
    gang: bool
    same_rack_share: float
    checkpoint_share: float
    slack_factor: float
    latency_seconds: float
    worth: float
    late_worth: float


LOADS = (
    QueueLoad(
        *("urgent", 0.026, 5.0, 7_500, 31_000, GPU_CHOICES, 2.5, 0.5, 0.9),
        *(True, 0.8, 0.0, 1.5, 0.25, 4.0, 0.8),
    ),
    QueueLoad(
        *("normal", 0.006, 8.0, 26_000, 140_000, GPU_CHOICES, 11.0, 0.3, 0.9),
        *(True, 0.6, 0.45, 3.0, 1.0, 3.0, 0.3),
    ),
    QueueLoad(
        *("patient", 0.009, 24.0, 5_600, 16_000, (1,), 6.1, 0.3, 0.2),
        *(False, 0.0, 0.45, 3.0, 3.0, 1.0, 0.1),
    ),
)


@dataclass(slots=True)
class SubmittedJob:
    """A submitted job, and when it was complete."""

    load: QueueLoad
    spec: JobSpec
    work_seconds: float
    sent_at: float
    done_at: float = math.inf

    def worth(self) -> float:
        """Return the worth of the answer to its caller, given when it came."""
        load = self.load
        objective = load.slack_factor * self.work_seconds + load.latency_seconds
        took = self.done_at - self.sent_at
        if took <= objective:
            return load.worth
        return load.late_worth if took <= MAX_LATE_FACTOR * objective else 0.0


@dataclass(slots=True)
class Outcome:
    """Measures of one simulated minute; ``max_worth`` is with all answers in time."""

    worth: dict[str, float] = field(default_factory=dict)
    max_worth: dict[str, float] = field(default_factory=dict)
    lost_core_seconds: float = 0.0
    violations: int = 0


class LoadChecker(Checker):
    """Also records when jobs are complete, and the core-seconds of lost work."""

    def __init__(self) -> None:
        super().__init__()
        self.submitted: dict[str, SubmittedJob] = {}
        self.lost_core_seconds = 0.0

    def on_end(self, run: RunTruth, kind: EndKind) -> None:
        """Record the end of a run."""
        super().on_end(run, kind)
        job = self.submitted[run.key.task.step.job_id]
        now = asyncio.get_running_loop().time()
        if kind is EndKind.DONE:
            if self.is_step_done(run.key.task.step, self.jobs[job_id_of(run)]):
                job.done_at = min(job.done_at, now)
        elif run.working_since is not None:
            worked = now - run.working_since
            if job.spec.steps[0].checkpoints:
                worked = min(worked, 1.0)
            self.lost_core_seconds += worked * weighted_cores(run.room)


def job_id_of(run: RunTruth) -> str:
    """Return the id of a run's job."""
    return run.key.task.step.job_id


def arrivals(
    generator: random.Random, load_factor: float
) -> Iterator[tuple[float, QueueLoad]]:
    """Yield arrival times and queues, in order of time."""
    drawn: list[tuple[float, int]] = []
    for number, load in enumerate(LOADS):
        at = 0.0
        while (
            at := at + generator.expovariate(load_factor * load.per_second * TARGETS)
        ) < ARRIVAL_SECONDS:
            drawn.append((at, number))
    for at, number in sorted(drawn):
        yield at, LOADS[number]


def draw_job(generator: random.Random, load: QueueLoad, at: float) -> SubmittedJob:
    """Return a random job of a queue, sent at ``at``."""
    sigma = 0.7
    factor = generator.lognormvariate(-sigma * sigma / 2, sigma)
    tasks = max(1, min(int(load.mean_tasks * factor), int(load.mean_tasks * 4)))
    spread = generator.lognormvariate(-(load.work_spread**2) / 2, load.work_spread)
    work = load.work_seconds * spread
    error = load.estimate_error
    step = StepSpec(
        tasks=tasks,
        room=Resources(load.cpu, load.memory_mb, generator.choice(load.gpu_choices)),
        estimate_ms=int(1000 * work * generator.uniform(1 - error, 1 + error)),
        gang=load.gang,
        same_rack=generator.random() < load.same_rack_share,
        checkpoints=generator.random() < load.checkpoint_share,
    )
    return SubmittedJob(load, JobSpec("payload", (step,)), work, at)


async def simulate(seed: int, load_factor: float) -> Outcome:
    """Simulate one minute of load with a seed; ``load_factor`` scales all rates."""
    generator = random.Random(seed)
    checker = LoadChecker()
    world = FleetWorld(
        seed,
        fake_peers_factory(PeerHub()),
        1,
        TARGETS,
        checker=checker,
        targets_per_rack=TARGETS_PER_RACK,
    )
    await world.start()
    started = world.clock.boottime()
    tasks = []
    for number, (at, load) in enumerate(arrivals(generator, load_factor)):
        await asyncio.sleep(max(0.0, started + at - world.clock.boottime()))
        job = draw_job(generator, load, world.clock.boottime())
        checker.submitted[job_id(number)] = job
        call = world.submit(job_id(number), job.spec, job.work_seconds, load.queue)
        tasks.append(asyncio.create_task(call))
    await asyncio.gather(*tasks)
    await asyncio.sleep(FINISH_SECONDS)
    await world.stop()
    outcome = Outcome(lost_core_seconds=checker.lost_core_seconds)
    outcome.violations = len(checker.violations)
    for job in checker.submitted.values():
        queue = job.load.queue
        outcome.worth[queue] = outcome.worth.get(queue, 0.0) + job.worth()
        outcome.max_worth[queue] = outcome.max_worth.get(queue, 0.0) + job.load.worth
    return outcome


Override = tuple[ModuleType, str, float]
POLICIES: dict[str, tuple[Override, ...]] = {
    "as it is": (),
    "no patience": ((reclaiming, "MAX_RECLAIM_DELAY_SECONDS", 0.0),),
    "estimates alone": ((run_times, "ESTIMATE_WEIGHT", 1.0),),
    "means alone": ((run_times, "ESTIMATE_WEIGHT", 0.0),),
    "spread at two run times": ((placing, "SPREAD_AFTER_RUN_TIMES", 2.0),),
    "spread at one run time": ((placing, "SPREAD_AFTER_RUN_TIMES", 1.0),),
    "dearer reclaims": ((reclaiming, "MAX_LOSS_RATIO", 1.0),),
    "cheaper reclaims": ((reclaiming, "MAX_LOSS_RATIO", 0.0),),
}


def simulate_policy(policy: str, seed: int, load_factor: float) -> Outcome:
    """Simulate one minute under a policy.

    Policies override module constants, which are restored at the end because the
    processes of the pool are reused.
    """
    critical_only = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=critical_only)
    saved = [
        (module, name, getattr(module, name)) for module, name, _ in overrides(policy)
    ]
    for module, name, value in overrides(policy):
        setattr(module, name, value)
    try:
        return run_virtual(simulate(seed, load_factor))
    finally:
        for module, name, value in saved:
            setattr(module, name, value)


def overrides(policy: str) -> tuple[Override, ...]:
    """Return the module constants that a policy overrides."""
    return POLICIES[policy]


@click.command()
@click.option("--first-seed", default=1, show_default=True)
@click.option("--seeds", default=10, show_default=True)
@click.option("--load", default=1.6, show_default=True, help="Factor on all rates.")
@click.option("--jobs", default=2, show_default=True, help="Processes.")
@click.option("--policy", "policies", multiple=True, type=click.Choice(list(POLICIES)))
def main(
    first_seed: int, seeds: int, load: float, jobs: int, policies: tuple[str, ...]
) -> None:
    """Print the worth of each queue, and the lost work, for each policy."""
    with ProcessPoolExecutor(jobs) as pool:
        for policy in policies or POLICIES:
            numbers = range(first_seed, first_seed + seeds)
            outcomes = list(
                pool.map(simulate_policy, [policy] * seeds, numbers, [load] * seeds)
            )
            click.echo(format_line(policy, outcomes))


def format_line(policy: str, outcomes: list[Outcome]) -> str:
    """Format the means over all seeds and the standard deviation of the worth."""
    parts = []
    for load in LOADS:
        worth = sum(o.worth.get(load.queue, 0.0) for o in outcomes)
        max_worth = sum(o.max_worth.get(load.queue, 0.0) for o in outcomes)
        parts.append(f"{load.queue} {worth / max(max_worth, 1e-9):.3f}")
    totals = [
        sum(o.worth.values()) / max(sum(o.max_worth.values()), 1e-9) for o in outcomes
    ]
    spread = statistics.stdev(totals) if len(totals) > 1 else 0.0
    lost = statistics.mean(o.lost_core_seconds for o in outcomes)
    violation_count = sum(o.violations for o in outcomes)
    return (
        f"{policy:18} worth {statistics.mean(totals):.3f} (sd {spread:.3f}); "
        f"{', '.join(parts)}; lost {lost:.0f} core-s; violations {violation_count}"
    )


if __name__ == "__main__":
    main()
