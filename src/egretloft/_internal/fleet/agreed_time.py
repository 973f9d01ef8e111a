"""Wall time by the clocks of all instances, for the due times of jobs.

The time of day of a machine may jump by seconds, and jump back. Each instance tells its
peers its wall time in heartbeats, and due times are compared with the median of these
clocks, which stays right while most of them are.
"""

from __future__ import annotations

import math
import statistics
from typing import Any

from egretloft._internal.fleet.interfaces import FleetClock
from egretloft._internal.peers.protocols import Peers

HEARTBEAT_WALL = "wall"


class AgreedTime:
    """The median of the wall clocks of this instance and its live peers."""

    def __init__(self, peers: Peers, clock: FleetClock) -> None:
        self.peers = peers
        self.clock = clock
        peers.heartbeat_sources.append(self.heartbeat)

    def heartbeat(self) -> dict[str, Any]:
        """Return the heartbeat entry that tells peers this instance's wall time."""
        return {HEARTBEAT_WALL: self.clock.wall()}

    def wall(self) -> float:
        """Return Unix time; of an even number of clocks, the later middle one counts.

        Peers whose heartbeats hold no time are left out.
        """
        readings = [self.clock.wall()]
        for heartbeat in self.peers.dated_heartbeats():
            wall = heartbeat.body.get(HEARTBEAT_WALL)
            if isinstance(wall, float) and math.isfinite(wall):
                # A jump of the own clock since the arrival has no effect on the sum.
                readings.append(wall + heartbeat.age_seconds)
        return statistics.median_high(readings)


def create_agreed_time(peers: Peers, clock: FleetClock) -> AgreedTime:
    """Return a clock that takes part in the heartbeats of ``peers``."""
    return AgreedTime(peers, clock)
