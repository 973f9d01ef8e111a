"""Expiry of the rows of instances that are gone for good.

Every instance registers itself, but one that is removed leaves its row behind. Without
an expiry these rows pile up until they displace the live instances among the candidates
that others connect to, and a leader without the store would wait for their pledges. The
leader hears from all live instances, so it removes the rows of those that are silent. A
live instance that finds its row removed registers again, so one that does not come back
had no access to the store, or is gone.
"""

from __future__ import annotations

from collections.abc import Collection

# An instance that has been silent for this long in one term is taken to be gone. That
# is longer than a restart lasts.
MEMBER_EXPIRY_SECONDS = 3.0
# A removed instance that is alive and reaches the store has registered again by then.
RETURN_SECONDS = 1.5


class MemberExpiry:
    """Since when the leader has not heard from each instance, and whom it removed."""

    def __init__(self) -> None:
        self.silent_since: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}

    def on_removed(self, member: str, now: float) -> None:
        """Note that the row of an instance was removed."""
        self.removed_at[member] = now

    def may_return(self, confirmed_at: float) -> list[str]:
        """Return the removed instances that may be alive, without a row so far.

        The leader, whose last confirmed heartbeat was sent at ``confirmed_at``, has had
        the store for too short a time since the removal to see them register again.
        """
        self.removed_at = {
            member: removed_at
            for member, removed_at in self.removed_at.items()
            if confirmed_at - removed_at < RETURN_SECONDS
        }
        return list(self.removed_at)

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
