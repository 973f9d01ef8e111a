"""Submission, look-up and cancellation of jobs, at any instance."""

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
# Reads at the same time during a cancellation of many jobs, well under the 2,000
# reads a second that the store handles.
CONCURRENT_READS = 32
COMMIT_TIMEOUT_SECONDS = 5.0
# A row that changes under a cancellation is read and tried again this often.
CONFLICT_TRIES = 5

CheckJob = Callable[
    [JobSpec, Profile, Collection[Worker], Collection[Profile]], Refusal | None
]
QueuedJobs = Callable[[str], int]


@dataclass(slots=True, frozen=True)
class CancelOutcome:
    """What became of one job of a cancellation.

    ``refusal`` is ``None`` when the flag is set or the job had already ended.
    """

    job_id: str
    record: JobRecord | None = None
    refusal: Refusal | None = None


class JobService:
    """Jobs as callers see them; it needs no ownership."""

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
        """Queue a job, or return the one that was queued under the same key.

        ``job_id``, ``region`` and ``submitted_at`` of ``spec`` are set here.
        ``body_digest`` tells whether a repeat has the same body.
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
                return Failure(_unread(failure))
            case Success(JobRow() as row):
                return _repeated(row, spec)
        refusal = self._refuse(spec, profile)
        if refusal is not None:
            return Failure(refusal)
        return await self._create(spec)

    async def get(self, job_id: str) -> Result[JobRecord, Refusal]:
        """Return a job of any region."""
        match await self._find(job_id):
            case Success(JobRow(record, _)):
                return Success(record)
            case Success(_):
                return Failure(_unknown_job(job_id))
            case Failure(failure):
                return Failure(_unread(failure))
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
                    return Failure(_unread(failure))
        records.sort(key=lambda r: (r.spec.submitted_at, r.spec.job_id))
        return Success(tuple(records))

    async def cancel(
        self, job_ids: Sequence[str]
    ) -> Result[tuple[CancelOutcome, ...], Refusal]:
        """Set the cancel flag of up to 1,000 jobs; outcomes are in their order."""
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
        for first in range(0, len(unique), MAX_ROWS_PER_TRANSACTION):
            batch = unique[first : first + MAX_ROWS_PER_TRANSACTION]
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

    def _refuse(self, spec: JobSpec, profile: Profile | None) -> Refusal | None:
        if profile is None:
            return not_run(
                Reason.UNKNOWN_PROFILE, f"there is no profile {spec.profile!r}"
            )
        if profile.organisation != spec.organisation:
            return not_run(
                Reason.UNKNOWN_ORGANISATION,
                f"profile {profile.name!r} is not one of {spec.organisation!r}",
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
        # A job id is unique over the regions, because a profile may move.
        elsewhere = [
            Check(job_key(region, spec.job_id), 0)
            for region in self._regions()
            if region != spec.region
        ]
        checks = (profile_check(self.view, spec.profile), *elsewhere)
        result = await self.jobs.replace(
            JobRow(record, 0), record, checks, COMMIT_TIMEOUT_SECONDS
        )
        match result:
            case Success(row):
                self.metrics.count("jobs_submitted")
                return Success(row.record)
            case Failure(failure) if failure.kind is StoreFailureKind.CONFLICT:
                return await self._after_conflict(spec)
            case Failure(failure) if failure.kind is StoreFailureKind.UNKNOWN:
                return Failure(
                    outcome_unknown(
                        Reason.STORE_UNAVAILABLE,
                        f"the job may be queued: {failure.message}",
                        "repeat with the same key",
                    )
                )
            case Failure(failure):
                return Failure(_unread(failure))
        raise AssertionError("a result is a success or a failure")

    async def _after_conflict(self, spec: JobSpec) -> Result[JobRecord, Refusal]:
        match await self._find(spec.job_id):
            case Success(JobRow() as row):
                return _repeated(row, spec)
            case Success(_):
                return Failure(
                    not_run(
                        Reason.CONFLICT,
                        f"profile {spec.profile!r} has just changed",
                        "submit again",
                    )
                )
            case Failure(failure):
                # The transaction was not applied, but another one with the same key
                # may have been.
                return Failure(
                    outcome_unknown(
                        Reason.STORE_UNAVAILABLE,
                        f"the job may be queued: {failure.message}",
                        "repeat with the same key",
                    )
                )
        raise AssertionError("a result is a success or a failure")

    async def _cancel_batch(
        self, job_ids: Sequence[str], tries: int
    ) -> list[CancelOutcome]:
        """Cancel in one transaction; after a conflict the halves are tried apart."""
        limit = asyncio.Semaphore(CONCURRENT_READS)

        async def find(job_id: str) -> Result[JobRow | None, StoreFailure]:
            async with limit:
                return await self._find(job_id)

        found = await asyncio.gather(*(find(job_id) for job_id in job_ids))
        outcomes: list[CancelOutcome] = []
        rows: list[JobRow] = []
        for job_id, read in zip(job_ids, found, strict=True):
            match read:
                case Success(JobRow() as row) if _needs_flag(row.record):
                    rows.append(row)
                case Success(JobRow(record, _)):
                    outcomes.append(CancelOutcome(job_id, record))
                case Success(_):
                    refusal = _unknown_job(job_id)
                    outcomes.append(CancelOutcome(job_id, refusal=refusal))
                case Failure(failure):
                    refusal = _unread(failure)
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
                waiting = [row.record.spec.job_id for row in rows]
                outcomes.extend(await self._cancel_again(waiting, tries, failure))
        return outcomes

    async def _cancel_again(
        self, job_ids: Sequence[str], tries: int, failure: StoreFailure
    ) -> list[CancelOutcome]:
        if failure.kind is StoreFailureKind.CONFLICT:
            if len(job_ids) > 1:
                middle = len(job_ids) // 2
                return [
                    *await self._cancel_batch(job_ids[:middle], 1),
                    *await self._cancel_batch(job_ids[middle:], 1),
                ]
            if tries < CONFLICT_TRIES:
                return await self._cancel_batch(job_ids, tries + 1)
            refusal = not_run(Reason.CONFLICT, "the job changes too often", "repeat")
        elif failure.kind is StoreFailureKind.UNKNOWN:
            refusal = outcome_unknown(
                Reason.STORE_UNAVAILABLE,
                f"the cancellation may be noted: {failure.message}",
                "repeat the cancellation",
            )
        else:
            refusal = _unread(failure)
        return [CancelOutcome(job_id, refusal=refusal) for job_id in job_ids]


def _needs_flag(record: JobRecord) -> bool:
    return record.state not in TERMINAL_STATES and not record.cancel_requested


def _repeated(row: JobRow, spec: JobSpec) -> Result[JobRecord, Refusal]:
    former = row.record.spec
    if (former.organisation, former.body_digest) != (
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


def _unread(failure: StoreFailure) -> Refusal:
    return not_run(
        Reason.STORE_UNAVAILABLE,
        f"the table service cannot be used: {failure.message}",
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
    """Return the service; ``queued_jobs`` counts an organisation's queued jobs."""
    return JobService(jobs, view, topology, clock, metrics, check_job, queued_jobs)
