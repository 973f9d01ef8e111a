"""Effect of run ends on attempts and job states."""

from __future__ import annotations

from egretloft._internal import codec
from egretloft._internal.fleet.lifecycle import (
    adopt_run,
    apply_end,
    runs_to_stop,
    update_state,
)
from egretloft._internal.fleet.models import (
    EndKind,
    JobState,
    Resources,
    RunEnd,
    RunKey,
)
from egretloft._internal.fleet.records import JobProgress
from egretloft._internal.fleet.tables import JobRow
from lib.fleet_builders import (
    SMALL,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
    task_key,
)


def end(
    number: int,
    kind: EndKind,
    index: int = 0,
    attempt: int = 1,
    checkpoint: str = "",
) -> RunEnd:
    return RunEnd(number, RunKey(task_key(1, index=index), attempt), kind, checkpoint)


def test_end_that_is_listed_twice_counts_once() -> None:
    """Guards against a job that fails too early after a takeover.

    Targets list unacknowledged ends to the new leader again.
    """
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1))
    for _ in range(3):
        apply_end(tables, target, end(1, EndKind.FAILED))
    assert first_task(job).failed == {1}
    assert job.state is JobState.ACTIVE


def test_job_fails_after_its_attempts_only() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1))
    for attempt in (1, 2):
        apply_end(tables, target, end(attempt, EndKind.FAILED, attempt=attempt))
    for attempt in (3, 4, 5):
        apply_end(tables, target, end(attempt, EndKind.LEASE_EXPIRED, attempt=attempt))
    assert job.state is JobState.ACTIVE
    apply_end(tables, target, end(6, EndKind.FAILED, attempt=6))
    assert job.state is JobState.FAILED


def test_one_done_member_ends_a_gang() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(3, gang=True))
    apply_end(tables, target, end(1, EndKind.DONE, index=2))
    assert job.state is JobState.COMPLETE


def test_failed_members_of_one_gang_run_count_once() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(3, gang=True))
    for index in range(3):
        apply_end(tables, target, end(index + 1, EndKind.FAILED, index=index))
    assert job.state is JobState.ACTIVE


def test_checkpoint_of_a_member_holds_for_the_gang() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(2, gang=True, checkpoints=True))
    apply_end(tables, target, end(1, EndKind.STOPPED, checkpoint="saved"))
    assert [first_task(job, index=n).checkpoint for n in (0, 1)] == ["saved"] * 2


def test_broken_gang_is_stopped_unless_its_members_may_be_unknown() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(2, gang=True))
    run = run_task(tables, target, first_task(job), SMALL, gang=True)
    assert runs_to_stop(tables, 0.0, recovering=True) == []
    assert runs_to_stop(tables, 0.0) == [run]


def test_members_of_a_gang_that_is_done_end_by_themselves() -> None:
    """Guards against needless stops of the members of a gang that is done.

    The members end at about the same time, but one end is listed before the others.
    """
    targets = [build_target(0), build_target(1)]
    tables = build_tables(*targets)
    job = add_job(tables, 1, single_step(2, gang=True))
    run_task(tables, targets[0], first_task(job), SMALL, gang=True)
    other = run_task(tables, targets[1], first_task(job, index=1), SMALL, gang=True)
    apply_end(tables, targets[0], end(1, EndKind.DONE))
    assert job.state is JobState.COMPLETE
    assert runs_to_stop(tables, 10.0) == []
    assert runs_to_stop(tables, 10.9) == []
    assert runs_to_stop(tables, 11.1) == [other]


def test_runs_of_a_cancelled_job_are_stopped() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1))
    run = run_task(tables, target, first_task(job), SMALL)
    job.cancelled = True
    update_state(job)
    assert job.state is JobState.CANCELLED
    assert runs_to_stop(tables, 0.0) == [run]


def test_lasting_task_is_never_done() -> None:
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1, lasting=True))
    for number, kind in enumerate((EndKind.DONE, EndKind.FAILED), start=1):
        apply_end(tables, target, end(number, kind, attempt=number))
    assert job.state is JobState.ACTIVE
    assert not first_task(job).done
    assert first_task(job).failed == set()


def test_progress_is_restored_from_its_stored_row() -> None:
    """Guards against a new leader that starts a completed task again.

    It knows the ends that a target has forgotten only from the stored progress.
    """
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(3))
    apply_end(tables, target, end(1, EndKind.DONE, index=1))
    apply_end(tables, target, end(2, EndKind.FAILED, index=2, checkpoint="saved"))
    stored = codec.decode(codec.encode(job.progress()), JobProgress).unwrap()
    successor = JobRow(job.accepted)
    successor.restore(stored)
    assert [first_task(successor, index=n).done for n in range(3)] == [
        False,
        True,
        False,
    ]
    assert first_task(successor, index=2).failed == {1}
    assert first_task(successor, index=2).checkpoint == "saved"


def test_an_adopted_best_effort_run_takes_no_processor() -> None:
    """Guards against a takeover after which best-effort work blocks a target."""
    target = build_target(0)
    tables = build_tables(target)
    job = add_job(tables, 1, single_step(1, best_effort_cpu=True))
    run = adopt_run(tables, target, RunKey(first_task(job).key, 1), 0, 1.0)
    assert run.room == Resources(0, SMALL.memory_mb, SMALL.gpus)
