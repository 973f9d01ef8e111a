"""Loads rows of the store into the leader's tables."""

from __future__ import annotations

from typing import Protocol

import structlog
from returns.result import Failure

from egretloft._internal import codec
from egretloft._internal.fleet.constants import CANCEL_SUFFIX, PROGRESS_SUFFIX
from egretloft._internal.fleet.interfaces import RowDecoder, StoredRow
from egretloft._internal.fleet.lifecycle import update_state
from egretloft._internal.fleet.models import Resources, TargetReport
from egretloft._internal.fleet.recorder import Recorder
from egretloft._internal.fleet.records import (
    AcceptedJob,
    CancelRequest,
    JobProgress,
    UsedTarget,
)
from egretloft._internal.fleet.supervision import apply_each
from egretloft._internal.fleet.tables import FleetTables, JobRow, TargetRow
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# What the rows of a job hold: the job itself, its progress and its cancel request.
JOB_SUFFIXES = ("", PROGRESS_SUFFIX, CANCEL_SUFFIX)


class StateOwner(Protocol):
    """The leader, as seen by the state reader."""

    def add_target(self, target: TargetRow) -> None:
        """Add a target to the tables and create its session."""

    def on_target_changed(self, target: TargetRow) -> None:
        """Wake the session of a target that restarted or moved."""

    def on_target_announced(self, target: TargetRow) -> None:
        """Note when a target leaves, if its report says so."""

    def on_job_changed(self, job: JobRow) -> None:
        """Schedule a write of the job's progress and wake the scheduling loop."""

    def wake_scheduler(self) -> None:
        """Start the next tick without waiting for the tick period."""


