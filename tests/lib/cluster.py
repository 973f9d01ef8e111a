"""Several instances in one process and in virtual time, with random faults.

A frozen instance blocks at each call to the store or a peer and at each timer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from egretloft._internal.codec import decode
from egretloft._internal.coordination.assembly import Coordination, create_coordination
from egretloft._internal.coordination.rows import HEAD_KEY, HeadRow
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.members import Member
from egretloft._internal.platform.protocols import (
    Committed,
    Row,
    Scan,
    StoreFailure,
    StoreFailureKind,
    Transaction,
)
from lib.peer_fakes import PeerHub, create_fake_peers
from lib.virtual_time import LoopClock
from standins.table_state import TableState

ZONES = ("zone-1", "zone-2")
PARTITIONS = ("gangs/region-1", "runners/service-1/zone-1", "runners/service-1/zone-2")
PROBE_SECONDS = 0.05
FRESH_SECONDS = 2.5


class StoreFault(StrEnum):
    """The fault of one instance's calls to the store."""

    NONE = "none"
    DOWN = "down"
    HANGING = "hanging"
    LOST_ANSWER = "lost_answer"
    SLOW = "slow"
    LAGGING = "lagging"
    READ_ONLY = "read_only"


@dataclass(slots=True)
class SimulatedTable:
    """One instance's client of the shared state.

    A commit that was sent goes on even if the caller is cancelled.
    """

    state: TableState
    generator: random.Random
    wait_until_thawed: Callable[[], Awaitable[None]]
    on_commit: Callable[[], None]
    highest_known: Callable[[], int]
    fault: StoreFault = StoreFault.NONE
    snapshot: TableState | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def set_fault(self, fault: StoreFault) -> None:
        self.fault = fault
        self.snapshot = TableState(self.state.version, dict(self.state.rows))

    async def delay(self) -> None:
        slow = self.fault is StoreFault.SLOW or self.generator.random() < 0.02
        await asyncio.sleep(self.generator.uniform(0.001, 1.5 if slow else 0.02))

    def failure(self, kind: StoreFailureKind) -> Failure[StoreFailure]:
        return Failure(StoreFailure(kind, "simulated"))

    async def read_state(self) -> TableState | None:
        await self.wait_until_thawed()
        await self.delay()
        if self.fault is StoreFault.HANGING:
            await asyncio.sleep(3600)
        if self.fault is StoreFault.LAGGING and self.snapshot is not None:
            return self.snapshot
        return None if self.fault is StoreFault.DOWN else self.state

    async def read(self, key: str) -> Result[Row | None, StoreFailure]:
        source = await self.read_state()
        if source is None:
            return self.failure(StoreFailureKind.NOT_APPLIED)
        row = source.read(key)
        await self.delay()
        await self.wait_until_thawed()
        return Success(row)

    async def scan(self, prefix: str, after_version: int) -> Result[Scan, StoreFailure]:
        known = self.highest_known()
        source = await self.read_state()
        if source is None:
            return self.failure(StoreFailureKind.NOT_APPLIED)
        # The platform is assumed to show when a scan lags, by an ``as_of`` below the
        # highest version that the caller has heard of.
        if source.version >= known:
            source = self.state
        scan = source.scan(prefix, after_version)
        await self.delay()
        await self.wait_until_thawed()
        return Success(scan)

    async def commit(self, transaction: Transaction) -> Result[Committed, StoreFailure]:
        await self.wait_until_thawed()
        if self.fault in {StoreFault.DOWN, StoreFault.READ_ONLY}:
            return self.failure(StoreFailureKind.NOT_APPLIED)
        answer: asyncio.Future[Result[Committed, StoreFailure]] = asyncio.Future()
        task = asyncio.create_task(self.apply(transaction, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            return await answer
        finally:
            await self.wait_until_thawed()

    async def apply(
        self,
        transaction: Transaction,
        answer: asyncio.Future[Result[Committed, StoreFailure]],
    ) -> None:
        fault = self.fault
        if fault is StoreFault.HANGING and self.generator.random() < 0.5:
            # Delayed for so long that it may be applied after the fault has ended.
            await asyncio.sleep(self.generator.uniform(0.5, 8.0))
        await self.delay()
        lost = fault is StoreFault.LOST_ANSWER and self.generator.random() < 0.7
        if lost and self.generator.random() < 0.3:
            result: Result[Committed, StoreFailure] = self.failure(
                StoreFailureKind.UNKNOWN
            )
        else:
            committed = self.state.commit(transaction)
            self.on_commit()
            result = (
                self.failure(StoreFailureKind.CONFLICT)
                if committed is None
                else Success(committed)
            )
        await self.delay()
        if fault is StoreFault.HANGING:
            return
        if lost:
            result = self.failure(StoreFailureKind.UNKNOWN)
        if not answer.done():
            answer.set_result(result)


class Process:
    """One start of an instance."""

    def __init__(self, cluster: Cluster, instance_id: str, zone: str) -> None:
        self.cluster = cluster
        generator = random.Random(cluster.generator.random())
        incarnation = f"{generator.getrandbits(32):08x}"
        self.name = f"{instance_id}/{incarnation}"
        self.member = Member(instance_id, incarnation, "", self.name, "region-1", zone)
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.alive = True
        self.table = SimulatedTable(
            cluster.state,
            generator,
            self.wait_until_thawed,
            cluster.on_commit,
            lambda: self.parts.view.highest_known(),
        )
        self.metrics = create_metrics()
        self.parts: Coordination = create_coordination(
            self.member,
            self.table,
            create_fake_peers(cluster.hub, self.member, self.wait_until_thawed),
            LoopClock(generator.uniform(0, 1e6)),
            self.metrics,
            generator,
            lambda profiles: None,
            lambda: ZONES,
            cluster.is_listed,
        )
        self.seen_version = 0
        self.parts.ownership.set_candidates(PARTITIONS)
        self.tasks = [asyncio.create_task(self.run())]

    async def wait_until_thawed(self) -> None:
        while not self.thawed.is_set():
            await self.thawed.wait()

    async def run(self) -> None:
        await self.parts.roster.join()
        for period, work in (
            (1.0, self.parts.view.refresh),
            (1.0, self.parts.roster.beat),
            (0.25, self.parts.ownership.tick),
        ):
            self.tasks.append(asyncio.create_task(self.repeat(period, work)))

    async def repeat(self, period: float, work: Callable[[], Awaitable[None]]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            await self.wait_until_thawed()
            await work()
            spread = self.cluster.generator.uniform(0.95, 1.05)
            await asyncio.sleep(max(0.0, started + period * spread - loop.time()))

    def kill(self) -> None:
        self.alive = False
        self.cluster.hub.networks.pop(self.member.peer_address, None)
        for task in self.tasks:
            task.cancel()

    async def change_zone(self) -> None:
        view = self.parts.view
        zone = self.cluster.generator.choice(ZONES)
        result = await self.parts.configuration.set_zone(
            zone, not view.zone_in_service(zone), view.config_version
        )
        outcome = "accepted" if isinstance(result, Success) else result.failure().reason
        self.cluster.metrics.count("changes", outcome=outcome)


class Cluster:
    """Processes that share one store, and checks of their invariants."""

    def __init__(self, seed: int, size: int) -> None:
        self.seed = seed
        self.generator = random.Random(seed)
        self.metrics = create_metrics()
        self.state = TableState()
        self.hub = PeerHub(latency=self.latency)
        self.commits: list[tuple[float, int]] = []
        self.processes: list[Process] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.zones = {f"i{n}": ZONES[n % len(ZONES)] for n in range(size)}
        for instance_id in self.zones:
            self.start(instance_id)

    async def latency(self) -> None:
        slow = self.generator.random() < 0.02
        await asyncio.sleep(self.generator.uniform(0.001, 1.0 if slow else 0.01))

    def start(self, instance_id: str) -> Process:
        process = Process(self, instance_id, self.zones[instance_id])
        self.processes.append(process)
        return process

    def spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def living(self) -> list[Process]:
        return [process for process in self.processes if process.alive]

    def is_listed(self, instance_id: str) -> bool:
        return any(p.member.instance_id == instance_id for p in self.living())

    def on_commit(self) -> None:
        row = self.state.rows.get(HEAD_KEY)
        if row is not None and row.value is not None:
            version = decode(row.value, HeadRow).unwrap().version
            if not self.commits or self.commits[-1][1] != version:
                now = asyncio.get_running_loop().time()
                self.commits.append((now, version))

    def check(self) -> None:
        """Check the invariants for all processes that are not frozen."""
        now = asyncio.get_running_loop().time()
        due = [v for at, v in self.commits if at < now - FRESH_SECONDS]
        required = due[-1] if due else 0
        holders: dict[str, str] = {}
        for process in self.living():
            if not process.thawed.is_set():
                continue
            view = process.parts.view
            context = f"seed {self.seed}, {process.name}, at {now:.3f}"
            assert view.config_version >= process.seen_version, context
            process.seen_version = view.config_version
            if view.is_fresh():
                assert view.config_version >= required, context
                self.metrics.count("fresh_probes")
                agreed = view.agreed_at
                if agreed is not None and agreed == view.confirmed_at:
                    self.metrics.count("agreement_probes")
            for partition in PARTITIONS:
                if process.parts.ownership.holds(partition) is not None:
                    other = holders.setdefault(partition, process.name)
                    assert other == process.name, f"{context}, {other}, {partition}"
                    self.metrics.count("holding_probes")

    async def probe(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(PROBE_SECONDS)
            self.check()
            for process in self.living():
                for task in process.tasks:
                    if task.done() and not task.cancelled():
                        task.result()

    async def recover(self, seconds: float = 20.0) -> None:
        """End all faults and run for ``seconds``, so that the cluster recovers."""
        self.hub.cut.clear()
        for process in self.living():
            process.table.set_fault(StoreFault.NONE)
            process.thawed.set()
        await self.probe(seconds)

    async def close(self) -> None:
        for process in self.processes:
            process.kill()
        current = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not current]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
