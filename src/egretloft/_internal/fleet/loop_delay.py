"""How late the event loop of the leader handles what has happened.

On a small machine the loop can be busy for longer than the timeout of a call. When it
continues, the timeout has passed although the answer is there. So timeouts are extended
by the recent delays; a leader that is not late keeps the short ones.
"""

from __future__ import annotations

# The remembered delay shrinks by this factor with each shorter one.
DECAY = 0.9
# Sending a call and handling its answer can each be delayed.
DELAYS_PER_CALL = 2.0
# Upper bound of the extension, so that a start expires before its last copy is sent.
MAX_EXTENSION_SECONDS = 0.6


class LoopDelay:
    """Remembers the longest recent delay, in seconds."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Note a delay of the loop, or a time for which it was blocked."""
        self.seconds = max(seconds, self.seconds * DECAY)

    def extend(self, timeout_seconds: float) -> float:
        """Return the timeout of a call, extended by the likely delays."""
        extension = min(MAX_EXTENSION_SECONDS, DELAYS_PER_CALL * self.seconds)
        return timeout_seconds + extension


def create_loop_delay() -> LoopDelay:
    """Return the delay of a loop that has not been late."""
    return LoopDelay()
