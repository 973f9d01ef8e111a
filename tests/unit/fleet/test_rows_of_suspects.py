"""How large the progress row of a job becomes as its tasks are suspected."""

from __future__ import annotations

from egretloft._internal import codec
from egretloft._internal.fleet.models import StepKey
from egretloft._internal.fleet.records import RunPlace
from lib.fleet_builders import add_job, build_tables, build_target, single_step

# What a row of the store holds by the settings in DEPLOY.md.
ROW_BYTES = 65_536
TASKS = 1_000
TARGETS = 270


def test_row_of_a_job_whose_targets_all_fell_silent_fits_the_store() -> None:
    """Guards against a row that the store refuses with all that is written with it."""
    tables = build_tables(build_target(0))
    job = add_job(tables, 1, single_step(TASKS))
    step = job.step(StepKey(job.accepted.job_id, 0, 0))
    step.suspected = True
    for task in step.tasks:
        target = f"i-{task.key.index % TARGETS:08x}"
        place = RunPlace(target, "10.201.0.173:8282", 1_765_007_440_757)
        task.unresolved[3_145_818] = place
    size = len(codec.encode(job.progress()))
    assert TASKS < size <= ROW_BYTES
