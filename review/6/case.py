"""A job with many occurrences makes a row too large for the store; nothing is recorded.

The job runs 2,400 times, 20 ms apart. Without the disruption, six jobs of 400 times
each do the same work, one after the other. Beside them a client hands in a small job
every two seconds and asks for its state.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import ACK_TIMEOUT_SECONDS, Deployment, run_case

FOLDER = Path(__file__).parent
OCCURRENCES = 2400
INTERVAL_MS = 20
JOBS_WITHOUT_TROUBLE = 6
LOAD_SECONDS = 70.0
# After their last task has ended, so long do the small jobs get to be shown as done.
FINISH_SECONDS = 14.0
SMALL_JOB_EVERY_SECONDS = 2.0
# A share of the ends above this, not taken note of in time, breaks the rule.
MAX_SHARE = 0.2


def scheduled_job(times: int, start_ms: float) -> dict[str, object]:
    """Return a job of one short task that runs many times."""
    return {
        "spec": '{"ms": 10}',
        "phases": [{"replicas": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 10}],
        "times": times,
        "start_at_ms": int(start_ms),
        "interval_ms": INTERVAL_MS,
    }


def small_job() -> dict[str, object]:
    """Return a job of one task."""
    step = {"replicas": 1, "cpu": 1000, "mem_mb": 256, "gpus": 1, "estimate_ms": 300}
    return {"spec": '{"ms": 300}', "phases": [step]}


async def case(trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    runners = [("a", zone) for zone in ("zone-a", "zone-b")]
    async with Deployment(FOLDER / "record.txt", runners) as world:
        start_ms = time.time() * 1000 + 1000
        parts = 1 if trouble else JOBS_WITHOUT_TROUBLE
        times = OCCURRENCES // parts
        for part in range(parts):
            begin = start_ms + part * times * INTERVAL_MS
            job_id = f"5c00000000000{part:03x}"
            await world.submit(1, job_id, scheduled_job(times, begin))
        accepted: dict[str, float] = {}
        shown: dict[str, float] = {}

        async def poll() -> None:
            while True:
                for job_id in [j for j in accepted if j not in shown]:
                    state = await world.state(0, job_id, len(shown) % 3)
                    if state == "complete":
                        shown[job_id] = time.time()
                await asyncio.sleep(0.25)

        poller = asyncio.create_task(poll())
        until = time.time() + LOAD_SECONDS - FINISH_SECONDS
        number = 0
        while time.time() < until:
            number += 1
            job_id = f"00000000000{number:05x}"
            if await world.submit(0, job_id, small_job()):
                accepted[job_id] = time.time()
            await asyncio.sleep(SMALL_JOB_EVERY_SECONDS)
        await asyncio.sleep(FINISH_SECONDS)
        poller.cancel()
        return judge(world, accepted, shown)


def judge(
    world: Deployment, accepted: dict[str, float], shown: dict[str, float]
) -> bool:
    """Check what runners and clients have seen."""
    now = time.time()
    listed = late = 0
    noted: dict[tuple[str, int], float] = {}
    ends: list[tuple[str, int, float]] = []
    done: dict[str, float] = {}
    starts: set[str] = set()
    for line in world.runner_lines():
        if line["what"] == "noted":
            noted.setdefault((line["runner"], line["upto"]), line["at"])
        elif line["what"] == "end":
            ends.append((line["runner"], line["number"], line["at"]))
            done.setdefault(line["task"].split(".")[0], line["at"])
        elif line["what"] == "start":
            starts.add(line["task"].split(".")[0])
    for runner, number, at in ends:
        if at > now - ACK_TIMEOUT_SECONDS:
            continue
        listed += 1
        times = [t for (r, upto), t in noted.items() if r == runner and upto >= number]
        if not times or min(times) > at + ACK_TIMEOUT_SECONDS:
            late += 1
    refused = world.store.refused
    if refused:
        first, why = refused[0]
        world.record(
            f"the store refused {len(refused)} calls, the first at "
            f"{world.since_begin(first):.1f} s: {why}"
        )
    for job_id in accepted:
        ended = world.since_begin(done[job_id]) if job_id in done else None
        seen = world.since_begin(shown[job_id]) if job_id in shown else None
        world.record(
            f"job {job_id}: accepted {world.since_begin(accepted[job_id]):.1f}, "
            f"begun {job_id in starts}, task ended {ended and round(ended, 1)}, "
            f"shown as complete {seen and round(seen, 1)}"
        )
    never = [j for j in accepted if j in done and j not in shown]
    idle = [j for j in accepted if j not in starts]
    share = late / max(1, listed)
    world.record(
        f"ends listed {listed}, not taken note of within {ACK_TIMEOUT_SECONDS:.0f} s "
        f"{late} ({share:.0%}); small jobs accepted {len(accepted)}, "
        f"done and never shown as complete {len(never)}, never begun {len(idle)}"
    )
    held = share <= MAX_SHARE and not idle
    world.record("the rule held" if held else "the rule was broken")
    return held


run_case(case)
