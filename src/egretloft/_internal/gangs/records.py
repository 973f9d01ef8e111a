"""Job rows: keys, encoding and transactions."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.codec import decode, encode
from egretloft._internal.gangs.interfaces import Epoch, SafeWriter, View
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.jobs import JobRecord
from egretloft._internal.platform.protocols import (
    Check,
    Row,
    StoreFailure,
    TableService,
    Write,
)

log = structlog.get_logger(__name__)

# Larger transactions conflict too often with changes to single rows.
MAX_ROWS_PER_TRANSACTION = 100


def job_prefix(region: str) -> str:
    """Return the prefix of all job rows of a region."""
    return f"job/{region}/"


def job_key(region: str, job_id: str) -> str:
    """Return the key of a job row."""
    return f"job/{region}/{job_id}"


def zone_key(zone: str) -> str:
    """Return the key of the row that says whether a zone is in service."""
    return f"control/zone/{zone}"


def profile_key(name: str) -> str:
    """Return the key of a profile row."""
    return f"control/profile/{name}"


def derive_job_id(organisation: str, idempotency_key: str) -> str:
    """Return the job id derived from an organisation's idempotency key."""
    digest = hashlib.blake2b(digest_size=16)
    # The length prefix makes (ab, c) and (a, bc) hash differently.
    digest.update(f"{len(organisation)}:{organisation}{idempotency_key}".encode())
    return f"job-{digest.hexdigest()}"


def task_id(job_id: str, attempt: int, task_index: int) -> str:
    """Return the task id of a gang member; it is unique to the attempt."""
    return f"{job_id}.{attempt}.{task_index}"


def epoch_check(epoch: Epoch) -> Check:
    """Return the check that the partition is still held under this epoch."""
    return Check(epoch.key, epoch.version)


def zone_check(view: View, zone: str) -> Check:
    """Return the check that the zone's row has the version that the view has."""
    return Check(zone_key(zone), view.row_version(zone_key(zone)))


def profile_check(view: View, name: str) -> Check:
    """Return the check that the profile's row has the version that the view has."""
    return Check(profile_key(name), view.row_version(profile_key(name)))


@dataclass(slots=True, frozen=True)
class JobRow:
    """A job record with the version of its row; 0 for a row not yet written."""

    record: JobRecord
    version: int


@dataclass(slots=True, frozen=True)
class JobScan:
    """Changed job rows of a region as of snapshot version ``as_of``."""

    rows: tuple[JobRow, ...]
    as_of: int


class JobTable:
    """Access to the job rows; methods use the table's own region by default."""

    def __init__(
        self, region: str, table: TableService, writer: SafeWriter, metrics: Metrics
    ) -> None:
        self.region = region
        self.table = table
        self.writer = writer
        self.metrics = metrics

    async def read(
        self, job_id: str, region: str = ""
    ) -> Result[JobRow | None, StoreFailure]:
        """Return the row of a job, ``None`` if there is none."""
        match await self.table.read(job_key(region or self.region, job_id)):
            case Success(None):
                return Success(None)
            case Success(row):
                return Success(self._decode_row(row))
            case Failure(failure):
                return Failure(failure)
        raise AssertionError("a result is a success or a failure")

    async def scan(
        self, after_version: int, region: str = ""
    ) -> Result[JobScan, StoreFailure]:
        """Return the job rows that changed after the version."""
        prefix = job_prefix(region or self.region)
        match await self.table.scan(prefix, after_version):
            case Success(scan):
                rows = (self._decode_row(row) for row in scan.rows)
                return Success(
                    JobScan(tuple(row for row in rows if row is not None), scan.as_of)
                )
            case Failure(failure):
                return Failure(failure)
        raise AssertionError("a result is a success or a failure")

    async def replace(
        self,
        row: JobRow,
        record: JobRecord,
        checks: Sequence[Check],
        timeout_seconds: float,
        writes: Sequence[Write] = (),
    ) -> Result[JobRow, StoreFailure]:
        """Replace ``row`` with ``record``; a conflict if the row has changed."""
        result = await self.replace_all(
            [(row, record)], checks, timeout_seconds, writes
        )
        return result.map(lambda rows: rows[0])

    async def replace_all(
        self,
        changes: Sequence[tuple[JobRow, JobRecord]],
        checks: Sequence[Check],
        timeout_seconds: float,
        writes: Sequence[Write] = (),
    ) -> Result[tuple[JobRow, ...], StoreFailure]:
        """Replace up to 100 rows in one atomic transaction."""
        keys = [job_key(new.spec.region, new.spec.job_id) for _, new in changes]
        result = await self.writer.commit(
            (
                *checks,
                *(
                    Check(key, row.version)
                    for key, (row, _) in zip(keys, changes, strict=True)
                ),
            ),
            (
                *(
                    Write(key, encode(new))
                    for key, (_, new) in zip(keys, changes, strict=True)
                ),
                *writes,
            ),
            timeout_seconds,
        )
        return result.map(
            lambda committed: tuple(
                JobRow(new, committed.version) for _, new in changes
            )
        )

    async def delete_all(
        self,
        versions: Mapping[str, int],
        checks: Sequence[Check],
        timeout_seconds: float,
    ) -> bool:
        """Delete up to 100 rows, given by job id; false if that did not succeed."""
        keys = {job_key(self.region, job_id): v for job_id, v in versions.items()}
        result = await self.writer.commit(
            (*checks, *(Check(key, version) for key, version in keys.items())),
            tuple(Write(key, None) for key in keys),
            timeout_seconds,
        )
        return isinstance(result, Success)

    def _decode_row(self, row: Row) -> JobRow | None:
        if row.value is None:
            return None
        match decode(row.value, JobRecord):
            case Success(record):
                return JobRow(record, row.version)
            case Failure(message):
                self.metrics.count("job_rows_undecodable")
                log.error("job row cannot be decoded", key=row.key, error=message)
        return None


def create_job_table(
    region: str, table: TableService, writer: SafeWriter, metrics: Metrics
) -> JobTable:
    """Return access to the job rows of ``region``."""
    return JobTable(region, table, writer, metrics)
