"""One instance: table watchers, peers, election, admission and the elected leader."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import structlog
from returns.result import Failure, Success

from egretloft._internal import codec
from egretloft._internal.fleet.admission import Admission, create_admission
from egretloft._internal.fleet.agreed_time import AgreedTime, create_agreed_time
from egretloft._internal.fleet.constants import (
    DISTANT_FEED_PAUSE_SECONDS,
    FEED_RETRY_SECONDS,
    INSTANCE_PREFIX,
    MAX_PROMPT_CANDIDATES,
    PARTITION,
    STORE_CALL_TIMEOUT_SECONDS,
    TABLE_CONTROL,
)
from egretloft._internal.fleet.election import (
    LEADER_KEY,
    Election,
    Term,
    create_election,
)
from egretloft._internal.fleet.intake import Intake, create_intake
from egretloft._internal.fleet.interfaces import (
    Expectation,
    FleetClock,
    RowDecoder,
    RowKey,
    RowStore,
    RowTransaction,
    StoredRow,
    StoreFailureKind,
    Targets,
)
from egretloft._internal.fleet.leader import Leader
from egretloft._internal.fleet.links import Links, create_links
from egretloft._internal.fleet.member_expiry import (
    MemberExpiry,
    create_member_expiry,
)
from egretloft._internal.fleet.operators import OperatorView, create_operator_view
from egretloft._internal.fleet.pledges import Pledges, create_pledges
from egretloft._internal.fleet.records import InstanceRecord
from egretloft._internal.fleet.store_access import StoreAccess, create_store_access
from egretloft._internal.fleet.succession import Succession, create_succession
from egretloft._internal.fleet.supervision import apply_each, keep_running
from egretloft._internal.fleet.watching import TableWatcher, create_table_watcher
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.members import Member
from egretloft._internal.peers.protocols import Peers

log = structlog.get_logger(__name__)

ELECTION_TICK_SECONDS = 0.05
# The links to the peers are chosen anew this often, to replace peers that are missing.
LINKS_SECONDS = 1.0
# The leader hands over once a larger instance has been able to lead for this long.
YIELD_SECONDS = 2.0
# The leader looks for members that are gone this often.
MEMBER_EXPIRY_PERIOD_SECONDS = 1.0
# An instance that has not reached the store for this long is not ready, unless its
# peers do not reach the store either.
READY_WITHOUT_STORE_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class Identity:
    """Identity and location; ``processors`` is the machine's size in cores."""

    instance_id: str
    incarnation: str
    peer_address: str
    zone: str
    region: str
    processors: float = 1.0


