"""The bounded queue of a runner group, shared fairly between organisations."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from egretloft._internal.requests.messages import Forward, Reply

QUEUE_LIMIT = 64
# A request is near its deadline when fewer than this many expected run times remain.
URGENT_RUN_TIMES = 3.0
# The expected run time until one is observed; ``decode_load`` uses it in place of 0.
INITIAL_RUN_SECONDS = 0.1
RUN_SECONDS_WEIGHT = 0.1


@dataclass(slots=True, eq=False)
class Work:
    """A forwarded request in the owner's queue; times are on the monotonic clock.

    ``start_by`` is the latest time at which it may be sent to a runner.
    """

    forward: Forward
    deadline: float
    start_by: float
    future: asyncio.Future[Reply]
    attempts: int = 0
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class RunTimes:
    """Moving averages of run times in seconds, for the group and each organisation."""

    group: float = INITIAL_RUN_SECONDS
    organisations: dict[str, float] = field(default_factory=dict)

    def record(self, organisation: str, seconds: float) -> None:
        """Add one observed run time."""
        self.group += RUN_SECONDS_WEIGHT * (seconds - self.group)
        average = self.organisations.get(organisation, self.group)
        self.organisations[organisation] = average + RUN_SECONDS_WEIGHT * (
            seconds - average
        )

    def expected(self, organisation: str) -> float:
        """Return the expected run time of an organisation's request."""
        return self.organisations.get(organisation, self.group)


class FairQueue:
    """A queue that serves the organisation that has been charged the least run time."""

    def __init__(self, run_times: RunTimes, limit: int = QUEUE_LIMIT) -> None:
        self.run_times = run_times
        self.limit = limit
        self.size = 0
        self.queues: dict[str, deque[Work]] = {}
        # Run time charged per organisation. ``virtual_time`` is what the organisation
        # that was served last had been charged until then. An organisation that was
        # idle starts there, so that it gets no credit for the idle time.
        self.charged: dict[str, float] = {}
        self.virtual_time = 0.0

    def add(self, work: Work) -> Work | None:
        """Queue ``work`` and return the work that was dropped for it, if any.

        A full queue drops the newest work of the organisation that has the most
        queued, so that one organisation cannot fill the queue and shut out the others.
        """
        organisation = work.forward.organisation
        if organisation not in self.queues:
            self.queues[organisation] = deque()
            charged = self.charged.get(organisation, 0.0)
            self.charged[organisation] = max(charged, self.virtual_time)
        self.queues[organisation].append(work)
        self.size += 1
        if self.size <= self.limit:
            return None
        longest = max(self.queues.values(), key=len)
        if len(longest) == len(self.queues[organisation]):
            longest = self.queues[organisation]
        dropped = longest[-1]
        self.remove(dropped)
        return dropped

    def add_first(self, work: Work) -> None:
        """Put work that was taken, and certainly did not run, back at the head."""
        organisation = work.forward.organisation
        self.queues.setdefault(organisation, deque()).appendleft(work)
        self.charged.setdefault(organisation, self.virtual_time)
        self.size += 1

    def remove(self, work: Work) -> bool:
        """Remove ``work`` and return whether it was queued."""
        organisation = work.forward.organisation
        queue = self.queues.get(organisation)
        if queue is None or work not in queue:
            return False
        queue.remove(work)
        self.size -= 1
        if not queue:
            del self.queues[organisation]
        return True

    def take(self, now: float) -> Work | None:
        """Remove and return the work to send next, or ``None`` if nothing is queued."""
        if not self.queues:
            return None
        organisation = min(self.queues, key=lambda name: self.charged[name])
        self.virtual_time = self.charged[organisation]
        self.charged[organisation] += self.run_times.expected(organisation)
        work = self._choose(self.queues[organisation], organisation, now)
        self.remove(work)
        self._forget_idle_organisations()
        return work

    def clear(self) -> list[Work]:
        """Remove and return all work."""
        removed = [work for queue in self.queues.values() for work in queue]
        self.queues.clear()
        self.size = 0
        return removed

    def _choose(self, queue: deque[Work], organisation: str, now: float) -> Work:
        # Oldest first, except that a request near its deadline overtakes those with
        # more time. A request that cannot meet its deadline does not overtake.
        run_seconds = self.run_times.expected(organisation)
        latest = now + URGENT_RUN_TIMES * run_seconds
        urgent = [work for work in queue if now + run_seconds <= work.deadline < latest]
        return min(urgent, key=lambda work: work.deadline) if urgent else queue[0]

    def _forget_idle_organisations(self) -> None:
        idle = [
            name
            for name, charged in self.charged.items()
            if charged <= self.virtual_time and name not in self.queues
        ]
        for name in idle:
            del self.charged[name]


def create_fair_queue(run_times: RunTimes) -> FairQueue:
    """Return an empty queue."""
    return FairQueue(run_times)
