"""Trials of tasks that are suspected of crashing their targets, and what they show."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from egretloft._internal.fleet.crash_suspects import (
    ALONE_PATIENCE_SECONDS,
    has_stayed_away,
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
# A crashed target is back after some seconds. If it is not, it may be cut off only.
MAX_EVALUATION_SECONDS = 6.0
# So many trials without a known outcome are no coincidence if another one has crashed.
MIN_UNRESOLVED = 2
# Failures that are noticed within this time of each other may have one cause: a call
# to a target that does not answer takes up to 1.6 s to fail.
SIMULTANEOUS_SECONDS = 2.0
# More watched targets than this do not fail at once through tasks of their own.
MAX_UNRELATED_FAILURES = 1


@dataclass(slots=True, eq=False)
class LostTrial:
    """A trial whose target has failed.

    It is evaluated at ``evaluate_at``, or later if it is not known yet whether the
    target has crashed, at ``latest_at`` in any case.
    """

    run: RunRow
    target: TargetRow
    failed_at: float
    evaluate_at: float
    latest_at: float

    def is_due(self, now: float) -> bool:
        """Return whether the trial can be evaluated now."""
        if now < self.evaluate_at:
            return False
        return now >= self.latest_at or self.target.reachable or has_crashed(self)


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
        """Note that the target of a run failed just after the run's start."""
        if run.job is None or run.task is None or run.job.is_final():
            return
        target = self.tables.targets[run.target_id]
        if not run.trial:
            self.count(run, target)
            return
        run.task.unresolved.add(run.key.attempt)
        run.task.in_evaluation = True
        evaluate_at = now + EVALUATION_DELAY_SECONDS
        step = run.job.step(run.key.task.step)
        for task in step.tasks if step.spec.gang else [run.task]:
            task.alone_until = evaluate_at + ALONE_PATIENCE_SECONDS
        latest_at = now + MAX_EVALUATION_SECONDS
        trial = LostTrial(run, target, target.failed_at, evaluate_at, latest_at)
        self.lost.append(trial)

    def review(self, now: float) -> None:
        """Evaluate the trials that are due."""
        due = [trial for trial in self.lost if trial.is_due(now)]
        if not due:
            return
        self.lost = [trial for trial in self.lost if trial not in due]
        for trial in due:
            self.evaluate(trial)

    def evaluate(self, trial: LostTrial) -> None:
        """Count the crash of a trial, unless it is inconclusive.

        If it counts, so do several trials of which the outcome was never known: those
        of targets that did not come back, and those under way when a leader failed.
        """
        task = trial.run.task
        if task is None:
            return
        task.in_evaluation = False
        crashed = has_crashed(trial)
        if not crashed and not trial.target.reachable:
            return
        task.unresolved.discard(trial.run.key.attempt)
        if crashed and not is_inconclusive(trial):
            if len(task.unresolved) >= MIN_UNRESOLVED:
                task.crashed |= task.unresolved
                task.unresolved.clear()
            self.count(trial.run, trial.target)
            return
        self.metrics.count("crash_trials_inconclusive")
        log.info(
            "crash not held against its task",
            request_id=trial.run.key.task.step.job_id,
            task=trial.run.key.task.index,
            attempt=trial.run.key.attempt,
            target=trial.run.target_id,
            crashed=crashed,
        )

    def count(self, run: RunRow, target: TargetRow) -> None:
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
            trial=run.trial,
            restarted=target.incarnation_ms != run.incarnation_ms,
            replaced=target.replaced,
            listed=target.listed,
            reachable=target.reachable,
            ran=round(target.last_answer - run.started_at, 3),
            unresolved=sorted(run.task.unresolved),
        )
        update_state(run.job)
        self.on_job_changed(run.job)


def has_crashed(trial: LostTrial) -> bool:
    """Return whether the target has restarted or is gone.

    One that comes back under another id is often known only by being listed no longer.
    """
    target = trial.target
    restarted = target.incarnation_ms != trial.run.incarnation_ms
    return restarted or target.replaced or not target.listed


def is_inconclusive(trial: LostTrial) -> bool:
    """Return whether targets near that of a trial failed with it.

    A single one may have been crashed by another task that had just started there.
    """
    failed = [
        target
        for target in trial.run.watched_targets
        if abs(target.failed_at - trial.failed_at) <= SIMULTANEOUS_SECONDS
        and has_stayed_away(target)
    ]
    if any(not target.failure_explained for target in failed):
        return True
    return len(failed) > MAX_UNRELATED_FAILURES


def create_crash_trials(
    tables: FleetTables,
    metrics: Metrics,
    on_job_changed: Callable[[JobRow], None],
    wake_session: Callable[[str], None],
) -> CrashTrials:
    """Return the trials of one term."""
    return CrashTrials(tables, metrics, on_job_changed, wake_session)
