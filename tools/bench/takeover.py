"""Measures the time from the loss of the leader to the next start, in virtual time."""

from __future__ import annotations

import asyncio
import logging
import statistics
from collections.abc import Awaitable, Callable

import click
import structlog

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld

SEEDS = 60
TARGETS = 24
INSTANCES = 7
LIMIT_SECONDS = 20.0


async def kill(world: FleetWorld, name: str) -> None:
    """Kill the leader."""
    await world.kill(name)


async def stop(world: FleetWorld, name: str) -> None:
    """Stop the leader gracefully."""
    await world.stop_gracefully(name)


async def freeze(world: FleetWorld, name: str) -> None:
    """Suspend the leader permanently, and submit later jobs at another instance."""
    world.processes[name].gate.open.clear()
    others = {n: p for n, p in world.processes.items() if n != name}
    world.processes = {**others, name: world.processes[name]}


async def measure_takeover(
    seed: int, lose: Callable[[FleetWorld, str], Awaitable[None]]
) -> float:
    """Return the seconds from the loss of the leader to the first start after it.

    ``LIMIT_SECONDS`` if nothing starts until then.
    """
    world = build_world(seed, INSTANCES, TARGETS)
    await world.start()
    await world.submit(job_id(1), single_step(20, estimate_ms=9000), 9.0)
    await asyncio.sleep(0.3 + 0.01 * seed)
    name = world.leader_name()
    assert name is not None
    lost_at = world.clock.boottime()
    await lose(world, name)
    await world.submit(job_id(2), single_step(1), 0.5)
    starts = world.checker.starts
    while (
        world.checker.starts == starts
        and world.clock.boottime() - lost_at < LIMIT_SECONDS
    ):
        await asyncio.sleep(0.005)
    seconds = world.clock.boottime() - lost_at
    await world.stop()
    assert world.checker.violations == []
    return seconds


@click.command()
@click.option("--seeds", default=SEEDS, help="Number of seeds for each kind of loss.")
def main(seeds: int) -> None:
    """Print the p50, p99 and maximum time for each kind of loss."""
    critical_only = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=critical_only)
    for lose in (kill, stop, freeze):
        times = sorted(
            run_virtual(measure_takeover(seed, lose)) for seed in range(seeds)
        )
        p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
        median, longest = statistics.median(times), times[-1]
        click.echo(
            f"{lose.__name__}: p50 {median:.3f} s, p99 {p99:.3f} s, max {longest:.3f} s"
        )


if __name__ == "__main__":
    main()
