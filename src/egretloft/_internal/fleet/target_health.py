"""Health of targets, judged by the runs on them.

Detects targets that report themselves as healthy while their runs fail or stall.
Failures of different jobs quarantine a target; each further quarantine lasts twice as
long, up to a limit. A run that is done resets both counts. A target gets no new work
while a run on it stalls. The run itself is stopped only once it has stalled for longer
than it would take to do its unsaved work again, as many stalls end by themselves.
Targets that leave starts unanswered are put in quarantine too.
"""

from __future__ import annotations

import structlog

from egretloft._internal.fleet.lost_work import unsaved_seconds
from egretloft._internal.fleet.models import EndKind, RunEnd
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    TargetRow,
)

log = structlog.get_logger(__name__)

# Failures of this many different jobs within the window put a target in quarantine.
FAILED_JOBS_LIMIT = 2
FAILURE_WINDOW_SECONDS = 15.0
FIRST_QUARANTINE_SECONDS = 4.0
MAX_QUARANTINE_SECONDS = 30.0
# A target stalls if the progress of a run on it has not changed for this long, and for
# this many times the time that one percent takes by its estimate.
STALL_SECONDS = 1.5
STALL_PERCENTS = 6.0
# A stalled run is stopped after these times, and after this multiple of the run time
# that would be lost.
STOP_SECONDS = 3.0
STOP_PERCENTS = 12.0
STOP_LOST_TIME_FACTOR = 1.5
# Longest time that a stalled run is kept because of the work that would be lost.
MAX_KEEP_SECONDS = 12.0
# How long a target is in quarantine after the last check that found it stalling. It is
# longer than the time between two checks.
STALL_QUARANTINE_SECONDS = 0.6
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


def review_progress(tables: FleetTables, now: float) -> list[RunRow]:
    """Quarantine the targets that stall; return the runs that are to be stopped.

    A target that does not answer is not judged, as nothing is known of its runs.
    """
    to_stop: list[RunRow] = []
    for target in tables.targets.values():
        if not target.runs or not target.reachable or target.failed_renewals:
            continue
        stalled = [run for run in target.runs.values() if is_stalled(target, run)]
        note_stalling(target, stalled, now)
        to_stop += [run for run in stalled if is_to_be_stopped(target, run)]
    return to_stop


def note_stalling(target: TargetRow, stalled: list[RunRow], now: float) -> None:
    """Quarantine the target while runs on it stall, and log when that begins."""
    if not stalled:
        target.stalling = False
        return
    until = now + STALL_QUARANTINE_SECONDS
    target.quarantined_until = max(target.quarantined_until, until)
    if not target.stalling:
        target.stalling = True
        log.warning(
            "target stalls",
            target=target.report.target_id,
            runs=len(stalled),
            of_runs=len(target.runs),
            longest=round(max(stalled_seconds(target, run) for run in stalled), 2),
        )


def stalled_seconds(target: TargetRow, run: RunRow) -> float:
    """Return for how long the run's progress has not changed.

    Only the time up to the target's last answer counts: while a target does not
    answer, nothing is known of its runs' progress.
    """
    return target.last_answer - run.percent_changed_at


def percent_seconds(run: RunRow) -> float:
    """Return the time that one percent of a run takes by its estimate."""
    if run.job is None:
        return 0.0
    spec = run.job.accepted.spec.steps[run.key.task.step.step]
    return spec.estimate_ms / MILLISECONDS / FULL_PERCENT


def is_stalled(target: TargetRow, run: RunRow) -> bool:
    """Return whether the progress of an active run has not changed for some time."""
    if run.job is None or run.phase is not RunPhase.ACTIVE or not run.confirmed:
        return False
    # A run that exceeds its estimate stays at 100 percent until it ends.
    if run.lasting or run.percent >= FULL_PERCENT:
        return False
    timeout = max(STALL_SECONDS, STALL_PERCENTS * percent_seconds(run))
    return stalled_seconds(target, run) > timeout


def is_to_be_stopped(target: TargetRow, run: RunRow) -> bool:
    """Return whether a stalled run has stalled for so long that it is stopped."""
    lost_time = unsaved_seconds(run, run.percent_changed_at)
    keep = min(MAX_KEEP_SECONDS, STOP_LOST_TIME_FACTOR * lost_time)
    timeout = max(STOP_SECONDS, STOP_PERCENTS * percent_seconds(run), keep)
    return stalled_seconds(target, run) > timeout
