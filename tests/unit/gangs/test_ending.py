"""Records that are written when runs end."""

from __future__ import annotations

from dataclasses import replace

from egretloft._internal.gangs.ending import (
    MAX_RESULT_BYTES,
    MAX_RESULTS_BYTES,
    TRUNCATION_MARK,
    ended_record,
    run_times,
)
from egretloft._internal.gangs.entities import Gang
from egretloft._internal.gangs.records import JobRow
from egretloft._internal.models.jobs import JobRecord, JobState, TaskPlacement
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.platform.protocols import TaskReport, TaskState
from egretloft._internal.scheduling.decisions import EndJob
from lib.builders import build_job, build_workers
from lib.gang_world import World


def build_gang(tasks: int, *, restartable: bool = False) -> Gang:
    spec = build_job(tasks=tasks, idempotent=restartable, checkpointable=restartable)
    placement = tuple(TaskPlacement(n, f"w{n}", (0,)) for n in range(tasks))
    record = JobRecord(spec, JobState.RUNNING, 1, placement, released=True)
    gang = Gang(JobRow(record, 1))
    gang.set_members(placement, 1, {})
    return gang


def report(state: TaskState, start: float, end: float, result: str = "") -> TaskReport:
    return TaskReport("t", state, started_at=start, ended_at=end, result=result)


def test_results_are_cut_to_the_limit_of_the_row() -> None:
    """Guards against rows that exceed the store's limit, with large task results."""
    for tasks, limit in ((1, MAX_RESULT_BYTES), (1_024, MAX_RESULTS_BYTES // 1_024)):
        gang = build_gang(tasks)
        for member in gang.members:
            member.record_report(report(TaskState.FINISHED, 1, 2, "é" * 5_000), 2)
        ended = ended_record(gang, gang.record, 3.0, "")
        assert ended.state is JobState.COMPLETED
        assert len(ended.results) == tasks
        for result in ended.results:
            assert len(result.encode()) <= limit
            assert result.endswith(TRUNCATION_MARK)


def test_lost_member_counts_until_it_was_last_seen() -> None:
    """Guards against charging for time after a worker was lost.

    The run must end at the time the lost member was last seen active, not at the time
    at which the loss was noticed.
    """
    gang = build_gang(2)
    gang.members[0].record_report(report(TaskState.STOPPED, 10, 30), 30)
    gang.members[1].record_report(report(TaskState.RUNNING, 11, 0), 25)
    assert run_times(gang) == (10, 30)
    gang.members[0].report = report(TaskState.STOPPED, 10, 20)
    assert run_times(gang) == (10, 25)


def test_gang_that_was_never_released_has_no_run() -> None:
    """Guards against charging for throttled members of a start that was rolled back."""
    gang = build_gang(2)
    for member in gang.members:
        member.record_report(report(TaskState.LEASE_EXPIRED, 0, 20), 20)
    assert run_times(gang) is None


def test_outcome_is_unknown_if_a_worker_forgot_the_task() -> None:
    """Guards against ``failed`` for a run that may have completed its work.

    The worker of a member that was running no longer knows the task.
    """
    gang = build_gang(2)
    gang.members[0].record_report(report(TaskState.FINISHED, 10, 30), 30)
    gang.members[1].record_report(report(TaskState.RUNNING, 10, 0), 25)
    gang.members[1].record_report(TaskReport("t", TaskState.UNKNOWN), 40)
    ended = ended_record(gang, gang.record, 50.0, "")
    assert (ended.state, ended.reason) == (JobState.UNKNOWN, Reason.TARGET_LOST)


def test_outcome_is_unknown_after_a_worker_restart() -> None:
    """Guards against ``failed`` for a run whose outcome is not known.

    A worker that has restarted answers a stop with ``stopped`` and no start time,
    because it does not know the task.
    """
    gang = build_gang(1)
    gang.members[0].record_report(report(TaskState.RUNNING, 10, 0), 25)
    gang.members[0].record_report(report(TaskState.STOPPED, 0, 0), 40)
    assert gang.members[0].confirmed_ended
    assert run_times(gang) == (10, 25)
    assert ended_record(gang, gang.record, 50.0, "").state is JobState.UNKNOWN


async def test_decision_to_end_jobs() -> None:
    """Guards against jobs that continue after an ``EndJob`` decision.

    The scheduler decides to end one queued and one running job.
    """
    world = World(build_workers(workers_per_rack=1))
    running = await world.submit(build_job("running", accelerators_per_task=8))
    await world.time.run(1.0)
    queued = await world.submit(build_job("queued", accelerators_per_task=8))
    await world.time.run(1.0)
    scheduler = world.scheduler()
    scheduler.queued.pop(queued)
    scheduler.injected.append(EndJob(queued, Reason.DEADLINE_PASSED))
    scheduler.injected.append(EndJob(running, Reason.FAILED_REPEATEDLY))
    await world.time.run(1.0)
    for job_id, reason in (
        (queued, Reason.DEADLINE_PASSED),
        (running, Reason.FAILED_REPEATEDLY),
    ):
        record = world.record(job_id)
        assert (record.state, record.reason) == (JobState.FAILED, reason)
    assert len(world.runs(running)) == 1
    assert not world.runs(queued)


async def test_start_deadline_is_kept() -> None:
    """Guards against a job that starts after its start deadline.

    The zone is out of service until the deadline has passed.
    """
    world = World()
    world.set_zone("zone-1", in_service=False)
    spec = replace(build_job("late"), deadline_at=world.time.clock.wall() + 2.0)
    job_id = await world.submit(spec)
    await world.time.run(3.0)
    world.set_zone("zone-1", in_service=True)
    await world.time.run(3.0)
    assert world.record(job_id).state is JobState.QUEUED
    assert job_id not in world.fakes.worked
