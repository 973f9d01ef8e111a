"""Measures the time from a fault of the leader to the next start, in virtual time."""

from __future__ import annotations

import asyncio
import logging
import statistics
from collections.abc import Awaitable, Callable

import click
import structlog
from returns.result import Failure

from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

SEEDS = 60
TARGETS = 24
INSTANCES = 7
LIMIT_SECONDS = 20.0
# Time until processes that were killed begin to start again, and between two starts.
DARK_SECONDS = 1.2
START_GAP_SECONDS = 0.003
OUTAGE_SECONDS = 4.5
# The registrations of many instances make the store slow at first, which extends the
# timeout of the heartbeat.
SETTLE_SECONDS = 4.0
Fault = Callable[[FleetWorld, str], Awaitable[None]]


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


async def refuse(world: FleetWorld, name: str) -> None:
    """Let the store refuse the calls of the leader, and of nobody else."""
    world.processes[name].store.mode = StoreMode.REFUSES


async def kill_all(world: FleetWorld, name: str) -> None:
    """Kill all instances and start them again after a while."""
    names = list(world.processes)
    for each in names:
        await world.kill(each)
    await asyncio.sleep(DARK_SECONDS)
    for each in names:
        await world.start_instance(each)
        await asyncio.sleep(START_GAP_SECONDS)


async def silence_store(world: FleetWorld, name: str) -> None:
    """Let the store answer nobody for a while."""
    world.store.mode = StoreMode.SILENT
    await asyncio.sleep(OUTAGE_SECONDS)
    world.store.mode = StoreMode.WORKS


FAULTS: tuple[Fault, ...] = (kill, stop, freeze, refuse, kill_all, silence_store)


async def submit_until_accepted(world: FleetWorld, number: int) -> None:
    """Submit a job until an instance accepts it, as a caller with retries would."""
    while isinstance(await world.submit(job_id(number), single_step(1), 0.5), Failure):
        await asyncio.sleep(0.1)


async def measure_takeover(
    seed: int, lose: Fault, instances: int = INSTANCES, targets: int = TARGETS
) -> float:
    """Return the seconds from a fault of the leader to the first start after it.

    ``LIMIT_SECONDS`` if nothing starts until then.
    """
    world = build_world(seed, instances, targets)
    await world.start()
    await asyncio.sleep(SETTLE_SECONDS)
    await world.submit(job_id(1), single_step(20, estimate_ms=9000), 9.0)
    await asyncio.sleep(0.3 + 0.01 * seed)
    name = world.leader_name()
    assert name is not None
    lost_at = world.clock.boottime()
    starts = world.checker.starts
    await lose(world, name)
    await submit_until_accepted(world, 2)
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
@click.option("--seeds", default=SEEDS, help="Number of seeds for each fault.")
@click.option("--instances", default=INSTANCES, show_default=True)
@click.option("--targets", default=TARGETS, show_default=True)
def main(seeds: int, instances: int, targets: int) -> None:
    """Print the p50, p99 and maximum time for each fault."""
    critical_only = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=critical_only)
    for lose in FAULTS:
        times = sorted(
            run_virtual(measure_takeover(seed, lose, instances, targets))
            for seed in range(seeds)
        )
        p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
        median, longest = statistics.median(times), times[-1]
        click.echo(
            f"{lose.__name__}: p50 {median:.3f} s, p99 {p99:.3f} s, max {longest:.3f} s"
        )


if __name__ == "__main__":
    main()
