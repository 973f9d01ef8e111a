"""Context that the parts of a gang owner share during one epoch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from returns.result import Failure, Success

from egretloft._internal.gangs.entities import Gang, Member
from egretloft._internal.gangs.interfaces import (
    Epoch,
    Ownership,
    RunAccounting,
    Sleep,
    Topology,
    View,
)
from egretloft._internal.gangs.records import JobRow, JobTable, epoch_check
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.jobs import JobRecord
from egretloft._internal.platform.protocols import (
    Check,
    Clock,
    StoreFailureKind,
    WorkerClient,
    Write,
)

# Concurrent commits of one owner. The store handles several hundred writes per second
# at a few milliseconds each; more concurrent commits would only queue there.
CONCURRENT_COMMITS = 32
COMMIT_TIMEOUT_SECONDS = 1.0
# Exponential backoff between the tries of a write that is retried until it succeeds.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class JobChange:
    """A new job record and the account rows to write in the same transaction."""

    record: JobRecord
    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()


# Returns the change to the current record, ``None`` if it no longer applies.
Change = Callable[[JobRecord], JobChange | None]


@dataclass(slots=True)
class OwnerContext:
    """Dependencies and shared state of a gang owner in epoch ``epoch_number``."""

    partition: str
    epoch_number: int
    clock: Clock
    sleep: Sleep
    client: WorkerClient
    jobs: JobTable
    ownership: Ownership
    view: View
    topology: Topology
    accounting: RunAccounting
    metrics: Metrics
    # Set when the in-memory state may not match the job rows. The owner then closes the
    # session, and a new one loads the rows again.
    needs_reload: bool = False
    commit_slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(CONCURRENT_COMMITS)
    )

    def epoch(self) -> Epoch | None:
        """Return the epoch, ``None`` if this instance may no longer act under it."""
        epoch = self.ownership.holds(self.partition)
        if epoch is None or epoch.number != self.epoch_number:
            return None
        return epoch

    def may_send(self) -> bool:
        """Return whether workers may be called now; to be checked before each call."""
        return self.epoch() is not None and self.view.is_fresh()

    async def write(self, gang: Gang, change: Change) -> bool:
        """Apply ``change`` to the gang's row, retrying after conflicts and outages.

        Retries with backoff until the change is written, and waits while the ownership
        is not confirmed. Returns false if the change does not apply to the current row
        or the row is missing.
        """
        backoff = INITIAL_BACKOFF_SECONDS
        row_is_current = True
        attempted: list[JobRecord] = []
        while True:
            if not row_is_current:
                found = await self.read_back(gang)
                if found is None:
                    return False
                row_is_current = found
            epoch = self.epoch()
            if row_is_current and epoch is not None:
                current = gang.record
                # A try without an answer may have taken effect, before or after the row
                # was read back.
                if any(
                    _equal_except_cancel_flag(current, tried) for tried in attempted
                ):
                    return True
                job_change = change(current)
                if job_change is None:
                    self.metrics.count("gang_writes_not_applicable")
                    return False
                attempted.append(job_change.record)
                kind = await self.replace(
                    gang,
                    job_change.record,
                    (epoch_check(epoch), *job_change.checks),
                    COMMIT_TIMEOUT_SECONDS,
                    job_change.writes,
                )
                if kind is None:
                    return True
                row_is_current = kind is StoreFailureKind.NOT_APPLIED
                if kind is StoreFailureKind.CONFLICT:
                    await self.accounting.refresh()
            await self.sleep(backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    def address_of(self, member: Member) -> str:
        """Return the address of the member's worker, empty if the worker is not listed.

        A gang may be adopted before its workers are listed.
        """
        if not member.address:
            worker = self.topology.workers.get(member.placement.worker_id)
            member.address = worker.address if worker is not None else ""
        return member.address

    async def read_back(self, gang: Gang) -> bool | None:
        """Read the gang's row again.

        Returns false when the store does not answer, ``None`` when there is no row.
        """
        match await self.jobs.read(gang.job_id):
            case Success(JobRow() as row):
                gang.update_row(row)
                return True
            case Success(None):
                # Not expected: owners only delete rows of ended jobs.
                self.metrics.count("gang_rows_missing")
                return None
        return False

    async def replace(
        self,
        gang: Gang,
        record: JobRecord,
        checks: tuple[Check, ...],
        timeout_seconds: float,
        writes: tuple[Write, ...] = (),
    ) -> StoreFailureKind | None:
        """Try once to replace the gang's row; returns ``None`` on success.

        ``UNKNOWN`` is also returned if the write took effect but another instance has
        overwritten it since. The row has to be read back in both cases.
        """
        async with self.commit_slots:
            result = await self.jobs.replace(
                gang.row, record, checks, timeout_seconds, writes
            )
        match result:
            case Success(JobRow(version=0)):
                return StoreFailureKind.UNKNOWN
            case Success(row):
                gang.update_row(row)
                return None
            case Failure(failure):
                kind: StoreFailureKind = failure.kind
                self.metrics.count("gang_write_failures", kind=kind.value)
                return kind
        raise AssertionError("a result is a success or a failure")


def _equal_except_cancel_flag(current: JobRecord, attempted: JobRecord) -> bool:
    # Instances that are not the owner only change the cancel flag.
    return current == attempted or current == replace(attempted, cancel_requested=True)
