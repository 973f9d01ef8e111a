"""Starts by a leader that cannot read what the operators ask for."""

from __future__ import annotations

import asyncio
from collections import Counter

from returns.result import Success

from lib.fleet_builders import fake_peers_factory, job_id, single_step
from lib.peer_fakes import PeerHub
from lib.virtual_time import run_virtual
from standins.fleet.checker import Checker, RunTruth
from standins.fleet.world import OPERATOR_TABLE, FleetWorld

# No task may start in a zone this long after operators have taken it out of service.
EVACUATION_SECONDS = 5.0
ZONE = "zone-b"
JOB_PERIOD_SECONDS = 0.5


class StartCounter(Checker):
    """Counts the starts on each target."""

    def __init__(self) -> None:
        super().__init__()
        self.starts_on: Counter[str] = Counter()

    def on_start(self, run: RunTruth, payload: str, at: float) -> None:
        self.starts_on[run.target_id] += 1
        super().on_start(run, payload, at)


def starts_in_zone(world: FleetWorld, counter: StartCounter) -> int:
    return sum(
        counter.starts_on[target.target_id]
        for target in world.targets.values()
        if target.zone == ZONE
    )


async def submit_steadily(world: FleetWorld, first: int, seconds: float) -> None:
    """Submit short jobs that need targets of both zones."""
    for number in range(first, first + int(seconds / JOB_PERIOD_SECONDS)):
        spec = single_step(40)
        assert isinstance(await world.submit(job_id(number), spec, 0.2), Success)
        await asyncio.sleep(JOB_PERIOD_SECONDS)


def test_nothing_starts_in_a_zone_whose_evacuation_cannot_be_read() -> None:
    """Guards against a leader that acts for ever on what operators asked for before."""

    async def main() -> None:
        counter = StartCounter()
        world = FleetWorld(1, fake_peers_factory(PeerHub()), checker=counter)
        await world.start()
        for process in world.processes.values():
            process.store.silent_tables.add(OPERATOR_TABLE)
        await asyncio.sleep(2.0)
        world.evacuate(ZONE)
        await submit_steadily(world, 1, EVACUATION_SECONDS)
        before = starts_in_zone(world, counter)
        await submit_steadily(world, 1000, 3.0)
        assert starts_in_zone(world, counter) == before
        for process in world.processes.values():
            process.store.silent_tables.clear()
        await asyncio.sleep(3.0)
        starts = world.checker.starts
        await submit_steadily(world, 2000, 1.0)
        assert world.checker.starts > starts
        assert starts_in_zone(world, counter) == before
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
