"""Bounds of the time for which a step waits although there is capacity for it."""

from __future__ import annotations

import pytest

from egretloft._internal.fleet.decisions import Decisions, TickContext
from egretloft._internal.fleet.models import OperatorState, Resources
from egretloft._internal.fleet.overtaking import Overtaking
from egretloft._internal.fleet.placing import FreeCapacity, create_spread_policy
from egretloft._internal.fleet.queueing import WaitingStep
from egretloft._internal.fleet.reservations import Reservation
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    TargetRow,
)
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
)
from standins.fleet.world import SERVICE, WHOLE_TARGET
from unit.fleet.test_placing import NOW, fill, first_step, operators, started

# Longest time for which a step may wait while there is capacity for it twice over and
# less than half of the service is in use.
MAX_WAIT_SECONDS = 3.0
TICK_SECONDS = 0.25
GANG_NUMBER = 500


def decide_at(tables: FleetTables, now: float, state: OperatorState) -> Decisions:
    """Return the decisions of one tick."""
    return Scheduler(tables).decide(state, TickContext(now, 1_000.0))


def start_delay(
    tables: FleetTables,
    job: JobRow,
    limit: float = 30.0,
    state: OperatorState | None = None,
) -> float | None:
    """Return after how many seconds tasks of the job start, if nothing else changes.

    The result is ``None`` if none does within ``limit``.
    """
    first_step(job).ready_at = NOW
    waited = 0.0
    while waited <= limit:
        decisions = decide_at(tables, NOW + waited, state or operators())
        if any(job_id == job.accepted.job_id for job_id, _ in started(decisions)):
            return waited
        waited += TICK_SECONDS
    return None


def occupy(tables: FleetTables, target: TargetRow, number: int) -> None:
    """Let a run of equal priority take all accelerators of a target."""
    holder = add_job(tables, number, single_step(1, WHOLE), priority=1)
    run_task(tables, target, first_task(holder), WHOLE, 1, started_at=NOW)


def build_racks(racks: int, per_rack: int) -> list[TargetRow]:
    """Return targets in racks, each in a zone of its own."""
    return [
        build_target(n, f"r-{n // per_rack}", zone=f"zone-{n // per_rack}")
        for n in range(racks * per_rack)
    ]


def add_rack_gang(tables: FleetTables, tasks: int) -> JobRow:
    """Add a gang of whole targets that asks for one rack."""
    gang = single_step(tasks, WHOLE, gang=True, same_rack=True, estimate_ms=3_000)
    return add_job(tables, GANG_NUMBER, gang)


def build_fragmented_service() -> tuple[FleetTables, list[TargetRow]]:
    """Return four racks of 12 targets, 21 of which are in use, 7 in each of three."""
    targets = build_racks(racks=4, per_rack=12)
    tables = build_tables(*targets)
    for number, target in enumerate(targets[:36]):
        if number % 12 < 7:
            occupy(tables, target, number)
    return tables, targets


def assert_starts_in_time(delay: float | None) -> None:
    assert delay is not None
    assert delay < MAX_WAIT_SECONDS


def test_gang_is_spread_in_time_although_a_zone_is_evacuated() -> None:
    """Guards against counting only what is left of a service as its capacity.

    21 of 48 targets are in use, but 21 of the 36 outside the evacuated zone. Each rack
    has five targets free, so the gang of 7 fits in none.
    """
    tables, _ = build_fragmented_service()
    state = OperatorState(operators().configuration, frozenset({"zone-3"}))
    assert_starts_in_time(start_delay(tables, add_rack_gang(tables, 7), state=state))


def test_gang_is_spread_in_time_although_targets_are_in_quarantine() -> None:
    """Guards against counting targets in quarantine as no part of the service.

    In each rack, 5 of 12 targets are in use and 4 in quarantine: 20 of 48 targets are
    in use, but 20 of the 32 sound ones. The gang of 8 fits in no rack as it is.
    """
    targets = build_racks(racks=4, per_rack=12)
    tables = build_tables(*targets)
    for number, target in enumerate(targets):
        if number % 12 < 5:
            occupy(tables, target, number)
        elif number % 12 >= 8:
            target.quarantined_until = NOW + 60.0
    assert_starts_in_time(start_delay(tables, add_rack_gang(tables, 8)))


def test_gang_may_use_targets_in_quarantine_in_time() -> None:
    """Guards against waits that add up: for one rack, and for sound targets."""
    targets = build_racks(racks=4, per_rack=4)
    tables = build_tables(*targets)
    for target in targets:
        target.quarantined_until = NOW + 60.0
    for number in (0, 1, 4, 5, 8, 9, 12):
        occupy(tables, targets[number], number)
    assert_starts_in_time(start_delay(tables, add_rack_gang(tables, 4)))


