"""Run times by queue, learned from runs that are done.

Answers estimates that are far off: one that is a tenth of the truth would spread a gang
over racks at once, where it runs several times as long.
"""

from __future__ import annotations

from egretloft._internal.fleet.tables import JobRow, RunRow, StepRow

MILLISECONDS = 1000.0
# Least share of a new run in a queue's mean, so that the mean follows the load.
LEARNING_SHARE = 0.02
# Weight of the estimate against the queue's mean; both are about as far off.
ESTIMATE_WEIGHT = 0.5


class RunTimes:
    """Mean run time of each queue's tasks, in seconds."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def observe(self, job: JobRow, step: StepRow, run: RunRow, now: float) -> None:
        """Take a run that is done; one that resumed or ran apart tells little."""
        if run.checkpoint or step.spread or step.spec.data_rack or run.adopted:
            return
        queue = job.accepted.queue
        seconds = now - run.started_at
        count = self.counts.get(queue, 0) + 1
        mean = self.means.get(queue, seconds)
        self.counts[queue] = count
        share = max(LEARNING_SHARE, 1.0 / count)
        self.means[queue] = mean + share * (seconds - mean)

    def expected_seconds(self, job: JobRow, step: StepRow) -> float:
        """Return how long a task of the step will probably run."""
        estimate = step.spec.estimate_ms / MILLISECONDS
        mean = self.means.get(job.accepted.queue)
        if mean is None:
            return estimate
        return ESTIMATE_WEIGHT * estimate + (1.0 - ESTIMATE_WEIGHT) * mean


def create_run_times() -> RunTimes:
    """Return run times of which nothing is known."""
    return RunTimes()
