"""A late renewal outlives a restart, and a cut-off runner works on beside another."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import msgspec

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

from deployment3 import (  # noqa: E402
    CannotRunError,
    Deployment,
    LateCalls,
    LateTargetServer,
    run_case,
)

from egretloft._internal.fleet.models import Resources  # noqa: E402
from egretloft.platform.wire import WireHold  # noqa: E402

# Two of eight runners have the eight accelerators that the jobs ask for.
LARGE, SMALL = Resources(64_000, 262_144, 8), Resources(64_000, 262_144, 4)
WHOLE = {"cpu": 8000, "mem_mb": 4096, "gpus": 8}
LONG_JOB, LONG_SECONDS = f"{0xA000000000000000:016x}", 30.0
OTHER_JOB, OTHER_SECONDS = f"{0xA000000000000001:016x}", 10.0
# All times count from the call that gets no answer.
CRASH_AFTER_SECONDS = 1.5
DOWN_SECONDS = 0.5
CARRIED_OUT_AFTER_SECONDS = 5.5
CUT_AFTER_SECONDS = 5.6
CUT_SECONDS = 5.3
# Only for the control run that claim.txt tells of.
CONTROL = os.environ.get("CONTROL", "")


def prolongs_lease(data: bytes) -> bool:
    """Return whether a call of /hold renews the lease."""
    return bool(msgspec.json.decode(data, type=WireHold).expires_at_ms)


async def play(d: Deployment, trouble: bool) -> bool:
    """Run two long jobs; disturb the runner of the first one."""
    for job_id, seconds in ((LONG_JOB, LONG_SECONDS), (OTHER_JOB, OTHER_SECONDS)):
        step = {**WHOLE, "estimate_ms": int(seconds * 1000)}
        if not await d.submit(job_id, {"spec": job_id, "phases": [step]}, seconds):
            raise CannotRunError("a job was not accepted")
        await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)
    runners = [
        runner
        for runner in d.runners.values()
        if any(key.task.step.job_id == LONG_JOB for key in runner.runs)
    ]
    if len(runners) != 1:
        raise CannotRunError("the first job does not run")
    if trouble:
        await disturb(d, runners[0].target_id)
    else:
        await asyncio.sleep(CUT_AFTER_SECONDS + CUT_SECONDS)
    await asyncio.sleep(2)
    violations = [v for v in d.checker.violations if v.startswith("TWICE")]
    for violation in violations:
        d.note(f"runners: {violation}")
    d.note(f"TWICE: {len(violations)} tasks ran twice at the same time")
    return not violations


async def disturb(d: Deployment, runner_id: str) -> None:
    """Leave a renewal unanswered, restart the runner, renew late, and cut it off."""
    runner = d.runners[runner_id]
    late = LateCalls(runner_id, "/hold", 1, prolongs_lease)
    LateTargetServer.late_calls = late
    await d.until(lambda: late.kept, 5, "no renewal was seen")
    hold = msgspec.json.decode(late.kept[0], type=WireHold)
    began = d.now()
    d.note(f"runner {runner_id} leaves a call of /hold without an answer: {hold}")
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    d.note(f"it crashes, and is back under its id after {DOWN_SECONDS} s")
    await d.platform.restart_target(runner, DOWN_SECONDS)
    await asyncio.sleep(began + CARRIED_OUT_AFTER_SECONDS - d.now())
    if not any(key.task.step.job_id == LONG_JOB for key in runner.runs):
        raise CannotRunError("the first job does not run there again")
    if CONTROL != "never carried out":
        runner.renew(hold.fencing_token, hold.last_seen, hold.expires_at_ms)
        d.note(
            "the call is carried out; the lease now lasts for "
            f"{runner.lease_ms - runner.time_ms():.0f} ms"
        )
    await asyncio.sleep(began + CUT_AFTER_SECONDS - d.now())
    runner.cut = True
    d.note(f"it is cut off for {CUT_SECONDS} s, and works on")
    await asyncio.sleep(CUT_SECONDS)
    runner.cut = False
    d.note("the cut heals")


run_case(Deployment(3, [LARGE] * 2 + [SMALL] * 6), FOLDER, play)
