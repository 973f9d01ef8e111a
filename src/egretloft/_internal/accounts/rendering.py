"""Renders a monthly account as text in columns, byte for byte reproducible."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from zoneinfo import ZoneInfo

from egretloft._internal.accounts.months import Month, local_time
from egretloft._internal.accounts.rows import RunUsage, UsageRow

# Auditors compare accounts with earlier copies, so a change of the layout needs a new
# format number. Accounts of closed months keep the bytes they were stored with.
FORMAT_LINE = "egretloft account, format 1"

# Name and minimum width of each column; numbers are right-aligned. A longer value is
# not truncated, because a truncated value could not be compared.
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
NUMERIC_COLUMNS = frozenset({"run", "runs", "accel", "accel-seconds", "requests"})


def render_account(
    month: Month, rows: Iterable[UsageRow], zone_name: str, zone: ZoneInfo
) -> str:
    """Return the account of a month as text that ends in a newline.

    The text does not depend on the order of ``rows``.
    """
    rows = list(rows)
    runs = sorted((row.run for row in rows if row.run is not None), key=_run_sort_key)
    batches = [row.requests for row in rows if row.requests is not None]
    requests: Counter[tuple[str, str, str]] = Counter()
    adjusted_requests: Counter[tuple[str, str, str, str]] = Counter()
    for batch in batches:
        for item in batch.counts:
            group = item.organisation, item.service, item.zone
            if batch.adjusts:
                adjusted_requests[batch.adjusts, *group] += item.count
            else:
                requests[group] += item.count
    adjusted_runs = [run for run in runs if run.adjusts]
    lines = [
        FORMAT_LINE,
        f"month      {month}",
        f"time zone  {zone_name}",
        f"from       {local_time(month.begins_at(zone), zone)}",
        f"to         {local_time(month.ends_at(zone), zone)}",
        "",
        "Gang runs",
        _format_row(RUN_COLUMNS),
        *(_format_run(run, zone) for run in runs if not run.adjusts),
        "",
        "Requests",
        _format_row(REQUEST_COLUMNS),
        *(
            _format_row(REQUEST_COLUMNS, [*group, str(count)])
            for group, count in sorted(requests.items())
        ),
        "",
        "Adjustments of closed months: gang runs",
        _format_row((("month", 7), ("entered", 25), *RUN_COLUMNS)),
        *(_format_adjustment(run, zone) for run in adjusted_runs),
        "",
        "Adjustments of closed months: requests",
        _format_row((("month", 7), *REQUEST_COLUMNS)),
        *(
            _format_row((("month", 7), *REQUEST_COLUMNS), [*group, str(count)])
            for group, count in sorted(adjusted_requests.items())
        ),
        "",
        "Totals with adjustments",
        _format_row(TOTAL_COLUMNS),
        *_format_totals(runs, requests, adjusted_requests),
    ]
    return "\n".join(lines) + "\n"


def _run_sort_key(run: RunUsage) -> tuple[str, str, int, str, int]:
    return run.organisation, run.adjusts, run.begins_at, run.job_id, run.attempt


def _run_cells(run: RunUsage, zone: ZoneInfo) -> list[str]:
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


def _format_run(run: RunUsage, zone: ZoneInfo) -> str:
    lines = [_format_row(RUN_COLUMNS, _run_cells(run, zone)), *_format_workers(run)]
    return "\n".join(lines)


def _format_adjustment(run: RunUsage, zone: ZoneInfo) -> str:
    columns = (("month", 7), ("entered", 25), *RUN_COLUMNS)
    entered = local_time(run.entered_at, zone)
    values = [run.adjusts, entered, *_run_cells(run, zone)]
    return "\n".join([_format_row(columns, values), *_format_workers(run)])


def _format_workers(run: RunUsage) -> list[str]:
    return [f"  worker {worker_id}" for worker_id in run.workers]


def _format_totals(
    runs: Sequence[RunUsage],
    requests: Counter[tuple[str, str, str]],
    adjusted_requests: Counter[tuple[str, str, str, str]],
) -> list[str]:
    run_count: Counter[str] = Counter()
    seconds: Counter[str] = Counter()
    request_count: Counter[str] = Counter()
    for run in runs:
        run_count[run.organisation] += 1
        seconds[run.organisation] += run.accelerator_seconds
    for (organisation, _, _), count in requests.items():
        request_count[organisation] += count
    for (_, organisation, _, _), count in adjusted_requests.items():
        request_count[organisation] += count
    return [
        _format_row(
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


def _format_row(
    columns: Sequence[tuple[str, int]], values: Sequence[str] | None = None
) -> str:
    if values is None:
        values = [name for name, _ in columns]
    cells = [
        value.rjust(width) if name in NUMERIC_COLUMNS else value.ljust(width)
        for (name, width), value in zip(columns, values, strict=True)
    ]
    return "  ".join(cells).rstrip()
