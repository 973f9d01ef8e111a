"""Minimum demands of waiting steps, used to skip steps that cannot be placed.

Saves work when a long queue waits for a full fleet: free capacity only shrinks
within a tick, so once a demand could not be placed, no demand that is at least as large
can be placed either.
"""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.fleet.models import Resources
from egretloft._internal.fleet.placing import required_resources
from egretloft._internal.fleet.tables import StepRow


@dataclass(slots=True, frozen=True)
class Demand:
    """The minimum that a step needs to start.

    ``resources`` is what one task needs. ``tasks`` is 1 for a step whose tasks may
    start one by one. With ``one_rack`` all tasks must be in one rack; ``healthy_only``
    excludes targets in quarantine.
    """

    resources: Resources
    tasks: int
    one_rack: bool
    healthy_only: bool

    def is_at_least(self, other: Demand) -> bool:
        """Return whether ``other`` can be placed wherever this demand can."""
        return (
            self.resources.holds(other.resources)
            and self.tasks >= other.tasks
            and self.one_rack >= other.one_rack
            and self.healthy_only >= other.healthy_only
        )


def demand_of(step: StepRow, spread: bool, healthy_only: bool) -> Demand:
    """Return the step's minimum demand; ``spread`` lets a gang use several racks."""
    spec = step.spec
    tasks = len(step.tasks) if spec.gang else 1
    one_rack = spec.gang and spec.same_rack and not spread
    return Demand(required_resources(spec), tasks, one_rack, healthy_only)


def is_unrestricted(step: StepRow) -> bool:
    """Return whether the step's tasks may run on any target that has enough free."""
    spec = step.spec
    if spec.label or spec.max_per_target:
        return False
    return not any(task.failed_on for task in step.tasks)


class UnplaceableDemands:
    """Demands of unrestricted steps that could not be placed in this tick.

    ``priority`` matters where lower-priority runs may be preempted: a demand that
    failed at one priority also fails at every priority that is no more urgent.
    """

    def __init__(self) -> None:
        self.demands: list[tuple[int, Demand]] = []

    def add(self, step: StepRow, demand: Demand, priority: int = 0) -> None:
        """Record a demand that could not be placed.

        Restricted steps are ignored, as their restrictions may be the cause.
        """
        if is_unrestricted(step):
            self.demands.append((priority, demand))

    def rules_out(self, demand: Demand, priority: int = 0) -> bool:
        """Return whether the demand certainly cannot be placed."""
        return any(
            priority >= failed_priority and demand.is_at_least(failed)
            for failed_priority, failed in self.demands
        )
