"""The scheduling tick: decides which waiting tasks start where and which runs to stop.

Decisions depend only on the tables, the operators' state and the time; the leader
carries them out.
"""

from __future__ import annotations

import math
import sys
from dataclasses import dataclass, field

import structlog

from egretloft._internal.fleet.crash_suspects import (
    is_steady,
    suspects,
    targets_on_trial,
)
from egretloft._internal.fleet.demands import UnplaceableDemands, demand_of
from egretloft._internal.fleet.guarantees import Guarantees, create_guarantees
from egretloft._internal.fleet.lifecycle import open_steps
from egretloft._internal.fleet.lost_work import record_lost_work
from egretloft._internal.fleet.models import OperatorState, Resources
from egretloft._internal.fleet.placing import (
    FreeCapacity,
    Plan,
    create_spread_policy,
    free_capacity,
    note_rack_gpus,
    place_gang,
    place_tasks,
)
from egretloft._internal.fleet.queueing import WaitingStep, sort_waiting
from egretloft._internal.fleet.reclaiming import (
    NoReclaimReason,
    PreemptibleCapacity,
    pinned_targets,
    plan_reclaim,
    plan_reservation,
    reclaim_delay_seconds,
)
from egretloft._internal.fleet.run_times import RunTimes, create_run_times
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    StepRow,
    TargetRow,
    TaskRow,
)

log = structlog.get_logger(__name__)

# A step that has waited longer than this may use targets in quarantine.
QUARANTINE_FALLBACK_SECONDS = 2.5
# While steps wait, decisions are reviewed at least this often: quarantines end,
# reservations expire and operators change zones without an event of a run.
MAX_REVIEW_SECONDS = 0.25
# Decisions are reviewed after this time if no more starts can be sent now.
FULL_BACKLOG_REVIEW_SECONDS = 0.05
# Only steps of this priority, the most urgent one, may preempt other runs.
RECLAIMING_PRIORITY = 0
MILLISECONDS = 1000.0
# Free capacity of a target that nothing fits on, not even a task that needs none.
NOTHING_FREE = -1


@dataclass(slots=True, frozen=True)
class Placement:
    """Tasks of one step to start together, each with its target."""

    step: StepRow
    priority: int
    starts: tuple[tuple[TaskRow, TargetRow], ...]


@dataclass(slots=True, frozen=True)
class ReclaimDecision:
    """Runs to stop for a waiting step.

    ``lost_work`` is in core-seconds; ``entitled`` tells whether the organisation's
    guarantee covers the step.
    """

    step: StepRow
    victims: tuple[RunRow, ...]
    lost_work: float
    entitled: bool


@dataclass(slots=True)
class Decisions:
    """Starts and stops that one tick decided on.

    Without an event, the next decision is due after ``review_seconds``.
    """

    placements: list[Placement] = field(default_factory=list)
    reclaims: list[ReclaimDecision] = field(default_factory=list)
    review_seconds: float = math.inf

    @property
    def starts(self) -> int:
        """The number of tasks to start."""
        return sum(len(placement.starts) for placement in self.placements)

    @property
    def stops(self) -> list[RunRow]:
        """The runs to stop."""
        return [run for reclaim in self.reclaims for run in reclaim.victims]


@dataclass(slots=True, frozen=True)
class TickContext:
    """Time of a tick, and whether runs of earlier terms may be unknown to the leader.

    ``now`` is in seconds on the boot-time clock, ``wall`` in Unix seconds. While
    ``recovering`` is true, tasks of jobs that were accepted before the leader's term
    may still run on a target that has not been fenced, so those jobs are not scheduled.
    No further step is placed once ``max_starts`` tasks are, and no further step of the
    most urgent priority once ``max_urgent_starts`` are.
    """

    now: float
    wall: float
    recovering: bool = False
    max_starts: int = sys.maxsize
    max_urgent_starts: int = sys.maxsize

    def may_place(self, priority: int, starts: int) -> bool:
        """Return whether a further step may be placed after this many starts."""
        if priority <= RECLAIMING_PRIORITY:
            return starts < self.max_urgent_starts
        return starts < self.max_starts


