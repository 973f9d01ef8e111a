"""The service whose targets run a job's steps: that of its queue in force.

A configuration may send a queue to another service while jobs wait that were accepted
before. Their steps then start on the new service. On the former one they may start
while it has a target that can hold them and the new one has none.
"""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from egretloft._internal.fleet.models import Configuration
from egretloft._internal.fleet.placing import fitting_tasks, total_capacity
from egretloft._internal.fleet.records import AcceptedJob
from egretloft._internal.fleet.tables import FleetTables, StepRow, TargetRow

log = structlog.get_logger(__name__)


def listed_targets(tables: FleetTables, service: str) -> list[TargetRow]:
    """Return all targets of a service, also those that may not get new work now."""
    return [
        target
        for target in tables.targets.values()
        if target.report.service == service and target.listed
    ]


def could_hold(targets: Iterable[TargetRow], step: StepRow) -> bool:
    """Return whether the step, or one task of it, would fit if nothing ran there."""
    needed = step.spec.tasks if step.spec.gang else 1
    capacities = (total_capacity(t) for t in targets if not t.report.draining)
    return fitting_tasks(step, capacities) >= needed


class QueueServices:
    """The service of each queue by the newest configuration that the leader knows."""

    def __init__(self, tables: FleetTables) -> None:
        self.tables = tables
        self.configuration: Configuration | None = None
        self.by_queue: dict[str, str] = {}

    def update(self, configuration: Configuration | None) -> None:
        """Use a configuration from now on, and log what queues have moved."""
        if configuration is None or configuration is self.configuration:
            return
        former, self.configuration = self.by_queue, configuration
        self.by_queue = {queue.name: queue.service for queue in configuration.queues}
        for queue, service in self.by_queue.items():
            if former.get(queue, service) != service:
                log.info(
                    "queue moved to another service",
                    queue=queue,
                    service=service,
                    former=former[queue],
                    configuration=configuration.version,
                )

    def in_force(self, accepted: AcceptedJob) -> str:
        """Return the service of a job's queue.

        It is that of the job's acceptance if the queue is not configured any more, or
        if the instance that accepted the job knew a newer configuration.
        """
        configuration = self.configuration
        if (
            configuration is None
            or configuration.version < accepted.configuration_version
        ):
            return accepted.service
        return self.by_queue.get(accepted.queue, accepted.service)

    def choose(self, accepted: AcceptedJob, step: StepRow) -> str:
        """Return the service on which a step of a job may start now."""
        service, former = self.in_force(accepted), accepted.service
        if service == former or could_hold(listed_targets(self.tables, service), step):
            return service
        if could_hold(listed_targets(self.tables, former), step):
            return former
        return service


def create_queue_services(tables: FleetTables) -> QueueServices:
    """Return the services of a leader that has read no configuration yet."""
    return QueueServices(tables)
