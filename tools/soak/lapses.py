"""Soak runs in which several runs of chosen tasks lapse, though no target crashes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path

import aiohttp

from egretloft._internal.fleet.models import JobSpec, TaskKey
from soak.cuts import ConstantFaultSoak
from soak.programs import Program
from soak.run import QUEUE_ATTEMPTS
from standins.fleet.checker import JobTruth, RunTruth
from standins.fleet.store import StoreMode
from standins.fleet.targets import EmulatedTarget

# The period of registration on the users' platform.
REGISTRATION_SECONDS = 1.5
# A fault follows the start of a chosen task's run within this time.
FAULT_DELAY_SECONDS = (0.0, 1.0)
# From a little over a lease (3.5 s) to beyond two, and three periods of registration.
LAPSE_SECONDS = (4.0, 14.0)
# Up to beyond three periods of registration, after which entries are removed.
OUTAGE_SECONDS = (2.0, 7.0)
# So many runs of a chosen task in a row meet a fault.
FAULTS_IN_SERIES = (3, 5)
CHOICE_SECONDS = 0.5
START_SECONDS = 15.0
TAKEOVERS_IN_SERIES = (2, 3)
TAKEOVER_SECONDS = (0.5, 4.0)
POLL_SECONDS = 0.02
# The work of a task that is chosen outlasts a lease, so that its runs do lapse.
LONG_WORK_SECONDS = (5.0, 8.0)
LONG_WORK_SHARE = 0.5
# Some tasks fail, less often than their queue allows or always.
FAILING_SHARE = 0.1
ALWAYS = 1000


class LapseSoak(ConstantFaultSoak):
    """A soak in which targets are cut off or paused just after chosen starts.

    So several runs of one task in series lapse, while the store is down at times and
    the leader changes. Some tasks fail and some crash their targets beside them.

    ``chosen_tasks`` are followed at a time. A share of ``crashing_share`` of the jobs,
    at most ``max_crashing_jobs`` at a time, has a task that crashes its targets.
    """

    chosen_tasks = 4
    crashing_share = 0.1
    max_crashing_jobs = 2

    job_interval_seconds = 0.5
    # Long enough at times for three runs in a row to lapse under one leader.
    fault_interval_seconds = (1.0, 10.0)
    long_work_seconds = LONG_WORK_SECONDS
    long_work_share = LONG_WORK_SHARE

    def __init__(
        self, seed: int, seconds: float, directory: Path, instances: int, targets: int
    ) -> None:
        super().__init__(seed, seconds, directory, instances, targets)
        self.platform.registration_period_seconds = REGISTRATION_SECONDS
        self.platform.removes_silent_targets = True
        # The faults of chosen tasks do not change the other faults of a seed.
        self.chooser = random.Random(seed)
        self.chosen: set[TaskKey] = set()

    # Load.

    def new_truth(self, spec: JobSpec) -> JobTruth:
        """Return what happens to the tasks of a new job; some crash or fail.

        The members of a gang do not fail, as their failures add up.
        """
        truth = super().new_truth(spec)
        draw = self.generator.random()
        if draw < self.crashing_share and self.crashing_jobs() < self.max_crashing_jobs:
            truth.crashing_tasks = frozenset({0})
        elif draw > 1 - FAILING_SHARE and not spec.steps[0].gang:
            truth.work_seconds = self.generator.uniform(0.2, 1.0)
            truth.failing_attempts = self.generator.choice(
                (QUEUE_ATTEMPTS - 2, QUEUE_ATTEMPTS - 1, ALWAYS)
            )
        return truth

    def crashing_jobs(self) -> int:
        """Return how many jobs with a crashing task have not ended."""
        return sum(
            bool(truth.crashing_tasks) and job_id not in self.ended
            for job_id, truth in self.accepted.items()
        )

    # Faults in general.

    def fault_kinds(self) -> list[Callable[[], Awaitable[str]]]:
        """Return the kinds of faults beside those that follow chosen tasks."""
        return [
            *[self.fail_store] * 4,
            *[self.take_over_in_series] * 2,
            self.cut_zone_of_leader,
            self.cut_zone,
            self.cut_from_targets,
            self.cut_from_store,
            self.kill,
            self.pause,
            self.terminate,
            self.lose_answers,
            self.fail_target,
            self.silence_connections,
        ]

    def victim(self) -> Program:
        """Return the leader, if there is one."""
        return self.leader() or super().victim()

    async def take_over_in_series(self) -> str:
        """Kill, pause or terminate the leader, and its successors after it."""
        kinds = (self.kill, self.pause, self.terminate)
        for _ in range(self.generator.randint(*TAKEOVERS_IN_SERIES)):
            self.note(await self.generator.choice(kinds)())
            await asyncio.sleep(self.generator.uniform(*TAKEOVER_SECONDS))
        return "end of takeovers in series"

    async def fail_store(self) -> str:
        """Let the store be down; the entries of some targets expire meanwhile."""
        seconds = self.generator.uniform(*OUTAGE_SECONDS)
        share = self.generator.choice((0.0, 0.5, 1.0))
        self.platform.removed_in_outages = {
            name for name in self.targets if self.generator.random() < share
        }
        self.store.mode = self.generator.choice((StoreMode.REFUSES, StoreMode.SILENT))
        self.call_after(seconds, lambda: setattr(self.store, "mode", StoreMode.WORKS))
        return f"store {self.store.mode} for {seconds:.1f} s, entries expire: {share}"

    # Faults that follow chosen tasks.

    def background(
        self, session: aiohttp.ClientSession
    ) -> list[Coroutine[object, object, None]]:
        """Return what goes on beside the faults until they end."""
        chosen = [self.follow_tasks() for _ in range(self.chosen_tasks)]
        return [*super().background(session), *chosen]

    async def follow_tasks(self) -> None:
        """Choose one task after the other, and let faults follow its starts."""
        while True:
            await asyncio.sleep(CHOICE_SECONDS)
            tasks = self.tasks_to_choose()
            if not tasks:
                continue
            task = self.chooser.choice(tasks)
            self.chosen.add(task)
            await self.follow(task)

    def tasks_to_choose(self) -> list[TaskKey]:
        """Return the sound tasks that have just started and were not chosen yet."""
        earliest = asyncio.get_running_loop().time() - FAULT_DELAY_SECONDS[1]
        return [
            task
            for task, runs in self.checker.running.items()
            if any(run.started_at >= earliest for run in runs)
            and task not in self.chosen
            and task.step.job_id not in self.ended
            and self.is_sound(self.checker.jobs[task.step.job_id])
        ]

    def is_sound(self, truth: JobTruth) -> bool:
        """Return whether a job has long tasks that neither crash nor fail."""
        if truth.crashing_tasks or truth.failing_attempts or truth.cancel_sent:
            return False
        return truth.work_seconds >= LONG_WORK_SECONDS[0]

    async def follow(self, task: TaskKey) -> None:
        """Let faults hit the targets of the next runs of a task, just after a start."""
        attempt = 0
        for _ in range(self.chooser.randint(*FAULTS_IN_SERIES)):
            run = await self.next_run(task, attempt)
            if run is None:
                return
            attempt = run.key.attempt
            age = asyncio.get_running_loop().time() - run.started_at
            await asyncio.sleep(self.chooser.uniform(*FAULT_DELAY_SECONDS) - age)
            self.hit(run)

    async def next_run(self, task: TaskKey, after: int) -> RunTruth | None:
        """Wait for a run with a higher attempt number than ``after``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_SECONDS):
                while True:
                    for run in self.checker.running.get(task, ()):
                        if run.key.attempt > after:
                            return run
                    await asyncio.sleep(POLL_SECONDS)
        return None

    def hit(self, run: RunTruth) -> None:
        """Let a run lapse: cut its target off, or pause it, for some seconds."""
        target = self.targets[run.target_id]
        if target.cut or target.silent or target.is_paused():
            return
        seconds = self.chooser.uniform(*LAPSE_SECONDS)
        what, end = self.chooser.choice(
            (self.cut_target, self.cut_target_from_instances, self.pause_target)
        )(target)
        self.call_after(seconds, end)
        task = run.key.task
        age = asyncio.get_running_loop().time() - run.started_at
        self.note(
            f"{what} {target.target_id} for {seconds:.1f} s, {age:.2f} s after the "
            f"start of {task.step.job_id}/{task.index} attempt {run.key.attempt}"
        )

    def cut_target(self, target: EmulatedTarget) -> tuple[str, Callable[[], None]]:
        """Cut a target off from the instances and the store."""
        target.cut = True
        return "cut", target.come_back

    def cut_target_from_instances(
        self, target: EmulatedTarget
    ) -> tuple[str, Callable[[], None]]:
        """Cut a target off from the instances only."""
        target.silent = True
        return "cut from instances", lambda: setattr(target, "silent", False)

    def pause_target(self, target: EmulatedTarget) -> tuple[str, Callable[[], None]]:
        """Pause a target."""
        target.pause()
        return "pause", target.resumed.set

    async def end_faults(self) -> None:
        """End all faults that have not ended yet."""
        for target in self.targets.values():
            target.silent = False
            target.resumed.set()
        await super().end_faults()
