"""Profiles: an organisation's guaranteed shapes, zones, limits and services."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Adjacency(StrEnum):
    """The unit of the topology that must contain all accelerators of a shape."""

    WORKER = "worker"
    RACK = "rack"
    ZONE = "zone"


@dataclass(slots=True, frozen=True)
class GuaranteedShape:
    """A guarantee of ``count`` cells of ``accelerators`` adjacent accelerators."""

    count: int
    accelerators: int
    adjacency: Adjacency


@dataclass(slots=True, frozen=True)
class Limits:
    """Upper limits of an organisation under one profile."""

    max_accelerators: int = 0  # 0: limited only by the topology
    max_queued_jobs: int = 10_000
    max_requests_in_flight: int = 1_000


@dataclass(slots=True, frozen=True)
class Profile:
    """A named profile; all of ``zones`` are in ``region``."""

    name: str
    organisation: str
    region: str
    zones: tuple[str, ...]
    guarantees: tuple[GuaranteedShape, ...] = ()
    limits: Limits = field(default_factory=Limits)
    services: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class ZoneState:
    """Whether operators have put a zone in service or taken it out."""

    zone: str
    in_service: bool
