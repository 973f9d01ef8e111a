"""Renders docs/CAPACITY.md from measured points, so that no figure is typed by hand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from capacity.fitting import Fit, fit_line

WORKERS = 1_500
TASKS = 10_000
REGIONS = 2
ZONES = 5
ORGANISATIONS = 67
JOBS_A_DAY = 1_400
CHANGES_A_DAY = 2_700
DAY_SECONDS = 86_400
CORE_PERCENT_BUDGET = 1.1
MEMORY_MB_BUDGET = 64.0
BYTES_PER_SECOND_BUDGET = 13_000.0
# One commit for the submission, two for the start and one for the end.
COMMITS_A_JOB = 4
SERVICES = 2
RENEWAL_PERIOD_SECONDS = 2.0
LONG_RENEWAL_PERIOD_SECONDS = 10.0
JOB_ROW_RETENTION_DAYS = 7
CANCELLATIONS = 1_000
# The platform states "several hundred" writes and "about 2,000" reads a second.
STORE_WRITES_PER_SECOND = 300.0
STORE_READS_PER_SECOND = 2_000.0


@dataclass(slots=True, frozen=True)
class Slopes:
    """Fitted lines through the measured points, by size and resource."""

    points: dict[str, Any]

    def fit(self, size: str, resource: str) -> Fit:
        """Return the fitted line of a resource against a size."""
        rows = self.points[size]
        return fit_line([row["size"] for row in rows], [row[resource] for row in rows])


@dataclass(slots=True, frozen=True)
class ResourceUse:
    """Resource use of one instance: percent of a core, MB and bytes a second."""

    core: float
    memory: float
    traffic: float


def idle_use(slopes: Slopes, instances: int) -> ResourceUse:
    """Return the resource use of an idle instance in a deployment of ``instances``."""
    values = []
    for resource in ("core_percent", "memory_mb", "bytes_per_second"):
        fit = slopes.fit("entry instances", resource)
        values.append(fit.intercept + fit.slope * instances)
    return ResourceUse(*values)


def owner_use(
    slopes: Slopes, instances: int, share: float, period: float
) -> ResourceUse:
    """Return the resource use of a region's gang owner.

    ``share`` is the share of the region's renewals that the owner sends itself;
    ``period`` is the number of seconds between two renewals. The owner keeps all rows
    in memory.
    """
    idle = idle_use(slopes, instances)
    workers, tasks = WORKERS / REGIONS, TASKS / REGIONS
    scale = share * RENEWAL_PERIOD_SECONDS / period

    def use_of_workers_and_tasks(resource: str) -> float:
        return (
            workers * slopes.fit("workers", resource).slope
            + tasks * slopes.fit("running tasks", resource).slope
        )

    return ResourceUse(
        idle.core + scale * use_of_workers_and_tasks("core_percent"),
        idle.memory + use_of_workers_and_tasks("memory_mb"),
        idle.traffic + scale * use_of_workers_and_tasks("bytes_per_second"),
    )


def compare_with_budget(value: float, budget: float) -> str:
    """Return whether a value is within its budget, and if not, the ratio to it."""
    return "within" if value <= budget else f"over, {value / budget:.1f} times"


def role_row(name: str, use: ResourceUse) -> str:
    """Return the table row of one role."""
    return (
        f"| {name} | {use.core:.2f}% ({compare_with_budget(use.core, CORE_PERCENT_BUDGET)}) "
        f"| {use.memory:.0f} MB ({compare_with_budget(use.memory, MEMORY_MB_BUDGET)}) "
        f"| {use.traffic / 1000:.1f} KB/s ({compare_with_budget(use.traffic, BYTES_PER_SECOND_BUDGET)}) |"
    )


def slope_rows(slopes: Slopes) -> str:
    """Return the table rows of all sizes and resources."""
    units = {
        "core_percent": "% of a core",
        "memory_mb": "MB",
        "bytes_per_second": "bytes/s",
        "table_reads_per_second": "table reads/s",
        "table_writes_per_second": "table writes/s",
    }
    rows = []
    for size in slopes.points:
        if size == "decision passes":
            continue
        sizes = ", ".join(f"{row['size']:g}" for row in slopes.points[size])
        for resource, unit in units.items():
            fit = slopes.fit(size, resource)
            rows.append(
                f"| {size} ({sizes}) | {unit} | {fit.slope:.4g} | {fit.intercept:.4g} "
                f"| {fit.residual:.2g} |"
            )
    return "\n".join(rows)


def render_page(points: dict[str, Any]) -> str:
    """Return the Markdown text of the page for the measured points."""
    slopes = Slopes(points)
    passes = points["decision passes"]["pass against changed jobs"]
    pass_ms = passes["slope_ms"]
    rows_ms = points["decision passes"]["pass against running tasks"]["slope_ms"]
    partitions = REGIONS + SERVICES * ZONES
    reads = {
        n: slopes.fit("entry instances", "table_reads_per_second").intercept
        + n * slopes.fit("entry instances", "table_reads_per_second").slope
        for n in (7, 9)
    }
    job_writes = JOBS_A_DAY * COMMITS_A_JOB / DAY_SECONDS
    change_writes = CHANGES_A_DAY / DAY_SECONDS
    writes = {
        n: partitions + n / 3 + n / 10 + job_writes + change_writes for n in (7, 9)
    }
    wave_seconds = CANCELLATIONS * pass_ms / 1000
    zone_jobs = JOBS_A_DAY / ZONES / 4
    lines = []
    for n in (7, 9):
        lines += [
            role_row(
                f"receiver and forwarder, idle, {n} instances", idle_use(slopes, n)
            ),
            role_row(
                f"gang owner of a region as built, {n} instances",
                owner_use(slopes, n, 1.0, RENEWAL_PERIOD_SECONDS),
            ),
            role_row(
                f"gang owner, renewals every 10 s, {n} instances",
                owner_use(slopes, n, 1.0, LONG_RENEWAL_PERIOD_SECONDS),
            ),
            role_row(
                f"gang owner, every 10 s and shared by all of its region, {n} instances",
                owner_use(slopes, n, REGIONS / n, LONG_RENEWAL_PERIOD_SECONDS),
            ),
        ]
    table = "\n".join(lines)
    return f"""# Capacity at the two-year size

