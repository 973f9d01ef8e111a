"""Submission and cancellation of jobs at any instance."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from egretloft._internal.codec import encode
from egretloft._internal.gangs.records import derive_job_id, job_key
from egretloft._internal.models.jobs import JobRecord, JobState
from egretloft._internal.models.outcomes import OutcomeKind, Reason, not_run
from egretloft._internal.models.profiles import Limits
from lib.builders import build_job, build_profile
from lib.fakes import Fault
from lib.gang_world import REGION, World

SPEC = replace(build_job(), body_digest="digest")


async def test_same_key_at_two_instances_at_once() -> None:
    """Guards against two jobs for one idempotency key.

    The caller repeats the submission at another instance before the first is done.
    """
    world = World()
    results = await asyncio.gather(
        *(node.service.submit(SPEC, "key") for node in world.nodes)
    )
    first, second = (result.unwrap() for result in results)
    assert first == second
    assert len([key for key in world.state.rows if key.startswith("job/")]) == 1


async def test_key_of_another_organisation_is_another_key() -> None:
    """Guards against returning a job of another organisation.

    Two organisations may use the same idempotency key, or keys that give the same
    text when appended to the organisation's name.
    """
    assert derive_job_id("org-a", "1key") != derive_job_id("org-a1", "key")
    world = World()
    world.profiles["org-b"] = build_profile("org-b")
    world.write("control/profile/org-b", b"profile")
    other = replace(SPEC, organisation="org-b", profile="org-b")
    service = world.nodes[0].service
    first = (await service.submit(SPEC, "key")).unwrap()
    second = (await service.submit(other, "key")).unwrap()
    assert first.spec.job_id != second.spec.job_id


async def test_key_is_known_in_all_regions() -> None:
    """Guards against a duplicate job after the profile has moved to another region.

    The first job's row is stored in the previous region.
    """
    world = World()
    service = world.nodes[0].service
    first = (await service.submit(SPEC, "key")).unwrap()
    world.profiles["org-a"] = replace(world.profiles["org-a"], region="region-2")
    world.profiles["org-b"] = build_profile("org-b")
    assert (await service.submit(SPEC, "key")).unwrap() == first


async def test_profile_that_changed_since_the_view_was_read() -> None:
    """Guards against a job under a profile that was retired or changed meanwhile.

    The profile row changes between the check against the view and the commit.
    """
    world = World()
    node = world.nodes[0]
    node.node_table.before_commit = lambda transaction: world.write(
        "control/profile/org-a", b"changed"
    )
    refusal = (await node.service.submit(SPEC, "key")).failure()
    assert (refusal.kind, refusal.reason) == (OutcomeKind.NOT_RUN, Reason.CONFLICT)


async def test_refusals_before_the_write() -> None:
    """Guards against queueing jobs that can never start or that exceed a limit.

    Each submission violates one condition and has to be refused before the write.
    """
    world = World()
    service = world.nodes[0].service
    limits = Limits(max_accelerators=2, max_queued_jobs=3)
    world.profiles["org-a"] = replace(world.profiles["org-a"], limits=limits)
    now = world.time.clock.wall()

    async def reason(spec_changes: dict[str, object]) -> Reason:
        spec = replace(SPEC, **spec_changes)  # type: ignore[arg-type]
        return (await service.submit(spec, "key")).failure().reason

    assert await reason({"deadline_at": now - 1}) is Reason.DEADLINE_PASSED
    assert await reason({"accelerators_per_task": 3}) is Reason.LIMIT_EXCEEDED
    service.queued_jobs = lambda organisation: 3
    assert await reason({}) is Reason.QUEUE_FULL
    service.queued_jobs = lambda organisation: 0
    service.check_job = lambda *_: not_run(Reason.IMPOSSIBLE, "too large")
    assert await reason({}) is Reason.IMPOSSIBLE
    world.nodes[0].confirmed_at -= 10
    assert await reason({}) is Reason.STALE_VIEW
    assert not [key for key in world.state.rows if key.startswith("job/")]


async def test_cancel_against_changing_rows() -> None:
    """Guards against one changing row that prevents the cancellation of 99 others.

    All rows are in one transaction, which conflicts each time the row changes.
    """
    world = World()
    service = world.nodes[0].service
    jobs = []
    for number in range(100):
        record = (await service.submit(SPEC, f"key-{number}")).unwrap()
        jobs.append(record.spec.job_id)
    changing = replace(SPEC, job_id=jobs[50], region=REGION)
    changes = iter(range(6))

    def change_row(transaction: object) -> None:
        if next(changes, None) is not None:
            world.write(job_key(REGION, jobs[50]), encode(JobRecord(changing)))

    world.nodes[0].node_table.before_commit = change_row
    outcomes = (await service.cancel(jobs)).unwrap()
    assert [outcome.job_id for outcome in outcomes] == jobs
    assert all(outcome.refusal is None for outcome in outcomes)
    assert all(world.record(job_id).cancel_requested for job_id in jobs)


async def test_cancel_with_a_lost_answer_and_in_an_outage() -> None:
    """Guards against ``not_run`` for a cancellation that may have been recorded.

    The answers to the commit and to the read-back are lost.
    """
    world = World()
    node = world.nodes[0]
    job_id = (await node.service.submit(SPEC, "key")).unwrap().spec.job_id
    node.fail_commit(JobState.QUEUED, Fault.LOST_ANSWER, 2)
    outcome = (await node.service.cancel([job_id])).unwrap()[0]
    assert outcome.refusal is not None
    assert outcome.refusal.kind is OutcomeKind.UNKNOWN
    node.table.fault, node.table.fault_calls = Fault.DOWN, -1
    outcome = (await node.service.cancel([job_id])).unwrap()[0]
    assert outcome.refusal is not None
    assert outcome.refusal.kind is OutcomeKind.NOT_RUN
    too_many = await node.service.cancel(["x"] * 1_001)
    assert too_many.failure().reason is Reason.TOO_LARGE
