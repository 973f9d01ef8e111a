"""Scheduling order of the waiting steps.

Matters while more work waits than fits: the most urgent queues come first. Within a
priority, jobs whose result still has value are in the order of submission, and jobs
that are too late to be useful come last. A step that waits for a retry keeps the
position of its job.
"""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.tables import JobRow, StepRow

# A job's result still has some value until this multiple of its objective.
LATE_FACTOR = 3.0
MILLISECONDS = 1000.0


@dataclass(slots=True, frozen=True)
class WaitingStep:
    """A step with tasks to start."""

    job: JobRow
    step: StepRow


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


def scheduling_key(waiting: WaitingStep, wall: float) -> tuple[int, int, float]:
    """Return the sort key: priority, whether it is too late, time of submission."""
    job = waiting.job
    left = seconds_until_due(job, waiting.step, wall)
    too_late = left < -(LATE_FACTOR - 1.0) * objective_seconds(job)
    return (job.accepted.priority, int(too_late), float(job.accepted.accepted_at_ms))


def sort_waiting(steps: list[WaitingStep], wall: float) -> list[WaitingStep]:
    """Return the waiting steps in scheduling order."""
    return sorted(steps, key=lambda waiting: scheduling_key(waiting, wall))
