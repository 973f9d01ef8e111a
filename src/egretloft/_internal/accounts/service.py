"""Accounts of a deployment: entries, request counts, rendering and closing."""

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
    account_name,
    interval_writes,
    month_key,
    request_writes,
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
# Distinct (organisation, service, zone, minute) that wait for a flush. Counts of
# further ones are dropped and counted in the metrics, so that an outage of hours
# does not take up the instance's memory.
MAX_WAITING_COUNTS = 20_000
# Counts in one batch; a row stays well under 1 MiB.
MAX_BATCH_COUNTS = 2_000


class SafeWriter(Protocol):
    """Transactions whose outcome survives a lost answer."""

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> Result[Committed, StoreFailure]:
        """Commit; ``unknown`` only when the outcome could not be read back."""


@dataclass(slots=True)
class WaitingBatch:
    """Counts that were given a sequence number and may already be in the table."""

    sequence: int
    counts: tuple[RequestCount, ...]
    # Keys under which a write was tried. They change when a month is closed between
    # two tries, and an earlier try may be found under its former key.
    tried_keys: list[str] = field(default_factory=list)


class AccountService:
    """Accounts in one time zone, which the table holds."""

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
        self.closed: set[Month] = set()
        self.counts: Counter[tuple[str, str, str, int]] = Counter()
        self.waiting: list[WaitingBatch] = []
        self.next_sequence = 1
        self.flushing = False

    async def confirm_time_zone(self) -> Result[str, Refusal]:
        """Store the time zone once; refuse another one than the stored.

        To be called before the first entry is written.
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
                        f"the accounts are kept in {stored!r}",
                        "the account time zone cannot be changed",
                    )
                )
        return Failure(_unavailable("the account time zone cannot be read"))

    # Gang runs: implements ``gangs.interfaces.RunAccounting``.

    def run_rows(
        self, record: JobRecord, started_at: float, ended_at: float
    ) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
        """Return the checks and writes that record a gang run once."""
        return interval_writes(
            record,
            (started_at, ended_at),
            record.zone,
            self.time_zone,
            self.closed,
            self.clock.wall(),
        )

    async def refresh(self) -> None:
        """Read which months are closed; to be called after a conflict."""
        match await self.table.scan("month/", 0):
            case Success(scan):
                months = (
                    parse_month(row.key.removeprefix("month/")) for row in scan.rows
                )
                self.closed.update(month for month in months if month is not None)
            case Failure(failure):
                self.metrics.count("account_read_failures", kind=failure.kind.value)

    # Requests

    def count_request(
        self, organisation: str, service: str, zone: str, at: float
    ) -> None:
        """Count a completed idempotent request at ``at``, Unix seconds."""
        key = organisation, service, zone, int(at) // 60 * 60
        if key not in self.counts and len(self.counts) >= MAX_WAITING_COUNTS:
            self.metrics.count("account_requests_dropped")
            return
        self.counts[key] += 1

    async def flush(self) -> bool:
        """Write what was counted; false if something still waits.

        A batch keeps its sequence number until its outcome is known, so that a batch
        whose answer was lost is not counted twice.
        """
        if self.flushing:
            return False
        self.flushing = True
        try:
            self._cut_batches()
            while self.waiting:
                if not await self._write_batch(self.waiting[0]):
                    return False
                self.waiting.pop(0)
            return True
        finally:
            self.flushing = False

    def _cut_batches(self) -> None:
        # During an outage the counts stay in the counter, where repeats of a minute
        # take no more room; only one batch waits with a number.
        if self.waiting:
            return
        items = sorted(self.counts.items())
        self.counts.clear()
        for first in range(0, len(items), MAX_BATCH_COUNTS):
            counts = tuple(
                RequestCount(*key, count)
                for key, count in items[first : first + MAX_BATCH_COUNTS]
            )
            self.waiting.append(WaitingBatch(self.next_sequence, counts))
            self.next_sequence += 1

    async def _write_batch(self, batch: WaitingBatch) -> bool:
        # A second try follows a conflict, which a closed month or an earlier try that
        # took effect explains.
        for _ in range(2):
            match await self._was_written(batch):
                case Success(True):
                    return True
                case Failure(_):
                    return False
            checks, writes = request_writes(
                self.instance_id,
                self.incarnation,
                batch.sequence,
                batch.counts,
                self.time_zone,
                self.closed,
                self.clock.wall(),
            )
            result = await self.writer.commit(checks, writes, COMMIT_TIMEOUT_SECONDS)
            match result:
                case Success():
                    return True
                case Failure(failure):
                    self.metrics.count("account_write_failures", kind=failure.kind)
                    if writes[0].key not in batch.tried_keys:
                        batch.tried_keys.append(writes[0].key)
                    if failure.kind is not StoreFailureKind.CONFLICT:
                        return False
            await self.refresh()
        return False

    async def _was_written(self, batch: WaitingBatch) -> Result[bool, StoreFailure]:
        # A try that arrives only after this read is refused: under the same key by the
        # check that the row is absent, under a former key because its month is closed.
        for key in batch.tried_keys:
            match await self.table.read(key):
                case Success(Row()):
                    return Success(True)
                case Failure(failure):
                    return Failure(failure)
        return Success(False)

    # Months

    async def render(self, month: str) -> Result[str, Refusal]:
        """Return the account of a month, ``YYYY-MM``; a closed one as stored."""
        parsed = parse_month(month)
        if parsed is None:
            return Failure(_malformed(month))
        match await self._month_row(parsed):
            case Success(MonthRow(state=MonthState.CLOSED, digest=digest)):
                return await self._stored(parsed, digest)
            case Success(_):
                return await self._render_rows(parsed)
            case Failure(failure):
                return await self._stored_without_table(parsed, failure)
        raise AssertionError("a result is a success or a failure")

    async def close(self, month: str) -> Result[str, Refusal]:
        """Close a month that has ended and return its account.

        May be repeated, at any instance, until it succeeds. The first write keeps
        further rows out of the month, so that every instance renders the same bytes.
        """
        parsed = parse_month(month)
        if parsed is None:
            return Failure(_malformed(month))
        if month_at(self.clock.wall(), self.time_zone) <= parsed:
            return Failure(not_run(Reason.MONTH_OPEN, f"{month} has not ended yet"))
        match await self._begin_closing(parsed):
            case Success((MonthRow(state=MonthState.CLOSED, digest=digest), _)):
                return await self._stored(parsed, digest)
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
                self.closed.add(month)
                return Success((row, version))
            case Failure(failure) if failure.kind is not StoreFailureKind.CONFLICT:
                return Failure(_failed_write(failure))
        match await self.table.read(month_key(month)):
            case Success(Row(value=bytes() as value, version=version)):
                match decode(value, MonthRow):
                    case Success(found):
                        self.closed.add(month)
                        return Success((found, version))
        return Failure(_unavailable("the state of the month cannot be read"))

    async def _finish_closing(self, month: Month, version: int) -> Result[str, Refusal]:
        rendered = await self._render_rows(month)
        if not isinstance(rendered, Success):
            return rendered
        data = rendered.unwrap().encode()
        match await self.objects.put_if_absent(account_name(month), data):
            case Failure(failure):
                return Failure(_failed_write(failure))
            case Success(False):
                # Another instance, or an earlier try, was first; its bytes count.
                match await self.objects.get(account_name(month)):
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
                return Failure(_failed_write(failure))
        self.metrics.count("months_closed")
        return Success(data.decode())

    async def _month_row(self, month: Month) -> Result[MonthRow | None, StoreFailure]:
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
                            # An account that leaves a row out would be wrong.
                            log.error(
                                "usage row unreadable", key=row.key, error=message
                            )
                            self.metrics.count("usage_rows_undecodable")
                            return Failure(
                                _unavailable(f"row {row.key} cannot be read")
                            )
                return Success(
                    render_account(month, rows, self.time_zone_name, self.time_zone)
                )
        raise AssertionError("a result is a success or a failure")

    async def _stored(self, month: Month, digest: str) -> Result[str, Refusal]:
        match await self.objects.get(account_name(month)):
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

    async def _stored_without_table(
        self, month: Month, failure: StoreFailure
    ) -> Result[str, Refusal]:
        # Objects are written only for closed months and never change.
        match await self.objects.get(account_name(month)):
            case Success(bytes() as data):
                return Success(data.decode())
        return Failure(_unavailable(failure.message))


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


def _malformed(month: str) -> Refusal:
    return not_run(Reason.MALFORMED, f"{month!r} is not a month", "write YYYY-MM")


def _unavailable(message: str) -> Refusal:
    return not_run(Reason.STORE_UNAVAILABLE, message, "repeat later")


def _failed_write(failure: StoreFailure) -> Refusal:
    if failure.kind is StoreFailureKind.UNKNOWN:
        return outcome_unknown(
            Reason.STORE_UNAVAILABLE, failure.message, "repeat; that is harmless"
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
    """Return the service, or why the time zone is not known to this system."""
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
