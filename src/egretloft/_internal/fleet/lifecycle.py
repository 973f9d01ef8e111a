"""State changes of jobs, steps and runs, from acceptance to the final state."""

from __future__ import annotations

from collections.abc import Iterator

import structlog

from egretloft._internal.fleet.crash_suspects import is_given_up
from egretloft._internal.fleet.models import (
    EndKind,
    JobState,
    RunEnd,
    RunKey,
    StepKey,
)
from egretloft._internal.fleet.placing import required_resources
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    StepRow,
    TargetRow,
    TaskRow,
)
from egretloft._internal.fleet.target_health import FULL_PERCENT, percent_seconds

log = structlog.get_logger(__name__)

# A gang is stopped if not all its members have confirmed their start within this time.
# It is shorter than the time after which the targets themselves end members that wait
# for the others (``GANG_INCOMPLETE``).
GANG_START_TIMEOUT_SECONDS = 1.5
# A new leader stops an incomplete gang whose members have shown no progress for this
# long, and for this many times the time that one percent takes by its estimate.
IDLE_GANG_SECONDS = 0.4
IDLE_GANG_PERCENTS = 3.0
# The members of a gang end together; their targets list all ends within this time.
GANG_END_TIMEOUT_SECONDS = 1.0


def apply_end(tables: FleetTables, target: TargetRow, end: RunEnd) -> JobRow | None:
    """Apply an end that a target listed; return its job, if the task is known.

    Idempotent, as an end may be listed more than once: failed attempts are kept as a
    set.
    """
    target.last_applied_end = max(target.last_applied_end, end.number)
    task = tables.task(end.run.task)
    run = target.runs.get(end.run)
    if run is not None:
        tables.remove_run(target, run)
    if task is None:
        return None
    job = tables.jobs[end.run.task.step.job_id]
    step = job.step(end.run.task.step)
    step.started = True
    job.started = True
    if end.kind in (EndKind.DONE, EndKind.FAILED):
        tables.clear_suspicion(task)
    else:
        task.withdraw_suspicion(end.run.attempt)
    if end.checkpoint and not task.done:
        save_checkpoint(step, task, end.checkpoint)
    if end.kind is EndKind.DONE and not step.spec.lasting:
        mark_done(step, task)
    elif end.kind is EndKind.FAILED and not step.spec.lasting:
        task.failed.add(end.run.attempt)
        task.failed_on.add(target.report.target_id)
    if job.state is JobState.QUEUED:
        job.state = JobState.ACTIVE
    update_state(job)
    tables.touch(job)
    return job


def save_checkpoint(step: StepRow, task: TaskRow, checkpoint: str) -> None:
    """Keep a checkpoint; a checkpoint of one gang member applies to all members."""
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        member.checkpoint = checkpoint


def mark_done(step: StepRow, task: TaskRow) -> None:
    """Mark a task as done; in a gang this marks all members."""
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        member.done = True
        member.failed.clear()


def update_state(job: JobRow) -> None:
    """Set the job's final state once it is determined."""
    if job.is_final():
        return
    given_up = find_exhausted_task(job) or find_crashing_task(job)
    if given_up is not None:
        job.state = JobState.FAILED
        log.warning(
            "job given up",
            request_id=job.accepted.job_id,
            step=given_up.key.step.step,
            task=given_up.key.index,
            failed=sorted(given_up.failed),
            crashed=sorted(given_up.crashed),
            inconclusive=sorted(given_up.inconclusive),
            allowed=job.accepted.attempts,
        )
        return
    if job.cancelled:
        job.state = JobState.CANCELLED
        return
    for occurrence in range(job.occurrences()):
        for key in job.step_keys(occurrence):
            row = job.steps.get(key)
            if row is None or not row.is_done():
                return
    job.state = JobState.COMPLETE


def find_exhausted_task(job: JobRow) -> TaskRow | None:
    """Return a task that, or whose gang, has used up the attempts of its queue."""
    attempts = job.accepted.attempts
    for step in job.steps.values():
        if step.spec.lasting:
            continue
        for task in step.tasks:
            if task.failed and not task.done and step.failures(task) >= attempts:
                return task
    return None


def find_crashing_task(job: JobRow) -> TaskRow | None:
    """Return a task that has crashed so many targets that it is given up."""
    for step in job.steps.values():
        if not step.suspected:
            continue
        for task in step.tasks:
            if is_given_up(task):
                return task
    return None


def open_steps(job: JobRow, wall_ms: float, now: float) -> Iterator[StepRow]:
    """Yield the unfinished steps that are due and whose predecessors are done.

    Sets ``ready_at`` of steps that are due for the first time.
    """
    if job.is_final() or job.cancelled:
        return
    for occurrence in range(job.occurrences()):
        if job.due_at_ms(occurrence) > wall_ms:
            return
        for key in job.step_keys(occurrence):
            spec = job.accepted.spec.steps[key.step]
            if not all(step_is_done(job, key, number) for number in spec.after):
                continue
            row = job.step(key)
            if row.ready_at == 0.0:
                row.ready_at = now
            if not row.is_done():
                yield row


def step_is_done(job: JobRow, key: StepKey, number: int) -> bool:
    """Return whether step ``number`` of the same occurrence is done."""
    row = job.steps.get(StepKey(key.job_id, key.occurrence, number))
    return row is not None and row.is_done()


