"""End-to-end tests in virtual time: normal operation, failures and recovery."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from egretloft._internal.fleet import leader
from egretloft._internal.fleet.constants import LEASE_SECONDS, TABLE_JOBS
from egretloft._internal.fleet.intake import IntakeRefusalKind
from egretloft._internal.fleet.models import JobSpec, JobState, StepSpec
from lib.fleet_builders import SMALL, WHOLE, build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import FleetWorld

TAKEOVER_SECONDS = 1.5
# Shorter than the real one, so that the test is faster.
RETENTION_SECONDS = 30.0


async def submit_accepted(
    world: FleetWorld, number: int, spec: JobSpec, seconds: float, queue: str = "normal"
) -> None:
    result = await world.submit(job_id(number), spec, seconds, queue)
    assert isinstance(result, Success)


def test_all_jobs_complete_without_violations_in_normal_operation() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        steps = JobSpec(
            "payload",
            (
                StepSpec(3, SMALL, 1000),
                StepSpec(2, SMALL, 1000, after=(0,)),
            ),
        )
        await submit_accepted(world, 1, single_step(4), 1.0)
        await submit_accepted(
            world, 2, single_step(3, WHOLE, gang=True, same_rack=True), 2.0
        )
        await submit_accepted(world, 3, steps, 1.0)
        for number in (1, 2, 3):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 6.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_runs_continue_after_a_killed_leader_is_replaced() -> None:
    """Guards against a second start of a task that keeps running during a takeover.

    The new leader knows of the run only once its target has listed it.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(6), 4.0)
        await asyncio.sleep(0.5)
        leading = world.leader_name()
        assert leading is not None
        await world.kill(leading)
        killed_at = world.clock.boottime()
        await submit_accepted(world, 2, single_step(2), 0.5)
        assert await world.wait_for_state(job_id(2), JobState.COMPLETE, 6.0)
        waited = world.clock.boottime() - killed_at
        assert waited < TAKEOVER_SECONDS + 0.5
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 6.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 8

    run_virtual(main())


def test_planned_stop_hands_over_within_300_ms() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        leading = world.leader_name()
        assert leading is not None
        await world.stop_gracefully(leading)
        started = world.clock.boottime()
        while world.leader_name() is None:
            await asyncio.sleep(0.01)
        assert world.clock.boottime() - started < 0.3
        await world.stop()

    run_virtual(main())


def test_ends_listed_without_a_leader_are_not_lost() -> None:
    """Guards against ends that reach a new leader before it has read the jobs.

    An end of an unknown job would be acknowledged without effect, so its task would
    start again.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(4), 1.0)
        await asyncio.sleep(0.3)
        for name in list(world.processes):
            await world.kill(name)
        await asyncio.sleep(1.5)
        world.store.slowness = 10.0
        for name in world.instance_names:
            await world.start_instance(name)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 8.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 4

    run_virtual(main())


def test_removed_target_does_not_delay_a_takeover() -> None:
    """Guards against rows of used targets that remain after the target is gone.

    A new leader would wait in recovery for a target that never answers.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(16), 0.5)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 6.0)
        gone = world.targets.pop("target-0")
        gone.removed = True
        await asyncio.sleep(4.0)
        leading = world.leader_name()
        assert leading is not None
        await submit_accepted(world, 2, single_step(1, estimate_ms=9000), 9.0)
        await world.kill(leading)
        await submit_accepted(world, 3, single_step(1), 0.5)
        done = await world.wait_for_state(job_id(3), JobState.COMPLETE, 6.0)
        assert done is not None
        assert done < TAKEOVER_SECONDS + 1.0
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_leader_sends_no_orders_after_it_was_suspended() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(4), 6.0)
        await asyncio.sleep(0.2)
        leading = world.leader_name()
        assert leading is not None
        world.processes[leading].gate.open.clear()
        await submit_at_follower(world, leading, 2)
        await asyncio.sleep(4.0)
        world.processes[leading].gate.open.set()
        for number in (1, 2):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 12.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


async def submit_at_follower(world: FleetWorld, leader: str, number: int) -> None:
    """Submit a job through an instance that does not lead."""
    other = next(name for name in world.processes if name != leader)
    world.processes = {
        other: world.processes[other],
        **{n: p for n, p in world.processes.items() if n != other},
    }
    result = await world.submit(job_id(number), single_step(2), 1.0, at=other)
    assert isinstance(result, Success)


