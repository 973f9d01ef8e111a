"""Releases of a term that the store carried out and whose answers were lost."""

from __future__ import annotations

import asyncio
import random

from returns.result import Success

from egretloft._internal import codec
from egretloft._internal.fleet.constants import TABLE_CONTROL
from egretloft._internal.fleet.election import HEARTBEAT_KEY
from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.records import HeartbeatRecord
from lib.fleet_builders import build_election, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import EmulatedStore, StoreClient
from standins.fleet.world import LoopFleetClock

POLL_SECONDS = 0.02
RELEASE_SECONDS = 4.0


def is_released(store: EmulatedStore) -> bool:
    """Return whether the store holds a heartbeat that ends its term."""
    row = store.get(HEARTBEAT_KEY)
    return codec.decode(row.value or b"", HeartbeatRecord).unwrap().released


def test_term_is_not_confirmed_while_its_release_has_no_answer() -> None:
    """Guards against a leader that acts beside the successor that it has let in."""

    async def main() -> list[bool]:
        store = EmulatedStore(random.Random(1))
        election = build_election(StoreClient(store), LoopFleetClock())
        await election.campaign()
        assert election.is_confirmed()
        store.lost_answer_share = 1.0
        releasing = asyncio.create_task(election.release())
        seen: list[bool] = []
        for _ in range(int(RELEASE_SECONDS / POLL_SECONDS)):
            await asyncio.sleep(POLL_SECONDS)
            seen.append(election.is_confirmed())
        await releasing
        assert election.term is None
        return seen

    assert not any(run_virtual(main()))


def test_leader_whose_release_has_no_answer_does_not_act_beside_its_successor() -> None:
    async def main() -> list[list[str]]:
        world = build_world()
        await world.start()
        accepted = await world.submit(job_id(1), single_step(4), 9.0)
        assert isinstance(accepted, Success)
        await asyncio.sleep(1.0)
        name = world.leader_name()
        assert name is not None
        processes = dict(world.processes)
        # Nor does it read of its successor.
        processes[name].store.silent_tables.add(TABLE_CONTROL)
        world.store.lost_answer_share = 1.0
        stopping = asyncio.create_task(world.stop_gracefully(name))
        while not is_released(world.store):
            await asyncio.sleep(POLL_SECONDS / 4)
        world.store.lost_answer_share = 0.0
        both: list[list[str]] = []
        for _ in range(int(RELEASE_SECONDS / POLL_SECONDS)):
            acting = [
                other
                for other, process in processes.items()
                if process.instance.leader is not None
                and process.instance.leader.may_issue_orders()
            ]
            if len(acting) > 1:
                both.append(acting)
            await asyncio.sleep(POLL_SECONDS)
        await stopping
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 40.0)
        await world.stop()
        assert world.checker.violations == []
        return both

    assert run_virtual(main()) == []
