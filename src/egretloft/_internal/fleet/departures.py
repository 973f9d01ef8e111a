"""Runs that cannot end before their target leaves.

A target announces when it leaves at the earliest; what runs there then ends with it.
The leader learns of that end only once the target's lease has expired, seconds later.
A run that is not expected to end in time is therefore stopped at the announcement,
which keeps its checkpoint, and its task is started elsewhere.
"""

from __future__ import annotations

from egretloft._internal.fleet.lost_work import unsaved_seconds
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    TargetRow,
)
from egretloft._internal.fleet.target_health import percent_seconds

# A target may stay for longer than it announced. A run is kept if it is expected to end
# within this time after the announced one.
TOLERANCE_SECONDS = 0.5
# The same as a share of the run time that stopping it would lose.
TOLERANCE_LOST_TIME_SHARE = 0.5


def runs_to_move(tables: FleetTables, now: float) -> list[RunRow]:
    """Return the runs that are to be stopped because their targets leave too soon."""
    return [
        run
        for target in tables.targets.values()
        if target.report.draining and target.leaves_at is not None
        for run in target.runs.values()
        if is_movable(run) and ends_too_late(target, run, now)
    ]


def is_movable(run: RunRow) -> bool:
    """Return whether the run is active and may be stopped; lasting ones may not."""
    return (
        run.phase is RunPhase.ACTIVE
        and run.confirmed
        and not run.lasting
        and run.task is not None
        and not run.task.done
    )


def ends_too_late(target: TargetRow, run: RunRow, now: float) -> bool:
    """Return whether the run is expected to end well after its target leaves."""
    if target.leaves_at is None:
        return False
    lost_time = unsaved_seconds(run, now)
    tolerance = max(TOLERANCE_SECONDS, TOLERANCE_LOST_TIME_SHARE * lost_time)
    return now + remaining_seconds(run, now) > target.leaves_at + tolerance


def remaining_seconds(run: RunRow, now: float) -> float:
    """Return how many seconds the run is expected to go on; 0 if it is overdue.

    A run that an earlier leader started has worked at least what its progress says.
    """
    if run.job is None:
        return 0.0
    step = run.job.step(run.key.task.step)
    worked = max(now - run.started_at, run.percent * percent_seconds(run))
    return max(0.0, step.expected_seconds - worked)
