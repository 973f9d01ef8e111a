"""Decisions that the scheduler returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from egretloft._internal.models.jobs import Placement
from egretloft._internal.models.outcomes import Reason


class StopReason(StrEnum):
    """Why a gang is stopped and queued again."""

    RECLAIM = "reclaim"
    URGENT = "urgent"
    MAKE_ROOM = "make_room"
    WORKER_LEAVING = "worker_leaving"
    ZONE_OUT = "zone_out"


@dataclass(slots=True, frozen=True)
class StartGang:
    """Start attempt number ``attempt`` (from 1); ``GangStarted`` or a failure follows.

    The cells stay occupied until an event reports that the gang has released them.
    """

    job_id: str
    attempt: int
    placement: Placement


@dataclass(slots=True, frozen=True)
class StopGang:
    """Checkpoint a gang where it can, stop it and queue it again.

    ``for_job_id`` is the job that needs the cells, empty for none. ``GangStopped``
    is expected, or ``GangEnded`` when the gang ended first.
    """

    job_id: str
    reason: StopReason
    for_job_id: str = ""


@dataclass(slots=True, frozen=True)
class EndJob:
    """End a job for good.

    A queued job is forgotten at once. A gang that holds cells is stopped without a
    checkpoint, and ``GangEnded`` is expected.
    """

    job_id: str
    reason: Reason


@dataclass(slots=True, frozen=True)
class QuarantineWorker:
    """Give the worker no new work before ``until``; running gangs go on."""

    worker_id: str
    until: float


Decision = StartGang | StopGang | EndJob | QuarantineWorker
