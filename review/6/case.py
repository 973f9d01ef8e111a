"""Borrowed accelerators are not given back to the tenant that holds the guarantee.

A borrower's job takes all idle accelerators. Then a tenant with a guarantee hands in an
urgent job that needs less than it. The borrower's tasks last (until the job is
cancelled), or are urgent themselves. Without the disruption they are neither.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import Deployment, run_case

FOLDER = Path(__file__).parent
RECLAIM_SECONDS = 2.9
GUARANTEED_GPUS = 8
RUNNERS = 4
GPUS_PER_RUNNER = 8
BORROWED_MS = 25_000
# So long the urgent job is watched.
WATCH_SECONDS = 20.0
LASTING, URGENT, PLAIN = "tasks that last", "urgent tasks", "plain tasks"


def borrower(kind: str) -> tuple[int, dict[str, object]]:
    """Return the queue and the job that takes all accelerators."""
    step: dict[str, object] = {
        "replicas": RUNNERS * GPUS_PER_RUNNER,
        "cpu": 500,
        "mem_mb": 128,
        "gpus": 1,
        "estimate_ms": BORROWED_MS,
    }
    body: dict[str, object] = {"spec": f'{{"ms": {BORROWED_MS}}}', "phases": [step]}
    if kind == LASTING:
        step["long_running"] = True
        body |= {"spec": '{"ms": 0}', "long_running": True}
    return (0 if kind == URGENT else 2), body


def urgent_job() -> dict[str, object]:
    """Return a job of two tasks, within the guarantee."""
    step = {"replicas": 2, "cpu": 500, "mem_mb": 128, "gpus": 1, "estimate_ms": 500}
    return {"spec": '{"ms": 500}', "phases": [step]}


async def phase(world: Deployment, kind: str, number: int) -> float | None:
    """Play one borrower; return how long the urgent job waited for all its tasks."""
    queue, body = borrower(kind)
    borrowing, claiming = f"b0000000000000{number:02}", f"a0000000000000{number:02}"
    world.record(f"borrower with {kind}")
    await world.submit(queue, borrowing, body, tenant="borrower")
    await asyncio.sleep(3.0)
    begun = started_tasks(world, borrowing)
    world.record(f"the borrower has {len(begun)} tasks at work")
    await world.submit(0, claiming, urgent_job(), tenant="owner")
    confirmed = time.time()
    while time.time() < confirmed + WATCH_SECONDS:
        if len(started_tasks(world, claiming)) == 2:
            break
        await asyncio.sleep(0.1)
    starts = started_tasks(world, claiming)
    waited = max(starts.values()) - confirmed if len(starts) == 2 else None
    world.record(f"the urgent job began all tasks after {waited} s")
    path = f"/queue-{queue}/{borrowing}"
    status, _ = await world.call("DELETE", path, tenant="borrower")
    world.record(f"DELETE {path} -> {status}")
    await asyncio.sleep(3.0)
    return waited


def started_tasks(world: Deployment, job_id: str) -> dict[str, float]:
    """Return when each task of a job began first."""
    starts: dict[str, float] = {}
    for line in world.runner_lines():
        if line["what"] == "start" and line["task"].startswith(job_id):
            starts.setdefault(line["task"], line["at"])
    return starts


async def case(trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    runners = [("a", ("zone-a", "zone-b")[n % 2]) for n in range(RUNNERS)]
    tenants = {"owner": GUARANTEED_GPUS, "borrower": 0}
    async with Deployment(FOLDER / "record.txt", runners, tenants) as world:
        kinds = [URGENT, LASTING] if trouble else [PLAIN]
        held = True
        for number, kind in enumerate(kinds):
            waited = await phase(world, kind, number)
            in_time = waited is not None and waited <= RECLAIM_SECONDS
            world.record(f"{kind}: {'kept' if in_time else 'BROKEN'}")
            held = held and in_time
        world.record("the rule held" if held else "the rule was broken")
        return held


run_case(case)
