"""Suspicions that tasks have crashed their targets, and what becomes of them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import structlog

from egretloft._internal.fleet.crash_suspects import ALONE_PATIENCE_SECONDS
from egretloft._internal.fleet.lifecycle import update_state
from egretloft._internal.fleet.records import RunPlace
from egretloft._internal.fleet.suspicions import (
    Suspicion,
    TargetFate,
    fate_of_target,
    has_known_other_cause,
    has_other_cause,
    is_leaving,
)
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunRow,
    TargetRow,
    TaskRow,
)
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# This many targets near that of a trial are watched, those of its rack first.
WATCHED_TARGETS = 3
# They are watched from the start of the trial until it is evaluated.
WATCH_SECONDS = 8.0
# Another target's failure may be noticed this much later than that of the trial's.
EVALUATION_DELAY_SECONDS = 1.5
# A suspect waits at most this long to learn what has become of the target of its trial.
# The job must not stand still for 3 s.
MAX_EVALUATION_SECONDS = 2.5
# A crash is judged at most this long after the run was lost, while other targets that
# fell silent with it have not been heard from again.
MAX_JUDGEMENT_SECONDS = 12.0
# A target that has not been heard from for this long is not asked any more.
MAX_SILENCE_SECONDS = 60.0


class CrashTrials:
    """Suspects tasks of crashes, and holds against them those that are proven.

    ``on_job_changed`` is called for a job whose suspicions have changed,
    ``wake_session`` for a target that is to be watched.
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
        self.open: list[Suspicion] = []

    def restore(self, now: float, wall: float) -> None:
        """Take over the suspicions that an earlier leader stored.

        ``wall`` is the time of day, in seconds.
        """
        for job in self.tables.open_jobs.values():
            for step in job.steps.values():
                for task in step.tasks:
                    self.restore_task(job, task, now, wall)

    def restore_task(self, job: JobRow, task: TaskRow, now: float, wall: float) -> None:
        """Take over the suspicions of a task, which waits for the rest of its wait."""
        for attempt, place in task.unresolved.items():
            waited = max(0.0, wall - place.lost_at) if place.lost_at else 0.0
            if waited < MAX_EVALUATION_SECONDS:
                task.in_evaluation = True
            self.open.append(
                Suspicion(
                    *(job, task, attempt, place),
                    failed_at=now,
                    noted_at=now - min(waited, MAX_EVALUATION_SECONDS),
                    trial=True,
                    inherited=True,
                )
            )

    def begin(self, run: RunRow, now: float) -> None:
        """Watch some targets near that of a trial, and record the trial."""
        if run.task is None or run.job is None:
            return
        run.trial = True
        target = self.tables.targets[run.target_id]
        run.task.unresolved[run.key.attempt] = place_of(run, target)
        run.job.step(run.key.task.step).suspected = True
        self.on_job_changed(run.job)
        for neighbour in self.nearby_targets(target)[:WATCHED_TARGETS]:
            neighbour.watched_until = now + WATCH_SECONDS
            self.wake_session(neighbour.report.target_id)

    def on_confirmed(self, run: RunRow) -> None:
        """Record that the target of a trial has listed its run."""
        if run.task is None or run.job is None:
            return
        place = run.task.unresolved.get(run.key.attempt)
        if place is None or place.confirmed:
            return
        place = replace(place, confirmed=True)
        run.task.unresolved[run.key.attempt] = place
        for suspicion in self.open:
            if suspicion.task is run.task and suspicion.attempt == run.key.attempt:
                suspicion.place = place
        self.on_job_changed(run.job)

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

    def on_lost(self, run: RunRow, now: float, wall: float) -> None:
        """Suspect a run whose target failed just after the run's start.

        ``wall`` is the time of day, in seconds.
        """
        if run.job is None or run.task is None or run.job.is_final():
            return
        target = self.tables.targets[run.target_id]
        if target.report.draining:
            run.task.unresolved.pop(run.key.attempt, None)
            return
        place = replace(
            place_of(run, target),
            conclusive=run.trial and run.confirmed and run.on_steady_target,
            lost_at=wall,
        )
        suspicion = Suspicion(
            *(run.job, run.task, run.key.attempt, place),
            failed_at=target.failed_at,
            noted_at=now,
            trial=run.trial,
        )
        self.open.append(suspicion)
        target.watched_until = max(target.watched_until, now + WATCH_SECONDS)
        run.task.unresolved[run.key.attempt] = place
        step = run.job.step(run.key.task.step)
        step.suspected = True
        if run.trial:
            run.task.in_evaluation = True
            alone_until = now + EVALUATION_DELAY_SECONDS + ALONE_PATIENCE_SECONDS
            for task in step.tasks if step.spec.gang else [run.task]:
                task.alone_until = alone_until
        self.metrics.count("crashes_suspected")
        log.warning(
            "task suspected of a crash",
            **self.log_fields(suspicion),
            trial=run.trial,
            steady=run.on_steady_target,
            confirmed=run.confirmed,
            listed=target.listed,
            reachable=target.reachable,
            ran=round(target.last_answer - run.started_at, 3),
        )
        self.on_job_changed(run.job)

    def awaits(self, target: TargetRow) -> bool:
        """Return whether it matters if a target, or another one there, comes back."""
        target_id = target.report.target_id
        return any(suspicion.place.target_id == target_id for suspicion in self.open)

    def review(self, now: float) -> None:
        """Decide the suspicions of which the outcome is known by now."""
        if self.open:
            self.open = [s for s in self.open if not self.is_decided(s, now)]

    def is_decided(self, suspicion: Suspicion, now: float) -> bool:
        """Decide a suspicion if that is possible; return whether it was."""
        if not suspicion.is_open():
            self.end_evaluation(suspicion)
            return True
        waited = now - suspicion.noted_at
        fate = fate_of_target(self.tables, suspicion)
        if fate is TargetFate.SURVIVED or is_leaving(self.tables, suspicion):
            self.withdraw(suspicion)
            return True
        if fate is TargetFate.CRASHED and suspicion.known_at is None:
            suspicion.known_at = self.restarted_at(suspicion)
        if fate is TargetFate.UNKNOWN and waited >= MAX_EVALUATION_SECONDS:
            self.end_evaluation(suspicion)
        if waited >= MAX_SILENCE_SECONDS and fate is TargetFate.UNKNOWN:
            self.withdraw(suspicion)
            return True
        if now - (suspicion.known_at or suspicion.noted_at) < EVALUATION_DELAY_SECONDS:
            return False
        self.note_other_cause(suspicion)
        if fate is not TargetFate.CRASHED:
            return False
        self.end_evaluation(suspicion)
        if self.awaits_others(suspicion) and waited < MAX_JUDGEMENT_SECONDS:
            return False
        self.judge_crash(suspicion)
        return True

    def awaits_others(self, suspicion: Suspicion) -> bool:
        """Return whether targets that fell silent with that of a start are silent yet.

        They may have been cut off, or have crashed for the same reason.
        """
        return suspicion.place.conclusive and has_other_cause(
            self.tables, suspicion, self.suspected_targets()
        )

    def restarted_at(self, suspicion: Suspicion) -> float:
        """Return when the target restarted, or when the run was lost if that is later.

        It may restart again before the crash is judged.
        """
        target = self.tables.targets.get(suspicion.place.target_id)
        restarted_at = -math.inf if target is None else target.restarted_at
        return max(suspicion.noted_at, restarted_at)

    def note_other_cause(self, suspicion: Suspicion) -> None:
        """Store that other targets have crashed with that of a start, if they have."""
        place = suspicion.place
        if not place.conclusive:
            return
        suspected = self.suspected_targets()
        if has_known_other_cause(self.tables, suspicion, suspected):
            suspicion.place = replace(place, conclusive=False)
            suspicion.task.unresolved[suspicion.attempt] = suspicion.place
            self.on_job_changed(suspicion.job)

    def suspected_targets(self) -> set[str]:
        """Return the targets at which tasks are suspected to have crashed them."""
        return {suspicion.place.target_id for suspicion in self.open}

    def end_evaluation(self, suspicion: Suspicion) -> None:
        """Let the task of a trial start again, unless a later trial is evaluated."""
        if not suspicion.trial or not suspicion.task.in_evaluation:
            return
        later = (
            other.attempt > suspicion.attempt
            for other in self.open
            if other.task is suspicion.task and other.trial
        )
        if not any(later):
            suspicion.task.in_evaluation = False

    def withdraw(self, suspicion: Suspicion) -> None:
        """Drop the suspicion: the target has lived, has left, or stays silent."""
        self.end_evaluation(suspicion)
        suspicion.task.unresolved.pop(suspicion.attempt, None)
        self.metrics.count("crash_suspicions_withdrawn")
        log.info("suspicion of a crash withdrawn", **self.log_fields(suspicion))
        self.on_job_changed(suspicion.job)

    def judge_crash(self, suspicion: Suspicion) -> None:
        """Hold a crash against its task, which may end its job.

        It weighs less if it may have had another cause.
        """
        task = suspicion.task
        del task.unresolved[suspicion.attempt]
        place = suspicion.place
        proven = place.conclusive and place.confirmed
        conclusive = proven and not self.awaits_others(suspicion)
        held = task.crashed if conclusive else task.inconclusive
        held.add(suspicion.attempt)
        self.metrics.count("crashes_at_start", conclusive=str(conclusive).lower())
        log.warning(
            "crash held against its task",
            **self.log_fields(suspicion),
            crashes=len(task.crashed),
            inconclusive=len(task.inconclusive),
            conclusive=conclusive,
            trial=suspicion.trial,
            inherited=suspicion.inherited,
            confirmed=place.confirmed,
        )
        update_state(suspicion.job)
        self.on_job_changed(suspicion.job)

    def log_fields(self, suspicion: Suspicion) -> dict[str, object]:
        """Return the fields that each line about a suspicion has."""
        return {
            "request_id": suspicion.task.key.step.job_id,
            "task": suspicion.task.key.index,
            "attempt": suspicion.attempt,
            "target": suspicion.place.target_id,
            "incarnation": suspicion.place.incarnation_ms,
            "open_suspicions": len(suspicion.task.unresolved),
        }


def place_of(run: RunRow, target: TargetRow) -> RunPlace:
    """Return where a run was started, from which its outcome can be learnt later."""
    report = target.report
    return RunPlace(
        *(report.target_id, report.address, run.incarnation_ms),
        conclusive=run.on_steady_target,
        confirmed=run.confirmed,
    )


def create_crash_trials(
    tables: FleetTables,
    metrics: Metrics,
    on_job_changed: Callable[[JobRow], None],
    wake_session: Callable[[str], None],
) -> CrashTrials:
    """Return the trials of one term."""
    return CrashTrials(tables, metrics, on_job_changed, wake_session)
