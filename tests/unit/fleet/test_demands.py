"""Skipping of waiting steps because a smaller demand could not be placed."""

from __future__ import annotations

import random

import pytest

from egretloft._internal.fleet.decisions import Decisions, TickContext
from egretloft._internal.fleet.demands import Demand, UnplaceableDemands, demand_of
from egretloft._internal.fleet.models import Resources, StepKey
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.tables import FleetTables, JobRow, StepRow
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    first_task,
    run_task,
    single_step,
)
from unit.fleet.test_placing import operators

NOW = 100.0
SIZES = (SMALL, Resources(8_000, 30_000, 2), Resources(26_000, 140_000, 4), WHOLE)


def first_step(job: JobRow) -> StepRow:
    return job.step(StepKey(job.accepted.job_id, 0, 0))


def test_demands_are_compared_in_all_respects() -> None:
    """Guards against skipping a step that fits.

    A demand that is smaller in one respect may fit where the failed one did not.
    """
    failed = Demand(SMALL, 3, one_rack=False, healthy_only=False)
    assert Demand(WHOLE, 4, True, True).is_at_least(failed)
    assert not Demand(WHOLE, 2, True, True).is_at_least(failed)
    assert not Demand(Resources(4_000, 8_000, 0), 9, True, True).is_at_least(failed)
    in_rack = Demand(SMALL, 3, one_rack=True, healthy_only=True)
    assert not Demand(SMALL, 3, False, True).is_at_least(in_rack)
    assert not Demand(SMALL, 3, True, False).is_at_least(in_rack)


def test_restricted_step_does_not_rule_out_demands() -> None:
    """Guards against a label that keeps steps without one from starting.

    The labelled step may fail only because no target has its label, while the same
    demand without a label fits.
    """
    tables = build_tables(build_target(0))
    step = first_step(add_job(tables, 1, single_step(1, label="other")))
    unplaceable = UnplaceableDemands()
    unplaceable.add(step, demand_of(step, True, True))
    assert not unplaceable.rules_out(demand_of(step, True, True))


def test_failed_demand_does_not_rule_out_a_more_urgent_step() -> None:
    """Guards against an urgent step that is skipped although it may preempt runs.

    The less urgent step failed because it may not preempt these runs.
    """
    tables = build_tables(build_target(0))
    step = first_step(add_job(tables, 1, single_step(1)))
    unplaceable = UnplaceableDemands()
    unplaceable.add(step, demand_of(step, True, True), priority=1)
    assert unplaceable.rules_out(demand_of(step, True, True), priority=2)
    assert not unplaceable.rules_out(demand_of(step, True, True), priority=0)


def build_random_fleet(seed: int) -> FleetTables:
    """Return tables with partly occupied targets and a queue of mixed steps."""
    generator = random.Random(seed)
    targets = [build_target(n, f"r-{n // 4}") for n in range(12)]
    tables = build_tables(*targets)
    for number, target in enumerate(targets):
        target.quarantined_until = generator.choice((0.0, 0.0, NOW + 1))
        priority = generator.randint(0, 2)
        job = add_job(tables, 1_000 + number, single_step(8), priority)
        for index in range(generator.randint(0, 8)):
            task = first_task(job, index=index)
            run_task(tables, target, task, SMALL, priority, started_at=NOW - index)
    for number in range(30):
        gang = generator.random() < 0.5
        spec = single_step(
            generator.randint(1, 9),
            generator.choice(SIZES),
            gang=gang,
            same_rack=gang and generator.random() < 0.7,
            max_per_target=generator.choice((0, 0, 0, 1)),
        )
        job = add_job(tables, number, spec, generator.randint(0, 2))
        first_step(job).ready_at = NOW - generator.choice((0.5, 3.0))
    return tables


def decided(decisions: Decisions) -> list[object]:
    return [
        [
            (p.step.key, [target.report.target_id for _, target in p.starts])
            for p in decisions.placements
        ],
        [(run.target_id, run.key) for run in decisions.stops],
    ]


@pytest.mark.parametrize("seed", range(40))
def test_skipping_changes_no_decision(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against skipping a step that would have been started or preempted runs.

    Random queues are scheduled with and without the skipping of steps.
    """
    context = TickContext(NOW, 1_000.0)
    skipping = Scheduler(build_random_fleet(seed)).decide(operators(), context)
    monkeypatch.setattr(UnplaceableDemands, "rules_out", lambda *_: False)
    complete = Scheduler(build_random_fleet(seed)).decide(operators(), context)
    assert decided(skipping) == decided(complete)
