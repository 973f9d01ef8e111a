"""Failures of section 7 of the design: gangs work whole or not at all."""

from __future__ import annotations

import asyncio

import pytest

from egretloft._internal.models.jobs import JobState
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.scheduling.decisions import StopGang, StopReason
from lib.builders import build_job, build_workers
from lib.fakes import Fault
from lib.gang_world import World

# Renewal period, call timeout and one stop, as section 7 states the bound.
LOSS_BOUND_SECONDS = 4.5
LEASE_BOUND_SECONDS = 15.5


def wide_job(job_id: str = "job-1", **options: bool):  # type: ignore[no-untyped-def]
    """Return a gang with one member on each of three workers."""
    return build_job(job_id, tasks=3, accelerators_per_task=8, **options)


def kill_owner_at_start(world: World, number: int) -> None:
    """Let the owner die just before it sends its start with this number."""
    owner = world.owner

    async def before_start(sent: int) -> None:
        if sent >= number:
            owner.dead = True
            owner.freeze()
            await asyncio.Event().wait()

    owner.client.before_start = before_start


async def test_owner_dies_between_two_starts() -> None:
    """Guards against a part of a gang that nobody stops."""
    world = World()
    kill_owner_at_start(world, 1)
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(2.0)
    assert world.record(job_id).state is JobState.STARTING
    await world.time.run(20.0)
    assert world.owner is world.nodes[1]
    assert world.record(job_id).state is JobState.RUNNING
    assert world.fakes.worked[job_id] == {2}
    world.check()


async def test_start_that_arrives_late_is_refused() -> None:
    """Guards against a member that starts after its gang was given up."""
    world = World()
    late = next(iter(world.fakes.workers.values()))
    late.start_delay = 3.0
    job_id = await world.submit(wide_job())
    await world.time.run(4.0)
    late.start_delay = 0.0
    await world.time.run(10.0)
    record = world.record(job_id)
    assert record.state is JobState.RUNNING
    assert record.attempt > 1
    world.check()


@pytest.mark.parametrize("state", [JobState.STARTING, JobState.RUNNING])
@pytest.mark.parametrize("fault", [Fault.LOST_ANSWER, Fault.LOST_REQUEST])
@pytest.mark.parametrize("calls", [1, 4, 200])
async def test_lost_answer_to_a_start_transaction(
    state: JobState, fault: Fault, calls: int
) -> None:
    """Guards against a second run or a hanging job when an outcome is unknown."""
    world = World()
    world.nodes[0].fail_commit(state, fault, calls)
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(20.0)
    world.nodes[0].table.fault = Fault.NONE
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert len(world.fakes.worked[job_id]) == 1
    world.check()


@pytest.mark.parametrize("restartable", [True, False])
async def test_member_lost_while_running(restartable: bool) -> None:
    """Guards against a gang that goes on without a member, or runs twice."""
    world = World()
    job_id = await world.submit(
        wide_job(idempotent=restartable, checkpointable=restartable)
    )
    await world.time.run(3.0)
    lost = world.record(job_id).placement[1].worker_id
    world.fakes.workers[lost].die()
    await world.time.run(5.0)
    # The cells stay held until the lease of the lost member has ended.
    assert world.record(job_id).state is JobState.RUNNING
    world.leaving.add(lost)
    await world.time.run(20.0)
    record = world.record(job_id)
    assert record.state is (JobState.RUNNING if restartable else JobState.UNKNOWN)
    assert world.fakes.worked[job_id] == ({1, 2} if restartable else {1})
    assert len(world.runs(job_id)) == 1
    world.check(LOSS_BOUND_SECONDS)


async def test_member_that_fails_ends_a_gang_that_cannot_restart() -> None:
    """Guards against a second run after a failure that the worker reported."""
    world = World()
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(2.0)
    worker = world.fakes.workers[world.record(job_id).placement[0].worker_id]
    worker.exit_code, worker.run_seconds = 3, 1.0
    await world.time.run(6.0)
    record = world.record(job_id)
    assert record.state is JobState.FAILED
    assert "exit code 3" in record.message
    world.check(LOSS_BOUND_SECONDS)


async def test_successor_adopts_while_the_old_owner_is_frozen() -> None:
    """Guards against a frozen owner that acts on old knowledge when it wakes."""
    world = World()
    running = await world.submit(wide_job("running"))
    await world.time.run(3.0)
    old = world.owner
    old.freeze()
    started = await world.submit(wide_job("started"), node=1)
    await world.time.run(8.0)
    assert world.owner is world.nodes[1]
    assert world.record(started).state is JobState.RUNNING
    old.wake()
    await world.time.run(20.0)
    assert old.owner.session is None
    for job_id in (running, started):
        assert world.record(job_id).state is JobState.RUNNING
        assert world.fakes.worked[job_id] == {1}
    world.check()


