"""A storm in which targets fall silent just after starts, and leases lapse.

None of its faults crashes a target, so no job may be shown as failed.
"""

from __future__ import annotations

import asyncio

from egretloft._internal.fleet.models import JobSpec, JobState, StepSpec
from lib.fleet_builders import SMALL, fake_peers_factory, job_id
from lib.fleet_faults import Fault, Storm, StormReport
from lib.peer_fakes import PeerHub
from standins.fleet.store import StoreMode
from standins.fleet.targets import EmulatedTarget
from standins.fleet.world import TARGET_TABLE, FleetWorld

# These jobs are followed: their newest runs are what faults of targets hit.
FOLLOWED_JOBS = 3
FOLLOWERS_AMONG_FAULTS = 8
# How often in a row one fault hits the same job.
MAX_FAULTS_IN_A_ROW = 4
# A target falls silent at most this long after the start.
SILENT_AFTER_SECONDS = 1.2
# So that leases lapse before it answers again.
EXTRA_SILENCE_SECONDS = 4.0
POLL_SECONDS = 0.05
WAIT_SECONDS = 12.0
EXPIRED_SHARE = 0.6


class LapseStorm(Storm):
    """Follows some jobs, and lets the targets of their runs fall silent."""

    end_states = (JobState.COMPLETE, JobState.CANCELLED)

    def build_world(self, seed: int) -> FleetWorld:
        """Return a fleet with enough targets to let several fall silent at a time."""
        return FleetWorld(
            seed,
            fake_peers_factory(PeerHub()),
            instance_count=6,
            target_count=12,
            checker=self.checker,
        )

    def draw_spec(self) -> JobSpec:
        """Return a job of single tasks or a small gang."""
        gang = self.generator.random() < 0.4
        tasks = self.generator.randint(2, 3) if gang else self.generator.randint(1, 3)
        return JobSpec("payload", (StepSpec(tasks, SMALL, gang=gang),))

    def draw_work_seconds(self) -> float:
        """Return how long each task of a job runs; many outlast a fault."""
        return self.generator.uniform(1.0, 8.0)

    def faults(self) -> list[Fault]:
        return [
            *([self.silence_followed] * FOLLOWERS_AMONG_FAULTS),
            self.kill_instance,
            self.stop_instance,
            self.freeze_leader,
            self.expire_entries,
            self.refuse_calls,
            self.lose_answers,
        ]

    def newest_target(self, name: str, hit: set[int]) -> EmulatedTarget | None:
        """Return a target without a fault that runs an attempt not hit before."""
        for target in self.world.targets.values():
            if target.cut or target.silent:
                continue
            for key in target.runs:
                if key.task.step.job_id == name and key.attempt not in hit:
                    hit.add(key.attempt)
                    return target
        return None

    async def silence_followed(self, seconds: float) -> None:
        """Let the targets of a job's newest runs fall silent, one after the other."""
        name = job_id(self.generator.randrange(FOLLOWED_JOBS))
        loop = asyncio.get_running_loop()
        hit: set[int] = set()
        until = loop.time() + WAIT_SECONDS
        while len(hit) < MAX_FAULTS_IN_A_ROW and loop.time() < until:
            target = self.newest_target(name, hit)
            if target is None:
                await asyncio.sleep(POLL_SECONDS)
                continue
            await asyncio.sleep(self.generator.uniform(0.0, SILENT_AFTER_SECONDS))
            # An incomplete gang near a silent target is no violation.
            silent_until = loop.time() + seconds + EXTRA_SILENCE_SECONDS
            self.checker.disturbed_until = max(
                self.checker.disturbed_until, silent_until
            )
            fault = self.generator.choice(("cut", "silent"))
            setattr(target, fault, True)
            self.busy_targets.add(target.target_id)
            loop.call_at(silent_until, self.end_silence, target, fault)
            until = loop.time() + WAIT_SECONDS

    def end_silence(self, target: EmulatedTarget, fault: str) -> None:
        """Let a target answer again, in the same incarnation."""
        setattr(target, fault, False)
        self.busy_targets.discard(target.target_id)

    async def expire_entries(self, seconds: float) -> None:
        """Remove most entries of targets as the store fails; they register again."""
        self.world.store.mode = StoreMode.SILENT
        self.checker.store_back_at = float("inf")
        await asyncio.sleep(seconds)
        for name in self.world.targets:
            if self.generator.random() < EXPIRED_SHARE:
                self.world.store.put(TARGET_TABLE, name, None)
        self.world.store.mode = StoreMode.WORKS
        self.checker.store_back_at = asyncio.get_running_loop().time()

    async def settle(self) -> None:
        """Wait until all jobs have ended; none may be shown as failed."""
        await super().settle()
        for name in self.report.unfinished:
            if await self.world.state(name) is JobState.FAILED:
                now = asyncio.get_running_loop().time()
                self.checker.report("LOST", f"{name} is shown as failed", now)


async def play_lapse_storm(seed: int) -> StormReport:
    """Play the storm of a seed."""
    return await LapseStorm(seed).play()
