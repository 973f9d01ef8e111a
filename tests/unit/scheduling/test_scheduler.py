from __future__ import annotations

import dataclasses

import pytest

from egretloft._internal.models.jobs import JobState, Priority, TaskPlacement
from egretloft._internal.models.profiles import Adjacency, GuaranteedShape, Limits
from egretloft._internal.scheduling.decisions import EndJob, StopReason
from lib.builders import build_job, build_profile, build_workers
from lib.scheduler_model import GangWorld


def build_world(*profiles, workers=None) -> GangWorld:
    world = GangWorld()
    world.add_workers(workers or build_workers())
    for profile in profiles or (build_profile(),):
        world.set_profile(profile)
    return world


def fill(world: GangWorld, organisation: str, count: int, **arguments) -> None:
    world.submit(
        *(
            build_job(
                f"{organisation}-{index:03}", organisation=organisation, **arguments
            )
            for index in range(count)
        )
    )
    world.tick()


def test_gang_starts_whole_within_its_rack():
    # Guards against partial gangs and against gangs spread over racks, when each rack
    # has room for only one of two gangs.
    world = build_world(workers=build_workers(racks_per_zone=2, workers_per_rack=2))
    world.submit(
        build_job("a", tasks=3, accelerators_per_task=4, adjacency=Adjacency.RACK),
        build_job("b", tasks=4, accelerators_per_task=4, adjacency=Adjacency.RACK),
    )
    world.tick()
    assert set(world.running) == {"a", "b"}


def test_small_jobs_leave_whole_workers_for_large_ones():
    # Guards against spreading small jobs over all workers, which leaves no whole worker
    # free for a large job.
    world = build_world(workers=build_workers(workers_per_rack=2))
    fill(world, "org-a", 8)
    world.submit(build_job("large", accelerators_per_task=8))
    world.tick()
    assert "large" in world.running


def test_guarantee_is_reclaimed_from_borrowed_work():
    # Guards against a guarantee that stays unusable after the borrowed work of another
    # organisation on its cells has been stopped.
    world = build_world(
        build_profile("org-a", guarantees=(GuaranteedShape(2, 8, Adjacency.WORKER),)),
        build_profile("org-b"),
        workers=build_workers(workers_per_rack=2),
    )
    fill(world, "org-b", 16)
    assert len(world.running) == 16
    assert world.can_start_after_reclaim(
        build_job("mine", organisation="org-a", accelerators_per_task=8)
    )
    assert {stop.reason for stop in world.stops} == {StopReason.RECLAIM}
    assert len(world.stops) == 8


def test_work_that_cannot_restart_is_not_lent_cells():
    # Guards against borrowed cells that can never be reclaimed, because the work on
    # them cannot be stopped.
    world = build_world(
        build_profile("org-a", guarantees=(GuaranteedShape(1, 8, Adjacency.WORKER),)),
        build_profile("org-b"),
        workers=build_workers(workers_per_rack=2),
    )
    job = build_job("b", organisation="org-b", idempotent=False, checkpointable=False)
    world.submit(job)
    world.tick()
    assert not world.running


def test_stopped_job_is_queued_at_its_former_place():
    # Guards against work that was stopped for a reclaim and is then queued behind newer
    # jobs.
    world = build_world(
        build_profile("org-a", guarantees=(GuaranteedShape(1, 8, Adjacency.WORKER),)),
        build_profile("org-b"),
        workers=build_workers(workers_per_rack=1),
    )
    world.submit(
        build_job("old", organisation="org-b", accelerators_per_task=8),
        build_job(
            "new", organisation="org-b", accelerators_per_task=8, submitted_at=1.0
        ),
    )
    world.tick()
    assert world.can_start_after_reclaim(build_job("mine", accelerators_per_task=8))
    world.end("mine")
    world.tick()
    assert set(world.running) == {"old"}


