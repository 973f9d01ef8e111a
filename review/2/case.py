"""More ends than one answer holds while the store is down (rule TWICE)."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from platform_standins import Deployment, Record, Run, main  # noqa: E402

ROOM = {"cpu": 32_000, "mem_mb": 65_536, "gpus": 8}
RUNNERS = 2
JOBS = 20
TASKS_PER_JOB = 70
TASKS = JOBS * TASKS_PER_JOB
WORK_S = 12.0
OUTAGE_S = 4.4


def broken_starts(runs: list[Run]) -> list[tuple[Run, Run]]:
    """Return the pairs of a run that ended as done, noted, and a later start."""
    done: dict[str, Run] = {}
    for run in runs:
        noted = run.how == "done" and run.acked and not run.lapsed_between
        if noted and (run.task not in done or run.ended < done[run.task].ended):
            done[run.task] = run
    return [
        (done[run.task], run)
        for run in runs
        if run.task in done
        and run is not done[run.task]
        and run.started > done[run.task].ended
    ]


async def case(deployment: Deployment, record: Record, trouble: bool) -> int:
    """Run many small tasks; the store is down while they end."""
    if not await deployment.start(3, RUNNERS, ROOM):
        return 2
    step = {
        "replicas": TASKS_PER_JOB,
        "cpu": 40,
        "mem_mb": 40,
        "estimate_ms": int(WORK_S * 1000),
    }
    jobs = [f"00000000000001{number:02x}" for number in range(JOBS)]
    for job in jobs:
        if not await deployment.submit(1, job, {"work_s": WORK_S}, [step]):
            return 2
    for _ in range(300):
        if deployment.runs():
            break
        await asyncio.sleep(0.05)
    first = deployment.runs()[0].started
    await asyncio.sleep(max(0.0, first + WORK_S - 0.3 - record.now()))
    record.add("all started", runs=len(deployment.runs()))
    if trouble:
        record.add("store down")
        deployment.store.down = True
        await asyncio.sleep(OUTAGE_S)
        deployment.store.down = False
        record.add("store up")
    complete = True
    for job in jobs:
        complete &= await deployment.wait_for_state(1, job, "complete", 45.0)
    await asyncio.sleep(3.0)
    runs = deployment.runs()
    pairs = broken_starts(runs)
    for earlier, later in pairs[:20]:
        record.add(
            "TWICE",
            task=later.task,
            done=f"{earlier.ended:.3f}",
            on=earlier.runner,
            noted=f"{earlier.acked:.3f}",
            again=f"{later.started:.3f}",
            there=later.runner,
        )
    record.add(
        "summary", runs=len(runs), tasks=TASKS, complete=complete, twice=len(pairs)
    )
    print(
        f"runs {len(runs)} of {TASKS} tasks, complete {complete}, "
        f"started again after done {len(pairs)}"
    )
    if not runs or not complete and not pairs:
        return 2
    return 1 if pairs else 0


main(case, FOLDER)
