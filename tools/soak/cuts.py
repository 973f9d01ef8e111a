"""Soak runs in which zones, instances and single links are cut off."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from pathlib import Path

from egretloft._internal import codec
from egretloft._internal.fleet.election import LEADER_KEY
from egretloft._internal.fleet.records import LeaderRecord
from soak.links import Cut, Link, Links
from soak.programs import Program
from soak.run import Soak, SoakReport
from standins.fleet.targets import GANG_TIMEOUT_SECONDS

# From well below a lease (3.5 s) to beyond two.
CUT_SECONDS = (1.0, 9.0)
# A job whose work outlasts a cut can be started again in the middle of its work.
LONG_WORK_SECONDS = (6.0, 12.0)
LONG_WORK_SHARE = 0.25
# Two in three faults of one kind hit the leader, which has the most to lose.
LEADER_SHARE = 0.67
# A gang that is incomplete within this time of a cut breaks no rule: the time for which
# its members wait, and the one before it in which no impairment may have been.
GANG_EXCUSE_SECONDS = GANG_TIMEOUT_SECONDS + 3.0
# Whether requests and whether answers are lost in a cut.
LOST = {
    (True, True): "both ways",
    (True, False): "requests",
    (False, True): "answers",
}


class CutSoak(Soak):
    """A soak of three zones with links between all processes, and with cuts.

    ``added`` instances start during the run. All faults are written to ``faults.log``
    with the time of the instances' logs. A gang that stays incomplete near a cut is
    excused, as an order may be sent before the leader can know of the cut.

    A share of the jobs, ``long_work_share``, works for ``long_work_seconds``.
    """

    added = 1
    long_work_seconds = LONG_WORK_SECONDS
    long_work_share = LONG_WORK_SHARE
    zones = ("zone-a", "zone-b", "zone-c")
    fault_interval_seconds = (0.5, 3.0)

    def __init__(
        self, seed: int, seconds: float, directory: Path, instances: int, targets: int
    ) -> None:
        super().__init__(seed, seconds, directory, instances, targets)
        self.links = Links(self.platform)
        self.cuts: list[Cut] = []
        self.cut_until = float("-inf")
        self.checker.is_excused = self.is_excused
        self.waiting: list[Program] = []
        self.began = time.monotonic()

    async def start_programs(self) -> None:
        """Open all links and start the instances that do not join later."""
        programs = [self.new_program(n) for n in range(self.instances + self.added)]
        await self.links.open(programs)
        self.proxies.extend(self.links.all)
        self.programs = programs[: self.instances]
        self.waiting = programs[self.instances :]
        for program in self.programs:
            await program.start()

    def work_seconds(self) -> float:
        """Return how long the tasks of a new job work; some outlast a fault."""
        if self.generator.random() < self.long_work_share:
            return self.generator.uniform(*self.long_work_seconds)
        return super().work_seconds()

    def fault_kinds(self) -> list[Callable[[], Awaitable[str]]]:
        """Return the kinds of faults; cuts make up more than half of them."""
        return [
            *[self.cut_zone_of_leader] * 5,
            *[self.cut_zone] * 3,
            *[self.cut_instance] * 2,
            self.cut_from_store,
            self.cut_from_peers,
            self.cut_from_targets,
            self.cut_between_instances,
            self.add_instance,
            self.kill,
            self.pause,
            self.terminate,
            self.fail_store,
            self.lose_answers,
            self.fail_target,
            self.reset_connections,
            self.silence_connections,
        ]

    async def inject(self) -> None:
        """Inject one random fault and write it down."""
        self.note(await self.generator.choice(self.fault_kinds())())

    def note(self, fault: str) -> None:
        """Add a fault to the report and the log of faults."""
        entry = f"{time.monotonic() - self.began:.2f} {fault}"
        self.report.faults.append(entry)
        now = datetime.now(UTC).isoformat(timespec="milliseconds")
        with (self.directory / "faults.log").open("a", encoding="utf-8") as log:
            log.write(f"{now} {entry}\n")

    # Whom a fault hits.

    def leader(self) -> Program | None:
        """Return the instance that the store names as the leader."""
        value = self.store.get(LEADER_KEY).value
        if value is None:
            return None
        name = codec.decode(value, LeaderRecord).unwrap().instance_id
        return next((p for p in self.programs if p.name == name), None)

    def victim(self) -> Program:
        """Return the leader or, less often, a random instance."""
        leader = self.leader()
        if leader is not None and self.generator.random() < LEADER_SHARE:
            return leader
        return super().victim()

    # Cuts.

    def cut(
        self,
        what: str,
        links: tuple[Link, ...],
        directions: tuple[bool, bool] = (True, True),
        zone: str = "",
    ) -> str:
        """Cut links for some seconds; return a description."""
        seconds = self.generator.uniform(*CUT_SECONDS)
        cut = Cut(links, *directions, zone)
        cut.begin()
        self.platform.unregistered_zones[zone] += 1
        self.cuts.append(cut)
        self.call_after(seconds, lambda: self.end_cut(cut))
        return f"cut {what} for {seconds:.1f} s, {LOST[directions]} lost"

    def is_excused(self, rule: str, at: float) -> bool:
        """Return whether a gang may be incomplete because of a cut."""
        near = bool(self.cuts) or at < self.cut_until + GANG_EXCUSE_SECONDS
        return rule == "GANG" and near

    def end_cut(self, cut: Cut) -> None:
        """End a cut, unless it has been ended already."""
        if cut in self.cuts:
            self.cut_until = asyncio.get_running_loop().time()
            self.cuts.remove(cut)
            self.platform.unregistered_zones[cut.zone] -= 1
            cut.end()

    def cut_off(self, zone: str) -> str:
        """Cut a zone off from the others and the store."""
        return self.cut(zone, self.links.of_zone(zone), zone=zone)

    async def cut_zone(self) -> str:
        """Cut a random zone off."""
        return self.cut_off(self.generator.choice(self.zones))

    async def cut_zone_of_leader(self) -> str:
        """Cut the leader's zone off."""
        return self.cut_off((self.leader() or self.victim()).zone)

    async def cut_instance(self) -> str:
        """Cut the leader off from everything but its callers."""
        name = (self.leader() or self.victim()).name
        return self.cut(f"{name} from all", self.links.of_instance(name))

    async def cut_from_store(self) -> str:
        """Cut an instance off from the store only, maybe in one direction."""
        name = self.victim().name
        directions = self.generator.choice(tuple(LOST))
        return self.cut(f"{name} from store", self.links.to_store(name), directions)

    async def cut_from_peers(self) -> str:
        """Cut an instance off from all other instances only."""
        name = self.victim().name
        peers = [program.name for program in self.programs if program.name != name]
        return self.cut(f"{name} from peers", self.links.between_instances(name, peers))

    async def cut_from_targets(self) -> str:
        """Cut an instance off from the targets of a zone, maybe in one direction."""
        name = self.victim().name
        zone = self.generator.choice(self.zones)
        directions = self.generator.choice(tuple(LOST))
        what = f"{name} from targets of {zone}"
        return self.cut(what, self.links.to_targets(name, zone), directions)

    async def cut_between_instances(self) -> str:
        """Cut two instances off from each other, maybe in one direction."""
        name = self.victim().name
        other = self.generator.choice([p.name for p in self.programs if p.name != name])
        directions = self.generator.choice(tuple(LOST))
        links = self.links.between_instances(name, [other])
        return self.cut(f"{name} from {other}", links, directions)

    # Other faults.

    async def add_instance(self) -> str:
        """Start an instance that has never run, if one is left."""
        if not self.waiting:
            return "no instance left to add"
        program = self.waiting.pop(0)
        self.programs.append(program)
        await program.start()
        return f"add {program.name}"

    async def end_faults(self) -> None:
        """End all faults that have not ended yet."""
        self.note("end of all faults")
        for cut in list(self.cuts):
            self.end_cut(cut)
        await super().end_faults()

    async def run(self) -> SoakReport:
        """Run the soak and return its report."""
        report = await super().run()
        report.excused = len(self.checker.excused)
        return report


class ConstantFaultSoak(CutSoak):
    """A soak in which targets fail all the time.

    An incomplete gang is excused until a while after the faults. No instances join.
    """

    added = 0

    def __init__(
        self, seed: int, seconds: float, directory: Path, instances: int, targets: int
    ) -> None:
        super().__init__(seed, seconds, directory, instances, targets)
        self.faults_end = float("inf")

    def is_excused(self, rule: str, at: float) -> bool:
        """Return whether a gang may be incomplete because of a fault."""
        return rule == "GANG" and at < self.faults_end + GANG_EXCUSE_SECONDS

    async def end_faults(self) -> None:
        """End all faults that have not ended yet."""
        await super().end_faults()
        self.faults_end = asyncio.get_running_loop().time()