Produced by `make capacity` from [capacity-points.json](capacity-points.json), which the same
command measures; no figure is typed by hand. Processor time is user and system time of the
daemon; traffic counts both directions of the loopback interface with TCP headers, so a stream
between two instances counts at both. Small stand-ins, one machine, four points a slope.

This page is about `egretloftd`. The roles of `egretloft-platformd` and its slopes, from `fleetbench
sweep`, are in [capacity-fleet.md](capacity-fleet.md).

## Slopes, for one entry instance
| size (points) | resource | slope | intercept | residual (rms) |
|---|---|---|---|---|
{slope_rows(slopes)}

Reads and writes of the table are totals of the deployment. A decision pass of the scheduler costs
{pass_ms:.2f} ms a changed job (1,500 workers, 10,000 tasks) and {1000 * rows_ms:.2f} us a running task that
did not change; an idle pass costs nothing that can be measured.

## Roles against their budgets
1.1% of a core, 64 MB and 13 KB a second a node; 1,500 workers with 1,700 accelerators, 10,000 tasks, 2
regions, so 750 workers and 5,000 tasks a gang owner. Arithmetic: idle use at n instances (fit over
entry instances) + 750 x the slope of workers + 5,000 x the slope of running tasks; the renewal part scales
with the period (2 s as built) and with the share that the owner sends itself.

| role | processor | memory | traffic |
|---|---|---|---|
{table}

The operators' tool keeps nothing and makes one call a command (a wait: two a second).

## State, messages and mechanisms
| what | at the two-year size | mechanism |
|---|---|---|
| configuration | {ORGANISATIONS} profiles, {ZONES} zones; {CHANGES_A_DAY} changes a day, {change_writes:.3f} writes/s | one scan of changed rows a second an instance; the view is fresh for 2.5 s; in force within 3.5 s of the 4 s |
| roster | 7 to 9 rows, a beat every 3 s; 169 failures and replacements a day | joins are acknowledged over streams: n calls and 2 writes each |
| ownership | {partitions} partitions (2 regions, 2 services in 5 zones), one write a second each | owner and epoch rows |
| jobs | {JOBS_A_DAY} a day, {COMMITS_A_JOB} commits each: {job_writes:.3f} writes/s; {JOBS_A_DAY * JOB_ROW_RETENTION_DAYS} rows kept for 7 days | one row a gang, no rows for tasks |
| leases of 10,000 tasks | one call a worker for all its tasks: {WORKERS / RENEWAL_PERIOD_SECONDS:.0f} calls/s as built, {WORKERS / LONG_RENEWAL_PERIOD_SECONDS:.0f} at 10 s | past the store; through it they would be 1,000 writes/s at 10 s |
| list of instances | 1,500 workers and the runners, about 250 bytes each | conditional reads: the list is sent only when it has changed |
| decisions | 1,400 jobs a day: about 3 changed jobs a minute | systems over changed rows; {pass_ms:.2f} ms each |
| gangs of 128 | 128 starts in parallel, then 128 releases | two transactions, throttled start |
| 1,700 accelerators, {ORGANISATIONS} organisations | cells per worker, kept incrementally | buddy split within a worker |
| accounts | {JOBS_A_DAY} interval rows a day; request counts in a batch an instance every 10 s | rows in the transaction that ends the run |

