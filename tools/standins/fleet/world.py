"""A whole deployment in virtual time: instances, store and targets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from returns.result import Failure, Result, Success

from egretloft._internal import codec
from egretloft._internal.fleet.instance import Identity, Instance, create_instance
from egretloft._internal.fleet.intake import (
    Caller,
    IntakeRefusal,
    IntakeRefusalKind,
)
from egretloft._internal.fleet.interfaces import StoredRow, Targets
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
from standins.fleet.cuts import ZoneCuts
from standins.fleet.store import EmulatedStore, StoreClient
from standins.fleet.targets import EmulatedTarget, TargetsClient

OPERATOR_TABLE = "op"
TARGET_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
REGISTRATION_PERIOD_SECONDS = 1.5
MAX_MISSED_REGISTRATIONS = 3
WALL_OFFSET = 1_800_000_000.0
SERVICE = "service"
ORGANISATION = "kennel"
API_KEY = "key-1"
WHOLE_TARGET = Resources(64_000, 262_144, 8)
TARGETS_PER_RACK = 4


class EmulatedPeers(Peers, Protocol):
    """The peer network of an emulated process."""

    def close(self) -> None:
        """Close all connections, as the process has ended."""


PeersFactory = Callable[[str, Callable[[], Awaitable[None]], ZoneCuts], EmulatedPeers]


class EmulatedDecoder:
    """Decodes rows of operators and targets that are in the internal encoding."""

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
        """Return the zone that the row takes out of service, or ``None``."""
        if not row.key.key.startswith(EVACUATE_PREFIX):
            return None
        return row.key.key.removeprefix(EVACUATE_PREFIX)

    def target(self, row: StoredRow) -> Result[TargetReport, str]:
        """Return the report of a target's row."""
        return codec.decode(row.value or b"", TargetReport)


