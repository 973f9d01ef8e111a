"""The last known list of workers, runners and entry instances."""

from __future__ import annotations

import structlog
from returns.result import Failure, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.topology import (
    InstanceKind,
    InstanceRecord,
    InstanceState,
    Worker,
)
from egretloft._internal.platform.protocols import Clock, InstanceList

log = structlog.get_logger(__name__)


class Topology:
    """Targets and entry instances by id, as the platform last listed them.

    An instance that is leaving stays in the dicts for as long as it is listed.
    """

    def __init__(
        self, instance_list: InstanceList, clock: Clock, metrics: Metrics
    ) -> None:
        self.instance_list = instance_list
        self.clock = clock
        self.metrics = metrics
        self.last_list: tuple[InstanceRecord, ...] | None = None
        self.records: dict[str, InstanceRecord] = {}
        self.workers: dict[str, Worker] = {}
        self.runners: dict[str, InstanceRecord] = {}
        self.entries: dict[str, InstanceRecord] = {}
        # Monotonic time of the last list that was read, ``None`` before the first.
        self.listed_at: float | None = None

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether the instance is listed as leaving."""
        record = self.records.get(instance_id)
        return record is not None and record.state is InstanceState.LEAVING

    def has_targets(self) -> bool:
        """Return whether the last list named a worker or a runner."""
        return bool(self.workers or self.runners)

    async def refresh(self) -> None:
        """Read the list; keep the last one when it cannot be read."""
        match await self.instance_list.list():
            case Success(records):
                if records is not self.last_list:
                    self._apply(records)
                self.listed_at = self.clock.monotonic()
            case Failure(failure):
                self.metrics.count("instance_list_failures")
                log.warning("instance list cannot be read", error=failure.message)

    def _apply(self, records: tuple[InstanceRecord, ...]) -> None:
        self.last_list = records
        self.records = {record.instance_id: record for record in records}
        self.workers = {
            record.instance_id: Worker(
                worker_id=record.instance_id,
                region=record.region,
                zone=record.zone,
                rack=record.rack,
                cores=record.cores,
                memory_gb=record.memory_gb,
                accelerators=record.accelerators,
                address=record.address,
            )
            for record in records
            if record.kind is InstanceKind.WORKER
        }
        self.runners = self._records_of_kind(InstanceKind.RUNNER)
        self.entries = self._records_of_kind(InstanceKind.ENTRY)

    def _records_of_kind(self, kind: InstanceKind) -> dict[str, InstanceRecord]:
        return {
            instance_id: record
            for instance_id, record in self.records.items()
            if record.kind is kind
        }


def create_topology(
    instance_list: InstanceList, clock: Clock, metrics: Metrics
) -> Topology:
    """Return a topology that is empty until its first refresh."""
    return Topology(instance_list, clock, metrics)
