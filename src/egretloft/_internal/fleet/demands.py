"""What waiting steps need at once, compared so that hopeless ones are skipped.

Answers a long queue over a full fleet: rooms only shrink within a tick, so once a
demand has found no place, every demand that asks for no less finds none either.
"""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.models import Resources
from egretloft._internal.fleet.placing import accounted_room
from egretloft._internal.fleet.tables import StepRow


@dataclass(slots=True, frozen=True)
class Demand:
    """The least that a step needs to start.

    ``tasks`` is 1 where tasks may start one by one. With ``one_rack`` all of them have
    to be in one rack, with ``sound_only`` targets in quarantine are left out.
    """

    room: Resources
    tasks: int
    one_rack: bool
    sound_only: bool

    def asks_no_less_than(self, other: Demand) -> bool:
        """Return whether whatever holds this demand also holds ``other``."""
        return (
            self.room.holds(other.room)
            and self.tasks >= other.tasks
            and self.one_rack >= other.one_rack
            and self.sound_only >= other.sound_only
        )


def demand_of(step: StepRow, spread: bool, sound_only: bool) -> Demand:
    """Return what the step needs; ``spread`` allows a gang to use several racks."""
    spec = step.spec
    tasks = len(step.tasks) if spec.gang else 1
    one_rack = spec.gang and spec.same_rack and not spread
    return Demand(accounted_room(spec), tasks, one_rack, sound_only)


def is_unrestricted(step: StepRow) -> bool:
    """Return whether only the room decides where the step's tasks may run."""
    spec = step.spec
    if spec.label or spec.max_per_target:
        return False
    return not any(task.failed_on for task in step.tasks)


class HopelessDemands:
    """Demands of unrestricted steps that found no place in this tick.

    ``priority`` matters where runs of less urgent steps count as room: a demand that
    failed for an urgent step fails for all that are no more urgent.
    """

    def __init__(self) -> None:
        self.demands: list[tuple[int, Demand]] = []

    def add(self, step: StepRow, demand: Demand, priority: int = 0) -> None:
        """Note that the step found no place, if that tells anything of others."""
        if is_unrestricted(step):
            self.demands.append((priority, demand))

    def include(self, demand: Demand, priority: int = 0) -> bool:
        """Return whether the demand certainly finds no place."""
        return any(
            priority >= failed_priority and demand.asks_no_less_than(failed)
            for failed_priority, failed in self.demands
        )
