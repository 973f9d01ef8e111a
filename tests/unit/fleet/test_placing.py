"""Placement of tasks and preemption for urgent steps."""

from __future__ import annotations

import pytest

from egretloft._internal.fleet.decisions import Decisions, TickContext
from egretloft._internal.fleet.models import (
    Configuration,
    JobSpec,
    OperatorState,
    Organisation,
    Resources,
    StepKey,
    StepSpec,
)
from egretloft._internal.fleet.placing import (
    create_spread_policy,
    free_capacity,
    place_gang,
)
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    StepRow,
    TargetRow,
)
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    first_task,
    job_id,
    run_task,
    single_step,
)

NOW = 100.0


def operators(guaranteed: int = 16) -> OperatorState:
    kennel = Organisation("kennel", frozenset({"key"}), guaranteed)
    return OperatorState(Configuration(1, (), (kennel,), 1000))


def decide(
    tables: FleetTables, state: OperatorState | None = None, recovering: bool = False
) -> Decisions:
    return Scheduler(tables).decide(
        state or operators(), TickContext(NOW, 1_000.0, recovering)
    )


def first_step(job: JobRow) -> StepRow:
    return job.step(StepKey(job.accepted.job_id, 0, 0))


def started(decisions: Decisions) -> list[tuple[str, list[str]]]:
    return [
        (p.step.key.job_id, [target.report.target_id for _, target in p.starts])
        for p in decisions.placements
    ]


def add_urgent(
    tables: FleetTables, number: int, spec: JobSpec, waited: float = 2.0
) -> JobRow:
    """Add an urgent job that by default has waited longer than the reclaim delay."""
    job = add_job(tables, number, spec, priority=0)
    first_step(job).ready_at = NOW - waited
    return job


def fill(
    target: TargetRow,
    tables: FleetTables,
    number: int,
    gpus: int,
    estimate_ms: int = 1_000,
) -> JobRow:
    """Let low-priority single tasks take accelerators of a target."""
    spec = single_step(gpus, estimate_ms=estimate_ms)
    job = add_job(tables, number, spec, priority=2)
    for index in range(gpus):
        run_task(
            tables, target, first_task(job, index=index), SMALL, 2, started_at=NOW - 1
        )
    return job


def test_small_tasks_are_packed_so_that_whole_targets_stay_free() -> None:
    targets = [build_target(n) for n in range(3)]
    tables = build_tables(*targets)
    fill(targets[1], tables, 1, 2)
    add_job(tables, 2, single_step(3))
    assert started(decide(tables)) == [(job_id(2), ["target-1"] * 3)]


def test_small_tasks_go_to_racks_in_use_so_that_whole_racks_stay_free() -> None:
    """Guards against gangs that find no rack though half of the targets are idle.

    The tasks do not fit on the target in use, so each of them needs a new one.
    """
    targets = [build_target(n, f"r-{n // 2}") for n in range(4)]
    tables = build_tables(*targets)
    fill(targets[3], tables, 1, 8)
    add_job(tables, 2, single_step(1))
    assert started(decide(tables)) == [(job_id(2), ["target-2"])]


