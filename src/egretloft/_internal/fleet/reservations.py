"""Capacity that is withheld for gangs, and when they are expected to start on it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from egretloft._internal.fleet.models import Resources
from egretloft._internal.fleet.placing import FreeCapacity, Plan
from egretloft._internal.fleet.tables import RunPhase, RunRow, StepRow

# Least time assumed until a run ends.
MIN_REMAINING_SECONDS = 1.0


@dataclass(slots=True)
class Reservation:
    """What is withheld for a gang that waits for runs to end, by target id.

    The gang has ``waited`` seconds and is expected to start in ``starts_in`` seconds,
    which is infinite if it waits for a run that exceeds its expected time, or for other
    reservations. ``awaits_earlier`` tells that such a run began before the gang was
    ready, so that it has not overtaken the gang.
    """

    waited: float
    resources: dict[str, Resources] = field(default_factory=dict)
    starts_in: float = 0.0
    awaits_earlier: bool = False


def expected_remaining_seconds(run: RunRow, now: float) -> float:
    """Return after how many seconds a run is expected to end.

    It is infinite for a run that lasts, exceeds its expected time or is not known.
    """
    if run.phase is RunPhase.STOPPING:
        return MIN_REMAINING_SECONDS
    if run.lasting or run.job is None:
        return math.inf
    step = run.job.step(run.key.task.step)
    remaining = step.expected_seconds - (now - run.started_at)
    return max(remaining, MIN_REMAINING_SECONDS) if remaining > 0.0 else math.inf


def reserve_capacity(
    gang: StepRow, plan: Plan, free_now: Mapping[str, FreeCapacity], now: float
) -> Reservation:
    """Return the reservation of a plan for a gang.

    ``free_now`` is what is free on each target without it; nothing is taken from it.
    """
    reservation = Reservation(now - gang.ready_at)
    for _, planned in plan.entries:
        target_id = planned.target.report.target_id
        before = reservation.resources.get(target_id, Resources())
        reservation.resources[target_id] = before.plus(plan.task_resources)
    for target_id, needed in reservation.resources.items():
        add_wait(reservation, free_now[target_id], needed, gang.ready_at, now)
    return reservation


def add_wait(
    reservation: Reservation,
    free_now: FreeCapacity,
    needed: Resources,
    ready_at: float,
    now: float,
) -> None:
    """Add the wait for the runs of one target, those that end first, to the gang's."""
    free = free_now.copy()
    runs = sorted(
        free.target.runs.values(), key=lambda run: expected_remaining_seconds(run, now)
    )
    for run in runs:
        if free.holds(needed):
            return
        free.give(run.room)
        remaining = expected_remaining_seconds(run, now)
        reservation.starts_in = max(reservation.starts_in, remaining)
        if math.isinf(remaining) and run.started_at <= ready_at:
            reservation.awaits_earlier = True
    if not free.holds(needed):
        reservation.starts_in = math.inf
