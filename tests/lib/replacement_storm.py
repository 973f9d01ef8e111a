"""A storm in which instances are replaced by new ones, or cut off beside new ones."""

from __future__ import annotations

import asyncio

from lib.acting import ActingWatch
from lib.fleet_builders import fake_peers_factory
from lib.fleet_faults import Fault, Storm, StormReport
from lib.peer_fakes import PeerHub
from standins.fleet.world import FleetWorld

INSTANCES = 3
TARGETS = 9
# All instances that are there at the start are in the first zone, which is cut off.
KNOWN_ZONE = "zone-a"
NEW_ZONE = "zone-b"
# How many of three targets are in the first zone: a majority, or not.
TARGET_ZONES = (
    (KNOWN_ZONE, KNOWN_ZONE, NEW_ZONE),
    (KNOWN_ZONE, NEW_ZONE, NEW_ZONE),
    (KNOWN_ZONE, NEW_ZONE, KNOWN_ZONE, NEW_ZONE),
)
# New instances join this long after a cut begins.
JOIN_SECONDS = (0.0, 5.0)
# A cut lasts this much longer than other faults, so that both sides decide in it.
CUT_FACTOR = 3.0
DOWN_SECONDS = 8.0
MAX_LOST_TARGETS = 4
REPLACED_SECONDS = (0.3, 2.0)
# So that most storms have several of each.
REPLACEMENTS_AMONG_FAULTS = 3
# The first number of the targets that are added.
ADDED_TARGETS = 100


class ReplacementStorm(Storm):
    """Plays replaced instances beside faults of targets, instances and the store.

    Targets that are lost come back after some seconds, in another zone at times.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.new_instances = 0
        self.added_targets = 0

    def build_world(self, seed: int) -> FleetWorld:
        """Return a fleet with all instances in one zone."""
        return FleetWorld(
            seed,
            fake_peers_factory(PeerHub()),
            instance_count=INSTANCES,
            target_count=TARGETS,
            zones=self.generator.choice(TARGET_ZONES),
            checker=self.checker,
        )

    async def play(self) -> StormReport:
        """Play the storm; report also when two instances acted."""
        watch = ActingWatch(self.world)
        report = await super().play()
        await watch.stop()
        report.violations += [f"two act: {moment}" for moment in watch.both_act[:3]]
        return report

    def faults(self) -> list[Fault]:
        return [
            *([self.cut_off_known] * REPLACEMENTS_AMONG_FAULTS),
            *([self.replace_all] * REPLACEMENTS_AMONG_FAULTS),
            self.add_instance,
            self.add_target,
            self.move_target,
            self.lose_target,
            self.crash_target,
            self.cut_target,
            self.silence_store,
            self.refuse_one_instance,
            self.lose_answers,
            self.freeze_leader,
            self.kill_instance,
        ]

    async def start_new_instance(self, zone: str) -> None:
        """Start an instance that nobody knows."""
        self.new_instances += 1
        name = f"new-{self.new_instances}"
        self.world.cuts.zone_of[name] = zone
        await self.world.start_instance(name)

    async def cut_off_known(self, seconds: float) -> None:
        """Cut the zone of the first instances off, and let a new one join outside."""
        if self.world.cuts.zones:
            return
        self.world.cuts.zones.add(KNOWN_ZONE)
        joins_after = self.generator.uniform(*JOIN_SECONDS)
        self.note_disturbed(joins_after + CUT_FACTOR * seconds)
        await asyncio.sleep(joins_after)
        await self.start_new_instance(NEW_ZONE)
        await asyncio.sleep(CUT_FACTOR * seconds)
        self.world.cuts.zones.discard(KNOWN_ZONE)

    async def replace_all(self, seconds: float) -> None:
        """Replace all instances by new ones, and lose some targets with them."""
        for name in sorted(self.world.processes):
            await self.world.kill(name)
        for _ in range(self.generator.randint(0, MAX_LOST_TARGETS)):
            name = self.draw_target()
            if name is not None:
                self.world.targets[name].crash_for(DOWN_SECONDS)
                self.busy_targets.discard(name)
        await asyncio.sleep(self.generator.uniform(*REPLACED_SECONDS))
        for _ in range(2):
            zone = self.generator.choice((KNOWN_ZONE, NEW_ZONE))
            await self.start_new_instance(zone)
        await asyncio.sleep(DOWN_SECONDS + seconds)

    async def add_instance(self, seconds: float) -> None:
        """Start a new instance in any zone."""
        await self.start_new_instance(self.generator.choice((KNOWN_ZONE, NEW_ZONE)))

    async def add_target(self, seconds: float) -> None:
        """Add a target, which no leader has recorded yet."""
        number = ADDED_TARGETS + self.added_targets
        self.added_targets += 1
        target = self.world.add_target(number)
        self.checker.zone_of[target.target_id] = target.zone
        self.world.spawn_registration(target)

    async def lose_target(self, seconds: float) -> None:
        """Lose the runs of a target, which restarts after a while."""
        name = self.draw_target()
        if name is None:
            return
        self.world.targets[name].crash_for(seconds)
        await asyncio.sleep(seconds)
        self.busy_targets.discard(name)

    async def move_target(self, seconds: float) -> None:
        """Restart a target on the other side of the cuts, where it forgets epochs."""
        name = self.draw_target()
        if name is None:
            return
        target = self.world.targets[name]
        target.crash_for(seconds)
        await asyncio.sleep(seconds)
        zone_of = self.world.cuts.zone_of
        zone_of[name] = NEW_ZONE if zone_of[name] == KNOWN_ZONE else KNOWN_ZONE
        self.busy_targets.discard(name)


async def play_replacement_storm(seed: int) -> StormReport:
    """Play the storm of a seed."""
    return await ReplacementStorm(seed).play()
