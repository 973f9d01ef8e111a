"""What all parts of a gang owner share during one epoch."""

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

# Commits of one owner at the same time. The store takes several hundred writes a
# second at a few milliseconds each; more would only queue there.
CONCURRENT_COMMITS = 32
COMMIT_TIMEOUT_SECONDS = 1.0
# Pause between tries of a write that must be made, doubled up to the second value.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class JobChange:
    """A new record with the account rows that belong to the same transaction."""

    record: JobRecord
    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()


# Returns the change for a current record, ``None`` when it does not apply any more.
Change = Callable[[JobRecord], JobChange | None]


@dataclass(slots=True)
class OwnerContext:
    """Collaborators of one epoch; ``epoch_number`` is the epoch it acts under."""

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
    # Set when the tables may not agree with the rows, which are then loaded again.
    abandoned: bool = False
    commits: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(CONCURRENT_COMMITS)
    )

    def epoch(self) -> Epoch | None:
        """Return the epoch while this instance still acts under it."""
        epoch = self.ownership.holds(self.partition)
        if epoch is None or epoch.number != self.epoch_number:
            return None
        return epoch

    def may_send(self) -> bool:
        """Return whether a worker may be called now; asked right before each call."""
        return self.epoch() is not None and self.view.is_fresh()

    async def write(self, gang: Gang, change: Change) -> bool:
        """Apply ``change`` to the gang's row through conflicts and outages.

        Tries until the change is in the table, and waits while the ownership is not
        confirmed. Returns false if the change does not apply to the current row.
        """
        pause = FIRST_PAUSE_SECONDS
        known = True
        attempted: list[JobRecord] = []
        while True:
            if not known:
                found = await self.read_back(gang)
                if found is None:
                    return False
                known = found
            epoch = self.epoch()
            if known and epoch is not None:
                current = gang.record
                # An unanswered try may have taken effect before or after a read.
                if any(_same_apart_from_cancel(current, tried) for tried in attempted):
                    return True
                wanted = change(current)
                if wanted is None:
                    self.metrics.count("gang_writes_not_applicable")
                    return False
                attempted.append(wanted.record)
                kind = await self.replace(
                    gang,
                    wanted.record,
                    (epoch_check(epoch), *wanted.checks),
                    COMMIT_TIMEOUT_SECONDS,
                    wanted.writes,
                )
                if kind is None:
                    return True
                known = kind is StoreFailureKind.NOT_APPLIED
                if kind is StoreFailureKind.CONFLICT:
                    await self.accounting.refresh()
            await self.sleep(pause)
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    def address_of(self, member: Member) -> str:
        """Return the member's address; a gang may be adopted before its worker."""
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
                gang.take_row(row)
                return True
            case Success(None):
                # Owners delete rows of ended jobs only.
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
        """Write ``record`` over the gang's row once; ``None`` if that succeeded.

        ``UNKNOWN`` also stands for a write that took effect and was written over by
        another instance since; the row has to be read back in both cases.
        """
        async with self.commits:
            result = await self.jobs.replace(
                gang.row, record, checks, timeout_seconds, writes
            )
        match result:
            case Success(JobRow(version=0)):
                return StoreFailureKind.UNKNOWN
            case Success(row):
                gang.take_row(row)
                return None
            case Failure(failure):
                kind: StoreFailureKind = failure.kind
                self.metrics.count("gang_write_failures", kind=kind.value)
                return kind
        raise AssertionError("a result is a success or a failure")


def _same_apart_from_cancel(current: JobRecord, attempted: JobRecord) -> bool:
    # Other instances change nothing but the cancel flag.
    return current == attempted or current == replace(attempted, cancel_requested=True)