class Instance:
    """Owns the components of one process and runs their periodic work."""

    def __init__(
        self,
        identity: Identity,
        direct_store: RowStore,
        targets: Targets,
        decoder: RowDecoder,
        peers: Peers,
        clock: FleetClock,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self.identity = identity
        self.targets = targets
        self.decoder = decoder
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.members: dict[str, InstanceRecord] = {}
        self.member_versions: dict[str, int] = {}
        self.unregistered = asyncio.Event()
        self.unregistered.set()
        self.store: StoreAccess = create_store_access(
            direct_store, peers, self.peer_ids, clock, metrics
        )
        self.agreed_time: AgreedTime = create_agreed_time(peers, clock)
        self.operators: OperatorView = create_operator_view(decoder, metrics)
        self.intake: Intake = create_intake(
            self.store, clock, metrics, self.store.outage_seconds
        )
        self.succession: Succession = create_succession(
            identity.instance_id, identity.processors, self.members.values, peers
        )
        self.election: Election = create_election(
            self.store,
            clock,
            identity.instance_id,
            identity.incarnation,
            generator,
            self.waiting_counts,
            self.succession.larger_instance,
            self.store.delay_seconds,
            lambda: not self.control_watcher.failing,
            self,
        )
        self.member_expiry: MemberExpiry = create_member_expiry()
        self.pledges: Pledges = create_pledges(
            peers, self.possible_peers, self.store.is_lost, self.election, clock
        )
        self.links: Links = create_links(
            identity.instance_id,
            self.members.values,
            self.leader_id,
            self.store.is_lost,
            peers,
            clock,
        )
        self.control_watcher: TableWatcher = create_table_watcher(
            self.store,
            clock,
            TABLE_CONTROL,
            (PARTITION,),
            self.on_control_snapshot,
            self.on_control_rows,
            self.control_pause_seconds,
            self.election.on_rows_regained,
        )
        self.operator_watcher: TableWatcher = create_table_watcher(
            self.store,
            clock,
            decoder.operator_table(),
            ("",),
            self.operators.on_snapshot,
            self.operators.on_rows,
        )
        self.leader: Leader | None = None
        self.leader_task: asyncio.Task[None] | None = None
        self.tasks: list[asyncio.Task[Any]] = []
        self.stopping = False
        self.larger_since: float | None = None

    # Start and stop.

    async def start(self) -> None:
        """Start all periodic work."""
        works: dict[str, Callable[[], Awaitable[None]]] = {
            "control_watcher": self.control_watcher.run,
            "operator_watcher": self.operator_watcher.run,
            "store_probe": self.store.probe,
            "election": self.run_election,
            "links": self.maintain_links,
            "registration": self.stay_registered,
            "member_expiry": self.expire_members,
        }
        for name, work in works.items():
            task = asyncio.create_task(keep_running(name, work, self.metrics))
            self.tasks.append(task)

    async def begin_shutdown(self) -> None:
        """Begin a graceful shutdown: stop campaigning and hand over leadership."""
        self.stopping = True
        self.election.may_campaign = False
        await self.end_term(self.succession.larger_instance() or "")

    async def end_term(self, successor: str) -> None:
        """End our term, if any, so that another instance takes over at once.

        Pending changes are written first. ``successor`` may be empty.
        """
        leader = self.leader
        if leader is not None:
            leader.draining = True
            await leader.recorder.flush()
        await self.election.release(successor)
        if self.leader_task is not None:
            await asyncio.gather(self.leader_task, return_exceptions=True)

    async def stop(self) -> None:
        """Cancel all work and wait until it has ended."""
        for task in self.tasks:
            task.cancel()
        if self.leader_task is not None:
            self.leader_task.cancel()
            await asyncio.gather(self.leader_task, return_exceptions=True)
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def is_ready(self) -> bool:
        """Return whether this instance can serve callers."""
        if self.stopping or self.operators.current().configuration is None:
            return False
        if self.operator_watcher.staleness_seconds() <= READY_WITHOUT_STORE_SECONDS:
            return True
        # If no instance reaches the store, callers gain nothing from another one.
        return self.store.peers_lack_store()

    def create_admission(self, in_force_seconds: float) -> Admission:
        """Return an admission by the configuration that this instance follows."""
        return create_admission(
            lambda: self.operators.current().configuration,
            self.operator_watcher.staleness_seconds,
            self.store.outage_seconds,
            in_force_seconds,
        )

    # Peers.

    def peer_ids(self) -> list[str]:
        """Return the IDs of the other instances, those in the same zone first."""
        others = [m for m in self.members if m != self.identity.instance_id]
        zone = self.identity.zone
        return sorted(others, key=lambda m: (self.members[m].zone != zone, m))

    def possible_peers(self) -> list[str]:
        """Return the other instances, and those that may be without their rows."""
        returning = self.member_expiry.may_return(self.election.confirmed_at)
        return [*self.peer_ids(), *returning]

    def members_version(self) -> int:
        """Return the version up to which the instances' rows have been read."""
        return self.control_watcher.read_version

    def known_since(self) -> int | None:
        """Return the version with which this instance registered first, if it has."""
        record = self.members.get(self.identity.instance_id)
        if record is None:
            return None
        return record.known_since or self.member_versions[record.instance_id]

    def knows_others(self) -> bool:
        """Return whether any other instance is registered."""
        return bool(self.peer_ids())

    async def stay_registered(self) -> None:
        """Register at the start, and again whenever the leader has removed the row."""
        while True:
            await self.unregistered.wait()
            self.unregistered.clear()
            await self.register()

    async def register(self) -> None:
        """Write this instance's record to the store, with retries.

        A record of a former process of this instance tells since when it is known.
        """
        identity = self.identity
        key = RowKey(TABLE_CONTROL, PARTITION, INSTANCE_PREFIX + identity.instance_id)
        record = InstanceRecord(
            identity.instance_id,
            identity.incarnation,
            identity.peer_address,
            identity.zone,
            identity.region,
            identity.processors,
        )
        version = 0
        while True:
            result = await self.store.commit(
                RowTransaction(
                    (Expectation(key, version),), ((key, codec.encode(record)),)
                ),
                STORE_CALL_TIMEOUT_SECONDS,
            )
            if not isinstance(result, Failure):
                return
            failure = result.failure()
            if failure.kind is StoreFailureKind.CONFLICT and failure.rows:
                version = failure.rows[0].version
                current = failure.rows[0].value
                if current == codec.encode(record):
                    return
                former = codec.decode(current or b"", InstanceRecord)
                since = 0
                if isinstance(former, Success):
                    since = former.unwrap().known_since or version
                record = replace(record, known_since=since)
                continue
            await asyncio.sleep(FEED_RETRY_SECONDS)

    def on_control_snapshot(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply a complete snapshot of the control table."""
        self.members.clear()
        self.member_versions.clear()
        self.on_control_rows(rows)
        if self.identity.instance_id not in self.members:
            self.unregistered.set()

    def on_control_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed rows of the leader, its heartbeat and the instances."""
        former_leader = self.leader_id()
        self.election.on_rows(rows)
        instances = [row for row in rows if row.key.key.startswith(INSTANCE_PREFIX)]
        apply_each(instances, self.on_instance_row, self.metrics)
        if instances or self.leader_id() != former_leader:
            self.update_links()

    def leader_id(self) -> str:
        """Return the instance that leads, or an empty string if none ever has."""
        leader = self.election.leader
        return leader.instance_id if leader is not None else ""

    def update_links(self) -> None:
        """Connect to the chosen peers and disconnect from all others."""
        self.peers.set_members([member_of(m) for m in self.links.choose()])

    async def maintain_links(self) -> None:
        """Choose the links anew periodically."""
        while True:
            await asyncio.sleep(LINKS_SECONDS)
            self.update_links()

    def on_instance_row(self, row: StoredRow) -> None:
        """Update an instance; remove it if its row was removed or is unreadable."""
        instance_id = row.key.key.removeprefix(INSTANCE_PREFIX)
        record = codec.decode(row.value or b"", InstanceRecord)
        if isinstance(record, Failure):
            self.members.pop(instance_id, None)
            self.member_versions.pop(instance_id, None)
            if instance_id == self.identity.instance_id:
                log.warning("own instance row removed, registering again")
                self.unregistered.set()
            return
        self.members[instance_id] = record.unwrap()
        self.member_versions[instance_id] = row.version

    async def expire_members(self) -> None:
        """While leading, remove the rows of instances that are gone."""
        epoch = 0
        while True:
            await asyncio.sleep(MEMBER_EXPIRY_PERIOD_SECONDS)
            term = self.election.term
            if term is None or not self.election.is_confirmed():
                continue
            if term.epoch != epoch:
                epoch = term.epoch
                self.member_expiry = create_member_expiry()
            others = sorted(self.members.keys() - {self.identity.instance_id})
            now = self.clock.boottime()
            alive = self.peers.alive_ids()
            for gone in self.member_expiry.expired(others, alive, now):
                await self.remove_member(gone, term)

    async def remove_member(self, instance_id: str, term: Term) -> None:
        """Remove an instance's row, unless the instance has registered again."""
        key = RowKey(TABLE_CONTROL, PARTITION, INSTANCE_PREFIX + instance_id)
        version = self.member_versions.get(instance_id)
        if version is None:
            return
        result = await self.store.commit(
            RowTransaction(
                (
                    Expectation(LEADER_KEY, term.leader_version),
                    Expectation(key, version),
                ),
                ((key, None),),
            ),
            STORE_CALL_TIMEOUT_SECONDS,
        )
        removed = not isinstance(result, Failure)
        self.member_expiry.on_removed(instance_id, self.clock.boottime())
        self.metrics.count("members_expired" if removed else "member_expiry_failures")
        log.info(
            "silent instance removed" if removed else "silent instance not removed",
            member=instance_id,
            epoch=term.epoch,
        )

    def control_pause_seconds(self) -> float:
        """Return the pause between reads of the control table's feed.

        The top-ranked candidates follow every heartbeat. If none of them is left, the
        other instances still take over, only later.
        """
        if self.succession.count_better_candidates() < MAX_PROMPT_CANDIDATES:
            return 0.0
        return DISTANT_FEED_PAUSE_SECONDS

    # Leadership.

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of waiting jobs per queue.

        An instance that does not lead, or that has not yet read the jobs, returns the
        counts of the newest heartbeat.
        """
        if self.leader is not None and self.leader.state_loaded:
            return self.leader.waiting_counts()
        return self.election.heartbeat.waiting if self.election.heartbeat else {}

    def queue_length(self, queue: str) -> int:
        """Return the number of jobs waiting in a queue."""
        return self.waiting_counts().get(queue, 0)

    async def run_election(self) -> None:
        """Tick the election periodically and run a leader for each term won."""
        while True:
            await self.election.tick()
            term = self.election.term
            is_leading = self.leader_task is not None and not self.leader_task.done()
            if term is not None and not is_leading:
                self.leader = Leader(
                    term,
                    self.election,
                    self.pledges,
                    self.store,
                    self.targets,
                    self.decoder,
                    self.operators.current,
                    self.operator_watcher.staleness_seconds,
                    self.clock,
                    self.agreed_time,
                    self.metrics,
                )
                self.leader_task = asyncio.create_task(self.run_leader(self.leader))
            await self.yield_to_larger()
            await asyncio.sleep(ELECTION_TICK_SECONDS)

    async def yield_to_larger(self) -> None:
        """Hand over to a much larger instance that has been available long enough.

        Not done during recovery.
        """
        leader = self.leader
        if (
            self.stopping
            or leader is None
            or not leader.state_loaded
            or leader.recovering
        ):
            self.larger_since = None
            return
        larger = self.succession.larger_instance()
        now = self.clock.boottime()
        if larger is None or self.larger_since is None:
            self.larger_since = now if larger is not None else None
        elif now - self.larger_since >= YIELD_SECONDS:
            self.larger_since = None
            log.info("leadership yielded", epoch=leader.epoch, successor=larger)
            await self.end_term(larger)

    async def run_leader(self, leader: Leader) -> None:
        """Run one term."""
        try:
            await leader.run()
        except Exception:
            # Step down, or this instance would keep the leadership without scheduling.
            self.metrics.count("term_errors")
            log.exception("leadership term failed, stepping down", epoch=leader.epoch)
            self.election.step_down("the term failed")
        finally:
            self.leader = None


def member_of(record: InstanceRecord) -> Member:
    """Return the instance as a member of the peer network."""
    return Member(
        instance_id=record.instance_id,
        incarnation=record.incarnation,
        address="",
        peer_address=record.peer_address,
        region=record.region,
        zone=record.zone,
    )


def create_instance(
    identity: Identity,
    direct_store: RowStore,
    targets: Targets,
    decoder: RowDecoder,
    peers: Peers,
    clock: FleetClock,
    metrics: Metrics,
    generator: random.Random,
) -> Instance:
    """Return an instance that has not been started."""
    return Instance(
        identity, direct_store, targets, decoder, peers, clock, metrics, generator
    )
