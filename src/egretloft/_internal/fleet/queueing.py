"""Order of the steps that wait for room.

Answers the load in which more work waits than fits: urgent queues come first, then
work that can still end in time, in the order of its latest useful start, and work
that is too late to be useful comes last. A step that waits for its second try keeps
the place of its job.
"""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.tables import JobRow, StepRow

# An answer is still worth something until this multiple of its objective.
LATE_FACTOR = 3.0
MILLISECONDS = 1000.0


@dataclass(slots=True, frozen=True)
class WaitingStep:
    """A step with tasks to start."""

    job: JobRow
    step: StepRow


def objective_seconds(job: JobRow) -> float:
    """Return the time in which the job should end, from its estimates."""
    chain_ms = longest_chain_ms(job)
    accepted = job.accepted
    return (
        accepted.slack_factor * chain_ms + accepted.latency_target_ms
    ) / MILLISECONDS


def longest_chain_ms(job: JobRow) -> float:
    """Return the estimated time of the longest chain of steps."""
    lengths: list[float] = []
    for spec in job.accepted.spec.steps:
        before = max((lengths[n] for n in spec.after if n < len(lengths)), default=0.0)
        lengths.append(before + spec.estimate_ms)
    return max(lengths, default=0.0)


def due_seconds(job: JobRow, step: StepRow, wall: float) -> float:
    """Return the time until the objective ends; negative when it has passed."""
    start_ms = job.due_at_ms(step.key.occurrence) or job.accepted.accepted_at_ms
    return start_ms / MILLISECONDS + objective_seconds(job) - wall


def order_key(waiting: WaitingStep, wall: float) -> tuple[int, int, float]:
    """Return the sort key: priority, usefulness, then time of submission."""
    job = waiting.job
    left = due_seconds(job, waiting.step, wall)
    useless = left < -(LATE_FACTOR - 1.0) * objective_seconds(job)
    return (job.accepted.priority, int(useless), float(job.accepted.accepted_at_ms))


def ordered(steps: list[WaitingStep], wall: float) -> list[WaitingStep]:
    """Return the waiting steps in the order in which they get room."""
    return sorted(steps, key=lambda waiting: order_key(waiting, wall))
