"""A storm of faults in which availability zones are cut off from each other.

Targets list only a few of their ends at a time.
"""

from __future__ import annotations

import asyncio

from lib.fleet_builders import fake_peers_factory
from lib.fleet_faults import Fault, Storm, StormReport
from lib.peer_fakes import PeerHub
from standins.fleet.world import FleetWorld

ZONES = ("zone-a", "zone-b", "zone-c")
# So that most storms have several cuts.
CUTS_AMONG_FAULTS = 4
# So that ends pile up beyond what a target lists.
LISTED_ENDS = 3


class ZoneStorm(Storm):
    """Plays zone cuts beside faults of instances, of targets and of the store."""

    def build_world(self, seed: int) -> FleetWorld:
        """Return a fleet with two instances and three targets in each zone."""
        world = FleetWorld(
            seed,
            fake_peers_factory(PeerHub()),
            instance_count=6,
            target_count=9,
            zones=ZONES,
            checker=self.checker,
            spreads_instances=True,
        )
        for target in world.targets.values():
            target.max_listed_ends = LISTED_ENDS
        return world

    def faults(self) -> list[Fault]:
        return [
            *([self.cut_off] * CUTS_AMONG_FAULTS),
            self.freeze_leader,
            self.kill_instance,
            self.stop_instance,
            self.silence_target,
            self.crash_target,
            self.silence_store,
            self.refuse_one_instance,
            self.lose_answers,
            self.slow_store,
        ]

    async def cut_off(self, seconds: float) -> None:
        """Cut one zone off from the others and from the store."""
        zone = self.generator.choice(ZONES)
        if self.world.cuts.zones:
            return
        self.world.cuts.zones.add(zone)
        await asyncio.sleep(seconds)
        self.world.cuts.zones.discard(zone)


async def play_zone_storm(seed: int) -> StormReport:
    """Play the storm of a seed."""
    return await ZoneStorm(seed).play()
