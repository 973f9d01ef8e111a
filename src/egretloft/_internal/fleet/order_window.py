"""Bounds the start orders in flight by what the leader's processor can handle.

Answers the load of many starts at once on a small machine: their answers are handled
too late, so the orders time out, are repeated, and take the processor from the renewals
of leases. The window shrinks while the event loop is late and grows again slowly.
"""

from __future__ import annotations

MIN_ORDERS = 4
MAX_ORDERS = 128
# The event loop is late if a timer fires this long after its time. An order times out
# after a few times as long.
LATE_SECONDS = 0.06


class OrderWindow:
    """Number of start orders that may be in flight."""

    def __init__(self) -> None:
        self.limit = MAX_ORDERS
        self.in_flight = 0

    def observe_lateness(self, seconds: float) -> None:
        """Adapt the limit to how late a timer of the event loop has fired."""
        if seconds > LATE_SECONDS:
            self.limit = max(MIN_ORDERS, self.limit // 2)
        else:
            self.limit = min(MAX_ORDERS, self.limit + 1)

    def free(self) -> int:
        """Return how many more orders may be sent.

        A gang may exceed the limit, as its members have to start together; the result
        is never negative.
        """
        return max(0, self.limit - self.in_flight)


def create_order_window() -> OrderWindow:
    """Return a window without orders in flight."""
    return OrderWindow()
