"""Starts and stops runs as the leader has decided."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

import structlog

from egretloft._internal.fleet.crash_suspects import is_settled
from egretloft._internal.fleet.decisions import Placement, ReclaimDecision
from egretloft._internal.fleet.departures import runs_to_move
from egretloft._internal.fleet.interfaces import FleetClock
from egretloft._internal.fleet.lifecycle import runs_to_stop
from egretloft._internal.fleet.models import JobState, RunKey
from egretloft._internal.fleet.orders import Orders
from egretloft._internal.fleet.placing import required_resources
from egretloft._internal.fleet.tables import FleetTables, JobRow, RunPhase, RunRow
from egretloft._internal.fleet.target_health import quarantine, review_progress
from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

# An attempt number is the epoch shifted by this many bits plus a counter, so the
# numbers of a term are above those of all earlier terms.
ATTEMPTS_PER_TERM_BITS = 20


class RunOwner(Protocol):
    """The leader, as seen by the run control."""

    epoch: int

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
        """Run ``work`` in a task that is cancelled when the term ends."""

    def wake_session(self, target_id: str) -> None:
        """Let the session of a target look at its runs at once."""

    def on_trial_started(self, run: RunRow) -> None:
        """Note that a task suspected of a crash is started."""

    def on_job_changed(self, job: JobRow) -> None:
        """Schedule a write of the job's progress and wake the scheduling loop."""


class RunControl:
    """Changes the tables and sends the orders for what is started and stopped."""

    def __init__(
        self,
        owner: RunOwner,
        tables: FleetTables,
        orders: Orders,
        clock: FleetClock,
        metrics: Metrics,
    ) -> None:
        self.owner = owner
        self.tables = tables
        self.orders = orders
        self.clock = clock
        self.metrics = metrics
        self.attempts = 0

    def stop_unneeded(self, now: float, recovering: bool) -> None:
        """Stop the runs of ended jobs, done tasks and broken gangs."""
        for run in runs_to_stop(self.tables, now, recovering):
            self.stop(run, "not needed")

    def stop_departing(self, now: float) -> None:
        """Stop the runs whose targets leave before they can end."""
        for run in runs_to_move(self.tables, now):
            self.stop(run, "target leaving")

    def stop_stalled(self, now: float) -> None:
        """Stop runs that make no progress, and quarantine their targets."""
        stalled = review_progress(self.tables, now)
        for target_id in {run.target_id for run in stalled}:
            quarantine(self.tables.targets[target_id], now)
        for run in stalled:
            task = self.tables.task(run.key.task)
            if task is not None:
                task.failed_on.add(run.target_id)
            self.stop(run, "no progress")

    def stop(self, run: RunRow, why: str) -> None:
        """Stop a run; its resources stay in use until the target lists its end."""
        now = self.clock.boottime()
        run.note_stopping(now)
        run.stop_reason = why
        if run.job is not None:
            self.tables.touch(run.job)
        target = self.tables.targets[run.target_id]
        log.info(
            "run stopping",
            request_id=run.key.task.step.job_id,
            task=run.key.task.index,
            attempt=run.key.attempt,
            target=run.target_id,
            percent=run.percent,
            ran=round(now - run.started_at, 2),
            why=why,
        )
        self.metrics.count("stops", why=why)
        self.owner.wake_session(run.target_id)
        self.owner.spawn(self.orders.stop(target, run))

    def preempt(self, reclaim: ReclaimDecision, now: float) -> None:
        """Preempt the runs whose resources a waiting step needs."""
        step = reclaim.step
        log.info(
            "room reclaimed",
            request_id=step.key.job_id,
            step=step.key.step,
            tasks=len(step.tasks),
            waited=round(now - step.ready_at, 3),
            entitled=reclaim.entitled,
            lost_work=round(reclaim.lost_work, 1),
            stops=len(reclaim.victims),
            targets=sorted(step.pinned_target_ids)[:8],
        )
        for run in reclaim.victims:
            self.stop(run, "room reclaimed")

    def start_step(self, placement: Placement) -> None:
        """Start the placed tasks of a step under one new attempt number."""
        now = self.clock.boottime()
        step = placement.step
        job = self.tables.jobs[step.key.job_id]
        self.attempts += 1
        attempt = (self.owner.epoch << ATTEMPTS_PER_TERM_BITS) + self.attempts
        # The members of a gang all resume from the same checkpoint.
        gang_checkpoint = placement.starts[0][0].checkpoint if step.spec.gang else None
        for task, target in placement.starts:
            run = RunRow(
                key=RunKey(task.key, attempt),
                target_id=target.report.target_id,
                room=required_resources(step.spec),
                priority=placement.priority,
                phase=RunPhase.STARTING,
                started_at=now,
                percent_changed_at=now,
                incarnation_ms=target.incarnation_ms,
                on_steady_target=is_settled(target, now),
                checkpoint=(
                    task.checkpoint if gang_checkpoint is None else gang_checkpoint
                ),
                lasting=step.spec.lasting,
                gang=step.spec.gang,
                job=job,
                task=task,
            )
            task.run = run
            self.tables.add_run(target, run)
            if task.is_suspected():
                self.owner.on_trial_started(run)
            self.owner.wake_session(run.target_id)
            self.owner.spawn(self.orders.start(target, run))
        step.started = True
        racks = {target.report.rack for _, target in placement.starts}
        step.spread = step.spec.same_rack and len(racks) > 1
        self.metrics.count("starts", len(placement.starts))
        log.info(
            "step started",
            request_id=step.key.job_id,
            step=step.key.step,
            occurrence=step.key.occurrence,
            attempt=attempt,
            epoch=self.owner.epoch,
            service=placement.starts[0][1].report.service,
            targets=[target.report.target_id for _, target in placement.starts][:8],
            waited=round(now - step.ready_at, 3),
            expected=round(step.expected_seconds, 2),
            spread=step.spread,
        )
        if not job.started:
            job.started = True
            if job.state is JobState.QUEUED:
                job.state = JobState.ACTIVE
            self.owner.on_job_changed(job)


def create_run_control(
    owner: RunOwner,
    tables: FleetTables,
    orders: Orders,
    clock: FleetClock,
    metrics: Metrics,
) -> RunControl:
    """Return the run control of one term."""
    return RunControl(owner, tables, orders, clock, metrics)
