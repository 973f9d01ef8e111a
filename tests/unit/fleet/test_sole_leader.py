"""At no time may two instances both send orders or renew leases.

Pairs of faults are played in every order, with every overlap: the store is lost for
some or for all, a zone or a link is cut, an instance restarts or stands still.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator

import pytest

from lib.fleet_builders import fake_peers_factory
from lib.peer_fakes import PeerHub
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b", "zone-c")
POLL_SECONDS = 0.02
# The second fault begins while the store's loss goes unnoticed, while peers notice it,
# while the leader goes on without it, or after the first fault.
OFFSETS = (0.3, 1.2, 2.2, 4.5)
SHORT_SECONDS = 1.6
LONG_SECONDS = 4.0
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

    def acting(self) -> list[str]:
        """Return the instances that may send orders now."""
        return [
            name
            for name, process in self.world.processes.items()
            if process.instance.leader is not None
            and process.instance.leader.may_issue_orders()
        ]

    async def watch(self) -> None:
        """Record the moments at which more than one instance may act."""
        started = self.world.clock.boottime()
        while True:
            acting = self.acting()
            if len(acting) > 1:
                at = self.world.clock.boottime() - started
                self.both_act.append(f"{at:.2f} {acting}")
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


async def play(first: Fault, second: Fault, offset: float, seconds: float) -> list[str]:
    """Play two faults; return the moments at which two instances could act."""
    scene = Scene()
    await scene.world.start()
    scene.first_leader = scene.world.leader_name() or ""
    watch = asyncio.create_task(scene.watch())

    async def play_second() -> None:
        await asyncio.sleep(offset)
        await second(scene, seconds)

    await asyncio.gather(first(scene, LONG_SECONDS), play_second())
    await asyncio.sleep(SETTLE_SECONDS)
    assert len(scene.acting()) == 1, "nobody leads"
    watch.cancel()
    await scene.world.stop()
    return scene.both_act


def pairs() -> Iterator[tuple[Fault, float]]:
    yield from itertools.product(FAULTS, OFFSETS)


@pytest.mark.parametrize("first", FAULTS, ids=lambda fault: fault.__name__)
def test_two_faults_never_let_two_instances_act(first: Fault) -> None:
    """Guards against a former leader that takes silence for the lack of a new one."""
    broken: list[str] = []
    for second, offset in pairs():
        for seconds in (SHORT_SECONDS, LONG_SECONDS):
            both_act = run_virtual(play(first, second, offset, seconds))
            if both_act:
                what = f"{second.__name__} {offset} for {seconds}"
                broken.append(f"{what}: {both_act[0]} to {both_act[-1]}")
    assert broken == []
