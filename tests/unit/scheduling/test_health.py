from __future__ import annotations

from egretloft._internal.scheduling.estimates import Estimates
from egretloft._internal.scheduling.health import Health
from lib.builders import build_job


def test_one_job_that_fails_often_does_not_quarantine_a_worker():
    # Guards against quarantining a good worker because one bad job is retried on it: a
    # pair of worker and job must count once.
    health = Health(60.0, 3600.0)
    for at in range(5):
        assert health.record_failure("w", "job", 0, float(at)) is None
    assert health.record_failure("w", "job-2", 0, 5.0) is None
    assert health.record_failure("w", "job-3", 0, 6.0) == 66.0


def test_success_between_failures_clears_the_evidence():
    # Guards against quarantining workers on which single jobs fail now and then while
    # other jobs succeed.
    health = Health(60.0, 3600.0)
    for job_id in ("a", "b"):
        health.record_failure("w", job_id, 0, 0.0)
    health.record_success("w", 1.0)
    assert health.record_failure("w", "c", 0, 2.0) is None


def test_bad_job_is_no_evidence():
    # Guards against quarantining good workers: a job that has already failed on several
    # sets of workers is bad itself.
    health = Health(60.0, 3600.0)
    for job_id in ("a", "b", "c"):
        assert health.record_failure("w", job_id, 3, 0.0) is None


def test_failures_on_quarantined_workers_do_not_end_a_job():
    # Guards against ending a good job as bad after it was placed only on bad workers.
    health = Health(60.0, 3600.0)
    sets = {frozenset({name}) for name in ("a", "b", "c")}
    assert not health.is_bad_job(sets, 3, lambda worker_id: worker_id == "a")
    assert health.is_bad_job(sets, 3, lambda worker_id: False)


def test_estimates_follow_observed_run_times():
    # Guards against reservations at wrong times: jobs run longer than they declare, so
    # estimates must come from observed runs.
    estimates = Estimates(0.7)
    job = build_job(declared_seconds=10.0)
    assert estimates.run_seconds(job) == 10.0
    for _ in range(10):
        estimates.observe(job, 100.0)
    assert estimates.run_seconds(job) == 100.0
    assert estimates.remaining_seconds(job, 40.0) == 60.0
    assert estimates.remaining_seconds(job, 200.0) == 100.0