@dataclass(slots=True)
class LoopFleetClock:
    """Clock that reads the virtual time of the event loop.

    Its wall time is ahead of true time by ``wall_error`` seconds.
    """

    wall_error: float = 0.0

    def boottime(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return virtual Unix time."""
        return asyncio.get_running_loop().time() + WALL_OFFSET + self.wall_error


@dataclass(slots=True)
class Gate:
    """Blocks the calls of a process while it is frozen."""

    open: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait(self) -> None:
        """Wait until the process is not frozen."""
        await self.open.wait()


@dataclass(slots=True)
class Process:
    """One incarnation of an instance, with its clients of the store and targets."""

    instance: Instance
    clock: LoopFleetClock
    store: StoreClient
    targets: TargetsClient
    peers: EmulatedPeers
    gate: Gate


class FleetWorld:
    """A deployment of ``instance_count`` instances and ``target_count`` targets.

    ``wrap_targets`` returns the client of an instance around the given one. Instances
    are in the first zone, or spread over all ``zones`` with ``spreads_instances``.
    """

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
        wrap_targets: Callable[[Targets], Targets] | None = None,
        spreads_instances: bool = False,
    ) -> None:
        self.wrap_targets = wrap_targets
        self.cuts = ZoneCuts()
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
        for number, name in enumerate(self.instance_names):
            zone_number = number % len(zones) if spreads_instances else 0
            self.cuts.zone_of[name] = zones[zone_number]

    def add_target(self, number: int) -> EmulatedTarget:
        """Add a target, whose clock has a random offset."""
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
        self.cuts.zone_of[target.target_id] = target.zone
        return target

    async def start(self) -> None:
        """Write the configuration, start targets and instances, and let them settle."""
        self.put_configuration(self.configuration)
        for target in self.targets.values():
            self.spawn_registration(target)
        for name in self.instance_names:
            await self.start_instance(name)
        await asyncio.sleep(REGISTRATION_PERIOD_SECONDS * 2)

    def put_configuration(self, wanted: Configuration) -> None:
        """Write a configuration to the operators' table."""
        self.configuration = wanted
        self.store.put(OPERATOR_TABLE, CONFIG_KEY, codec.encode(wanted))

    def evacuate(self, zone: str, out: bool = True) -> None:
        """Take a zone out of service, or bring it back."""
        value = b"{}" if out else None
        self.store.put(OPERATOR_TABLE, EVACUATE_PREFIX + zone, value)

    async def drain(self, target: EmulatedTarget, seconds: float) -> None:
        """Announce that a target leaves, and let it leave after ``seconds``."""
        target.draining = True
        target.leaves_at = self.clock.boottime() + seconds
        self.store.put(TARGET_TABLE, target.target_id, codec.encode(target.report()))
        await asyncio.sleep(seconds)
        target.crash()
        target.cut = True
        target.removed = True

    def spawn_registration(self, target: EmulatedTarget) -> None:
        """Start the periodic registration of a target."""
        self.tasks.append(asyncio.create_task(self.register_periodically(target)))

    async def register_periodically(self, target: EmulatedTarget) -> None:
        """Register a target as often as the platform asks, until it is removed.

        A target that is cut off, or in a zone that is, for several periods loses its
        row.
        """
        await asyncio.sleep(self.generator.uniform(0, REGISTRATION_PERIOD_SECONDS))
        missed = 0
        while not target.removed:
            if target.cut or self.cuts.hides_store(target.target_id):
                missed += 1
                if missed == MAX_MISSED_REGISTRATIONS:
                    self.store.put(TARGET_TABLE, target.target_id, None)
            else:
                missed = 0
                value = codec.encode(target.report())
                self.store.put(TARGET_TABLE, target.target_id, value)
            await asyncio.sleep(REGISTRATION_PERIOD_SECONDS)
        self.store.put(TARGET_TABLE, target.target_id, None)

    # Instances.

    async def start_instance(self, name: str) -> Process:
        """Start an instance as a new incarnation."""
        self.incarnations += 1
        gate = Gate()
        gate.open.set()
        cuts = self.cuts
        store = StoreClient(
            self.store,
            wait_until_thawed=gate.wait,
            is_cut_off=lambda: cuts.hides_store(name),
        )
        targets = TargetsClient(
            self.targets,
            self.generator,
            gate.wait,
            is_separated=lambda target_id: cuts.separates(name, target_id),
        )
        peers = self.peers_of(name, gate.wait, cuts)
        clock = LoopFleetClock()
        instance = create_instance(
            Identity(
                name,
                f"life-{self.incarnations}",
                name,
                cuts.zone_of.setdefault(name, self.zones[0]),
                "region",
                self.processors.get(name, 1.0),
            ),
            store,
            targets if self.wrap_targets is None else self.wrap_targets(targets),
            EmulatedDecoder(),
            peers,
            clock,
            create_metrics(),
            random.Random(self.generator.random()),
        )
        process = Process(instance, clock, store, targets, peers, gate)
        self.processes[name] = process
        await instance.start()
        return process

    async def kill(self, name: str) -> None:
        """End an instance at once, without any cleanup."""
        process = self.processes.pop(name)
        process.peers.close()
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
        """Shut an instance down gracefully."""
        process = self.processes.pop(name)
        await process.instance.begin_shutdown()
        await process.instance.stop()
        process.peers.close()

    def leader_name(self) -> str | None:
        """Return the instance that leads with the highest epoch, or ``None``."""
        leading = [
            (process.instance.election.term.epoch, name)
            for name, process in self.processes.items()
            if process.instance.election.term is not None
        ]
        return max(leading)[1] if leading else None

    async def stop(self) -> None:
        """Kill all instances and stop all registrations."""
        for name in list(self.processes):
            await self.kill(name)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Callers.

    def caller(self, queue: str, organisation: str = ORGANISATION) -> Caller:
        """Return a caller of an organisation that is authorised for a queue."""
        for entry in self.configuration.queues:
            if entry.name == queue:
                return Caller(entry, organisation, self.configuration.version)
        raise KeyError(queue)

    async def submit(
        self,
        job_id: str,
        spec: JobSpec,
        work_seconds: float,
        queue: str = "normal",
        at: str | None = None,
        failing_attempts: int = 0,
        crashing_tasks: Collection[int] = (),
        organisation: str = ORGANISATION,
    ) -> Result[bool, IntakeRefusal]:
        """Submit a job at an instance, by default the first that runs.

        ``work_seconds``, ``failing_attempts`` and ``crashing_tasks`` are those of
        ``JobTruth``.
        """
        self.checker.jobs.setdefault(
            job_id,
            JobTruth(
                spec,
                work_seconds,
                failing_attempts=failing_attempts,
                crashing_tasks=frozenset(crashing_tasks),
            ),
        )
        name = at or next(iter(self.processes))
        deadline = self.clock.boottime() + 3.0
        intake = self.processes[name].instance.intake
        caller = self.caller(queue, organisation)
        return await intake.submit(caller, job_id, spec, deadline)

    async def cancel(self, job_id: str) -> Result[JobState, IntakeRefusal]:
        """Cancel a job at the first instance that runs.

        That the job is unknown acknowledges the cancellation as well.
        """
        process = next(iter(self.processes.values()))
        deadline = self.clock.boottime() + 3.0
        result = await process.instance.intake.cancel(job_id, deadline)
        if is_cancel_acknowledged(result):
            self.checker.jobs[job_id].cancelled_at = self.clock.boottime()
        return result

    async def state(self, job_id: str) -> JobState | None:
        """Return a job's state, or ``None`` if the query failed."""
        process = next(iter(self.processes.values()))
        result = await process.instance.intake.state(job_id)
        return None if isinstance(result, Failure) else result.unwrap()

    async def wait_for_state(
        self, job_id: str, wanted: JobState, seconds: float
    ) -> float | None:
        """Return the seconds until the job reached a state, or ``None`` on timeout."""
        started = self.clock.boottime()
        while self.clock.boottime() - started < seconds:
            if await self.state(job_id) is wanted:
                return self.clock.boottime() - started
            await asyncio.sleep(0.05)
        return None


def is_cancel_acknowledged(result: Result[JobState, IntakeRefusal]) -> bool:
    """Return whether a caller who gets this answer need not cancel again."""
    if isinstance(result, Success):
        return True
    return result.failure().kind is IntakeRefusalKind.NO_SUCH_JOB


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
    """Return a configuration with the queues urgent, normal and patient."""
    return Configuration(
        version=version,
        queues=(queue("urgent", 0), queue("normal", 1), queue("patient", 2)),
        organisations=(Organisation(ORGANISATION, frozenset({API_KEY}), 16),),
        max_body_bytes=262_144,
    )
