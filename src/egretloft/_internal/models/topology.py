"""Zones, workers, runners and entry instances as the platform lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class InstanceKind(StrEnum):
    """Role of an instance on the platform's list."""

    ENTRY = "entry"
    WORKER = "worker"
    RUNNER = "runner"


class InstanceState(StrEnum):
    """Whether an instance may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class InstanceRecord:
    """One row of the platform's instance list, which may be out of date.

    ``address`` is ``host:port`` of the HTTP interface. ``memory_gb`` is in units
    of 10^9 bytes. Fields that do not apply to ``kind`` keep their defaults.
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
    """An instance that runs gang members, with its total capacities."""

    worker_id: str
    region: str
    zone: str
    rack: str
    cores: int
    memory_gb: int
    accelerators: int
    address: str = ""
