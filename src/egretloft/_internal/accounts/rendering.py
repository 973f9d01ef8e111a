"""The printed account of a month: fixed columns, the same bytes each time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from zoneinfo import ZoneInfo

from egretloft._internal.accounts.months import Month, local_time
from egretloft._internal.accounts.rows import RunUsage, UsageRow

# Auditors compare accounts with earlier prints. A change of the layout takes a new
# number, and accounts that were closed keep the bytes that they were stored with.
FORMAT_LINE = "egretloft account, format 1"

# Name and width of each column; numbers are set to the right. A longer value keeps
# its length, because a cut value could not be compared.
RUN_COLUMNS = (
    ("organisation", 16),
    ("profile", 16),
    ("service", 16),
    ("job", 36),
    ("run", 4),
    ("zone", 12),
    ("start", 25),
    ("end", 25),
    ("accel", 6),
    ("accel-seconds", 14),
)
REQUEST_COLUMNS = (
    ("organisation", 16),
    ("service", 16),
    ("zone", 12),
    ("requests", 12),
)
TOTAL_COLUMNS = (
    ("organisation", 16),
    ("runs", 8),
    ("accel-seconds", 16),
    ("requests", 12),
)
NUMBERS = frozenset({"run", "runs", "accel", "accel-seconds", "requests"})


def render_account(
    month: Month, rows: Iterable[UsageRow], zone_name: str, zone: ZoneInfo
) -> str:
    """Return the account of a month as text that ends in a newline.

    The order of ``rows`` has no effect.
    """
    rows = list(rows)
    runs = sorted((row.run for row in rows if row.run is not None), key=_run_order)
    batches = [row.requests for row in rows if row.requests is not None]
    requests: Counter[tuple[str, str, str]] = Counter()
    late_requests: Counter[tuple[str, str, str, str]] = Counter()
    for batch in batches:
        for item in batch.counts:
            place = item.organisation, item.service, item.zone
            if batch.adjusts:
                late_requests[batch.adjusts, *place] += item.count
            else:
                requests[place] += item.count
    adjustments = [run for run in runs if run.adjusts]
    lines = [
        FORMAT_LINE,
        f"month      {month}",
        f"time zone  {zone_name}",
        f"from       {local_time(month.begins_at(zone), zone)}",
        f"to         {local_time(month.ends_at(zone), zone)}",
        "",
        "Gang runs",
        _line(RUN_COLUMNS),
        *(_run_line(run, zone) for run in runs if not run.adjusts),
        "",
        "Requests",
        _line(REQUEST_COLUMNS),
        *(
            _line(REQUEST_COLUMNS, [*place, str(count)])
            for place, count in sorted(requests.items())
        ),
        "",
        "Adjustments of closed months: gang runs",
        _line((("month", 7), ("entered", 25), *RUN_COLUMNS)),
        *(_adjustment_line(run, zone) for run in adjustments),
        "",
        "Adjustments of closed months: requests",
        _line((("month", 7), *REQUEST_COLUMNS)),
        *(
            _line((("month", 7), *REQUEST_COLUMNS), [*place, str(count)])
            for place, count in sorted(late_requests.items())
        ),
        "",
        "Totals with adjustments",
        _line(TOTAL_COLUMNS),
        *_total_lines(runs, requests, late_requests),
    ]
    return "\n".join(lines) + "\n"


def _run_order(run: RunUsage) -> tuple[str, str, int, str, int]:
    return run.organisation, run.adjusts, run.begins_at, run.job_id, run.attempt


def _run_values(run: RunUsage, zone: ZoneInfo) -> list[str]:
    return [
        run.organisation,
        run.profile,
        run.service,
        run.job_id,
        str(run.attempt),
        run.zone,
        local_time(run.begins_at, zone),
        local_time(run.ends_at, zone),
        str(run.accelerators),
        str(run.accelerator_seconds),
    ]


def _run_line(run: RunUsage, zone: ZoneInfo) -> str:
    lines = [_line(RUN_COLUMNS, _run_values(run, zone)), *_worker_lines(run)]
    return "\n".join(lines)


def _adjustment_line(run: RunUsage, zone: ZoneInfo) -> str:
    columns = (("month", 7), ("entered", 25), *RUN_COLUMNS)
    entered = local_time(run.entered_at, zone)
    values = [run.adjusts, entered, *_run_values(run, zone)]
    return "\n".join([_line(columns, values), *_worker_lines(run)])


def _worker_lines(run: RunUsage) -> list[str]:
    return [f"  worker {worker_id}" for worker_id in run.workers]


def _total_lines(
    runs: Sequence[RunUsage],
    requests: Counter[tuple[str, str, str]],
    late_requests: Counter[tuple[str, str, str, str]],
) -> list[str]:
    run_count: Counter[str] = Counter()
    seconds: Counter[str] = Counter()
    request_count: Counter[str] = Counter()
    for run in runs:
        run_count[run.organisation] += 1
        seconds[run.organisation] += run.accelerator_seconds
    for (organisation, _, _), count in requests.items():
        request_count[organisation] += count
    for (_, organisation, _, _), count in late_requests.items():
        request_count[organisation] += count
    return [
        _line(
            TOTAL_COLUMNS,
            [
                organisation,
                str(run_count[organisation]),
                str(seconds[organisation]),
                str(request_count[organisation]),
            ],
        )
        for organisation in sorted({*run_count, *request_count})
    ]


def _line(
    columns: Sequence[tuple[str, int]], values: Sequence[str] | None = None
) -> str:
    if values is None:
        values = [name for name, _ in columns]
    cells = [
        value.rjust(width) if name in NUMBERS else value.ljust(width)
        for (name, width), value in zip(columns, values, strict=True)
    ]
    return "  ".join(cells).rstrip()
