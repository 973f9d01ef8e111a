"""Trials of tasks that are suspected of crashing their targets, and what they show."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from egretloft._internal.fleet.crash_suspects import (
    ALONE_PATIENCE_SECONDS,
    has_failed_since,
)
from egretloft._internal.fleet.lifecycle import update_state
from egretloft._internal.fleet.tables import FleetTables, JobRow, RunRow, TargetRow
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# This many targets near that of a trial are watched, those of its rack first.
WATCHED_TARGETS = 3
# They are watched from the start of the trial until it is evaluated.
WATCH_SECONDS = 8.0
# A watched target's failure may be noticed this much later than that of the trial's.
EVALUATION_DELAY_SECONDS = 1.5
# It may also be noticed earlier, or have come just before the start.
WATCH_MARGIN_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class LostTrial:
    """A trial whose target has crashed; it is evaluated at ``evaluate_at``."""

    run: RunRow
    evaluate_at: float


class CrashTrials:
    """Watches the surroundings of trials and counts crashes against their tasks.

    ``on_job_changed`` is called for a job whose count has changed, ``wake_session`` for
    a target that is to be watched.
    """

    def __init__(
        self,
        tables: FleetTables,
        metrics: Metrics,
        on_job_changed: Callable[[JobRow], None],
        wake_session: Callable[[str], None],
    ) -> None:
        self.tables = tables
        self.metrics = metrics
        self.on_job_changed = on_job_changed
        self.wake_session = wake_session
        self.lost: list[LostTrial] = []

    def begin(self, run: RunRow, now: float) -> None:
        """Watch some targets near that of a trial, and record the trial."""
        if run.task is None or run.job is None:
            return
        run.trial = True
        run.task.unresolved.add(run.key.attempt)
        self.on_job_changed(run.job)
        target = self.tables.targets[run.target_id]
        watched = self.nearby_targets(target)[:WATCHED_TARGETS]
        for neighbour in watched:
            neighbour.watched_until = now + WATCH_SECONDS
            self.wake_session(neighbour.report.target_id)
        run.watched_targets = tuple(watched)

    def nearby_targets(self, target: TargetRow) -> list[TargetRow]:
        """Return the usable targets of the same zone, those of the same rack first."""
        report = target.report
        nearby = [
            other
            for other in self.tables.targets.values()
            if other is not target
            and other.report.zone == report.zone
            and other.listed
            and other.fenced
            and other.reachable
        ]
        return sorted(nearby, key=lambda other: other.report.rack != report.rack)

    def on_lost(self, run: RunRow, now: float) -> None:
        """Note that the target of a run crashed just after the run's start."""
        if run.job is None or run.task is None or run.job.is_final():
            return
        if not run.trial:
            self.count(run)
            return
        run.task.unresolved.add(run.key.attempt)
        run.task.in_evaluation = True
        evaluate_at = now + EVALUATION_DELAY_SECONDS
        step = run.job.step(run.key.task.step)
        step.alone_until = evaluate_at + ALONE_PATIENCE_SECONDS
        self.lost.append(LostTrial(run, evaluate_at))

    def review(self, now: float) -> None:
        """Evaluate the trials that are due."""
        due = [trial for trial in self.lost if now >= trial.evaluate_at]
        if not due:
            return
        self.lost = [trial for trial in self.lost if now < trial.evaluate_at]
        for trial in due:
            self.evaluate(trial.run)

    def evaluate(self, run: RunRow) -> None:
        """Count the crash of a trial, unless it is inconclusive.

        If it counts, so do the trials of which earlier leaders did not learn.
        """
        if run.task is None:
            return
        run.task.in_evaluation = False
        run.task.unresolved.discard(run.key.attempt)
        if not is_inconclusive(run):
            run.task.crashed |= run.task.unresolved
            run.task.unresolved.clear()
            self.count(run)
            return
        self.metrics.count("crash_trials_inconclusive")
        log.info(
            "crash not held against its task",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
        )

    def count(self, run: RunRow) -> None:
        """Count a crash against the task of a run, which may end its job."""
        if run.job is None or run.task is None or run.job.is_final():
            return
        run.task.crashed.add(run.key.attempt)
        run.job.step(run.key.task.step).suspected = True
        self.metrics.count("crashes_at_start")
        log.warning(
            "task suspected of a crash",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
            crashes=len(run.task.crashed),
        )
        update_state(run.job)
        self.on_job_changed(run.job)


def is_inconclusive(run: RunRow) -> bool:
    """Return whether targets near that of a trial failed too, without another cause.

    A watched target may have been crashed by another task. So its failure counts only
    if no run had just started there, unless all of them failed.
    """
    since = run.started_at - WATCH_MARGIN_SECONDS
    failed = [t for t in run.watched_targets if has_failed_since(t, since)]
    if any(not target.failure_explained for target in failed):
        return True
    return len(failed) > 1 and len(failed) == len(run.watched_targets)


def create_crash_trials(
    tables: FleetTables,
    metrics: Metrics,
    on_job_changed: Callable[[JobRow], None],
    wake_session: Callable[[str], None],
) -> CrashTrials:
    """Return the trials of one term."""
    return CrashTrials(tables, metrics, on_job_changed, wake_session)
