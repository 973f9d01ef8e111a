"""Account rows in the table, and the checks and writes that add usage to a month."""

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

    Times are whole Unix seconds, and ``accelerator_seconds`` is ``accelerators`` x
    (``ends_at`` - ``begins_at``). A run that is reported after its month was closed is
    booked in a later month: ``adjusts`` then names the month of the run and
    ``entered_at`` is the time of the booking. Otherwise they are empty and 0.
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
    """Completed requests in the minute that starts at ``minute``.

    ``minute`` is in Unix seconds.
    """

    organisation: str
    service: str
    zone: str
    minute: int
    count: int


@dataclass(slots=True, frozen=True)
class RequestBatch:
    """Request counts that one instance wrote in one transaction.

    ``adjusts`` and ``entered_at`` have the same meaning as in ``RunUsage``.
    """

    instance_id: str
    sequence: int
    counts: tuple[RequestCount, ...]
    adjusts: str = ""
    entered_at: int = 0


@dataclass(slots=True, frozen=True)
class UsageRow:
    """A usage row of either kind; exactly one of ``run`` and ``requests`` is set."""

    kind: UsageKind
    run: RunUsage | None = None
    requests: RequestBatch | None = None


class MonthState(StrEnum):
    """State of a month that no longer accepts rows; an open month has no state."""

    CLOSING = "closing"
    CLOSED = "closed"


@dataclass(slots=True, frozen=True)
class MonthRow:
    """State of a month.

    ``closed_at`` is in Unix seconds. ``digest`` is the SHA-256 of the stored account in
    hexadecimal, empty until the account is stored.
    """

    month: str
    state: MonthState
    closed_at: int
    digest: str = ""


def month_key(month: Month) -> str:
    """Return the row key of a month's state."""
    return f"month/{month}"


def usage_prefix(month: Month) -> str:
    """Return the key prefix of all usage rows of a month."""
    return f"usage/{month}/"


def account_object_name(month: Month) -> str:
    """Return the name of the object that holds the account of a closed month."""
    return f"account/{month}"


def booking_month(usage_month: Month, closed: Collection[Month], now: Month) -> Month:
    """Return the month in which usage is booked.

    This is the month of the usage or, if that one is closed, the first month after it
    that is not closed and not before ``now``. Even the month ``now`` can be closed,
    because the clock of this instance may lag behind that of the one that closed it.
    """
    if usage_month not in closed:
        return usage_month
    month = max(now, usage_month.next)
    while month in closed:
        month = month.next
    return month


def month_open_check(month: Month) -> Check:
    """Return the check that fails if closing of the month has begun."""
    return Check(month_key(month), 0)


def run_usage_writes(
    record: JobRecord,
    run_times: tuple[float, float],
    zone: str,
    time_zone: ZoneInfo,
    closed: Collection[Month] = (),
    now: float = 0.0,
) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
    """Return the checks and writes that record one gang run.

    ``run_times`` is the start and end of the run and ``now`` the time of the
    booking, all in Unix seconds; ``closed`` holds the months known to be closed. The
    keys contain the job and the attempt, so a run that is written twice counts once.
    The checks fail if one of the months has been closed in the meantime.
    """
    spec = record.spec
    begins_at, ends_at = whole_seconds(*run_times)
    accelerators = sum(len(part.accelerators) for part in record.placement)
    workers = tuple(sorted({part.worker_id for part in record.placement}))
    months: set[Month] = set()
    writes: list[Write] = []
    for part in split_by_month(begins_at, ends_at, time_zone):
        month = booking_month(part.month, closed, month_at(now, time_zone))
        months.add(month)
        is_adjustment = month != part.month
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
            adjusts=str(part.month) if is_adjustment else "",
            entered_at=int(now) if is_adjustment else 0,
        )
        key = f"{usage_prefix(month)}run/{spec.job_id}/{record.attempt}/{part.month}"
        writes.append(Write(key, encode(UsageRow(UsageKind.RUN, run=run))))
    return tuple(month_open_check(month) for month in sorted(months)), tuple(writes)


def request_usage_writes(
    instance_id: str,
    incarnation: str,
    sequence: int,
    counts: Sequence[RequestCount],
    time_zone: ZoneInfo,
    closed: Collection[Month],
    now: float,
) -> tuple[tuple[Check, ...], tuple[Write, ...]]:
    """Return the checks and writes that record one batch of request counts.

    There is one row for each month of usage. The checks require that the rows are
    absent, so a batch counts once. ``incarnation`` differs for each start of the
    instance, because ``sequence`` starts again from 1.
    """
    by_month: dict[Month, list[RequestCount]] = {}
    for count in counts:
        by_month.setdefault(month_at(count.minute, time_zone), []).append(count)
    checks: list[Check] = []
    writes: list[Write] = []
    for usage_month, part in sorted(by_month.items()):
        month = booking_month(usage_month, closed, month_at(now, time_zone))
        is_adjustment = month != usage_month
        batch = RequestBatch(
            instance_id,
            sequence,
            tuple(part),
            adjusts=str(usage_month) if is_adjustment else "",
            entered_at=int(now) if is_adjustment else 0,
        )
        key = (
            f"{usage_prefix(month)}requests/{instance_id}/{incarnation}/{sequence}"
            f"/{usage_month}"
        )
        if month_open_check(month) not in checks:
            checks.append(month_open_check(month))
        checks.append(Check(key, 0))
        row = UsageRow(UsageKind.REQUESTS, requests=batch)
        writes.append(Write(key, encode(row)))
    return tuple(checks), tuple(writes)
