"""Health of targets, judged by the runs on them.

Detects targets that report themselves as healthy while their runs fail or stall.
Failures of different jobs, or runs without progress, quarantine a target; each further
quarantine lasts twice as long, up to a limit. A run that is done resets both counts.
"""

from __future__ import annotations

from egretloft._internal.fleet.models import EndKind, RunEnd
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    TargetRow,
)

# Failures of this many different jobs within the window put a target in quarantine.
FAILED_JOBS_LIMIT = 2
FAILURE_WINDOW_SECONDS = 15.0
FIRST_QUARANTINE_SECONDS = 4.0
MAX_QUARANTINE_SECONDS = 30.0
# A run is stalled if its progress has not changed for this long, and for this many
# times the time that one percent takes by its estimate.
STALL_SECONDS = 3.0
STALL_PERCENTS = 12.0
FULL_PERCENT = 100.0
MILLISECONDS = 1000.0


def update_health(target: TargetRow, end: RunEnd, now: float) -> bool:
    """Count the end of a run; return whether it puts the target in quarantine."""
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
        if now - at <= FAILURE_WINDOW_SECONDS and job != job_id
    ]
    target.failed_jobs.append((now, job_id))
    # After a quarantine, the next failure is enough for another one.
    limit = 1 if target.quarantines else FAILED_JOBS_LIMIT
    if len(target.failed_jobs) < limit:
        return False
    quarantine(target, now)
    return True


def quarantine(target: TargetRow, now: float) -> None:
    """Put the target in quarantine for a time that doubles with each quarantine."""
    duration = FIRST_QUARANTINE_SECONDS * 2**target.quarantines
    target.quarantined_until = now + min(MAX_QUARANTINE_SECONDS, duration)
    target.quarantines += 1
    target.failed_jobs.clear()


def stalled_runs(tables: FleetTables) -> list[RunRow]:
    """Return active runs that have made no progress for too long."""
    found: list[RunRow] = []
    for target in tables.targets.values():
        if not target.reachable or target.failed_renewals:
            continue
        for run in target.runs.values():
            if (
                run.phase is RunPhase.ACTIVE
                and run.confirmed
                and is_stalled(target, run)
            ):
                found.append(run)
    return found


def is_stalled(target: TargetRow, run: RunRow) -> bool:
    """Return whether the run's progress has not changed for too long."""
    if run.job is None:
        return False
    spec = run.job.accepted.spec.steps[run.key.task.step.step]
    # A run that exceeds its estimate stays at 100 percent until it ends.
    if spec.lasting or run.percent >= FULL_PERCENT:
        return False
    per_percent = spec.estimate_ms / MILLISECONDS / FULL_PERCENT
    timeout = max(STALL_SECONDS, STALL_PERCENTS * per_percent)
    # Only the time up to the target's last answer counts: while a target does not
    # answer, nothing is known of its runs' progress.
    return target.last_answer - run.percent_changed_at > timeout
