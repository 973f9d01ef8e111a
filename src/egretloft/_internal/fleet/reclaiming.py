"""Preemption of other runs for an urgent step.

Returns borrowed accelerators to an urgent job: runs of lower priority are stopped in
the order of the least work lost, and only if tasks of the step then fit (all of them
if it is a gang). If that loses much work, the step first waits shortly for runs to end
by themselves, as many do every second on a full fleet. A step that is entitled by a
guarantee also stops runs that last or are urgent themselves, if they use what no
guarantee of their own organisation covers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.fleet.guarantees import Guarantees
from egretloft._internal.fleet.lost_work import LostWorkCache, expected_work
from egretloft._internal.fleet.models import Resources
from egretloft._internal.fleet.placing import (
    FreeCapacity,
    Plan,
    free_capacity,
    place_gang,
    place_members,
    place_tasks,
    racks_of,
    required_resources,
    total_capacity,
)
from egretloft._internal.fleet.queueing import critical_path_ms, objective_seconds
from egretloft._internal.fleet.reservations import MIN_REMAINING_SECONDS
from egretloft._internal.fleet.tables import (
    JobRow,
    RunPhase,
    RunRow,
    StepRow,
    TargetRow,
)

MILLISECONDS = 1000.0
# Unless a guarantee entitles a step to the resources, the lost work may be at most this
# share of the work that the step itself is expected to do.
MAX_LOSS_RATIO = 0.3
# A gang that is spread over racks, or away from its data, runs several times as long
# and its caller waits. That is worth as much lost work of others as this multiple of
# its own expected work.
SLOW_RUN_COST = 5.0
# Longest time that an urgent step waits for runs to end by themselves. Stops, starts
# and a second choice of targets must still fit into the bound that the operators set
# for a guarantee, about 3 s.
MAX_RECLAIM_DELAY_SECONDS = 0.4
# Share of its slack that a job may spend on this wait.
RECLAIM_DELAY_SLACK_SHARE = 0.5
# A stopped run that has not ended after this time may take long: its target may not
# have got the stop. Sound targets kill a run sooner.
OVERDUE_STOP_SECONDS = 1.5
# How long the targets of a reclaim stay pinned to a step, as stops take a while.
RECLAIM_PIN_SECONDS = 2.0
# How long the targets reserved for a waiting gang stay pinned to it.
RESERVATION_PIN_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class Claim:
    """On whose behalf runs are stopped: a step's priority, and what it is entitled to.

    ``guarantees`` is ``None`` unless the step is entitled by one.
    """

    priority: int
    guarantees: Guarantees | None = None

    def is_entitled(self) -> bool:
        """Return whether a guarantee entitles the step."""
        return self.guarantees is not None

    def may_stop(self, run: RunRow) -> bool:
        """Return whether the run may be stopped for the step."""
        if run.priority > self.priority and not run.lasting:
            return True
        return self.guarantees is not None and self.guarantees.is_borrowing(run)


@dataclass(slots=True, frozen=True)
class Reclaim:
    """Runs to stop, the work lost in core-seconds, and the plan for the step."""

    victims: tuple[RunRow, ...]
    lost_work: float
    plan: Plan


class NoReclaimReason(StrEnum):
    """Why no runs are stopped for a step."""

    INSUFFICIENT_RESOURCES = "no_room"
    TOO_COSTLY = "too_costly"


def plan_reservation(
    preemptible: PreemptibleCapacity,
    step: StepRow,
    targets: list[TargetRow],
    reserved: dict[str, Resources],
    priority: int,
    spread: bool,
) -> Plan | None:
    """Return where a waiting gang will fit once lower-priority runs have ended.

    Nothing is stopped: the capacity is only withheld from steps later in the order.
    """
    now = preemptible.now
    pinned = pinned_targets(step, targets, now)
    capacities = preemptible.unreserved(
        pinned or targets, Claim(priority), reserved, required_resources(step.spec)
    )
    for free in capacities:
        free.reclaim_cost = preemptible.remaining_seconds(free.target, priority)
    plan = place_gang(step, capacities, spread)
    if plan is not None and not pinned:
        pin_targets(step, plan, now + RESERVATION_PIN_SECONDS)
    return plan


def reclaim_delay_seconds(job: JobRow) -> float:
    """Return the seconds for which an urgent step waits before costly preemption."""
    slack = objective_seconds(job) - critical_path_ms(job) / MILLISECONDS
    return min(MAX_RECLAIM_DELAY_SECONDS, max(0.0, slack) * RECLAIM_DELAY_SLACK_SHARE)


def is_ending(run: RunRow, now: float) -> bool:
    """Return whether a run that has been told to stop is expected to end shortly."""
    return now - run.stopping_since < OVERDUE_STOP_SECONDS


def has_overdue_stop(target: TargetRow, now: float) -> bool:
    """Return whether a run of the target should have ended, as it was stopped."""
    return any(
        run.phase is RunPhase.STOPPING and not is_ending(run, now)
        for run in target.runs.values()
    )


def pinned_targets(
    step: StepRow, targets: list[TargetRow], now: float
) -> list[TargetRow]:
    """Return the targets that are pinned to the step, or an empty list.

    Targets are pinned no longer once one of them cannot be used, or a stop is overdue
    on it.
    """
    if now >= step.pinned_until:
        return []
    pinned = [t for t in targets if t.report.target_id in step.pinned_target_ids]
    is_incomplete = len(pinned) < len(step.pinned_target_ids)
    if is_incomplete or any(has_overdue_stop(target, now) for target in pinned):
        return []
    return pinned


def pin_targets(step: StepRow, plan: Plan, until: float) -> None:
    """Pin the plan's targets to the step until the time ``until``."""
    used = {free.target.report.target_id for _, free in plan.entries}
    step.pinned_target_ids = frozenset(used)
    step.pinned_until = until


