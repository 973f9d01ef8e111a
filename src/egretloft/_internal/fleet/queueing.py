"""Scheduling order of the waiting steps.

Matters while more work waits than fits: the most urgent queues come first. Within a
priority, a step for which runs have been stopped comes first, jobs whose result still
has value are in the order of submission, and jobs that are too late to be useful come
last. A step that waits for a retry keeps the position of its job.
"""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.tables import JobRow, StepRow

# A job's result still has some value until this multiple of its objective.
LATE_FACTOR = 3.0
MILLISECONDS = 1000.0


@dataclass(slots=True, frozen=True)
class WaitingStep:
    """A step with tasks to start on the targets of a service."""

    job: JobRow
    step: StepRow
    service: str


def objective_seconds(job: JobRow) -> float:
    """Return the time within which the job should end, computed from its estimates."""
    path_ms = critical_path_ms(job)
    accepted = job.accepted
    return (accepted.slack_factor * path_ms + accepted.latency_target_ms) / MILLISECONDS


def critical_path_ms(job: JobRow) -> float:
    """Return the estimated run time of the longest chain of dependent steps."""
    lengths: list[float] = []
    for spec in job.accepted.spec.steps:
        before = max((lengths[n] for n in spec.after if n < len(lengths)), default=0.0)
        lengths.append(before + spec.estimate_ms)
    return max(lengths, default=0.0)


def seconds_until_due(job: JobRow, step: StepRow, wall: float) -> float:
    """Return the seconds until the objective is missed; negative once it is."""
    start_ms = job.due_at_ms(step.key.occurrence) or job.accepted.accepted_at_ms
    return start_ms / MILLISECONDS + objective_seconds(job) - wall


def scheduling_key(
    waiting: WaitingStep, wall: float, now: float
) -> tuple[int, bool, bool, float]:
    """Return the sort key of a waiting step.

    It consists of the priority, whether no runs were stopped for the step, whether it
    is too late, and the time of submission. A step for which runs were stopped comes
    first, or others would take the capacity as the runs end.
    """
    job = waiting.job
    left = seconds_until_due(job, waiting.step, wall)
    too_late = left < -(LATE_FACTOR - 1.0) * objective_seconds(job)
    has_reclaimed = now < waiting.step.reclaimed_until
    accepted_at = float(job.accepted.accepted_at_ms)
    return (job.accepted.priority, not has_reclaimed, too_late, accepted_at)


def sort_waiting(
    steps: list[WaitingStep], wall: float, now: float
) -> list[WaitingStep]:
    """Return the waiting steps in scheduling order.

    ``wall`` is in Unix seconds, ``now`` in seconds on the boot-time clock.
    """
    return sorted(steps, key=lambda waiting: scheduling_key(waiting, wall, now))
