"""Work that a run loses if it ends early, in core-seconds.

A GPU counts as several cores. Work up to a task's last checkpoint is not lost.
"""

from __future__ import annotations

from collections.abc import Iterable

from egretloft._internal.fleet.models import Resources, StepKey
from egretloft._internal.fleet.tables import RunRow, StepRow

# Weight of a GPU, in cores.
CORES_PER_GPU = 8
MILLICORES = 1000
# Most run time that a checkpointing task loses when it ends early.
MAX_CHECKPOINT_LOSS_SECONDS = 1.0


def weighted_cores(resources: Resources) -> float:
    """Return the cores that resources are worth, accelerators included."""
    return resources.cpu / MILLICORES + resources.gpus * CORES_PER_GPU


def unsaved_seconds(run: RunRow, now: float) -> float:
    """Return the seconds that a run has worked since its last checkpoint."""
    worked = max(0.0, now - run.started_at)
    if run.job is not None:
        spec = run.job.accepted.spec.steps[run.key.task.step.step]
        if spec.checkpoints:
            worked = min(worked, MAX_CHECKPOINT_LOSS_SECONDS)
    return worked


def unsaved_work(run: RunRow, now: float) -> float:
    """Return the core-seconds that a run has worked since its last checkpoint."""
    return weighted_cores(run.room) * unsaved_seconds(run, now)


def expected_work(step: StepRow) -> float:
    """Return the expected work of a step in core-seconds."""
    spec = step.spec
    return weighted_cores(spec.room) * spec.tasks * step.expected_seconds


class LostWorkCache:
    """Work that stopping runs would lose, in core-seconds, cached for one tick."""

    def __init__(self, now: float) -> None:
        self.now = now
        self.cached: dict[int, float] = {}

    def for_run(self, run: RunRow) -> float:
        """Return what stopping a run would lose, for a gang member the gang's loss."""
        lost = self.cached.get(id(run))
        if lost is None:
            lost = compute_lost_work(run, self.now)
            self.cached[id(run)] = lost
        return lost

    def total(self, runs: Iterable[RunRow]) -> float:
        """Return what stopping all of the runs would lose; each gang counts once."""
        total = 0.0
        gangs: set[tuple[StepKey, int]] = set()
        for run in runs:
            if run.gang:
                key = (run.key.task.step, run.key.attempt)
                if key in gangs:
                    continue
                gangs.add(key)
            total += self.for_run(run)
        return total


def compute_lost_work(run: RunRow, now: float) -> float:
    """Return the core-seconds of work that stopping a run would lose."""
    lost = unsaved_work(run, now)
    if run.job is None:
        return lost
    step = run.job.step(run.key.task.step)
    if step.spec.gang:
        lost *= step.spec.tasks
    # What the step lost before is added, so that a step that was preempted once is
    # less likely to be preempted again and can finish.
    return lost + step.reclaimed_work


def record_lost_work(losses: LostWorkCache, runs: Iterable[RunRow]) -> None:
    """Update the work that the steps of stopped runs have lost so far.

    If several runs of a step are stopped, only the most costly one counts.
    """
    for run in runs:
        if run.job is not None:
            step = run.job.step(run.key.task.step)
            step.reclaimed_work = max(step.reclaimed_work, losses.for_run(run))
