"""What an organisation's guarantee covers: urgent jobs, and the runs that are kept.

A guarantee is a number of accelerators that an organisation's urgent jobs may claim at
any time. It covers these jobs while all of them together need no more than that. Others
may use what is idle; their runs give way to a job that a guarantee covers, unless one
covers them too.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from egretloft._internal.fleet.models import OperatorState, RunKey, TaskKey
from egretloft._internal.fleet.tables import (
    FleetTables,
    JobRow,
    RunPhase,
    RunRow,
    StepRow,
    TaskRow,
)
from egretloft._internal.fleet.target_health import FULL_PERCENT

GUARANTEED_PRIORITY = 0


def widest_step_gpus(job: JobRow) -> int:
    """Return the accelerators that the job's largest step needs."""
    return max(step.tasks * step.room.gpus for step in job.accepted.spec.steps)


class Guarantees:
    """Guaranteed and needed accelerators by organisation, as of one tick.

    What is needed, and which runs are kept, is computed when it is first asked for, as
    most ticks do not ask.
    """

    def __init__(
        self, guaranteed: Mapping[str, int], urgent_jobs: Callable[[], list[JobRow]]
    ) -> None:
        self.guaranteed = guaranteed
        self.urgent_jobs = urgent_jobs
        self.needed: Mapping[str, int] | None = None
        self.kept: set[RunKey] | None = None

    def covers(self, job: JobRow) -> bool:
        """Return whether the job may preempt others whatever work that loses."""
        accepted = job.accepted
        if accepted.priority != GUARANTEED_PRIORITY:
            return False
        return self.covers_all_of(accepted.organisation)

    def covers_all_of(self, organisation: str) -> bool:
        """Return whether an organisation's urgent jobs need no more than guaranteed."""
        if self.needed is None:
            self.needed = needed_gpus(self.urgent_jobs())
        needed = self.needed.get(organisation, 0)
        return 0 < needed <= self.guaranteed.get(organisation, 0)

    def is_borrowing(self, run: RunRow) -> bool:
        """Return whether the run uses what no guarantee of its organisation covers.

        Such a run gives way to a job that a guarantee covers. One that an operator's
        limit on unavailable tasks protects does not.
        """
        if run.job is None or run.task is None:
            return False
        if not may_become_unavailable(run, run.job.step(run.key.task.step)):
            return False
        if run.priority != GUARANTEED_PRIORITY:
            return True
        if self.covers_all_of(run.job.accepted.organisation):
            return False
        if self.kept is None:
            self.kept = kept_runs(self.urgent_jobs(), self.guaranteed)
        return run.key not in self.kept


@dataclass(slots=True)
class StopUnit:
    """Runs of which none can be stopped alone: one run, or those of a gang."""

    runs: list[RunRow] = field(default_factory=list)

    def gpus(self) -> int:
        """Return the accelerators of all the runs."""
        return sum(run.room.gpus for run in self.runs)

    def age_key(self) -> tuple[float, TaskKey]:
        """Return the sort key by which the runs that started first come first."""
        return min((run.started_at, run.key.task) for run in self.runs)


def stop_units(job: JobRow) -> list[StopUnit]:
    """Return the runs of a job by what has to be stopped together."""
    gangs: dict[object, StopUnit] = {}
    units: list[StopUnit] = []
    for run in job.runs.values():
        if not run.gang:
            units.append(StopUnit([run]))
            continue
        gang = (run.key.task.step, run.key.attempt)
        gangs.setdefault(gang, StopUnit()).runs.append(run)
    return [*units, *gangs.values()]


def kept_runs(urgent_jobs: list[JobRow], guaranteed: Mapping[str, int]) -> set[RunKey]:
    """Return the urgent runs that their organisations' guarantees cover.

    Of an organisation that uses more than its guarantee, those that started first are
    kept, as far as it reaches.
    """
    by_organisation: dict[str, list[StopUnit]] = {}
    for job in urgent_jobs:
        units = by_organisation.setdefault(job.accepted.organisation, [])
        units += stop_units(job)
    kept: set[RunKey] = set()
    for organisation, units in by_organisation.items():
        left = guaranteed.get(organisation, 0)
        for unit in sorted(units, key=StopUnit.age_key):
            if 0 < unit.gpus() <= left:
                left -= unit.gpus()
                kept.update(run.key for run in unit.runs)
    return kept


def may_become_unavailable(run: RunRow, step: StepRow) -> bool:
    """Return whether the run's step may lose the run now.

    A step that lasts may have a limit on how many of its tasks are unavailable at once.
    """
    limit = step.spec.max_unavailable
    if not limit:
        return True
    at_work = [task for task in step.tasks if is_at_work(task)]
    may_stop = max(0, limit - (len(step.tasks) - len(at_work)))
    return run.task not in at_work or run.task in at_work[:may_stop]


def is_at_work(task: TaskRow) -> bool:
    """Return whether a task that lasts serves its users: at full progress."""
    run = task.run
    if run is None or run.phase is not RunPhase.ACTIVE:
        return False
    return run.percent >= FULL_PERCENT


def create_guarantees(tables: FleetTables, operators: OperatorState) -> Guarantees:
    """Return the guarantees beside what the unfinished urgent jobs need."""
    configuration = operators.configuration
    guaranteed = {
        organisation.name: organisation.guaranteed_gpus
        for organisation in (configuration.organisations if configuration else ())
    }
    return Guarantees(guaranteed, lambda: urgent_jobs(tables))


def urgent_jobs(tables: FleetTables) -> list[JobRow]:
    """Return the unfinished jobs that guarantees are for."""
    return [
        job
        for job in tables.open_jobs.values()
        if job.accepted.priority == GUARANTEED_PRIORITY
    ]


def needed_gpus(urgent_jobs: list[JobRow]) -> dict[str, int]:
    """Return the accelerators that each organisation's urgent jobs need together."""
    needed: dict[str, int] = {}
    for job in urgent_jobs:
        organisation = job.accepted.organisation
        needed[organisation] = needed.get(organisation, 0) + widest_step_gpus(job)
    return needed
