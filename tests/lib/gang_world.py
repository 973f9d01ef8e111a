"""Gang owners, workers and a table in simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from egretloft._internal.codec import decode
from egretloft._internal.gangs.owner import GangOwner, create_gang_owner
from egretloft._internal.gangs.records import (
    JobTable,
    create_job_table,
    derive_job_id,
    job_key,
)
from egretloft._internal.gangs.service import JobService, create_job_service
from egretloft._internal.metrics import Metrics, create_metrics
from egretloft._internal.models.jobs import JobRecord, JobSpec, JobState
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    Row,
    Scan,
    StoreFailure,
    StoreFailureKind,
    Transaction,
    Write,
)
from lib.builders import build_profile, build_workers
from lib.fakes import Fault, MemoryTable
from lib.first_fit import FirstFitScheduler
from lib.simulated_time import SimulatedTime
from lib.worker_fakes import FakeWorkerClient, FakeWorkers
from standins.table_state import TableState

REGION = "region-1"
EPOCH_KEY = f"control/epoch/gangs/{REGION}"
OWNERSHIP_VALID_SECONDS = 2.0
TAKEOVER_AFTER_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class FakeEpoch:
    number: int
    version: int
    key: str = EPOCH_KEY
    partition: str = f"gangs/{REGION}"


@dataclass(slots=True)
class NodeTable:
    """A table client whose calls block while its node is frozen."""

    inner: MemoryTable
    running: asyncio.Event
    # Called with each transaction before it is sent; may set a fault.
    before_commit: Callable[[Transaction], None] = lambda transaction: None

    async def read(self, key: str) -> Result[Row | None, StoreFailure]:
        await self.running.wait()
        result = await self.inner.read(key)
        await self.running.wait()
        return result

    async def scan(self, prefix: str, after_version: int) -> Result[Scan, StoreFailure]:
        await self.running.wait()
        result = await self.inner.scan(prefix, after_version)
        await self.running.wait()
        return result

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreFailure]:
        await self.running.wait()
        self.before_commit(transaction)
        result = await self.inner.commit(transaction)
        await self.running.wait()
        return result


@dataclass(slots=True)
class ReadBackWriter:
    """A simplified safe writer: one try, and one read-back after an unknown outcome."""

    table: NodeTable
    name: str
    number: int = 0

    async def commit(
        self, checks: Sequence[Check], writes: Sequence[Write], timeout_seconds: float
    ) -> Result[Committed, StoreFailure]:
        self.number += 1
        operation = f"{self.name}-{self.number}"
        result = await self.table.commit(
            Transaction(operation, tuple(checks), tuple(writes))
        )
        match result:
            case Failure(failure) if failure.kind is StoreFailureKind.UNKNOWN:
                match await self.table.read(writes[0].key):
                    case Success(Row() as row) if operation in row.operations:
                        return Success(Committed(row.version))
        return result


@dataclass(slots=True)
class Node:
    """One instance, which also implements ``Ownership``, ``View`` and ``Topology``."""

    name: str
    world: World
    running: asyncio.Event = field(default_factory=asyncio.Event)
    table: MemoryTable = field(default_factory=MemoryTable)
    confirmed_at: float = 0.0
    crashed: bool = False
    schedulers: list[FirstFitScheduler] = field(default_factory=list)
    metrics: Metrics = field(default_factory=create_metrics)
    node_table: NodeTable = field(init=False)
    client: FakeWorkerClient = field(init=False)
    jobs: JobTable = field(init=False)
    owner: GangOwner = field(init=False)
    service: JobService = field(init=False)

    def __post_init__(self) -> None:
        world = self.world
        self.running.set()
        self.confirmed_at = world.time.clock.now
        self.table.state = world.state
        self.node_table = table = NodeTable(self.table, self.running)
        self.client = FakeWorkerClient(world.fakes, self.running)
        writer = ReadBackWriter(table, self.name)
        self.jobs = create_job_table(REGION, table, writer, self.metrics)
        self.owner = create_gang_owner(
            jobs=self.jobs,
            clock=world.time.clock,
            sleep=self.sleep,
            client=self.client,
            ownership=self,
            view=self,
            topology=self,
            accounting=world.accounting,
            metrics=self.metrics,
            create_scheduler=self.create_scheduler,
        )
        self.service = create_job_service(
            jobs=self.jobs,
            view=self,
            topology=self,
            clock=world.time.clock,
            metrics=self.metrics,
            check_job=lambda *_: None,
        )

    def create_scheduler(self) -> FirstFitScheduler:
        self.schedulers.append(FirstFitScheduler())
        return self.schedulers[-1]

    async def sleep(self, seconds: float) -> None:
        await self.world.time.sleep(seconds)
        await self.running.wait()

    # Ownership
    def holds(self, partition: str) -> FakeEpoch | None:
        fresh = self.world.time.clock.now - self.confirmed_at <= OWNERSHIP_VALID_SECONDS
        return self.world.epoch if fresh and self.world.owner is self else None

    # View
    @property
    def profiles(self) -> dict[str, Profile]:
        return self.world.profiles

    def row_version(self, key: str) -> int:
        row = self.world.state.rows.get(key)
        return row.version if row is not None and row.value is not None else 0

    def is_fresh(self) -> bool:
        return self.world.time.clock.now - self.confirmed_at <= 2.5

    def zone_in_service(self, zone: str) -> bool:
        return zone not in self.world.zones_out

    # Topology
    @property
    def workers(self) -> dict[str, Worker]:
        return self.world.workers

    def is_leaving(self, instance_id: str) -> bool:
        return instance_id in self.world.leaving

    def fail_commit(self, state: JobState, fault: Fault, calls: int) -> None:
        """Inject a fault into the next transaction that writes a job in ``state``."""

        def before_commit(transaction: Transaction) -> None:
            for write in transaction.writes:
                if not write.key.startswith("job/") or write.value is None:
                    continue
                if decode(write.value, JobRecord).unwrap().state is state:
                    self.node_table.before_commit = lambda transaction: None
                    self.table.fault, self.table.fault_calls = fault, calls

        self.node_table.before_commit = before_commit

    def freeze(self) -> None:
        self.running.clear()

    def resume(self) -> None:
        self.running.set()


@dataclass(slots=True)
class RecordedRuns:
    """Accounting that writes one row for each run, keyed by job and attempt."""

    time: SimulatedTime

    def run_rows(
        self, record: JobRecord, started_at: float, ended_at: float
    ) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
        key = f"usage/test/{record.spec.job_id}/{record.attempt}"
        return (), (Write(key, f"{started_at} {ended_at}".encode()),)

    async def refresh(self) -> None:
        pass


class World:
    """Several nodes over one table.

    When the owner does not confirm its ownership for ``TAKEOVER_AFTER_SECONDS``, the
    first live node takes over.
    """

    def __init__(self, workers: list[Worker] | None = None, nodes: int = 2) -> None:
        self.time = SimulatedTime()
        self.state = TableState()
        listed = workers or build_workers()
        self.workers = {w.worker_id: replace(w, address=w.worker_id) for w in listed}
        self.fakes = FakeWorkers.create(self.time, listed)
        self.accounting = RecordedRuns(self.time)
        self.profiles = {"org-a": build_profile()}
        self.zones_out: set[str] = set()
        # While set, no node can confirm its ownership or view, or take over.
        self.confirmations_fail = False
        self.leaving: set[str] = set()
        self.write("control/profile/org-a", b"profile")
        self.write(EPOCH_KEY, b"1")
        self.epoch = FakeEpoch(1, self.state.version)
        self.nodes = [Node(f"node-{index}", self) for index in range(nodes)]
        self.owner = self.nodes[0]
        self.time.each_step.append(self._step)

    def write(self, key: str, value: bytes) -> None:
        """Write a row directly, without injected faults."""
        number = self.state.version + 1
        self.state.commit(Transaction(f"world-{number}", (), (Write(key, value),)))

    def set_zone(self, zone: str, *, in_service: bool) -> None:
        (self.zones_out.discard if in_service else self.zones_out.add)(zone)
        self.write(f"control/zone/{zone}", b"in" if in_service else b"out")

    def set_fault(self, fault: Fault) -> None:
        for node in self.nodes:
            node.table.fault, node.table.fault_calls = fault, -1

    async def submit(self, spec: JobSpec, node: int = 0) -> str:
        result = await self.nodes[node].service.submit(spec, spec.job_id)
        result.unwrap()
        return derive_job_id(spec.organisation, spec.job_id)

    def record(self, job_id: str) -> JobRecord:
        row = self.state.rows[job_key(REGION, job_id)]
        assert row.value is not None
        return decode(row.value, JobRecord).unwrap()

    def runs(self, job_id: str) -> list[str]:
        prefix = f"usage/test/{job_id}/"
        return [key for key in self.state.rows if key.startswith(prefix)]

    def scheduler(self) -> FirstFitScheduler:
        return self.owner.schedulers[-1]

    def check_invariants(self, partial_seconds: float = 0.0) -> None:
        """Check that no incomplete gang worked for longer than ``partial_seconds``.

        Also checks that no two attempts of a job worked at the same time and that no
        accelerator was used by two tasks.
        """
        worst = max(self.fakes.longest_partial.values(), default=0.0)
        assert worst <= partial_seconds
        assert self.fakes.simultaneous_attempts == 0
        assert self.fakes.shared_accelerators == 0

    async def _step(self) -> None:
        now = self.time.clock.now
        for node in self.nodes:
            if node.crashed or not node.running.is_set():
                continue
            if self.confirmations_fail:
                await node.owner.tick()
                continue
            waited = now - self.owner.confirmed_at
            if self.owner is not node and waited >= TAKEOVER_AFTER_SECONDS:
                number = self.epoch.number + 1
                self.write(EPOCH_KEY, str(number).encode())
                self.epoch = FakeEpoch(number, self.state.version)
                self.owner = node
            node.confirmed_at = now
            await node.owner.tick()
        await self.time.settle()
        await self.fakes.observe()
