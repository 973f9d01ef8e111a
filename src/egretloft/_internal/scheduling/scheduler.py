"""The scheduler: events in, decisions out."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Protocol

from egretloft._internal.scheduling.decisions import Decision
from egretloft._internal.scheduling.events import Event


@dataclass(slots=True, frozen=True)
class SchedulerSettings:
    """Tuning of the scheduler; durations are in seconds."""

    quarantine_seconds: float = 60.0
    quarantine_max_seconds: float = 3600.0


class Scheduler(Protocol):
    """Decides where and when gangs run; performs no I/O."""

    def apply(self, event: Event) -> None:
        """Take note of an event; decisions follow at the next ``tick``."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``, which must not go back."""


class _Scheduler:
    def __init__(self, settings: SchedulerSettings, generator: random.Random) -> None:
        self.settings = settings
        self.generator = generator

    def apply(self, event: Event) -> None:
        """Take note of an event."""

    def tick(self, now: float) -> list[Decision]:
        """Return the decisions at ``now``."""
        return []


def create_scheduler(settings: SchedulerSettings, random_seed: int) -> Scheduler:
    """Return an empty scheduler; the same events and seed give the same decisions."""
    return _Scheduler(settings, random.Random(random_seed))
