"""After two machines were down, a lost leader and one lost runner stop everything.

Two of three instances lose power for six seconds. As they return, the third one, which
leads, loses power for three seconds, and one runner of eight is lost for good. All
instances are back from then on. A job with one task that lasts, and small jobs that
come afterwards, are watched.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import Deployment, InstanceProcess, run_case

FOLDER = Path(__file__).parent
RUNNERS = 8
OTHERS_DOWN_SECONDS = 6.0
LEADER_DOWN_SECONDS = 3.0
# The platform removes the entry of a silent runner after three check-ins.
ENTRY_SECONDS = 4.5
WATCH_SECONDS = 70.0
# A task that lasts counts from 6 s after its last run, and may then wait for 3 s; these
# and the 4 s before them are to be calm.
AFTER_RUN_SECONDS, IDLE_SECONDS, CALM_SECONDS = 6.0, 3.0, 4.0
LASTING = "5f00000000000000"


def lasting_job() -> dict[str, object]:
    """Return a job with one task that lasts until it is cancelled."""
    step = {"replicas": 1, "cpu": 4000, "mem_mb": 1024, "long_running": True}
    return {"spec": '{"ms": 0}', "phases": [step], "long_running": True}


def small_job() -> dict[str, object]:
    """Return a job of one task."""
    step = {"replicas": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300}
    return {"spec": '{"ms": 300}', "phases": [step]}


def find_leader(world: Deployment) -> InstanceProcess:
    """Return the instance that leads, by its log."""
    for instance in world.instances:
        log = (world.folder / f"{instance.name}.log").read_text(encoding="utf-8")
        if "leadership taken" in log:
            return instance
    raise OSError("no instance leads")


async def strike(world: Deployment) -> None:
    """Bring about the disruption."""
    leader = find_leader(world)
    others = [instance for instance in world.instances if instance is not leader]
    lasting_on = {
        line["runner"] for line in world.runner_lines() if line["what"] == "start"
    }
    lost = next(r for r in world.runners if r.name not in lasting_on)
    for instance in others:
        await world.kill(instance)
    world.record(f"{others[0].name} and {others[1].name} lose power")
    await asyncio.sleep(OTHERS_DOWN_SECONDS)
    await world.kill(leader)
    await world.kill(lost)
    world.record(f"{leader.name}, which led, loses power; {lost.name} is lost for good")
    loop = asyncio.get_running_loop()
    loop.call_later(ENTRY_SECONDS, world.store.put, "servers", lost.name, None)
    for instance in others:
        await world.start_instance(instance)
    world.record(f"{others[0].name} and {others[1].name} are back")
    await asyncio.sleep(LEADER_DOWN_SECONDS)
    await world.start_instance(leader)
    world.record(f"{leader.name} is back")


async def case(trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    runners = [("a", ("zone-a", "zone-b")[n % 2]) for n in range(RUNNERS)]
    async with Deployment(FOLDER / "record.txt", runners) as world:
        await world.submit(1, LASTING, lasting_job())
        await asyncio.sleep(2.0)
        if trouble:
            await strike(world)
        calm_from = time.time()
        small: list[str] = []
        while time.time() < calm_from + WATCH_SECONDS:
            job_id = f"{len(small):016x}"
            if await world.submit(0, job_id, small_job()):
                small.append(job_id)
            await asyncio.sleep(5.0)
        return judge(world, calm_from, small)


def judge(world: Deployment, calm_from: float, small: list[str]) -> bool:
    """Check how long the task that lasts had nothing running while all was calm."""
    now = time.time()
    begun: dict[str, float] = {}
    ended_at: float | None = None
    longest = 0.0
    for line in [*world.runner_lines(), {"at": now, "what": "watch ends", "task": ""}]:
        what, job_id = line["what"], line.get("task", "").split(".")[0]
        if what == "start":
            begun.setdefault(job_id, line["at"])
        if job_id != LASTING and what != "watch ends":
            continue
        world.record(
            f"{world.since_begin(line['at']):.2f} {line.get('runner', '')} {what} "
            f"{job_id} {line.get('how', '')}"
        )
        if ended_at is not None:
            counts_from = max(ended_at + AFTER_RUN_SECONDS, calm_from + CALM_SECONDS)
            longest = max(longest, line["at"] - counts_from)
        ended_at = line["at"] if what == "end" else None
    for job_id in small:
        at = begun.get(job_id)
        begin = f"{world.since_begin(at):.2f}" if at else "not at all"
        world.record(f"small job {job_id} begun {begin}")
    held = longest <= IDLE_SECONDS
    world.record(f"longest time without a run, as far as it counts: {longest:.1f} s")
    world.record("the rule held" if held else "the rule was broken")
    return held


run_case(case)
