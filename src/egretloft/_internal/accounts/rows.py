"""Rows of the accounts and the transactions that add to a month."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import StrEnum
from zoneinfo import ZoneInfo

from egretloft._internal.accounts.intervals import split_by_month, whole_seconds
from egretloft._internal.accounts.months import Month, month_at
from egretloft._internal.codec import encode
from egretloft._internal.models.jobs import JobRecord
from egretloft._internal.platform.protocols import Check, Write

TIME_ZONE_KEY = "setting/account-time-zone"


class UsageKind(StrEnum):
    """What a usage row counts."""

    RUN = "run"
    REQUESTS = "requests"


@dataclass(slots=True, frozen=True)
class RunUsage:
    """The part of a gang run that lies in one month.

    ``accelerator_seconds`` is ``accelerators`` x (``ends_at`` - ``begins_at``), all
    integers. ``adjusts`` names the closed month in which the use was, empty when the
    row is in the month of its use; ``entered_at`` is then the time of the entry.
    """

    organisation: str
    profile: str
    service: str
    job_id: str
    attempt: int
    zone: str
    workers: tuple[str, ...]
    begins_at: int
    ends_at: int
    accelerators: int
    accelerator_seconds: int
    adjusts: str = ""
    entered_at: int = 0


@dataclass(slots=True, frozen=True)
class RequestCount:
    """Idempotent requests of one minute; ``minute`` is its start in Unix seconds."""

    organisation: str
    service: str
    zone: str
    minute: int
    count: int


@dataclass(slots=True, frozen=True)
class RequestBatch:
    """Counts that one instance wrote at once; fields as in ``RunUsage``."""

    instance_id: str
    sequence: int
    counts: tuple[RequestCount, ...]
    adjusts: str = ""
    entered_at: int = 0


@dataclass(slots=True, frozen=True)
class UsageRow:
    """Any usage row; exactly one of ``run`` and ``requests`` is set."""

    kind: UsageKind
    run: RunUsage | None = None
    requests: RequestBatch | None = None


class MonthState(StrEnum):
    """Whether rows may be added to a month; a month without a row is open."""

    CLOSING = "closing"
    CLOSED = "closed"


@dataclass(slots=True, frozen=True)
class MonthRow:
    """State of a month; ``digest`` is the SHA-256 of the stored account."""

    month: str
    state: MonthState
    closed_at: int
    digest: str = ""


def month_key(month: Month) -> str:
    """Return the key of a month's state."""
    return f"month/{month}"


def usage_prefix(month: Month) -> str:
    """Return the prefix of all usage rows of a month."""
    return f"usage/{month}/"


def account_name(month: Month) -> str:
    """Return the name of the object that holds a closed month."""
    return f"account/{month}"


def booking_month(used: Month, closed: Collection[Month], now: Month) -> Month:
    """Return the month that takes an entry: that of the use, or the open one.

    The current month is not closed before its end, but the clock of this instance
    may lag behind that of the one that closed it.
    """
    if used not in closed:
        return used
    month = max(now, used.next)
    while month in closed:
        month = month.next
    return month


def open_check(month: Month) -> Check:
    """Return the condition that the month has not been closed."""
    return Check(month_key(month), 0)


def interval_writes(
    record: JobRecord,
    report_times: tuple[float, float],
    zone: str,
    time_zone: ZoneInfo,
    closed: Collection[Month] = (),
    now: float = 0.0,
) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
    """Return the checks and writes that record one gang run.

    ``report_times`` are start and end of the run in Unix seconds, ``closed`` the
    months known to be closed and ``now`` the time of the entry. The keys hold the job
    and the attempt, so that a run which is written twice counts once. The checks
    fail when a month was closed meanwhile.
    """
    spec = record.spec
    begins_at, ends_at = whole_seconds(*report_times)
    accelerators = sum(len(part.accelerators) for part in record.placement)
    workers = tuple(sorted({part.worker_id for part in record.placement}))
    months: set[Month] = set()
    writes: list[Write] = []
    for part in split_by_month(begins_at, ends_at, time_zone):
        month = booking_month(part.month, closed, month_at(now, time_zone))
        months.add(month)
        late = month != part.month
        run = RunUsage(
            organisation=spec.organisation,
            profile=spec.profile,
            service=spec.service,
            job_id=spec.job_id,
            attempt=record.attempt,
            zone=zone,
            workers=workers,
            begins_at=part.begins_at,
            ends_at=part.ends_at,
            accelerators=accelerators,
            accelerator_seconds=accelerators * part.seconds,
            adjusts=str(part.month) if late else "",
            entered_at=int(now) if late else 0,
        )
        key = f"{usage_prefix(month)}run/{spec.job_id}/{record.attempt}/{part.month}"
        writes.append(Write(key, encode(UsageRow(UsageKind.RUN, run=run))))
    return tuple(open_check(month) for month in sorted(months)), tuple(writes)


def request_writes(
    instance_id: str,
    incarnation: str,
    sequence: int,
    counts: Sequence[RequestCount],
    time_zone: ZoneInfo,
    closed: Collection[Month],
    now: float,
) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
    """Return the checks and writes of one batch, one row per month of use.

    ``incarnation`` differs for each start of the instance, because the sequence
    begins anew. The rows must be absent, so a batch counts once.
    """
    by_month: dict[Month, list[RequestCount]] = {}
    for count in counts:
        by_month.setdefault(month_at(count.minute, time_zone), []).append(count)
    checks: list[Check] = []
    writes: list[Write] = []
    for used, part in sorted(by_month.items()):
        month = booking_month(used, closed, month_at(now, time_zone))
        late = month != used
        batch = RequestBatch(
            instance_id,
            sequence,
            tuple(part),
            adjusts=str(used) if late else "",
            entered_at=int(now) if late else 0,
        )
        key = (
            f"{usage_prefix(month)}requests/{instance_id}/{incarnation}/{sequence}"
            f"/{used}"
        )
        if open_check(month) not in checks:
            checks.append(open_check(month))
        checks.append(Check(key, 0))
        row = UsageRow(UsageKind.REQUESTS, requests=batch)
        writes.append(Write(key, encode(row)))
    return tuple(checks), tuple(writes)
