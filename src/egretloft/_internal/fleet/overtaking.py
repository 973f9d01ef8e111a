"""Use of capacity that is reserved for a waiting gang by steps later in the order.

What is reserved for a gang lies idle until runs elsewhere have ended, which may take
long. On a mostly idle service, a job of which nothing runs waits for that only for a
short time. So that a stream of jobs does not starve a gang, such a job gets one task or
one gang, only while the service stays mostly idle, and only once no jobs have arrived
for a moment. A step that is short against the gang's wait need not wait for that: it
may use what it gives back before the gang can start. If the time of that start is not
known, it may as long as the gang waits for a run that has not overtaken it. Tasks that
last need not wait either, as few of them arrive.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import compress

from egretloft._internal.fleet.demands import UnplaceableDemands, demand_of
from egretloft._internal.fleet.models import Resources
from egretloft._internal.fleet.placing import (
    FreeCapacity,
    Plan,
    fitting_tasks,
    is_mostly_idle,
    place_gang,
    place_tasks,
)
from egretloft._internal.fleet.queueing import WaitingStep
from egretloft._internal.fleet.reservations import Reservation
from egretloft._internal.fleet.tables import StepRow, TargetRow, TaskRow

# A step that has waited this long may use what is reserved for gangs.
OVERTAKE_SECONDS = 2.5
# A gang that has waited this long is overtaken by others than short steps only once no
# jobs have arrived for ``CALM_SECONDS``.
MAX_OVERTAKEN_SECONDS = 30.0
CALM_SECONDS = 10.0
# A step overtakes only if it fits this many times.
AMPLE_ROOM_FACTOR = 2
# Jobs arrive in a stream if the last one did so less than this ago.
STREAM_SECONDS = 2.5
# A step is short if it is expected to take at most this share of the gang's wait so
# far, which bounds what a wrong estimate can cost the gang.
SHORT_SHARE = 0.5
# A step is expected to end in time if it may take this many times as long.
OVERRUN_FACTOR = 2.0


class Overtaking:
    """Decides in one tick which steps may use what is reserved for waiting gangs.

    ``service_targets`` are the groups of targets that may count as the whole service.
    ``last_arrival`` is when a job of the service last became ready.
    """

    def __init__(
        self,
        now: float,
        service_targets: Sequence[list[TargetRow]],
        last_arrival: float,
    ) -> None:
        self.now = now
        self.service_targets = service_targets
        self.since_arrival = now - last_arrival
        self.reservations: list[Reservation] = []
        self.planned = Resources()
        self.mostly_idle: bool | None = None
        # By whether each of the reservations may be used.
        self.unplaceable: dict[tuple[bool, ...], UnplaceableDemands] = {}

    def note_reserved(self, reservation: Reservation) -> None:
        """Note what is reserved for a gang that waits for runs to end."""
        self.reservations.append(reservation)

    def withhold(self, target_id: str) -> None:
        """Let nothing more use what is reserved on a target."""
        for reservation in self.reservations:
            reservation.resources.pop(target_id, None)

    def seconds_until_start(self) -> float | None:
        """Return when the first gang with a reservation is expected to start.

        ``None`` if no such time is known.
        """
        waits = [reservation.starts_in for reservation in self.reservations]
        soonest = min(waits, default=math.inf)
        return None if math.isinf(soonest) else round(soonest, 2)

    def may_overtake(self, reservation: Reservation, step: StepRow) -> bool:
        """Return whether a step may use what is reserved for a gang."""
        if step.spec.lasting:
            return True
        has_waited_long = reservation.waited >= MAX_OVERTAKEN_SECONDS
        calm_seconds = CALM_SECONDS if has_waited_long else STREAM_SECONDS
        if self.since_arrival >= calm_seconds:
            return True
        if step.expected_seconds > reservation.waited * SHORT_SHARE:
            return False
        if math.isinf(reservation.starts_in):
            return reservation.awaits_earlier
        return step.expected_seconds * OVERRUN_FACTOR <= reservation.starts_in

    def plan(
        self, waiting: WaitingStep, capacities: list[FreeCapacity], spread: bool
    ) -> Plan | None:
        """Return a plan for a step that may overtake, or ``None``.

        ``capacities`` are without what is reserved; the plan takes nothing from them.
        """
        step = waiting.step
        if not self.reservations or self.now - step.ready_at < OVERTAKE_SECONDS:
            return None
        tasks = overtaking_tasks(waiting)
        if not tasks or not self.is_idle():
            return None
        usable = tuple(self.may_overtake(entry, step) for entry in self.reservations)
        unplaceable = self.unplaceable.setdefault(usable, UnplaceableDemands())
        demand = demand_of(step, spread, False)
        if not any(usable) or unplaceable.rules_out(demand):
            return None
        available = self.with_reserved(capacities, usable)
        plan: Plan | None = None
        if fitting_tasks(step, available) >= len(tasks) * AMPLE_ROOM_FACTOR:
            plan = (
                place_gang(step, available, spread)
                if step.spec.gang
                else place_tasks(step, tasks, available)
            )
        if plan is None or not plan.entries:
            unplaceable.add(step, demand)
            return None
        self.note_planned(plan)
        return plan

    def is_idle(self) -> bool:
        """Return whether the service is mostly idle in spite of what overtakes."""
        if self.mostly_idle is None:
            self.mostly_idle = any(
                is_mostly_idle(targets, self.planned)
                for targets in self.service_targets
            )
        return self.mostly_idle

    def note_planned(self, plan: Plan) -> None:
        """Count what a plan takes as in use."""
        for _ in plan.entries:
            self.planned = self.planned.plus(plan.task_resources)
        self.mostly_idle = None

    def with_reserved(
        self, capacities: list[FreeCapacity], usable: tuple[bool, ...]
    ) -> list[FreeCapacity]:
        """Return copies of the capacities that include the usable reservations."""
        copies = [free.copy() for free in capacities]
        for reservation in compress(self.reservations, usable):
            for free in copies:
                reserved = reservation.resources.get(free.target.report.target_id)
                if reserved is not None:
                    free.give(reserved)
        return copies


def overtaking_tasks(waiting: WaitingStep) -> list[TaskRow]:
    """Return the tasks of a step that may overtake a waiting gang.

    These are all of a gang and one of another step, if nothing of the job runs; tasks
    that last do not depend on others of their job.
    """
    spec = waiting.step.spec
    if waiting.job.runs and not spec.lasting:
        return []
    tasks = waiting.step.waiting()
    return tasks if spec.gang else tasks[:1]
