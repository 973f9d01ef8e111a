"""Samples the resource use of the entry instances of one deployment."""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict, dataclass

import psutil

from lib.deployment import Platform

SETTLE_SECONDS = 3.0
SAMPLE_SECONDS = 6.0


@dataclass(slots=True, frozen=True)
class Sample:
    """Average use per entry instance, and total load of the table service.

    ``core_percent`` is user and system time; ``bytes_per_second`` counts both
    directions of all loopback traffic including TCP headers, so traffic between two
    instances counts for both.
    """

    core_percent: float
    memory_mb: float
    bytes_per_second: float
    table_reads_per_second: float
    table_writes_per_second: float


SAMPLE_FIELDS = tuple(Sample.__dataclass_fields__)


async def take_sample(platform: Platform) -> Sample:
    """Measure for ``SAMPLE_SECONDS``, after ``SETTLE_SECONDS`` to settle.

    Nothing else may use the loopback interface meanwhile, since all of its traffic
    counts.
    """
    await asyncio.sleep(SETTLE_SECONDS)
    before = await read_counters(platform)
    await asyncio.sleep(SAMPLE_SECONDS)
    after = await read_counters(platform)
    seconds = after.at - before.at
    instances = len(platform.entries)
    return Sample(
        core_percent=100 * (after.processor - before.processor) / seconds / instances,
        memory_mb=after.memory / 1e6 / instances,
        bytes_per_second=(after.loopback - before.loopback) / seconds / instances,
        table_reads_per_second=(after.reads - before.reads) / seconds,
        table_writes_per_second=(after.commits - before.commits) / seconds,
    )


@dataclass(slots=True, frozen=True)
class Counters:
    """Counters since the start, summed over all entry instances."""

    at: float
    processor: float
    memory: float
    loopback: int
    reads: int
    commits: int


async def read_counters(platform: Platform) -> Counters:
    """Read the counters of the processes, the interface and the table."""
    processor = memory = 0.0
    for entry in platform.entries.values():
        if entry.process.process is not None:
            process = psutil.Process(entry.process.process.pid)
            times = process.cpu_times()
            processor += times.user + times.system
            memory += process.memory_info().rss
    facts = await platform.facts("table")
    (table,) = facts.values()
    loopback = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    return Counters(
        time.monotonic(),
        processor,
        memory,
        loopback,
        table["reads"],
        table["commits"],
    )


def sample_as_dict(sample: Sample) -> dict[str, float]:
    """Return the sample for JSON, rounded to the resolution of a measurement."""
    return {name: round(value, 3) for name, value in asdict(sample).items()}
