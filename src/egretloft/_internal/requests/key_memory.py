"""Remembers the keys of non-idempotent requests that an instance received recently.

While the table cannot be read, this distinguishes a new key, whose refusal may say
``not_run``, from a repeat, whose first request may have run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from egretloft._internal.platform.protocols import Clock
from egretloft._internal.requests.interfaces import Member

# The longest deadline is 10 min, and callers repeat soon after it.
KEY_RETENTION_SECONDS = 900.0
# About 20 MB with 64-character digests, within the limit of 64 MB of an instance.
MAX_KEYS = 100_000


class KeyMemory:
    """The keys in progress and the keys that may have run.

    It is incomplete for a while after a member left the roster or was restarted under
    its id, or keys were evicted.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.in_progress: Counter[str] = Counter()
        # Expiry times by key, in order of entry, so that the oldest entries come first.
        self.maybe_ran: dict[str, float] = {}
        # The incarnation of each member of the roster.
        self.members: dict[str, str] = {}
        self.incomplete_until = float("-inf")

    def begin(self, key: str) -> None:
        """Record the start of a submission of ``key``."""
        self.in_progress[key] += 1

    def end(self, key: str, maybe_ran: bool) -> None:
        """Record its end; ``maybe_ran`` is false only if it certainly did not run."""
        self.in_progress[key] -= 1
        if self.in_progress[key] <= 0:
            del self.in_progress[key]
        if maybe_ran:
            self.maybe_ran.pop(key, None)
            self.maybe_ran[key] = self.clock.monotonic() + KEY_RETENTION_SECONDS

    def was_seen(self, key: str, own_submissions: int = 0) -> bool:
        """Return whether another submission of ``key`` runs or may have run."""
        return key in self.maybe_ran or self.in_progress.get(key, 0) > own_submissions

    def is_complete(self) -> bool:
        """Return whether no key was lost within ``KEY_RETENTION_SECONDS``.

        Keys are lost when they are evicted or when a member's process ends.
        """
        return self.clock.monotonic() >= self.incomplete_until

    def update_members(self, members: Mapping[str, Member]) -> None:
        """Apply the roster; a process that has ended marks the memory incomplete.

        The keys that it received are lost, also if a new process has its id.
        """
        current = {name: member.incarnation for name, member in members.items()}
        if any(current.get(name) != known for name, known in self.members.items()):
            self._mark_incomplete()
        self.members = current

    def prune(self) -> None:
        """Evict expired keys, and the oldest keys in excess of ``MAX_KEYS``."""
        now = self.clock.monotonic()
        while self.maybe_ran:
            key, until = next(iter(self.maybe_ran.items()))
            if until > now:
                if len(self.maybe_ran) <= MAX_KEYS:
                    return
                self._mark_incomplete()
            del self.maybe_ran[key]

    def _mark_incomplete(self) -> None:
        self.incomplete_until = self.clock.monotonic() + KEY_RETENTION_SECONDS


def create_key_memory(clock: Clock) -> KeyMemory:
    """Return an empty memory."""
    return KeyMemory(clock)