def test_store_outage_neither_stops_runs_nor_loses_ends() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(4), 2.0)
        await submit_accepted(world, 2, single_step(4), 12.0)
        await asyncio.sleep(0.5)
        world.store.mode = StoreMode.REFUSES
        await asyncio.sleep(9.0)
        world.store.mode = StoreMode.WORKS
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 3.0)
        assert await world.wait_for_state(job_id(2), JobState.COMPLETE, 8.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 8

    run_virtual(main())


def test_leader_refused_by_the_store_continues_through_a_peer() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        leading = world.leader_name()
        assert leading is not None
        world.processes[leading].store.mode = StoreMode.REFUSES
        await asyncio.sleep(0.5)
        await submit_accepted(world, 1, single_step(2), 0.5)
        done = await world.wait_for_state(job_id(1), JobState.COMPLETE, 3.0)
        assert done is not None
        assert done < 1.0
        assert world.leader_name() == leading
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_tasks_of_an_unreachable_target_restart_after_its_lease_expires() -> None:
    """Guards against two concurrent runs of one task.

    The target's run continues until its lease expires, although nobody reaches it.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(8), 5.0)
        await asyncio.sleep(0.5)
        busy = next(t for t in world.targets.values() if t.runs)
        busy.cut = True
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 20.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_runs_of_a_restarted_target_are_lost_at_once() -> None:
    async def main() -> None:
        world = build_world(target_count=1)
        await world.start()
        await submit_accepted(world, 1, single_step(2), 2.0)
        await asyncio.sleep(0.5)
        world.targets["target-0"].crash()
        done = await world.wait_for_state(job_id(1), JobState.COMPLETE, 20.0)
        assert done is not None
        assert done < LEASE_SECONDS
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_orders_without_an_answer_are_carried_out_once() -> None:
    """Guards against duplicate or orphaned runs when orders are carried out late.

    An order whose answer is lost is retried, and either copy may take effect.
    """

    async def main() -> None:
        world = build_world(seed=7)
        await world.start()
        for process in world.processes.values():
            process.targets.late_order_share = 0.3
        for number in range(1, 9):
            await submit_accepted(world, number, single_step(4), 1.0)
            await submit_accepted(
                world, 100 + number, single_step(2, WHOLE, gang=True), 1.0
            )
            await asyncio.sleep(0.5)
        for number in (*range(1, 9), *range(101, 109)):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 30.0)
        await world.stop()
        assert [v for v in world.checker.violations if "GANG" not in v] == []

    run_virtual(main())


def test_runs_of_a_cancelled_job_stop_within_one_second() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(4), 30.0)
        await asyncio.sleep(0.5)
        await world.cancel(job_id(1))
        await asyncio.sleep(1.0)
        assert not any(target.runs for target in world.targets.values())
        assert await world.state(job_id(1)) is JobState.CANCELLED
        await world.stop()

    run_virtual(main())


def test_job_fails_after_its_last_attempt() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        result = await world.submit(job_id(1), single_step(1), 0.3, failing_attempts=99)
        assert isinstance(result, Success)
        assert await world.wait_for_state(job_id(1), JobState.FAILED, 20.0)
        assert world.checker.starts == 4
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_lost_answers_and_late_writes_have_no_effect_twice() -> None:
    async def main() -> None:
        world = build_world(seed=3)
        await world.start()
        world.store.lost_answer_share = 0.3
        world.store.delays_lost_commits = True
        for number in range(1, 7):
            await submit_accepted(world, number, single_step(3), 0.7)
        await asyncio.sleep(4.0)
        world.store.lost_answer_share = 0.0
        for number in range(1, 7):
            assert await world.wait_for_state(job_id(number), JobState.COMPLETE, 20.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_snapshot_is_read_again_after_the_feed_history_is_lost() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        world.store.feeds_stalled = True
        await submit_accepted(world, 1, single_step(1), 0.5)
        world.evacuate("zone-b")
        await asyncio.sleep(1.0)
        world.store.feeds_stalled = False
        world.store.forget_history()
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 4.0)
        for process in world.processes.values():
            zones = process.instance.operators.current().evacuated_zones
            assert zones == frozenset({"zone-b"})
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_submission_is_refused_at_once_while_the_store_is_known_to_be_silent() -> None:
    """Guards against callers that wait for a timeout of the store on each request.

    Each call to a store that does not answer ends only with the call's timeout.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        world.store.mode = StoreMode.SILENT
        await asyncio.sleep(3.0)
        started = world.clock.boottime()
        result = await world.submit(job_id(1), single_step(1), 0.5)
        assert world.clock.boottime() - started < 0.1
        refusal = result.failure()
        assert refusal.kind is IntakeRefusalKind.STORE_UNAVAILABLE
        assert refusal.retry_after_seconds
        world.store.mode = StoreMode.WORKS
        await asyncio.sleep(2.0)
        await submit_accepted(world, 2, single_step(1), 0.5)
        assert await world.wait_for_state(job_id(2), JobState.COMPLETE, 3.0)
        await world.stop()

    run_virtual(main())


def test_gang_survives_a_takeover_that_reaches_its_targets_one_by_one() -> None:
    """Guards against a new leader that stops a gang as incomplete.

    Until all targets have answered, it does not know all members.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        spec = single_step(3, WHOLE, gang=True, estimate_ms=6000)
        await submit_accepted(world, 1, spec, 6.0)
        await asyncio.sleep(0.5)
        slowest = [t for t in world.targets.values() if t.runs][-1]
        leading = world.leader_name()
        assert leading is not None
        await world.kill(leading)
        slowest.silent = True
        await asyncio.sleep(1.4)
        slowest.silent = False
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 8.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 3

    run_virtual(main())


def test_rows_of_an_ended_job_are_removed_after_the_retention_period(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against unbounded growth of the store by ended jobs.

    A job leaves an accepted row, a progress row and possibly a cancel request.
    """
    monkeypatch.setattr(leader, "RETENTION_SECONDS", RETENTION_SECONDS)

    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(1), 0.5)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 3.0)
        await asyncio.sleep(RETENTION_SECONDS - 10)
        assert await world.state(job_id(1)) is JobState.COMPLETE
        await asyncio.sleep(20)
        assert not any(key.table == TABLE_JOBS for key in world.store.rows)
        await world.stop()

    run_virtual(main())


