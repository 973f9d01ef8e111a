"""The limit of requests in flight per organisation and profile."""

from __future__ import annotations

from collections import Counter

from egretloft._internal.models.profiles import Profile


class InFlightLimit:
    """Counts the requests that this instance has received and not answered."""

    def __init__(self) -> None:
        self.in_flight: Counter[tuple[str, str]] = Counter()

    def enter(self, profile: Profile, live_instances: int) -> bool:
        """Count a request and return whether this instance's share allows it.

        The limit is divided evenly among the live instances, so that they need not
        coordinate for each request.
        """
        limit = profile.limits.max_requests_in_flight
        share = max(1, limit // max(1, live_instances))
        key = profile.organisation, profile.name
        if self.in_flight[key] >= share:
            return False
        self.in_flight[key] += 1
        return True

    def leave(self, profile: Profile) -> None:
        """Uncount a request that ``enter`` allowed."""
        key = profile.organisation, profile.name
        self.in_flight[key] -= 1
        if self.in_flight[key] <= 0:
            del self.in_flight[key]


def create_in_flight_limit() -> InFlightLimit:
    """Return a limit with no requests in flight."""
    return InFlightLimit()