def runs_to_stop(
    tables: FleetTables, now: float, recovering: bool = False
) -> list[RunRow]:
    """Return runs that are no longer needed: of ended jobs, done tasks or broken gangs.

    Only the runs of unreviewed jobs are examined. A job stays unreviewed while time
    alone can make one of its runs unnecessary.

    While ``recovering`` is true, the missing members of a gang may run on targets that
    the new leader has not reached yet, so a broken gang is stopped only if none of its
    known members makes progress.
    """
    unwanted = [
        run for run in tables.orphans.values() if run.phase is not RunPhase.STOPPING
    ]
    for job_id, job in list(tables.unreviewed_jobs.items()):
        unwanted += unneeded_runs(job, now, recovering)
        if not any(needs_later_review(run, recovering) for run in job.runs.values()):
            del tables.unreviewed_jobs[job_id]
    return unwanted


def unneeded_runs(job: JobRow, now: float, recovering: bool) -> list[RunRow]:
    """Return the runs of a job that are no longer needed and not being stopped."""
    unneeded: list[RunRow] = []
    broken: dict[tuple[StepKey, int], bool] = {}
    for run in job.runs.values():
        if run.phase is RunPhase.STOPPING or is_finishing(run, now):
            continue
        if is_unwanted(job, run):
            unneeded.append(run)
        elif run.gang:
            gang = (run.key.task.step, run.key.attempt)
            if gang not in broken:
                broken[gang] = is_broken(job, run, now) and (
                    not recovering or is_idle_gang(job, run)
                )
            if broken[gang]:
                unneeded.append(run)
    return unneeded


def needs_later_review(run: RunRow, recovering: bool) -> bool:
    """Return whether the run may become unnecessary without another event."""
    if not run.gang or run.phase is RunPhase.STOPPING:
        return False
    return recovering or run.phase is RunPhase.STARTING or bool(run.finishing_since)


def is_unwanted(job: JobRow, run: RunRow) -> bool:
    """Return whether the run's job or task no longer needs it."""
    if run.task is None or job.is_final() or job.cancelled:
        return True
    return run.task.done or run.task.run is not run


def is_finishing(run: RunRow, now: float) -> bool:
    """Return whether the run may still end by itself, as its gang is done."""
    task = run.task
    if not run.gang or task is None or not task.done or task.run is not run:
        return False
    if not run.finishing_since:
        run.finishing_since = now
    return now - run.finishing_since < GANG_END_TIMEOUT_SECONDS


def is_broken(job: JobRow, run: RunRow, now: float) -> bool:
    """Return whether a member of the gang is missing, stopping or late to start."""
    return any(
        member.run is None
        or member.run.key.attempt != run.key.attempt
        or member.run.phase is RunPhase.STOPPING
        or is_start_overdue(member.run, now)
        for member in job.step(run.key.task.step).tasks
    )


def is_idle_gang(job: JobRow, run: RunRow) -> bool:
    """Return whether no known member of the gang has made progress since its adoption.

    They wait for a member that their former leader did not start.
    """
    members = [
        member
        for member in job.runs.values()
        if member.key.task.step == run.key.task.step
        and member.key.attempt == run.key.attempt
    ]
    timeout = max(IDLE_GANG_SECONDS, IDLE_GANG_PERCENTS * percent_seconds(run))
    return all(
        may_be_waiting(member)
        and member.reported_at - member.percent_changed_at >= timeout
        for member in members
    )


def may_be_waiting(run: RunRow) -> bool:
    """Return whether an adopted gang member may still wait for other members."""
    # A run that exceeds its estimate stays at 100 percent.
    return (
        run.gang
        and run.adopted
        and run.percent_changed_at == run.started_at
        and run.percent < FULL_PERCENT
    )


def is_start_overdue(run: RunRow, now: float) -> bool:
    """Return whether a start has been unconfirmed for longer than a gang allows."""
    return (
        run.phase is RunPhase.STARTING
        and now - run.started_at > GANG_START_TIMEOUT_SECONDS
    )


def add_late_start(
    tables: FleetTables, target: TargetRow, key: RunKey, now: float
) -> RunRow:
    """Add a start that a target may still carry out; its task has been given up there.

    The task does not start elsewhere before the start is known to be stopped, unless it
    has been started again already.
    """
    run = unknown_run(tables, target, key, RunPhase.STARTING, now)
    # When it starts, if it does, is not known.
    run.adopted = True
    tables.add_run(target, run)
    if run.task is not None and run.task.run is None:
        run.task.run = run
    return run


def adopt_run(
    tables: FleetTables, target: TargetRow, key: RunKey, percent: int, now: float
) -> RunRow:
    """Add a run that a target reports and that this leader did not start."""
    run = unknown_run(tables, target, key, RunPhase.ACTIVE, now)
    run.percent = percent
    run.reported_at = now
    run.adopted = run.confirmed = True
    tables.add_run(target, run)
    job, task = run.job, run.task
    if job is None or task is None:
        return run
    job.started = True
    job.step(key.task.step).started = True
    if job.state is JobState.QUEUED:
        job.state = JobState.ACTIVE
    if task.run is None or task.run.key.attempt < key.attempt:
        task.run = run
    return run


def unknown_run(
    tables: FleetTables, target: TargetRow, key: RunKey, phase: RunPhase, now: float
) -> RunRow:
    """Return a run that is not in the tables, without adding it.

    What a run of an unknown task takes is not known; it counts as the whole target.
    """
    task = tables.task(key.task)
    job = tables.jobs.get(key.task.step.job_id)
    spec = job.accepted.spec.steps[key.task.step.step] if job and task else None
    return RunRow(
        key=key,
        target_id=target.report.target_id,
        room=required_resources(spec) if spec else target.report.room,
        priority=job.accepted.priority if job else 0,
        phase=phase,
        started_at=now,
        percent_changed_at=now,
        lasting=spec.lasting if spec else False,
        gang=spec.gang if spec else False,
        job=job if task is not None else None,
        task=task,
    )
