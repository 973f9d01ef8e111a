"""Logs steps that wait although nothing of their job runs.

The line tells whether room is missing, or that there is room and no start. While starts
are withheld, or the leader recovers, no such line is written.
"""

from __future__ import annotations

import structlog

from egretloft._internal.fleet.placing import fitting_tasks
from egretloft._internal.fleet.queueing import WaitingStep
from egretloft._internal.fleet.service_tick import ServiceTick

log = structlog.get_logger(__name__)

# A job is reported once nothing of it has run for this long while a step of it waits.
REPORT_AFTER_SECONDS = 2.0
# It is reported again after this time.
REPORT_PERIOD_SECONDS = 10.0


class WaitReport:
    """Knows since when the waiting jobs have nothing running."""

    def __init__(self) -> None:
        self.idle_since: dict[str, float] = {}
        self.report_at: dict[str, float] = {}

    def review(
        self, waiting: list[WaitingStep], services: dict[str, ServiceTick], now: float
    ) -> None:
        """Log the steps that are due for a report; called after each decision."""
        idle = [entry for entry in waiting if not entry.job.runs]
        names = {entry.job.accepted.job_id for entry in idle}
        self.idle_since = {name: self.idle_since.get(name, now) for name in names}
        self.report_at = {
            name: self.report_at.get(name, now + REPORT_AFTER_SECONDS) for name in names
        }
        for entry in idle:
            name = entry.job.accepted.job_id
            service = services.get(entry.service)
            if now >= self.report_at[name] and service is not None:
                self.report_at[name] = now + REPORT_PERIOD_SECONDS
                self.report(entry, service, now)

    def report(self, entry: WaitingStep, service: ServiceTick, now: float) -> None:
        """Log what a waiting step needs and what there is of it."""
        step = entry.step
        log.info(
            "step waits",
            request_id=step.key.job_id,
            step=step.key.step,
            service=entry.service,
            tasks=len(step.waiting()),
            idle=round(now - self.idle_since[step.key.job_id], 3),
            waited=round(now - step.ready_at, 3),
            targets=len(service.targets),
            healthy=len(service.healthy_targets),
            fitting=fitting_tasks(step, service.capacities),
            spread=service.spread_policy.may_spread(step),
            suspected=step.suspected,
            gangs_ahead=len(service.overtaking.reservations),
            gang_starts_in=service.overtaking.seconds_until_start(),
        )


def create_wait_report() -> WaitReport:
    """Return a report without waiting jobs."""
    return WaitReport()
