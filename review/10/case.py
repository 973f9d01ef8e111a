"""Starts on a new boot of a runner are decided by what the former boot registered.

One runner of eight at a time crashes and starts again at its address under its id, as
one of another kind. It answers calls and registers as soon as it has started. A job
whose tasks need the former kind runs meanwhile, and small jobs come beside it.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib2.deployment import Deployment, run_case

FOLDER = Path(__file__).parent
RUNNERS = 8
CYCLES = 10
DOWN_SECONDS = 0.5
PAUSE_SECONDS = 5.0
KINDS = {"a": "b", "b": "a"}


def job(kind: str) -> dict[str, object]:
    """Return a job with more tasks than runners of that kind have room for."""
    step = {
        "replicas": 60,
        "cpu": 4000,
        "mem_mb": 512,
        "gpus": 1,
        "estimate_ms": 2500,
        "node_selector": kind,
    }
    return {"spec": '{"ms": 2500}', "phases": [step]}


async def case(trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    runners = [("ab"[n // 4], ("zone-a", "zone-b")[n % 2]) for n in range(RUNNERS)]
    async with Deployment(FOLDER / "record.txt", runners) as world:
        wanted: dict[str, str] = {}
        for cycle in range(CYCLES):
            for kind in KINDS:
                job_id = f"{cycle:08x}0000000{kind}"
                wanted[job_id] = kind
                await world.submit(1, job_id, job(kind))
            await asyncio.sleep(2.0)
            runner = world.runners[cycle % RUNNERS]
            await world.kill(runner)
            if trouble:
                runner.kind = KINDS[runner.kind]
            await asyncio.sleep(DOWN_SECONDS)
            await world.start_runner(runner)
            world.record(f"{runner.name} crashed, starts again as kind {runner.kind}")
            await asyncio.sleep(PAUSE_SECONDS)
        wrong = 0
        starts = 0
        for line in world.runner_lines():
            if line["what"] != "start":
                continue
            starts += 1
            kind = wanted[line["task"].split(".")[0]]
            if line["kind"] != kind:
                wrong += 1
                world.record(
                    f"{world.since_begin(line['at']):.3f} {line['runner']} of kind "
                    f"{line['kind']} starts {line['task']}, which needs kind {kind}"
                )
        world.record(f"starts {starts}, on a runner without the label {wrong}")
        world.record("the rule was broken" if wrong else "the rule held")
        return not wrong


run_case(case)
