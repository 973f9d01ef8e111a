"""Expiry of the rows of instances that are gone for good.

Every instance registers itself, but one that is removed leaves its row behind. Without
an expiry these rows pile up until they displace the live instances among the candidates
that others connect to. The leader hears from all live instances, so it removes the rows
of those that have been silent for long. A live instance that finds its row removed
registers again.
"""

from __future__ import annotations

from collections.abc import Collection

# An instance that has been silent for this long in one term is taken to be gone. That
# is longer than a restart or a partition usually lasts.
MEMBER_EXPIRY_SECONDS = 120.0


class MemberExpiry:
    """Since when the leader has not heard from each instance."""

    def __init__(self) -> None:
        self.silent_since: dict[str, float] = {}

    def expired(
        self, members: Collection[str], alive: Collection[str], now: float
    ) -> list[str]:
        """Return the members that have been silent for ``MEMBER_EXPIRY_SECONDS``.

        ``alive`` are the instances that were heard from recently, ``now`` is in seconds
        on the boot-time clock. Called periodically during a term.
        """
        silent = [member for member in members if member not in alive]
        self.silent_since = {
            member: self.silent_since.get(member, now) for member in silent
        }
        return [
            member
            for member in silent
            if now - self.silent_since[member] >= MEMBER_EXPIRY_SECONDS
        ]


def create_member_expiry() -> MemberExpiry:
    """Return an expiry to which no instance is known to be silent."""
    return MemberExpiry()
