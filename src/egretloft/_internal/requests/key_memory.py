"""Which keys of non-idempotent requests an instance has received lately.

While the table cannot be read, this tells a new key, whose refusal may say
``not_run``, from a repeat, whose first request may have run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from egretloft._internal.platform.protocols import Clock

# The longest deadline is 10 min; a caller that repeats does so soon after it.
MEMORY_SECONDS = 900.0
# About 20 MB with 64-character digests, within the limit of 64 MB of an instance.
MEMORY_KEYS = 100_000


class KeyMemory:
    """Keys in progress, keys that may have run, and members that went away."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.in_progress: Counter[str] = Counter()
        # Times are in order of entry, so the oldest entries come first.
        self.maybe_ran: dict[str, float] = {}
        self.members: set[str] = set()
        self.unsure_until = float("-inf")

    def begin(self, key: str) -> None:
        """Note a submission of ``key``."""
        self.in_progress[key] += 1

    def end(self, key: str, maybe_ran: bool) -> None:
        """Note the end of a submission; ``maybe_ran`` unless it certainly did not."""
        self.in_progress[key] -= 1
        if self.in_progress[key] <= 0:
            del self.in_progress[key]
        if maybe_ran:
            self.maybe_ran.pop(key, None)
            self.maybe_ran[key] = self.clock.monotonic() + MEMORY_SECONDS

    def was_seen(self, key: str, own_submissions: int = 0) -> bool:
        """Return whether another submission of ``key`` runs or may have run."""
        return key in self.maybe_ran or self.in_progress.get(key, 0) > own_submissions

    def is_sure(self) -> bool:
        """Return whether no key of the last ``MEMORY_SECONDS`` can be missing."""
        return self.clock.monotonic() >= self.unsure_until

    def follow_members(self, members: Iterable[str]) -> None:
        """Note members that went away: the keys they received went with them."""
        current = set(members)
        if self.members - current:
            self._forget_certainty()
        self.members = current

    def prune(self) -> None:
        """Forget old keys."""
        now = self.clock.monotonic()
        while self.maybe_ran:
            key, until = next(iter(self.maybe_ran.items()))
            if until > now:
                if len(self.maybe_ran) <= MEMORY_KEYS:
                    return
                self._forget_certainty()
            del self.maybe_ran[key]

    def _forget_certainty(self) -> None:
        self.unsure_until = self.clock.monotonic() + MEMORY_SECONDS


def create_key_memory(clock: Clock) -> KeyMemory:
    """Return an empty memory."""
    return KeyMemory(clock)
