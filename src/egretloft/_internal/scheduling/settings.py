"""Tuning of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SchedulerSettings:
    """Tuning of the scheduler; durations are in seconds."""

    quarantine_seconds: float = 60.0
    quarantine_max_seconds: float = 3600.0
    # Delay before a failed job is tried again; doubles with each failure.
    retry_seconds: float = 1.0
    retry_max_seconds: float = 60.0
    # A failed job passes over the workers of its failures for this long.
    avoid_seconds: float = 60.0
    # Checkpoint and stop of a gang, bounded by section 8 of the design.
    stop_seconds: float = 4.0
    # Work lost by a gang that is stopped at a checkpoint and started again.
    restart_seconds: float = 10.0
    # Share of runs that end within their estimate.
    estimate_quantile: float = 0.7
    # Work within its guarantee waits this long for running work to end by itself before
    # borrowed work is stopped. With the stop and the start it stays below 10 s.
    reclaim_after_seconds: float = 2.5
    # Gangs of at least this many accelerators get a reservation when they wait; smaller
    # ones after ``reservation_patience_seconds``, so that no gang waits for ever.
    reservation_accelerators: int = 24
    reservations_per_zone: int = 1
    reservation_after_seconds: float = 0.0
    reservation_patience_seconds: float = 240.0
    # A large gang that has waited this long may have smaller borrowed work stopped, if
    # that loses at most this share of the accelerator-seconds of its own wait.
    make_room_after_seconds: float = 20.0
    make_room_share: float = 0.5
    # Waiting gangs for which a reservation is sought in one tick, heaviest first.
    reservations_tried: int = 4
    # Least time between two searches for places of guarantees that are not carried.
    repack_seconds: float = 5.0
