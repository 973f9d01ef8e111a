"""A storm of faults of single links, of one-way links, and of who is a member.

Beside zone cuts, instances are cut off from their peers only, answers are lost on links
whose calls arrive, the store works or fails for one instance alone, instances join and
leave during all that, and rows arrive that cannot be decoded. Some tasks outlast a
lease, and some faults do.
"""

from __future__ import annotations

import asyncio

from lib.fleet_builders import fake_peers_factory
from lib.fleet_faults import TRAFFIC_SECONDS, Fault, StormReport
from lib.garbled_targets import GarbledTargets, Garbler
from lib.peer_fakes import PeerHub
from lib.zone_storm import LISTED_ENDS, ZONES, ZoneStorm
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld, Process

# A fault may outlast the longest lease, and an order without an answer.
FAULT_SECONDS = (0.4, 10.0)
LONG_WORK_SHARE = 0.4
LONG_WORK_SECONDS = (6.0, 12.0)
# The row of an instance that is away for this long has been removed.
AWAY_SECONDS = (3.5, 6.0)
RESTART_SECONDS = 0.3
FIRST_NEW_INSTANCE = 10
MAX_NEW_INSTANCES = 3
LOST_LINKS_SHARE = 0.5


class LinkStorm(ZoneStorm):
    """Plays the faults of links and members beside those of zones."""

    def build_world(self, seed: int) -> FleetWorld:
        """Return a fleet with two instances and three targets in each zone."""
        self.hub = PeerHub()
        self.garbler = Garbler()
        self.new_instances = 0
        world = FleetWorld(
            seed,
            fake_peers_factory(self.hub),
            instance_count=6,
            target_count=9,
            zones=ZONES,
            checker=self.checker,
            spreads_instances=True,
            wrap_targets=lambda inner: GarbledTargets(inner, self.garbler),
        )
        for target in world.targets.values():
            target.max_listed_ends = LISTED_ENDS
        return world

    def faults(self) -> list[Fault]:
        return [
            *super().faults(),
            self.cut_from_peers,
            self.cut_leader_from_peers,
            self.lose_answers_of_links,
            self.leave_store_to_one,
            self.hide_store_from_one,
            self.add_instance,
            self.remove_instance,
            self.restart_in_outage,
            self.garble_rows,
            self.lose_release,
            self.delay_orders,
            self.freeze_instance,
        ]

    async def fault_later(self) -> None:
        """Bring about one fault at a random time, for a random time."""
        await asyncio.sleep(self.generator.uniform(0, TRAFFIC_SECONDS))
        fault = self.generator.choice(self.faults())
        await self.bring_about(fault, self.generator.uniform(*FAULT_SECONDS))

    def draw_work_seconds(self) -> float:
        """Return how long each task of a job runs; some outlast a lease."""
        if self.generator.random() < LONG_WORK_SHARE:
            return self.generator.uniform(*LONG_WORK_SECONDS)
        return super().draw_work_seconds()

    def draw_process(self) -> tuple[str, Process] | None:
        """Return a running instance, the leader in half of the cases."""
        name = self.draw_instance()
        if self.generator.random() < 0.5:
            name = self.world.leader_name() or name
        return None if name is None else (name, self.world.processes[name])

    # Links.

    async def cut_peer_links(self, name: str, seconds: float) -> None:
        """Cut an instance off from all others, but not from store and targets."""
        links = {frozenset({name, other}) for other in self.world.processes} - {
            frozenset({name})
        }
        links -= self.hub.cut
        self.hub.cut |= links
        await asyncio.sleep(seconds)
        self.hub.cut -= links

    async def cut_from_peers(self, seconds: float) -> None:
        name = self.draw_instance()
        if name is not None:
            await self.cut_peer_links(name, seconds)

    async def cut_leader_from_peers(self, seconds: float) -> None:
        name = self.world.leader_name()
        if name is not None:
            await self.cut_peer_links(name, seconds)

    async def lose_answers_of_links(self, seconds: float) -> None:
        """Lose the answers of some targets to one instance; its calls arrive."""
        drawn = self.draw_process()
        if drawn is None:
            return
        unheard = drawn[1].targets.unheard
        names = {
            name
            for name in sorted(self.world.targets)
            if self.generator.random() < LOST_LINKS_SHARE
        }
        names -= unheard
        unheard |= names
        await asyncio.sleep(seconds)
        unheard -= names

    async def garble_rows(self, seconds: float) -> None:
        """Let the first row of each list of runs, or of ends, arrive unreadable."""
        hides_runs = self.generator.random() < 0.5
        self.garbler.hides_runs = hides_runs
        self.garbler.hides_ends = not hides_runs
        await asyncio.sleep(seconds)
        self.garbler.hides_runs = self.garbler.hides_ends = False

    # The store.

    async def silence_stores(self, processes: list[Process], seconds: float) -> None:
        """Let the store answer some instances nothing."""
        for process in processes:
            process.store.mode = StoreMode.SILENT
        await asyncio.sleep(seconds)
        for process in processes:
            process.store.mode = StoreMode.WORKS

    async def leave_store_to_one(self, seconds: float) -> None:
        """Let the store answer one instance only."""
        drawn = self.draw_process()
        if drawn is not None:
            others = [p for p in self.world.processes.values() if p is not drawn[1]]
            await self.silence_stores(others, seconds)

    async def hide_store_from_one(self, seconds: float) -> None:
        """Let the store answer all instances but one."""
        drawn = self.draw_process()
        if drawn is not None:
            await self.silence_stores([drawn[1]], seconds)

    async def lose_release(self, seconds: float) -> None:
        """Stop the leader gracefully while no write to the store is answered."""
        name = self.world.leader_name()
        if name is None or len(self.world.processes) < 2:
            return
        if not self.world.processes[name].gate.open.is_set():
            return
        former = self.world.store.lost_answer_share
        self.world.store.lost_answer_share = 1.0
        await self.world.stop_gracefully(name)
        self.world.store.lost_answer_share = former
        await asyncio.sleep(min(seconds, RESTART_SECONDS))
        await self.world.start_instance(name)

    # Members.

    async def add_instance(self, seconds: float) -> None:
        """Start an instance that nobody knows, in any zone."""
        if self.new_instances >= MAX_NEW_INSTANCES:
            return
        name = f"instance-{FIRST_NEW_INSTANCE + self.new_instances}"
        self.new_instances += 1
        self.world.cuts.zone_of[name] = self.generator.choice(ZONES)
        await self.world.start_instance(name)

    async def remove_instance(self, seconds: float) -> None:
        """End an instance until its row has been removed, and start it again."""
        drawn = self.draw_process()
        if drawn is not None and len(self.world.processes) > 1:
            await self.world.kill(drawn[0])
            await asyncio.sleep(self.generator.uniform(*AWAY_SECONDS))
            await self.world.start_instance(drawn[0])

    async def restart_in_outage(self, seconds: float) -> None:
        """Restart an instance while the store answers nobody."""
        self.world.store.mode = StoreMode.SILENT
        await asyncio.sleep(seconds / 2)
        drawn = self.draw_process()
        if drawn is not None and len(self.world.processes) > 1:
            await self.world.kill(drawn[0])
            await asyncio.sleep(RESTART_SECONDS)
            await self.world.start_instance(drawn[0])
        await asyncio.sleep(seconds / 2)
        self.world.store.mode = StoreMode.WORKS


async def play_link_storm(seed: int) -> StormReport:
    """Play the storm of a seed."""
    return await LinkStorm(seed).play()
