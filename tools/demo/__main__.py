"""``python -m demo``: runs ``demo.scenario`` and prints a summary."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

import psutil
from rich.console import Console
from rich.table import Table

from lib.scenario_expectations import partial_gangs, runs_by_payload
from lib.scenario_runner import run_scenario
from lib.scenario_world import World

SCENARIO = Path(__file__).with_name("demo.scenario")
IDLE_SECONDS = 5.0
# After one member of a gang is lost, the others may keep running for this time at most:
# one renewal and one worker timeout.
MAX_PARTIAL_GANG_SECONDS = 4.0


async def summarise(world: World) -> None:
    """Print the outcomes of all requests and jobs, and the use of each instance."""
    table = Table("", "requests", "jobs", title="egretloft demo")
    requests = [item for batch in world.batches.values() for item in batch]
    jobs = [item for batch in world.jobs.values() for item in batch]
    outcomes = Counter(request.outcome for request in requests)
    states = Counter(job.state for job in jobs)
    runs = await runs_by_payload(world)
    duplicates = sum(
        runs[request.payload_digest] > 1
        for request in requests
        if not request.idempotent
    )
    rows = (
        ("submitted", len(requests), len(jobs)),
        ("completed", outcomes["completed"], states["completed"]),
        ("refused, not run", outcomes["not_run"], states["refused"]),
        ("unknown", outcomes["unknown"], states["unknown"]),
        ("lost", outcomes["lost"] + outcomes["unreachable"] + outcomes["pending"], 0),
        ("non-idempotent run twice", duplicates, 0),
        ("partial gangs", "", await count_partial_gangs(world)),
    )
    for name, *values in rows:
        table.add_row(name, *(str(value) for value in values))
    console = Console()
    console.print(table)
    for request in requests:
        if request.outcome == "unknown":
            replies = ", ".join(
                f"{reply.instance_id}: {reply.outcome} {reply.reason}"
                for reply in request.replies
            )
            console.print(f"unknown outcome of {request.key}: {replies}")
    await report_usage(world, console)


async def count_partial_gangs(world: World) -> int:
    """Return how many gangs ran without all members for longer than the limit."""
    return sum(
        [
            seconds > MAX_PARTIAL_GANG_SECONDS
            async for _, _, seconds, _ in partial_gangs(world)
        ]
    )


async def report_usage(world: World, console: Console) -> None:
    """Print the resident memory and processor use of each idle instance."""
    for entry in world.usable_entries():
        if entry.process.process is None:
            continue
        process = psutil.Process(entry.process.process.pid)
        before = process.cpu_times()
        await asyncio.sleep(IDLE_SECONDS)
        after = process.cpu_times()
        used = after.user + after.system - before.user - before.system
        console.print(
            f"{entry.instance_id}: {process.memory_info().rss / 1e6:.0f} MB resident, "
            f"{100 * used / IDLE_SECONDS:.2f}% of a core while idle"
        )


def main() -> None:
    """Run the demonstration; the exit code is 0 if every expectation holds."""
    with tempfile.TemporaryDirectory(prefix="egretloft-demo-") as directory:
        try:
            asyncio.run(run_scenario(SCENARIO, Path(directory), at_end=summarise))
        except AssertionError as error:
            sys.exit(f"demo failed: {error}")


if __name__ == "__main__":
    main()
