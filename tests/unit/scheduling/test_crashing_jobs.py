from __future__ import annotations

from egretloft._internal.models.jobs import JobState
from egretloft._internal.scheduling import events
from lib.builders import build_job, build_profile, build_workers
from lib.scheduler_model import GangWorld

# Generous: the users allow three crashes and two more starts.
MAX_STARTS = 8


def test_job_that_crashes_worker_after_worker_is_given_up():
    # Guards against one job that takes down the workers one after the other. Each
    # crashed worker is back before the next start.
    world = GangWorld()
    world.add_workers(build_workers())
    world.set_profile(build_profile())
    world.submit(build_job("deadly"))
    for _ in range(400):
        world.tick()
        if "deadly" not in world.running:
            continue
        workers = tuple({t.worker_id for t in world.running["deadly"].placement})
        for worker_id in workers:
            world.scheduler.apply(events.WorkerRemoved(worker_id))
        world.end("deadly", JobState.FAILED, workers)
        world.add_workers([world.workers[worker_id] for worker_id in workers])
    assert "deadly" in world.ended
    assert world.starts["deadly"] <= MAX_STARTS