def test_gang_starts_whole_or_not_at_all() -> None:
    """Guards against starting only the members of a gang that fit.

    Targets end members that wait too long for the others.
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    add_job(tables, 1, single_step(3, WHOLE, gang=True))
    assert started(decide(tables)) == []


def test_gang_is_spread_over_racks_only_after_waiting() -> None:
    targets = [build_target(0, "r-0"), build_target(1, "r-1")]
    targets += [build_target(2, "r-1")]
    tables = build_tables(*targets)
    job = add_job(tables, 1, single_step(2, WHOLE, gang=True, same_rack=True))
    assert started(decide(tables)) == [(job_id(1), ["target-1", "target-2"])]
    assert not create_spread_policy(targets, NOW + 1.0).may_spread(first_step(job))
    assert create_spread_policy(targets, NOW + 3.0).may_spread(first_step(job))


def test_gang_that_fits_no_rack_is_spread_at_once() -> None:
    targets = [build_target(n, f"r-{n}") for n in range(3)]
    tables = build_tables(*targets)
    add_job(tables, 1, single_step(3, WHOLE, gang=True, same_rack=True))
    assert len(started(decide(tables))) == 1


def test_task_runs_only_where_its_label_is_and_within_its_limit_per_target() -> None:
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    add_job(tables, 1, single_step(5, max_per_target=2))
    add_job(tables, 2, single_step(1, label="no-such-kind"))
    assert started(decide(tables)) == [
        (job_id(1), ["target-0", "target-0", "target-1", "target-1"])
    ]


def test_failed_task_goes_to_another_target() -> None:
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    job = add_job(tables, 1, single_step(1))
    first_task(job).failed_on.add("target-0")
    assert started(decide(tables)) == [(job_id(1), ["target-1"])]


def test_nothing_starts_in_a_zone_out_of_service() -> None:
    targets = [build_target(0, zone="zone-a"), build_target(1, zone="zone-b")]
    tables = build_tables(*targets)
    add_job(tables, 1, single_step(1))
    out = OperatorState(operators().configuration, frozenset({"zone-a", "zone-b"}))
    assert started(decide(tables, out)) == []


def test_old_jobs_wait_while_a_new_leader_may_not_know_their_runs() -> None:
    """Guards against a second run of a task.

    The first one may go on at a target that a new leader has not reached yet.
    """
    tables = build_tables(build_target(0))
    add_job(tables, 1, single_step(1)).known_before_term = True
    add_job(tables, 2, single_step(1))
    assert started(decide(tables, recovering=True)) == [(job_id(2), ["target-0"])]


def test_guaranteed_step_takes_back_borrowed_accelerators() -> None:
    """Guards against an urgent job within its guarantee that waits for others.

    Low-priority tasks have borrowed all accelerators of the only target.
    """
    target = build_target(0)
    tables = build_tables(target)
    fill(target, tables, 1, 8)
    add_urgent(tables, 2, single_step(1, WHOLE))
    decisions = decide(tables)
    assert len(decisions.stops) == 8
    assert all(run.phase is RunPhase.STOPPING for run in decisions.stops)


def test_guaranteed_gang_waits_a_moment_before_much_work_is_lost() -> None:
    """Guards against stopping gangs for capacity that is about to come free by itself.

    The wait is short: with 1 s a guarantee was met 52 ms after its bound (grown
    software house, mix day of seed 253232644336).
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    borrower = add_job(tables, 1, single_step(2, WHOLE, gang=True), priority=1)
    for index, target in enumerate(targets):
        task = first_task(borrower, index=index)
        run_task(tables, target, task, WHOLE, 1, started_at=NOW - 9, gang=True)
    add_job(tables, 2, single_step(16), priority=2)
    urgent = add_urgent(tables, 3, single_step(2, WHOLE, gang=True), waited=0.2)
    assert decide(tables).stops == []
    # One target comes free; it is reserved, so the small tasks do not get it.
    ended = first_task(borrower)
    assert ended.run is not None
    tables.remove_run(targets[0], ended.run)
    assert started(decide(tables)) == []
    first_step(urgent).ready_at = NOW - 0.5
    assert [run.target_id for run in decide(tables).stops] == ["target-1"]


def test_cheap_runs_are_stopped_at_once_for_an_urgent_step() -> None:
    """Guards against waiting where a preemption loses hardly any work.

    All low-priority runs have only just started.
    """
    target = build_target(0)
    tables = build_tables(target)
    job = fill(target, tables, 1, 8)
    for task in first_step(job).tasks:
        assert task.run is not None
        task.run.started_at = NOW - 0.1
    add_urgent(tables, 2, single_step(1, WHOLE, estimate_ms=9_000), waited=0.0)
    assert len(decide(tables).stops) == 8


def test_step_beyond_the_guarantee_waits_if_much_work_would_be_lost() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = fill(target, tables, 1, 8)
    for task in first_step(job).tasks:
        assert task.run is not None
        task.run.started_at = NOW - 60.0
    add_urgent(tables, 2, single_step(1, WHOLE, estimate_ms=500))
    assert decide(tables, operators(guaranteed=4)).stops == []


def test_only_as_many_runs_are_stopped_as_the_step_needs() -> None:
    target = build_target(0)
    tables = build_tables(target)
    fill(target, tables, 1, 8)
    add_urgent(tables, 2, single_step(1, Resources(4_000, 8_000, 2)))
    assert len(decide(tables).stops) == 2


def test_runs_that_are_stopping_are_not_stopped_again() -> None:
    target = build_target(0)
    tables = build_tables(target)
    fill(target, tables, 1, 8)
    add_urgent(tables, 2, single_step(1, WHOLE))
    assert len(decide(tables).stops) == 8
    assert decide(tables).stops == []


def test_checkpointed_run_is_stopped_before_one_that_loses_its_work() -> None:
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    saving = add_job(tables, 1, single_step(1, WHOLE, checkpoints=True), priority=2)
    losing = add_job(tables, 2, single_step(1, WHOLE), priority=2)
    run_task(tables, targets[0], first_task(losing), WHOLE, 2, started_at=NOW - 30)
    run_task(tables, targets[1], first_task(saving), WHOLE, 2, started_at=NOW - 30)
    add_urgent(tables, 3, single_step(1, WHOLE))
    decisions = decide(tables)
    assert [run.target_id for run in decisions.stops] == ["target-1"]