def longest_remaining_seconds(target: TargetRow, priority: int, now: float) -> float:
    """Return the estimated seconds until all lower-priority runs of a target end.

    A run that has exceeded its estimate is expected to end soon.
    """
    longest = 0.0
    for run in target.runs.values():
        if run.priority <= priority or run.job is None:
            continue
        step = run.job.step(run.key.task.step)
        remaining = step.expected_seconds - (now - run.started_at)
        longest = max(longest, remaining, MIN_REMAINING_SECONDS)
    return longest


class PreemptibleCapacity:
    """Capacity free after other runs are preempted, cached for one tick."""

    def __init__(self, now: float) -> None:
        self.now = now
        self.lost_work_cache = LostWorkCache(now)
        self.capacities: dict[tuple[str, int, bool], FreeCapacity] = {}
        self.remaining_by_target: dict[tuple[str, int], float] = {}

    def after_preemption(self, target: TargetRow, claim: Claim) -> FreeCapacity:
        """Return what is free without the runs that a claim may stop, and the cost.

        The result is cached and must not be changed.
        """
        key = (target.report.target_id, claim.priority, claim.is_entitled())
        cached = self.capacities.get(key)
        if cached is None:
            cached = capacity_after_preemption(self.lost_work_cache, target, claim)
            self.capacities[key] = cached
        return cached

    def unreserved(
        self,
        targets: list[TargetRow],
        claim: Claim,
        reserved: dict[str, Resources],
        needed: Resources,
    ) -> list[FreeCapacity]:
        """Return copies of the capacities that hold ``needed``.

        What is reserved for steps earlier in the order is subtracted.
        """
        capacities = []
        for target in targets:
            shared = self.after_preemption(target, claim)
            if not shared.holds(needed):
                continue
            free = shared.copy()
            reserved_here = reserved.get(target.report.target_id)
            if reserved_here is not None:
                free.take(reserved_here)
                if not free.holds(needed):
                    continue
            capacities.append(free)
        return capacities

    def remaining_seconds(self, target: TargetRow, priority: int) -> float:
        """Return the estimated seconds until all lower-priority runs have ended."""
        key = (target.report.target_id, priority)
        if key not in self.remaining_by_target:
            self.remaining_by_target[key] = longest_remaining_seconds(
                target, priority, self.now
            )
        return self.remaining_by_target[key]


def capacity_after_preemption(
    losses: LostWorkCache, target: TargetRow, claim: Claim
) -> FreeCapacity:
    """Return what is free without the runs that may be stopped, and the work then lost.

    A run whose stop is overdue keeps what it takes.
    """
    free = total_capacity(target)
    for run in target.runs.values():
        is_stopping = run.phase is RunPhase.STOPPING
        if is_stopping and is_ending(run, losses.now):
            continue
        if is_stopping or not claim.may_stop(run):
            free.take(run.room)
        else:
            free.reclaim_cost += losses.for_run(run)
    return free


def plan_reclaim(
    preemptible: PreemptibleCapacity,
    step: StepRow,
    targets: list[TargetRow],
    reserved: dict[str, Resources],
    claim: Claim,
    spread: bool,
) -> Reclaim | NoReclaimReason:
    """Return which runs to stop so that the waiting tasks of ``step`` fit.

    ``reserved`` is what is reserved per target for steps earlier in the order.
    Unless the step is entitled, the lost work must not exceed ``MAX_LOSS_RATIO`` of
    the step's own expected work. An entitled gang that asks for one rack is spread
    over several ones if clearing a rack would lose far more work.
    """
    now = preemptible.now
    # A reservation also pins its targets, but other ones may be cheaper to clear.
    pinned = pinned_targets(step, targets, now) if now < step.reclaimed_until else []
    reclaim: Reclaim | None = None
    if pinned:
        reclaim = cheapest_reclaim_on(
            preemptible, step, pinned, reserved, claim, spread
        )
    if reclaim is None:
        # What was cleared on the pinned targets may have been taken by other steps.
        reclaim = cheapest_reclaim_on(
            preemptible, step, targets, reserved, claim, spread
        )
    if reclaim is None:
        return NoReclaimReason.INSUFFICIENT_RESOURCES
    if (
        not claim.is_entitled()
        and reclaim.lost_work > expected_work(step) * MAX_LOSS_RATIO
    ):
        return NoReclaimReason.TOO_COSTLY
    if reclaim.victims:
        pin_targets(step, reclaim.plan, now + RECLAIM_PIN_SECONDS)
        step.reclaimed_until = step.pinned_until
    return reclaim


