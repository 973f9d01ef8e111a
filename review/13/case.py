"""A wide gang waits for one long task, and the idle rest of the service is withheld."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from deployment3 import (  # noqa: E402
    CONTACT_SECONDS,
    FINISH_SECONDS,
    CannotRunError,
    Deployment,
    run_case,
)
from observer3 import IDLE_SECONDS, Observer  # noqa: E402

from egretloft._internal.fleet.models import Resources  # noqa: E402

RUNNERS = 8
WHOLE_RUNNER = {"cpu": 8000, "mem_mb": 4096, "gpus": 8}
LONG_JOB = {"spec": "long", "phases": [{**WHOLE_RUNNER, "estimate_ms": 100_000}]}
LONG_SECONDS = 100.0
# The gang needs each runner of the service once.
WIDE_GANG = {
    "spec": "wide gang",
    "phases": [
        {
            **WHOLE_RUNNER,
            "replicas": RUNNERS,
            "coscheduled": True,
            "estimate_ms": 5000,
        }
    ],
}
GANG_SECONDS = 5.0
SMALL_JOB = {
    "spec": "small",
    "phases": [{"cpu": 1000, "mem_mb": 256, "gpus": 1, "estimate_ms": 1000}],
}
SMALL_SECONDS = 1.0
# One small job a second.
SMALL_JOBS = 36
URGENT, LATER = 1, 2


async def play(d: Deployment, trouble: bool) -> bool:
    """Submit a long job, a wide gang, and then a small job each second."""
    observer = Observer(d)
    observer.start()
    long_id = f"{0xA000000000000000:016x}"
    if not await d.submit(long_id, LONG_JOB, LONG_SECONDS, LATER):
        raise CannotRunError("the long job was not accepted")
    await asyncio.sleep(1)
    if trouble:
        await d.submit(f"{0xA000000000000001:016x}", WIDE_GANG, GANG_SECONDS, URGENT)
    for number in range(SMALL_JOBS):
        await asyncio.sleep(1)
        job_id = f"{0xB000000000000000 + number:016x}"
        await d.submit(job_id, SMALL_JOB, SMALL_SECONDS, LATER, quiet=True)
        if number % 6 == 5:
            at_work = sum(bool(runner.runs) for runner in d.runners.values())
            d.note(
                f"{len(d.accepted)} jobs accepted, {len(d.ends_done)} have ended done; "
                f"{at_work} of {RUNNERS} runners are at work"
            )
    d.note("the traffic ends; nothing was killed, cut, slowed or lost")
    await asyncio.sleep(FINISH_SECONDS)
    observer.judges_idle = True
    await asyncio.sleep(IDLE_SECONDS + CONTACT_SECONDS + 1)
    states: dict[str, int] = {}
    for job_id in d.accepted:
        state = await d.state(job_id)
        states[state] = states.get(state, 0) + 1
    d.note(f"clients: the {len(d.accepted)} accepted jobs are shown as {states}")
    stuck = observer.note_idle()
    await observer.stop()
    return not stuck


run_case(Deployment(3, [Resources(64_000, 262_144, 8)] * RUNNERS), FOLDER, play)
