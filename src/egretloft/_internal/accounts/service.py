"""Accounts of a deployment: records usage, renders monthly accounts, closes months."""

from __future__ import annotations

import hashlib
import secrets
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.accounts.months import Month, month_at, parse_month
from egretloft._internal.accounts.rendering import render_account
from egretloft._internal.accounts.rows import (
    TIME_ZONE_KEY,
    MonthRow,
    MonthState,
    RequestCount,
    UsageRow,
    account_object_name,
    month_key,
    request_usage_writes,
    run_usage_writes,
    usage_prefix,
)
from egretloft._internal.codec import decode, encode
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.jobs import JobRecord
from egretloft._internal.models.outcomes import (
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.platform.protocols import (
    Check,
    Clock,
    Committed,
    ObjectStore,
    Row,
    StoreFailure,
    StoreFailureKind,
    TableService,
    Write,
)

log = structlog.get_logger(__name__)

COMMIT_TIMEOUT_SECONDS = 5.0
# Limit on distinct (organisation, service, zone, minute) counts that are not flushed
# yet, so that an outage of hours does not exhaust the instance's memory. Requests that
# would add a further count are dropped, and only the metrics count them.
MAX_PENDING_COUNTS = 20_000
# Keeps the row of a batch well under 1 MiB.
MAX_BATCH_COUNTS = 2_000


class SafeWriter(Protocol):
    """Commits transactions and finds out their outcome if the answer is lost."""

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> Result[Committed, StoreFailure]:
        """Commit; fails with ``unknown`` only if the outcome could not be read back."""


@dataclass(slots=True)
class PendingBatch:
    """Counts with a sequence number; they may already be in the table."""

    sequence: int
    counts: tuple[RequestCount, ...]
    # Keys under which a write was attempted. The key changes when a month is closed
    # between two attempts, and an earlier attempt may have written the former key.
    attempted_keys: list[str] = field(default_factory=list)


class AccountService:
    """Records usage and serves monthly accounts in one time zone."""

    def __init__(
        self,
        *,
        instance_id: str,
        time_zone: str,
        table: TableService,
        objects: ObjectStore,
        writer: SafeWriter,
        clock: Clock,
        metrics: Metrics,
        incarnation: str,
    ) -> None:
        self.instance_id = instance_id
        self.time_zone_name = time_zone
        self.time_zone = ZoneInfo(time_zone)
        self.table = table
        self.objects = objects
        self.writer = writer
        self.clock = clock
        self.metrics = metrics
        self.incarnation = incarnation
        self.closed_months: set[Month] = set()
        self.pending_counts: Counter[tuple[str, str, str, int]] = Counter()
        self.pending_batches: list[PendingBatch] = []
        self.next_sequence = 1
        self.flushing = False

    async def confirm_time_zone(self) -> Result[str, Refusal]:
        """Store the time zone, or refuse one that differs from the stored one.

        Call this before the first usage is written.
        """
        data = self.time_zone_name.encode()
        await self.writer.commit(
            (Check(TIME_ZONE_KEY, 0),),
            (Write(TIME_ZONE_KEY, data),),
            COMMIT_TIMEOUT_SECONDS,
        )
        match await self.table.read(TIME_ZONE_KEY):
            case Success(Row(value=value)) if value == data:
                return Success(self.time_zone_name)
            case Success(Row(value=value)):
                stored = (value or b"").decode(errors="replace")
                return Failure(
                    not_run(
                        Reason.CONFLICT,
                        f"the accounts use the time zone {stored!r}",
                        "the account time zone cannot be changed",
                    )
                )
        return Failure(_unavailable("the account time zone cannot be read"))

    # Gang runs. These methods implement ``gangs.interfaces.RunAccounting``.

    def run_rows(
        self, record: JobRecord, started_at: float, ended_at: float
    ) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
        """Return the checks and writes that record a gang run exactly once."""
        return run_usage_writes(
            record,
            (started_at, ended_at),
            record.zone,
            self.time_zone,
            self.closed_months,
            self.clock.wall(),
        )

    async def refresh(self) -> None:
        """Read again which months are closed; called after a conflict."""
        match await self.table.scan("month/", 0):
            case Success(scan):
                months = (
                    parse_month(row.key.removeprefix("month/")) for row in scan.rows
                )
                self.closed_months.update(
                    month for month in months if month is not None
                )
            case Failure(failure):
                self.metrics.count("account_read_failures", kind=failure.kind.value)

    # Requests

    def count_request(
        self, organisation: str, service: str, zone: str, at: float
    ) -> None:
        """Count a request that completed at ``at``, in Unix seconds."""
        key = organisation, service, zone, int(at) // 60 * 60
        if (
            key not in self.pending_counts
            and len(self.pending_counts) >= MAX_PENDING_COUNTS
        ):
            self.metrics.count("account_requests_dropped")
            return
        self.pending_counts[key] += 1

    async def flush(self) -> bool:
        """Write the pending request counts; return whether all batches were written.

        A batch keeps its sequence number until its outcome is known, so that a batch
        whose answer was lost is not counted twice. New counts are put into batches only
        when no batch is pending.
        """
        if self.flushing:
            return False
        self.flushing = True
        try:
            self._form_batches()
            while self.pending_batches:
                if not await self._write_batch(self.pending_batches[0]):
                    return False
                self.pending_batches.pop(0)
            return True
        finally:
            self.flushing = False

    def _form_batches(self) -> None:
        # While a batch cannot be written, new counts stay in the counter, where further
        # requests of the same minute need no more memory.
        if self.pending_batches:
            return
        items = sorted(self.pending_counts.items())
        self.pending_counts.clear()
        for first in range(0, len(items), MAX_BATCH_COUNTS):
            counts = tuple(
                RequestCount(*key, count)
                for key, count in items[first : first + MAX_BATCH_COUNTS]
            )
            self.pending_batches.append(PendingBatch(self.next_sequence, counts))
            self.next_sequence += 1

    async def _write_batch(self, batch: PendingBatch) -> bool:
        # A conflict means that the month was closed or that an earlier attempt took
        # effect, so one more attempt follows.
        for _ in range(2):
            match await self._was_written(batch):
                case Success(True):
                    return True
                case Failure(_):
                    return False
            checks, writes = request_usage_writes(
                self.instance_id,
                self.incarnation,
                batch.sequence,
                batch.counts,
                self.time_zone,
                self.closed_months,
                self.clock.wall(),
            )
            result = await self.writer.commit(checks, writes, COMMIT_TIMEOUT_SECONDS)
            match result:
                case Success():
                    return True
                case Failure(failure):
                    self.metrics.count("account_write_failures", kind=failure.kind)
                    if writes[0].key not in batch.attempted_keys:
                        batch.attempted_keys.append(writes[0].key)
                    if failure.kind is not StoreFailureKind.CONFLICT:
                        return False
            await self.refresh()
        return False

    async def _was_written(self, batch: PendingBatch) -> Result[bool, StoreFailure]:
        # An earlier attempt that reaches the table only after this read has no effect:
        # its check that the row is absent fails if the key is the same, and its check
        # that the month is open fails if the key has changed since.
        for key in batch.attempted_keys:
            match await self.table.read(key):
                case Success(Row()):
                    return Success(True)
                case Failure(failure):
                    return Failure(failure)
        return Success(False)

    # Monthly accounts

    async def render(self, month: str) -> Result[str, Refusal]:
        """Return the account of a month given as ``YYYY-MM``.

        The account of a closed month is returned as it was stored.
        """
        parsed = parse_month(month)
        if parsed is None:
            return Failure(_malformed_month(month))
        match await self._read_month_row(parsed):
            case Success(MonthRow(state=MonthState.CLOSED, digest=digest)):
                return await self._read_stored(parsed, digest)
            case Success(_):
                return await self._render_rows(parsed)
            case Failure(failure):
                return await self._read_stored_without_table(parsed, failure)
        raise AssertionError("a result is a success or a failure")

    async def close(self, month: str) -> Result[str, Refusal]:
        """Close a month that has ended and return its account.

        A call that failed can be retried at any instance. The first write prevents
        further rows in the month, so every instance renders the same bytes.
        """
        parsed = parse_month(month)
        if parsed is None:
            return Failure(_malformed_month(month))
        if month_at(self.clock.wall(), self.time_zone) <= parsed:
            return Failure(not_run(Reason.MONTH_OPEN, f"{month} has not ended yet"))
        match await self._begin_closing(parsed):
            case Success((MonthRow(state=MonthState.CLOSED, digest=digest), _)):
                return await self._read_stored(parsed, digest)
            case Success((MonthRow(), version)):
                return await self._finish_closing(parsed, version)
            case Failure(refusal):
                return Failure(refusal)
        raise AssertionError("a result is a success or a failure")

    async def _begin_closing(
        self, month: Month
    ) -> Result[tuple[MonthRow, int], Refusal]:
        row = MonthRow(str(month), MonthState.CLOSING, int(self.clock.wall()))
        written = await self.writer.commit(
            (Check(month_key(month), 0),),
            (Write(month_key(month), encode(row)),),
            COMMIT_TIMEOUT_SECONDS,
        )
        match written:
            case Success(Committed(version=version)):
                self.closed_months.add(month)
                return Success((row, version))
            case Failure(failure) if failure.kind is not StoreFailureKind.CONFLICT:
                return Failure(_write_refusal(failure))
        match await self.table.read(month_key(month)):
            case Success(Row(value=bytes() as value, version=version)):
                match decode(value, MonthRow):
                    case Success(found):
                        self.closed_months.add(month)
                        return Success((found, version))
        return Failure(_unavailable("the state of the month cannot be read"))

    async def _finish_closing(self, month: Month, version: int) -> Result[str, Refusal]:
        rendered = await self._render_rows(month)
        if not isinstance(rendered, Success):
            return rendered
        data = rendered.unwrap().encode()
        match await self.objects.put_if_absent(account_object_name(month), data):
            case Failure(failure):
                return Failure(_write_refusal(failure))
            case Success(False):
                # Another instance or an earlier attempt stored the account first;
                # its bytes are the account.
                match await self.objects.get(account_object_name(month)):
                    case Success(bytes() as stored):
                        data = stored
                    case _:
                        return Failure(_unavailable("the account cannot be read"))
        row = MonthRow(
            str(month), MonthState.CLOSED, int(self.clock.wall()), _digest(data)
        )
        written = await self.writer.commit(
            (Check(month_key(month), version),),
            (Write(month_key(month), encode(row)),),
            COMMIT_TIMEOUT_SECONDS,
        )
        match written:
            case Failure(failure) if failure.kind is not StoreFailureKind.CONFLICT:
                return Failure(_write_refusal(failure))
        self.metrics.count("months_closed")
        return Success(data.decode())

    async def _read_month_row(
        self, month: Month
    ) -> Result[MonthRow | None, StoreFailure]:
        match await self.table.read(month_key(month)):
            case Success(Row(value=bytes() as value)):
                return Success(decode(value, MonthRow).value_or(None))
            case Failure(failure):
                return Failure(failure)
        return Success(None)

    async def _render_rows(self, month: Month) -> Result[str, Refusal]:
        match await self.table.scan(usage_prefix(month), 0):
            case Failure(failure):
                return Failure(_unavailable(failure.message))
            case Success(scan):
                rows: list[UsageRow] = []
                for row in scan.rows:
                    match decode(row.value or b"", UsageRow):
                        case Success(usage):
                            rows.append(usage)
                        case Failure(message):
                            # An account without this row would be wrong.
                            log.error(
                                "usage row cannot be decoded",
                                key=row.key,
                                error=message,
                            )
                            self.metrics.count("usage_rows_undecodable")
                            return Failure(
                                _unavailable(f"row {row.key} cannot be read")
                            )
                return Success(
                    render_account(month, rows, self.time_zone_name, self.time_zone)
                )
        raise AssertionError("a result is a success or a failure")

    async def _read_stored(self, month: Month, digest: str) -> Result[str, Refusal]:
        match await self.objects.get(account_object_name(month)):
            case Success(bytes() as data) if _digest(data) == digest:
                return Success(data.decode())
            case Success(_):
                self.metrics.count("account_digest_mismatches")
                log.error("stored account does not match its digest", month=str(month))
                return Failure(
                    _unavailable(f"the stored account of {month} is damaged")
                )
            case Failure(failure):
                return Failure(_unavailable(failure.message))
        raise AssertionError("a result is a success or a failure")

    async def _read_stored_without_table(
        self, month: Month, failure: StoreFailure
    ) -> Result[str, Refusal]:
        # Safe without the state of the month: only accounts of closed months are
        # stored as objects, and these never change.
        match await self.objects.get(account_object_name(month)):
            case Success(bytes() as data):
                return Success(data.decode())
        return Failure(_unavailable(failure.message))


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def _malformed_month(month: str) -> Refusal:
    return not_run(
        Reason.MALFORMED, f"{month!r} is not a month", "write the month as YYYY-MM"
    )


def _unavailable(message: str) -> Refusal:
    return not_run(Reason.STORE_UNAVAILABLE, message, "repeat later")


def _write_refusal(failure: StoreFailure) -> Refusal:
    if failure.kind is StoreFailureKind.UNKNOWN:
        return outcome_unknown(
            Reason.STORE_UNAVAILABLE,
            failure.message,
            "repeat the call; that is safe",
        )
    return _unavailable(failure.message)


def create_account_service(
    *,
    instance_id: str,
    time_zone: str,
    table: TableService,
    objects: ObjectStore,
    writer: SafeWriter,
    clock: Clock,
    metrics: Metrics,
    incarnation: str = "",
) -> Result[AccountService, str]:
    """Return the service, or an error if this system does not know the time zone."""
    try:
        ZoneInfo(time_zone)
    except (ZoneInfoNotFoundError, ValueError) as error:
        return Failure(f"time zone {time_zone!r}: {error}")
    return Success(
        AccountService(
            instance_id=instance_id,
            time_zone=time_zone,
            table=table,
            objects=objects,
            writer=writer,
            clock=clock,
            metrics=metrics,
            incarnation=incarnation or secrets.token_hex(8),
        )
    )