def test_urgent_job_takes_cells_of_borrowed_work():
    # Guards against urgent work that waits while borrowed work holds all cells.
    world = build_world(
        build_profile("org-a"),
        build_profile("org-b"),
        workers=build_workers(workers_per_rack=1),
    )
    fill(world, "org-b", 8)
    assert world.can_start_after_reclaim(
        build_job("urgent", accelerators_per_task=2, priority=Priority.URGENT)
    )
    assert len(world.stops) == 2


def test_urgent_job_takes_cells_of_its_own_guarantee():
    # Guards against urgent work that waits while other work of its organisation uses up
    # the guarantee.
    world = build_world(
        build_profile("org-a", guarantees=(GuaranteedShape(1, 8, Adjacency.WORKER),)),
        workers=build_workers(workers_per_rack=1),
    )
    fill(world, "org-a", 8)
    assert world.can_start_after_reclaim(
        build_job(
            "urgent",
            accelerators_per_task=4,
            priority=Priority.URGENT,
            idempotent=False,
            checkpointable=False,
        )
    )
    assert len(world.stops) == 4


def test_unrestartable_job_displaces_no_running_work_of_its_guarantee():
    # Guards against needless stops: restartable work can go on as borrowed work while
    # the new job takes over its guarantee.
    world = build_world(
        build_profile("org-a", guarantees=(GuaranteedShape(1, 8, Adjacency.WORKER),)),
        workers=build_workers(workers_per_rack=2),
    )
    fill(world, "org-a", 8)
    world.submit(
        build_job(
            "once", accelerators_per_task=8, idempotent=False, checkpointable=False
        )
    )
    world.tick()
    assert "once" in world.running
    assert not world.stops


def test_limit_of_the_profile_is_kept():
    # Guards against starting more than the limit allows because cells are free.
    world = build_world(build_profile(limits=Limits(max_accelerators=5)))
    fill(world, "org-a", 9)
    assert len(world.running) == 5


@pytest.mark.parametrize(
    ("tasks", "adjacency"), [(2, Adjacency.RACK), (1, Adjacency.WORKER)]
)
def test_large_gang_starts_under_an_endless_stream_of_small_jobs(tasks, adjacency):
    # Guards against starvation: small jobs that declare far less than they take are all
    # backfilled ahead of the large gang.
    world = build_world(workers=build_workers(workers_per_rack=2))
    fill(world, "org-a", 40, declared_seconds=10.0)
    world.submit(
        build_job("large", tasks=tasks, accelerators_per_task=8, adjacency=adjacency)
    )
    for step in range(600):
        for job_id, gang in list(world.running.items()):
            if world.now - gang.started_at >= 60 + int(gang.started_at) % 30:
                world.end(job_id)
        world.submit(build_job(f"more-{step}", declared_seconds=10.0))
        world.tick()
        if "large" in world.running:
            break
    assert "large" in world.running
    assert world.now < 400


def test_small_jobs_run_beside_a_gang_that_waits():
    # Guards against cells left idle for a reservation although short jobs would end
    # before the gang can start (backfill).
    world = build_world(workers=build_workers(workers_per_rack=2))
    world.submit(build_job("long", accelerators_per_task=8, declared_seconds=10_000.0))
    world.tick()
    world.submit(
        build_job("large", tasks=2, accelerators_per_task=8, adjacency=Adjacency.RACK)
    )
    world.tick()
    fill(world, "org-a", 8, declared_seconds=60.0)
    assert len(world.running) == 9


def test_wave_of_cancellations_is_handled_in_one_tick():
    # Guards against queued jobs that start or stay in the queue after they were
    # cancelled.
    world = build_world(workers=build_workers(workers_per_rack=2))
    fill(world, "org-a", 1_016)
    for job_id in list(world.jobs)[:1_000]:
        world.cancel(job_id)
    decisions = world.tick()
    assert sum(isinstance(decision, EndJob) for decision in decisions) == 1_000
    for job_id in list(world.running):
        world.end(job_id, JobState.CANCELLED)
    world.tick()
    assert len(world.running) == 16