@pytest.mark.parametrize("number", [0, 1, 2])
async def test_owner_freezes_during_a_start_and_wakes(number: int) -> None:
    """Guards against starts of an old owner that join those of its successor."""
    world = World()
    old = world.owner

    async def before_start(sent: int) -> None:
        if sent == number:
            old.freeze()
        await old.running.wait()

    old.client.before_start = before_start
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(5.0)
    old.wake()
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert len(world.fakes.worked[job_id]) == 1
    world.check()


async def test_owner_freezes_between_the_releases() -> None:
    """Guards against a gang that is released in part and left so."""
    world = World()
    old = world.owner

    async def observe() -> None:
        working = [w for w in world.fakes.workers.values() if w.working()]
        if working and old.running.is_set() and world.owner is old:
            old.freeze()

    job_id = await world.submit(wide_job())
    world.time.each_step.append(observe)
    await world.time.run(30.0)
    old.wake()
    await world.time.run(10.0)
    assert world.record(job_id).state is JobState.RUNNING
    world.check(LEASE_BOUND_SECONDS)


async def test_successor_does_not_prolong_a_gang_that_lost_a_member() -> None:
    """Guards against owners that fail in turn and keep a part of a gang alive."""
    world = World(nodes=3)
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    world.fakes.workers[world.record(job_id).placement[1].worker_id].die()
    for _ in range(6):
        world.owner.freeze()
        number = world.epoch.number
        while world.epoch.number == number:
            await world.time.run(0.05)
        await world.time.run(1.0)
        for node in world.nodes:
            if node is not world.owner:
                node.wake()
    world.check(LEASE_BOUND_SECONDS)


async def test_cancel_during_a_start() -> None:
    """Guards against a cancelled gang that is released all the same."""
    world = World()
    await world.time.run(0.5)
    slow = next(iter(world.fakes.workers.values()))
    slow.lose_answers = 1_000
    job_id = await world.submit(wide_job())
    await world.time.run(0.5)
    assert world.record(job_id).state is JobState.STARTING
    await world.nodes[1].service.cancel([job_id])
    slow.lose_answers = 0
    await world.time.run(10.0)
    assert world.record(job_id).state is JobState.CANCELLED
    assert job_id not in world.fakes.worked
    world.check()


async def test_cancel_while_running_and_while_queued() -> None:
    """Guards against cancelled work that goes on or starts later."""
    world = World(build_workers(workers_per_rack=3))
    running = await world.submit(wide_job("running"))
    await world.time.run(1.0)
    queued = await world.submit(wide_job("queued"))
    await world.time.run(1.0)
    outcomes = (await world.nodes[1].service.cancel([running, queued, "none"])).unwrap()
    assert outcomes[2].refusal is not None
    assert outcomes[2].refusal.reason is Reason.UNKNOWN_JOB
    await world.time.run(3.0)
    for job_id in (running, queued):
        assert world.record(job_id).state is JobState.CANCELLED
    assert queued not in world.fakes.worked
    assert not world.owner.owner.session.gangs  # type: ignore[union-attr]
    world.check()


async def test_cancel_of_a_thousand_queued_jobs() -> None:
    """Guards against a wave of cancellations that takes one write for each job."""
    world = World(build_workers(workers_per_rack=1))
    await world.submit(build_job("blocker", accelerators_per_task=8))
    await world.time.run(1.0)
    jobs = [
        await world.submit(build_job(f"job-{n}", accelerators_per_task=8))
        for n in range(1_000)
    ]
    await world.time.run(1.0)
    before = world.state.commits
    await world.nodes[1].service.cancel(jobs)
    await world.time.run(2.0)
    assert {world.record(job_id).state for job_id in jobs} == {JobState.CANCELLED}
    assert world.state.commits - before <= 30


async def test_store_down_for_a_minute() -> None:
    """Guards against running gangs that an outage of the store stops."""
    world = World()
    long = await world.submit(wide_job("long"))
    short = await world.submit(build_job("short", accelerators_per_task=4))
    await world.time.run(3.0)
    ends = world.fakes.workers[world.record(short).placement[0].worker_id]
    world.set_fault(Fault.DOWN)
    ends.run_seconds = 10.0
    await world.time.run(60.0)
    assert world.record(short).state is JobState.RUNNING
    world.set_fault(Fault.NONE)
    await world.time.run(3.0)
    assert world.record(short).state is JobState.COMPLETED
    assert len(world.runs(short)) == 1
    assert world.record(long).state is JobState.RUNNING
    assert world.fakes.worked[long] == {1}
    world.check()


