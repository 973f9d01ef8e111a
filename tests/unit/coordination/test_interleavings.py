"""Random interleavings of freezes, store faults, cut links and restarts.

Each seed runs several instances for a minute of virtual time. ``Cluster.check``
checks the invariants. A failure prints its seed, which reproduces the run.
"""

from __future__ import annotations

import asyncio
import os

import pytest

from lib.cluster import PARTITIONS, Cluster, Process, StoreFault
from lib.virtual_time import run_virtual

SEEDS = int(os.environ.get("EGRETLOFT_TEST_SEEDS", "70"))
FIRST_SEED = int(os.environ.get("EGRETLOFT_TEST_FIRST_SEED", "0"))
SECONDS = 60.0
BATCHES = 10
DISTURBANCES = (
    *("freeze", "freeze", "store", "store", "outage", "outage"),
    *("cut", "isolate", "restart", "replace", "leave"),
)


async def freeze(process: Process, seconds: float) -> None:
    process.thawed.clear()
    await asyncio.sleep(seconds)
    process.thawed.set()


async def break_store(
    processes: list[Process], fault: StoreFault, seconds: float, spread: float
) -> None:
    generator = processes[0].cluster.generator
    for process in processes:
        process.table.set_fault(fault)
        await asyncio.sleep(generator.uniform(0, spread))
    await asyncio.sleep(seconds)
    for process in processes:
        process.table.set_fault(StoreFault.NONE)
        await asyncio.sleep(generator.uniform(0, spread))


async def cut(cluster: Cluster, one: Process, other: Process, seconds: float) -> None:
    link = frozenset({one.member.peer_address, other.member.peer_address})
    cluster.hub.cut.add(link)
    await asyncio.sleep(seconds)
    cluster.hub.cut.discard(link)


async def restart(cluster: Cluster, process: Process, seconds: float) -> None:
    process.kill()
    await asyncio.sleep(seconds)
    cluster.start(process.member.instance_id)


async def replace_frozen(cluster: Cluster, process: Process, seconds: float) -> None:
    """Start a process under the id of a frozen one, which resumes later."""
    process.thawed.clear()
    await asyncio.sleep(1.0)
    if process.alive:
        cluster.start(process.member.instance_id)
    await asyncio.sleep(seconds)
    process.thawed.set()
    await asyncio.sleep(20.0)
    process.kill()


async def leave(cluster: Cluster, process: Process) -> None:
    await process.parts.ownership.release_all()
    await process.parts.roster.leave()
    process.kill()
    cluster.start(process.member.instance_id)


def disturb(cluster: Cluster) -> str:
    """Start one random fault and return its name."""
    generator = cluster.generator
    living = cluster.living()
    process, other = generator.sample(living, 2)
    seconds = generator.choice((0.3, 1.0, 2.5, 4.0, 12.0)) * generator.uniform(0.5, 1.5)
    faults = [fault for fault in StoreFault if fault is not StoreFault.NONE]
    fault = generator.choice(faults)
    kind = generator.choice(DISTURBANCES)
    if kind == "freeze":
        cluster.spawn(freeze(process, seconds))
    elif kind == "store":
        cluster.spawn(break_store([process], fault, seconds, 0))
    elif kind == "outage":
        cluster.spawn(break_store(living, fault, seconds, generator.choice((0, 0.3))))
    elif kind == "cut":
        cluster.spawn(cut(cluster, process, other, seconds))
    elif kind == "isolate":
        for peer in living:
            if peer is not process:
                cluster.spawn(cut(cluster, process, peer, seconds))
    elif kind == "restart":
        cluster.spawn(restart(cluster, process, seconds))
    elif kind == "replace" and len(living) == len(cluster.zones):
        cluster.spawn(replace_frozen(cluster, process, seconds))
    elif kind == "leave" and process.thawed.is_set():
        cluster.spawn(leave(cluster, process))
    return kind


async def run_seed(seed: int, size: int = 4) -> Cluster:
    cluster = Cluster(seed, size)
    await cluster.probe(8.0)
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    while loop.time() < end:
        if len(cluster.living()) >= 2:
            kind = disturb(cluster)
            cluster.metrics.count("disturbances", kind=kind)
        for process in cluster.living():
            if cluster.generator.random() < 0.3 and process.thawed.is_set():
                cluster.spawn(process.change_zone())
        await cluster.probe(cluster.generator.choice((0.1, 0.5, 2.0, 5.0)))
    await cluster.recover()
    return cluster


@pytest.mark.parametrize("batch", range(BATCHES))
def test_invariants_hold_in_random_interleavings(batch: int) -> None:
    """Guards against two owners of a partition, and views that are fresh but outdated.

    Instances are frozen, restarted or replaced, links are cut and the store fails, all
    at random times.
    """

    async def run(seed: int) -> None:
        cluster = await run_seed(seed)
        try:
            owners = {
                partition: [
                    process.name
                    for process in cluster.living()
                    if process.parts.ownership.holds(partition)
                ]
                for partition in PARTITIONS
            }
            assert all(owners.values()), f"seed {seed}: not recovered, {owners}"
        finally:
            await cluster.close()

    for seed in range(FIRST_SEED + batch, FIRST_SEED + SEEDS, BATCHES):
        print(f"seed {seed}")
        run_virtual(run(seed))
