"""How fast targets work, learned from the progress of runs of the same step.

Answers targets of unlike speed in one pool: an urgent job has little more time than its
work takes on a sound target, so it gets the fast ones and patient work the slow ones.
"""

from __future__ import annotations

from statistics import median

from egretloft._internal.fleet.tables import RunRow, StepRow, TargetRow

# Progress over which a run's rate is measured: less shows the rounding of percents.
MEASURED_PERCENTS = 15
# Runs on this many other targets make a comparison.
LEAST_OTHERS = 2
# Share of a new comparison in a target's speed.
LEARNING_SHARE = 0.4
# Bounds of one comparison, so that a single odd one does not decide.
LEAST_RATIO = 0.3
GREATEST_RATIO = 1.2
# A target below this share of the usual speed counts as slow.
SLOW_SPEED = 0.88


def observe_progress(
    target: TargetRow, step: StepRow, run: RunRow, percent: int, now: float
) -> None:
    """Take a run's progress as evidence of its target's speed, once a run.

    Where a step's data is on one rack, runs elsewhere are slow for that reason and
    tell nothing.
    """
    data_rack = step.spec.data_rack
    if run.rated or (data_rack and target.report.rack != data_rack):
        return
    if not run.measured_since:
        run.measured_since = now
        run.measured_from = percent
        return
    done = percent - run.measured_from
    if done < MEASURED_PERCENTS:
        return
    run.rated = True
    others = [
        rate
        for target_id, rate in step.rates.items()
        if target_id != target.report.target_id
    ]
    rate = done / (now - run.measured_since)
    step.rates[target.report.target_id] = rate
    if len(others) < LEAST_OTHERS:
        return
    ratio = min(GREATEST_RATIO, max(LEAST_RATIO, rate / median(others)))
    target.speed += LEARNING_SHARE * (ratio - target.speed)


def is_slow(target: TargetRow) -> bool:
    """Return whether the target works more slowly than most."""
    return target.speed < SLOW_SPEED
