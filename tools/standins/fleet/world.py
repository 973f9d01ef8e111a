"""Instances, store and targets together in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from egretloft._internal import codec
from egretloft._internal.fleet.instance import Identity, Instance, create_instance
from egretloft._internal.fleet.intake import Caller, IntakeRefusal
from egretloft._internal.fleet.interfaces import StoredRow
from egretloft._internal.fleet.models import (
    Configuration,
    JobSpec,
    JobState,
    Organisation,
    Queue,
    Resources,
    StepKey,
    TargetReport,
)
from egretloft._internal.metrics import create_metrics
from egretloft._internal.peers.protocols import Peers
from standins.fleet.checker import Checker, JobTruth, RunTruth
from standins.fleet.store import EmulatedStore, StoreClient
from standins.fleet.targets import EmulatedTarget, TargetsClient

OPERATOR_TABLE = "op"
TARGET_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
CHECK_IN_SECONDS = 1.5
LISTED_CHECK_INS = 3
WALL_OFFSET = 1_800_000_000.0
SERVICE = "service"
ORGANISATION = "kennel"
KEY = "key-1"
WHOLE_TARGET = Resources(64_000, 262_144, 8)
TARGETS_PER_RACK = 4

PeersFactory = Callable[[str, Callable[[], Awaitable[None]]], Peers]


class EmulatedDecoder:
    """Rows of operators and targets in the product's own encoding."""

    def operator_table(self) -> str:
        """Return the table that operators write."""
        return OPERATOR_TABLE

    def target_table(self) -> str:
        """Return the table in which targets register."""
        return TARGET_TABLE

    def configuration(self, row: StoredRow) -> Result[Configuration, str] | None:
        """Return the configuration, or ``None`` if the row holds something else."""
        if row.key.key != CONFIG_KEY:
            return None
        return codec.decode(row.value or b"", Configuration)

    def evacuated_zone(self, row: StoredRow) -> str | None:
        """Return the zone whose evacuation the row asks for."""
        if not row.key.key.startswith(EVACUATE_PREFIX):
            return None
        return row.key.key.removeprefix(EVACUATE_PREFIX)

    def target(self, row: StoredRow) -> Result[TargetReport, str]:
        """Return what a target says of itself."""
        return codec.decode(row.value or b"", TargetReport)


class LoopFleetClock:
    """Virtual time."""

    def boottime(self) -> float:
        """Return virtual time."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual Unix time."""
        return asyncio.get_running_loop().time() + WALL_OFFSET


@dataclass(slots=True)
class Gate:
    """Holds a process up while it is frozen."""

    open: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait(self) -> None:
        """Wait until the process runs."""
        await self.open.wait()


@dataclass(slots=True)
class Process:
    """One life of an instance and its paths."""

    instance: Instance
    store: StoreClient
    targets: TargetsClient
    gate: Gate


