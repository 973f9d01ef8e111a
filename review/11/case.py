"""A recurring job outgrows a row of the store, and no job is recorded any more."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from deployment3 import (  # noqa: E402
    ACK_TIMEOUT_SECONDS,
    CONTACT_SECONDS,
    FINISH_SECONDS,
    CannotRunError,
    Deployment,
    LimitedStoreServer,
    run_case,
)
from observer3 import IDLE_SECONDS, Observer  # noqa: E402

from egretloft._internal.fleet.models import Resources  # noqa: E402

RECURRING = "00000000000000a1"
# An occurrence every 20 ms stands for one a minute: 740 of them take 12 hours then.
INTERVAL_MS = 20
MANY_TIMES = 2600
FEW_TIMES = 300
TASK_SECONDS = 0.2
SUBMISSIONS = 56
STEP = {"cpu": 1000, "mem_mb": 256, "estimate_ms": 200}
# Of the ends that runners list, at most a fifth may not be taken note of.
MOST_UNNOTED = 0.2


async def play(d: Deployment, trouble: bool) -> bool:
    """Submit a recurring job, and then a job of two steps each second."""
    observer = Observer(d)
    observer.start()
    d.checker.unrecorded_jobs.add(RECURRING)
    recurring = {
        "spec": "recurring report",
        "phases": [STEP],
        "times": MANY_TIMES if trouble else FEW_TIMES,
        "start_at_ms": int(time.time() * 1000) + 500,
        "interval_ms": INTERVAL_MS,
    }
    if not await d.submit(RECURRING, recurring, TASK_SECONDS):
        raise CannotRunError("the recurring job was not accepted")
    two_steps = {"spec": "two steps", "phases": [STEP, {**STEP, "after": [0]}]}
    pending = []
    for number in range(SUBMISSIONS):
        await asyncio.sleep(1)
        job_id = f"{0xB000000000000000 + number:016x}"
        pending.append(
            asyncio.create_task(d.submit(job_id, two_steps, TASK_SECONDS, quiet=True))
        )
        if number % 5 == 4:
            listed, unnoted = observer.unnoted(d.now() - ACK_TIMEOUT_SECONDS)
            d.note(
                f"runners: {listed} ends listed over {ACK_TIMEOUT_SECONDS:.0f} s ago, "
                f"{unnoted} of them not taken note of; the store has refused "
                f"{LimitedStoreServer.refused_calls} calls with too large a row"
            )
    await asyncio.gather(*pending)
    d.note("the traffic ends; nothing was killed, cut, slowed or lost")
    await asyncio.sleep(FINISH_SECONDS)
    observer.judges_idle = True
    await asyncio.sleep(IDLE_SECONDS + CONTACT_SECONDS + 1)
    broken = await report(d, observer)
    await observer.stop()
    return not broken


async def report(d: Deployment, observer: Observer) -> bool:
    """Record what callers and runners see in the end; return whether a rule broke."""
    listed, unnoted = observer.unnoted(d.now() - ACK_TIMEOUT_SECONDS)
    d.note(f"Acks: {unnoted} of {listed} ends that runners listed are not noted")
    states: dict[str, int] = {}
    unanswered = 0
    for job_id in d.accepted:
        state = await d.state(job_id)
        states[state] = states.get(state, 0) + 1
        has_ended = job_id != RECURRING and not observer.ready_tasks(job_id)
        unanswered += has_ended and state != "complete"
    d.note(f"clients: the accepted jobs are shown as {states}")
    d.note(f"{unanswered} jobs of which all tasks ended done are not shown complete")
    stuck = observer.note_idle()
    return unnoted > listed * MOST_UNNOTED or bool(stuck)


run_case(Deployment(3, [Resources(64_000, 262_144, 8)] * 3), FOLDER, play)
