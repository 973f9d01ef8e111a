from __future__ import annotations

import dataclasses

import pytest

from egretloft._internal.models.outcomes import Reason
from egretloft._internal.models.profiles import Adjacency, GuaranteedShape, Limits
from egretloft._internal.scheduling.feasibility import check_job, check_profiles
from lib.builders import build_job, build_profile, build_workers

WORKERS = build_workers(racks_per_zone=2, workers_per_rack=2)


@pytest.mark.parametrize(
    ("arguments", "field", "allowed"),
    [
        ({"accelerators_per_task": 9}, "accelerators_per_task: 9", "8"),
        ({"cores": 65}, "cores: 65", "64"),
        ({"memory_gb": 257}, "memory_gb: 257", "256"),
        ({"tasks": 9}, "tasks: 9", "at most 8"),
        (
            {
                "tasks": 3,
                "accelerators_per_task": 8,
                "adjacency": Adjacency.RACK,
            },
            "tasks: 3",
            "at most 2",
        ),
    ],
)
def test_impossible_job_is_refused_with_field_value_and_limit(
    arguments, field, allowed
):
    # Guards against jobs that wait for ever because no worker is large enough, and
    # against messages that name neither the field nor the limit.
    refusal = check_job(build_job(**arguments), build_profile(), WORKERS, ())
    assert refusal is not None
    assert refusal.reason is Reason.IMPOSSIBLE
    assert field in refusal.message
    assert allowed in refusal.message


def test_limit_and_service_of_the_profile_are_checked():
    # Guards against jobs that wait for ever because they exceed the accelerator limit
    # of their profile or name a service that it does not include.
    profile = build_profile(limits=Limits(max_accelerators=2))
    refusal = check_job(build_job(tasks=3), profile, WORKERS, ())
    assert refusal is not None
    assert refusal.reason is Reason.LIMIT_EXCEEDED
    job = dataclasses.replace(build_job(), service="other")
    refusal = check_job(job, build_profile(), WORKERS, ())
    assert refusal is not None
    assert refusal.reason is Reason.UNKNOWN_SERVICE


def test_work_that_cannot_restart_needs_a_guarantee_that_holds_it():
    # Guards against work that waits for ever: work that cannot restart may not borrow
    # cells, so it never starts when its guarantee is too small.
    once = build_job(accelerators_per_task=8, idempotent=False, checkpointable=False)
    small = build_profile(guarantees=(GuaranteedShape(1, 4, Adjacency.WORKER),))
    large = build_profile(guarantees=(GuaranteedShape(1, 16, Adjacency.RACK),))
    refusal = check_job(once, small, WORKERS, ())
    assert refusal is not None
    assert "1 x 4 (worker)" in refusal.message
    assert check_job(once, large, WORKERS, ()) is None


def test_work_that_cannot_restart_leaves_the_guarantees_of_others():
    # Guards against work that waits for ever: two workers of one rack hold it, but then
    # no rack is left for one of the other guarantees.
    workers = build_workers(("zone-1", "zone-2"), racks_per_zone=2, workers_per_rack=3)
    own = build_profile(
        "org-a",
        zones=("zone-1", "zone-2"),
        guarantees=(GuaranteedShape(2, 8, Adjacency.RACK),),
    )
    others = [
        build_profile(
            name,
            zones=("zone-1", "zone-2"),
            guarantees=(GuaranteedShape(2, 16, Adjacency.RACK),),
        )
        for name in ("org-b", "org-c")
    ]
    once = build_job(
        organisation="org-a",
        tasks=4,
        accelerators_per_task=0,
        cores=20,
        adjacency=Adjacency.RACK,
        idempotent=False,
        checkpointable=False,
    )
    assert check_job(once, own, workers, [own]) is None
    assert check_job(once, own, workers, [own, others[0]]) is None
    refusal = check_job(once, own, workers, [own, *others])
    assert refusal is not None
    assert "guarantees of other profiles" in refusal.message


def test_guarantees_that_cannot_be_packed_together_are_refused():
    # Guards against guarantees that fit by number of accelerators but not by shape.
    whole = build_profile("org-a", guarantees=(GuaranteedShape(2, 16, Adjacency.RACK),))
    more = build_profile("org-b", guarantees=(GuaranteedShape(1, 1, Adjacency.WORKER),))
    spread = build_profile("org-c", guarantees=(GuaranteedShape(3, 6, Adjacency.RACK),))
    parts = build_profile("org-d", guarantees=(GuaranteedShape(2, 7, Adjacency.RACK),))
    assert check_profiles([whole], WORKERS) is None
    refusal = check_profiles([whole, more], WORKERS)
    assert refusal is not None
    assert refusal.reason is Reason.INFEASIBLE_GUARANTEES
    assert "has 32" in refusal.message
    # 32 of 32 accelerators, but no worker holds two of these cells.
    assert check_profiles([spread, parts], WORKERS) is not None
