"""Which urgent jobs an organisation's guarantee covers.

A guarantee is a number of accelerators that belong to the organisation's urgent jobs
at all times. It covers them while all of them together need no more than that.
"""

from __future__ import annotations

from collections.abc import Mapping

from egretloft._internal.fleet.models import OperatorState
from egretloft._internal.fleet.tables import FleetTables, JobRow

GUARANTEED_PRIORITY = 0


def needed_gpus(job: JobRow) -> int:
    """Return the accelerators of a job's widest step."""
    return max(step.tasks * step.room.gpus for step in job.accepted.spec.steps)


class Guarantees:
    """Guaranteed and needed accelerators by organisation at one moment."""

    def __init__(
        self, guaranteed: Mapping[str, int], needed: Mapping[str, int]
    ) -> None:
        self.guaranteed = guaranteed
        self.needed = needed

    def covers(self, job: JobRow) -> bool:
        """Return whether the job's room has to be given back at once."""
        accepted = job.accepted
        if accepted.priority != GUARANTEED_PRIORITY:
            return False
        held = self.guaranteed.get(accepted.organisation, 0)
        return 0 < self.needed.get(accepted.organisation, 0) <= held


def create_guarantees(tables: FleetTables, operators: OperatorState) -> Guarantees:
    """Return the guarantees over the jobs that have not ended."""
    configuration = operators.configuration
    guaranteed = {
        organisation.name: organisation.guaranteed_gpus
        for organisation in (configuration.organisations if configuration else ())
    }
    needed: dict[str, int] = {}
    for job in tables.open_jobs.values():
        accepted = job.accepted
        if accepted.priority == GUARANTEED_PRIORITY:
            sum_so_far = needed.get(accepted.organisation, 0)
            needed[accepted.organisation] = sum_so_far + needed_gpus(job)
    return Guarantees(guaranteed, needed)