def usable_targets(
    tables: FleetTables, operators: OperatorState, service: str
) -> list[TargetRow]:
    """Return the targets of a service that may get new work.

    Targets in quarantine are included: they are the fallback of steps that have waited
    longer than ``QUARANTINE_FALLBACK_SECONDS``. Targets on which a task suspected of a
    crash has just started are not.
    """
    on_trial = targets_on_trial(tables)
    return [
        target
        for target in tables.targets.values()
        if target.report.service == service
        and target.listed
        and target.recorded
        and target.fenced
        and target.reachable
        and not target.report.draining
        and target.report.zone not in operators.evacuated_zones
        and target.report.target_id not in on_trial
    ]


def waiting_steps(
    tables: FleetTables, run_times: RunTimes, context: TickContext
) -> list[WaitingStep]:
    """Return the steps with tasks to start, in scheduling order.

    Jobs without such steps are removed from the startable jobs, unless occurrences of
    them are yet to become due.
    """
    found: list[WaitingStep] = []
    for job_id, job in list(tables.startable_jobs.items()):
        if context.recovering and job.known_before_term:
            continue
        waiting = False
        for step in open_steps(job, context.wall * MILLISECONDS, context.now):
            if is_startable(step):
                waiting = True
                step.expected_seconds = run_times.expected_seconds(job, step)
                found.append(WaitingStep(job, step))
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


def add_placement(
    step: StepRow, priority: int, plan: Plan | None, decisions: Decisions
) -> bool:
    """Add the tasks of a plan to the decisions; return whether there are any."""
    if plan is None or not plan.entries:
        return False
    starts = tuple((task, free.target) for task, free in plan.entries)
    decisions.placements.append(Placement(step, priority, starts))
    return True


