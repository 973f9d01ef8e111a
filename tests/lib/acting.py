"""Watches which instances of an emulated fleet act as its leader."""

from __future__ import annotations

import asyncio

from egretloft._internal.fleet.leader import Leader
from lib.fleet_faults import stop_watch
from standins.fleet.world import FleetWorld

POLL_SECONDS = 0.02


def acting_instances(world: FleetWorld) -> list[str]:
    """Return the instances whose orders and renewals have an effect now."""
    acting = []
    for name, process in world.processes.items():
        leader = process.instance.leader
        if leader is None or leader.awaits_fences:
            continue
        if not process.gate.open.is_set() or not leader.may_issue_orders():
            continue
        if has_effect(world, name, leader):
            acting.append(name)
    return acting


def has_effect(world: FleetWorld, name: str, leader: Leader) -> bool:
    """Return whether a target that the instance reaches would obey it."""
    for target_id, row in leader.tables.targets.items():
        target = world.targets[target_id]
        is_reached = not (target.cut or world.cuts.separates(name, target_id))
        if is_reached and row.fencing_token(leader.epoch) >= target.fence:
            return True
    return False


class ActingWatch:
    """Records when more than one instance acts."""

    def __init__(self, world: FleetWorld) -> None:
        self.world = world
        self.both_act: list[str] = []
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Look at all instances periodically until cancelled."""
        while True:
            acting = acting_instances(self.world)
            if len(acting) > 1:
                self.both_act.append(f"{self.world.clock.boottime():.2f} {acting}")
            await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """End the watch; raise its error, if it failed."""
        await stop_watch(self.task)
