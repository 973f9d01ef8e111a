"""Failures of owners, workers and the store during the life cycle of a gang.

In all of them, either all members of a gang work or none does, apart from a limited
time after the loss of a member.
"""

from __future__ import annotations

import asyncio

import pytest

from egretloft._internal.models.jobs import JobState
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.scheduling.decisions import StopGang, StopReason
from lib.builders import build_job, build_workers
from lib.fakes import Fault
from lib.gang_world import World

# Limit for an incomplete gang after the loss of a member: renewal period, call timeout
# and one stop.
LOSS_BOUND_SECONDS = 4.5
# The same limit if no owner can stop the others: their lease has to expire.
LEASE_BOUND_SECONDS = 15.5


def wide_job(job_id: str = "job-1", **options: bool):  # type: ignore[no-untyped-def]
    """Return a gang with one member on each of three workers."""
    return build_job(job_id, tasks=3, accelerators_per_task=8, **options)


def crash_owner_before_start(world: World, number: int) -> None:
    """Make the owner crash just before it sends start call ``number``."""
    owner = world.owner

    async def before_start(sent: int) -> None:
        if sent >= number:
            owner.crashed = True
            owner.freeze()
            await asyncio.Event().wait()

    owner.client.before_start = before_start


async def test_owner_crashes_between_two_start_calls() -> None:
    """Guards against members of an incomplete gang that nobody stops.

    The owner crashes after only some of the start calls have been sent.
    """
    world = World()
    crash_owner_before_start(world, 1)
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(2.0)
    assert world.record(job_id).state is JobState.STARTING
    await world.time.run(20.0)
    assert world.owner is world.nodes[1]
    assert world.record(job_id).state is JobState.RUNNING
    assert world.fakes.worked[job_id] == {2}
    world.check_invariants()


async def test_start_that_arrives_late_is_refused() -> None:
    """Guards against a member that starts after its gang was rolled back.

    The start call reaches its worker after the start window has ended.
    """
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
    world.check_invariants()


@pytest.mark.parametrize("state", [JobState.STARTING, JobState.RUNNING])
@pytest.mark.parametrize("fault", [Fault.LOST_ANSWER, Fault.LOST_REQUEST])
@pytest.mark.parametrize("calls", [1, 4, 200])
async def test_lost_answer_to_a_start_transaction(
    state: JobState, fault: Fault, calls: int
) -> None:
    """Guards against a second run or a stuck job when an outcome is unknown.

    The request or the answer of a transaction of the start is lost.
    """
    world = World()
    world.nodes[0].fail_commit(state, fault, calls)
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(20.0)
    world.nodes[0].table.fault = Fault.NONE
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert len(world.fakes.worked[job_id]) == 1
    world.check_invariants()


@pytest.mark.parametrize("restartable", [True, False])
async def test_member_lost_while_running(restartable: bool) -> None:
    """Guards against a gang that continues without a lost member, or runs twice.

    A worker crashes. Only a restartable job may run again, and only once the lease of
    the lost member has expired.
    """
    world = World()
    job_id = await world.submit(
        wide_job(idempotent=restartable, checkpointable=restartable)
    )
    await world.time.run(3.0)
    lost = world.record(job_id).placement[1].worker_id
    world.fakes.workers[lost].crash()
    await world.time.run(5.0)
    # The accelerators remain occupied until the lease of the lost member has expired.
    assert world.record(job_id).state is JobState.RUNNING
    world.leaving.add(lost)
    await world.time.run(20.0)
    record = world.record(job_id)
    assert record.state is (JobState.RUNNING if restartable else JobState.UNKNOWN)
    assert world.fakes.worked[job_id] == ({1, 2} if restartable else {1})
    assert len(world.runs(job_id)) == 1
    world.check_invariants(LOSS_BOUND_SECONDS)