@pytest.mark.parametrize("tasks", [2, 3])
def test_gang_waits_for_a_rack_on_a_busy_service(tasks: int) -> None:
    """Guards against slow runs where a rack is likely to come free soon.

    Of each of four racks, three of four targets are in use. There is room for a gang of
    two twice over.
    """
    targets = build_racks(racks=4, per_rack=4)
    tables = build_tables(*targets)
    for number, target in enumerate(targets):
        if number % 4:
            occupy(tables, target, number)
    delay = start_delay(tables, add_rack_gang(tables, tasks))
    assert delay is not None
    assert delay > MAX_WAIT_SECONDS


def test_step_starts_in_time_behind_a_gang_whose_room_does_not_come_free() -> None:
    """Guards against capacity that is reserved for a gang which cannot start.

    The gang needs both targets, but a run on one of them does not end when stopped.
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    fill(targets[0], tables, 1, 2)
    for run in targets[0].runs.values():
        run.note_stopping(NOW)
    gang = add_job(tables, 2, single_step(2, WHOLE, gang=True), priority=1)
    first_step(gang).ready_at = NOW
    whole_task = add_job(tables, 3, single_step(1, WHOLE), priority=2)
    assert_starts_in_time(start_delay(tables, whole_task))


def test_reclaim_moves_to_another_target_where_stopped_runs_do_not_end() -> None:
    """Guards against a guaranteed step that waits for a target which stops nothing.

    What its runs take was seen as free at no further loss, so the reclaim always chose
    this target again.
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    jobs = [fill(target, tables, n + 1, 8) for n, target in enumerate(targets)]
    urgent = add_job(tables, 3, single_step(1, WHOLE), priority=0)
    first_step(urgent).ready_at = NOW
    stopped_at: dict[str, float] = {}
    waited = 0.0
    while len(stopped_at) < len(jobs) and waited < MAX_WAIT_SECONDS:
        for run in decide_at(tables, NOW + waited, operators()).stops:
            stopped_at.setdefault(run.target_id, waited)
        waited += TICK_SECONDS
    # The stop, its end and the start still fit into the bound.
    assert len(stopped_at) == len(jobs)
    assert max(stopped_at.values()) <= 2.0


def test_reclaim_moves_at_once_where_a_pinned_target_is_lost() -> None:
    """Guards against a guaranteed gang that waits until its pin ends.

    Two targets are cleared for it, and one of them cannot be reached any more.
    """
    targets = [build_target(n) for n in range(3)]
    tables = build_tables(*targets)
    for number, target in enumerate(targets):
        fill(target, tables, number, 8)
    urgent = add_job(tables, 3, single_step(2, WHOLE, gang=True), priority=0)
    first_step(urgent).ready_at = NOW - 0.5
    assert len(decide_at(tables, NOW, operators()).stops) == 16
    lost = first_step(urgent).pinned_target_ids & {"target-0", "target-1"}
    tables.targets[min(lost)].reachable = False
    assert len(decide_at(tables, NOW + TICK_SECONDS, operators()).stops) == 8


def test_failed_task_starts_in_time_where_the_limit_per_target_leaves_one() -> None:
    """Guards against avoiding the only target that the limit per target leaves.

    Another task of the step runs on the other target, which has room but may not take
    a second one.
    """
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    job = add_job(tables, 1, single_step(2, max_per_target=1))
    run_task(tables, targets[0], first_task(job), SMALL, 1, started_at=NOW)
    first_task(job, index=1).failed_on.add("target-1")
    assert_starts_in_time(start_delay(tables, job))


def build_uneven_targets() -> FleetTables:
    """Return two targets with 5 and 7 free accelerators."""
    targets = [build_target(n) for n in range(2)]
    tables = build_tables(*targets)
    fill(targets[0], tables, 1, 3)
    fill(targets[1], tables, 2, 1)
    return tables


def test_gang_starts_in_time_although_a_member_has_failed_on_a_target() -> None:
    """Guards against members that take the only places of one that failed elsewhere.

    The gang fits twice; the last member may use target-0 only, which fills up first.
    """
    tables = build_uneven_targets()
    job = add_job(tables, 3, single_step(6, gang=True))
    first_task(job, index=5).failed_on.add("target-1")
    assert_starts_in_time(start_delay(tables, job))


def test_member_of_a_gang_avoids_the_target_where_it_failed() -> None:
    tables = build_uneven_targets()
    job = add_job(tables, 3, single_step(6, gang=True))
    first_task(job, index=5).failed_on.add("target-1")
    placement = decide_at(tables, NOW, operators()).placements[0]
    used = [target.report.target_id for _, target in placement.starts]
    assert [task.key.index for task, _ in placement.starts] == list(range(6))
    assert used[5] == "target-0"


