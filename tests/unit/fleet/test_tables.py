"""Removal of ended jobs from the leader's tables."""

from __future__ import annotations

from egretloft._internal.fleet.models import JobState
from lib.fleet_builders import add_job, build_tables, build_target, single_step

LASTING_JOBS = 30
ENDED_JOBS = 10_000


def test_ten_thousand_ended_jobs_behind_lasting_ones_expire_in_order() -> None:
    """Guards against an expiry that looks at the oldest jobs only."""
    tables = build_tables(build_target(0))
    for number in range(LASTING_JOBS):
        add_job(tables, number, single_step(1, lasting=True))
    for number in range(ENDED_JOBS):
        job = add_job(tables, 1_000 + number, single_step(1))
        job.state = JobState.COMPLETE
        job.finished_at_ms = ENDED_JOBS - number
        tables.close_job(job)
    first = tables.take_expired_jobs(cutoff_ms=101, limit=20)
    assert [job.finished_at_ms for job in first] == list(range(1, 21))
    tables.postpone_removal(first[0], 50_000)
    rest = tables.take_expired_jobs(cutoff_ms=20_000, limit=ENDED_JOBS)
    assert len(rest) == ENDED_JOBS - 20
    assert tables.take_expired_jobs(cutoff_ms=60_000, limit=20) == [first[0]]
