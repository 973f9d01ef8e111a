"""Periodic callbacks for the parts of the daemon."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from egretloft._internal.metrics import Metrics

log = structlog.get_logger(__name__)

TimerCallback = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class Subscription:
    """A periodic call.

    ``jitter``, from 0 to 1, is the width of the random variation as a share of the
    period: 0.1 means up to 5% shorter or longer.
    """

    name: str
    period_seconds: float
    callback: TimerCallback
    jitter: float
    task: asyncio.Task[None] | None = None


class TimerService:
    """Calls subscribers periodically; a slow call delays only its own next call."""

    def __init__(self, metrics: Metrics, generator: random.Random) -> None:
        self.metrics = metrics
        self.generator = generator
        self.subscriptions: dict[str, Subscription] = {}
        self.running = False

    def subscribe(
        self,
        name: str,
        period_seconds: float,
        callback: TimerCallback,
        jitter: float = 0.1,
    ) -> None:
        """Call ``callback`` every ``period_seconds`` from the start of the service."""
        subscription = Subscription(name, period_seconds, callback, jitter)
        self.subscriptions[name] = subscription
        if self.running:
            subscription.task = asyncio.create_task(self._run(subscription), name=name)

    def start(self) -> None:
        """Start all subscriptions; needs a running event loop."""
        self.running = True
        for subscription in self.subscriptions.values():
            if subscription.task is None:
                subscription.task = asyncio.create_task(
                    self._run(subscription), name=subscription.name
                )

    async def unsubscribe(self, name: str) -> None:
        """End one subscription and cancel its call in progress."""
        subscription = self.subscriptions.pop(name, None)
        if subscription is not None and subscription.task is not None:
            subscription.task.cancel()
            await asyncio.gather(subscription.task, return_exceptions=True)

    async def stop(self) -> None:
        """End all subscriptions."""
        self.running = False
        for name in list(self.subscriptions):
            await self.unsubscribe(name)

    async def _run(self, subscription: Subscription) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await subscription.callback()
            except Exception:
                # A callback returns its outcomes as values, so an exception is a
                # defect. It is counted and logged; the other timers keep running.
                self.metrics.count("timer_errors", timer=subscription.name)
                log.exception("timer callback failed", timer=subscription.name)
            jitter_factor = 1 + subscription.jitter * (self.generator.random() - 0.5)
            due = started + subscription.period_seconds * jitter_factor
            await asyncio.sleep(max(0.0, due - loop.time()))


def create_timer_service(metrics: Metrics, seed: int | None = None) -> TimerService:
    """Return a timer service; ``seed`` fixes the jitter."""
    return TimerService(metrics, random.Random(seed))