async def test_member_that_fails_ends_a_gang_that_cannot_restart() -> None:
    """Guards against a second run of a job that may not be repeated.

    A worker reports that the task of a member has failed.
    """
    world = World()
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(2.0)
    worker = world.fakes.workers[world.record(job_id).placement[0].worker_id]
    worker.exit_code, worker.run_seconds = 3, 1.0
    await world.time.run(6.0)
    record = world.record(job_id)
    assert record.state is JobState.FAILED
    assert "exit code 3" in record.message
    world.check_invariants(LOSS_BOUND_SECONDS)


async def test_new_owner_adopts_gangs_while_the_previous_one_is_frozen() -> None:
    """Guards against a previous owner that acts on stale state.

    Its process freezes, another instance takes over, and the process resumes.
    """
    world = World()
    running = await world.submit(wide_job("running"))
    await world.time.run(3.0)
    old = world.owner
    old.freeze()
    started = await world.submit(wide_job("started"), node=1)
    await world.time.run(8.0)
    assert world.owner is world.nodes[1]
    assert world.record(started).state is JobState.RUNNING
    old.resume()
    await world.time.run(20.0)
    assert old.owner.session is None
    for job_id in (running, started):
        assert world.record(job_id).state is JobState.RUNNING
        assert world.fakes.worked[job_id] == {1}
    world.check_invariants()


@pytest.mark.parametrize("number", [0, 1, 2])
async def test_owner_freezes_during_a_start_and_resumes(number: int) -> None:
    """Guards against start calls of a previous owner beside those of the new one.

    The owner's process freezes between two start calls and resumes after 5 s.
    """
    world = World()
    old = world.owner

    async def before_start(sent: int) -> None:
        if sent == number:
            old.freeze()
        await old.running.wait()

    old.client.before_start = before_start
    job_id = await world.submit(wide_job(idempotent=False, checkpointable=False))
    await world.time.run(5.0)
    old.resume()
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert len(world.fakes.worked[job_id]) == 1
    world.check_invariants()


async def test_owner_freezes_between_release_calls() -> None:
    """Guards against a gang of which only some members stay released.

    The owner's process freezes after the release calls to some of the workers.
    """
    world = World()
    old = world.owner

    async def observe() -> None:
        working = [w for w in world.fakes.workers.values() if w.working()]
        if working and old.running.is_set() and world.owner is old:
            old.freeze()

    job_id = await world.submit(wide_job())
    world.time.each_step.append(observe)
    await world.time.run(30.0)
    old.resume()
    await world.time.run(10.0)
    assert world.record(job_id).state is JobState.RUNNING
    world.check_invariants(LEASE_BOUND_SECONDS)


async def test_new_owners_do_not_extend_leases_after_a_member_was_lost() -> None:
    """Guards against owners that keep an incomplete gang alive.

    If each new owner renewed the leases before it noticed the loss, owners that fail
    one after the other would extend them without limit.
    """
    world = World(nodes=3)
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    world.fakes.workers[world.record(job_id).placement[1].worker_id].crash()
    for _ in range(6):
        world.owner.freeze()
        number = world.epoch.number
        while world.epoch.number == number:
            await world.time.run(0.05)
        await world.time.run(1.0)
        for node in world.nodes:
            if node is not world.owner:
                node.resume()
    world.check_invariants(LEASE_BOUND_SECONDS)


async def test_cancel_during_a_start() -> None:
    """Guards against the release of a gang that is cancelled during its start.

    The start takes long because the answers of one worker are lost.
    """
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
    world.check_invariants()


async def test_cancel_while_running_and_while_queued() -> None:
    """Guards against cancelled jobs that continue or start later.

    The cancel flag is set at another instance, and the owner has to notice it.
    """
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
    world.check_invariants()


async def test_cancel_of_a_thousand_queued_jobs() -> None:
    """Guards against one transaction per job in a cancellation of many jobs.

    Both the cancel flags and the ends of the jobs have to be written in batches.
    """
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
    """Guards against a store outage that stops running gangs.

    Leases are renewed without the store, and a run that ends is written afterwards.
    """
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
    world.check_invariants()


