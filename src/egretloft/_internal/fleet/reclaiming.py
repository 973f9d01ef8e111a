"""Choice of runs that make room for an urgent step.

Answers borrowed accelerators that an urgent job needs back: runs of lower priority
are stopped in the order of the least work lost, and only where the whole step then
fits. Where that loses much, the step first waits a moment for runs that end by
themselves, as on a full fleet many do every second.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.fleet.models import Resources, StepKey
from egretloft._internal.fleet.placing import (
    FreeRoom,
    Plan,
    accounted_room,
    empty_room,
    free_room,
    place_gang,
    place_tasks,
)
from egretloft._internal.fleet.queueing import longest_chain_ms, objective_seconds
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    StepRow,
    TargetRow,
)

# A GPU counts as this many cores in work that is lost.
CORES_PER_GPU = 8
MILLICORES = 1000
MILLISECONDS = 1000.0
# Work that may be lost for each unit of urgent work beyond a guarantee.
WORTHWHILE_LOSS = 0.3
# Longest wait of an urgent step for runs that end by themselves. Stops, starts and a
# second choice of targets must still fit into the bound that the operators set for a
# guarantee, about 3 s.
RECLAIM_PATIENCE_SECONDS = 0.4
# Share of the time that a job has to spare that it may wait for such ends.
PATIENCE_SHARE = 0.5
# Time in which the targets chosen for a step are not changed, as stops take a while.
STOP_PATIENCE_SECONDS = 2.0
# Time for which the targets reserved for a waiting gang are not changed.
RESERVATION_SECONDS = 5.0
# A run that should have ended by its estimate may still take this long.
LEAST_REST_SECONDS = 1.0
# Work that a checkpointing task loses at most, in seconds.
CHECKPOINT_LOSS_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Reclaim:
    """Runs to stop, what that loses in core-seconds, and the plan for the step."""

    victims: tuple[RunRow, ...]
    lost_work: float
    plan: Plan


class NoReclaim(StrEnum):
    """Why no runs are stopped for a step."""

    NO_ROOM = "no_room"
    TOO_COSTLY = "too_costly"


class LostWork:
    """Core-seconds that stops would throw away, at one moment."""

    def __init__(self, tables: FleetTables, now: float) -> None:
        self.tables = tables
        self.now = now
        self.known: dict[int, float] = {}

    def of(self, run: RunRow) -> float:
        """Return what stopping a run would lose; for a member that of its gang."""
        lost = self.known.get(id(run))
        if lost is None:
            lost = lost_work(self.tables, run, self.now)
            self.known[id(run)] = lost
        return lost

    def total(self, runs: Iterable[RunRow]) -> float:
        """Return what stopping all of them would lose; a gang counts once."""
        total = 0.0
        gangs: set[tuple[StepKey, int]] = set()
        for run in runs:
            if run.gang:
                key = (run.key.task.step, run.key.attempt)
                if key in gangs:
                    continue
                gangs.add(key)
            total += self.of(run)
        return total


def lost_work(tables: FleetTables, run: RunRow, now: float) -> float:
    """Return the core-seconds that a stop would throw away."""
    cores = run.room.cpu / MILLICORES + run.room.gpus * CORES_PER_GPU
    worked = max(0.0, now - run.started_at)
    job = tables.jobs.get(run.key.task.step.job_id)
    if job is not None:
        spec = job.accepted.spec.steps[run.key.task.step.step]
        if spec.checkpoints:
            worked = min(worked, CHECKPOINT_LOSS_SECONDS)
        if spec.gang:
            cores *= spec.tasks
        # A step that lost work before is spared, so that it ends at last.
        return cores * worked + job.step(run.key.task.step).reclaimed_work
    return cores * worked


def note_reclaimed(work: LostWork, runs: Iterable[RunRow]) -> None:
    """Remember what the steps of stopped runs lost."""
    for run in runs:
        job = work.tables.jobs.get(run.key.task.step.job_id)
        if job is not None:
            step = job.step(run.key.task.step)
            step.reclaimed_work = max(step.reclaimed_work, work.of(run))


def plan_reservation(
    lower_priority: LowerPriorityRooms,
    step: StepRow,
    targets: list[TargetRow],
    reserved: dict[str, Resources],
    priority: int,
    spread: bool,
) -> Plan | None:
    """Return where a waiting gang would fit once less urgent runs have ended.

    Nothing is stopped: the room is only kept from less urgent steps.
    """
    now = lower_priority.now
    kept = kept_targets(step, targets, now)
    rooms = lower_priority.unreserved(
        kept or targets, priority, reserved, accounted_room(step.spec)
    )
    for free in rooms:
        free.reclaim_cost = lower_priority.rest_seconds(free.target, priority)
    plan = place_gang(step, rooms, spread)
    if plan is not None and not kept:
        keep_targets(step, plan, now + RESERVATION_SECONDS)
    return plan


def reclaim_patience_seconds(job: JobRow) -> float:
    """Return how long an urgent step waits before costly runs are stopped for it."""
    spare = objective_seconds(job) - longest_chain_ms(job) / MILLISECONDS
    return min(RECLAIM_PATIENCE_SECONDS, max(0.0, spare) * PATIENCE_SHARE)


def kept_targets(
    step: StepRow, targets: list[TargetRow], now: float
) -> list[TargetRow]:
    """Return the targets chosen for the step before, while that choice is kept."""
    if now >= step.reclaim_until:
        return []
    return [t for t in targets if t.report.target_id in step.reclaim_targets]


def keep_targets(step: StepRow, plan: Plan, until: float) -> None:
    """Keep a plan's choice of targets for a while."""
    used = {free.target.report.target_id for _, free in plan.entries}
    step.reclaim_targets = frozenset(used)
    step.reclaim_until = until


