"""Routes and forwards requests at the receiver, matches replies and retries."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import (
    OutcomeKind,
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.models.requests import Answer, ServiceRequest
from egretloft._internal.platform.protocols import Clock
from egretloft._internal.requests.interfaces import PeerNetwork, View
from egretloft._internal.requests.messages import (
    FORWARD_TYPE,
    Forward,
    Reply,
    encode_message,
    match_reply,
    refusal_reply,
)
from egretloft._internal.requests.retry_budget import RetryBudget
from egretloft._internal.requests.routing import Route, Router

MAX_ATTEMPTS = 3
# Longer than a takeover: a new owner follows a lost one within 4 s.
OWNER_WAIT_SECONDS = 6.0
OWNER_RETRY_PAUSE_SECONDS = 0.1
# The receiver waits this much longer than the deadline for the owner's reply. If the
# request expired in the queue, the reply says ``not_run``; without the reply the
# outcome would be unknown.
REPLY_GRACE_SECONDS = 0.25
# The partition has no owner, or its owner changes. If the request did not run, it is
# rerouted without spending a retry.
REROUTE_REASONS = frozenset({Reason.NOT_OWNER, Reason.DRAINING})
# Another attempt would fail in the same way.
FINAL_REASONS = frozenset(
    {
        Reason.TOO_LARGE,
        Reason.MALFORMED,
        Reason.DEADLINE_PASSED,
        Reason.DEADLINE_BEFORE_START,
    }
)


@dataclass(slots=True)
class Progress:
    """The state of a request at its receiver; times are on the monotonic clock.

    ``attempts`` counts towards ``MAX_ATTEMPTS``: for each forward the number of times
    that its owner sent it to a runner, but at least one, and none if the request is
    rerouted. ``avoid`` holds the partitions that refused or failed the request.
    """

    deadline: float
    start_by: float
    owner_wait_ends: float
    forwards: int = 0
    attempts: int = 0
    maybe_ran: bool = False
    avoid: set[str] = field(default_factory=set)


class Delivery:
    """Forwards requests to runner groups, and retries within the retry budget."""

    def __init__(
        self,
        instance_id: str,
        view: View,
        network: PeerNetwork,
        router: Router,
        budget: RetryBudget,
        run_locally: Callable[[Forward], Awaitable[Reply]],
        clock: Clock,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.view = view
        self.network = network
        self.router = router
        self.budget = budget
        self.run_locally = run_locally
        self.clock = clock
        self.metrics = metrics
        self.generator = generator

    async def deliver(
        self, request: ServiceRequest, deadline: float, start_by: float
    ) -> Result[Answer, Refusal]:
        """Run the request and return its answer or a refusal.

        It is sent to a runner before ``start_by`` or not at all. A non-idempotent
        request is never forwarded again after a forward that may have run. A refusal
        is ``not_run`` only if no forward may have run.
        """
        self.budget.count_request()
        now = self.clock.monotonic()
        progress = Progress(deadline, start_by, now + OWNER_WAIT_SECONDS)
        while True:
            result = await self._attempt(request, progress)
            if not isinstance(result, Refusal):
                return Success(result)
            progress.maybe_ran |= result.kind is OutcomeKind.UNKNOWN
            refusal = await self._final_refusal(request, progress, result)
            if refusal is not None:
                if progress.maybe_ran:
                    refusal = replace(refusal, kind=OutcomeKind.UNKNOWN)
                return Failure(refusal)

    async def _final_refusal(
        self, request: ServiceRequest, progress: Progress, refusal: Refusal
    ) -> Refusal | None:
        """Return the final refusal, or ``None`` to try again."""
        if progress.maybe_ran and not request.idempotent:
            return refusal
        if refusal.reason in FINAL_REASONS:
            return refusal
        now = self.clock.monotonic()
        if refusal.reason in REROUTE_REASONS and refusal.kind is OutcomeKind.NOT_RUN:
            pause = OWNER_RETRY_PAUSE_SECONDS * (0.5 + self.generator.random())
            latest = min(progress.owner_wait_ends, progress.deadline, progress.start_by)
            if now + pause >= latest:
                return refusal
            self.metrics.count("request_reroutes", reason=refusal.reason.value)
            await asyncio.sleep(pause)
            return None
        if progress.attempts >= MAX_ATTEMPTS:
            return refusal
        if now >= progress.deadline:
            return not_run(Reason.DEADLINE_PASSED, refusal.message)
        if not self.budget.spend():
            return not_run(
                Reason.RETRY_BUDGET_SPENT,
                f"no retry after {refusal.reason}: {refusal.message}",
                "wait before the request is repeated",
            )
        self.metrics.count("request_retries", reason=refusal.reason.value)
        return None

    async def _attempt(
        self, request: ServiceRequest, progress: Progress
    ) -> Answer | Refusal:
        now = self.clock.monotonic()
        if now >= progress.deadline:
            return not_run(Reason.DEADLINE_PASSED, "the deadline has passed")
        if now >= progress.start_by:
            return not_run(
                Reason.DEADLINE_BEFORE_START, "the latest start time has passed"
            )
        choice = self._route(request, progress)
        if isinstance(choice, Failure):
            no_route: Refusal = choice.failure()
            if no_route.reason not in REROUTE_REASONS:
                # Another attempt would get the same refusal.
                progress.attempts = MAX_ATTEMPTS
            return no_route
        route = choice.unwrap()
        progress.forwards += 1
        reply = await self._forward(request, progress, route, now)
        if reply.refusal is None:
            return Answer(request.request_id, reply.answer, reply.runner, reply.zone)
        refusal = reply.refusal
        progress.avoid.add(route.partition)
        if refusal.reason not in REROUTE_REASONS or refusal.kind is OutcomeKind.UNKNOWN:
            progress.attempts += max(1, reply.attempts)
        return refusal

    def _route(
        self, request: ServiceRequest, progress: Progress
    ) -> Result[Route, Refusal]:
        if not self.view.is_fresh():
            return Failure(stale_view())
        profile = self.view.profiles.get(request.profile)
        if profile is None:
            return Failure(
                not_run(Reason.UNKNOWN_PROFILE, f"no profile {request.profile}")
            )
        return self.router.choose(request.service, profile, progress.avoid)

    async def _forward(
        self, request: ServiceRequest, progress: Progress, route: Route, now: float
    ) -> Reply:
        remaining = progress.deadline - now
        start_seconds = min(remaining, progress.start_by - now)
        wall = self.clock.wall()
        # Every attempt has its own id, so that a late reply to an earlier attempt is
        # not taken for the reply to this one.
        forward = Forward(
            attempt_id=f"{request.request_id}-{progress.forwards}",
            organisation=request.organisation,
            profile=request.profile,
            service=request.service,
            zone=route.zone,
            idempotent=request.idempotent,
            payload=request.payload,
            remaining_seconds=remaining,
            start_seconds=start_seconds,
            deadline_at=wall + remaining,
            start_by=wall + start_seconds,
            attempts_left=MAX_ATTEMPTS - progress.attempts,
        )
        timeout = remaining + REPLY_GRACE_SECONDS
        if route.owner_id == self.instance_id:
            try:
                async with asyncio.timeout(timeout):
                    return await self.run_locally(forward)
            except TimeoutError:
                return self._no_reply(forward, progress, "no outcome in time")
        self.router.count_sent(route)
        result = await self.network.call(
            route.owner_id, FORWARD_TYPE, encode_message(forward), timeout
        )
        if isinstance(result, Failure):
            failure = result.failure()
            if failure.kind == "not_sent":
                reason = (
                    Reason.PEER_OVERLOADED
                    if failure.reason == Reason.PEER_OVERLOADED
                    else Reason.PEER_UNREACHABLE
                )
                refusal = not_run(reason, f"{route.owner_id} cannot be reached")
                return refusal_reply(forward.attempt_id, refusal)
            return self._no_reply(forward, progress, f"no reply from {route.owner_id}")
        reply = match_reply(forward.attempt_id, result.unwrap())
        if isinstance(reply, Failure):
            self.metrics.count("request_replies_mismatched")
            return self._no_reply(forward, progress, reply.failure())
        self.router.record_load_report(route, reply.unwrap().load)
        return reply.unwrap()

    def _no_reply(self, forward: Forward, progress: Progress, message: str) -> Reply:
        reason = Reason.PEER_UNREACHABLE
        if self.clock.monotonic() >= progress.deadline:
            reason = Reason.DEADLINE_PASSED
        return refusal_reply(forward.attempt_id, outcome_unknown(reason, message))


def stale_view() -> Refusal:
    """Return the refusal of an instance whose view is too old to act on."""
    return not_run(
        Reason.STALE_VIEW,
        "this instance's view is not fresh",
        "repeat the request at another instance",
    )


def create_delivery(
    instance_id: str,
    *,
    view: View,
    network: PeerNetwork,
    router: Router,
    budget: RetryBudget,
    run_locally: Callable[[Forward], Awaitable[Reply]],
    clock: Clock,
    metrics: Metrics,
    generator: random.Random,
) -> Delivery:
    """Return a delivery; ``run_locally`` runs a forward on this instance's groups."""
    return Delivery(
        instance_id,
        view,
        network,
        router,
        budget,
        run_locally,
        clock,
        metrics,
        generator,
    )
