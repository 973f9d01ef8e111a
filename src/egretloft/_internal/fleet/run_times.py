"""Expected run times, from estimates and from the completed runs of each queue.

Corrects estimates that are far off: with an estimate of a tenth of the real run time, a
gang would be spread over racks at once, where it runs several times as long.
"""

from __future__ import annotations

from egretloft._internal.fleet.tables import JobRow, RunRow, StepRow

MILLISECONDS = 1000.0
# Least weight of a new run in a queue's mean, so that the mean follows the load.
MIN_SAMPLE_WEIGHT = 0.02
# Weight of the estimate against the queue's mean; both have errors of similar size.
ESTIMATE_WEIGHT = 0.5


class RunTimes:
    """Moving average of the run time of each queue's tasks, in seconds."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.counts: dict[str, int] = {}

    def observe(self, job: JobRow, step: StepRow, run: RunRow, now: float) -> None:
        """Add a completed run to the mean of its queue.

        Runs that resumed from a checkpoint, were adopted, were spread over racks or
        depend on where their data is are ignored: their time is not typical.
        """
        if run.checkpoint or step.spread or step.spec.data_rack or run.adopted:
            return
        queue = job.accepted.queue
        seconds = now - run.started_at
        count = self.counts.get(queue, 0) + 1
        mean = self.means.get(queue, seconds)
        self.counts[queue] = count
        share = max(MIN_SAMPLE_WEIGHT, 1.0 / count)
        self.means[queue] = mean + share * (seconds - mean)

    def expected_seconds(self, job: JobRow, step: StepRow) -> float:
        """Return the expected run time of one task of the step."""
        estimate = step.spec.estimate_ms / MILLISECONDS
        mean = self.means.get(job.accepted.queue)
        if mean is None:
            return estimate
        return ESTIMATE_WEIGHT * estimate + (1.0 - ESTIMATE_WEIGHT) * mean


def create_run_times() -> RunTimes:
    """Return run times without observations."""
    return RunTimes()