class Scheduler:
    """Decides, service by service, what to start and what to stop."""

    def __init__(self, tables: FleetTables) -> None:
        self.tables = tables
        self.run_times = create_run_times()

    def decide(self, operators: OperatorState, context: TickContext) -> Decisions:
        """Return the decisions for this tick."""
        decisions = Decisions()
        services: dict[str, ServiceTick] = {}
        guarantees = create_guarantees(self.tables, operators)
        for waiting in waiting_steps(self.tables, self.run_times, context):
            priority = waiting.job.accepted.priority
            if not context.may_place(priority, decisions.starts):
                decisions.review_seconds = min(
                    decisions.review_seconds, FULL_BACKLOG_REVIEW_SECONDS
                )
                break
            service = waiting.job.accepted.service
            if service not in services:
                targets = usable_targets(self.tables, operators, service)
                services[service] = ServiceTick(
                    self.tables, targets, guarantees, context
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
        return decisions


def seconds_until_review(waiting: WaitingStep, now: float) -> float:
    """Return after how many seconds a waiting step may get other capacity."""
    waited = now - waiting.step.ready_at
    limits = [QUARANTINE_FALLBACK_SECONDS]
    if waiting.job.accepted.priority <= RECLAIMING_PRIORITY:
        limits.append(reclaim_delay_seconds(waiting.job))
    left = [limit - waited for limit in limits if limit > waited]
    return min([MAX_REVIEW_SECONDS, *left])


def seconds_until_occurrence(job: JobRow, wall: float) -> float:
    """Return the seconds until the job's next occurrence, or infinity."""
    for occurrence in range(job.occurrences()):
        left = job.due_at_ms(occurrence) / MILLISECONDS - wall
        if left > 0:
            return left
    return math.inf


class ServiceTick:
    """Scheduling of one service's steps over its targets in one tick."""

    def __init__(
        self,
        tables: FleetTables,
        targets: list[TargetRow],
        guarantees: Guarantees,
        context: TickContext,
    ) -> None:
        self.tables = tables
        self.guarantees = guarantees
        self.preemptible = PreemptibleCapacity(context.now)
        self.targets = targets
        self.context = context
        self.capacities: list[FreeCapacity] = [
            free_capacity(target) for target in targets
        ]
        note_rack_gpus(self.capacities)
        for free in self.capacities:
            free.quarantined = free.target.quarantined_until > context.now
        self.capacity_by_target = {
            free.target.report.target_id: free for free in self.capacities
        }
        self.healthy_capacities = [
            free for free in self.capacities if not free.quarantined
        ]
        self.healthy_targets = [free.target for free in self.healthy_capacities]
        self.spread_policy = create_spread_policy(self.healthy_targets, context.now)
        self.reserved: dict[str, Resources] = {}
        self.unplaceable = UnplaceableDemands()
        self.unreclaimable = UnplaceableDemands()
        self.unreservable = UnplaceableDemands()

    def schedule(self, waiting: WaitingStep, decisions: Decisions) -> None:
        """Start the tasks that fit; if none does, reclaim or reserve capacity."""
        step = waiting.step
        priority = waiting.job.accepted.priority
        spread = self.spread_policy.may_spread(step)
        suspected = suspects(step)
        if suspected and self.schedule_alone(waiting, spread, suspected, decisions):
            return
        demand = demand_of(step, spread, self.requires_healthy_targets(step))
        plan: Plan | None = None
        if not self.unplaceable.rules_out(demand):
            plan = self.place(step, step.waiting(), spread)
            if add_placement(step, priority, plan, decisions) and plan is not None:
                self.note_taken(plan)
            if plan is not None and len(plan.entries) == len(step.waiting()):
                return
            self.unplaceable.add(step, demand)
        if plan is None or not plan.entries:
            self.reclaim_or_reserve(waiting, priority, spread, decisions)

    def schedule_alone(
        self,
        waiting: WaitingStep,
        spread: bool,
        suspected: list[TaskRow],
        decisions: Decisions,
    ) -> bool:
        """Start tasks that are suspected of a crash on targets of their own.

        If there are none for a while, other targets will do, but none that runs another
        suspect. Nothing else is started there in this tick. Returns false if none of
        the tasks could be started and their patience has ended; otherwise the other
        tasks of the step get their turn in a later tick.
        """
        step = waiting.step
        if any(self.context.now < task.evaluate_at for task in suspected):
            return True
        healthy = self.healthy_capacities
        alone = [free for free in healthy if self.is_idle_and_steady(free.target)]
        plan = self.place_on(step, suspected, alone, spread)
        impatient = self.context.now > step.alone_until
        if impatient and (plan is None or not plan.entries):
            plan = self.place_on(step, suspected, healthy, spread)
        priority = waiting.job.accepted.priority
        if add_placement(step, priority, plan, decisions) and plan is not None:
            self.withhold(plan)
            return True
        return not impatient

    def is_idle_and_steady(self, target: TargetRow) -> bool:
        """Return whether nothing runs on a target, which has not come back lately."""
        is_taken = target.report.target_id in self.reserved
        return not target.runs and not is_taken and is_steady(target, self.context.now)

    def withhold(self, plan: Plan) -> None:
        """Keep all steps later in the order from the targets of a plan."""
        for _, planned in plan.entries:
            target = planned.target
            planned.cpu = planned.memory_mb = planned.gpus = NOTHING_FREE
            self.reserved[target.report.target_id] = target.report.room

    def requires_healthy_targets(self, step: StepRow) -> bool:
        """Return whether the step may not use targets in quarantine yet."""
        return self.context.now - step.ready_at <= QUARANTINE_FALLBACK_SECONDS

    def place(self, step: StepRow, tasks: list[TaskRow], spread: bool) -> Plan | None:
        """Place all members of a gang, or as many of ``tasks`` as fit."""
        capacities = (
            self.healthy_capacities
            if self.requires_healthy_targets(step)
            else self.capacities
        )
        return self.place_on(step, tasks, capacities, spread)

    def place_on(
        self,
        step: StepRow,
        tasks: list[TaskRow],
        capacities: list[FreeCapacity],
        spread: bool,
    ) -> Plan | None:
        """Place all members of a gang, or as many of ``tasks`` as fit, on targets."""
        if step.spec.gang:
            return place_gang(step, capacities, spread)
        return place_tasks(step, tasks, capacities)

    def reclaim_or_reserve(
        self,
        waiting: WaitingStep,
        priority: int,
        spread: bool,
        decisions: Decisions,
    ) -> None:
        """Reclaim capacity for an urgent step, or reserve it for a gang."""
        step = waiting.step
        waited = self.context.now - step.ready_at
        if priority > RECLAIMING_PRIORITY:
            self.reserve_for_gang(step, priority, spread)
            return
        if waited < reclaim_delay_seconds(waiting.job):
            if not self.reclaim(step, priority, spread, False, decisions):
                self.reserve_for_gang(step, priority, spread)
            return
        # The guarantee may be exceeded by now, but runs have been stopped for the step.
        entitled = (
            self.guarantees.covers(waiting.job)
            or self.context.now < step.reclaimed_until
        )
        self.reclaim(step, priority, spread, entitled, decisions)

    def reclaim(
        self,
        step: StepRow,
        priority: int,
        spread: bool,
        entitled: bool,
        decisions: Decisions,
    ) -> bool:
        """Stop lower-priority runs for a step; return whether tasks of it then fit."""
        demand = demand_of(step, spread or entitled, True)
        if self.unreclaimable.rules_out(demand, priority):
            return False
        outcome = plan_reclaim(
            self.preemptible,
            step,
            self.healthy_targets,
            self.reserved,
            priority,
            spread,
            entitled,
        )
        if outcome is NoReclaimReason.INSUFFICIENT_RESOURCES:
            self.unreclaimable.add(step, demand, priority)
        if isinstance(outcome, NoReclaimReason):
            return False
        record_lost_work(self.preemptible.lost_work_cache, outcome.victims)
        for run in outcome.victims:
            run.phase = RunPhase.STOPPING
        if outcome.victims:
            decisions.reclaims.append(
                ReclaimDecision(step, outcome.victims, outcome.lost_work, entitled)
            )
        elif self.start_planned(step, priority, outcome.plan, decisions):
            return True
        self.reserve(outcome.plan)
        return True

    def start_planned(
        self, step: StepRow, priority: int, plan: Plan, decisions: Decisions
    ) -> bool:
        """Start the tasks of a plan if what it takes is free; return whether it is.

        It is not while runs that were stopped earlier have not ended yet.
        """
        taken: dict[str, Resources] = {}
        for _, planned in plan.entries:
            target_id = planned.target.report.target_id
            before = taken.get(target_id, Resources())
            taken[target_id] = before.plus(plan.task_resources)
        if not all(
            self.capacity_by_target[target_id].holds(needed)
            for target_id, needed in taken.items()
        ):
            return False
        self.reserve(plan)
        return add_placement(step, priority, plan, decisions)

    def reserve_for_gang(self, step: StepRow, priority: int, spread: bool) -> None:
        """Reserve the capacity that a waiting gang will get once runs have ended."""
        demand = demand_of(step, spread, True)
        if not step.spec.gang or self.unreservable.rules_out(demand, priority):
            return
        plan = plan_reservation(
            self.preemptible,
            step,
            self.healthy_targets,
            self.reserved,
            priority,
            spread,
        )
        if plan is not None:
            self.reserve(plan)
        elif not pinned_targets(step, self.healthy_targets, self.context.now):
            self.unreservable.add(step, demand, priority)

    def reserve(self, plan: Plan) -> None:
        """Take the planned capacity, so that steps later in the order cannot use it."""
        for _, planned in plan.entries:
            target_id = planned.target.report.target_id
            self.capacity_by_target[target_id].take(plan.task_resources)
        self.note_taken(plan)

    def note_taken(self, plan: Plan) -> None:
        """Withhold what a plan takes from reclaims of steps later in the order."""
        for _, planned in plan.entries:
            target_id = planned.target.report.target_id
            already_reserved = self.reserved.get(target_id, Resources())
            self.reserved[target_id] = already_reserved.plus(plan.task_resources)
