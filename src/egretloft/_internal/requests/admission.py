"""The bounded queue of a runner group, fair between organisations."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from egretloft._internal.requests.messages import Forward, Reply

QUEUE_LIMIT = 64
# A request counts as near its deadline when less than this many run times remain.
URGENT_RUN_TIMES = 3.0
FIRST_RUN_SECONDS = 0.1
RUN_SECONDS_WEIGHT = 0.1


@dataclass(slots=True, eq=False)
class Work:
    """A forwarded request at the owner; times are on the monotonic clock.

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
    """Moving averages of run times, in seconds, of a group and per organisation."""

    group: float = FIRST_RUN_SECONDS
    organisations: dict[str, float] = field(default_factory=dict)

    def record(self, organisation: str, seconds: float) -> None:
        """Add one observed run time."""
        self.group += RUN_SECONDS_WEIGHT * (seconds - self.group)
        known = self.organisations.get(organisation, self.group)
        self.organisations[organisation] = known + RUN_SECONDS_WEIGHT * (
            seconds - known
        )

    def of(self, organisation: str) -> float:
        """Return the expected run time of an organisation's request."""
        return self.organisations.get(organisation, self.group)


class FairQueue:
    """Queued work, taken from the organisation that was served least run time."""

    def __init__(self, run_times: RunTimes, limit: int = QUEUE_LIMIT) -> None:
        self.run_times = run_times
        self.limit = limit
        self.size = 0
        self.queues: dict[str, deque[Work]] = {}
        # Run time charged per organisation. ``floor`` is the charge of the last one
        # served; an organisation that returns from idle starts there.
        self.charged: dict[str, float] = {}
        self.floor = 0.0

    def add(self, work: Work) -> Work | None:
        """Queue ``work``; return the work that had to give way, if any.

        A full queue drops the newest work of the organisation that has the most
        queued, so that one organisation cannot fill the queue against the others.
        """
        organisation = work.forward.organisation
        if organisation not in self.queues:
            self.queues[organisation] = deque()
            charged = self.charged.get(organisation, 0.0)
            self.charged[organisation] = max(charged, self.floor)
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
        """Return work that was taken and certainly did not run."""
        organisation = work.forward.organisation
        self.queues.setdefault(organisation, deque()).appendleft(work)
        self.charged.setdefault(organisation, self.floor)
        self.size += 1

    def remove(self, work: Work) -> bool:
        """Remove one work; false when it is not queued."""
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
        """Remove and return the work to send next."""
        if not self.queues:
            return None
        organisation = min(self.queues, key=lambda name: self.charged[name])
        self.floor = self.charged[organisation]
        self.charged[organisation] += self.run_times.of(organisation)
        work = self._choose(self.queues[organisation], organisation, now)
        self.remove(work)
        self._forget_idle()
        return work

    def clear(self) -> list[Work]:
        """Remove and return all work."""
        removed = [work for queue in self.queues.values() for work in queue]
        self.queues.clear()
        self.size = 0
        return removed

    def _choose(self, queue: deque[Work], organisation: str, now: float) -> Work:
        # Oldest first, but a request that can still make its deadline only if it
        # goes now overtakes those that have time. One that cannot make it does not.
        run_seconds = self.run_times.of(organisation)
        latest = now + URGENT_RUN_TIMES * run_seconds
        urgent = [work for work in queue if now + run_seconds <= work.deadline < latest]
        return min(urgent, key=lambda work: work.deadline) if urgent else queue[0]

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, charged in self.charged.items()
            if charged <= self.floor and name not in self.queues
        ]
        for name in idle:
            del self.charged[name]


def create_fair_queue(run_times: RunTimes) -> FairQueue:
    """Return an empty queue."""
    return FairQueue(run_times)
