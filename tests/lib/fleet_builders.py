"""Builders of jobs, targets and emulated fleets for the fleet tests."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from egretloft._internal.fleet.crash_trials import CrashTrials, create_crash_trials
from egretloft._internal.fleet.election import Election, create_election
from egretloft._internal.fleet.interfaces import FleetClock, RowStore, Targets
from egretloft._internal.fleet.models import (
    JobSpec,
    Resources,
    RunKey,
    StepKey,
    StepSpec,
    TargetReport,
    TaskKey,
)
from egretloft._internal.fleet.records import AcceptedJob
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    TargetRow,
    TaskRow,
)
from egretloft._internal.metrics import create_metrics
from egretloft._internal.models.members import Member
from lib.peer_fakes import PeerHub, create_fake_peers
from standins.fleet.cuts import ZoneCuts
from standins.fleet.world import (
    SERVICE,
    WHOLE_TARGET,
    EmulatedPeers,
    FleetWorld,
    PeersFactory,
)

SMALL = Resources(4_000, 8_000, 1)
WHOLE = Resources(20_000, 100_000, 8)


def fake_peers_factory(hub: PeerHub) -> PeersFactory:
    """Return a factory of peer networks that are connected in memory."""

    def create(
        name: str, wait_until_thawed: Callable[[], Awaitable[None]], cuts: ZoneCuts
    ) -> EmulatedPeers:
        hub.separates = cuts.separates
        member = Member(name, "", "", name, "region", "zone-a")
        network = create_fake_peers(hub, member, wait_until_thawed)
        network.start_heartbeats()
        return network

    return create


def build_world(
    seed: int = 1,
    instance_count: int = 3,
    target_count: int = 8,
    processors: dict[str, float] | None = None,
    wrap_targets: Callable[[Targets], Targets] | None = None,
    zones: tuple[str, ...] = ("zone-a", "zone-b"),
    spreads_instances: bool = False,
) -> FleetWorld:
    """Return an emulated fleet whose instances can reach each other."""
    return FleetWorld(
        seed,
        fake_peers_factory(PeerHub()),
        instance_count,
        target_count,
        zones,
        processors=processors,
        wrap_targets=wrap_targets,
        spreads_instances=spreads_instances,
    )


@dataclass(slots=True)
class StubClock:
    """A clock that a test sets."""

    now: float = 0.0

    def boottime(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class StubRegistrations:
    """An instance that every leader knows."""

    def members_version(self) -> int:
        return 1

    def known_since(self) -> int:
        return 1

    def knows_others(self) -> bool:
        return True


def build_election(
    store: RowStore,
    clock: FleetClock,
    store_delay: Callable[[], float] = lambda: 0.0,
) -> Election:
    """Return the election of an instance that does not lead, without peers."""
    return create_election(
        store,
        clock,
        "instance-0",
        "life-1",
        random.Random(1),
        dict,
        lambda: None,
        store_delay,
        lambda: True,
        StubRegistrations(),
    )


def job_id(number: int) -> str:
    """Return the id of the job with this number."""
    return f"{number:016x}"


def single_step(
    tasks: int = 1,
    room: Resources = SMALL,
    gang: bool = False,
    same_rack: bool = False,
    estimate_ms: int = 1000,
    **values: object,
) -> JobSpec:
    """Return a job of one step."""
    step = StepSpec(
        tasks=tasks,
        room=room,
        gang=gang,
        same_rack=same_rack,
        estimate_ms=estimate_ms,
        **values,  # type: ignore[arg-type]
    )
    return JobSpec("payload", (step,))


def build_target(
    number: int, rack: str = "r-0", room: Resources = WHOLE_TARGET, zone: str = "zone-a"
) -> TargetRow:
    """Return a target that may get work."""
    report = TargetReport(
        f"target-{number}",
        f"address-{number}",
        SERVICE,
        zone,
        rack,
        frozenset({"a", rack}),
        room,
        False,
        1,
    )
    return TargetRow(report, recorded=True, fenced=True, incarnation_ms=1)


def build_tables(*targets: TargetRow) -> FleetTables:
    """Return tables that contain these targets."""
    tables = FleetTables()
    for target in targets:
        tables.targets[target.report.target_id] = target
    return tables


def add_job(
    tables: FleetTables,
    number: int,
    spec: JobSpec,
    priority: int = 1,
    accepted_at_ms: int = 0,
    organisation: str = "kennel",
) -> JobRow:
    """Add an accepted job to the tables."""
    accepted = AcceptedJob(
        job_id=job_id(number),
        queue=f"queue-{priority}",
        service=SERVICE,
        organisation=organisation,
        priority=priority,
        attempts=3,
        slack_factor=3.0,
        latency_target_ms=1000,
        accepted_at_ms=accepted_at_ms,
        spec=spec,
    )
    job = JobRow(accepted)
    tables.add_job(job)
    return job


def first_task(job: JobRow, step: int = 0, index: int = 0) -> TaskRow:
    """Return a task of a job's first occurrence."""
    return job.step(StepKey(job.accepted.job_id, 0, step)).tasks[index]


def build_trials(tables: FleetTables) -> CrashTrials:
    """Return trials that tell nobody of changes."""
    return create_crash_trials(tables, create_metrics(), lambda _: None, lambda _: None)


def run_task(
    tables: FleetTables,
    target: TargetRow,
    task: TaskRow,
    room: Resources,
    priority: int = 1,
    attempt: int = 1,
    started_at: float = 0.0,
    gang: bool = False,
) -> RunRow:
    """Add an active run of the task to the target."""
    run = RunRow(
        key=RunKey(task.key, attempt),
        target_id=target.report.target_id,
        room=room,
        priority=priority,
        phase=RunPhase.ACTIVE,
        started_at=started_at,
        incarnation_ms=target.incarnation_ms,
        confirmed=True,
        gang=gang,
        job=tables.jobs[task.key.step.job_id],
        task=task,
    )
    task.run = run
    tables.add_run(target, run)
    return run


def task_key(number: int, step: int = 0, index: int = 0) -> TaskKey:
    """Return the key of a task of a job's first occurrence."""
    return TaskKey(StepKey(job_id(number), 0, step), index)
