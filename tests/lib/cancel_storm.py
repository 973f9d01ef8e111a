"""A storm of cancellations while the store loses answers and does writes late."""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal.fleet.intake import IntakeRefusalKind
from egretloft._internal.fleet.models import EndKind, JobSpec, StepSpec
from lib.fleet_builders import SMALL, job_id
from lib.fleet_faults import (
    CANCEL_SECONDS,
    TRAFFIC_SECONDS,
    Fault,
    Storm,
    StormChecker,
    StormReport,
)
from standins.fleet.checker import RunTruth
from standins.fleet.store import LATE_WRITE_DELAY_SECONDS
from standins.fleet.targets import STOP_DELAY_SECONDS

WORK_SECONDS = 6.0
PATIENCE_SECONDS = 1.0
LOST_SHARE = 0.6
# How much later than a stop takes its end may be seen.
STOP_SLACK_SECONDS = 0.3


class CancelChecker(StormChecker):
    """Also checks that tasks of cancelled jobs are stopped in time."""

    def on_end(self, run: RunTruth, kind: EndKind) -> None:
        super().on_end(run, kind)
        truth = self.jobs[run.key.task.step.job_id]
        if truth.cancelled_at is None or kind is not EndKind.DONE:
            return
        at = asyncio.get_running_loop().time()
        known_at = max(truth.cancelled_at, self.store_back_at, self.disturbed_until)
        if at > known_at + CANCEL_SECONDS + STOP_DELAY_SECONDS + STOP_SLACK_SECONDS:
            self.report("UNASKED", f"{run.key} ran on after a cancel", at)


class CancelStorm(Storm):
    """Plays jobs that are cancelled soon after they were submitted, accepted or not."""

    def build_checker(self) -> StormChecker:
        return CancelChecker()

    def faults(self) -> list[Fault]:
        return [
            self.lose_late_answers,
            self.lose_late_answers,
            self.lose_late_answers,
            self.slow_store,
            self.silence_store,
            self.kill_instance,
            self.refuse_one_instance,
        ]

    async def lose_late_answers(self, seconds: float) -> None:
        """Let most writes be done seconds later, and not be answered."""
        self.world.store.lost_answer_share = LOST_SHARE
        self.world.store.delays_lost_commits = True
        await asyncio.sleep(seconds)
        self.world.store.lost_answer_share = 0.0

    async def submit_later(self, number: int) -> None:
        """Submit a job once, and cancel it whatever the answer was."""
        await asyncio.sleep(self.generator.uniform(0, TRAFFIC_SECONDS))
        name = job_id(number)
        at = self.generator.choice(sorted(self.world.processes))
        spec = JobSpec("payload", (StepSpec(2, SMALL),))
        result = await self.world.submit(name, spec, WORK_SECONDS, "normal", at)
        if isinstance(result, Success):
            self.accepted.append(name)
        else:
            kind = result.failure().kind
            refused = kind is not IntakeRefusalKind.OUTCOME_UNKNOWN
            self.checker.jobs[name].refused = refused
        await asyncio.sleep(self.generator.uniform(0.0, PATIENCE_SECONDS))
        await self.cancel(name)

    async def settle(self) -> None:
        """Wait until all late writes have been done, and what they led to is over."""
        await super().settle()
        await asyncio.sleep(LATE_WRITE_DELAY_SECONDS[1] + CANCEL_SECONDS + WORK_SECONDS)


async def play_cancel_storm(seed: int) -> StormReport:
    """Play the storm of a seed."""
    return await CancelStorm(seed).play()
