"""Scheduling of the waiting steps of one service in one tick."""

from __future__ import annotations

from egretloft._internal.fleet.crash_suspects import (
    has_silenced_targets,
    is_steady,
    suspects,
)
from egretloft._internal.fleet.decisions import (
    RECLAIMING_PRIORITY,
    Decisions,
    Placement,
    ReclaimDecision,
    TickContext,
)
from egretloft._internal.fleet.demands import UnplaceableDemands, demand_of
from egretloft._internal.fleet.guarantees import Guarantees
from egretloft._internal.fleet.lost_work import record_lost_work
from egretloft._internal.fleet.models import Resources
from egretloft._internal.fleet.overtaking import Overtaking
from egretloft._internal.fleet.placing import (
    FreeCapacity,
    Plan,
    create_spread_policy,
    free_capacity,
    note_rack_gpus,
    place_gang,
    place_tasks,
)
from egretloft._internal.fleet.queueing import WaitingStep
from egretloft._internal.fleet.reclaiming import (
    Claim,
    NoReclaimReason,
    PreemptibleCapacity,
    pinned_targets,
    plan_reclaim,
    plan_reservation,
    reclaim_delay_seconds,
)
from egretloft._internal.fleet.reservations import reserve_capacity
from egretloft._internal.fleet.tables import (
    FleetTables,
    StepRow,
    TargetRow,
    TaskRow,
)

# A step that has waited longer than this may use targets in quarantine.
QUARANTINE_FALLBACK_SECONDS = 2.5
# Free capacity of a target that nothing fits on, not even a task that needs none.
NOTHING_FREE = -1


def add_placement(
    step: StepRow, priority: int, plan: Plan | None, decisions: Decisions
) -> bool:
    """Add the tasks of a plan to the decisions; return whether there are any."""
    if plan is None or not plan.entries:
        return False
    starts = tuple((task, free.target) for task, free in plan.entries)
    decisions.placements.append(Placement(step, priority, starts))
    return True


def ready_suspects(step: StepRow, suspected: list[TaskRow]) -> list[TaskRow]:
    """Return the suspects that need not wait for what becomes of their targets.

    The members of a gang start together, so they wait for each other.
    """
    ready = [
        task
        for task in suspected
        if not task.in_evaluation and not has_silenced_targets(task)
    ]
    return ready if len(ready) == len(suspected) or not step.spec.gang else []


