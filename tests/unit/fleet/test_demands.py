"""Which waiting steps are skipped because a smaller demand found no place."""

from __future__ import annotations

import random

import pytest

from egretloft._internal.fleet.demands import Demand, HopelessDemands, demand_of
from egretloft._internal.fleet.models import Resources, StepKey
from egretloft._internal.fleet.scheduler import Decisions, Moment, Scheduler
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
    """Guards against a step that is skipped although it has a place."""
    failed = Demand(SMALL, 3, one_rack=False, sound_only=False)
    assert Demand(WHOLE, 4, True, True).asks_no_less_than(failed)
    assert not Demand(WHOLE, 2, True, True).asks_no_less_than(failed)
    assert not Demand(Resources(4_000, 8_000, 0), 9, True, True).asks_no_less_than(
        failed
    )
    in_rack = Demand(SMALL, 3, one_rack=True, sound_only=True)
    assert not Demand(SMALL, 3, False, True).asks_no_less_than(in_rack)
    assert not Demand(SMALL, 3, True, False).asks_no_less_than(in_rack)


def test_only_steps_that_may_run_anywhere_tell_of_others() -> None:
    """Guards against a label that keeps steps without one from starting."""
    tables = build_tables(build_target(0))
    step = first_step(add_job(tables, 1, single_step(1, label="other")))
    hopeless = HopelessDemands()
    hopeless.add(step, demand_of(step, True, True))
    assert not hopeless.include(demand_of(step, True, True))


def test_a_more_urgent_step_is_not_skipped_for_a_patient_one() -> None:
    """Guards against runs that could be stopped for it and are overlooked."""
    tables = build_tables(build_target(0))
    step = first_step(add_job(tables, 1, single_step(1)))
    hopeless = HopelessDemands()
    hopeless.add(step, demand_of(step, True, True), priority=1)
    assert hopeless.include(demand_of(step, True, True), priority=2)
    assert not hopeless.include(demand_of(step, True, True), priority=0)


def build_random_fleet(seed: int) -> FleetTables:
    """Return partly full targets and a mixed queue."""
    generator = random.Random(seed)
    targets = [build_target(n, f"r-{n // 4}") for n in range(12)]
    tables = build_tables(*targets)
    for number, target in enumerate(targets):
        target.quarantined_until = generator.choice((0.0, 0.0, NOW + 1))
        priority = generator.randint(0, 2)
        job = add_job(tables, 1_000 + number, single_step(8), priority)
        for index in range(generator.randint(0, 8)):
            task = first_task(job, index=index)
            run_task(target, task, SMALL, priority, started_at=NOW - index)
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
    """Guards against a skipped step that would have been started or made room for."""
    moment = Moment(NOW, 1_000.0)
    skipping = Scheduler(build_random_fleet(seed)).decide(operators(), moment)
    monkeypatch.setattr(HopelessDemands, "include", lambda *_: False)
    complete = Scheduler(build_random_fleet(seed)).decide(operators(), moment)
    assert decided(skipping) == decided(complete)
