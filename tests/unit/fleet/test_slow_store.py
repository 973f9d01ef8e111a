"""Admission, leadership and leases while the store is slow."""

from __future__ import annotations

import asyncio
import random

from returns.result import Failure, Result, Success

from egretloft._internal.fleet.constants import HEARTBEAT_TIMEOUT_SECONDS
from egretloft._internal.fleet.interfaces import (
    RowTransaction,
    StoreFailure,
    StoreFailureKind,
)
from lib.fleet_builders import build_election, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import EmulatedStore, StoreClient
from standins.fleet.world import FleetWorld, LoopFleetClock

# Factor on the latency of the store; a transaction then takes 0.4 s.
SLOWNESS = 80.0
SLOW_SECONDS = 8.0
JOBS_PER_SECOND = 9


async def submit_at_constant_rate(world: FleetWorld, seconds: float) -> tuple[int, int]:
    """Submit ``JOBS_PER_SECOND`` jobs a second for ``seconds``.

    Return how many were submitted and how many of them were accepted.
    """
    names = list(world.processes)
    tasks = []
    for number in range(int(seconds * JOBS_PER_SECOND)):
        name = names[number % len(names)]
        call = world.submit(job_id(100 + number), single_step(1), 0.5, at=name)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(1 / JOBS_PER_SECOND)
    results = await asyncio.gather(*tasks)
    return len(results), sum(isinstance(result, Success) for result in results)


def test_jobs_are_accepted_while_the_store_is_slow() -> None:
    """Guards against refused jobs when all are written to a single partition.

    The slow store applies only about two writes per second of one partition.
    """

    async def main() -> None:
        world = build_world(instance_count=7)
        await world.start()
        world.store.slowness = SLOWNESS
        submitted, accepted = await submit_at_constant_rate(world, SLOW_SECONDS)
        assert accepted >= 0.9 * submitted
        world.store.slowness = 1.0
        await asyncio.sleep(6.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_a_slow_store_ends_no_term_and_no_run() -> None:
    """Guards against takeovers and expired leases while the leader is alive.

    Heartbeats that take longer than a fixed timeout would cause them.
    """

    async def main() -> None:
        for seed in range(3):
            world = build_world(seed, instance_count=7)
            await world.start()
            leading = world.leader_name()
            epoch = world.processes[leading or ""].instance.election.term
            result = await world.submit(job_id(1), single_step(8), 12.0)
            assert isinstance(result, Success)
            await asyncio.sleep(1.0)
            world.store.slowness = SLOWNESS
            await asyncio.sleep(SLOW_SECONDS)
            assert world.leader_name() == leading
            assert world.processes[leading or ""].instance.election.term == epoch
            world.store.slowness = 1.0
            await asyncio.sleep(5.0)
            await world.stop()
            assert world.checker.violations == []
            assert world.checker.starts == 8

    run_virtual(main())


def test_a_dead_leader_is_replaced_while_the_store_is_slow() -> None:
    """Guards against a heartbeat timeout that a slow store extends without bound.

    The timeout grows with the store's delay, which is about 0.4 s here.
    """

    async def main() -> None:
        world = build_world(instance_count=7)
        await world.start()
        world.store.slowness = SLOWNESS
        await asyncio.sleep(4.0)
        leading = world.leader_name()
        assert leading is not None
        await world.kill(leading)
        killed_at = world.clock.boottime()
        while world.leader_name() is None:
            assert world.clock.boottime() - killed_at < 5.0
            await asyncio.sleep(0.05)
        await world.stop()

    run_virtual(main())


class LossyStore:
    """A store that applies every write but may lose the answer."""

    def __init__(self) -> None:
        self.version = 0
        self.answers = True

    async def commit(
        self, transaction: RowTransaction, timeout_seconds: float
    ) -> Result[int, StoreFailure]:
        self.version += 1
        if self.answers:
            return Success(self.version)
        return Failure(StoreFailure(StoreFailureKind.UNKNOWN, "no answer"))


def test_a_conflict_confirms_only_the_heartbeat_that_caused_it() -> None:
    """Guards against a leader that is confirmed for longer than the others wait.

    They count from the heartbeat that took effect, whose answer was lost; the conflict
    of the next one says nothing of the time since.
    """

    async def main() -> None:
        store = EmulatedStore(random.Random(1))
        election = build_election(StoreClient(store), LoopFleetClock())
        await election.campaign()
        sent_at = asyncio.get_running_loop().time()
        store.lost_answer_share = 1.0
        await election.send_heartbeat(released=False)
        store.lost_answer_share = 0.0
        await election.send_heartbeat(released=False)
        confirmed_until = election.confirmed_at + election.confirmed_for
        assert confirmed_until <= sent_at + HEARTBEAT_TIMEOUT_SECONDS
        await election.tick()
        assert election.is_confirmed()

    run_virtual(main())


def test_a_shorter_heartbeat_binds_the_leader_even_if_its_answer_is_lost() -> None:
    """Guards against orders of a leader that another instance may have replaced.

    The others may see a heartbeat with a shorter timeout although the leader got no
    answer to its write.
    """

    async def main() -> None:
        delays = [0.5]
        store = LossyStore()
        election = build_election(
            store,  # type: ignore[arg-type]
            LoopFleetClock(),
            lambda: delays[0],
        )
        await election.campaign()
        await asyncio.sleep(HEARTBEAT_TIMEOUT_SECONDS + 0.2)
        assert election.is_confirmed()
        delays[0] = 0.0
        store.answers = False
        await election.send_heartbeat(released=False)
        assert not election.is_confirmed()

    run_virtual(main())