class ServiceTick:
    """Scheduling of one service's steps over its targets in one tick.

    ``targets`` may get new work, ``listed_targets`` are all targets of the service.
    ``last_arrival`` is when a job of the service last became ready.
    """

    def __init__(
        self,
        tables: FleetTables,
        targets: list[TargetRow],
        listed_targets: list[TargetRow],
        guarantees: Guarantees,
        context: TickContext,
        last_arrival: float,
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
        self.spread_policy = create_spread_policy(
            self.healthy_targets, context.now, (targets, listed_targets)
        )
        self.overtaking = Overtaking(
            context.now, (self.healthy_targets, targets, listed_targets), last_arrival
        )
        self.reserved: dict[str, Resources] = {}
        self.unplaceable = UnplaceableDemands()
        # By whether a guarantee entitles the steps, which may stop more runs then.
        self.unreclaimable = {False: UnplaceableDemands(), True: UnplaceableDemands()}
        self.unreservable = UnplaceableDemands()

    def schedule(self, waiting: WaitingStep, decisions: Decisions) -> None:
        """Start the tasks that fit; if none does, reclaim or reserve capacity."""
        step = waiting.step
        priority = waiting.job.accepted.priority
        spread = self.spread_policy.may_spread(step)
        waiting_tasks = step.waiting()
        suspected = suspects(step)
        skipped = set(suspected)
        tasks = [task for task in waiting_tasks if task not in skipped]
        stuck: list[TaskRow] = []
        if suspected:
            stuck = self.schedule_alone(waiting, spread, suspected, decisions)
        if not tasks and not stuck:
            return
        if tasks and self.place_sound(waiting, tasks, spread, decisions):
            return
        # A reclaim is for all waiting tasks, also for those that may not start now.
        if len(tasks) + len(stuck) < len(waiting_tasks):
            return
        if suspected or not self.overtake(waiting, spread, decisions):
            self.reclaim_or_reserve(waiting, priority, spread, decisions)

    def place_sound(
        self,
        waiting: WaitingStep,
        tasks: list[TaskRow],
        spread: bool,
        decisions: Decisions,
    ) -> bool:
        """Start as many of the tasks as fit; return whether any of them did."""
        step = waiting.step
        priority = waiting.job.accepted.priority
        demand = demand_of(step, spread, self.requires_healthy_targets(step))
        plan: Plan | None = None
        if not self.unplaceable.rules_out(demand):
            plan = self.place(step, tasks, spread)
            if add_placement(step, priority, plan, decisions) and plan is not None:
                self.note_taken(plan)
            if plan is None or len(plan.entries) < len(tasks):
                self.unplaceable.add(step, demand)
        return plan is not None and bool(plan.entries)

    def overtake(
        self, waiting: WaitingStep, spread: bool, decisions: Decisions
    ) -> bool:
        """Start tasks on what is reserved for gangs; return whether any may."""
        step = waiting.step
        capacities = self.allowed_capacities(step)
        plan = self.overtaking.plan(waiting, capacities, spread)
        if plan is not None:
            self.reserve(plan)
        return add_placement(step, waiting.job.accepted.priority, plan, decisions)

    def schedule_alone(
        self,
        waiting: WaitingStep,
        spread: bool,
        suspected: list[TaskRow],
        decisions: Decisions,
    ) -> list[TaskRow]:
        """Start tasks that are suspected of a crash on targets of their own.

        If there are none for a while, other targets will do, those in quarantine last,
        but none that runs another suspect, and for a task that has a crash held against
        it only steady ones. Nothing else is started there in this tick. Returns the
        suspects that could not be started although their patience has ended.
        """
        ready = ready_suspects(waiting.step, suspected)
        healthy = self.steady(self.healthy_capacities)
        idle = [free for free in healthy if self.is_idle(free.target)]
        left = self.start_alone(waiting, ready, idle, spread, decisions)
        left = [task for task in left if self.context.now > task.alone_until]
        allowed = self.allowed_capacities(waiting.step)
        if any(task.has_crashed() for task in ready):
            allowed = self.steady(allowed)
        for capacities in (healthy, allowed):
            left = self.start_alone(waiting, left, capacities, spread, decisions)
        return left

    def start_alone(
        self,
        waiting: WaitingStep,
        tasks: list[TaskRow],
        capacities: list[FreeCapacity],
        spread: bool,
        decisions: Decisions,
    ) -> list[TaskRow]:
        """Start suspects, and withhold their targets; return those that do not fit."""
        if not tasks:
            return []
        plan = self.place_on(waiting.step, tasks, capacities, spread)
        priority = waiting.job.accepted.priority
        if plan is None or not add_placement(waiting.step, priority, plan, decisions):
            return tasks
        self.withhold(plan)
        started = {task for task, _ in plan.entries}
        return [task for task in tasks if task not in started]

    def steady(self, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
        """Return the capacities of targets that have not come back lately."""
        now = self.context.now
        return [free for free in capacities if is_steady(free.target, now)]

    def is_idle(self, target: TargetRow) -> bool:
        """Return whether nothing runs on a target or is about to."""
        return not target.runs and target.report.target_id not in self.reserved

    def withhold(self, plan: Plan) -> None:
        """Keep all steps later in the order from the targets of a plan."""
        for _, planned in plan.entries:
            target = planned.target
            planned.cpu = planned.memory_mb = planned.gpus = NOTHING_FREE
            self.overtaking.withhold(target.report.target_id)
            self.reserved[target.report.target_id] = target.report.room

    def requires_healthy_targets(self, step: StepRow) -> bool:
        """Return whether the step may not use targets in quarantine yet."""
        return self.context.now - step.ready_at <= QUARANTINE_FALLBACK_SECONDS

    def place(self, step: StepRow, tasks: list[TaskRow], spread: bool) -> Plan | None:
        """Place all members of a gang, or as many of ``tasks`` as fit."""
        return self.place_on(step, tasks, self.allowed_capacities(step), spread)

    def allowed_capacities(self, step: StepRow) -> list[FreeCapacity]:
        """Return the capacities of the targets that the step may use by now."""
        if self.requires_healthy_targets(step):
            return self.healthy_capacities
        return self.capacities

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
        """Stop other runs for a step; return whether tasks of it then fit."""
        demand = demand_of(step, spread or entitled, True)
        if self.unreclaimable[entitled].rules_out(demand, priority):
            return False
        outcome = plan_reclaim(
            self.preemptible,
            step,
            self.healthy_targets,
            self.reserved,
            Claim(priority, self.guarantees if entitled else None),
            spread,
        )
        if outcome is NoReclaimReason.INSUFFICIENT_RESOURCES:
            self.unreclaimable[entitled].add(step, demand, priority)
        if isinstance(outcome, NoReclaimReason):
            return False
        record_lost_work(self.preemptible.lost_work_cache, outcome.victims)
        for run in outcome.victims:
            run.note_stopping(self.context.now)
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
            now = self.context.now
            self.overtaking.note_reserved(
                reserve_capacity(step, plan, self.capacity_by_target, now)
            )
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


def create_service_tick(
    tables: FleetTables,
    targets: list[TargetRow],
    listed_targets: list[TargetRow],
    guarantees: Guarantees,
    context: TickContext,
    last_arrival: float,
) -> ServiceTick:
    """Return the tick of a service over the targets that may get new work."""
    return ServiceTick(
        tables, targets, listed_targets, guarantees, context, last_arrival
    )
