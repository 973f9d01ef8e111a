"""Zones, workers, runners and entry instances as the platform lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class InstanceKind(StrEnum):
    """What an instance on the platform's list is."""

    ENTRY = "entry"
    WORKER = "worker"
    RUNNER = "runner"


class InstanceState(StrEnum):
    """Whether an instance may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """One row of the platform's lagging list.

    ``address`` is ``host:port`` of the HTTP interface. ``memory_gb`` is in units
    of 10^9 bytes. Fields of other kinds of instance stay at their defaults.
    """

    instance_id: str
    kind: InstanceKind
    state: InstanceState
    address: str
    region: str
    zone: str
    rack: str = ""
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0
    service: str = ""
    slots: int = 0
    connections: int = 0


@dataclass(slots=True, frozen=True)
class Worker:
    """A machine that runs gang members; capacities are totals."""

    worker_id: str
    region: str
    zone: str
    rack: str
    cores: int
    memory_gb: int
    accelerators: int
    address: str = ""
