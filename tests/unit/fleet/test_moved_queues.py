"""Jobs of a queue that a configuration sends to another service."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from returns.result import Success

from egretloft._internal import codec
from egretloft._internal.fleet.decisions import TickContext
from egretloft._internal.fleet.models import (
    JobSpec,
    JobState,
    OperatorState,
    Resources,
    StepSpec,
)
from egretloft._internal.fleet.records import AcceptedJob
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.tables import FleetTables, JobRow, TargetRow
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    build_world,
    first_task,
    job_id,
    run_task,
    single_step,
)
from lib.virtual_time import run_virtual
from standins.fleet.world import SERVICE, configuration
from unit.fleet.test_placing import NOW, started

NEW_SERVICE = "service-new"
QUEUE = "normal"
WORK_SECONDS = 2.0
LEAVES_AFTER_SECONDS = 4.0


def operators(version: int, service: str, queue: str = QUEUE) -> OperatorState:
    """Return the state after a version that sends a queue to a service."""
    state = configuration(version)
    queues = tuple(
        replace(entry, service=service) if entry.name == queue else entry
        for entry in state.queues
    )
    return OperatorState(replace(state, queues=queues))


def build_services(former: int = 1, new: int = 3) -> FleetTables:
    """Return tables with targets of two services."""
    targets = [build_target(number) for number in range(former + new)]
    for target in targets[former:]:
        target.report = replace(target.report, service=NEW_SERVICE)
    return build_tables(*targets)


def add_queued(
    tables: FleetTables, number: int, spec: JobSpec, version: int = 1
) -> JobRow:
    """Add a job that an instance accepted for the former service."""
    job = add_job(tables, number, spec)
    job.accepted = replace(job.accepted, queue=QUEUE, configuration_version=version)
    return job


def target_ids(tables: FleetTables, state: OperatorState) -> list[str]:
    """Return the targets of what is started in one tick."""
    decisions = Scheduler(tables).decide(state, TickContext(NOW, 1_000.0))
    return [target_id for _, ids in started(decisions) for target_id in ids]


def services_of(tables: FleetTables, names: list[str]) -> set[str]:
    return {tables.targets[name].report.service for name in names}


@pytest.mark.parametrize("gang", [False, True])
def test_waiting_tasks_start_on_the_service_that_their_queue_has_moved_to(
    gang: bool,
) -> None:
    """Guards against jobs that wait for targets of a service that is empty."""
    tables = build_services()
    add_queued(tables, 1, single_step(3, WHOLE, gang=gang))
    tables.targets["target-0"].listed = False
    assert services_of(tables, target_ids(tables, operators(2, NEW_SERVICE))) == {
        NEW_SERVICE
    }


def test_new_service_goes_before_the_former_one() -> None:
    tables = build_services(former=3)
    add_queued(tables, 1, single_step(3, WHOLE))
    assert services_of(tables, target_ids(tables, operators(2, NEW_SERVICE))) == {
        NEW_SERVICE
    }


def test_other_tasks_of_a_step_that_runs_on_the_former_service_start_on_the_new() -> (
    None
):
    """Guards against a step that goes on where its first tasks are."""
    tables = build_services()
    job = add_queued(tables, 1, single_step(3, WHOLE))
    run_task(tables, tables.targets["target-0"], first_task(job), WHOLE)
    names = target_ids(tables, operators(2, NEW_SERVICE))
    assert len(names) == 2
    assert services_of(tables, names) == {NEW_SERVICE}


def test_former_service_runs_what_the_new_one_could_not_hold() -> None:
    """Guards against a move to a service whose targets are not there yet."""
    tables = build_services(former=1, new=1)
    new = tables.targets["target-1"]
    new.report = replace(new.report, room=Resources(1_000, 1_000, 0))
    add_queued(tables, 1, single_step(1, WHOLE))
    assert target_ids(tables, operators(2, NEW_SERVICE)) == ["target-0"]


def test_queue_that_moves_back_uses_its_former_service() -> None:
    tables = build_services()
    add_queued(tables, 1, single_step(1, WHOLE))
    scheduler = Scheduler(tables)
    context = TickContext(NOW, 1_000.0)
    tables.targets["target-0"].quarantined_until = NOW + 1.0
    for target in list(tables.targets.values())[1:]:
        target.quarantined_until = NOW + 1.0
    assert not scheduler.decide(operators(2, NEW_SERVICE), context).placements
    tables.targets["target-0"].quarantined_until = 0.0
    decisions = scheduler.decide(operators(3, SERVICE), context)
    assert [ids for _, ids in started(decisions)] == [["target-0"]]


def test_older_configuration_of_a_leader_does_not_override_a_newer_one() -> None:
    """Guards against a job that is run as only an older version allows."""
    tables = build_services()
    job = add_queued(tables, 1, single_step(1, WHOLE), version=3)
    job.accepted = replace(job.accepted, service=NEW_SERVICE)
    assert services_of(tables, target_ids(tables, operators(2, SERVICE))) == {
        NEW_SERVICE
    }


def test_job_of_a_queue_that_was_removed_runs_where_it_was_accepted_for() -> None:
    tables = build_services()
    add_queued(tables, 1, single_step(1, WHOLE))
    state = operators(2, NEW_SERVICE)
    assert state.configuration is not None
    removed = replace(state.configuration, queues=())
    assert target_ids(tables, OperatorState(removed)) == ["target-0"]


def test_row_of_an_earlier_release_tells_of_no_configuration() -> None:
    """Guards against rows that a leader of this release cannot read."""
    job = add_job(build_tables(), 1, single_step())
    row = codec.decode(codec.encode(job.accepted), dict).unwrap()
    del row["configuration_version"]
    assert codec.decode(codec.encode(row), AcceptedJob).unwrap() == job.accepted


def test_all_steps_to_come_run_on_the_new_service() -> None:
    """Guards against a job that stops between two steps, over a change of leader."""

    async def main() -> None:
        world = build_world(target_count=4)
        old = world.targets["target-0"]
        for target in world.targets.values():
            target.service = SERVICE if target is old else NEW_SERVICE
        await world.start()
        step = StepSpec(1, WHOLE, estimate_ms=2000)
        spec = JobSpec("payload", (step, replace(step, after=(0,))))
        for number in range(3):
            accepted = await world.submit(job_id(number), spec, WORK_SECONDS)
            assert isinstance(accepted, Success)
        await asyncio.sleep(WORK_SECONDS / 2)
        state = operators(2, NEW_SERVICE).configuration
        assert state is not None
        world.put_configuration(state)
        leaving = asyncio.create_task(world.drain(old, LEAVES_AFTER_SECONDS))
        leader = world.leader_name()
        assert leader is not None
        await world.kill(leader)
        for number in range(3):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 30.0)
        await leaving
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_lasting_task_is_started_again_on_the_new_service() -> None:
    """Guards against a task that nobody serves as its former service is empty."""
    tables = build_services()
    job = add_queued(tables, 1, single_step(2, SMALL, lasting=True))
    target: TargetRow = tables.targets["target-0"]
    run_task(tables, target, first_task(job), SMALL).lasting = True
    names = target_ids(tables, operators(2, NEW_SERVICE))
    assert services_of(tables, names) == {NEW_SERVICE}