def longest_rest_seconds(
    tables: FleetTables, target: TargetRow, priority: int, now: float
) -> float:
    """Return when the less urgent runs of a target will have ended by estimate."""
    longest = 0.0
    for run in target.runs.values():
        job = tables.jobs.get(run.key.task.step.job_id)
        if run.priority <= priority or job is None:
            continue
        step = job.step(run.key.task.step)
        rest = step.expected_seconds - (now - run.started_at)
        longest = max(longest, rest, LEAST_REST_SECONDS)
    return longest


class LowerPriorityRooms:
    """Rooms that come free when all less urgent runs end, computed once a tick."""

    def __init__(self, tables: FleetTables, now: float) -> None:
        self.tables = tables
        self.now = now
        self.work = LostWork(tables, now)
        self.rooms: dict[tuple[str, int], FreeRoom] = {}
        self.rests: dict[tuple[str, int], float] = {}

    def room(self, target: TargetRow, priority: int) -> FreeRoom:
        """Return the room without runs below ``priority``, and its cost; shared."""
        key = (target.report.target_id, priority)
        known = self.rooms.get(key)
        if known is None:
            known = room_without(self.work, target, priority)
            self.rooms[key] = known
        return known

    def unreserved(
        self,
        targets: list[TargetRow],
        priority: int,
        reserved: dict[str, Resources],
        needed: Resources,
    ) -> list[FreeRoom]:
        """Return copies of the rooms that hold ``needed``.

        What is promised to steps further ahead is taken off.
        """
        rooms = []
        for target in targets:
            shared = self.room(target, priority)
            if not shared.holds(needed):
                continue
            free = shared.copy()
            held = reserved.get(target.report.target_id)
            if held is not None:
                free.take(held)
                if not free.holds(needed):
                    continue
            rooms.append(free)
        return rooms

    def rest_seconds(self, target: TargetRow, priority: int) -> float:
        """Return when the less urgent runs of a target will have ended."""
        key = (target.report.target_id, priority)
        if key not in self.rests:
            self.rests[key] = longest_rest_seconds(
                self.tables, target, priority, self.now
            )
        return self.rests[key]


def room_without(work: LostWork, target: TargetRow, priority: int) -> FreeRoom:
    """Return the room if all runs below ``priority`` were gone, and its cost."""
    free = empty_room(target)
    for run in target.runs.values():
        if run.phase is RunPhase.STOPPING:
            continue
        if run.priority <= priority or run.lasting:
            free.take(run.room)
        else:
            free.reclaim_cost += work.of(run)
    return free


def step_work(step: StepRow) -> float:
    """Return the core-seconds that a step will probably take."""
    spec = step.spec
    cores = spec.room.cpu / MILLICORES + spec.room.gpus * CORES_PER_GPU
    return cores * spec.tasks * step.expected_seconds


def plan_reclaim(
    lower_priority: LowerPriorityRooms,
    step: StepRow,
    targets: list[TargetRow],
    reserved: dict[str, Resources],
    priority: int,
    spread: bool,
    entitled: bool,
) -> Reclaim | NoReclaim:
    """Return which runs to stop so that the waiting tasks of ``step`` fit.

    ``reserved`` is room by target that is promised to steps further ahead. Without
    ``entitled``, more work must be gained than is lost.
    """
    work, now = lower_priority.work, lower_priority.now
    kept = kept_targets(step, targets, now)
    rooms = lower_priority.unreserved(
        kept or targets, priority, reserved, accounted_room(step.spec)
    )
    if step.spec.gang:
        plan = place_gang(step, rooms, spread)
    else:
        plan = place_tasks(step, step.waiting(), rooms)
    if plan is None or not plan.entries:
        # Kept targets are only some, so their lack of room tells nothing of others.
        return NoReclaim.TOO_COSTLY if kept else NoReclaim.NO_ROOM
    victims: dict[int, RunRow] = {}
    for free in {id(free): free for _, free in plan.entries}.values():
        for run in victims_on(work, free, plan, reserved, priority):
            victims[id(run)] = run
    lost = work.total(victims.values())
    if not entitled and lost > step_work(step) * WORTHWHILE_LOSS:
        return NoReclaim.TOO_COSTLY
    if not kept:
        keep_targets(step, plan, now + STOP_PATIENCE_SECONDS)
    return Reclaim(tuple(victims.values()), lost, plan)


def victims_on(
    work: LostWork,
    free: FreeRoom,
    plan: Plan,
    reserved: dict[str, Resources],
    priority: int,
) -> list[RunRow]:
    """Return the cheapest runs whose end makes room for the plan on one target."""
    target = free.target
    needed = Resources()
    for _, planned in plan.entries:
        if planned is free:
            needed = needed.plus(plan.room)
    needed = needed.plus(reserved.get(target.report.target_id, Resources()))
    available = free_room(target)
    for run in target.runs.values():
        if run.phase is RunPhase.STOPPING:
            available.give(run.room)
    candidates = [
        run
        for run in target.runs.values()
        if run.priority > priority
        and not run.lasting
        and run.phase is not RunPhase.STOPPING
    ]
    candidates.sort(key=work.of)
    chosen: list[RunRow] = []
    for run in candidates:
        if available.holds(needed):
            break
        chosen.append(run)
        available.give(run.room)
    for run in reversed(list(chosen)):
        available.take(run.room)
        if available.holds(needed):
            chosen.remove(run)
        else:
            available.give(run.room)
    return chosen