class FleetWorld:
    """A deployment of ``instance_count`` instances and ``target_count`` targets."""

    def __init__(
        self,
        seed: int,
        peers_of: PeersFactory,
        instance_count: int = 3,
        target_count: int = 8,
        zones: tuple[str, ...] = ("zone-a", "zone-b"),
        processors: dict[str, float] | None = None,
        checker: Checker | None = None,
        targets_per_rack: int = TARGETS_PER_RACK,
    ) -> None:
        self.generator = random.Random(seed)
        self.peers_of = peers_of
        self.clock = LoopFleetClock()
        self.store = EmulatedStore(self.generator)
        self.checker = checker or Checker()
        self.targets_per_rack = targets_per_rack
        self.gangs: dict[tuple[StepKey, int], list[RunTruth]] = {}
        self.targets: dict[str, EmulatedTarget] = {}
        self.processes: dict[str, Process] = {}
        self.incarnations = 0
        self.zones = zones
        self.processors = processors or {}
        self.tasks: list[asyncio.Task[None]] = []
        self.configuration = configuration()
        for number in range(target_count):
            self.add_target(number)
        self.instance_names = [f"instance-{n}" for n in range(instance_count)]

    def add_target(self, number: int) -> EmulatedTarget:
        """Add a target; its clock differs from the others'."""
        target = EmulatedTarget(
            f"target-{number}",
            SERVICE,
            self.zones[number % len(self.zones)],
            f"r-{number // self.targets_per_rack}",
            WHOLE_TARGET,
            self.checker,
            self.gangs,
            self.targets,
            self.generator.uniform(0, 1e6),
        )
        self.targets[target.target_id] = target
        return target

    async def start(self) -> None:
        """Write the configuration, and start targets and instances."""
        self.put_configuration(self.configuration)
        for target in self.targets.values():
            self.spawn_check_ins(target)
        for name in self.instance_names:
            await self.start_instance(name)
        await asyncio.sleep(CHECK_IN_SECONDS * 2)

    def put_configuration(self, wanted: Configuration) -> None:
        """Put a configuration in force."""
        self.configuration = wanted
        self.store.put(OPERATOR_TABLE, CONFIG_KEY, codec.encode(wanted))

    def evacuate(self, zone: str, out: bool = True) -> None:
        """Take a zone out of service, or bring it back."""
        value = b"{}" if out else None
        self.store.put(OPERATOR_TABLE, EVACUATE_PREFIX + zone, value)

    def spawn_check_ins(self, target: EmulatedTarget) -> None:
        """Let a target register in the store."""
        self.tasks.append(asyncio.create_task(self.check_in(target)))

    async def check_in(self, target: EmulatedTarget) -> None:
        """Register as often as the platform asks; a silent target falls off."""
        await asyncio.sleep(self.generator.uniform(0, CHECK_IN_SECONDS))
        silent = 0
        while not target.removed:
            if target.cut:
                silent += 1
                if silent == LISTED_CHECK_INS:
                    self.store.put(TARGET_TABLE, target.target_id, None)
            else:
                silent = 0
                value = codec.encode(target.report())
                self.store.put(TARGET_TABLE, target.target_id, value)
            await asyncio.sleep(CHECK_IN_SECONDS)
        self.store.put(TARGET_TABLE, target.target_id, None)

    # Instances.

    async def start_instance(self, name: str) -> Process:
        """Start a process."""
        self.incarnations += 1
        gate = Gate()
        gate.open.set()
        store = StoreClient(self.store, gate=gate.wait)
        targets = TargetsClient(self.targets, self.generator, gate.wait)
        instance = create_instance(
            Identity(
                name,
                f"life-{self.incarnations}",
                name,
                self.zones[0],
                "region",
                self.processors.get(name, 1.0),
            ),
            store,
            targets,
            EmulatedDecoder(),
            self.peers_of(name, gate.wait),
            self.clock,
            create_metrics(),
            random.Random(self.generator.random()),
        )
        process = Process(instance, store, targets, gate)
        self.processes[name] = process
        await instance.start()
        return process

    async def kill(self, name: str) -> None:
        """End a process at once."""
        process = self.processes.pop(name)
        process.gate.open.set()
        instance = process.instance
        instance.election.term = None
        for task in instance.tasks:
            task.cancel()
        if instance.leader is not None:
            for task in instance.leader.tasks:
                task.cancel()
        if instance.leader_task is not None:
            instance.leader_task.cancel()
        await asyncio.sleep(0)

    async def stop_gracefully(self, name: str) -> None:
        """Stop a process as planned."""
        process = self.processes.pop(name)
        await process.instance.begin_shutdown()
        await process.instance.stop()

    def leader_name(self) -> str | None:
        """Return the instance with the newest term that it believes in."""
        leading = [
            (process.instance.election.term.epoch, name)
            for name, process in self.processes.items()
            if process.instance.election.term is not None
        ]
        return max(leading)[1] if leading else None

    async def stop(self) -> None:
        """End everything."""
        for name in list(self.processes):
            await self.kill(name)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Callers.

    def caller(self, queue: str) -> Caller:
        """Return a caller of a queue."""
        for entry in self.configuration.queues:
            if entry.name == queue:
                return Caller(entry, ORGANISATION, self.configuration.version)
        raise KeyError(queue)

    async def submit(
        self,
        job_id: str,
        spec: JobSpec,
        work_seconds: float,
        queue: str = "normal",
        at: str | None = None,
        failing_attempts: int = 0,
    ) -> Result[bool, IntakeRefusal]:
        """Submit a job at an instance, by default the first that runs."""
        self.checker.jobs.setdefault(
            job_id,
            JobTruth(spec, work_seconds, failing_attempts=failing_attempts),
        )
        name = at or next(iter(self.processes))
        deadline = self.clock.boottime() + 3.0
        intake = self.processes[name].instance.intake
        return await intake.submit(self.caller(queue), job_id, spec, deadline)

    async def cancel(self, job_id: str) -> Result[JobState, IntakeRefusal]:
        """Cancel a job at the first instance that runs."""
        process = next(iter(self.processes.values()))
        deadline = self.clock.boottime() + 3.0
        result = await process.instance.intake.cancel(job_id, deadline)
        if isinstance(result, Success):
            self.checker.jobs[job_id].cancelled_at = self.clock.boottime()
        return result

    async def state(self, job_id: str) -> JobState | None:
        """Return a job's state, or ``None`` without an answer."""
        process = next(iter(self.processes.values()))
        result = await process.instance.intake.state(job_id)
        return None if isinstance(result, Failure) else result.unwrap()

    async def wait_for_state(
        self, job_id: str, wanted: JobState, seconds: float
    ) -> float | None:
        """Return after how many seconds the job was in a state, or ``None``."""
        started = self.clock.boottime()
        while self.clock.boottime() - started < seconds:
            if await self.state(job_id) is wanted:
                return self.clock.boottime() - started
            await asyncio.sleep(0.05)
        return None


def queue(name: str, priority: int) -> Queue:
    """Return a queue of the emulated service."""
    return Queue(
        name=name,
        host="host",
        path_prefix=f"/{name}/",
        service=SERVICE,
        priority=priority,
        attempts=4,
        slack_factor=3.0,
        latency_target_ms=1000,
        public=False,
    )


def configuration(version: int = 1) -> Configuration:
    """Return a configuration with an urgent, a normal and a patient queue."""
    return Configuration(
        version=version,
        queues=(queue("urgent", 0), queue("normal", 1), queue("patient", 2)),
        organisations=(Organisation(ORGANISATION, frozenset({KEY}), 16),),
        max_body_bytes=262_144,
    )