def test_ended_jobs_behind_lasting_ones_are_removed_from_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rows that are kept for ever behind jobs that never end.

    The jobs that arrived first serve until they are cancelled.
    """
    monkeypatch.setattr(leader, "RETENTION_SECONDS", RETENTION_SECONDS)

    async def main() -> None:
        world = build_world()
        await world.start()
        lasting = range(30)
        for number in lasting:
            await submit_accepted(world, number, single_step(1, lasting=True), 1.0)
        for number in range(100, 130):
            await submit_accepted(world, number, single_step(1), 0.5)
        await asyncio.sleep(RETENTION_SECONDS + 20)
        kept = {key.key[:16] for key in world.store.rows if key.table == TABLE_JOBS}
        assert kept == {job_id(number) for number in lasting}
        await world.stop()

    run_virtual(main())


def test_instances_stay_ready_during_a_store_outage_that_affects_all() -> None:
    """Guards against instances that all report themselves as not ready.

    Callers would then have no instance to go to when the store is back.
    """

    async def main() -> None:
        world = build_world()
        await world.start()
        world.store.mode = StoreMode.REFUSES
        await asyncio.sleep(5.0)
        assert all(p.instance.is_ready() for p in world.processes.values())
        await world.stop()

    run_virtual(main())


def test_instance_without_store_and_peers_is_not_ready() -> None:
    async def main() -> None:
        world = build_world(instance_count=1)
        await world.start()
        process = next(iter(world.processes.values()))
        assert process.instance.is_ready()
        process.store.mode = StoreMode.SILENT
        await asyncio.sleep(5.0)
        assert not process.instance.is_ready()
        await world.stop()

    run_virtual(main())


def test_gang_with_an_unreachable_member_is_stopped_before_targets_end_it() -> None:
    """Guards against members that wait for one on an unreachable target.

    Its start is never confirmed, and the other targets end their members as alone.
    """

    async def main() -> None:
        world = build_world(target_count=4)
        await world.start()
        world.targets["target-2"].cut = True
        await submit_accepted(world, 1, single_step(4, WHOLE, gang=True), 1.0)
        await asyncio.sleep(6.0)
        world.targets["target-2"].cut = False
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 10.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_lasting_task_restarts_and_quarantines_no_target() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        await submit_accepted(world, 1, single_step(2, lasting=True), 0.5)
        await asyncio.sleep(6.0)
        assert await world.state(job_id(1)) is JobState.ACTIVE
        assert world.checker.starts > 10
        assert sum(len(target.runs) for target in world.targets.values()) == 2
        await world.cancel(job_id(1))
        await asyncio.sleep(1.0)
        assert not any(target.runs for target in world.targets.values())
        await world.stop()

    run_virtual(main())
