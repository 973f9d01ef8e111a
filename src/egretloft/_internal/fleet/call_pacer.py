"""Paces calls to targets by what the leader's processor can handle.

Answers the load of many starts or stops at once on a small machine. Sent all at once,
their answers are handled too late: the calls time out, are repeated on new connections,
and take the processor from the renewals of leases. A call that waits here has not begun
its timeout yet.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

# A leader does not know how fast its processor is before it has sent calls.
INITIAL_CALLS = 16
MIN_CALLS = 4
MAX_CALLS = 64
# Calls to one target at once. Each needs a connection of its own.
MAX_CALLS_PER_TARGET = 4
# The event loop is late if a timer fires this long after its time. An order times out
# after a few times as long.
LATE_SECONDS = 0.06
# A call without an answer gives its place to the next one after this time, as it costs
# no processor time while it waits. Answers usually come sooner.
SLOT_SECONDS = 0.02
# A call that is answered within this time shows that the processor is not overloaded.
PROMPT_SECONDS = 0.05
# Stops take turns with the most urgent starts. If they went first, those to targets
# that do not answer would hold up all starts.
STOP_PRIORITY = 0
# Calls that may wait for a place, as a multiple of those that are sent at once, before
# no further steps are placed.
MAX_WAITING_ROUNDS = 4


@dataclass(slots=True, order=True)
class CallSlot:
    """The place of one call; ``granted`` is done once the call may be sent.

    Slots are sorted by ``priority``, the most urgent one first, then by ``number``.
    ``timer`` is set while the call occupies a place; ``sent_at`` is the time of the
    event loop at which the place was granted, until the call has ended.
    """

    priority: int
    number: int
    target_id: str
    granted: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
        compare=False,
    )
    timer: asyncio.TimerHandle | None = field(default=None, compare=False)
    sent_at: float | None = field(default=None, compare=False)


class CallPacer:
    """Grants places to calls by priority, then in order of arrival.

    A call whose target has enough calls already is set aside until one of them ends.
    """

    def __init__(self) -> None:
        self.limit = float(INITIAL_CALLS)
        self.sending = 0
        self.sending_to: dict[str, int] = {}
        self.waiting: list[CallSlot] = []
        self.set_aside: dict[str, list[CallSlot]] = {}
        self.numbers = itertools.count()

    def free(self, priority: int) -> int:
        """Return how many more calls of a priority may be added to the backlog.

        Less urgent calls and those that are set aside do not count. A gang may exceed
        the limit, as its members have to start together; the result is never negative.
        """
        ahead = sum(slot.priority <= priority for slot in self.waiting)
        limit = int(self.limit) * MAX_WAITING_ROUNDS
        return max(0, limit - self.sending - ahead)

    async def acquire(self, target_id: str, priority: int = 0) -> CallSlot:
        """Wait until a call to the target may be sent; 0 is the most urgent start."""
        slot = CallSlot(priority, next(self.numbers), target_id)
        heapq.heappush(self.waiting, slot)
        self.grant()
        try:
            await slot.granted
        except asyncio.CancelledError:
            self.abandon(slot)
            raise
        return slot

    def release(self, slot: CallSlot) -> None:
        """Note that a call has ended, and grant its place to the next one; idempotent.

        A call that was answered soon while others waited lets the limit grow.
        """
        if slot.sent_at is None:
            return
        took = asyncio.get_running_loop().time() - slot.sent_at
        slot.sent_at = None
        if took <= PROMPT_SECONDS and self.waiting:
            self.limit = min(MAX_CALLS, self.limit + 1 / self.limit)
        remaining = self.sending_to[slot.target_id] - 1
        if remaining:
            self.sending_to[slot.target_id] = remaining
        else:
            del self.sending_to[slot.target_id]
        self.resume_one(slot.target_id)
        self.give_up_place(slot)
        self.grant()

    def resume_one(self, target_id: str) -> None:
        """Let one of the calls to a target that were set aside wait again."""
        aside = self.set_aside.get(target_id)
        if aside:
            heapq.heappush(self.waiting, heapq.heappop(aside))
        if not aside:
            self.set_aside.pop(target_id, None)

    def observe_lateness(self, seconds: float) -> None:
        """Halve the limit if a timer of the event loop has fired late."""
        if seconds > LATE_SECONDS:
            self.limit = max(MIN_CALLS, self.limit / 2)

    def grant(self) -> None:
        """Grant the free places to the waiting calls."""
        while self.waiting and self.sending < int(self.limit):
            slot = heapq.heappop(self.waiting)
            sending = self.sending_to.get(slot.target_id, 0)
            if sending >= MAX_CALLS_PER_TARGET:
                aside = self.set_aside.setdefault(slot.target_id, [])
                heapq.heappush(aside, slot)
                continue
            self.sending += 1
            self.sending_to[slot.target_id] = sending + 1
            loop = asyncio.get_running_loop()
            slot.sent_at = loop.time()
            slot.timer = loop.call_later(SLOT_SECONDS, self.give_up_place, slot)
            if not slot.granted.done():
                slot.granted.set_result(None)

    def give_up_place(self, slot: CallSlot) -> None:
        """Grant the place that a call occupies to the next one; idempotent."""
        if slot.timer is None:
            return
        slot.timer.cancel()
        slot.timer = None
        self.sending -= 1
        self.grant()

    def abandon(self, slot: CallSlot) -> None:
        """Remove a call that was cancelled before it was sent."""
        if slot.sent_at is not None:
            self.release(slot)
            return
        for queue in (self.waiting, self.set_aside.get(slot.target_id, [])):
            if slot in queue:
                queue.remove(slot)
                heapq.heapify(queue)
        self.resume_one(slot.target_id)
        self.grant()


def create_call_pacer() -> CallPacer:
    """Return a pacer without calls; its slots need a running event loop."""
    return CallPacer()
