"""The scheduling tick: which waiting tasks start where, and which runs make room.

Pure decisions over the tables; the leader carries them out.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from egretloft._internal.fleet.demands import HopelessDemands, demand_of
from egretloft._internal.fleet.guarantees import Guarantees, create_guarantees
from egretloft._internal.fleet.lifecycle import open_steps
from egretloft._internal.fleet.models import OperatorState, Resources
from egretloft._internal.fleet.placing import (
    FreeRoom,
    Plan,
    create_spreading,
    free_room,
    place_gang,
    place_tasks,
)
from egretloft._internal.fleet.queueing import WaitingStep, ordered
from egretloft._internal.fleet.reclaiming import (
    LowerPriorityRooms,
    NoReclaim,
    kept_targets,
    note_reclaimed,
    plan_reclaim,
    plan_reservation,
    reclaim_patience_seconds,
)
from egretloft._internal.fleet.run_times import RunTimes, create_run_times
from egretloft._internal.fleet.tables import (
    FleetTables,
    RunPhase,
    RunRow,
    StepRow,
    TargetRow,
    TaskRow,
)

# A step that has waited for this long may use targets in quarantine.
LAST_RESORT_SECONDS = 2.5
# Only the most urgent queues may take room from others.
RECLAIMING_PRIORITY = 0
MILLISECONDS = 1000.0


@dataclass(slots=True, frozen=True)
class Placement:
    """Tasks of one step to start together, each with its target."""

    step: StepRow
    priority: int
    starts: tuple[tuple[TaskRow, TargetRow], ...]


@dataclass(slots=True, frozen=True)
class RoomReclaimed:
    """Runs to stop for a waiting step, and what decided it.

    ``lost_work`` is in core-seconds; ``entitled`` tells whether the organisation's
    guarantee covers the step.
    """

    step: StepRow
    victims: tuple[RunRow, ...]
    lost_work: float
    entitled: bool


@dataclass(slots=True)
class Decisions:
    """Outcome of one tick."""

    placements: list[Placement] = field(default_factory=list)
    reclaims: list[RoomReclaimed] = field(default_factory=list)

    @property
    def stops(self) -> list[RunRow]:
        """The runs to stop."""
        return [run for reclaim in self.reclaims for run in reclaim.victims]


@dataclass(slots=True, frozen=True)
class Moment:
    """Time of a tick: steady and Unix seconds, and which old jobs are in doubt.

    While ``in_doubt`` is true, tasks of jobs from before the leader's term may still
    run on a target that has not been reached, so they do not start.
    """

    now: float
    wall: float
    in_doubt: bool = False


def usable_targets(
    tables: FleetTables, operators: OperatorState, service: str
) -> list[TargetRow]:
    """Return the targets of a service that may get new work.

    Those in quarantine are among them, as the last resort of a step that has
    waited for long.
    """
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
    ]


def waiting_steps(
    tables: FleetTables, run_times: RunTimes, moment: Moment
) -> list[WaitingStep]:
    """Return the steps with tasks to start, in order."""
    found: list[WaitingStep] = []
    for job in tables.open_jobs.values():
        if moment.in_doubt and job.known_before_term:
            continue
        for step in open_steps(job, moment.wall * MILLISECONDS, moment.now):
            if is_startable(step):
                step.expected_seconds = run_times.expected_seconds(job, step)
                found.append(WaitingStep(job, step))
    return ordered(found, moment.wall)


def is_startable(step: StepRow) -> bool:
    """Return whether the step has tasks that may start; a gang only as a whole."""
    if step.spec.gang:
        return all(task.run is None and not task.done for task in step.tasks)
    return any(task.run is None and not task.done for task in step.tasks)


def start(
    step: StepRow, priority: int, plan: Plan | None, decisions: Decisions
) -> bool:
    """Have the tasks of a plan started; return whether there are any."""
    if plan is None or not plan.entries:
        return False
    starts = tuple((task, free.target) for task, free in plan.entries)
    decisions.placements.append(Placement(step, priority, starts))
    return True


class Scheduler:
    """Decides per service over the rooms of its targets."""

    def __init__(self, tables: FleetTables) -> None:
        self.tables = tables
        self.run_times = create_run_times()

    def decide(self, operators: OperatorState, moment: Moment) -> Decisions:
        """Return what to start and what to stop now."""
        decisions = Decisions()
        services: dict[str, ServiceRound] = {}
        guarantees = create_guarantees(self.tables, operators)
        for waiting in waiting_steps(self.tables, self.run_times, moment):
            service = waiting.job.accepted.service
            if service not in services:
                targets = usable_targets(self.tables, operators, service)
                services[service] = ServiceRound(
                    self.tables, targets, guarantees, moment
                )
            services[service].consider(waiting, decisions)
        return decisions


class ServiceRound:
    """One tick over the targets of one service."""

    def __init__(
        self,
        tables: FleetTables,
        targets: list[TargetRow],
        guarantees: Guarantees,
        moment: Moment,
    ) -> None:
        self.tables = tables
        self.guarantees = guarantees
        self.lower_priority = LowerPriorityRooms(tables, moment.now)
        self.targets = targets
        self.moment = moment
        self.rooms: list[FreeRoom] = [free_room(target) for target in targets]
        for free in self.rooms:
            free.quarantined = free.target.quarantined_until > moment.now
        self.rooms_by_target = {
            free.target.report.target_id: free for free in self.rooms
        }
        self.sound_rooms = [free for free in self.rooms if not free.quarantined]
        self.sound_targets = [free.target for free in self.sound_rooms]
        self.spreading = create_spreading(self.sound_targets, moment.now)
        self.reserved: dict[str, Resources] = {}
        self.unplaceable = HopelessDemands()
        self.unreclaimable = HopelessDemands()
        self.unreservable = HopelessDemands()

    def consider(self, waiting: WaitingStep, decisions: Decisions) -> None:
        """Place the step, reserve room for it, or let it wait."""
        step = waiting.step
        priority = waiting.job.accepted.priority
        spread = self.spreading.may_spread(step)
        demand = demand_of(step, spread, self.is_sound_only(step))
        plan: Plan | None = None
        if not self.unplaceable.include(demand):
            plan = self.place(step, spread)
            start(step, priority, plan, decisions)
            if plan is not None and len(plan.entries) == len(step.waiting()):
                return
            self.unplaceable.add(step, demand)
        if plan is None or not plan.entries:
            self.make_room(waiting, priority, spread, decisions)

    def is_sound_only(self, step: StepRow) -> bool:
        """Return whether the step keeps off targets in quarantine."""
        return self.moment.now - step.ready_at <= LAST_RESORT_SECONDS

    def place(self, step: StepRow, spread: bool) -> Plan | None:
        """Place a gang whole, or as many single tasks as fit."""
        rooms = self.sound_rooms if self.is_sound_only(step) else self.rooms
        if step.spec.gang:
            return place_gang(step, rooms, spread)
        return place_tasks(step, step.waiting(), rooms)

    def make_room(
        self,
        waiting: WaitingStep,
        priority: int,
        spread: bool,
        decisions: Decisions,
    ) -> None:
        """Reclaim room for an urgent step, or keep some for a gang."""
        step = waiting.step
        waited = self.moment.now - step.ready_at
        if priority > RECLAIMING_PRIORITY:
            self.reserve_for_gang(step, priority, spread)
            return
        if waited < reclaim_patience_seconds(waiting.job):
            if not self.reclaim(step, priority, spread, False, decisions):
                self.reserve_for_gang(step, priority, spread)
            return
        covered = self.guarantees.covers(waiting.job)
        if self.reclaim(step, priority, spread, covered, decisions) or spread:
            return
        # No rack can be freed for a step whose room is guaranteed: it runs on
        # several racks rather than wait.
        if covered and not start(step, priority, self.place(step, True), decisions):
            self.reclaim(step, priority, True, covered, decisions)

    def reclaim(
        self,
        step: StepRow,
        priority: int,
        spread: bool,
        covered: bool,
        decisions: Decisions,
    ) -> bool:
        """Stop less urgent runs for a step; return whether it will fit then."""
        demand = demand_of(step, spread, True)
        if self.unreclaimable.include(demand, priority):
            return False
        outcome = plan_reclaim(
            self.lower_priority,
            step,
            self.sound_targets,
            self.reserved,
            priority,
            spread,
            covered,
        )
        if outcome is NoReclaim.NO_ROOM:
            self.unreclaimable.add(step, demand, priority)
        if isinstance(outcome, NoReclaim):
            return False
        note_reclaimed(self.lower_priority.work, outcome.victims)
        for run in outcome.victims:
            run.phase = RunPhase.STOPPING
        if outcome.victims:
            decisions.reclaims.append(
                RoomReclaimed(step, outcome.victims, outcome.lost_work, covered)
            )
        self.reserve(outcome.plan)
        return True

    def reserve_for_gang(self, step: StepRow, priority: int, spread: bool) -> None:
        """Keep less urgent steps from the room that a waiting gang will get."""
        demand = demand_of(step, spread, True)
        if not step.spec.gang or self.unreservable.include(demand, priority):
            return
        plan = plan_reservation(
            self.lower_priority,
            step,
            self.sound_targets,
            self.reserved,
            priority,
            spread,
        )
        if plan is not None:
            self.reserve(plan)
        elif not kept_targets(step, self.sound_targets, self.moment.now):
            self.unreservable.add(step, demand, priority)

    def reserve(self, plan: Plan) -> None:
        """Keep the planned room from the steps that come later."""
        for _, planned in plan.entries:
            target_id = planned.target.report.target_id
            self.rooms_by_target[target_id].take(plan.room)
            held = self.reserved.get(target_id, Resources())
            self.reserved[target_id] = held.plus(plan.room)
