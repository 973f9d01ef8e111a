"""Placement of the tasks of one step on targets.

Keeps whole targets free where they are scarce: small tasks are packed onto targets
that are already in use, so that gangs which need whole targets find them, and a gang
that needs one rack gets the rack that it fills best.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from egretloft._internal.fleet.models import Resources, StepSpec
from egretloft._internal.fleet.tables import StepRow, TargetRow, TaskRow

# A gang with `same_rack` is spread over racks once it has waited this multiple of its
# expected run time: from then on waiting costs more than the slower run.
SPREAD_AFTER_RUN_TIMES = 6.0
# While most of the service is idle, a gang is spread after this time: what it lacks
# then is room in one rack, which the end of other runs does not bring.
SPREAD_WHEN_IDLE_SECONDS = 2.0
# Share of accelerators and of cores in use up to which a service is mostly idle.
MOSTLY_IDLE_SHARE = 0.5


@dataclass(slots=True)
class FreeRoom:
    """Room of a target that a plan may still take.

    ``reclaim_cost`` ranks rooms that are still in use; 0 if the room is free now. For a
    reclaim it is the work that would be lost, in core-seconds; for a reservation it is
    the estimated time until the runs end, in seconds.
    """

    target: TargetRow
    cpu: int
    memory_mb: int
    gpus: int
    reclaim_cost: float = 0.0
    quarantined: bool = False

    def holds(self, room: Resources) -> bool:
        """Return whether ``room`` fits."""
        return (
            room.cpu <= self.cpu
            and room.memory_mb <= self.memory_mb
            and room.gpus <= self.gpus
        )

    def take(self, room: Resources) -> None:
        """Subtract ``room``; the result may be negative for a reservation."""
        self.cpu -= room.cpu
        self.memory_mb -= room.memory_mb
        self.gpus -= room.gpus

    def copy(self) -> FreeRoom:
        """Return a copy that a plan can change without affecting this object."""
        return FreeRoom(
            self.target,
            self.cpu,
            self.memory_mb,
            self.gpus,
            self.reclaim_cost,
            self.quarantined,
        )

    def give(self, room: Resources) -> None:
        """Add room that was taken."""
        self.cpu += room.cpu
        self.memory_mb += room.memory_mb
        self.gpus += room.gpus


@dataclass(slots=True)
class Plan:
    """Targets for some tasks of a step; their room is taken from the free rooms."""

    room: Resources
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


def accounted_room(spec: StepSpec) -> Resources:
    """Return what a task takes from a target's room; best-effort CPU counts as 0."""
    if spec.best_effort_cpu:
        return Resources(0, spec.room.memory_mb, spec.room.gpus)
    return spec.room


def accepts(target: TargetRow, spec: StepSpec) -> bool:
    """Return whether the target has the label that the step requires."""
    return not spec.label or spec.label in target.report.labels


def running_per_target(step: StepRow, rooms: list[FreeRoom]) -> dict[int, int]:
    """Return how many tasks of the step run on each target, by ``id`` of its room.

    The result is empty if the step has no limit per target.
    """
    if not step.spec.max_per_target:
        return {}
    return {
        id(free): sum(
            run.key.task.step == step.key for run in free.target.runs.values()
        )
        for free in rooms
    }


Rank = tuple[bool, int, float, int, int, int]


def rank(free: FreeRoom, spec: StepSpec, room: Resources) -> Rank:
    """Return the sort key of a target for a task; the lowest is best.

    Targets in quarantine come last; then the data's rack, the lowest cost and the
    tightest fit are preferred.
    """
    off_data_rack = int(
        bool(spec.data_rack) and free.target.report.rack != spec.data_rack
    )
    return (
        free.quarantined,
        off_data_rack,
        free.reclaim_cost,
        free.gpus - room.gpus,
        free.cpu - room.cpu,
        free.memory_mb - room.memory_mb,
    )


def place_tasks(step: StepRow, tasks: list[TaskRow], rooms: list[FreeRoom]) -> Plan:
    """Place as many of ``tasks`` as fit and take their room from ``rooms``.

    A task is not placed on a target where it has failed, unless it has failed on all.
    """
    spec = step.spec
    plan = Plan(accounted_room(spec))
    candidates = [
        free for free in rooms if free.holds(plan.room) and accepts(free.target, spec)
    ]
    if not spec.max_per_target and not any(task.failed_on for task in tasks):
        place_unrestricted(plan, tasks, candidates, spec)
        return plan
    counts = running_per_target(step, candidates)
    for task in tasks:
        best = choose_target(task, candidates, counts, spec, plan.room)
        if best is None and task.failed_on:
            continue
        if best is None:
            break
        best.take(plan.room)
        if spec.max_per_target:
            counts[id(best)] += 1
        plan.entries.append((task, best))
    return plan


def place_unrestricted(
    plan: Plan, tasks: list[TaskRow], candidates: list[FreeRoom], spec: StepSpec
) -> None:
    """Place tasks without a limit or failures: fill the best target, then the next."""
    order = iter(sorted(candidates, key=lambda free: rank(free, spec, plan.room)))
    free = next(order, None)
    for task in tasks:
        while free is not None and not free.holds(plan.room):
            free = next(order, None)
        if free is None:
            return
        free.take(plan.room)
        plan.entries.append((task, free))


