"""Placement of the tasks of one step on targets.

Keeps whole targets free where they are scarce: small tasks are packed onto targets
that are already in use, and otherwise into racks that are, so that gangs which need
whole targets or one rack find them. A gang that needs one rack gets the rack that it
fills best.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass, field

from egretloft._internal.fleet.models import Resources, StepSpec
from egretloft._internal.fleet.tables import StepRow, TargetRow, TaskRow

# A gang with `same_rack` is spread over racks once it has waited this multiple of its
# expected run time: from then on waiting costs more than the slower run.
SPREAD_AFTER_RUN_TIMES = 6.0
# While most of the service is idle, a gang is spread after this time: what it lacks
# then is free capacity in one rack, which the end of other runs does not bring.
SPREAD_WHEN_IDLE_SECONDS = 2.0
# Share of accelerators and of cores in use up to which a service is mostly idle.
MOSTLY_IDLE_SHARE = 0.5
NO_RESOURCES = Resources()


@dataclass(slots=True)
class FreeCapacity:
    """Capacity of a target that a plan may still take.

    ``reclaim_cost`` ranks capacity that is still in use; it is 0 if all is free now.
    For a reclaim it is the work that would be lost, in core-seconds; for a reservation
    it is the estimated time until the runs end, in seconds. ``rack_gpus`` are the
    accelerators that were free in the target's rack when the tick began.
    """

    target: TargetRow
    cpu: int
    memory_mb: int
    gpus: int
    reclaim_cost: float = 0.0
    quarantined: bool = False
    rack_gpus: int = 0

    def holds(self, needed: Resources) -> bool:
        """Return whether ``needed`` fits."""
        return (
            needed.cpu <= self.cpu
            and needed.memory_mb <= self.memory_mb
            and needed.gpus <= self.gpus
        )

    def take(self, taken: Resources) -> None:
        """Subtract resources; the result may be negative for a reservation."""
        self.cpu -= taken.cpu
        self.memory_mb -= taken.memory_mb
        self.gpus -= taken.gpus

    def copy(self) -> FreeCapacity:
        """Return a copy that a plan can change without affecting this object."""
        return FreeCapacity(
            self.target,
            self.cpu,
            self.memory_mb,
            self.gpus,
            self.reclaim_cost,
            self.quarantined,
            self.rack_gpus,
        )

    def give(self, returned: Resources) -> None:
        """Add resources that are no longer taken."""
        self.cpu += returned.cpu
        self.memory_mb += returned.memory_mb
        self.gpus += returned.gpus


@dataclass(slots=True)
class Plan:
    """Targets for some tasks of a step, whose resources are taken from the capacities.

    ``task_resources`` is what each of the tasks takes.
    """

    task_resources: Resources
    entries: list[tuple[TaskRow, FreeCapacity]] = field(default_factory=list)

    def undo(self) -> None:
        """Give back what the plan took."""
        for _, free in self.entries:
            free.give(self.task_resources)
        self.entries.clear()


def free_capacity(target: TargetRow) -> FreeCapacity:
    """Return what is free on a target now."""
    room, in_use = target.report.room, target.in_use
    return FreeCapacity(
        target,
        room.cpu - in_use.cpu,
        room.memory_mb - in_use.memory_mb,
        room.gpus - in_use.gpus,
    )


def required_resources(spec: StepSpec) -> Resources:
    """Return what a task takes on a target; best-effort CPU counts as 0."""
    if spec.best_effort_cpu:
        return Resources(0, spec.room.memory_mb, spec.room.gpus)
    return spec.room


def accepts(target: TargetRow, spec: StepSpec) -> bool:
    """Return whether the target has the label that the step requires."""
    return not spec.label or spec.label in target.report.labels


def running_per_target(step: StepRow, capacities: list[FreeCapacity]) -> dict[int, int]:
    """Return how many tasks of the step run on each target, by ``id`` of its capacity.

    The result is empty if the step has no limit per target.
    """
    if not step.spec.max_per_target:
        return {}
    return {
        id(free): sum(
            run.key.task.step == step.key for run in free.target.runs.values()
        )
        for free in capacities
    }


def note_rack_gpus(capacities: list[FreeCapacity]) -> None:
    """Set ``rack_gpus`` of all targets of a service."""
    for members in racks_of(capacities).values():
        free_gpus = sum(free.gpus for free in members)
        for free in members:
            free.rack_gpus = free_gpus


Rank = tuple[bool, int, float, int, int, int, int]


def rank(free: FreeCapacity, spec: StepSpec, needed: Resources) -> Rank:
    """Return the sort key of a target for a task; the lowest is best.

    Targets in quarantine come last; then the data's rack, the lowest cost, the tightest
    fit of accelerators and the fullest rack are preferred.
    """
    off_data_rack = int(
        bool(spec.data_rack) and free.target.report.rack != spec.data_rack
    )
    return (
        free.quarantined,
        off_data_rack,
        free.reclaim_cost,
        free.gpus - needed.gpus,
        free.rack_gpus,
        free.cpu - needed.cpu,
        free.memory_mb - needed.memory_mb,
    )


def place_tasks(
    step: StepRow,
    tasks: list[TaskRow],
    capacities: list[FreeCapacity],
    avoid_failed: bool = True,
) -> Plan:
    """Place as many of ``tasks`` as fit and take them from ``capacities``.

    With ``avoid_failed``, a task is not placed on a target where it has failed, unless
    it has failed on all that it may use.
    """
    spec = step.spec
    plan = Plan(required_resources(spec))
    candidates = [
        free
        for free in capacities
        if free.holds(plan.task_resources) and accepts(free.target, spec)
    ]
    avoid_failed = avoid_failed and any(task.failed_on for task in tasks)
    if not spec.max_per_target and not avoid_failed:
        place_unrestricted(plan, tasks, candidates, spec)
        return plan
    counts = running_per_target(step, candidates)
    if spec.max_per_target:
        candidates = [
            free for free in candidates if counts[id(free)] < spec.max_per_target
        ]
    for task in tasks:
        avoided = targets_to_avoid(task, candidates) if avoid_failed else NO_TARGETS
        best = choose_target(avoided, candidates, counts, spec, plan.task_resources)
        if best is None and avoided:
            continue
        if best is None:
            break
        best.take(plan.task_resources)
        if spec.max_per_target:
            counts[id(best)] += 1
        plan.entries.append((task, best))
    return plan


def place_unrestricted(
    plan: Plan, tasks: list[TaskRow], candidates: list[FreeCapacity], spec: StepSpec
) -> None:
    """Place tasks without a limit or failures: fill the best target, then the next."""
    order = iter(
        sorted(candidates, key=lambda free: rank(free, spec, plan.task_resources))
    )
    free = next(order, None)
    for task in tasks:
        while free is not None and not free.holds(plan.task_resources):
            free = next(order, None)
        if free is None:
            return
        free.take(plan.task_resources)
        plan.entries.append((task, free))


def choose_target(
    avoided: Set[str],
    candidates: list[FreeCapacity],
    counts: dict[int, int],
    spec: StepSpec,
    needed: Resources,
) -> FreeCapacity | None:
    """Return the best target for one task, or ``None`` if it fits on none."""
    best: FreeCapacity | None = None
    best_rank: Rank | None = None
    for free in candidates:
        if not free.holds(needed) or free.target.report.target_id in avoided:
            continue
        if spec.max_per_target and counts[id(free)] >= spec.max_per_target:
            continue
        candidate_rank = rank(free, spec, needed)
        if best_rank is None or candidate_rank < best_rank:
            best, best_rank = free, candidate_rank
    return best


NO_TARGETS: frozenset[str] = frozenset()


def targets_to_avoid(task: TaskRow, candidates: list[FreeCapacity]) -> Set[str]:
    """Return the targets where the task failed, or none if it failed on all of them."""
    if not task.failed_on:
        return NO_TARGETS
    known = {free.target.report.target_id for free in candidates}
    return NO_TARGETS if known <= task.failed_on else task.failed_on


def fitting_tasks(step: StepRow, capacities: Iterable[FreeCapacity]) -> int:
    """Return an upper bound of how many tasks of the step fit."""
    needed = required_resources(step.spec)
    limit = step.spec.max_per_target or step.spec.tasks
    total = 0
    for free in capacities:
        if not accepts(free.target, step.spec):
            continue
        fits = limit
        if needed.cpu:
            fits = min(fits, free.cpu // needed.cpu)
        if needed.memory_mb:
            fits = min(fits, free.memory_mb // needed.memory_mb)
        if needed.gpus:
            fits = min(fits, free.gpus // needed.gpus)
        total += max(0, fits)
    return total


def place_gang(
    step: StepRow, capacities: list[FreeCapacity], may_spread: bool
) -> Plan | None:
    """Place all members of a gang, or none.

    A gang with ``same_rack`` is spread over several racks only with ``may_spread``.
    """
    if step.spec.same_rack:
        plan = place_in_one_rack(step, capacities)
        if plan is not None or not may_spread:
            return plan
    return place_members(step, capacities)


def place_members(step: StepRow, capacities: list[FreeCapacity]) -> Plan | None:
    """Place all members of a gang in any racks, or none.

    If the gang does not fit otherwise, members are placed where they have failed.
    """
    if fitting_tasks(step, capacities) < len(step.tasks):
        return None
    plan = place_all(step, capacities, avoid_failed=True)
    if plan is None and any(task.failed_on for task in step.tasks):
        plan = place_all(step, capacities, avoid_failed=False)
    return plan


def place_all(
    step: StepRow, capacities: list[FreeCapacity], avoid_failed: bool
) -> Plan | None:
    """Place all members of a gang, those with the most targets to avoid first."""
    tasks = sorted(step.tasks, key=lambda task: len(task.failed_on), reverse=True)
    plan = place_tasks(step, tasks, capacities, avoid_failed)
    if len(plan.entries) < len(tasks):
        plan.undo()
        return None
    plan.entries.sort(key=lambda entry: entry[0].key.index)
    return plan


def place_in_one_rack(step: StepRow, capacities: list[FreeCapacity]) -> Plan | None:
    """Place a gang in one rack, or return ``None`` if it fits in no rack.

    A rack where no target in quarantine is needed is preferred, then the data's rack,
    the lowest cost, and the rack that is left with the fewest free accelerators.
    """
    needed = len(step.tasks)
    if fitting_tasks(step, capacities) < needed:
        return None
    best: tuple[tuple[int, int, float, int], list[FreeCapacity]] | None = None
    for rack, members in racks_of(capacities).items():
        if fitting_tasks(step, members) < needed:
            continue
        plan = place_all(step, members, avoid_failed=True)
        if plan is None:
            continue
        free_gpus = sum(free.gpus for free in members)
        used = {id(free): free for _, free in plan.entries}.values()
        cost = sum(free.reclaim_cost for free in used)
        quarantined = sum(free.quarantined for free in used)
        plan.undo()
        off_data_rack = int(bool(step.spec.data_rack) and rack != step.spec.data_rack)
        order = (quarantined, off_data_rack, cost, free_gpus)
        if best is None or order < best[0]:
            best = (order, members)
    if best is None:
        return None
    return place_all(step, best[1], avoid_failed=True)


def racks_of(capacities: Iterable[FreeCapacity]) -> dict[str, list[FreeCapacity]]:
    """Group the targets' capacities by rack."""
    racks: dict[str, list[FreeCapacity]] = {}
    for free in capacities:
        racks.setdefault(free.target.report.rack, []).append(free)
    return racks


