"""A queue moves to another service, and jobs accepted before never run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from deployment3 import (  # noqa: E402
    CONTACT_SECONDS,
    FINISH_SECONDS,
    SERVICE,
    CannotRunError,
    Deployment,
    run_case,
)
from observer3 import IDLE_SECONDS, Observer  # noqa: E402

from egretloft._internal.fleet.models import Resources  # noqa: E402

NEW_SERVICE = "salon-desk-new"
NEW_RUNNERS = 7
JOB = {
    "spec": "one task on a whole runner",
    "phases": [{"cpu": 8000, "mem_mb": 4096, "gpus": 8, "estimate_ms": 3000}],
}
TASK_SECONDS = 3.0
JOBS_BEFORE = 4
JOBS_AFTER = 4
# The old runner announces its shutdown, and leaves after this time.
LEAVES_AFTER_SECONDS = 6.0


async def empty(d: Deployment) -> None:
    """Let the old service's only runner drain and leave, as planned."""
    runner = next(iter(d.runners.values()))
    loop = asyncio.get_running_loop()
    runner.draining = True
    runner.leaves_at = loop.time() + LEAVES_AFTER_SECONDS
    d.note(f"runner {runner.target_id} of {SERVICE} reports draining")
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    if runner.runs:
        raise CannotRunError("the draining runner is still at work")
    await d.platform.crash_for_good(runner)
    d.store.put("servers", runner.target_id, None)
    d.note(f"runner {runner.target_id} has left")


async def play(d: Deployment, trouble: bool) -> bool:
    """Submit jobs, move their queue, empty the old service, and submit more jobs."""
    observer = Observer(d)
    observer.start()
    for number in range(JOBS_BEFORE):
        job_id = f"{0xA000000000000000 + number:016x}"
        if not await d.submit(job_id, JOB, TASK_SECONDS):
            raise CannotRunError("a job was not accepted")
    leaving: asyncio.Task[None] | None = None
    if trouble:
        d.configure(2, NEW_SERVICE)
        d.note(f"operator: version 2 sends the queues to {NEW_SERVICE}, confirmed")
        await asyncio.sleep(1)
        leaving = asyncio.create_task(empty(d))
    await asyncio.sleep(2)
    for number in range(JOBS_AFTER):
        job_id = f"{0xB000000000000000 + number:016x}"
        await d.submit(job_id, JOB, TASK_SECONDS)
    d.note("the traffic ends")
    await asyncio.sleep(FINISH_SECONDS)
    if leaving is not None:
        await leaving
    observer.judges_idle = True
    # A job may take its turn after the others on a service of one runner.
    await asyncio.sleep(JOBS_AFTER * TASK_SECONDS + IDLE_SECONDS + CONTACT_SECONDS)
    for job_id in d.accepted:
        d.note(f"job {job_id} is shown as {await d.state(job_id)}")
    stuck = observer.note_idle()
    await observer.stop()
    return not stuck


run_case(
    Deployment(
        3,
        [Resources(64_000, 262_144, 8)] * (1 + NEW_RUNNERS),
        [SERVICE] + [NEW_SERVICE] * NEW_RUNNERS,
    ),
    FOLDER,
    play,
)
