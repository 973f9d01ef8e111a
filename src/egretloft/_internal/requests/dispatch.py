"""Admission of forwarded requests at the owner of a runner group, and dispatch."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import (
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.models.topology import InstanceKind
from egretloft._internal.platform.protocols import (
    CLOCK_ERROR_SECONDS,
    CallFailure,
    CallFailureKind,
    Clock,
    RunnerClient,
    RunnerRequest,
)
from egretloft._internal.requests.admission import (
    FairQueue,
    RunTimes,
    Work,
    create_fair_queue,
)
from egretloft._internal.requests.interfaces import Ownership, Topology, View
from egretloft._internal.requests.messages import (
    COMPLETED,
    MAX_ANSWER_BYTES,
    Forward,
    Reply,
    refusal_reply,
)
from egretloft._internal.requests.retry_budget import RetryBudget, create_retry_budget
from egretloft._internal.requests.runner_health import (
    MAX_START_DELAY_SECONDS,
    START_WINDOW_SECONDS,
    HealthTracker,
    RunnerState,
    choose_runner,
    create_runner_state,
)

log = structlog.get_logger(__name__)

STATUS_TIMEOUT_SECONDS = 1.0
# A runner keeps working on a request whose deadline has passed. The owner waits this
# much longer for the answer, because the answer shows that the slot is free again.
LATE_ANSWER_SECONDS = 10.0
# A timeout counts as a failure of the runner only if the request had at least this
# time to run, or this many expected run times if that is more.
MIN_FAIR_TIMEOUT_SECONDS = 0.5
FAIR_TIMEOUT_RUN_TIMES = 3.0


@dataclass(slots=True, frozen=True)
class GroupLoad:
    """Load of a runner group as its owner reports it.

    ``slots`` is the number of slots that may be used on the usable runners, ``free``
    the number of these that are free, ``queued`` the number of requests in the queue.
    ``run_seconds`` is the moving average of the run time.
    """

    free: int
    queued: int
    slots: int
    run_seconds: float


class RunnerGroup:
    """Queues requests and sends them to the runners of a service in a zone.

    A group belongs to one epoch of its partition's ownership.
    """

    def __init__(
        self,
        partition: str,
        service: str,
        zone: str,
        epoch: int,
        ownership: Ownership,
        view: View,
        topology: Topology,
        client: RunnerClient,
        clock: Clock,
        metrics: Metrics,
        run_times: RunTimes,
        queue: FairQueue,
        budget: RetryBudget,
    ) -> None:
        self.partition = partition
        self.service = service
        self.zone = zone
        self.epoch = epoch
        self.ownership = ownership
        self.view = view
        self.topology = topology
        self.client = client
        self.clock = clock
        self.metrics = metrics
        self.run_times = run_times
        self.queue = queue
        self.budget = budget
        self.health = HealthTracker()
        self.runners: dict[str, RunnerState] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        # Attempt ids with the time until which they are kept, so that a forward that
        # arrives twice runs once. An id is kept while the attempt is in progress, and
        # for a non-idempotent request until no copy of the forward can start any more.
        self.recent_attempts: dict[str, float] = {}
        self.in_progress = 0
        self.closed = False
        self.last_sent_at = -MAX_START_DELAY_SECONDS

    async def submit(self, forward: Forward) -> Reply:
        """Run one attempt and return its outcome.

        A request that expires in the queue gets a ``not_run`` reply.
        """
        now = self.clock.monotonic()
        wall = self.clock.wall() - CLOCK_ERROR_SECONDS
        deadline = now + min(forward.remaining_seconds, forward.deadline_at - wall)
        start_by = now + min(forward.start_seconds, forward.start_by - wall)
        start_by = min(start_by, deadline)
        refusal = self._check_forward(forward, now, start_by)
        if refusal is not None:
            if not forward.idempotent:
                self.recent_attempts.setdefault(
                    forward.attempt_id, start_by + CLOCK_ERROR_SECONDS
                )
            return self._refusal_reply(forward, refusal, 0)
        self.recent_attempts[forward.attempt_id] = math.inf
        self.in_progress += 1
        try:
            return await self._queue(forward, now, deadline, start_by)
        finally:
            self.in_progress -= 1
            if forward.idempotent:
                del self.recent_attempts[forward.attempt_id]
            else:
                self.recent_attempts[forward.attempt_id] = (
                    start_by + 2 * CLOCK_ERROR_SECONDS
                )

    async def _queue(
        self, forward: Forward, now: float, deadline: float, start_by: float
    ) -> Reply:
        loop = asyncio.get_running_loop()
        work = Work(forward, deadline, start_by, loop.create_future())
        dropped = self.queue.add(work)
        if dropped is not None:
            self._finish(dropped, not_run(Reason.QUEUE_FULL, "the queue is full"))
        if not work.future.done():
            work.timer = loop.call_later(work.start_by - now, self._expire, work)
            self.dispatch_queued()
        try:
            return await work.future
        finally:
            # Also reached by cancellation: a request whose caller has gone is dropped.
            self._drop(work)

    def tick(self) -> None:
        """Apply the instance list, poll runner loads and dispatch queued requests."""
        now = self.clock.monotonic()
        self._update_runners()
        for runner in list(self.runners.values()):
            runner.pause_if_due(now)
            if runner.start_poll_if_due(now):
                self._spawn(self._poll(runner))
        self.recent_attempts = {
            key: until for key, until in self.recent_attempts.items() if until > now
        }
        self.dispatch_queued()
        load = self.load()
        self.metrics.set_gauge("runner_group_queued", load.queued, group=self.partition)
        self.metrics.set_gauge("runner_group_free", load.free, group=self.partition)

    def dispatch_queued(self) -> None:
        """Send queued requests while a runner is free."""
        while self.queue.size:
            refusal = self.check_group()
            if refusal is not None:
                self._refuse_queue(refusal)
                return
            now = self.clock.monotonic()
            runner = choose_runner(self.runners.values(), now)
            if runner is None:
                return
            work = self.queue.take(now)
            if work is None:
                return
            self._stop_timer(work)
            if now >= work.start_by:
                self._finish_expired(work)
                continue
            work.attempts += 1
            # The slot is taken here and not in the task, so that the next iteration
            # of this loop counts it.
            runner.sent_at[work.forward.attempt_id] = now
            self._spawn(self._send(work, runner))

    def check_group(self) -> Refusal | None:
        """Return the refusal if nothing may be sent to this group's runners now."""
        epoch = self.ownership.holds(self.partition)
        if epoch is None or epoch.number != self.epoch:
            return not_run(Reason.NOT_OWNER, "this instance is not the owner")
        if not self.view.is_fresh():
            return not_run(Reason.STALE_VIEW, "the owner's view is not fresh")
        if not self.view.zone_in_service(self.zone):
            return not_run(Reason.NO_TARGET, f"zone {self.zone} is out of service")
        return None

    def load(self) -> GroupLoad:
        """Return the group's load for heartbeats and replies."""
        now = self.clock.monotonic()
        usable = [
            runner
            for runner in self.runners.values()
            if not self.closed
            and runner.load_known
            and not runner.leaving
            and now >= runner.blocked_until
        ]
        return GroupLoad(
            free=sum(runner.free(now) for runner in usable),
            queued=self.queue.size,
            slots=sum(min(runner.slots, int(runner.allowed)) for runner in usable),
            run_seconds=self.run_times.group,
        )

    def close(self) -> None:
        """Stop admission; queued requests are still dispatched."""
        self.closed = True

    def refuse_queued(self) -> None:
        """Refuse all queued requests, so that their receivers send them elsewhere."""
        self._refuse_queue(not_run(Reason.DRAINING, "the owner is stopping"))

    def can_hand_over(self) -> bool:
        """Return whether a new owner would see all sent requests in runner loads.

        That is so when the queue is empty and no start window is open any more.
        """
        now = self.clock.monotonic()
        return (
            self.queue.size == 0 and now - self.last_sent_at >= MAX_START_DELAY_SECONDS
        )

    def _check_forward(
        self, forward: Forward, now: float, latest_start: float
    ) -> Refusal | None:
        # A duplicate must not be answered ``not_run`` while the first copy may run.
        if forward.attempt_id in self.recent_attempts:
            return outcome_unknown(
                Reason.IN_PROGRESS, "this attempt was already received"
            )
        if self.closed:
            return not_run(Reason.DRAINING, "the owner is stopping")
        refusal = self.check_group()
        if refusal is not None:
            return refusal
        if latest_start <= now:
            return self._expired_refusal(forward)
        profile = self.view.profiles.get(forward.profile)
        if profile is None or self.zone not in profile.zones:
            return not_run(
                Reason.NO_TARGET, f"zone {self.zone} is not in the profile's zones"
            )
        return None

    def _expired_refusal(self, forward: Forward) -> Refusal:
        if forward.start_seconds < forward.remaining_seconds:
            return not_run(
                Reason.DEADLINE_BEFORE_START, "the latest start time has passed"
            )
        return not_run(Reason.DEADLINE_PASSED, "the deadline passed in the queue")

    def _expire(self, work: Work) -> None:
        if self.queue.remove(work):
            self._finish_expired(work)

    def _finish_expired(self, work: Work) -> None:
        self.metrics.count("requests_expired_unsent")
        self._finish(work, self._expired_refusal(work.forward))

    def _drop(self, work: Work) -> None:
        self._stop_timer(work)
        self.queue.remove(work)

    def _stop_timer(self, work: Work) -> None:
        if work.timer is not None:
            work.timer.cancel()
            work.timer = None

    def _refuse_queue(self, refusal: Refusal) -> None:
        for work in self.queue.clear():
            self._finish(work, refusal)

    def _finish(self, work: Work, outcome: Refusal | Reply) -> None:
        self._stop_timer(work)
        if work.future.done():
            return
        if isinstance(outcome, Refusal):
            outcome = self._refusal_reply(work.forward, outcome, work.attempts)
        work.future.set_result(outcome)

    def _refusal_reply(
        self, forward: Forward, refusal: Refusal, attempts: int
    ) -> Reply:
        self.metrics.count("forwards_refused", reason=refusal.reason.value)
        return refusal_reply(forward.attempt_id, refusal, attempts)

    async def _send(self, work: Work, runner: RunnerState) -> None:
        attempt_id = work.forward.attempt_id
        try:
            outcome = await self._run(work, runner)
        except BaseException:
            self._finish(work, outcome_unknown(Reason.TARGET_LOST, "internal error"))
            raise
        finally:
            # An attempt that is still in ``sent_at`` here has an unknown outcome.
            sent_at = runner.sent_at.pop(attempt_id, None)
            if sent_at is not None:
                # A connection that failed delivers nothing more. One that got no
                # answer in time may still deliver until the start window has ended.
                now = self.clock.monotonic()
                timed_out = now >= work.deadline
                runner.reserve_slot(
                    sent_at + MAX_START_DELAY_SECONDS if timed_out else now, now
                )
        if outcome is not None:
            self._finish(work, outcome)
        self.dispatch_queued()

    async def _run(self, work: Work, runner: RunnerState) -> Refusal | Reply | None:
        """Send the request to the runner and return its outcome.

        Returns ``None`` if the request is queued again or its outcome is already set.
        """
        forward = work.forward
        attempt_id = forward.attempt_id
        # The clocks are read before the checks. If this process freezes between a
        # check and the send, the runner refuses the start as too late.
        sent_at = self.clock.monotonic()
        start_before = self.clock.wall() + START_WINDOW_SECONDS
        refusal = self.check_group()
        if refusal is not None:
            del runner.sent_at[attempt_id]
            return refusal
        if work.future.done():
            del runner.sent_at[attempt_id]
            return None
        runner.leaving = runner.leaving or self.topology.is_leaving(runner.runner_id)
        if runner.leaving or sent_at >= work.start_by:
            del runner.sent_at[attempt_id]
            work.attempts -= 1
            return self._requeue(work)
        runner.sent_at[attempt_id] = sent_at
        self.last_sent_at = sent_at
        timeout = work.deadline - sent_at
        request = RunnerRequest(
            attempt_id, forward.service, forward.payload, start_before
        )
        call = asyncio.create_task(
            self.client.run(runner.address, request, timeout + LATE_ANSWER_SECONDS)
        )
        try:
            await asyncio.wait({call}, timeout=timeout)
            if not call.done():
                timeout_failure = CallFailure(
                    CallFailureKind.UNKNOWN, "no answer in time"
                )
                refusal = self._handle_failure(
                    work, runner, timeout_failure, sent_at, in_time=False
                )
                assert refusal is not None
                self._finish(work, refusal)
                await asyncio.wait({call}, timeout=LATE_ANSWER_SECONDS)
                self._handle_late_result(work, runner, call, sent_at)
                return None
        finally:
            call.cancel()
        result = call.result()
        if isinstance(result, Failure):
            return self._handle_failure(work, runner, result.failure(), sent_at, True)
        now = self.clock.monotonic()
        del runner.sent_at[attempt_id]
        self.health.record_success(runner, forward.organisation, now)
        self.run_times.record(forward.organisation, now - sent_at)
        return self._completed_reply(work, runner, result.unwrap())

    def _handle_late_result(
        self,
        work: Work,
        runner: RunnerState,
        call: asyncio.Task[Result[bytes, CallFailure]],
        sent_at: float,
    ) -> None:
        """Free the slot of an expired request if the runner has finished it."""
        if not call.done():
            return
        result = call.result()
        if isinstance(result, Success):
            self.metrics.count("late_answers")
            seconds = self.clock.monotonic() - sent_at
            self.run_times.record(work.forward.organisation, seconds)
        elif result.failure().kind is CallFailureKind.UNKNOWN:
            return
        del runner.sent_at[work.forward.attempt_id]

    def _completed_reply(
        self, work: Work, runner: RunnerState, answer: bytes
    ) -> Refusal | Reply:
        if len(answer) > MAX_ANSWER_BYTES:
            return outcome_unknown(
                Reason.TOO_LARGE,
                f"the request ran, but its answer is over {MAX_ANSWER_BYTES} bytes",
            )
        return Reply(
            attempt_id=work.forward.attempt_id,
            outcome=COMPLETED,
            answer=answer,
            runner=runner.runner_id,
            zone=self.zone,
            attempts=work.attempts,
        )

    def _handle_failure(
        self,
        work: Work,
        runner: RunnerState,
        failure: CallFailure,
        sent_at: float,
        in_time: bool,
    ) -> Refusal | None:
        forward = work.forward
        now = self.clock.monotonic()
        self.metrics.count("runner_failures", kind=failure.kind.value)
        fair_timeout = max(
            MIN_FAIR_TIMEOUT_SECONDS,
            FAIR_TIMEOUT_RUN_TIMES * self.run_times.expected(forward.organisation),
        )
        if in_time or work.deadline - sent_at >= fair_timeout:
            self.health.record_failure(
                runner,
                self.runners.values(),
                forward.organisation,
                failure.kind is not CallFailureKind.NOT_SENT,
                now,
            )
        if failure.kind is CallFailureKind.UNKNOWN:
            # The runner may still be working on it, so ``_send`` keeps the slot taken.
            if not in_time:
                return outcome_unknown(
                    Reason.DEADLINE_PASSED, "the deadline passed while it ran"
                )
            return outcome_unknown(Reason.TARGET_LOST, failure.message)
        del runner.sent_at[forward.attempt_id]
        if work.attempts < forward.attempts_left and self.budget.spend():
            self.metrics.count("request_retries", reason=failure.kind.value)
            return self._requeue(work)
        reason = (
            Reason.TARGET_UNREACHABLE
            if failure.kind is CallFailureKind.NOT_SENT
            else Reason.TARGET_REFUSED
        )
        return not_run(reason, failure.message)

    def _requeue(self, work: Work) -> Refusal | None:
        """Put work that certainly did not run back at the head of its queue."""
        remaining = work.start_by - self.clock.monotonic()
        if remaining <= 0:
            return self._expired_refusal(work.forward)
        work.timer = asyncio.get_running_loop().call_later(
            remaining, self._expire, work
        )
        self.queue.add_first(work)
        return None

    def _update_runners(self) -> None:
        listed = {
            record.instance_id: record
            for record in self.topology.runners.values()
            if record.kind is InstanceKind.RUNNER
            and record.service == self.service
            and record.zone == self.zone
        }
        for runner_id, record in listed.items():
            runner = self.runners.get(runner_id)
            if runner is None or runner.address != record.address:
                runner = self.runners[runner_id] = create_runner_state(record)
            runner.leaving = runner.reported_leaving or self.topology.is_leaving(
                runner_id
            )
        for runner_id in [key for key in self.runners if key not in listed]:
            del self.runners[runner_id]

    async def _poll(self, runner: RunnerState) -> None:
        started = self.clock.monotonic()
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                result = await self.client.status(runner.address)
        except TimeoutError:
            return
        finally:
            runner.polling = False
        if not isinstance(result, Success):
            return
        status = result.unwrap()
        runner.reported_leaving = runner.reported_leaving or status.leaving
        runner.leaving = runner.leaving or status.leaving
        runner.update_from_status(status.in_use, started, self.clock.monotonic())
        self.dispatch_queued()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("runner_group_errors")
            log.error(
                "background task of a runner group failed", exc_info=task.exception()
            )


def partition_of(service: str, zone: str) -> str:
    """Return the partition that admits requests of a service in a zone."""
    return f"runners/{service}/{zone}"


def create_runner_group(
    service: str,
    zone: str,
    epoch: int,
    *,
    ownership: Ownership,
    view: View,
    topology: Topology,
    client: RunnerClient,
    clock: Clock,
    metrics: Metrics,
) -> RunnerGroup:
    """Return a group for an epoch; it dispatches to runners whose load is known."""
    run_times = RunTimes()
    group = RunnerGroup(
        partition_of(service, zone),
        service,
        zone,
        epoch,
        ownership,
        view,
        topology,
        client,
        clock,
        metrics,
        run_times,
        create_fair_queue(run_times),
        create_retry_budget(clock),
    )
    group.tick()
    return group
