"""The owner of a region's gangs: acts only while it holds the partition."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from egretloft._internal.gangs.context import OwnerContext
from egretloft._internal.gangs.interfaces import (
    Ownership,
    RunAccounting,
    Scheduler,
    Sleep,
    Topology,
    View,
)
from egretloft._internal.gangs.records import JobTable
from egretloft._internal.gangs.session import OwnerSession, create_owner_session
from egretloft._internal.metrics import Metrics
from egretloft._internal.platform.protocols import Clock, WorkerClient

log = structlog.get_logger(__name__)


# Tables are kept, but not used, while the ownership is not confirmed. When the same
# epoch is confirmed again, no other instance has written, and gangs go on without a
# read of the rows, which an outage of the store may not allow. After this time, the
# lease, no gang is left to go on.
KEPT_SECONDS = 15.0


def gangs_partition(region: str) -> str:
    """Return the name of the partition that places all gangs of a region."""
    return f"gangs/{region}"


@dataclass(slots=True)
class GangOwner:
    """Runs a session per epoch of ``gangs/<region>`` and nothing between them.

    ``held_at`` is the monotonic time at which the ownership was last confirmed.
    """

    jobs: JobTable
    clock: Clock
    sleep: Sleep
    client: WorkerClient
    ownership: Ownership
    view: View
    topology: Topology
    accounting: RunAccounting
    metrics: Metrics
    create_scheduler: Callable[[], Scheduler]
    session: OwnerSession | None = None
    held_at: float = 0.0

    async def tick(self) -> None:
        """Advance the gangs; to be called a few times a second."""
        epoch = self.ownership.holds(gangs_partition(self.jobs.region))
        session = self.session
        now = self.clock.monotonic()
        if epoch is not None:
            self.held_at = now
        if session is not None and (
            now - self.held_at > KEPT_SECONDS
            or (epoch is not None and epoch.number != session.context.epoch_number)
            or session.context.abandoned
        ):
            log.info("gang tables dropped", epoch=session.context.epoch_number)
            self.metrics.count("gang_sessions_closed")
            session.close()
            self.session = session = None
        if epoch is None:
            return
        if session is None:
            log.info("gang tables are loaded", epoch=epoch.number)
            session = self._create_session(epoch.number)
            self.session = session
        session.tick()

    def queued_jobs(self) -> dict[str, int]:
        """Return the number of queued jobs by organisation; empty if not owner."""
        counts: dict[str, int] = {}
        if self.session is not None:
            for gang in self.session.gangs.values():
                if not gang.members:
                    name = gang.record.spec.organisation
                    counts[name] = counts.get(name, 0) + 1
        return counts

    def degraded_guarantees(self) -> dict[str, int]:
        """Return accelerators by profile that no cells in service can carry."""
        if self.session is None:
            return {}
        return self.session.scheduler.unsatisfied_guarantees()

    def close(self) -> None:
        """Drop the tables, for example before the ownership is released."""
        if self.session is not None:
            self.session.close()
            self.session = None

    def _create_session(self, epoch_number: int) -> OwnerSession:
        context = OwnerContext(
            partition=gangs_partition(self.jobs.region),
            epoch_number=epoch_number,
            clock=self.clock,
            sleep=self.sleep,
            client=self.client,
            jobs=self.jobs,
            ownership=self.ownership,
            view=self.view,
            topology=self.topology,
            accounting=self.accounting,
            metrics=self.metrics,
        )
        return create_owner_session(context, self.create_scheduler())


def create_gang_owner(
    *,
    jobs: JobTable,
    clock: Clock,
    sleep: Sleep,
    client: WorkerClient,
    ownership: Ownership,
    view: View,
    topology: Topology,
    accounting: RunAccounting,
    metrics: Metrics,
    create_scheduler: Callable[[], Scheduler],
) -> GangOwner:
    """Return an owner without a session; ``sleep`` is ``asyncio.sleep`` in service."""
    return GangOwner(
        jobs,
        clock,
        sleep,
        client,
        ownership,
        view,
        topology,
        accounting,
        metrics,
        create_scheduler,
    )
