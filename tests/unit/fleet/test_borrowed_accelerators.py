"""Accelerators that are borrowed, and the guarantees of those to whom they belong."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from returns.result import Success

from egretloft._internal.fleet.decisions import Decisions, TickContext
from egretloft._internal.fleet.models import (
    Configuration,
    JobState,
    OperatorState,
    Organisation,
    Resources,
)
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
from standins.fleet.world import FleetWorld

NOW = 100.0
LONG_AGO = NOW - 50.0
OWNER, BORROWER, OTHER = "owner", "borrower", "other"
ONE_GPU = Resources(500, 128, 1)
# Within this time an urgent job within its guarantee has to begin.
RECLAIM_SECONDS = 2.9
LONG_WORK_SECONDS = 40.0


def guarantees(**gpus: int) -> OperatorState:
    """Return operators that guarantee accelerators to organisations."""
    organisations = tuple(
        Organisation(name, frozenset({f"key-{name}"}), count)
        for name, count in gpus.items()
    )
    return OperatorState(Configuration(1, (), organisations, 1000))


def occupy(
    tables: FleetTables,
    target: TargetRow,
    number: int,
    organisation: str,
    priority: int = 0,
    gpus: int = 8,
    started_at: float = LONG_AGO,
    **step: object,
) -> JobRow:
    """Let the tasks of a job take accelerators of a target, one each."""
    spec = single_step(gpus, SMALL, **step)  # type: ignore[arg-type]
    job = add_job(tables, number, spec, priority, organisation=organisation)
    for index in range(gpus):
        task = first_task(job, index=index)
        run = run_task(
            tables, target, task, SMALL, priority, started_at=started_at, gang=False
        )
        run.lasting = bool(step.get("lasting"))
        run.percent = 100
    return job


def claim(tables: FleetTables, number: int, tasks: int, organisation: str) -> JobRow:
    """Add an urgent job that has waited for longer than the reclaim delay."""
    spec = single_step(tasks, SMALL)
    job = add_job(tables, number, spec, priority=0, organisation=organisation)
    job.step(first_task(job).key.step).ready_at = NOW - 2.0
    return job


def decide(tables: FleetTables, state: OperatorState) -> Decisions:
    return Scheduler(tables).decide(state, TickContext(NOW, 1_000.0))


@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize("lasting", [False, True])
def test_borrower_gives_way_to_what_a_guarantee_covers(
    priority: int, lasting: bool
) -> None:
    """Guards against borrowed accelerators that are not given back."""
    target = build_target(0)
    tables = build_tables(target)
    occupy(tables, target, 1, BORROWER, priority, lasting=lasting)
    claim(tables, 2, 2, OWNER)
    assert len(decide(tables, guarantees(owner=8, borrower=0)).stops) == 2


@pytest.mark.parametrize("lasting", [False, True])
def test_run_within_a_guarantee_is_never_stopped(lasting: bool) -> None:
    """Guards against organisations that displace each other in turns."""
    target = build_target(0)
    tables = build_tables(target)
    occupy(tables, target, 1, OTHER, 0, lasting=lasting)
    claim(tables, 2, 2, OWNER)
    assert decide(tables, guarantees(owner=8, other=8)).stops == []


def test_claim_beyond_the_guarantee_stops_no_urgent_or_lasting_run() -> None:
    target = build_target(0)
    tables = build_tables(target)
    occupy(tables, target, 1, BORROWER, 0, 4)
    occupy(tables, target, 2, BORROWER, 2, 4, lasting=True)
    claim(tables, 3, 3, OWNER)
    assert decide(tables, guarantees(owner=2, borrower=0)).stops == []


def test_organisation_beyond_its_guarantee_keeps_the_runs_that_started_first() -> None:
    target = build_target(0)
    tables = build_tables(target)
    late = occupy(tables, target, 1, OTHER, 0, 4, started_at=NOW - 5.0)
    occupy(tables, target, 2, OTHER, 0, 4, started_at=NOW - 20.0)
    claim(tables, 3, 4, OWNER)
    stops = decide(tables, guarantees(owner=8, other=4)).stops
    assert len(stops) == 4
    assert {run.job for run in stops} == {late}


def test_gang_that_exceeds_its_guarantee_gives_way_as_a_whole() -> None:
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    spec = single_step(2, WHOLE, gang=True)
    gang = add_job(tables, 1, spec, 0, organisation=OTHER)
    for index, target in enumerate(targets):
        task = first_task(gang, index=index)
        run_task(tables, target, task, WHOLE, 0, started_at=LONG_AGO, gang=True)
    claim(tables, 2, 2, OWNER)
    assert decide(tables, guarantees(owner=8, other=8)).stops
    for run in gang.runs.values():
        run.phase = run.phase.ACTIVE
    assert decide(tables, guarantees(owner=8, other=16)).stops == []


def test_plain_run_is_stopped_before_one_that_lasts() -> None:
    target = build_target(0)
    tables = build_tables(target)
    plain = occupy(tables, target, 1, BORROWER, 2, 4, started_at=NOW - 5.0)
    occupy(tables, target, 2, BORROWER, 2, 4, lasting=True)
    claim(tables, 3, 4, OWNER)
    stops = decide(tables, guarantees(owner=8)).stops
    assert {run.job for run in stops} == {plain}


def test_no_more_tasks_become_unavailable_than_allowed() -> None:
    target = build_target(0)
    tables = build_tables(target)
    occupy(tables, target, 1, BORROWER, 2, lasting=True, max_unavailable=3)
    claim(tables, 2, 2, OWNER)
    assert len(decide(tables, guarantees(owner=8)).stops) == 2
    claim(tables, 3, 2, OWNER)
    assert len(decide(tables, guarantees(owner=8)).stops) <= 1


async def submit(
    world: FleetWorld, number: int, tasks: int, organisation: str, lasting: bool = False
) -> str:
    """Submit an urgent job of long tasks; return its id."""
    spec = single_step(tasks, ONE_GPU, lasting=lasting)
    accepted = await world.submit(
        job_id(number), spec, LONG_WORK_SECONDS, "urgent", organisation=organisation
    )
    assert isinstance(accepted, Success)
    return job_id(number)


def running(world: FleetWorld, name: str) -> int:
    """Return how many tasks of a job run."""
    runs = [run for target in world.targets.values() for run in target.runs]
    return sum(run.task.step.job_id == name for run in runs)


async def build_full_world(seed: int) -> FleetWorld:
    """Return a fleet of 32 accelerators, of which two organisations own eight each."""
    world = build_world(seed, target_count=4)
    organisations = (
        Organisation(OWNER, frozenset({"key-1"}), 8),
        Organisation(OTHER, frozenset({"key-2"}), 8),
        Organisation(BORROWER, frozenset({"key-3"}), 0),
    )
    world.configuration = replace(world.configuration, organisations=organisations)
    await world.start()
    return world


@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_two_guarantees_are_kept_beside_an_urgent_borrower(
    seed: int, takes_over: bool
) -> None:
    """Guards against a borrower that takes the accelerators back, and stops in vain.

    The leader may be replaced between the two claims.
    """

    async def main() -> None:
        world = await build_full_world(seed)
        borrowed = await submit(world, 1, 32, BORROWER)
        await asyncio.sleep(3.0)
        assert running(world, borrowed) == 32
        first = await submit(world, 2, 6, OWNER)
        await asyncio.sleep(RECLAIM_SECONDS)
        assert running(world, first) == 6
        if takes_over:
            leading = world.leader_name() or ""
            await world.kill(leading)
            await asyncio.sleep(8.0)
        second = await submit(world, 3, 8, OTHER)
        await asyncio.sleep(RECLAIM_SECONDS)
        assert running(world, second) == 8
        assert running(world, first) == 6
        await asyncio.sleep(6.0)
        assert running(world, first) == 6
        assert running(world, borrowed) == 32 - 14
        # The tasks that were stopped, and no others, started again or wait.
        assert world.checker.starts == 32 + 14
        for name in (first, second, borrowed):
            assert await world.wait_for_state(name, JobState.COMPLETE, 120.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
