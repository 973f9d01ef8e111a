"""Gang owner: manages the gangs of a region while it holds their partition."""

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

# A session is retained, but not used, while the ownership is not confirmed. If the same
# epoch is confirmed again, no other instance has written in the meantime, and the
# session continues without reading the rows, which may not be possible during a store
# outage. After this time, which equals the lease term, all leases have expired and no
# gang is left to continue.
SESSION_RETENTION_SECONDS = 15.0


def gangs_partition(region: str) -> str:
    """Return the name of the partition whose owner manages all gangs of a region."""
    return f"gangs/{region}"


@dataclass(slots=True)
class GangOwner:
    """Runs one session for each epoch in which this instance holds the partition.

    ``last_held_at`` is the time at which the ownership was last confirmed, in seconds
    on the monotonic clock.
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
    last_held_at: float = 0.0

    async def tick(self) -> None:
        """Open or close the session as the ownership requires, and run its tick.

        To be called a few times a second.
        """
        epoch = self.ownership.holds(gangs_partition(self.jobs.region))
        session = self.session
        now = self.clock.monotonic()
        if epoch is not None:
            self.last_held_at = now
        if session is not None and (
            now - self.last_held_at > SESSION_RETENTION_SECONDS
            or (epoch is not None and epoch.number != session.context.epoch_number)
            or session.context.needs_reload
        ):
            log.info("gang session closed", epoch=session.context.epoch_number)
            self.metrics.count("gang_sessions_closed")
            session.close()
            self.session = session = None
        if epoch is None:
            return
        if session is None:
            log.info("gang session opened", epoch=epoch.number)
            session = self._create_session(epoch.number)
            self.session = session
        session.tick()

    def queued_jobs(self) -> dict[str, int]:
        """Return the number of queued jobs by organisation; empty without a session."""
        counts: dict[str, int] = {}
        if self.session is not None:
            for gang in self.session.gangs.values():
                if not gang.members:
                    name = gang.record.spec.organisation
                    counts[name] = counts.get(name, 0) + 1
        return counts

    def degraded_guarantees(self) -> dict[str, int]:
        """Return the guaranteed accelerators that cannot be provided, by profile."""
        if self.session is None:
            return {}
        return self.session.scheduler.unsatisfied_guarantees()

    def close(self) -> None:
        """Close the session, for example before the ownership is released."""
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
    """Return an owner without a session; the daemon passes ``asyncio.sleep``."""
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