def test_gang_starts_in_time_although_all_its_members_failed_on_a_target() -> None:
    """Guards against a gang that waits for good as it fits only with that target."""
    tables = build_uneven_targets()
    job = add_job(tables, 3, single_step(6, gang=True))
    for task in first_step(job).tasks:
        task.failed_on.add("target-1")
    assert_starts_in_time(start_delay(tables, job))


def build_reserving_service(
    target_count: int, used: int, estimate_ms: int = 1_000
) -> FleetTables:
    """Return targets that are all reserved for a gang which cannot start.

    A less urgent task with this estimate runs on one of them, and others take ``used``
    targets more that the gang does not need.
    """
    targets = [build_target(n) for n in range(target_count + used)]
    tables = build_tables(*targets)
    fill(targets[0], tables, 1, 1, estimate_ms=estimate_ms)
    for number in range(used):
        occupy(tables, targets[target_count + number], 10 + number)
    gang = add_job(tables, GANG_NUMBER, single_step(target_count, WHOLE, gang=True))
    first_step(gang).ready_at = NOW
    return tables


def test_step_starts_in_time_behind_a_gang_that_waits_for_long_runs() -> None:
    """Guards against capacity that lies idle for a gang while other steps wait."""
    tables = build_reserving_service(target_count=4, used=0)
    whole_task = add_job(tables, 2, single_step(1, WHOLE), priority=2)
    assert_starts_in_time(start_delay(tables, whole_task))


def test_gang_starts_in_time_behind_a_gang_that_waits_for_long_runs() -> None:
    tables = build_reserving_service(target_count=8, used=0)
    gang = single_step(2, WHOLE, gang=True, same_rack=True)
    assert_starts_in_time(start_delay(tables, add_job(tables, 2, gang, priority=2)))


def test_only_one_task_of_a_job_overtakes_a_waiting_gang() -> None:
    """Guards against a large step that takes all that is reserved for a gang."""
    tables = build_reserving_service(target_count=8, used=0)
    job = add_job(tables, 2, single_step(8, WHOLE), priority=2)
    first_step(job).ready_at = NOW
    placements = decide_at(tables, NOW + MAX_WAIT_SECONDS, operators()).placements
    assert [len(placement.starts) for placement in placements] == [1]


def test_all_tasks_that_last_overtake_a_waiting_gang() -> None:
    """Guards against a serving task that waits as others of its job serve."""
    tables = build_reserving_service(target_count=8, used=0)
    target = tables.targets["target-8"] = build_target(8)
    job = add_job(tables, 2, single_step(2, WHOLE, lasting=True), priority=2)
    run_task(tables, target, first_task(job), WHOLE, 2, started_at=NOW).lasting = True
    assert_starts_in_time(start_delay(tables, job))


def test_waiting_gang_is_not_overtaken_on_a_busy_service() -> None:
    """Guards against starvation of gangs: beyond half of the service, they keep room.

    Of 12 targets, 6 and a part of another one are in use.
    """
    tables = build_reserving_service(target_count=6, used=6)
    whole_task = add_job(tables, 2, single_step(1, WHOLE), priority=2)
    assert start_delay(tables, whole_task) is None


def test_waiting_gang_keeps_half_of_the_service_from_many_jobs() -> None:
    """Guards against starvation of gangs by many jobs that overtake at once."""
    tables = build_reserving_service(target_count=8, used=0)
    for number in range(20, 40):
        job = add_job(tables, number, single_step(1, WHOLE), priority=2)
        first_step(job).ready_at = NOW
    decisions = decide_at(tables, NOW + MAX_WAIT_SECONDS, operators())
    # One eighth of a target is in use already, so the fourth one exceeds the half.
    assert decisions.starts == 4


def test_gang_that_has_waited_for_long_is_not_overtaken_by_long_jobs() -> None:
    """Guards against starvation of gangs by jobs that arrive one by one."""
    tables = build_reserving_service(target_count=8, used=0)
    long_task = single_step(1, WHOLE, estimate_ms=20_000)
    long_job = add_job(tables, 2, long_task, priority=2)
    first_step(long_job).ready_at = NOW
    add_arrival(tables, 3, NOW + 30.0)
    assert not decide_at(tables, NOW + 31.0, operators()).starts