def test_bad_worker_and_bad_job_are_told_apart():
    # Guards against quarantining good workers for a bad job, and against ending good
    # jobs for a bad worker.
    world = build_world(workers=build_workers(workers_per_rack=6))
    bad_worker = "zone-1-r0-w0"
    fill(world, "org-a", 60, accelerators_per_task=2)
    world.submit(build_job("bad", accelerators_per_task=2, priority=Priority.URGENT))
    quarantines = set()
    for _ in range(300):
        world.tick()
        quarantines.update(world.quarantined)
        for job_id, gang in list(world.running.items()):
            worker_id = gang.placement[0].worker_id
            if worker_id == bad_worker or job_id == "bad":
                world.end(job_id, JobState.FAILED, (worker_id,))
            elif world.now - gang.started_at > 15:
                world.end(job_id)
    assert quarantines == {bad_worker}
    assert world.ended == {"bad": "failed_repeatedly"}
    assert not world.running


def test_quarantine_doubles_while_the_probe_fails():
    # Guards against a bad worker on which three more jobs fail after each quarantine:
    # one failure after a quarantine must be enough for the next one.
    world = build_world(workers=build_workers(workers_per_rack=1))
    fill(world, "org-a", 30)
    lengths = []
    for _ in range(600):
        world.tick()
        for worker_id, until in world.quarantined.items():
            if not lengths or until - world.now > lengths[-1]:
                lengths.append(until - world.now)
            assert worker_id == "zone-1-r0-w0"
        for job_id in list(world.running):
            world.end(job_id, JobState.FAILED, ("zone-1-r0-w0",))
    assert [round(length, -1) for length in lengths[:3]] == [60, 120, 240]


def test_zone_out_stops_restartable_work_and_starts_none():
    # Guards against restartable work that goes on, or is started, in a zone that was
    # taken out of service.
    world = build_world(
        build_profile(
            zones=("zone-1", "zone-2"),
            guarantees=(GuaranteedShape(1, 8, Adjacency.WORKER),),
        ),
        workers=build_workers(zones=("zone-1", "zone-2"), workers_per_rack=1),
    )
    fill(world, "org-a", 8)
    (zone,) = {gang.placement[0].worker_id[:6] for gang in world.running.values()}
    world.set_zone(zone, False)
    world.tick()
    assert {stop.reason for stop in world.stops} == {StopReason.ZONE_OUT}
    world.finish_stops()
    world.tick()
    assert len(world.running) == 8
    world.set_zone(zone, True)
    world.submit(build_job("more", accelerators_per_task=8))
    world.tick()
    assert "more" in world.running


def test_adopted_gang_occupies_its_cells():
    # Guards against double booking after a change of owner: the new owner finds gangs
    # that it did not start.
    world = build_world(workers=build_workers(workers_per_rack=1))
    placement = (TaskPlacement(0, "zone-1-r0-w0", (1, 2, 5)),)
    world.adopt(build_job("adopted", accelerators_per_task=3), placement)
    fill(world, "org-a", 9)
    assert len(world.running) == 6


def test_claim_is_given_up_when_its_worker_leaves():
    # Guards against a gang that waits for ever for claimed cells of a worker that is
    # leaving.
    world = build_world(
        build_profile("org-a", guarantees=(GuaranteedShape(1, 8, Adjacency.WORKER),)),
        build_profile("org-b"),
        workers=build_workers(workers_per_rack=2),
    )
    fill(world, "org-b", 16)
    world.submit(build_job("mine", accelerators_per_task=8))
    world.tick()
    world.leave(
        next(
            iter({world.running[s.job_id].placement[0].worker_id for s in world.stops})
        )
    )
    world.tick()
    world.finish_stops()
    world.tick()
    world.finish_stops()
    world.tick()
    assert "mine" in world.running


def test_deadline_ends_a_waiting_job():
    # Guards against a start after the deadline that the caller set.
    world = build_world(workers=build_workers(workers_per_rack=1))
    fill(world, "org-a", 8)
    world.submit(dataclasses.replace(build_job("late"), deadline_at=5.0))
    for _ in range(6):
        world.tick()
    assert world.ended == {"late": "deadline_passed"}
