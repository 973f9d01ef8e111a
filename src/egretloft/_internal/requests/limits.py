"""The limit of requests in flight per organisation and profile."""

from __future__ import annotations

from collections import Counter

from egretloft._internal.models.profiles import Profile


class InFlightLimit:
    """Counts the requests that this instance has received and not answered."""

    def __init__(self) -> None:
        self.in_flight: Counter[tuple[str, str]] = Counter()

    def enter(self, profile: Profile, live_instances: int) -> bool:
        """Count one request in; false when this instance's share is used up.

        The share is an even part of the limit, so that the instances need not
        agree on each request.
        """
        limit = profile.limits.max_requests_in_flight
        share = max(1, limit // max(1, live_instances))
        key = profile.organisation, profile.name
        if self.in_flight[key] >= share:
            return False
        self.in_flight[key] += 1
        return True

    def leave(self, profile: Profile) -> None:
        """Count one request out."""
        key = profile.organisation, profile.name
        self.in_flight[key] -= 1
        if self.in_flight[key] <= 0:
            del self.in_flight[key]


def create_in_flight_limit() -> InFlightLimit:
    """Return a limit with nothing in flight."""
    return InFlightLimit()
