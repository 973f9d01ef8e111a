"""Bad workers against bad jobs.

A worker is suspect when distinct jobs fail on it in a row; a job is bad when it fails
on distinct sets of workers that are not themselves suspect.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

JOBS_FOR_QUARANTINE = 3
SETS_FOR_BAD_JOB = 3
# In a small topology there may be fewer than three sets of workers; a job that keeps
# failing on workers that serve others ends after this many failures.
FAILURES_FOR_BAD_JOB = 8


@dataclass(slots=True)
class WorkerHealth:
    """Evidence against one worker; ``level`` doubles its next quarantine."""

    failed_jobs: dict[str, None] = field(default_factory=dict)
    level: int = 0
    quarantined_until: float = 0.0
    probation: bool = False


class Health:
    """Evidence over distinct (worker, job) pairs."""

    def __init__(self, quarantine_seconds: float, longest_seconds: float) -> None:
        self.quarantine_seconds = quarantine_seconds
        self.longest_seconds = longest_seconds
        self.workers: dict[str, WorkerHealth] = {}

    def record_success(self, worker_id: str, now: float) -> None:
        """Clear the evidence against a worker; a quarantine runs to its end."""
        health = self.workers.get(worker_id)
        if health is not None and now >= health.quarantined_until:
            del self.workers[worker_id]

    def record_failure(
        self, worker_id: str, job_id: str, job_sets: int, now: float
    ) -> float | None:
        """Count a failure; return the end of the quarantine that it causes.

        ``job_sets`` is the number of sets of workers on which the job failed before.
        """
        if job_sets >= SETS_FOR_BAD_JOB:
            return None
        health = self.workers.setdefault(worker_id, WorkerHealth())
        if now < health.quarantined_until:
            return None
        health.failed_jobs[job_id] = None
        if not health.probation and len(health.failed_jobs) < JOBS_FOR_QUARANTINE:
            return None
        seconds = min(self.longest_seconds, self.quarantine_seconds * 2.0**health.level)
        health.level += 1
        health.quarantined_until = now + seconds
        health.failed_jobs.clear()
        health.probation = False
        return health.quarantined_until

    def end_quarantine(self, worker_id: str) -> None:
        """Let one probe gang decide about the worker."""
        self.workers.setdefault(worker_id, WorkerHealth()).probation = True

    def is_bad_job(
        self,
        failed_sets: set[frozenset[str]],
        failures: int,
        is_quarantined: Callable[[str], bool],
    ) -> bool:
        """Return whether the failures speak against the job and not the workers."""
        counted = [
            each
            for each in failed_sets
            if not any(is_quarantined(worker_id) for worker_id in each)
        ]
        return len(counted) >= SETS_FOR_BAD_JOB or (
            bool(counted) and failures >= FAILURES_FOR_BAD_JOB
        )

    def condemn_job(self, job_id: str) -> None:
        """Withdraw the evidence that a bad job gave against workers."""
        for health in self.workers.values():
            health.failed_jobs.pop(job_id, None)
