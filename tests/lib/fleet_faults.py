"""A seeded sequence of overlapping faults on an emulated fleet, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from returns.result import Success

from egretloft._internal.fleet.intake import IntakeRefusalKind
from egretloft._internal.fleet.interfaces import RowKey
from egretloft._internal.fleet.models import JobSpec, JobState, StepSpec
from lib.fleet_builders import SMALL, WHOLE, fake_peers_factory, job_id
from lib.idle_jobs import IdleJobs
from lib.peer_fakes import PeerHub
from standins.fleet.checker import Checker, RunTruth
from standins.fleet.store import StoreMode
from standins.fleet.targets import EmulatedTarget
from standins.fleet.world import (
    TARGET_TABLE,
    EmulatedDecoder,
    FleetWorld,
    is_cancel_acknowledged,
)

TRAFFIC_SECONDS = 15.0
JOBS = 24
MIN_FAULTS = 5
MAX_FAULTS = 10
# All faults are over after the traffic and this time.
LONGEST_FAULT_SECONDS = 6.0
SETTLE_SECONDS = 90.0
SUBMIT_TRIES = 12
POLL_SECONDS = 0.05
# A target that is leaving gets no start this long after the store has its report.
DRAIN_SECONDS = 2.0
# A zone out of service gets no start this long after the operators took it out.
EVACUATION_SECONDS = 5.0
# No task of a cancelled job starts this long after the caller's answer.
CANCEL_SECONDS = 3.0
# How much later an order may arrive that a target carries out without an answer.
LATE_ORDER_SECONDS = 12.0
# Gang members that end alone this long after a fault of instances, the store or orders
# are no violation: no leader could stop them in time.
GANG_SECONDS = 3.0
# Faults of targets and zones, as opposed to those of the store, instances or links.
TARGET_FAULT_SUFFIXES = ("_target", "_rack", "_zone")
FINAL_STATES = (JobState.COMPLETE, JobState.CANCELLED)

# Brings about one fault for so many seconds.
Fault = Callable[[float], Awaitable[None]]


class StormChecker(Checker):
    """Also checks starts on leaving targets, in zones out of service and after cancels.

    ``left_at`` holds when a target reported that it is leaving, ``out_since`` when a
    zone was taken out of service. While ``orders_late``
    is set, targets may carry out an order long after it was sent. ``disturbed_until``
    is the end of the last fault of instances, the store or orders, ``store_back_at``
    when the store last began to answer again. A leader cannot read cancellations while
    it does not answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.left_at: dict[str, float] = {}
        self.out_since: dict[str, float] = {}
        self.zone_of: dict[str, str] = {}
        self.orders_late = False
        self.disturbed_until = 0.0
        self.store_back_at = 0.0

    def report(self, rule: str, what: str, at: float) -> None:
        if rule == "GANG" and at < self.disturbed_until + GANG_SECONDS:
            return
        super().report(rule, what, at)

    def on_start(self, run: RunTruth, payload: str, at: float) -> None:
        super().on_start(run, payload, at)
        slack = LATE_ORDER_SECONDS if self.orders_late else 0.0
        left_at = self.left_at.get(run.target_id)
        if left_at is not None and at > left_at + DRAIN_SECONDS + slack:
            self.report("DRAIN", f"{run.key.task} on {run.target_id}", at)
        out_since = self.out_since.get(self.zone_of[run.target_id], math.inf)
        known_at = max(out_since, self.store_back_at)
        if out_since < at and at > known_at + EVACUATION_SECONDS + slack:
            self.report("EVAC", f"{run.key.task} on {run.target_id}", at)
        truth = self.jobs.get(run.key.task.step.job_id)
        if truth is None or truth.cancelled_at is None:
            return
        known_at = max(truth.cancelled_at, self.store_back_at)
        if at > known_at + CANCEL_SECONDS + slack:
            self.report("UNASKED", f"{run.key.task} of a cancelled job", at)


@dataclass
class StormReport:
    """What a storm of faults led to."""

    violations: list[str] = field(default_factory=list)
    unfinished: list[str] = field(default_factory=list)
    accepted: int = 0
    faults: list[str] = field(default_factory=list)


