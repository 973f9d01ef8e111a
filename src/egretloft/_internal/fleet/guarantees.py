"""Which urgent jobs are covered by an organisation's guarantee.

A guarantee is a number of accelerators that an organisation's urgent jobs may claim at
any time. It covers these jobs while all of them together need no more than that.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from egretloft._internal.fleet.models import OperatorState
from egretloft._internal.fleet.tables import FleetTables, JobRow

GUARANTEED_PRIORITY = 0


def widest_step_gpus(job: JobRow) -> int:
    """Return the accelerators that the job's largest step needs."""
    return max(step.tasks * step.room.gpus for step in job.accepted.spec.steps)


class Guarantees:
    """Guaranteed and needed accelerators by organisation, as of one tick.

    What is needed is computed when it is first asked for, as most ticks do not ask.
    """

    def __init__(
        self, guaranteed: Mapping[str, int], needed: Callable[[], Mapping[str, int]]
    ) -> None:
        self.guaranteed = guaranteed
        self.compute_needed = needed
        self.needed: Mapping[str, int] | None = None

    def covers(self, job: JobRow) -> bool:
        """Return whether the job may preempt others whatever work that loses."""
        accepted = job.accepted
        if accepted.priority != GUARANTEED_PRIORITY:
            return False
        if self.needed is None:
            self.needed = self.compute_needed()
        guaranteed = self.guaranteed.get(accepted.organisation, 0)
        return 0 < self.needed.get(accepted.organisation, 0) <= guaranteed


def create_guarantees(tables: FleetTables, operators: OperatorState) -> Guarantees:
    """Return the guarantees beside what the unfinished urgent jobs need."""
    configuration = operators.configuration
    guaranteed = {
        organisation.name: organisation.guaranteed_gpus
        for organisation in (configuration.organisations if configuration else ())
    }
    return Guarantees(guaranteed, lambda: needed_gpus(tables))


def needed_gpus(tables: FleetTables) -> dict[str, int]:
    """Return the accelerators that each organisation's urgent jobs need together."""
    needed: dict[str, int] = {}
    for job in tables.open_jobs.values():
        accepted = job.accepted
        if accepted.priority == GUARANTEED_PRIORITY:
            sum_so_far = needed.get(accepted.organisation, 0)
            needed[accepted.organisation] = sum_so_far + widest_step_gpus(job)
    return needed
