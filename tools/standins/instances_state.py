"""Records of the instance list stand-in and their lag, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from egretloft._internal.models.topology import InstanceRecord, InstanceState


@dataclass(slots=True)
class InstancesState:
    """Current records, and the snapshots from which lagging reads are served."""

    lag_seconds: float = 0.0
    records: dict[str, InstanceRecord] = field(default_factory=dict)
    history: list[tuple[float, tuple[InstanceRecord, ...]]] = field(
        default_factory=list
    )
    # Time of the last change of each record; it becomes visible after the lag.
    changed_at: dict[str, float] = field(default_factory=dict)

    def put(self, records: Iterable[InstanceRecord], now: float) -> None:
        """Add or replace records."""
        for record in records:
            self.records[record.instance_id] = record
            self.changed_at[record.instance_id] = now
        self._record_snapshot(now)

    def set_state(self, instance_id: str, state: InstanceState, now: float) -> bool:
        """Change the state of one record; false if it is not listed."""
        record = self.records.get(instance_id)
        if record is None:
            return False
        self.put([replace(record, state=state)], now)
        return True

    def remove(self, instance_id: str, now: float) -> bool:
        """Remove one record; false if it is not listed."""
        if self.records.pop(instance_id, None) is None:
            return False
        self.changed_at[instance_id] = now
        self._record_snapshot(now)
        return True

    def visible(self, now: float) -> tuple[InstanceRecord, ...]:
        """Return the records as they were ``lag_seconds`` ago."""
        shown: tuple[InstanceRecord, ...] = ()
        for changed_at, records in self.history:
            if changed_at <= now - self.lag_seconds:
                shown = records
        return shown

    def _record_snapshot(self, now: float) -> None:
        self.history.append((now, tuple(self.records.values())))
