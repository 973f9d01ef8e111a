"""Instances that share a table state and a manual clock."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from returns.result import Failure

from egretloft._internal.coordination.assembly import Coordination, create_coordination
from egretloft._internal.coordination.configuration import Feasible
from egretloft._internal.coordination.writer import CommitResult
from egretloft._internal.metrics import Metrics, create_metrics
from egretloft._internal.models.members import Member
from egretloft._internal.platform.protocols import StoreFailure, StoreFailureKind
from lib.fakes import Fault, ManualClock, MemoryTable
from lib.peer_fakes import PeerHub, create_fake_peers
from standins.table_state import TableState


@dataclass(slots=True)
class Node:
    """One instance with its table client and metrics."""

    member: Member
    table: MemoryTable
    metrics: Metrics
    parts: Coordination


@dataclass(slots=True)
class Site:
    """The instances of a test and what they share."""

    clock: ManualClock = field(default_factory=ManualClock)
    state: TableState = field(default_factory=TableState)
    hub: PeerHub = field(default_factory=PeerHub)
    listed: set[str] = field(default_factory=set)
    nodes: list[Node] = field(default_factory=list)
    incarnations: int = 0

    def add(
        self,
        instance_id: str,
        feasible: Feasible = lambda profiles: None,
        zones: Callable[[], tuple[str, ...]] = lambda: ("zone-1", "zone-2"),
    ) -> Node:
        self.incarnations += 1
        incarnation = f"x{self.incarnations}"
        address = f"{instance_id}/{incarnation}"
        member = Member(instance_id, incarnation, "", address, "region-1", "zone-1")
        table, metrics = MemoryTable(self.state), create_metrics()
        parts = create_coordination(
            member,
            table,
            create_fake_peers(self.hub, member),
            self.clock,
            metrics,
            random.Random(self.incarnations),
            feasible,
            zones,
            lambda other: other in self.listed,
        )
        node = Node(member, table, metrics, parts)
        self.nodes.append(node)
        return node

    async def start_nodes(self, *instance_ids: str) -> list[Node]:
        """Add instances and run until all are full members."""
        nodes = [self.add(instance_id) for instance_id in instance_ids]
        for node in nodes:
            await node.parts.roster.join()
        await self.run(2.0)
        assert all(node.parts.roster.is_full_member() for node in nodes)
        return nodes

    async def run(self, seconds: float, *nodes: Node, step: float = 0.25) -> None:
        """Advance the clock and run the timers of ``nodes`` (default: all)."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end - 1e-9:
            self.clock.advance(step)
            for node in nodes or self.nodes:
                await node.parts.view.refresh()
                await node.parts.roster.beat()
                await node.parts.ownership.tick()

    def outage(self, fault: Fault = Fault.DOWN) -> None:
        for node in self.nodes:
            node.table.fault = fault


def lose_first_outcome(
    commit: Callable[..., Awaitable[CommitResult]],
) -> Callable[..., Awaitable[CommitResult]]:
    """Return ``commit`` whose first success is reported as an unknown outcome."""
    lost = False

    async def wrapped(*arguments: object) -> CommitResult:
        nonlocal lost
        result = await commit(*arguments)
        if lost or isinstance(result, Failure):
            return result
        lost = True
        return Failure(StoreFailure(StoreFailureKind.UNKNOWN, "no answer"))

    return wrapped
