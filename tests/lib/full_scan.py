"""Reference versions of what ticks derive from the tables, by looking at every row."""

from __future__ import annotations

from egretloft._internal.fleet.decisions import TickContext
from egretloft._internal.fleet.lifecycle import open_steps, unneeded_runs
from egretloft._internal.fleet.models import Resources, RunKey
from egretloft._internal.fleet.queueing import WaitingStep
from egretloft._internal.fleet.scheduler import is_startable
from egretloft._internal.fleet.tables import FleetTables, RunPhase, TargetRow


def all_waiting(tables: FleetTables, context: TickContext) -> set[int]:
    """Return the ``id`` of each step with tasks to start."""
    found: list[WaitingStep] = []
    for job in tables.open_jobs.values():
        if context.recovering and job.known_before_term:
            continue
        for step in open_steps(job, context.wall * 1000.0, context.now):
            if is_startable(step):
                found.append(WaitingStep(job, step, job.accepted.service))
    return {id(waiting.step) for waiting in found}


def all_unneeded(tables: FleetTables, now: float, recovering: bool) -> set[RunKey]:
    """Return the keys of all runs that are no longer needed."""
    unneeded = [
        run
        for target in tables.targets.values()
        for run in target.runs.values()
        if run.job is None and run.phase is not RunPhase.STOPPING
    ]
    for job in tables.jobs.values():
        unneeded += unneeded_runs(job, now, recovering)
    return {run.key for run in unneeded}


def used(target: TargetRow) -> Resources:
    """Return the sum of the resources of a target's runs."""
    total = Resources()
    for run in target.runs.values():
        total = total.plus(run.room)
    return total
