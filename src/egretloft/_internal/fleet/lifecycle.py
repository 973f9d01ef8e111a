"""Systems that carry jobs from acceptance to their final state."""

from __future__ import annotations

from collections.abc import Iterator

from egretloft._internal.fleet.models import (
    EndKind,
    JobState,
    RunEnd,
    RunKey,
    StepKey,
)
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    StepRow,
    TargetRow,
    TaskRow,
)

# A gang whose members have not all confirmed their start by then is stopped, before
# the targets end those that wait as alone.
GANG_START_SECONDS = 1.5
# The members of a gang end together; the ends of all are listed within this time.
FINISH_SECONDS = 1.0


def remove_run(target: TargetRow, run: RunRow, task: TaskRow | None) -> None:
    """Free the room of a run that has certainly ended."""
    target.runs.pop(run.key, None)
    if task is not None and task.run is run:
        task.run = None


def apply_end(tables: FleetTables, target: TargetRow, end: RunEnd) -> JobRow | None:
    """Take an end that a target listed into the tables; return the job it changed.

    An end is applied once, however often it is listed: attempts are kept as a set.
    """
    target.last_applied_end = max(target.last_applied_end, end.number)
    task = tables.task(end.run.task)
    run = target.runs.get(end.run)
    if run is not None:
        remove_run(target, run, task)
    if task is None:
        return None
    job = tables.jobs[end.run.task.step.job_id]
    step = job.step(end.run.task.step)
    step.begun = True
    job.started = True
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
    return job


def save_checkpoint(step: StepRow, task: TaskRow, checkpoint: str) -> None:
    """Keep a checkpoint; in a gang that of any member holds for all."""
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        member.checkpoint = checkpoint


def mark_done(step: StepRow, task: TaskRow) -> None:
    """Mark a task as done; in a gang one end stands for all."""
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        member.done = True
        member.failed.clear()


def update_state(job: JobRow) -> None:
    """Set the final state once it is certain."""
    if job.is_final():
        return
    if any_task_exhausted(job):
        job.state = JobState.FAILED
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


def any_task_exhausted(job: JobRow) -> bool:
    """Return whether a task or gang failed as often as its queue allows."""
    attempts = job.accepted.attempts
    for step in job.steps.values():
        if step.spec.lasting:
            continue
        for task in step.tasks:
            if task.failed and not task.done and step.failures(task) >= attempts:
                return True
    return False


def open_steps(job: JobRow, wall_ms: float, now: float) -> Iterator[StepRow]:
    """Yield the steps whose turn has come and that are not done."""
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
    tables: FleetTables, now: float, in_doubt: bool = False
) -> list[RunRow]:
    """Return runs that have no purpose: of ended jobs, done tasks or broken gangs.

    While a new leader is ``in_doubt``, a gang's missing members may be on targets that
    it has not reached yet, so the gang is left alone.
    """
    unwanted: list[RunRow] = []
    broken: dict[tuple[StepKey, int], bool] = {}
    for target in tables.targets.values():
        for run in target.runs.values():
            if run.phase is RunPhase.STOPPING:
                continue
            if is_finishing(tables, run, now):
                continue
            if is_unwanted(tables, run):
                unwanted.append(run)
            elif run.gang and not in_doubt:
                gang = (run.key.task.step, run.key.attempt)
                if gang not in broken:
                    broken[gang] = is_broken(tables, run, now)
                if broken[gang]:
                    unwanted.append(run)
    return unwanted


def is_unwanted(tables: FleetTables, run: RunRow) -> bool:
    """Return whether nothing is gained by letting the run go on."""
    job = tables.jobs.get(run.key.task.step.job_id)
    task = tables.task(run.key.task)
    if job is None or task is None or job.is_final() or job.cancelled:
        return True
    return task.done or task.run is not run


def is_finishing(tables: FleetTables, run: RunRow, now: float) -> bool:
    """Return whether the run ends by itself, as another member of its gang is done."""
    task = tables.task(run.key.task)
    if not run.gang or task is None or not task.done or task.run is not run:
        return False
    if not run.finishing_since:
        run.finishing_since = now
    return now - run.finishing_since < FINISH_SECONDS


def is_broken(tables: FleetTables, run: RunRow, now: float) -> bool:
    """Return whether a member of the run's gang is missing, stopping or late."""
    job = tables.jobs[run.key.task.step.job_id]
    return any(
        member.run is None
        or member.run.key.attempt != run.key.attempt
        or member.run.phase is RunPhase.STOPPING
        or starts_late(member.run, now)
        for member in job.step(run.key.task.step).tasks
    )


def starts_late(run: RunRow, now: float) -> bool:
    """Return whether a start has been without an answer for too long for a gang."""
    return run.phase is RunPhase.STARTING and now - run.started_at > GANG_START_SECONDS


def adopt_run(
    tables: FleetTables, target: TargetRow, key: RunKey, percent: int, now: float
) -> RunRow:
    """Enter a run that a target reports and that this leader did not start."""
    task = tables.task(key.task)
    job = tables.jobs.get(key.task.step.job_id)
    spec = job.accepted.spec.steps[key.task.step.step] if job and task else None
    run = RunRow(
        key=key,
        target_id=target.report.target_id,
        room=spec.room if spec else target.report.room,
        priority=job.accepted.priority if job else 0,
        phase=RunPhase.ACTIVE,
        started_at=now,
        percent=percent,
        moved_at=now,
        lasting=spec.lasting if spec else False,
        gang=spec.gang if spec else False,
        adopted=True,
        confirmed=True,
    )
    target.runs[key] = run
    if job is None or task is None:
        return run
    job.started = True
    job.step(key.task.step).begun = True
    if job.state is JobState.QUEUED:
        job.state = JobState.ACTIVE
    if task.run is None or task.run.key.attempt < key.attempt:
        task.run = run
    return run