## Store load
| | 7 instances | 9 instances | share of the store |
|---|---|---|---|
| reads a second | {reads[7]:.1f} | {reads[9]:.1f} | {100 * reads[9] / STORE_READS_PER_SECOND:.1f}% of 2,000 |
| writes a second | {writes[7]:.1f} | {writes[9]:.1f} | {100 * writes[9] / STORE_WRITES_PER_SECOND:.1f}% of 300 |

Reads: the fit over entry instances. Writes: {partitions} partitions x 1/s + n/3 beats + n/10 batches of
request counts + jobs + changes. Non-idempotent requests add two writes each: 100 a second of them take
two thirds of the store and are the first thing to bound.

## The worst minute
A zone leaves, its owner dies, and {CANCELLATIONS} cancellations come.

| step | cost | bound |
|---|---|---|
| successor notices and claims | 3 s observation + up to 1 s | 4 s |
| it lists the tasks of 750 workers | 750 calls, as one renewal round | under 1 s of calls in parallel |
| cancellation wave | {CANCELLATIONS} reads, {CANCELLATIONS // 100} transactions of 100 rows, one pass of {wave_seconds:.1f} s | {CANCELLATIONS / STORE_READS_PER_SECOND:.1f} s of the store's reads |
| jobs of the zone (about {zone_jobs:.0f} running) queued again | {zone_jobs * pass_ms / 1000:.2f} s in a pass | |
| urgent start meanwhile | 4 s + {wave_seconds + zone_jobs * pass_ms / 1000:.1f} s + start 0.5 s = {4.5 + wave_seconds + zone_jobs * pass_ms / 1000:.1f} s | 5.4 s: {"met" if 4.5 + wave_seconds + zone_jobs * pass_ms / 1000 <= 5.4 else "not met"} |

On an ordinary minute an urgent start takes a pass, a reclaim of at most 4 s and a start of 0.5 s.

## What is not met, and what would mend it
1. *Renewals.* The slope of workers is the steepest: one HTTP call a worker every 2 s from one owner a
   region. Renewing every 10 s under a lease of 30 s divides it by 5, at the price of a longer bound for
   a part of a gang that runs alone after a loss. Handing lists of (worker, tasks, epoch) to the other
   instances of the region over the streams divides it again by their number. Neither is built.
2. *Traffic.* A renewal's answer reports every task in JSON, {slopes.fit("running tasks", "bytes_per_second").slope * RENEWAL_PERIOD_SECONDS:.0f} bytes a task
   (residual as in the table: the points scatter). Answers with changed tasks only would leave the HTTP
   headers, {slopes.fit("workers", "bytes_per_second").slope * RENEWAL_PERIOD_SECONDS:.0f} bytes a worker and renewal with one task.
3. *Memory.* The imports take about 48 MB; rows of tasks are next (`running tasks`, MB a task): gang
   members as slotted rows in one table instead of objects a member.
4. *Idle share.* Heartbeats of all pairs of streams and the fixed timers. Heartbeats went from 0.2 to
   0.4 s (1.70% to 1.18% of a core at nine instances, measured in one run each). The average falls with the number of instances,
   because the partitions are spread over them; an instance that owns all of them is over.
5. *Decision pass.* {pass_ms:.2f} ms a changed job is spent in scans of whole zones for a place; free cells
   indexed by size would make it independent of the zone.

## Regions that lose each other
The table service is the platform's; each region either reaches it or not.

| | region that reaches the store | region that does not |
|---|---|---|
| running gangs | go on | go on while its gang owner has a fresh view; that needs the other region's instances to answer, so after 2 s renewals stop and leases end after 15 s; gangs that can restart do so when the store is back |
| queued gangs | start | wait |
| idempotent requests | served | refused `not_run`, `stale_view`: the other region may be changing the configuration |
| non-idempotent requests | served | refused `not_run`, `stale_view` |
| profiles and zones | changed | refused `not_run`, `not_member` or `stale_view` |
| ownership | own partitions only | not claimed; nobody else claims a region's partitions |

An outage agreement needs every roster member, also those of the other region; a region that is cut off from
both the store and the other region therefore stops starting work. Rosters for each region, with
configuration rows of their own, would let it go on; this is not built.
"""
