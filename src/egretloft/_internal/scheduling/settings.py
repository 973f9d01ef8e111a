"""Settings of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SchedulerSettings:
    """Settings of the scheduler; durations are in seconds."""

    quarantine_seconds: float = 60.0
    quarantine_max_seconds: float = 3600.0
    # Backoff before a failed job is retried; doubles with each failure.
    retry_seconds: float = 1.0
    retry_max_seconds: float = 60.0
    # A failed job avoids the workers on which it failed for this long.
    avoid_seconds: float = 60.0
    # Expected time until a gang that is stopped has released its cells. When its
    # accelerators are reclaimed, a gang is checkpointed, where the work can, and then
    # stopped within 4 s.
    stop_seconds: float = 4.0
    # Work lost by a gang that is stopped at a checkpoint and started again.
    restart_seconds: float = 10.0
    # Share of runs that should end within their estimate.
    estimate_quantile: float = 0.7
    # Work within its guarantee waits this long for running work to end by itself before
    # borrowed work is stopped. The wait, the stop and the start together stay below
    # 10 s.
    reclaim_after_seconds: float = 2.5
    # Waiting gangs of at least this many accelerators get a reservation after
    # ``reservation_after_seconds``, smaller ones after
    # ``reservation_patience_seconds``, so that no gang starves.
    reservation_accelerators: int = 24
    reservations_per_zone: int = 1
    reservation_after_seconds: float = 0.0
    reservation_patience_seconds: float = 240.0
    # A large gang that has waited this long may have smaller borrowed work stopped, if
    # the lost work is at most ``make_room_share`` of the accelerator-seconds that the
    # gang has waited.
    make_room_after_seconds: float = 20.0
    make_room_share: float = 0.5
    # Limit on the waiting gangs that are considered for a reservation in one tick,
    # heaviest first.
    reservations_tried: int = 4
    # Minimum time between two searches for places for guaranteed cells that have none.
    repack_seconds: float = 5.0
