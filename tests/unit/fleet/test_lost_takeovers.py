"""Takeovers that the store carried out and whose answers were lost."""

from __future__ import annotations

import asyncio
import random

from egretloft._internal.fleet.constants import HEARTBEAT_TIMEOUT_SECONDS
from egretloft._internal.fleet.election import Election
from lib.fleet_builders import build_election
from lib.virtual_time import run_virtual
from standins.fleet.store import EmulatedStore, StoreClient
from standins.fleet.world import LoopFleetClock


async def lose_answer_to_takeover(store: EmulatedStore, election: Election) -> float:
    """Let a takeover succeed without an answer; return when it was sent."""
    sent_at = asyncio.get_running_loop().time()
    store.lost_answer_share = 1.0
    await election.campaign()
    store.lost_answer_share = 0.0
    return sent_at


def test_takeover_without_an_answer_is_not_confirmed_when_it_is_learnt_of() -> None:
    """Guards against a leader that acts while others may already have replaced it.

    They count from the write, and the new leader learns of it seconds later.
    """

    async def main() -> None:
        store = EmulatedStore(random.Random(1))
        election = build_election(StoreClient(store), LoopFleetClock())
        sent_at = await lose_answer_to_takeover(store, election)
        await asyncio.sleep(0.5)
        await election.campaign()
        assert election.term is not None
        confirmed_until = election.confirmed_at + election.confirmed_for
        assert confirmed_until <= sent_at + HEARTBEAT_TIMEOUT_SECONDS
        assert not election.is_confirmed()

    run_virtual(main())


def test_takeover_without_an_answer_is_confirmed_by_the_next_heartbeat() -> None:
    async def main() -> None:
        store = EmulatedStore(random.Random(1))
        election = build_election(StoreClient(store), LoopFleetClock())
        await lose_answer_to_takeover(store, election)
        await election.campaign()
        await election.tick()
        assert election.is_confirmed()

    run_virtual(main())