def test_capacity_is_kept_for_a_waiting_gang_from_less_urgent_tasks() -> None:
    """Guards against starvation of gangs by a stream of small tasks.

    Small tasks would take what comes free on each target before the whole gang fits.
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    fill(targets[1], tables, 1, 4)
    add_job(tables, 2, single_step(2, WHOLE, gang=True), priority=1)
    add_job(tables, 3, single_step(8), priority=2)
    assert started(decide(tables)) == []


def test_gang_of_several_members_fits_on_one_target() -> None:
    target = build_target(0)
    job = add_job(build_tables(target), 1, single_step(4, gang=True))
    plan = place_gang(first_step(job), [free_capacity(target)], True)
    assert plan is not None
    assert len(plan.entries) == 4


def test_later_step_waits_for_the_earlier_one() -> None:
    steps = (StepSpec(1, SMALL), StepSpec(1, SMALL, after=(0,)))
    tables = build_tables(build_target(0))
    job = add_job(tables, 1, JobSpec("payload", steps))
    assert [p.step.key.step for p in decide(tables).placements] == [0]
    first_task(job, step=0).done = True
    assert [p.step.key.step for p in decide(tables).placements] == [1]


def test_occurrences_start_when_they_are_due() -> None:
    spec = JobSpec("payload", (StepSpec(1, SMALL),), 3, 999_000, 1_000)
    tables = build_tables(build_target(0))
    add_job(tables, 1, spec)
    found = [p.step.key.occurrence for p in decide(tables).placements]
    assert found == [0, 1]


def test_job_that_is_too_late_to_be_useful_comes_last() -> None:
    tables = build_tables(build_target(0))
    add_job(tables, 1, single_step(1, WHOLE), priority=1, accepted_at_ms=1)
    add_job(tables, 2, single_step(1, WHOLE), priority=1, accepted_at_ms=999_000)
    assert started(decide(tables)) == [(job_id(2), ["target-0"])]


def test_guaranteed_gang_is_spread_where_no_rack_can_be_freed() -> None:
    """Guards against an urgent gang that misses its bound while it waits for a rack.

    Runs of the same priority, which cannot be preempted, occupy a part of each rack.
    """
    targets = [build_target(n, f"r-{n // 2}") for n in range(4)]
    tables = build_tables(*targets)
    for number, target in ((1, targets[0]), (2, targets[2])):
        holder = add_job(tables, number, single_step(1, WHOLE), priority=0)
        run_task(tables, target, first_task(holder), WHOLE, 0, started_at=NOW)
    gang = single_step(2, WHOLE, gang=True, same_rack=True, estimate_ms=9000)
    add_urgent(tables, 3, gang)
    found = started(decide(tables, operators(guaranteed=64)))
    assert found == [(job_id(3), ["target-1", "target-3"])]


def build_split_racks(worked_seconds: float) -> FleetTables:
    """Return two racks, each half taken by a member of the same low-priority gang.

    An urgent gang that asks for one rack waits.
    """
    targets = [build_target(n, f"r-{n // 2}") for n in range(4)]
    tables = build_tables(*targets)
    borrower = add_job(tables, 1, single_step(2, WHOLE, gang=True), priority=1)
    for index, target in enumerate((targets[0], targets[2])):
        task = first_task(borrower, index=index)
        started_at = NOW - worked_seconds
        run_task(tables, target, task, WHOLE, 1, started_at=started_at, gang=True)
    gang = single_step(2, WHOLE, gang=True, same_rack=True, estimate_ms=2000)
    add_urgent(tables, 2, gang)
    return tables


def test_guaranteed_gang_is_spread_where_clearing_a_rack_loses_far_more_work() -> None:
    """Guards against throwing away a large gang's work for a short urgent one.

    60 s of the gang are 15,360 core-seconds, the urgent one takes 512.
    """
    tables = build_split_racks(worked_seconds=60.0)
    decisions = decide(tables, operators(guaranteed=64))
    assert decisions.stops == []
    assert started(decisions) == [(job_id(2), ["target-1", "target-3"])]


def test_rack_is_cleared_for_a_guaranteed_gang_where_little_work_is_lost() -> None:
    tables = build_split_racks(worked_seconds=2.0)
    decisions = decide(tables, operators(guaranteed=64))
    assert len(decisions.stops) == 1
    assert started(decisions) == []


def test_reclaim_counts_what_was_placed_in_the_same_tick() -> None:
    """Guards against a reclaim that stops too few runs.

    The first step takes the free half of the only target, so the second one needs all
    that the low-priority tasks take.
    """
    target = build_target(0)
    tables = build_tables(target)
    fill(target, tables, 1, 4)
    half = Resources(4_000, 8_000, 4)
    add_urgent(tables, 2, single_step(1, half))
    add_urgent(tables, 3, single_step(1, half))
    decisions = decide(tables, operators(guaranteed=64))
    assert started(decisions) == [(job_id(2), ["target-0"])]
    assert len(decisions.stops) == 4


def test_room_of_stopped_runs_goes_to_the_step_that_they_were_stopped_for() -> None:
    """Guards against an urgent gang that stops runs again and again without starting.

    Another urgent gang, which was submitted earlier but is beyond its guarantee, took
    the capacity each time (further deployment, standard day scale-2).
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    jobs = [fill(target, tables, n + 1, 8) for n, target in enumerate(targets)]
    gang = single_step(2, WHOLE, gang=True)
    earlier = add_job(
        tables, 3, gang, priority=0, organisation="other", accepted_at_ms=-1
    )
    first_step(earlier).ready_at = NOW - 5.0
    guaranteed = add_urgent(tables, 4, gang, waited=0.1)
    # While it waits for a moment, targets are reserved for it and pinned to it.
    assert decide(tables).stops == []
    assert first_step(guaranteed).pinned_target_ids
    first_step(guaranteed).ready_at = NOW - 2.0
    assert len(decide(tables).stops) == 16
    for job, target in zip(jobs, targets, strict=True):
        for task in first_step(job).tasks:
            assert task.run is not None
            tables.remove_run(target, task.run)
    assert [job for job, _ in started(decide(tables))] == [job_id(4)]


