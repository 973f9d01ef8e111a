"""Judgement of targets by the runs that they carry.

Answers targets that fail or stall what they start while they report themselves sound:
failures of different jobs, or runs that make no progress, quarantine a target for a
while that doubles with each repetition. One done run clears it.
"""

from __future__ import annotations

from egretloft._internal.fleet.models import EndKind, RunEnd
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    TargetRow,
)

# Failures of this many different jobs within the window quarantine a target.
FAILED_JOBS = 2
WINDOW_SECONDS = 15.0
FIRST_QUARANTINE_SECONDS = 4.0
LONGEST_QUARANTINE_SECONDS = 30.0
# A run whose progress stands still for this long, and for this many times the time
# that a hundredth of it takes by its estimate, is stalled.
STALL_SECONDS = 3.0
STALL_PERCENTS = 12.0
PERCENTS = 100.0
MILLISECONDS = 1000.0


def judge_end(target: TargetRow, end: RunEnd, now: float) -> bool:
    """Take an end as evidence; return whether the target is quarantined now."""
    if end.kind is EndKind.DONE:
        target.failed_jobs.clear()
        target.quarantines = 0
        return False
    if end.kind is not EndKind.FAILED:
        return False
    job_id = end.run.task.step.job_id
    target.failed_jobs = [
        (at, job)
        for at, job in target.failed_jobs
        if now - at <= WINDOW_SECONDS and job != job_id
    ]
    target.failed_jobs.append((now, job_id))
    # A target that was quarantined before is tried with one job only.
    limit = 1 if target.quarantines else FAILED_JOBS
    if len(target.failed_jobs) < limit:
        return False
    quarantine(target, now)
    return True


def quarantine(target: TargetRow, now: float) -> None:
    """Keep new work from the target for a while."""
    pause = FIRST_QUARANTINE_SECONDS * 2**target.quarantines
    target.quarantined_until = now + min(LONGEST_QUARANTINE_SECONDS, pause)
    target.quarantines += 1
    target.failed_jobs.clear()


def stalled_runs(tables: FleetTables, now: float) -> list[RunRow]:
    """Return active runs without progress for too long."""
    found: list[RunRow] = []
    for target in tables.targets.values():
        if not target.reachable or target.silent_renewals:
            continue
        for run in target.runs.values():
            if (
                run.phase is RunPhase.ACTIVE
                and run.confirmed
                and is_stalled(tables, target, run, now)
            ):
                found.append(run)
    return found


def is_stalled(tables: FleetTables, target: TargetRow, run: RunRow, now: float) -> bool:
    """Return whether the run should have moved on since it was last seen moving."""
    job = tables.jobs.get(run.key.task.step.job_id)
    if job is None:
        return False
    spec = job.accepted.spec.steps[run.key.task.step.step]
    # A run that outlasts its estimate stays at 100 percent until it ends.
    if spec.lasting or run.percent >= PERCENTS:
        return False
    per_percent = spec.estimate_ms / MILLISECONDS / PERCENTS
    patience = max(STALL_SECONDS, STALL_PERCENTS * per_percent)
    # Only the time up to the last list counts: silence is no evidence.
    return target.last_answer - run.moved_at > patience
