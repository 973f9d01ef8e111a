"""Tests of the connected components over real streams, in real time."""

from __future__ import annotations

import asyncio
import random

from egretloft._internal.coordination.assembly import Coordination, create_coordination
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.members import Member
from egretloft._internal.peers.network import PeerNetwork, create_peer_network
from egretloft._internal.platform.system_clock import create_system_clock
from lib.fakes import Fault, MemoryTable
from standins.table_state import TableState


async def start(name: str, table: MemoryTable) -> tuple[PeerNetwork, Coordination]:
    clock, metrics, generator = create_system_clock(), create_metrics(), random.Random()
    network = create_peer_network(name, "127.0.0.1", 0, clock, metrics, generator)
    await network.start()
    address = f"127.0.0.1:{network.port}"
    parts = create_coordination(
        Member(name, name, "", address, "region-1", "zone-1"),
        table,
        network,
        clock,
        metrics,
        generator,
        lambda profiles: None,
        lambda: ("zone-1",),
        lambda instance_id: True,
    )
    await parts.roster.join()
    return network, parts


async def run(nodes: list[tuple[PeerNetwork, Coordination]], seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        for _, parts in nodes:
            await parts.view.refresh()
            await parts.roster.beat()
            await parts.ownership.tick()
        await asyncio.sleep(0.1)


async def test_membership_agreement_and_fetch_work_over_streams() -> None:
    """Guards against call bodies that only an in-memory network can carry.

    The other tests pass bodies as Python objects; here they are encoded and sent over
    real streams.
    """
    state = TableState()
    tables = [MemoryTable(state), MemoryTable(state)]
    nodes = [await start(f"i{n}", table) for n, table in enumerate(tables)]
    (_, a), (_, b) = nodes
    await run(nodes, 2.0)
    assert a.roster.is_full_member()
    assert b.roster.is_full_member()
    tables[0].fault = Fault.DOWN
    assert (await b.configuration.set_zone("zone-1", False, 0)).unwrap() == 1
    await run(nodes, 0.5)
    assert not a.view.zone_in_service("zone-1")
    tables[1].fault = Fault.DOWN
    await run(nodes, 3.0)
    assert a.view.is_fresh()
    assert b.view.is_fresh()
    assert a.view.agreed_at is not None
    await nodes[1][0].stop()
    await run(nodes[:1], 3.0)
    assert not a.view.is_fresh()
    await nodes[0][0].stop()