async def test_member_lost_while_the_store_is_down() -> None:
    """Guards against members that wait for a write before they are stopped."""
    world = World()
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    placement = world.record(job_id).placement
    world.set_fault(Fault.DOWN)
    # The stop waits for its first write when the member is lost.
    world.scheduler().injected.append(StopGang(job_id, StopReason.RECLAIM))
    await world.time.run(2.0)
    assert len(world.fakes.workers[placement[0].worker_id].working()) == 1
    world.fakes.workers[placement[1].worker_id].die()
    await world.time.run(5.0)
    assert not world.fakes.workers[placement[0].worker_id].working()
    world.leaving.add(placement[1].worker_id)
    await world.time.run(20.0)
    world.set_fault(Fault.NONE)
    await world.time.run(5.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.record(job_id).attempt == 2
    world.check(LOSS_BOUND_SECONDS)


async def test_planned_stop_passes_the_checkpoint_to_the_restart() -> None:
    """Guards against a restart that repeats work that was checkpointed."""
    world = World()
    job_id = await world.submit(wide_job(idempotent=False))
    await world.time.run(3.0)
    first = world.record(job_id).placement
    world.scheduler().injected.append(StopGang(job_id, StopReason.RECLAIM))
    await world.time.run(4.0)
    record = world.record(job_id)
    assert (record.state, record.attempt) == (JobState.RUNNING, 2)
    assert len(world.runs(job_id)) == 1
    for part in record.placement:
        tasks = world.fakes.workers[part.worker_id].tasks
        start = tasks[f"{job_id}.2.{part.task_index}"].start
        assert f"{job_id}.1.{part.task_index}" in start.checkpoint
    assert len(first) == 3
    world.check(0.1)


async def test_owner_dies_during_a_planned_stop() -> None:
    """Guards against a gang that stays in ``stopping`` for good."""
    world = World()
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    world.nodes[0].fail_commit(JobState.QUEUED, Fault.DOWN, 1_000)
    world.scheduler().injected.append(StopGang(job_id, StopReason.RECLAIM))
    await world.time.run(1.0)
    assert world.record(job_id).state is JobState.STOPPING
    world.owner.dead = True
    world.owner.freeze()
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.record(job_id).attempt == 2
    world.check(0.1)


async def test_no_start_in_a_zone_that_went_out() -> None:
    """Guards against work that begins in a zone after operators took it out."""
    world = World()
    await world.time.run(0.5)
    slow = next(iter(world.fakes.workers.values()))
    slow.lose_answers = 1
    job_id = await world.submit(wide_job())
    await world.time.run(0.5)
    world.set_zone("zone-1", in_service=False)
    await world.time.run(10.0)
    assert world.record(job_id).state is JobState.QUEUED
    assert job_id not in world.fakes.worked
    world.set_zone("zone-1", in_service=True)
    await world.time.run(5.0)
    assert world.record(job_id).state is JobState.RUNNING
    world.check()


async def test_orphan_tasks_are_stopped_before_their_worker_is_used() -> None:
    """Guards against two tasks on the same accelerators after a change of owner."""
    world = World(build_workers(workers_per_rack=3))
    job_id = await world.submit(wide_job())
    await world.time.run(2.0)
    # The row is lost to an operator's mistake; its tasks go on under their leases.
    del world.state.rows[f"job/region-1/{job_id}"]
    world.owner.freeze()
    other = await world.submit(wide_job("other"), node=1)
    await world.time.run(10.0)
    assert world.record(other).state is JobState.RUNNING
    working = [w.working() for w in world.fakes.workers.values()]
    assert all(len(tasks) == 1 for tasks in working)


async def test_owner_standstill_does_not_break_gangs() -> None:
    """Guards against calls that time out because this process stood still."""
    world = World(nodes=1)
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    for worker in world.fakes.workers.values():
        worker.lose_answers = 1
    await world.time.run(2.0)
    world.owner.freeze()
    await world.time.run(4.0)
    world.owner.wake()
    await world.time.run(10.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.fakes.worked[job_id] == {1}
    world.check()


@pytest.mark.parametrize(("seconds", "survives"), [(6.0, True), (20.0, False)])
async def test_outage_without_agreement_for_a_while(
    seconds: float, survives: bool
) -> None:
    """Guards against gangs that end because an agreement failed for a moment."""
    world = World()
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    world.set_fault(Fault.DOWN)
    world.confirmations_fail = True
    await world.time.run(seconds)
    world.confirmations_fail = False
    await world.time.run(20.0)
    works = any(worker.working() for worker in world.fakes.workers.values())
    assert works is survives
    world.set_fault(Fault.NONE)
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.fakes.worked[job_id] == ({1} if survives else {1, 2})
    world.check(0.1)


async def test_rows_of_ended_jobs_are_deleted_after_a_week() -> None:
    """Guards against rows that make each change of owner slower than the last."""
    world = World()
    for worker in world.fakes.workers.values():
        worker.run_seconds = 1.0
    job_id = await world.submit(build_job())
    await world.time.run(5.0)
    assert world.record(job_id).state is JobState.COMPLETED
    world.time.clock.wall_offset += 6.9 * 86_400
    await world.time.run(70.0)
    assert world.record(job_id).state is JobState.COMPLETED
    world.time.clock.wall_offset += 0.2 * 86_400
    await world.time.run(70.0)
    assert world.state.rows[f"job/region-1/{job_id}"].value is None
