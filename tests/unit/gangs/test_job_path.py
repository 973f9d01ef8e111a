"""The path of a job from its submission to its end."""

from egretloft._internal.models.jobs import JobState
from lib.builders import build_job
from lib.gang_world import World


async def test_all_members_run_and_complete() -> None:
    """Guards against a gang that starts incomplete or whose results are lost.

    The job has eight members and meets no failure.
    """
    world = World()
    for worker in world.fakes.workers.values():
        worker.run_seconds = 5.0
    job_id = await world.submit(build_job(tasks=8, accelerators_per_task=4))
    await world.time.run(2.0)
    assert world.record(job_id).state is JobState.RUNNING
    await world.time.run(10.0)
    record = world.record(job_id)
    assert record.state is JobState.COMPLETED
    assert record.results == ("ok",) * 8
    assert len(world.runs(job_id)) == 1
    world.check_invariants()
