"""The scheduling tick: decides which waiting tasks start where and which runs to stop.

Decisions depend only on the tables, the operators' state and the time; the leader
carries them out.
"""

from __future__ import annotations

import math

import structlog

from egretloft._internal.fleet.crash_suspects import targets_on_trial
from egretloft._internal.fleet.decisions import (
    RECLAIMING_PRIORITY,
    Decisions,
    TickContext,
)
from egretloft._internal.fleet.guarantees import create_guarantees
from egretloft._internal.fleet.lifecycle import open_steps
from egretloft._internal.fleet.models import OperatorState
from egretloft._internal.fleet.queue_services import (
    QueueServices,
    create_queue_services,
    listed_targets,
)
from egretloft._internal.fleet.queueing import WaitingStep, sort_waiting
from egretloft._internal.fleet.reclaiming import reclaim_delay_seconds
from egretloft._internal.fleet.run_times import RunTimes, create_run_times
from egretloft._internal.fleet.service_tick import (
    QUARANTINE_FALLBACK_SECONDS,
    ServiceTick,
    create_service_tick,
)
from egretloft._internal.fleet.tables import FleetTables, JobRow, StepRow, TargetRow
from egretloft._internal.fleet.wait_report import create_wait_report

log = structlog.get_logger(__name__)

# While steps wait, decisions are reviewed at least this often: quarantines end,
# reservations expire and operators change zones without an event of a run.
MAX_REVIEW_SECONDS = 0.25
# While occurrences are to come, decisions are reviewed at least this often: the wall
# clock, by which they become due, may jump.
MAX_OCCURRENCE_REVIEW_SECONDS = 0.25
# Decisions are reviewed after this time if no more starts can be sent now.
FULL_BACKLOG_REVIEW_SECONDS = 0.05
MILLISECONDS = 1000.0


def usable_targets(
    tables: FleetTables, operators: OperatorState, service: str
) -> list[TargetRow]:
    """Return the targets of a service that may get new work.

    Targets in quarantine are included: they are the fallback of steps that have waited
    longer than ``QUARANTINE_FALLBACK_SECONDS``. Targets on which a task suspected of a
    crash has just started are not, nor those that have not registered since a restart.
    """
    on_trial = targets_on_trial(tables)
    return [
        target
        for target in listed_targets(tables, service)
        if target.recorded
        and target.fenced
        and target.reachable
        and target.is_readable
        and target.is_report_current()
        and not target.report.draining
        and target.report.zone not in operators.evacuated_zones
        and target.report.target_id not in on_trial
    ]


def waiting_steps(
    tables: FleetTables,
    run_times: RunTimes,
    queue_services: QueueServices,
    context: TickContext,
) -> list[WaitingStep]:
    """Return the steps with tasks to start, in scheduling order.

    Jobs without such steps are removed from the startable jobs, unless occurrences of
    them are yet to become due.
    """
    found: list[WaitingStep] = []
    for job_id, job in list(tables.startable_jobs.items()):
        if context.recovering and job.known_before_term:
            continue
        if job_id in context.in_doubt:
            continue
        waiting = False
        for step in open_steps(job, context.wall * MILLISECONDS, context.now):
            if is_startable(step):
                waiting = True
                step.expected_seconds = run_times.expected_seconds(job, step)
                service = queue_services.choose(job.accepted, step)
                found.append(WaitingStep(job, step, service))
        if not waiting and not has_future_occurrences(job, context.wall):
            del tables.startable_jobs[job_id]
    return sort_waiting(found, context.wall, context.now)


def has_future_occurrences(job: JobRow, wall: float) -> bool:
    """Return whether an occurrence of the job is not due yet."""
    return job.due_at_ms(job.occurrences() - 1) > wall * MILLISECONDS


def is_startable(step: StepRow) -> bool:
    """Return whether the step has tasks to start; a gang needs all its tasks idle."""
    if step.spec.gang:
        return all(task.run is None and not task.done for task in step.tasks)
    return any(task.run is None and not task.done for task in step.tasks)


class Scheduler:
    """Decides, service by service, what to start and what to stop."""

    def __init__(self, tables: FleetTables) -> None:
        self.tables = tables
        self.run_times = create_run_times()
        self.queue_services = create_queue_services(tables)
        self.wait_report = create_wait_report()
        self.last_arrivals: dict[str, float] = {}

    def decide(self, operators: OperatorState, context: TickContext) -> Decisions:
        """Return the decisions for this tick."""
        decisions = Decisions()
        services: dict[str, ServiceTick] = {}
        guarantees = create_guarantees(self.tables, operators)
        self.queue_services.update(operators.configuration)
        queue = waiting_steps(self.tables, self.run_times, self.queue_services, context)
        self.note_arrivals(queue)
        for waiting in queue:
            priority = waiting.job.accepted.priority
            if not context.may_place(priority, decisions.starts):
                decisions.review_seconds = min(
                    decisions.review_seconds, FULL_BACKLOG_REVIEW_SECONDS
                )
                break
            service = waiting.service
            if service not in services:
                services[service] = create_service_tick(
                    self.tables,
                    usable_targets(self.tables, operators, service),
                    listed_targets(self.tables, service),
                    guarantees,
                    context,
                    self.last_arrivals.get(service, -math.inf),
                )
            try:
                services[service].schedule(waiting, decisions)
            except Exception:
                # The other steps, and the term, must not depend on this one.
                log.exception(
                    "step cannot be scheduled",
                    request_id=waiting.step.key.job_id,
                    step=waiting.step.key.step,
                )
            decisions.review_seconds = min(
                decisions.review_seconds, seconds_until_review(waiting, context.now)
            )
        for job in self.tables.startable_jobs.values():
            decisions.review_seconds = min(
                decisions.review_seconds, seconds_until_occurrence(job, context.wall)
            )
        self.wait_report.review(queue, services, context.now)
        return decisions

    def note_arrivals(self, queue: list[WaitingStep]) -> None:
        """Note when a job of each service last became ready."""
        for waiting in queue:
            if waiting.step.spec.after:
                continue
            service = waiting.service
            before = self.last_arrivals.get(service, -math.inf)
            self.last_arrivals[service] = max(before, waiting.step.ready_at)


def seconds_until_review(waiting: WaitingStep, now: float) -> float:
    """Return after how many seconds a waiting step may get other capacity."""
    waited = now - waiting.step.ready_at
    limits = [QUARANTINE_FALLBACK_SECONDS]
    if waiting.job.accepted.priority <= RECLAIMING_PRIORITY:
        limits.append(reclaim_delay_seconds(waiting.job))
    left = [limit - waited for limit in limits if limit > waited]
    return min([MAX_REVIEW_SECONDS, *left])


def seconds_until_occurrence(job: JobRow, wall: float) -> float:
    """Return after how many seconds an occurrence may become due, or infinity.

    That is at most ``MAX_OCCURRENCE_REVIEW_SECONDS`` while occurrences are to come.
    """
    for occurrence in range(job.occurrences()):
        left = job.due_at_ms(occurrence) / MILLISECONDS - wall
        if left > 0:
            return min(left, MAX_OCCURRENCE_REVIEW_SECONDS)
    return math.inf