def choose_target(
    task: TaskRow,
    candidates: list[FreeRoom],
    counts: dict[int, int],
    spec: StepSpec,
    room: Resources,
) -> FreeRoom | None:
    """Return the best target for one task, or ``None`` if none has room."""
    best: FreeRoom | None = None
    best_rank: Rank | None = None
    avoided = targets_to_avoid(task, candidates) if task.failed_on else NO_TARGETS
    for free in candidates:
        if not free.holds(room) or free.target.report.target_id in avoided:
            continue
        if spec.max_per_target and counts[id(free)] >= spec.max_per_target:
            continue
        candidate_rank = rank(free, spec, room)
        if best_rank is None or candidate_rank < best_rank:
            best, best_rank = free, candidate_rank
    return best


NO_TARGETS: frozenset[str] = frozenset()


def targets_to_avoid(
    task: TaskRow, candidates: list[FreeRoom]
) -> set[str] | frozenset[str]:
    """Return the targets where the task failed, or none if it failed on all of them."""
    known = {free.target.report.target_id for free in candidates}
    return NO_TARGETS if known <= task.failed_on else task.failed_on


def fitting_tasks(step: StepRow, rooms: Iterable[FreeRoom]) -> int:
    """Return an upper bound of how many tasks of the step fit into the rooms."""
    room = accounted_room(step.spec)
    limit = step.spec.max_per_target or step.spec.tasks
    total = 0
    for free in rooms:
        if not accepts(free.target, step.spec):
            continue
        fits = limit
        if room.cpu:
            fits = min(fits, free.cpu // room.cpu)
        if room.memory_mb:
            fits = min(fits, free.memory_mb // room.memory_mb)
        if room.gpus:
            fits = min(fits, free.gpus // room.gpus)
        total += max(0, fits)
    return total


def place_gang(step: StepRow, rooms: list[FreeRoom], may_spread: bool) -> Plan | None:
    """Place all members of a gang, or none.

    A gang with ``same_rack`` is spread over several racks only with ``may_spread``.
    """
    tasks = step.tasks
    if fitting_tasks(step, rooms) < len(tasks):
        return None
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
    """Place a gang in one rack, or return ``None`` if no rack has room for it.

    The data's rack is preferred, then the lowest cost, then the rack that is left with
    the fewest free accelerators.
    """
    best: tuple[tuple[int, float, int], list[FreeRoom]] | None = None
    for rack, members in racks_of(rooms).items():
        if fitting_tasks(step, members) < len(step.tasks):
            continue
        plan = place_tasks(step, step.tasks, members)
        fits = len(plan.entries) == len(step.tasks)
        free_gpus = sum(free.gpus for free in members)
        used = {id(free): free.reclaim_cost for _, free in plan.entries}
        plan.undo()
        off_data_rack = int(bool(step.spec.data_rack) and rack != step.spec.data_rack)
        order = (off_data_rack, sum(used.values()), free_gpus)
        if fits and (best is None or order < best[0]):
            best = (order, members)
    if best is None:
        return None
    return place_tasks(step, step.tasks, best[1])


def racks_of(rooms: Iterable[FreeRoom]) -> dict[str, list[FreeRoom]]:
    """Group the rooms by rack."""
    racks: dict[str, list[FreeRoom]] = {}
    for free in rooms:
        racks.setdefault(free.target.report.rack, []).append(free)
    return racks


class SpreadPolicy:
    """Decides in one tick whether gangs with ``same_rack`` may use several racks."""

    def __init__(self, targets: list[TargetRow], now: float) -> None:
        self.targets = targets
        self.now = now
        self.mostly_idle: bool | None = None
        self.empty_racks: dict[tuple[Resources, int, str, int], bool] = {}

    def may_spread(self, step: StepRow) -> bool:
        """Return whether the step may run on several racks now."""
        if not step.spec.same_rack:
            return True
        max_wait = step.expected_seconds * SPREAD_AFTER_RUN_TIMES
        if self.is_mostly_idle():
            max_wait = min(max_wait, SPREAD_WHEN_IDLE_SECONDS)
        waited = self.now - step.ready_at
        return waited > max_wait or not self.fits_one_empty_rack(step)

    def is_mostly_idle(self) -> bool:
        """Return whether at most half of accelerators and cores are in use."""
        if self.mostly_idle is None:
            self.mostly_idle = is_mostly_idle(self.targets)
        return self.mostly_idle

    def fits_one_empty_rack(self, step: StepRow) -> bool:
        """Return whether some rack could hold the whole gang if nothing ran there."""
        spec = step.spec
        key = (spec.room, spec.tasks, spec.label, spec.max_per_target)
        known = self.empty_racks.get(key)
        if known is None:
            racks = racks_of(empty_room(target) for target in self.targets)
            known = any(
                fitting_tasks(step, rooms) >= spec.tasks for rooms in racks.values()
            )
            self.empty_racks[key] = known
        return known


def empty_room(target: TargetRow) -> FreeRoom:
    """Return the room of a target on which nothing runs."""
    room = target.report.room
    return FreeRoom(target, room.cpu, room.memory_mb, room.gpus)


def is_mostly_idle(targets: list[TargetRow]) -> bool:
    """Return whether at most half of the accelerators and cores are in use."""
    cpu = gpus = used_cpu = used_gpus = 0
    for target in targets:
        used = target.used()
        cpu += target.report.room.cpu
        gpus += target.report.room.gpus
        used_cpu += used.cpu
        used_gpus += used.gpus
    return used_gpus <= gpus * MOSTLY_IDLE_SHARE and used_cpu <= cpu * MOSTLY_IDLE_SHARE


def create_spread_policy(targets: list[TargetRow], now: float) -> SpreadPolicy:
    """Return the policy for one tick over the targets that may get new work."""
    return SpreadPolicy(targets, now)
