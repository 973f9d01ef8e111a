"""Choice of targets for the tasks of one step.

Answers a fleet whose whole targets are scarce: small tasks are packed onto targets
that are already in use, so that gangs which need whole targets find them, and a gang
that wants one rack gets the rack that it fills best.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from egretloft._internal.fleet.models import Room, StepSpec
from egretloft._internal.fleet.tables import StepRow, TargetRow, TaskRow

# A gang that wants one rack is spread once it has waited this multiple of its
# estimated time: from then on waiting costs more than the slower run.
SPREAD_AFTER_ESTIMATES = 2.0


@dataclass(slots=True)
class FreeRoom:
    """Room of a target that a plan may still take.

    ``reclaim_cost`` is the work in core-seconds that is lost if all of this room is
    to be free; 0 where it is free now.
    """

    target: TargetRow
    cpu: int
    memory_mb: int
    gpus: int
    reclaim_cost: float = 0.0

    def holds(self, room: Room) -> bool:
        """Return whether ``room`` fits."""
        return (
            room.cpu <= self.cpu
            and room.memory_mb <= self.memory_mb
            and room.gpus <= self.gpus
        )

    def take(self, room: Room) -> None:
        """Reduce the room; it may become negative for a reservation."""
        self.cpu -= room.cpu
        self.memory_mb -= room.memory_mb
        self.gpus -= room.gpus

    def give(self, room: Room) -> None:
        """Return room that was taken."""
        self.cpu += room.cpu
        self.memory_mb += room.memory_mb
        self.gpus += room.gpus


@dataclass(slots=True)
class Plan:
    """Targets for some tasks of a step; their room is taken from the free rooms."""

    room: Room
    entries: list[tuple[TaskRow, FreeRoom]] = field(default_factory=list)

    def undo(self) -> None:
        """Give back the room that the plan took."""
        for _, free in self.entries:
            free.give(self.room)
        self.entries.clear()


def free_room(target: TargetRow) -> FreeRoom:
    """Return what is free on a target now."""
    room = target.report.room.minus(target.used())
    return FreeRoom(target, room.cpu, room.memory_mb, room.gpus)


def accounted_room(spec: StepSpec) -> Room:
    """Return what a task takes from a target's room."""
    if spec.best_effort_cpu:
        return Room(0, spec.room.memory_mb, spec.room.gpus)
    return spec.room


def accepts(target: TargetRow, spec: StepSpec) -> bool:
    """Return whether the target has the label that the step asks for."""
    return not spec.label or spec.label in target.report.labels


def count_on_target(step: StepRow, target: TargetRow) -> int:
    """Return how many tasks of the step run on the target."""
    return sum(1 for run in target.runs.values() if run.key.task.step == step.key)


Rank = tuple[int, float, int, int, int]


def rank(free: FreeRoom, spec: StepSpec, room: Room) -> Rank:
    """Return the order of targets for a task: data first, then the tightest fit."""
    away = int(bool(spec.data_rack) and free.target.report.rack != spec.data_rack)
    return (
        away,
        free.reclaim_cost,
        free.gpus - room.gpus,
        free.cpu - room.cpu,
        free.memory_mb - room.memory_mb,
    )


def place_tasks(step: StepRow, tasks: list[TaskRow], rooms: list[FreeRoom]) -> Plan:
    """Place as many of ``tasks`` as fit and take their room from ``rooms``.

    A task that failed on a target goes elsewhere; when it has failed everywhere, the
    room decides alone.
    """
    spec = step.spec
    plan = Plan(accounted_room(spec))
    candidates = [free for free in rooms if accepts(free.target, spec)]
    counts = {id(free): count_on_target(step, free.target) for free in candidates}
    for task in tasks:
        best = choose(task, candidates, counts, spec, plan.room)
        if best is None and task.failed_on:
            continue
        if best is None:
            break
        best.take(plan.room)
        counts[id(best)] += 1
        plan.entries.append((task, best))
    return plan


def choose(
    task: TaskRow,
    candidates: list[FreeRoom],
    counts: dict[int, int],
    spec: StepSpec,
    room: Room,
) -> FreeRoom | None:
    """Return the best target for one task, or ``None`` if none has room."""
    best: FreeRoom | None = None
    best_rank: Rank | None = None
    known = {free.target.report.target_id for free in candidates}
    avoided = task.failed_on if not known <= task.failed_on else frozenset[str]()
    for free in candidates:
        if not free.holds(room) or free.target.report.target_id in avoided:
            continue
        if spec.max_per_target and counts[id(free)] >= spec.max_per_target:
            continue
        candidate_rank = rank(free, spec, room)
        if best_rank is None or candidate_rank < best_rank:
            best, best_rank = free, candidate_rank
    return best


def place_gang(step: StepRow, rooms: list[FreeRoom], may_spread: bool) -> Plan | None:
    """Place all members of a gang, or none.

    With ``same_rack`` the rack that is left with the least free accelerators wins.
    The gang is spread over racks only with ``may_spread``.
    """
    tasks = step.tasks
    if step.spec.same_rack:
        plan = place_in_one_rack(step, rooms)
        if plan is not None or not may_spread:
            return plan
    plan = place_tasks(step, tasks, rooms)
    if len(plan.entries) == len(tasks):
        return plan
    plan.undo()
    return None


def place_in_one_rack(step: StepRow, rooms: list[FreeRoom]) -> Plan | None:
    """Place a gang in the rack where the least room remains."""
    best: tuple[tuple[int, float, int], list[FreeRoom]] | None = None
    for rack, members in racks_of(rooms).items():
        plan = place_tasks(step, step.tasks, members)
        fits = len(plan.entries) == len(step.tasks)
        left = sum(free.gpus for free in members)
        used = {id(free): free.reclaim_cost for _, free in plan.entries}
        plan.undo()
        away = int(bool(step.spec.data_rack) and rack != step.spec.data_rack)
        order = (away, sum(used.values()), left)
        if fits and (best is None or order < best[0]):
            best = (order, members)
    if best is None:
        return None
    return place_tasks(step, step.tasks, best[1])


def racks_of(rooms: Iterable[FreeRoom]) -> dict[str, list[FreeRoom]]:
    """Return the rooms by rack."""
    racks: dict[str, list[FreeRoom]] = {}
    for free in rooms:
        racks.setdefault(free.target.report.rack, []).append(free)
    return racks


def fits_one_empty_rack(step: StepRow, targets: Iterable[TargetRow]) -> bool:
    """Return whether some rack could hold the whole gang if nothing ran there."""
    empty = [
        FreeRoom(t, t.report.room.cpu, t.report.room.memory_mb, t.report.room.gpus)
        for t in targets
    ]
    return place_in_one_rack(step, empty) is not None


def may_spread(step: StepRow, targets: list[TargetRow], now: float) -> bool:
    """Return whether a gang that wants one rack should run on several now."""
    if not step.spec.same_rack:
        return True
    patience = step.spec.estimate_ms / 1000.0 * SPREAD_AFTER_ESTIMATES
    return now - step.ready_at > patience or not fits_one_empty_rack(step, targets)
