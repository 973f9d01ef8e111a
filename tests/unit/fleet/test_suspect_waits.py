"""How long a task that is suspected of a crash, and the rest of its step, may wait."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import product

import pytest

from egretloft._internal.fleet.crash_trials import CrashTrials
from egretloft._internal.fleet.decisions import TickContext
from egretloft._internal.fleet.scheduler import Scheduler
from egretloft._internal.fleet.tables import FleetTables, JobRow, TargetRow, TaskRow
from lib.fleet_builders import (
    SMALL,
    add_job,
    build_tables,
    build_target,
    build_trials,
    first_task,
    run_task,
    single_step,
)
from unit.fleet.test_placing import operators

NOW = 100.0
STEP_SECONDS = 0.05
HORIZON_SECONDS = 10.0
SUSPECT = 0
# A job of which nothing runs for this long, although there is room, was forgotten.
MAX_IDLE_SECONDS = 3.0


@dataclass
class LostSuspect:
    """A job of which a suspected task has just been lost with its target at ``NOW``."""

    tables: FleetTables
    job: JobRow
    trials: CrashTrials
    started: dict[int, float] = field(default_factory=dict)

    def play(self, seconds: float = HORIZON_SECONDS) -> None:
        """Decide again and again; note when each task would first start."""
        scheduler = Scheduler(self.tables)
        for number in range(round(seconds / STEP_SECONDS)):
            now = NOW + number * STEP_SECONDS
            self.trials.review(now)
            decisions = scheduler.decide(operators(), TickContext(now, 1_000.0))
            for placement in decisions.placements:
                for task, _ in placement.starts:
                    self.started.setdefault(task.key.index, now - NOW)


def lose_trial(
    tables: FleetTables, trials: CrashTrials, target: TargetRow, task: TaskRow
) -> None:
    """Start a suspected task alone on a target, and lose it with the target."""
    run = run_task(tables, target, task, SMALL, attempt=2, started_at=NOW)
    trials.begin(run, NOW)
    target.failed_at = NOW
    tables.remove_run(target, run)
    trials.on_lost(run, NOW, NOW)


def build_lost_suspect(
    gang: bool, target_is_back: bool, steady: bool, tasks: int = 3
) -> LostSuspect:
    """Return a job whose suspected task was lost, in a fleet that is idle."""
    targets = [build_target(number) for number in range(8)]
    tables = build_tables(*targets)
    job = add_job(tables, 1, single_step(tasks, gang=gang))
    task = first_task(job)
    step = job.step(task.key.step)
    step.ready_at = NOW - 10.0
    step.suspected = True
    task.crashed = {1}
    trials = build_trials(tables)
    lose_trial(tables, trials, targets[0], task)
    targets[0].reachable = target_is_back
    if target_is_back:
        targets[0].incarnation_ms = 1000
    if not steady:
        for target in targets:
            target.returned_at = NOW
    return LostSuspect(tables, job, trials)


@pytest.mark.parametrize("target_is_back", [False, True])
@pytest.mark.parametrize("steady", [False, True])
def test_other_tasks_of_the_step_do_not_wait_for_a_suspect(
    steady: bool, target_is_back: bool
) -> None:
    """Guards against sound tasks that stand still while a crash is evaluated."""
    lost = build_lost_suspect(False, target_is_back, steady)
    lost.play()
    assert lost.started[1] == lost.started[2] == 0.0
    assert lost.started[SUSPECT] > 0.0


def test_suspect_does_not_wait_for_the_evaluation_of_another() -> None:
    """Guards against suspects of one step whose waits add up."""
    lost = build_lost_suspect(False, target_is_back=False, steady=True)
    step = lost.job.step(first_task(lost.job).key.step)
    step.tasks[1].crashed = {1}
    lost.play()
    assert lost.started[1] == 0.0


def test_two_suspects_do_not_start_on_one_target_in_quarantine() -> None:
    """Guards against a sound task that crashes with another suspect each time."""
    tables = build_tables(build_target(0))
    tables.targets["target-0"].quarantined_until = NOW + HORIZON_SECONDS
    for number in (1, 2):
        job = add_job(tables, number, single_step(1))
        task = first_task(job)
        job.step(task.key.step).suspected = True
        job.step(task.key.step).ready_at = NOW - HORIZON_SECONDS
        task.crashed = {1}
    decisions = Scheduler(tables).decide(operators(), TickContext(NOW, 1_000.0))
    assert decisions.starts == 1


def test_suspect_is_started_again_in_time() -> None:
    """Guards against an idle fleet while a crash is evaluated at length."""
    waits: list[float] = []
    for gang, target_is_back, steady in product((False, True), repeat=3):
        lost = build_lost_suspect(gang, target_is_back, steady)
        lost.play()
        waits.append(lost.started[SUSPECT])
    assert max(waits) < MAX_IDLE_SECONDS