class StateReader:
    """Applies rows of jobs and targets to the leader's tables."""

    def __init__(
        self,
        owner: StateOwner,
        tables: FleetTables,
        recorder: Recorder,
        decoder: RowDecoder,
        metrics: Metrics,
    ) -> None:
        self.owner = owner
        self.tables = tables
        self.recorder = recorder
        self.decoder = decoder
        self.metrics = metrics
        # Jobs of which a row cannot be decoded, perhaps as another build wrote it.
        self.unreadable_jobs: set[str] = set()
        # Cancel requests that came before their jobs, with their Unix times in
        # milliseconds.
        self.early_cancels: dict[str, int] = {}

    def add_used_target(self, row: StoredRow) -> None:
        """Add a target to which an earlier leader may have given work.

        It gets no new work unless the platform lists it.
        """
        target_id = row.key.key
        self.recorder.target_versions[target_id] = row.version
        record = codec.decode(row.value or b"", UsedTarget)
        if isinstance(record, Failure):
            log.error(
                "target row cannot be decoded", target=target_id, version=row.version
            )
            return
        used = record.unwrap()
        report = TargetReport(
            target_id=target_id,
            address=used.address,
            service=used.service,
            zone=used.zone,
            rack=used.rack,
            labels=frozenset(),
            room=Resources(),
            draining=True,
            incarnation_ms=0,
        )
        self.owner.add_target(
            TargetRow(report, listed=False, recorded=True, used_before=True)
        )

    def on_target_snapshot(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the complete list of targets."""
        listed_ids = {row.key.key for row in rows}
        self.on_target_rows(rows)
        for target_id, target in self.tables.targets.items():
            if target_id not in listed_ids:
                target.listed = False

    def on_target_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply changed rows of the list of targets.

        Most of them are check-ins that change nothing.
        """
        apply_each(rows, self.on_target_row, self.metrics)

    def on_target_row(self, row: StoredRow) -> None:
        """Apply a changed row of the list of targets."""
        if row.value is None:
            self.on_target_removed(row.key.key)
            return
        report = self.decoder.target(row)
        if isinstance(report, Failure):
            self.metrics.count("target_rows_refused")
            log.info("target row refused", target=row.key.key, why=report.failure())
            self.on_target_removed(row.key.key)
            return
        self.on_target_report(report.unwrap())

    def on_target_removed(self, target_id: str) -> None:
        """Mark a target as unlisted, so that it gets no new work."""
        target = self.tables.targets.get(target_id)
        if target is None or not target.listed:
            return
        target.listed = False
        log.info("target no longer listed", target=target_id, runs=len(target.runs))
        self.owner.wake_scheduler()

    def on_target_report(self, report: TargetReport) -> None:
        """Add or update a listed target; one that restarted or moved is fenced anew."""
        target = self.tables.targets.get(report.target_id)
        if target is None:
            log.info("target listed", target=report.target_id, zone=report.zone)
            target = TargetRow(report)
            self.owner.add_target(target)
            self.owner.on_target_announced(target)
            self.owner.wake_scheduler()
            return
        restarted = 0 < target.incarnation_ms < report.incarnation_ms
        if report.incarnation_ms == target.incarnation_ms:
            target.reports_since_failure += 1
        if target.listed and target.report == report and not restarted:
            return
        if report.draining and not target.report.draining:
            log.info(
                "target draining",
                target=report.target_id,
                runs=len(target.runs),
                remaining=report.remaining_seconds,
            )
        moved = target.report.address != report.address
        target.report = report
        target.listed = True
        self.owner.on_target_announced(target)
        if moved or restarted:
            target.fenced = target.has_answered = False
            self.owner.on_target_changed(target)
        self.owner.wake_scheduler()

    def on_job_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply rows of accepted jobs, progress and cancel requests, in this order.

        Progress is taken only from an earlier leader; the other progress rows are this
        leader's own writes.
        """
        present = [row for row in rows if row.value is not None]
        by_suffix: dict[str, list[StoredRow]] = {suffix: [] for suffix in JOB_SUFFIXES}
        for row in present:
            by_suffix[job_row_suffix(row)].append(row)
        apply_each(by_suffix[""], self.add_job, self.metrics)
        apply_each(by_suffix[PROGRESS_SUFFIX], self.restore_job, self.metrics)
        apply_each(by_suffix[CANCEL_SUFFIX], self.on_cancel_request, self.metrics)
        if self.early_cancels:
            apply_each(by_suffix[""], self.cancel_late_job, self.metrics)
        self.owner.wake_scheduler()

    def add_job(self, row: StoredRow) -> None:
        """Add an accepted job to the tables, unless it is there already."""
        if row.key.key in self.tables.jobs:
            return
        record = codec.decode(row.value or b"", AcceptedJob)
        if isinstance(record, Failure):
            log.error(
                "job row cannot be decoded", request_id=row.key.key, version=row.version
            )
            self.unreadable_jobs.add(row.key.key)
            return
        self.unreadable_jobs.discard(row.key.key)
        job = JobRow(record.unwrap())
        self.tables.add_job(job)
        log.info(
            "job queued",
            request_id=job.accepted.job_id,
            version=row.version,
            queue=job.accepted.queue,
            service=job.accepted.service,
            configuration=job.accepted.configuration_version,
            priority=job.accepted.priority,
            tasks=sum(step.tasks for step in job.accepted.spec.steps),
        )

    def restore_job(self, row: StoredRow) -> None:
        """Restore a job from the progress that an earlier leader wrote."""
        job_id = row.key.key.removesuffix(PROGRESS_SUFFIX)
        job = self.tables.jobs.get(job_id)
        if job_id in self.unreadable_jobs:
            return
        if job is None:
            # The progress was written before this term, and the job's row before that,
            # so that row has already been removed.
            self.recorder.forget_progress(job_id)
            return
        if job.recorded is not None or job.changes:
            return
        record = codec.decode(row.value or b"", JobProgress)
        if isinstance(record, Failure):
            log.error(
                "job progress row cannot be decoded",
                request_id=job_id,
                version=row.version,
            )
            # What of it is done is not known.
            self.unreadable_jobs.add(job_id)
            self.tables.withdraw_job(job)
            return
        job.restore(record.unwrap())
        job.progress_version = row.version
        if job.is_final():
            self.tables.close_job(job)

    def on_cancel_request(self, row: StoredRow) -> None:
        """Apply a cancel request, or keep it until its job is read."""
        job_id = row.key.key.removesuffix(CANCEL_SUFFIX)
        job = self.tables.jobs.get(job_id)
        if job is not None:
            self.cancel_job(job, row.version)
        elif job_id not in self.unreadable_jobs:
            record = codec.decode(row.value or b"", CancelRequest)
            at_ms = 0 if isinstance(record, Failure) else record.unwrap().at_ms
            self.early_cancels[job_id] = at_ms

    def cancel_late_job(self, row: StoredRow) -> None:
        """Cancel a job whose cancel request was read before the job."""
        job = self.tables.jobs.get(row.key.key)
        if job is not None and self.early_cancels.pop(row.key.key, None) is not None:
            self.cancel_job(job, row.version)

    def take_expired_cancel(self, cutoff_ms: float) -> str | None:
        """Return a job that was cancelled before ``cutoff_ms`` and never came.

        It is forgotten. ``None`` means that there is no such job.
        """
        if not self.early_cancels:
            return None
        job_id, at_ms = next(iter(self.early_cancels.items()))
        if at_ms >= cutoff_ms:
            return None
        del self.early_cancels[job_id]
        return job_id

    def cancel_job(self, job: JobRow, version: int) -> None:
        """Cancel a job; ``version`` is that of the row that led to it."""
        if job.cancelled:
            return
        job.cancelled = True
        self.tables.touch(job)
        if job.is_final():
            return
        update_state(job)
        log.info(
            "job cancelled",
            request_id=job.accepted.job_id,
            version=version,
            state=job.state.value,
        )
        self.owner.on_job_changed(job)


def job_row_suffix(row: StoredRow) -> str:
    """Return the suffix that tells what a job's row holds; empty for the job itself."""
    for suffix in (PROGRESS_SUFFIX, CANCEL_SUFFIX):
        if row.key.key.endswith(suffix):
            return suffix
    return ""


def create_state_reader(
    owner: StateOwner,
    tables: FleetTables,
    recorder: Recorder,
    decoder: RowDecoder,
    metrics: Metrics,
) -> StateReader:
    """Return a state reader for one term."""
    return StateReader(owner, tables, recorder, decoder, metrics)
