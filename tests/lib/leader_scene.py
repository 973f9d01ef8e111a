"""Three instances, their faults, and which of them may act at each moment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from egretloft._internal.fleet.leader import Leader
from lib.fleet_builders import fake_peers_factory
from lib.peer_fakes import PeerHub
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b", "zone-c")
POLL_SECONDS = 0.02
SETTLE_SECONDS = 3.0
RESTART_SECONDS = 0.3


class Scene:
    """Three instances in three zones, and how many of them hold the right to act."""

    def __init__(self) -> None:
        self.hub = PeerHub()
        self.world = FleetWorld(
            1,
            fake_peers_factory(self.hub),
            instance_count=3,
            target_count=1,
            zones=ZONES,
            spreads_instances=True,
        )
        self.first_leader = ""
        self.both_act: list[str] = []
        # The moments at which an epoch could start runs after a newer one had acted.
        self.went_back: list[str] = []
        self.newest_acting = 0

    def acting(self) -> list[str]:
        """Return the instances that may send orders now."""
        return [
            name
            for name, process in self.world.processes.items()
            if process.instance.leader is not None
            and process.instance.leader.may_issue_orders()
        ]

    def leaders(self, names: list[str]) -> list[Leader]:
        """Return the leaders of these instances."""
        leaders = [self.world.processes[name].instance.leader for name in names]
        return [leader for leader in leaders if leader is not None]

    async def watch(self) -> None:
        """Record when more than one instance may act, or one in an older epoch."""
        started = self.world.clock.boottime()
        while True:
            acting = self.acting()
            at = self.world.clock.boottime() - started
            if len(acting) > 1:
                self.both_act.append(f"{at:.2f} {acting}")
            for leader in self.leaders(acting):
                if leader.epoch < self.newest_acting and may_start(leader):
                    newest = self.newest_acting
                    self.went_back.append(f"{at:.2f} {leader.epoch} after {newest}")
                self.newest_acting = max(self.newest_acting, leader.epoch)
            await asyncio.sleep(POLL_SECONDS)

    def followers(self) -> list[str]:
        return [name for name in self.world.instance_names if name != self.first_leader]

    async def set_stores(self, names: list[str], seconds: float) -> None:
        """Let some instances lose the store."""
        for name in names:
            if name in self.world.processes:
                self.world.processes[name].store.mode = StoreMode.SILENT
        await asyncio.sleep(seconds)
        for name in names:
            if name in self.world.processes:
                self.world.processes[name].store.mode = StoreMode.WORKS

    # Faults.

    async def lose_store(self, seconds: float) -> None:
        """Let the store answer nobody."""
        self.world.store.mode = StoreMode.SILENT
        await asyncio.sleep(seconds)
        self.world.store.mode = StoreMode.WORKS

    async def lose_store_of_leader(self, seconds: float) -> None:
        await self.set_stores([self.first_leader], seconds)

    async def lose_store_of_all_but_one(self, seconds: float) -> None:
        await self.set_stores([self.first_leader, self.followers()[0]], seconds)

    async def lose_store_of_follower(self, seconds: float) -> None:
        await self.set_stores([self.followers()[1]], seconds)

    async def cut_zone(self, name: str, seconds: float) -> None:
        zone = self.world.cuts.zone_of[name]
        self.world.cuts.zones.add(zone)
        await asyncio.sleep(seconds)
        self.world.cuts.zones.discard(zone)

    async def cut_leader(self, seconds: float) -> None:
        await self.cut_zone(self.first_leader, seconds)

    async def cut_follower(self, seconds: float) -> None:
        await self.cut_zone(self.followers()[1], seconds)

    async def cut_link(self, seconds: float) -> None:
        """Cut the link between the leader and a follower, which both have the store."""
        link = frozenset({self.first_leader, self.followers()[1]})
        self.hub.cut.add(link)
        await asyncio.sleep(seconds)
        self.hub.cut.discard(link)

    async def restart(self, name: str) -> None:
        if name in self.world.processes:
            store_mode = self.world.processes[name].store.mode
            await self.world.kill(name)
            await asyncio.sleep(RESTART_SECONDS)
            process = await self.world.start_instance(name)
            process.store.mode = store_mode

    async def restart_leader(self, seconds: float) -> None:
        await self.restart(self.first_leader)

    async def restart_follower(self, seconds: float) -> None:
        await self.restart(self.followers()[1])

    async def freeze(self, name: str, seconds: float) -> None:
        if name in self.world.processes:
            gate = self.world.processes[name].gate
            gate.open.clear()
            await asyncio.sleep(seconds)
            gate.open.set()

    async def freeze_leader(self, seconds: float) -> None:
        await self.freeze(self.first_leader, seconds)

    async def freeze_follower(self, seconds: float) -> None:
        await self.freeze(self.followers()[1], seconds)

    async def lose_answers(self, seconds: float) -> None:
        """Let half of the writes be done and not answered."""
        self.world.store.lost_answer_share = 0.5
        await asyncio.sleep(seconds)
        self.world.store.lost_answer_share = 0.0


def may_start(leader: Leader) -> bool:
    """Return whether a leader may start runs, as opposed to asking its targets only.

    One that has been replaced, and that nobody tells of it, asks them before it does.
    """
    return leader.may_start_runs() and not leader.recovering


Fault = Callable[[Scene, float], Awaitable[None]]
FAULTS: tuple[Fault, ...] = (
    Scene.lose_store,
    Scene.lose_store_of_leader,
    Scene.lose_store_of_all_but_one,
    Scene.lose_store_of_follower,
    Scene.cut_leader,
    Scene.cut_follower,
    Scene.cut_link,
    Scene.restart_leader,
    Scene.restart_follower,
    Scene.freeze_leader,
    Scene.freeze_follower,
    Scene.lose_answers,
)
