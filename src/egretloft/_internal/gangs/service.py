"""Submission, look-up and cancellation of jobs. Works on any instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from egretloft._internal.gangs.interfaces import Topology, View
from egretloft._internal.gangs.records import (
    MAX_ROWS_PER_TRANSACTION,
    JobRow,
    JobTable,
    derive_job_id,
    job_key,
    profile_check,
)
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.jobs import TERMINAL_STATES, JobRecord, JobSpec
from egretloft._internal.models.outcomes import (
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import Worker
from egretloft._internal.platform.protocols import (
    Check,
    Clock,
    StoreFailure,
    StoreFailureKind,
)

MAX_CANCELLED_JOBS = 1_000
# Concurrent reads during the cancellation of many jobs. This stays well under the 2,000
# reads per second that the store handles.
CONCURRENT_READS = 32
COMMIT_TIMEOUT_SECONDS = 5.0
# Limit on the attempts to cancel a single job whose row keeps changing; the row is read
# again before each.
MAX_CONFLICT_ATTEMPTS = 5

CheckJob = Callable[
    [JobSpec, Profile, Collection[Worker], Collection[Profile]], Refusal | None
]
QueuedJobs = Callable[[str], int]


@dataclass(slots=True, frozen=True)
class CancelOutcome:
    """Outcome of a cancellation for one job.

    ``refusal`` is ``None`` if the cancel flag is set or the job had already ended.
    """

    job_id: str
    record: JobRecord | None = None
    refusal: Refusal | None = None


class JobService:
    """Submits, looks up and cancels jobs; does not require ownership of the gangs."""

    def __init__(
        self,
        jobs: JobTable,
        view: View,
        topology: Topology,
        clock: Clock,
        metrics: Metrics,
        check_job: CheckJob,
        queued_jobs: QueuedJobs,
    ) -> None:
        self.jobs = jobs
        self.view = view
        self.topology = topology
        self.clock = clock
        self.metrics = metrics
        self.check_job = check_job
        self.queued_jobs = queued_jobs

    async def submit(
        self, spec: JobSpec, idempotency_key: str
    ) -> Result[JobRecord, Refusal]:
        """Queue a job, or return the job that was submitted with the same key.

        ``job_id``, ``region`` and ``submitted_at`` of ``spec`` are overwritten. A
        repeated submission is refused if its ``body_digest`` differs.
        """
        if not self.view.is_fresh():
            return Failure(
                not_run(
                    Reason.STALE_VIEW,
                    "this instance has no confirmed configuration",
                    "repeat at another instance",
                )
            )
        profile = self.view.profiles.get(spec.profile)
        spec = replace(
            spec,
            job_id=derive_job_id(spec.organisation, idempotency_key),
            region=profile.region if profile is not None else self.jobs.region,
            submitted_at=self.clock.wall(),
        )
        match await self._find(spec.job_id):
            case Failure(failure):
                return Failure(_store_unavailable(failure))
            case Success(JobRow() as row):
                return _resolve_repeat(row, spec)
        refusal = self._check_submission(spec, profile)
        if refusal is not None:
            return Failure(refusal)
        return await self._create(spec)

    async def get(self, job_id: str) -> Result[JobRecord, Refusal]:
        """Return a job, searching all regions."""
        match await self._find(job_id):
            case Success(JobRow(record, _)):
                return Success(record)
            case Success(_):
                return Failure(_unknown_job(job_id))
            case Failure(failure):
                return Failure(_store_unavailable(failure))
        raise AssertionError("a result is a success or a failure")

    async def list_jobs(
        self, organisation: str
    ) -> Result[tuple[JobRecord, ...], Refusal]:
        """Return the jobs of an organisation in all regions, oldest first."""
        records: list[JobRecord] = []
        for region in self._regions():
            match await self.jobs.scan(0, region):
                case Success(scan):
                    records.extend(
                        row.record
                        for row in scan.rows
                        if row.record.spec.organisation == organisation
                    )
                case Failure(failure):
                    return Failure(_store_unavailable(failure))
        records.sort(key=lambda r: (r.spec.submitted_at, r.spec.job_id))
        return Success(tuple(records))

    async def cancel(
        self, job_ids: Sequence[str]
    ) -> Result[tuple[CancelOutcome, ...], Refusal]:
        """Set the cancel flag of up to 1,000 jobs.

        Returns one outcome for each entry of ``job_ids``, in the same order.
        """
        if len(job_ids) > MAX_CANCELLED_JOBS:
            return Failure(
                not_run(
                    Reason.TOO_LARGE,
                    f"{len(job_ids)} jobs in one cancellation",
                    f"cancel at most {MAX_CANCELLED_JOBS} at a time",
                )
            )
        unique = list(dict.fromkeys(job_ids))
        outcomes: dict[str, CancelOutcome] = {}
        for start in range(0, len(unique), MAX_ROWS_PER_TRANSACTION):
            batch = unique[start : start + MAX_ROWS_PER_TRANSACTION]
            for outcome in await self._cancel_batch(batch, 1):
                outcomes[outcome.job_id] = outcome
        return Success(tuple(outcomes[job_id] for job_id in job_ids))

    def _regions(self) -> list[str]:
        regions = {profile.region for profile in self.view.profiles.values()}
        return [self.jobs.region, *sorted(regions - {self.jobs.region})]

    async def _find(self, job_id: str) -> Result[JobRow | None, StoreFailure]:
        for region in self._regions():
            result = await self.jobs.read(job_id, region)
            if result != Success(None):
                return result
        return Success(None)

    def _check_submission(
        self, spec: JobSpec, profile: Profile | None
    ) -> Refusal | None:
        if profile is None:
            return not_run(
                Reason.UNKNOWN_PROFILE, f"there is no profile {spec.profile!r}"
            )
        if profile.organisation != spec.organisation:
            return not_run(
                Reason.UNKNOWN_ORGANISATION,
                f"profile {profile.name!r} does not belong to {spec.organisation!r}",
            )
        if profile.services and spec.service not in profile.services:
            return not_run(
                Reason.UNKNOWN_SERVICE,
                f"profile {profile.name!r} has no service {spec.service!r}",
            )
        now = self.clock.wall()
        if spec.deadline_at and spec.deadline_at <= now:
            return not_run(Reason.DEADLINE_PASSED, "the start deadline has passed")
        limit = profile.limits.max_accelerators
        if limit and spec.accelerators > limit:
            return not_run(
                Reason.LIMIT_EXCEEDED,
                f"the job needs {spec.accelerators} accelerators, the limit of "
                f"profile {profile.name!r} is {limit}",
            )
        if self.queued_jobs(spec.organisation) >= profile.limits.max_queued_jobs:
            return not_run(
                Reason.QUEUE_FULL,
                f"{profile.limits.max_queued_jobs} jobs are queued",
                "submit again when some have started",
            )
        return self.check_job(
            spec, profile, self.topology.workers.values(), self.view.profiles.values()
        )

    async def _create(self, spec: JobSpec) -> Result[JobRecord, Refusal]:
        record = JobRecord(spec)
        # Job ids are unique across regions, because a profile may move to another
        # region between two submissions with the same key.
        absent_elsewhere = [
            Check(job_key(region, spec.job_id), 0)
            for region in self._regions()
            if region != spec.region
        ]
        checks = (profile_check(self.view, spec.profile), *absent_elsewhere)
        result = await self.jobs.replace(
            JobRow(record, 0), record, checks, COMMIT_TIMEOUT_SECONDS
        )
        match result:
            case Success(row):
                self.metrics.count("jobs_submitted")
                return Success(row.record)
            case Failure(failure) if failure.kind is StoreFailureKind.CONFLICT:
                return await self._resolve_conflict(spec)
            case Failure(failure) if failure.kind is StoreFailureKind.UNKNOWN:
                return Failure(
                    outcome_unknown(
                        Reason.STORE_UNAVAILABLE,
                        f"the job may be queued: {failure.message}",
                        "repeat with the same key",
                    )
                )
            case Failure(failure):
                return Failure(_store_unavailable(failure))
        raise AssertionError("a result is a success or a failure")

    async def _resolve_conflict(self, spec: JobSpec) -> Result[JobRecord, Refusal]:
        match await self._find(spec.job_id):
            case Success(JobRow() as row):
                return _resolve_repeat(row, spec)
            case Success(_):
                return Failure(
                    not_run(
                        Reason.CONFLICT,
                        f"profile {spec.profile!r} has just changed",
                        "submit again",
                    )
                )
            case Failure(failure):
                # This transaction was not applied, but a concurrent one with the same
                # key may have been.
                return Failure(
                    outcome_unknown(
                        Reason.STORE_UNAVAILABLE,
                        f"the job may be queued: {failure.message}",
                        "repeat with the same key",
                    )
                )
        raise AssertionError("a result is a success or a failure")

    async def _cancel_batch(
        self, job_ids: Sequence[str], attempt: int
    ) -> list[CancelOutcome]:
        """Cancel jobs in one transaction; after a conflict, retry in two halves.

        A single job cannot be halved; ``attempt`` is the number of its attempt, from 1.
        """
        limit = asyncio.Semaphore(CONCURRENT_READS)

        async def find(job_id: str) -> Result[JobRow | None, StoreFailure]:
            async with limit:
                return await self._find(job_id)

        found = await asyncio.gather(*(find(job_id) for job_id in job_ids))
        outcomes: list[CancelOutcome] = []
        rows: list[JobRow] = []
        for job_id, read in zip(job_ids, found, strict=True):
            match read:
                case Success(JobRow() as row) if _needs_cancel_flag(row.record):
                    rows.append(row)
                case Success(JobRow(record, _)):
                    outcomes.append(CancelOutcome(job_id, record))
                case Success(_):
                    refusal = _unknown_job(job_id)
                    outcomes.append(CancelOutcome(job_id, refusal=refusal))
                case Failure(failure):
                    refusal = _store_unavailable(failure)
                    outcomes.append(CancelOutcome(job_id, refusal=refusal))
        if not rows:
            return outcomes
        changes = [(row, replace(row.record, cancel_requested=True)) for row in rows]
        result = await self.jobs.replace_all(changes, (), COMMIT_TIMEOUT_SECONDS)
        match result:
            case Success(written):
                self.metrics.count("jobs_cancel_requested", len(written))
                outcomes.extend(
                    CancelOutcome(row.record.spec.job_id, row.record) for row in written
                )
                return outcomes
            case Failure(failure):
                remaining = [row.record.spec.job_id for row in rows]
                outcomes.extend(await self._retry_cancel(remaining, attempt, failure))
        return outcomes

    async def _retry_cancel(
        self, job_ids: Sequence[str], attempt: int, failure: StoreFailure
    ) -> list[CancelOutcome]:
        if failure.kind is StoreFailureKind.CONFLICT:
            if len(job_ids) > 1:
                middle = len(job_ids) // 2
                return [
                    *await self._cancel_batch(job_ids[:middle], 1),
                    *await self._cancel_batch(job_ids[middle:], 1),
                ]
            if attempt < MAX_CONFLICT_ATTEMPTS:
                return await self._cancel_batch(job_ids, attempt + 1)
            refusal = not_run(
                Reason.CONFLICT,
                "the job row kept changing during the cancellation",
                "repeat",
            )
        elif failure.kind is StoreFailureKind.UNKNOWN:
            refusal = outcome_unknown(
                Reason.STORE_UNAVAILABLE,
                f"the cancellation may have been recorded: {failure.message}",
                "repeat the cancellation",
            )
        else:
            refusal = _store_unavailable(failure)
        return [CancelOutcome(job_id, refusal=refusal) for job_id in job_ids]


def _needs_cancel_flag(record: JobRecord) -> bool:
    return record.state not in TERMINAL_STATES and not record.cancel_requested


def _resolve_repeat(row: JobRow, spec: JobSpec) -> Result[JobRecord, Refusal]:
    previous = row.record.spec
    if (previous.organisation, previous.body_digest) != (
        spec.organisation,
        spec.body_digest,
    ):
        return Failure(
            not_run(
                Reason.KEY_REUSED,
                "the idempotency key was used with another body",
                "use a new key for a new job",
            )
        )
    return Success(row.record)


def _unknown_job(job_id: str) -> Refusal:
    return not_run(Reason.UNKNOWN_JOB, f"there is no job {job_id!r}")


def _store_unavailable(failure: StoreFailure) -> Refusal:
    return not_run(
        Reason.STORE_UNAVAILABLE,
        f"the table service is unavailable: {failure.message}",
        "repeat later",
    )


def create_job_service(
    *,
    jobs: JobTable,
    view: View,
    topology: Topology,
    clock: Clock,
    metrics: Metrics,
    check_job: CheckJob,
    queued_jobs: QueuedJobs = lambda organisation: 0,
) -> JobService:
    """Return the service.

    ``queued_jobs`` returns the number of queued jobs of an organisation.
    """
    return JobService(jobs, view, topology, clock, metrics, check_job, queued_jobs)