def test_gang_whose_cleared_room_is_taken_clears_other_room_at_once() -> None:
    """Guards against an entitled gang that waits for the end of its pins.

    Another urgent gang, which is served before it, takes one of two cleared targets.
    """
    targets = [build_target(n) for n in range(3)]
    tables = build_tables(*targets)
    for number, target in enumerate(targets, start=1):
        fill(target, tables, number, 8)
    waiting = add_urgent(tables, 4, single_step(2, WHOLE, gang=True))
    assert len(decide(tables).stops) == 16
    pinned = first_step(waiting).pinned_target_ids
    for target_id in pinned:
        target = tables.targets[target_id]
        for run in list(target.runs.values()):
            tables.remove_run(target, run)
    taken = tables.targets[min(pinned)]
    other = add_job(tables, 5, single_step(1, WHOLE), priority=0)
    run_task(tables, taken, first_task(other), WHOLE, 0, started_at=NOW)
    assert len(decide(tables).stops) == 8
    assert taken.report.target_id not in first_step(waiting).pinned_target_ids


def test_step_that_waited_may_use_a_quarantined_target() -> None:
    """Guards against a job that never starts as its only target is in quarantine."""
    target = build_target(0)
    target.quarantined_until = NOW + 30.0
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1))
    assert started(decide(tables)) == []
    first_step(job).ready_at = NOW - 5.0
    assert started(decide(tables)) == [(job_id(1), ["target-0"])]


def test_gang_is_spread_soon_while_most_of_the_service_is_idle() -> None:
    targets = [build_target(n, f"r-{n // 2}") for n in range(8)]
    tables = build_tables(*targets)
    for number, target in enumerate(targets[::2], start=10):
        holder = add_job(tables, number, single_step(1, WHOLE), priority=1)
        run_task(tables, target, first_task(holder), WHOLE, 1, started_at=NOW)
    gang = single_step(2, WHOLE, gang=True, same_rack=True, estimate_ms=60_000)
    job = add_job(tables, 1, gang)
    assert started(decide(tables)) == []
    first_step(job).ready_at = NOW - 2.5
    assert started(decide(tables)) == [(job_id(1), ["target-1", "target-3"])]


@pytest.mark.parametrize(("guaranteed", "stops"), [(0, 0), (4, 0), (16, 1)])
def test_lasting_task_is_preempted_only_for_what_a_guarantee_covers(
    guaranteed: int, stops: int
) -> None:
    """Guards against stopping a serving task for a job that is only more urgent.

    It occupies the whole target, and the urgent step may preempt other runs.
    """
    target = build_target(0)
    tables = build_tables(target)
    serving = add_job(tables, 1, single_step(1, WHOLE, lasting=True), priority=2)
    run = run_task(tables, target, first_task(serving), WHOLE, 2, started_at=NOW - 1)
    run.lasting = True
    add_urgent(tables, 2, single_step(1, WHOLE))
    assert len(decide(tables, operators(guaranteed)).stops) == stops
