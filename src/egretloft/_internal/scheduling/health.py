"""Tells faulty workers from faulty jobs.

A worker is quarantined when distinct jobs fail on it in a row. A job is bad when it
fails on distinct sets of workers that are not quarantined.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

JOBS_FOR_QUARANTINE = 3
SETS_FOR_BAD_JOB = 3
# In a small topology there may be fewer than ``SETS_FOR_BAD_JOB`` sets of workers, so
# a job that keeps failing on workers that are not quarantined ends after this many
# failures.
FAILURES_FOR_BAD_JOB = 8


@dataclass(slots=True)
class WorkerHealth:
    """Failures and quarantines of one worker.

    Each quarantine, up to a maximum, lasts twice as long as the one before.
    """

    failed_jobs: dict[str, None] = field(default_factory=dict)
    quarantine_count: int = 0
    quarantined_until: float = 0.0
    probation: bool = False


class Health:
    """Counts failures by distinct pairs of worker and job, and sets quarantines."""

    def __init__(
        self, quarantine_seconds: float, quarantine_max_seconds: float
    ) -> None:
        self.quarantine_seconds = quarantine_seconds
        self.quarantine_max_seconds = quarantine_max_seconds
        self.workers: dict[str, WorkerHealth] = {}

    def record_success(self, worker_id: str, now: float) -> None:
        """Clear the failures and past quarantines of a worker.

        Does nothing while the worker is in quarantine, which runs to its end.
        """
        health = self.workers.get(worker_id)
        if health is not None and now >= health.quarantined_until:
            del self.workers[worker_id]

    def record_failure(
        self, worker_id: str, job_id: str, failed_set_count: int, now: float
    ) -> float | None:
        """Count a failure; return the end of the quarantine that it causes, if any.

        ``failed_set_count`` is the number of sets of workers on which the job failed
        before. From ``SETS_FOR_BAD_JOB`` on, its failures are not counted against
        workers, because the job is then likely to be the cause.
        """
        if failed_set_count >= SETS_FOR_BAD_JOB:
            return None
        health = self.workers.setdefault(worker_id, WorkerHealth())
        if now < health.quarantined_until:
            return None
        health.failed_jobs[job_id] = None
        if not health.probation and len(health.failed_jobs) < JOBS_FOR_QUARANTINE:
            return None
        seconds = min(
            self.quarantine_max_seconds,
            self.quarantine_seconds * 2.0**health.quarantine_count,
        )
        health.quarantine_count += 1
        health.quarantined_until = now + seconds
        health.failed_jobs.clear()
        health.probation = False
        return health.quarantined_until

    def end_quarantine(self, worker_id: str) -> None:
        """Put the worker on probation: the next gang on it decides.

        One failure quarantines the worker again; a success clears its failures.
        """
        self.workers.setdefault(worker_id, WorkerHealth()).probation = True

    def is_bad_job(
        self,
        failed_sets: set[frozenset[str]],
        failures: int,
        is_quarantined: Callable[[str], bool],
    ) -> bool:
        """Return whether the job, and not the workers, caused the failures."""
        counted = [
            each
            for each in failed_sets
            if not any(is_quarantined(worker_id) for worker_id in each)
        ]
        return len(counted) >= SETS_FOR_BAD_JOB or (
            bool(counted) and failures >= FAILURES_FOR_BAD_JOB
        )

    def discard_job_evidence(self, job_id: str) -> None:
        """Remove the failures of a bad job from the counts of workers."""
        for health in self.workers.values():
            health.failed_jobs.pop(job_id, None)
