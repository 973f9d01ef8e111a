"""The platform with a single target, served over HTTP."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator

from egretloft._internal.fleet.models import JobSpec, Resources, StepSpec
from standins.fleet.checker import Checker, JobTruth
from standins.fleet.http import HttpPlatform
from standins.fleet.store import EmulatedStore
from standins.fleet.targets import EmulatedTarget

TARGET_ID = "i-1"
# What the target's clock shows when it is first served.
FIRST_CLOCK_MS = 5_000_000


@contextlib.asynccontextmanager
async def serve_one_target(
    job: str, tasks: int, work_seconds: float
) -> AsyncIterator[HttpPlatform]:
    """Serve the store and one target, with room for a job of one step.

    The target's clock does not depend on how long this machine has been up.
    """
    checker = Checker()
    step = StepSpec(tasks, Resources(1, 1, 1))
    checker.jobs[job] = JobTruth(JobSpec("text", (step,)), work_seconds)
    room = Resources(tasks, tasks, tasks)
    target = EmulatedTarget(
        TARGET_ID, "desk", "zone", "r-1", room, checker, {}, {}, clock_offset_ms=0.0
    )
    target.clock_offset_ms = float(FIRST_CLOCK_MS - target.time_ms())
    target.all_targets[target.target_id] = target
    generator = random.Random(1)
    platform = HttpPlatform(EmulatedStore(generator), {TARGET_ID: target}, generator)
    await platform.start()
    yield platform
    await platform.stop()
