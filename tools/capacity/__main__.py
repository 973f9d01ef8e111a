"""``make capacity``: measures resource use as sizes grow, and renders CAPACITY.md."""

from __future__ import annotations

import asyncio
import functools
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import click
import msgspec
from rich.console import Console
from rich.table import Table

from capacity.decisions import measure_changed_jobs, measure_running_tasks
from capacity.fitting import fit_line
from capacity.page import render_page
from capacity.sampling import SAMPLE_FIELDS, sample_as_dict
from capacity.slopes import (
    Points,
    Site,
    fill_workers,
    grow_changes,
    grow_entries,
    grow_profiles,
    grow_queue,
    grow_tasks,
)
from lib.deployment import DEPLOYMENTS, Deployment, Platform

OUTPUT = Path(__file__).resolve().parents[2] / "docs" / "capacity-points.json"
WORKERS_FOR_TASKS = 96
WORKERS_FOR_QUEUE = 24
WORKER_STEPS = (24, 96, 192, 384)
TWO_YEAR_WORKERS = 1_500
TWO_YEAR_TASKS = 10_000


@dataclass(slots=True, frozen=True)
class Slope:
    """A size that grows, the deployment that is started, and the measurement."""

    size: str
    workers: int
    runners: int
    measure: Callable[[Site], Points]


SLOPES = (
    Slope(
        "running tasks",
        WORKERS_FOR_TASKS,
        24,
        lambda site: grow_tasks(site, WORKERS_FOR_TASKS),
    ),
    Slope(
        "queued jobs",
        WORKERS_FOR_QUEUE,
        24,
        lambda site: grow_queue(site, WORKERS_FOR_QUEUE),
    ),
    Slope("profiles", 24, 24, grow_profiles),
    Slope("entry instances", 24, 24, grow_entries),
    Slope("configuration changes a second", 24, 24, grow_changes),
)


async def measure_on_platform(
    deployment: Deployment,
    workers: int,
    runners: int,
    measure: Callable[[Site], Points],
) -> list[dict[str, Any]]:
    """Start a platform, run a measurement on it and return the points."""
    with tempfile.TemporaryDirectory(prefix="egretloft-capacity-") as directory:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            platform = Platform(deployment, Path(directory), session)
            try:
                await platform.start(workers, runners, 1.0)
                return [
                    {"size": size, **sample_as_dict(sample)}
                    async for size, sample in measure(Site(platform))
                ]
            finally:
                platform.stop()


async def measure_workers(deployment: Deployment) -> list[dict[str, Any]]:
    """Measure workers that run one task each, on a new platform for each number."""
    points: list[dict[str, Any]] = []
    for number in WORKER_STEPS:
        measure = functools.partial(fill_workers, number=number)
        points += await measure_on_platform(deployment, number, 24, measure)
    return points


def print_fits(console: Console, name: str, points: list[dict[str, Any]]) -> None:
    """Print the points and the line through them for each resource."""
    table = Table("per entry instance", *(f"{p['size']:g}" for p in points), title=name)
    for column in ("slope", "intercept", "residual"):
        table.add_column(column)
    sizes = [point["size"] for point in points]
    for field in SAMPLE_FIELDS:
        values = [point[field] for point in points]
        fit = fit_line(sizes, values)
        table.add_row(
            field.replace("_", " "),
            *(f"{value:.2f}" for value in values),
            f"{fit.slope:.4g}",
            f"{fit.intercept:.3g}",
            f"{fit.residual:.2g}",
        )
    console.print(table)


def print_passes(
    console: Console, name: str, points: list[tuple[float, float]]
) -> dict[str, Any]:
    """Print the decision passes, and return points and fit for the output file."""
    fit = fit_line(*zip(*points, strict=True))
    console.print(
        f"{name}: "
        + ", ".join(f"{size:g}: {value:.2f} ms" for size, value in points)
        + f"; slope {1000 * fit.slope:.3g} us, intercept {fit.intercept:.2f} ms, "
        f"residual {fit.residual:.2f} ms"
    )
    return {"points": points, "slope_ms": fit.slope, "intercept_ms": fit.intercept}


@click.command()
@click.option("--output", type=click.Path(path_type=Path), default=OUTPUT)
@click.option(
    "--render-only", is_flag=True, help="Only render the page from measured points."
)
def main(output: Path, render_only: bool) -> None:
    """Measure all slopes in sequence, write the points and render the page."""
    page = output.with_name("CAPACITY.md")
    if render_only:
        page.write_text(render_page(msgspec.json.decode(output.read_bytes())))
        return
    began = time.monotonic()
    console = Console(width=130)
    deployment = DEPLOYMENTS["bureau"]
    results: dict[str, Any] = {}
    passes = {
        "pass against changed jobs": measure_changed_jobs(
            TWO_YEAR_WORKERS, TWO_YEAR_TASKS
        ),
        "pass against running tasks": measure_running_tasks(TWO_YEAR_WORKERS),
    }
    results["decision passes"] = {
        name: print_passes(console, name, points) for name, points in passes.items()
    }
    results["workers"] = asyncio.run(measure_workers(deployment))
    print_fits(console, "workers", results["workers"])
    for slope in SLOPES:
        points = asyncio.run(
            measure_on_platform(deployment, slope.workers, slope.runners, slope.measure)
        )
        results[slope.size] = points
        print_fits(console, slope.size, points)
    output.write_bytes(msgspec.json.format(msgspec.json.encode(results)) + b"\n")
    page.write_text(render_page(results))
    console.print(f"{time.monotonic() - began:.0f} s; {output} and {page} written")


if __name__ == "__main__":
    main()
