"""Group commit of job progress and used targets, conditional on the leader row.

Targets forget an end, and callers see a state, only after the store holds it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import structlog
from returns.result import Failure

from egretloft._internal import codec
from egretloft._internal.fleet.constants import (
    ENTRIES_PER_TRANSACTION,
    PARTITION,
    STORE_CALL_TIMEOUT_SECONDS,
    TABLE_TARGETS,
)
from egretloft._internal.fleet.election import LEADER_KEY, Election
from egretloft._internal.fleet.interfaces import (
    Expectation,
    RowKey,
    RowStore,
    RowTransaction,
    StoredRow,
    StoreFailureKind,
)
from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.records import (
    UsedTarget,
    cancel_key,
    job_key,
    progress_key,
)
from egretloft._internal.fleet.tables import FleetTables, JobRow, TargetRow
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# Backoff after a failed write.
RETRY_SECONDS = 0.1
# Changes within this time are written in one batch.
GROUP_SECONDS = 0.003
# A write or removal that depends on the row's version takes one entry for each.
CONDITIONAL_WRITE_ENTRIES = 2


@dataclass(slots=True)
class Batch:
    """Contents of one transaction.

    Each job is stored with its change count and its state at the time of the write;
    ``removals`` are IDs of targets, ``old_progress`` IDs of jobs whose progress rows
    are removed.
    """

    jobs: list[tuple[JobRow, int, JobState]] = field(default_factory=list)
    targets: list[TargetRow] = field(default_factory=list)
    removals: list[str] = field(default_factory=list)
    old_progress: list[str] = field(default_factory=list)

    def is_empty(self) -> bool:
        """Return whether there is nothing to write."""
        return not (self.jobs or self.targets or self.removals or self.old_progress)

    def free_entries(self) -> int:
        """Return how many more entries the transaction may have.

        One entry is the condition on the leader row.
        """
        conditional = len(self.jobs) + len(self.targets) + len(self.removals)
        used = 1 + CONDITIONAL_WRITE_ENTRIES * conditional + len(self.old_progress)
        return ENTRIES_PER_TRANSACTION - used


class Recorder:
    """Writes the leader's changes to the store and removes obsolete rows."""

    def __init__(
        self,
        store: RowStore,
        election: Election,
        tables: FleetTables,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.election = election
        self.tables = tables
        self.metrics = metrics
        self.wake = asyncio.Event()
        self.dirty: dict[str, JobRow] = {}
        self.target_versions: dict[str, int] = {}
        self.gone_targets: set[str] = set()
        # Targets whose row was written without an answer that tells the outcome.
        self.unconfirmed_targets: set[str] = set()
        self.ended_jobs: dict[str, bool] = {}
        self.old_progress: set[str] = set()
        self.failing = False
        # Set after a flush, and replaced so that each flush wakes only earlier waits.
        self.flushed = asyncio.Event()

    def mark_dirty(self, job: JobRow) -> None:
        """Schedule a write of the job's progress."""
        job.mark_changed()
        self.dirty[job.accepted.job_id] = job
        self.wake.set()

    def forget_target(self, target_id: str) -> None:
        """Schedule the removal of a target's row, if it has one."""
        if target_id in self.target_versions:
            self.gone_targets.add(target_id)
            self.wake.set()

    def stored_targets(self) -> list[str]:
        """Return the targets whose rows the store certainly holds."""
        uncertain = self.uncertain_targets()
        return [
            target_id
            for target_id, version in self.target_versions.items()
            if version and target_id not in uncertain
        ]

    def uncertain_targets(self) -> set[str]:
        """Return the targets whose rows the store may hold or not."""
        return self.unconfirmed_targets | {
            target_id
            for target_id in self.gone_targets
            if self.target_versions.get(target_id)
        }

    def may_change_targets(self) -> bool:
        """Return whether the rows of targets may be written now.

        A leader that goes on without the store and its successor count the same rows,
        so neither changes them before the former one is fenced.
        """
        return self.election.is_confirmed() and not self.election.may_have_former()

    def forget_job(self, job_id: str, cancelled: bool) -> None:
        """Schedule the removal of all rows of an ended job."""
        self.ended_jobs[job_id] = cancelled
        self.wake.set()

    def forget_progress(self, job_id: str) -> None:
        """Schedule the removal of the progress row of a job without other rows."""
        self.old_progress.add(job_id)
        self.wake.set()

    async def run(self) -> None:
        """Write batches until cancelled."""
        # Changes may be left from a run that failed.
        self.wake.set()
        while True:
            await self.wake.wait()
            await asyncio.sleep(GROUP_SECONDS)
            self.wake.clear()
            removed = await self.remove_ended_jobs()
            if not await self.flush() or not removed:
                self.wake.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def remove_ended_jobs(self) -> bool:
        """Remove the accepted jobs and cancel requests of ended jobs.

        Return whether all were removed. Progress rows are removed afterwards: an
        accepted job without progress would run again.
        """
        for job_id, cancelled in list(self.ended_jobs.items()):
            writes: list[tuple[RowKey, bytes | None]] = [(job_key(job_id), None)]
            if cancelled:
                writes.append((cancel_key(job_id), None))
            result = await self.store.commit(
                RowTransaction((), tuple(writes)), STORE_CALL_TIMEOUT_SECONDS
            )
            if isinstance(result, Failure):
                self.metrics.count("removal_failures")
                log.info(
                    "removal of an ended job's rows not confirmed by the store",
                    request_id=job_id,
                    error=result.failure().message,
                )
                return False
            del self.ended_jobs[job_id]
            self.old_progress.add(job_id)
        return True

    async def flush(self) -> bool:
        """Write all pending changes; return whether the store confirmed them.

        Ends that were applied before the call then count as recorded.
        """
        applied_ends = {
            t.report.target_id: t.last_applied_end for t in self.tables.targets.values()
        }
        incarnations = {
            t.report.target_id: t.incarnation_ms for t in self.tables.targets.values()
        }
        while True:
            batch = self.next_batch()
            if batch.is_empty():
                break
            if not await self.write(batch):
                return False
        for target_id, number in applied_ends.items():
            target = self.tables.targets.get(target_id)
            if target is not None and target.incarnation_ms == incarnations[target_id]:
                target.last_recorded_end = max(target.last_recorded_end, number)
        self.flushed.set()
        self.flushed = asyncio.Event()
        return True

    def next_batch(self) -> Batch:
        """Return as many pending changes as fit into one transaction.

        Targets come first, as steps wait for them to be recorded. An unreachable one,
        or one whose former row is yet to be removed, is not recorded now.
        """
        batch = Batch()
        may_change_targets = self.may_change_targets()
        unrecorded = [
            target
            for target in self.tables.targets.values()
            if may_change_targets
            and not target.recorded
            and target.reachable
            and target.report.target_id not in self.gone_targets
        ]
        batch.targets = unrecorded[: batch.free_entries() // CONDITIONAL_WRITE_ENTRIES]
        for job in self.dirty.values():
            if batch.free_entries() < CONDITIONAL_WRITE_ENTRIES:
                break
            batch.jobs.append((job, job.changes, job.state))
        if may_change_targets:
            removable = batch.free_entries() // CONDITIONAL_WRITE_ENTRIES
            batch.removals = sorted(self.gone_targets)[:removable]
        batch.old_progress = sorted(self.old_progress)[: batch.free_entries()]
        return batch

    async def write(self, batch: Batch) -> bool:
        """Write one batch; return whether the store confirmed it."""
        term = self.election.term
        if term is None:
            return False
        expectations = [Expectation(LEADER_KEY, term.leader_version)]
        writes: list[tuple[RowKey, bytes | None]] = []
        for job, _, _ in batch.jobs:
            key = progress_key(job.accepted.job_id)
            expectations.append(Expectation(key, job.progress_version))
            writes.append((key, codec.encode(job.progress())))
        for target in batch.targets:
            key = target_key(target.report.target_id)
            version = self.target_versions.get(target.report.target_id, 0)
            expectations.append(Expectation(key, version))
            writes.append((key, codec.encode(used_target(target))))
        for target_id in batch.removals:
            key = target_key(target_id)
            expectations.append(Expectation(key, self.target_versions[target_id]))
            writes.append((key, None))
        writes.extend((progress_key(job_id), None) for job_id in batch.old_progress)
        self.unconfirmed_targets.update(t.report.target_id for t in batch.targets)
        result = await self.store.commit(
            RowTransaction(tuple(expectations), tuple(writes)),
            STORE_CALL_TIMEOUT_SECONDS,
        )
        if isinstance(result, Failure):
            failure = result.failure()
            self.metrics.count("record_failures", kind=failure.kind.value)
            if not self.failing:
                self.failing = True
                log.warning(
                    "progress and target rows not confirmed by the store",
                    error=failure.message,
                )
            if failure.kind is StoreFailureKind.CONFLICT:
                self.on_conflict(failure.rows, term.leader_version)
            return False
        if self.failing:
            self.failing = False
            log.info(
                "progress and target rows confirmed by the store again",
                jobs=len(batch.jobs),
            )
        self.on_written(batch, result.unwrap())
        return True

    def on_written(self, batch: Batch, version: int) -> None:
        """Mark the contents of the batch as recorded at ``version``."""
        for job, changes, state in batch.jobs:
            job.progress_version = version
            job.recorded_changes = changes
            if job.recorded is not state:
                log.info(
                    "job state recorded",
                    request_id=job.accepted.job_id,
                    state=state.value,
                    version=version,
                    epoch=self.election.term.epoch if self.election.term else 0,
                )
            job.recorded = state
            if not job.is_dirty():
                self.dirty.pop(job.accepted.job_id, None)
        for target in batch.targets:
            target.recorded = True
            self.target_versions[target.report.target_id] = version
            self.unconfirmed_targets.discard(target.report.target_id)
        for target_id in batch.removals:
            self.target_versions.pop(target_id, None)
            self.gone_targets.discard(target_id)
        self.old_progress.difference_update(batch.old_progress)

    def on_conflict(self, rows: tuple[StoredRow, ...], leader_version: int) -> None:
        """Take over the current row versions after a conflict.

        An earlier write whose answer was lost may have changed them. A changed leader
        row ends the term.
        """
        for row in rows:
            if row.key == LEADER_KEY:
                self.election.on_rows((row,))
                if row.version != leader_version:
                    self.election.step_down("the leader's row changed")
                continue
            if row.key.table == TABLE_TARGETS:
                self.target_versions[row.key.key] = row.version
                continue
            for job in self.dirty.values():
                if progress_key(job.accepted.job_id) == row.key:
                    job.progress_version = row.version


def target_key(target_id: str) -> RowKey:
    """Return the key of a used target's row."""
    return RowKey(TABLE_TARGETS, PARTITION, target_id)


def used_target(target: TargetRow) -> UsedTarget:
    """Return the row from which a later leader learns of the target."""
    report = target.report
    return UsedTarget(report.address, report.service, report.zone, report.rack)


def create_recorder(
    store: RowStore, election: Election, tables: FleetTables, metrics: Metrics
) -> Recorder:
    """Return a recorder without pending changes."""
    return Recorder(store, election, tables, metrics)