def cheapest_reclaim_on(
    preemptible: PreemptibleCapacity,
    step: StepRow,
    targets: list[TargetRow],
    reserved: dict[str, Resources],
    claim: Claim,
    spread: bool,
) -> Reclaim | None:
    """Return the reclaim with the lowest cost on some targets, ``None`` without one."""
    capacities = preemptible.unreserved(
        targets, claim, reserved, required_resources(step.spec)
    )
    groups = capacity_groups(step, capacities, spread, claim.is_entitled())
    return cheapest_reclaim(preemptible.lost_work_cache, step, groups, reserved, claim)


def capacity_groups(
    step: StepRow, capacities: list[FreeCapacity], spread: bool, entitled: bool
) -> list[list[FreeCapacity]]:
    """Return the sets of capacities from which a step may be placed as a whole.

    For a gang that must not be spread yet, these are the racks. An entitled one may
    also use all of them together.
    """
    if not step.spec.gang or not step.spec.same_rack:
        return [capacities]
    groups = list(racks_of(capacities).values())
    if entitled or spread:
        # A plan takes from its capacities, so the groups must not share any.
        groups.append([free.copy() for free in capacities])
    return groups


def cheapest_reclaim(
    losses: LostWorkCache,
    step: StepRow,
    groups: list[list[FreeCapacity]],
    reserved: dict[str, Resources],
    claim: Claim,
) -> Reclaim | None:
    """Return the reclaim with the lowest cost, or ``None`` if the step fits nowhere.

    The cost is the lost work, and for a slow run ``SLOW_RUN_COST`` times the step's own
    expected work.
    """
    best: Reclaim | None = None
    best_cost = math.inf
    slow_run_cost = SLOW_RUN_COST * expected_work(step)
    for capacities in groups:
        plan = place_step(step, capacities)
        if plan is None or not plan.entries:
            continue
        victims = plan_victims(losses, plan, reserved, claim)
        lost = losses.total(victims)
        cost = lost + slow_run_cost if is_slow(step, plan) else lost
        if cost < best_cost:
            best, best_cost = Reclaim(victims, lost, plan), cost
    return best


def place_step(step: StepRow, capacities: list[FreeCapacity]) -> Plan | None:
    """Place all members of a gang on any of the targets, or as many tasks as fit."""
    if step.spec.gang:
        return place_members(step, capacities)
    return place_tasks(step, step.waiting(), capacities)


def is_slow(step: StepRow, plan: Plan) -> bool:
    """Return whether the plan is away from the step's data or its single rack."""
    racks = {free.target.report.rack for _, free in plan.entries}
    if step.spec.data_rack and racks != {step.spec.data_rack}:
        return True
    return step.spec.gang and step.spec.same_rack and len(racks) > 1


def plan_victims(
    losses: LostWorkCache, plan: Plan, reserved: dict[str, Resources], claim: Claim
) -> tuple[RunRow, ...]:
    """Return the runs to stop so that the plan fits."""
    victims: dict[int, RunRow] = {}
    for free in {id(free): free for _, free in plan.entries}.values():
        for run in victims_on(losses, free, plan, reserved, claim):
            victims[id(run)] = run
    return tuple(victims.values())


def victims_on(
    losses: LostWorkCache,
    free: FreeCapacity,
    plan: Plan,
    reserved: dict[str, Resources],
    claim: Claim,
) -> list[RunRow]:
    """Return the runs to stop on one target so that the plan fits, cheapest first.

    Runs that turn out not to be needed are dropped again, the most costly ones first.
    """
    target = free.target
    needed = Resources()
    for _, planned in plan.entries:
        if planned is free:
            needed = needed.plus(plan.task_resources)
    needed = needed.plus(reserved.get(target.report.target_id, Resources()))
    available = free_capacity(target)
    for run in target.runs.values():
        if run.phase is RunPhase.STOPPING and is_ending(run, losses.now):
            available.give(run.room)
    candidates = [
        run
        for run in target.runs.values()
        if claim.may_stop(run) and run.phase is not RunPhase.STOPPING
    ]
    candidates.sort(key=losses.for_run)
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
