"""Lease renewal: one call per worker renews the leases of all its gang members."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.gangs.context import OwnerContext
from egretloft._internal.gangs.entities import Gang, Member
from egretloft._internal.models.jobs import JobState
from egretloft._internal.platform.protocols import (
    CallFailure,
    CallFailureKind,
    Renewal,
    TaskReport,
    TaskState,
)

log = structlog.get_logger(__name__)

RENEWAL_PERIOD_SECONDS = 2.0
LEASE_SECONDS = 15.0
# A worker is considered lost when all calls over this time have failed. The value is
# just under the call timeout of 2 s, so that one call that times out is enough.
WORKER_LOST_AFTER_SECONDS = 1.9
RETRY_SECONDS = 0.25
# A longer gap between two ticks means that this process was stalled. In-flight calls
# then time out because of the stall and are not evidence of a lost worker.
STALL_SECONDS = 1.0
# Calls that are due at the same time, for example after a change of owner, are spread
# over this time. With 1,500 workers, sending all of them at once would delay the
# heartbeats of this process.
SPREAD_SECONDS = 1.0
MIN_CALLS_PER_TICK = 16


@dataclass(slots=True)
class WorkerLeases:
    """The gang members on one worker and the state of its renewal calls.

    Times are in seconds on the monotonic clock.
    """

    worker_id: str
    members: dict[str, tuple[Gang, Member]] = field(default_factory=dict)
    due_at: float = 0.0
    failing_since: float | None = None
    call: asyncio.Task[None] | None = None


class LeaseRenewal:
    """Renews the leases of running gangs.

    ``on_run_over`` is called with a gang when all of its members have finished, or
    when one of them failed or was lost.
    """

    def __init__(
        self, context: OwnerContext, on_run_over: Callable[[Gang], None]
    ) -> None:
        self.context = context
        self.on_run_over = on_run_over
        self.leases: dict[str, WorkerLeases] = {}
        self.last_tick = context.clock.monotonic()
        self.resumed_at = self.last_tick

    def attach(self, gang: Gang) -> None:
        """Start renewing the leases of the gang's members, from the next tick on."""
        gang.renewing = True
        for member in gang.members:
            if not member.confirmed_ended:
                worker_id = member.placement.worker_id
                leases = self.leases.setdefault(worker_id, WorkerLeases(worker_id))
                leases.members[member.task_id] = gang, member

    def detach(self, gang: Gang) -> None:
        """Stop renewing the leases of the gang's members."""
        gang.renewing = False
        for member in gang.members:
            self._remove_member(member)

    def tick(self) -> None:
        """Start the calls that are due.

        Sends nothing unless this instance is the owner and has a fresh view.
        """
        now = self.context.clock.monotonic()
        elapsed = now - self.last_tick
        if elapsed > STALL_SECONDS:
            self.resumed_at = now
            for leases in self.leases.values():
                leases.failing_since = None
        self.last_tick = now
        if not self.context.may_send():
            return
        due = [
            leases
            for leases in self.leases.values()
            if leases.call is None and leases.due_at <= now
        ]
        due.sort(key=lambda leases: leases.due_at)
        spread_calls = int(len(self.leases) * elapsed / SPREAD_SECONDS)
        for leases in due[: max(MIN_CALLS_PER_TICK, spread_calls)]:
            leases.call = asyncio.create_task(self._renew(leases))

    async def release(self, gang: Gang, release_before: float) -> bool:
        """Release all members of a started gang from the throttle.

        No release is sent after ``release_before``, in Unix seconds. Returns false if
        none was sent. A release that fails is retried by the regular renewals.
        """
        by_worker: dict[str, list[Member]] = {}
        for member in gang.members:
            by_worker.setdefault(member.placement.worker_id, []).append(member)
        gang.renewing = True
        sent = await asyncio.gather(
            *(
                self._release_at(gang, worker_id, members, release_before)
                for worker_id, members in by_worker.items()
            )
        )
        if not any(sent):
            gang.renewing = False
            return False
        if gang.renewing:
            self.attach(gang)
        return True

    def close(self) -> None:
        """Cancel all calls in flight and forget all members."""
        for leases in self.leases.values():
            if leases.call is not None:
                leases.call.cancel()
        self.leases.clear()

    async def _release_at(
        self, gang: Gang, worker_id: str, members: list[Member], release_before: float
    ) -> bool:
        leases = self.leases.setdefault(worker_id, WorkerLeases(worker_id))
        if not self.context.may_send() or self.context.clock.wall() >= release_before:
            return False
        await self._call(leases, [(gang, member) for member in members])
        return True

    async def _renew(self, leases: WorkerLeases) -> None:
        try:
            if self.context.may_send() and leases.members:
                await self._call(leases, list(leases.members.values()))
            if not leases.members:
                self.leases.pop(leases.worker_id, None)
        finally:
            leases.call = None

    async def _call(
        self, leases: WorkerLeases, leased_members: Sequence[tuple[Gang, Member]]
    ) -> None:
        context = self.context
        renewals: list[Renewal] = []
        for gang, member in leased_members:
            # The lease is counted from the time at which the whole gang was known to be
            # active. After the loss of a member, the others therefore end within one
            # lease term, even if the owner changes repeatedly. The first calls of a new
            # owner only query the states: a worker ignores a lease end that is earlier
            # than the current one.
            lease_until = gang.last_all_active_at + LEASE_SECONDS
            renewals.append(Renewal(member.task_id, lease_until, throttled=False))
            member.latest_lease_end = max(member.latest_lease_end, lease_until)
        sent_wall = context.clock.wall()
        sent_at = context.clock.monotonic()
        address = context.address_of(leased_members[0][1])
        result: Result[tuple[TaskReport, ...], CallFailure]
        if address:
            result = await context.client.renew(address, renewals)
        else:
            result = Failure(CallFailure(CallFailureKind.NOT_SENT, "not listed"))
        now = context.clock.monotonic()
        context.metrics.observe_seconds("renewal_seconds", now - sent_at)
        match result:
            case Success(reports):
                leases.failing_since = None
                leases.due_at = sent_at + RENEWAL_PERIOD_SECONDS
                for (gang, member), report in zip(leased_members, reports, strict=True):
                    self._process_report(gang, member, report, sent_wall)
            case Failure(failure):
                self._process_failure(leases, leased_members, failure, sent_at, now)

    def _process_report(
        self, gang: Gang, member: Member, report: TaskReport, sent_wall: float
    ) -> None:
        was_unconfirmed = gang.last_all_active_at == 0.0
        member.record_report(report, sent_wall)
        if not member.confirmed_ended:
            if was_unconfirmed and gang.last_all_active_at:
                self._make_renewals_due(gang)
            return
        self._remove_member(member)
        if not gang.renewing:
            return
        # A previous owner that was stopping this gang may have stopped some members.
        stop_expected = (
            gang.record.state is JobState.STOPPING and report.state is TaskState.STOPPED
        )
        if report.state is not TaskState.FINISHED and not stop_expected:
            gang.mark_broken(member.placement.worker_id)
            self.context.metrics.count(
                "gang_members_ended_early", state=report.state.value
            )
        if gang.broken or gang.complete:
            self.on_run_over(gang)

    def _process_failure(
        self,
        leases: WorkerLeases,
        leased_members: Sequence[tuple[Gang, Member]],
        failure: CallFailure,
        sent_at: float,
        now: float,
    ) -> None:
        self.context.metrics.count("renewal_failures", kind=failure.kind.value)
        leases.due_at = max(now, sent_at + RETRY_SECONDS)
        if now - self.last_tick > STALL_SECONDS or sent_at < self.resumed_at:
            return
        if leases.failing_since is None:
            leases.failing_since = sent_at
        if now - leases.failing_since < WORKER_LOST_AFTER_SECONDS:
            return
        log.warning("worker lost", worker=leases.worker_id, error=failure.message)
        self.context.metrics.count("workers_lost")
        for gang, member in leased_members:
            if gang.renewing and not member.confirmed_ended:
                gang.mark_broken(leases.worker_id)
                self.on_run_over(gang)

    def _make_renewals_due(self, gang: Gang) -> None:
        # All members of an adopted gang are now known to be active. Their leases may be
        # about to expire.
        now = self.context.clock.monotonic()
        for member in gang.members:
            leases = self.leases.get(member.placement.worker_id)
            if leases is not None:
                leases.due_at = min(leases.due_at, now)

    def _remove_member(self, member: Member) -> None:
        leases = self.leases.get(member.placement.worker_id)
        if leases is not None:
            leases.members.pop(member.task_id, None)