def test_waiting_gang_is_not_overtaken_by_long_jobs_of_a_stream() -> None:
    """Guards against starvation of gangs by jobs that keep arriving."""
    tables = build_reserving_service(target_count=8, used=0)
    long_task = single_step(1, WHOLE, estimate_ms=10_000)
    waiting = add_job(tables, 2, long_task, priority=2)
    serving = add_job(tables, 3, single_step(1, WHOLE, lasting=True), priority=2)
    for job in (waiting, serving):
        first_step(job).ready_at = NOW
    add_job(tables, 4, single_step(1, WHOLE), priority=2)
    now = NOW + MAX_WAIT_SECONDS
    decisions = decide_at(tables, now, operators())
    assert [number for number, _ in started(decisions)] == [serving.accepted.job_id]
    later = decide_at(tables, now + MAX_WAIT_SECONDS, operators())
    assert waiting.accepted.job_id in [number for number, _ in started(later)]


def add_arrival(tables: FleetTables, number: int, at: float) -> JobRow:
    """Add a short job of low priority that became ready at a time."""
    job = add_job(tables, number, single_step(1, SMALL), priority=2)
    first_step(job).ready_at = at
    return job


def short_job_starts(tables: FleetTables, gang_waited: float) -> bool:
    """Return whether a short job of a stream starts in time behind the gang.

    Another one has just arrived.
    """
    now = NOW + gang_waited
    waiting = add_arrival(tables, 20, now - MAX_WAIT_SECONDS)
    add_arrival(tables, 21, now)
    started_jobs = [
        number for number, _ in started(decide_at(tables, now, operators()))
    ]
    return waiting.accepted.job_id in started_jobs


@pytest.mark.parametrize("gang_waited", [3.0, 15.0, 31.0, 90.0])
@pytest.mark.parametrize("estimate_ms", [1_000, 100_000])
def test_short_jobs_start_in_time_in_a_stream_behind_a_waiting_gang(
    gang_waited: float, estimate_ms: int
) -> None:
    """Guards against an idle service that is kept for a gang behind one long run.

    The run goes on for long, as it is expected to or in spite of its estimate.
    """
    tables = build_reserving_service(8, used=0, estimate_ms=estimate_ms)
    assert short_job_starts(tables, gang_waited)


def test_gang_is_not_overtaken_by_a_job_that_may_end_after_its_start() -> None:
    """Guards against a gang that waits longer for jobs that fill its room."""
    tables = build_reserving_service(8, used=0, estimate_ms=16_500)
    assert not short_job_starts(tables, gang_waited=15.0)


def test_gang_is_not_overtaken_while_it_waits_only_for_what_has_overtaken_it() -> None:
    """Guards against overtaking jobs that follow each other for ever.

    The one that is there has exceeded its estimate, so its end is not known.
    """
    tables = build_reserving_service(8, used=0)
    [run] = tables.targets["target-0"].runs.values()
    run.started_at = NOW + 10.0
    assert not short_job_starts(tables, gang_waited=15.0)


def test_job_uses_only_the_room_of_the_gang_that_starts_later() -> None:
    """Guards against one gang's long wait that opens the room of another one."""
    targets = [build_target(n) for n in range(3)]
    tables = build_tables(*targets)
    later = dict.fromkeys(("target-1", "target-2"), WHOLE)
    now = NOW + 15.0
    overtaking = Overtaking(now, [targets], last_arrival=now)
    overtaking.note_reserved(Reservation(15.0, {"target-0": WHOLE}, starts_in=1.5))
    overtaking.note_reserved(Reservation(15.0, later, starts_in=85.0))
    job = add_arrival(tables, 20, now - MAX_WAIT_SECONDS)
    nothing_free = [FreeCapacity(target, 0, 0, 0) for target in targets]
    plan = overtaking.plan(
        WaitingStep(job, first_step(job), SERVICE), nothing_free, True
    )
    assert plan is not None
    [(_, free)] = plan.entries
    assert free.target is not targets[0]


def test_room_of_best_effort_gang_is_not_taken_for_that_of_another() -> None:
    """Guards against a gang that waits for a rack which could never hold it.

    It needs more cores than a rack has; a gang that takes cores as available fits.
    """
    targets = build_racks(racks=4, per_rack=2)
    tables = build_tables(*targets)
    room = Resources(WHOLE_TARGET.cpu, 1_000, 1)
    lenient_gang = single_step(3, room, True, True, 3_000, best_effort_cpu=True)
    lenient = add_job(tables, 1, lenient_gang)
    strict = add_job(tables, 2, single_step(3, room, True, True, 3_000))
    policy = create_spread_policy(targets, NOW)
    for job in (lenient, strict):
        first_step(job).ready_at = NOW
    assert not policy.may_spread(first_step(lenient))
    assert policy.may_spread(first_step(strict))