async def test_member_lost_while_the_store_is_down() -> None:
    """Guards against an incomplete gang that keeps working during a store outage.

    This would happen if its members were stopped only after the pending write.
    """
    world = World()
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    placement = world.record(job_id).placement
    world.set_fault(Fault.DOWN)
    # The planned stop is still waiting for its first write when the member is lost.
    world.scheduler().injected.append(StopGang(job_id, StopReason.RECLAIM))
    await world.time.run(2.0)
    assert len(world.fakes.workers[placement[0].worker_id].working()) == 1
    world.fakes.workers[placement[1].worker_id].crash()
    await world.time.run(5.0)
    assert not world.fakes.workers[placement[0].worker_id].working()
    world.leaving.add(placement[1].worker_id)
    await world.time.run(20.0)
    world.set_fault(Fault.NONE)
    await world.time.run(5.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.record(job_id).attempt == 2
    world.check_invariants(LOSS_BOUND_SECONDS)


async def test_planned_stop_passes_the_checkpoint_to_the_restart() -> None:
    """Guards against a restart that repeats work done before a checkpoint.

    Each member has to restart from its own checkpoint of the planned stop.
    """
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
    world.check_invariants(0.1)


async def test_owner_crashes_during_a_planned_stop() -> None:
    """Guards against a job that stays in ``stopping`` forever.

    The owner crashes after it has written ``stopping`` but not the end of the run.
    """
    world = World()
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    world.nodes[0].fail_commit(JobState.QUEUED, Fault.DOWN, 1_000)
    world.scheduler().injected.append(StopGang(job_id, StopReason.RECLAIM))
    await world.time.run(1.0)
    assert world.record(job_id).state is JobState.STOPPING
    world.owner.crashed = True
    world.owner.freeze()
    await world.time.run(20.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.record(job_id).attempt == 2
    world.check_invariants(0.1)


async def test_no_start_in_a_zone_that_is_out_of_service() -> None:
    """Guards against a gang that is released in a zone that is out of service.

    Operators take the zone out of service during the start.
    """
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
    world.check_invariants()


async def test_orphan_tasks_are_stopped_before_their_worker_is_used() -> None:
    """Guards against two tasks on the same accelerators after a change of owner.

    The new owner has no job row for tasks that still run on the workers.
    """
    world = World(build_workers(workers_per_rack=3))
    job_id = await world.submit(wide_job())
    await world.time.run(2.0)
    # The row is lost by an operator error; its tasks continue under their leases.
    del world.state.rows[f"job/region-1/{job_id}"]
    world.owner.freeze()
    other = await world.submit(wide_job("other"), node=1)
    await world.time.run(10.0)
    assert world.record(other).state is JobState.RUNNING
    working = [w.working() for w in world.fakes.workers.values()]
    assert all(len(tasks) == 1 for tasks in working)


async def test_stalled_owner_does_not_end_gangs() -> None:
    """Guards against treating workers as lost because the owner was stalled.

    Calls in flight time out if the owner's own process stands still.
    """
    world = World(nodes=1)
    job_id = await world.submit(wide_job())
    await world.time.run(3.0)
    for worker in world.fakes.workers.values():
        worker.lose_answers = 1
    await world.time.run(2.0)
    world.owner.freeze()
    await world.time.run(4.0)
    world.owner.resume()
    await world.time.run(10.0)
    assert world.record(job_id).state is JobState.RUNNING
    assert world.fakes.worked[job_id] == {1}
    world.check_invariants()


@pytest.mark.parametrize(("seconds", "survives"), [(6.0, True), (20.0, False)])
async def test_unconfirmed_ownership_during_an_outage(
    seconds: float, survives: bool
) -> None:
    """Guards against gangs that end because ownership is briefly unconfirmed.

    The store is down and the view cannot be confirmed, so no leases are renewed. Gangs
    must survive an interruption that is shorter than their leases.
    """
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
    world.check_invariants(0.1)


async def test_rows_of_ended_jobs_are_deleted_after_a_week() -> None:
    """Guards against rows of ended jobs that accumulate.

    A new owner reads all rows, so changes of owner would become slower and slower.
    """
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