class Storm:
    """Plays jobs and faults that are drawn by a seed.

    A job that is shown in one of ``end_states`` has ended.
    """

    end_states: tuple[JobState, ...] = FINAL_STATES

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.checker = self.build_checker()
        self.world = self.build_world(seed)
        self.checker.zone_of = {
            target.target_id: target.zone for target in self.world.targets.values()
        }
        self.report = StormReport()
        self.accepted: list[str] = []
        self.cancelled: set[str] = set()
        self.busy_targets: set[str] = set()
        self.idle_jobs = IdleJobs(self.world, self.is_usable, self.owed_jobs)

    def build_checker(self) -> StormChecker:
        """Return the checker of the storm."""
        return StormChecker()

    def build_world(self, seed: int) -> FleetWorld:
        """Return the fleet on which the storm is played."""
        return FleetWorld(
            seed,
            fake_peers_factory(PeerHub()),
            instance_count=4,
            target_count=8,
            checker=self.checker,
        )

    async def play(self) -> StormReport:
        """Play the traffic and the faults, let all heal, and wait for the jobs."""
        world = self.world
        await world.start()
        await asyncio.sleep(2.0)
        watch = asyncio.create_task(self.idle_jobs.watch())
        works = [self.submit_later(number) for number in range(JOBS)]
        works += [
            self.fault_later()
            for _ in range(self.generator.randint(MIN_FAULTS, MAX_FAULTS))
        ]
        await asyncio.gather(*works)
        await self.settle()
        await stop_watch(watch)
        self.report.violations = self.checker.violations
        self.report.accepted = len(self.accepted)
        await world.stop()
        return self.report

    async def settle(self) -> None:
        """Wait until all accepted jobs have ended."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SETTLE_SECONDS
        open_jobs = set(self.accepted)
        while open_jobs and loop.time() < until:
            for name in sorted(open_jobs):
                if await self.world.state(name) in self.end_states:
                    open_jobs.discard(name)
            await asyncio.sleep(0.5)
        self.report.unfinished = sorted(open_jobs)

    def owed_jobs(self) -> list[str]:
        """Return the jobs that were accepted."""
        return self.accepted

    def is_usable(self, target: EmulatedTarget) -> bool:
        """Return whether a target has no fault and may get work."""
        has_fault = target.cut or target.silent or target.target_id in self.busy_targets
        is_leaving = target.removed or target.draining
        return not (has_fault or is_leaving or target.zone in self.checker.out_since)

    # Traffic.

    def draw_spec(self) -> JobSpec:
        """Return a job of single tasks, a gang, or two steps in order."""
        kind = self.generator.randrange(3)
        if kind == 0:
            return JobSpec("payload", (StepSpec(self.generator.randint(1, 4), SMALL),))
        if kind == 1:
            gang = StepSpec(self.generator.randint(2, 3), WHOLE, gang=True)
            return JobSpec("payload", (gang,))
        return JobSpec("payload", (StepSpec(3, SMALL), StepSpec(2, SMALL, after=(0,))))

    def draw_work_seconds(self) -> float:
        """Return how long each task of a job runs."""
        return self.generator.uniform(0.3, 3.0)

    async def submit_later(self, number: int) -> None:
        """Submit a job at a random time, at several instances if needed."""
        spec = self.draw_spec()
        work_seconds = self.draw_work_seconds()
        queue = self.generator.choice(["urgent", "normal", "patient"])
        # A gang fails as often as its members together, so these would use up the
        # attempts of a whole gang.
        has_gang = any(step.gang for step in spec.steps)
        failing = 0 if has_gang else self.generator.choice([0, 0, 0, 1])
        cancels = self.generator.random() < 0.2
        await asyncio.sleep(self.generator.uniform(0, TRAFFIC_SECONDS))
        name = job_id(number)
        unknown = False
        for _ in range(SUBMIT_TRIES):
            if not self.world.processes:
                await asyncio.sleep(0.5)
                continue
            at = self.generator.choice(sorted(self.world.processes))
            result = await self.world.submit(
                name, spec, work_seconds, queue, at, failing
            )
            if isinstance(result, Success):
                self.accepted.append(name)
                break
            unknown |= result.failure().kind is IntakeRefusalKind.OUTCOME_UNKNOWN
            await asyncio.sleep(0.7)
        else:
            self.checker.jobs[name].refused = not unknown
            return
        if cancels:
            await asyncio.sleep(self.generator.uniform(0.1, 3.0))
            await self.cancel(name)

    async def cancel(self, name: str) -> None:
        """Cancel a job, until the answer confirms it."""
        for _ in range(SUBMIT_TRIES):
            if self.world.processes and is_cancel_acknowledged(
                await self.world.cancel(name)
            ):
                return
            await asyncio.sleep(0.7)

    # Faults.

    def faults(self) -> list[Fault]:
        """Return the faults that may be drawn."""
        return [
            self.freeze_instance,
            self.freeze_leader,
            self.kill_instance,
            self.stop_instance,
            self.silence_target,
            self.cut_target,
            self.crash_target,
            self.drain_target,
            self.refuse_calls,
            self.silence_store,
            self.refuse_one_instance,
            self.lose_answers,
            self.delay_orders,
            self.slow_store,
            self.forget_history,
            self.evacuate_zone,
        ]

    async def fault_later(self) -> None:
        """Bring about one fault at a random time, for a random time."""
        await asyncio.sleep(self.generator.uniform(0, TRAFFIC_SECONDS))
        fault = self.generator.choice(self.faults())
        seconds = self.generator.uniform(0.4, LONGEST_FAULT_SECONDS)
        await self.bring_about(fault, seconds)

    async def bring_about(self, fault: Fault, seconds: float) -> None:
        """Bring about one fault; only those of targets leave the rest calm."""
        at = asyncio.get_running_loop().time()
        name = getattr(fault, "__name__", "")
        self.report.faults.append(f"{at:.2f} {name} {seconds:.2f}")
        if not name.endswith("_target"):
            self.note_disturbed(seconds)
        if name.endswith(TARGET_FAULT_SUFFIXES):
            await fault(seconds)
            return
        with self.idle_jobs.fault():
            await fault(seconds)

    def note_disturbed(self, seconds: float) -> None:
        """Note that a fault of more than targets lasts for so long from now on."""
        until = asyncio.get_running_loop().time() + seconds
        self.checker.disturbed_until = max(self.checker.disturbed_until, until)

    def draw_instance(self) -> str | None:
        """Return a running instance; none if it would be the last one."""
        names = sorted(self.world.processes)
        return self.generator.choice(names) if len(names) > 1 else None

    async def freeze(self, name: str | None, seconds: float) -> None:
        """Suspend an instance between its checks and its calls."""
        if name is None:
            return
        gate = self.world.processes[name].gate
        gate.open.clear()
        await asyncio.sleep(seconds)
        gate.open.set()

    async def freeze_instance(self, seconds: float) -> None:
        await self.freeze(self.draw_instance(), seconds)

    async def freeze_leader(self, seconds: float) -> None:
        await self.freeze(self.world.leader_name(), seconds)

    async def kill_instance(self, seconds: float) -> None:
        name = self.world.leader_name() or self.draw_instance()
        if name is None or name not in self.world.processes:
            return
        await self.world.kill(name)
        await asyncio.sleep(min(seconds, 1.5))
        await self.world.start_instance(name)

    async def stop_instance(self, seconds: float) -> None:
        name = self.world.leader_name() or self.draw_instance()
        if name is None or name not in self.world.processes:
            return
        if not self.world.processes[name].gate.open.is_set():
            return
        await self.world.stop_gracefully(name)
        await asyncio.sleep(min(seconds, 1.5))
        await self.world.start_instance(name)

    def draw_target(self) -> str | None:
        """Return a target without a fault, unless too many have one."""
        free = sorted(set(self.world.targets) - self.busy_targets)
        if len(free) <= 4:
            return None
        name = self.generator.choice(free)
        self.busy_targets.add(name)
        return name

    async def silence_target(self, seconds: float) -> None:
        name = self.draw_target()
        if name is None:
            return
        target = self.world.targets[name]
        target.silent = True
        await asyncio.sleep(seconds)
        target.silent = False
        self.busy_targets.discard(name)

    async def cut_target(self, seconds: float) -> None:
        name = self.draw_target()
        if name is None:
            return
        target = self.world.targets[name]
        target.cut = True
        await asyncio.sleep(seconds)
        target.cut = False
        self.busy_targets.discard(name)

    async def crash_target(self, seconds: float) -> None:
        name = self.draw_target()
        if name is None:
            return
        self.world.targets[name].crash()
        self.busy_targets.discard(name)

    async def drain_target(self, seconds: float) -> None:
        name = self.draw_target()
        if name is None:
            return
        target = self.world.targets[name]
        target.draining = True
        # It stays for longer than it announces.
        target.leaves_at = asyncio.get_running_loop().time() + seconds
        while not self.is_leaving_known(name):
            await asyncio.sleep(POLL_SECONDS)
        self.checker.left_at[name] = asyncio.get_running_loop().time()

    def is_leaving_known(self, name: str) -> bool:
        """Return whether instances can read that a target is leaving.

        A target that has crashed does not report it before its return.
        """
        store = self.world.store
        row = store.get(RowKey(TARGET_TABLE, "", name))
        report = EmulatedDecoder().target(row) if row.value else None
        return (
            store.mode is StoreMode.WORKS
            and isinstance(report, Success)
            and report.unwrap().draining
        )

    async def set_store_mode(self, mode: StoreMode, seconds: float) -> None:
        """Let all calls to the store fail for a while."""
        self.world.store.mode = mode
        self.checker.store_back_at = math.inf
        await asyncio.sleep(seconds)
        self.world.store.mode = StoreMode.WORKS
        self.checker.store_back_at = asyncio.get_running_loop().time()
        for name in self.checker.left_at:
            self.checker.left_at[name] += LONGEST_FAULT_SECONDS

    async def refuse_calls(self, seconds: float) -> None:
        await self.set_store_mode(StoreMode.REFUSES, seconds)

    async def silence_store(self, seconds: float) -> None:
        await self.set_store_mode(StoreMode.SILENT, seconds)

    async def refuse_one_instance(self, seconds: float) -> None:
        name = self.world.leader_name() or self.draw_instance()
        if name is None:
            return
        store = self.world.processes[name].store
        store.mode = StoreMode.REFUSES
        await asyncio.sleep(seconds)
        store.mode = StoreMode.WORKS

    async def lose_answers(self, seconds: float) -> None:
        self.world.store.lost_answer_share = 0.3
        self.world.store.delays_lost_commits = self.generator.random() < 0.5
        await asyncio.sleep(seconds)
        self.world.store.lost_answer_share = 0.0

    async def delay_orders(self, seconds: float) -> None:
        self.checker.orders_late = True
        for process in self.world.processes.values():
            process.targets.late_order_share = 0.3
        await asyncio.sleep(seconds)
        for process in self.world.processes.values():
            process.targets.late_order_share = 0.0

    async def slow_store(self, seconds: float) -> None:
        self.world.store.slowness = self.generator.choice([10.0, 40.0])
        await asyncio.sleep(seconds)
        self.world.store.slowness = 1.0

    async def evacuate_zone(self, seconds: float) -> None:
        zone = self.world.zones[0]
        if zone in self.checker.out_since:
            return
        self.world.evacuate(zone)
        self.checker.out_since[zone] = asyncio.get_running_loop().time()
        await asyncio.sleep(EVACUATION_SECONDS + seconds)
        self.world.evacuate(zone, out=False)
        del self.checker.out_since[zone]

    async def forget_history(self, seconds: float) -> None:
        self.world.store.forget_history()


async def stop_watch(watch: asyncio.Task[None]) -> None:
    """End a check that runs beside a storm; raise its error, if it failed."""
    watch.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watch


async def play_storm(seed: int) -> StormReport:
    """Play the storm of a seed."""
    return await Storm(seed).play()


def failure_text(report: StormReport) -> str:
    """Return what went wrong, with the faults that came before."""
    return "\n".join(
        [*report.violations, *report.unfinished, "faults:", *report.faults]
    )
