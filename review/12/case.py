"""A runner starts again behind a cut, and carries out a late start a second time."""

from __future__ import annotations

import asyncio
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

from egretloft._internal.fleet.models import Resources, StartOrder  # noqa: E402
from egretloft.platform.targets import parse_run  # noqa: E402
from egretloft.platform.wire import WireStart  # noqa: E402

RUNNERS = 8
JOB, JOB_SECONDS = f"{0xA000000000000000:016x}", 30.0
BODY = {
    "spec": JOB,
    "phases": [{"cpu": 8000, "mem_mb": 4096, "gpus": 8, "estimate_ms": 30_000}],
}
# Other starts, which are all answered.
OTHER_JOB, OTHER_TASKS, OTHER_SECONDS = f"{0xB000000000000000:016x}", 8, 1.0
OTHER_BODY = {
    "spec": OTHER_JOB,
    "phases": [
        {
            "replicas": OTHER_TASKS,
            "cpu": 1000,
            "mem_mb": 256,
            "gpus": 1,
            "estimate_ms": 1000,
        }
    ],
}
# All times count from the first call that gets no answer; a call is carried out 2 to
# 12 s later.
CUT_AFTER_SECONDS = 4.0
CRASH_AFTER_SECONDS = 4.5
DOWN_SECONDS = 0.5
CARRIED_OUT_AFTER_SECONDS = 6.0
CUT_SECONDS = 5.3
# Of the copies of an order, so many get no answer.
COPIES = 3


class AnyRunner(LateCalls):
    """The starts of the job at the first runner that is told to start it."""

    def take(self, runner_id: str, path: str, data: bytes) -> bool:
        """Keep a start, and no other runner's from then on."""
        if path != self.path or JOB.encode() not in data:
            return False
        if not self.runner_id:
            self.runner_id = runner_id
        return super().take(runner_id, path, data)


async def play(d: Deployment, trouble: bool) -> bool:
    """Submit one job; its first start gets no answer."""
    late = AnyRunner("", "/run-start", COPIES)
    if trouble:
        LateTargetServer.late_calls = late
    if not await d.submit(OTHER_JOB, OTHER_BODY, OTHER_SECONDS):
        raise CannotRunError("the other job was not accepted")
    if not await d.submit(JOB, BODY, JOB_SECONDS):
        raise CannotRunError("the job was not accepted")
    if trouble:
        await disturb(d, late)
    else:
        await asyncio.sleep(CUT_AFTER_SECONDS + CUT_SECONDS)
    await asyncio.sleep(3)
    violations = [v for v in d.checker.violations if v.startswith("TWICE")]
    for violation in violations:
        d.note(f"runners: {violation}")
    d.note(f"TWICE: {len(violations)} tasks ran twice at the same time")
    return not violations


async def disturb(d: Deployment, late: AnyRunner) -> None:
    """Leave a start unanswered, cut the runner off, and restart it behind the cut."""
    await d.until(lambda: late.kept, 5, "no start was seen")
    began = d.now()
    runner = d.runners[late.runner_id]
    start = msgspec.json.decode(late.kept[0], type=WireStart)
    d.note(f"runner {late.runner_id} leaves a start without an answer: {start}")
    await d.until(
        lambda: d.checker.starts > OTHER_TASKS,
        3.5,
        "the task was not started elsewhere",
    )
    d.note(f"the task was started elsewhere; {len(late.kept)} copies had no answer")
    await asyncio.sleep(began + CUT_AFTER_SECONDS - d.now())
    runner.cut = True
    d.note(f"runner {late.runner_id} is cut off for {CUT_SECONDS} s")
    await asyncio.sleep(began + CRASH_AFTER_SECONDS - d.now())
    d.note(f"it crashes behind the cut, and is back after {DOWN_SECONDS} s")
    await d.platform.restart_target(runner, DOWN_SECONDS)
    await asyncio.sleep(began + CARRIED_OUT_AFTER_SECONDS - d.now())
    order = StartOrder(
        parse_run(start.task_id, start.attempt),
        start.spec,
        start.expires_at_ms,
        start.fencing_token,
        runner.incarnation_ms,
        start.checkpoint,
    )
    d.note(f"the start is carried out there: {runner.start(order)}")
    await asyncio.sleep(began + CUT_AFTER_SECONDS + CUT_SECONDS - d.now())
    runner.cut = False
    d.note("the cut heals")


run_case(
    Deployment(3, [Resources(64_000, 262_144, 8)] * RUNNERS),
    FOLDER,
    play,
)
