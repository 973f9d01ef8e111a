"""Measures the wall-clock time of one fleet scheduling tick with all targets full."""

from __future__ import annotations

import time

import click

from egretloft._internal.fleet.decisions import TickContext
from egretloft._internal.fleet.models import OperatorState
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.tables import FleetTables
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
)

TARGETS_PER_RACK = 12
TASKS_PER_TARGET = 8
# Pairs of the number of targets and the number of waiting steps.
FLEET_SIZES = ((24, 20), (176, 60), (1500, 100))
MONOTONIC_SECONDS = 100.0
UNIX_SECONDS = 1_000.0
FIRST_FILLER_JOB = 1_000_000


def build_full_fleet(target_count: int, waiting: int) -> FleetTables:
    """Return tables with full targets and waiting steps, half of which are gangs."""
    targets = [
        build_target(number, f"r-{number // TARGETS_PER_RACK}")
        for number in range(target_count)
    ]
    tables = build_tables(*targets)
    for number, target in enumerate(targets):
        filler = single_step(TASKS_PER_TARGET)
        job = add_job(tables, FIRST_FILLER_JOB + number, filler, priority=2)
        for index in range(TASKS_PER_TARGET):
            run_task(tables, target, first_task(job, index=index), SMALL, 2)
    for number in range(waiting):
        gang = single_step(5, WHOLE, gang=True, same_rack=True)
        add_job(tables, number, gang if number % 2 else single_step(40), number % 3)
    return tables


@click.command()
def main() -> None:
    """Print the time of one tick for each fleet size."""
    for target_count, waiting in FLEET_SIZES:
        scheduler = Scheduler(build_full_fleet(target_count, waiting))
        started = time.perf_counter()
        scheduler.decide(OperatorState(), TickContext(MONOTONIC_SECONDS, UNIX_SECONDS))
        milliseconds = (time.perf_counter() - started) * 1000
        click.echo(f"{target_count} targets, {waiting} waiting: {milliseconds:.1f} ms")


if __name__ == "__main__":
    main()