RoomKey = tuple[Resources, int, str, int]


def room_key(spec: StepSpec) -> RoomKey:
    """Return what decides how often a gang fits on given targets."""
    return (required_resources(spec), spec.tasks, spec.label, spec.max_per_target)


class SpreadPolicy:
    """Decides in one tick whether gangs with ``same_rack`` may use several racks.

    ``targets`` are those that such a gang would get now. ``service_targets`` are the
    groups of targets that may count as the whole service: it is mostly idle if one of
    the groups is.
    """

    def __init__(
        self,
        targets: list[TargetRow],
        now: float,
        service_targets: Sequence[list[TargetRow]],
    ) -> None:
        self.targets = targets
        self.now = now
        self.service_targets = service_targets
        self.mostly_idle: bool | None = None
        self.empty_racks: dict[RoomKey, bool] = {}

    def may_spread(self, step: StepRow) -> bool:
        """Return whether the step may run on several racks now."""
        if not step.spec.same_rack:
            return True
        if not self.fits_one_empty_rack(step):
            return True
        waited = self.now - step.ready_at
        if waited > step.expected_seconds * SPREAD_AFTER_RUN_TIMES:
            return True
        return waited > SPREAD_WHEN_IDLE_SECONDS and self.is_mostly_idle()

    def is_mostly_idle(self) -> bool:
        """Return whether at most half of accelerators and cores are in use."""
        if self.mostly_idle is None:
            self.mostly_idle = any(map(is_mostly_idle, self.service_targets))
        return self.mostly_idle

    def fits_one_empty_rack(self, step: StepRow) -> bool:
        """Return whether some rack could hold the whole gang if nothing ran there."""
        spec = step.spec
        key = room_key(spec)
        known = self.empty_racks.get(key)
        if known is None:
            racks = racks_of(total_capacity(target) for target in self.targets)
            known = any(
                fitting_tasks(step, capacities) >= spec.tasks
                for capacities in racks.values()
            )
            self.empty_racks[key] = known
        return known


def total_capacity(target: TargetRow) -> FreeCapacity:
    """Return what would be free on a target if nothing ran there."""
    total = target.report.room
    return FreeCapacity(target, total.cpu, total.memory_mb, total.gpus)


def is_mostly_idle(targets: list[TargetRow], planned: Resources = NO_RESOURCES) -> bool:
    """Return whether at most half of the accelerators and cores are in use.

    ``planned`` counts as in use too.
    """
    cpu = gpus = 0
    used_cpu, used_gpus = planned.cpu, planned.gpus
    for target in targets:
        cpu += target.report.room.cpu
        gpus += target.report.room.gpus
        used_cpu += target.in_use.cpu
        used_gpus += target.in_use.gpus
    return used_gpus <= gpus * MOSTLY_IDLE_SHARE and used_cpu <= cpu * MOSTLY_IDLE_SHARE


def create_spread_policy(
    targets: list[TargetRow],
    now: float,
    service_targets: Sequence[list[TargetRow]] = (),
) -> SpreadPolicy:
    """Return the policy for one tick over the targets that may get new work."""
    return SpreadPolicy(targets, now, (targets, *service_targets))
