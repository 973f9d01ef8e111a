"""Lease renewal: one call per worker for all its tasks, and what the answers say."""

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

RENEWAL_SECONDS = 2.0
LEASE_SECONDS = 15.0
# A worker is lost when calls over this time all failed. It is just under the call
# timeout of 2 s, so that one call without an answer is enough.
LOST_AFTER_SECONDS = 1.9
RETRY_SECONDS = 0.25
# A longer gap between two ticks means that this process stood still. Calls that were
# under way then failed here and say nothing about the worker.
STANDSTILL_SECONDS = 1.0
# Calls that are due together, as after an adoption, are spread over this time. All at
# once they would hold up the heartbeats of this process with 1,500 workers.
SPREAD_SECONDS = 1.0
LEAST_CALLS_PER_TICK = 16


@dataclass(slots=True)
class WorkerLeases:
    """The members on one worker and the state of its renewal calls.

    Times are on the monotonic clock.
    """

    worker_id: str
    members: dict[str, tuple[Gang, Member]] = field(default_factory=dict)
    due_at: float = 0.0
    failing_since: float | None = None
    call: asyncio.Task[None] | None = None


class LeaseRenewal:
    """Renews the leases of running gangs; ``changed`` is told of ended members."""

    def __init__(self, context: OwnerContext, changed: Callable[[Gang], None]) -> None:
        self.context = context
        self.changed = changed
        self.leases: dict[str, WorkerLeases] = {}
        self.last_tick = context.clock.monotonic()
        self.resumed_at = self.last_tick

    def attach(self, gang: Gang) -> None:
        """Renew the gang's members from the next tick on."""
        gang.renewing = True
        for member in gang.members:
            if not member.gone:
                worker_id = member.placement.worker_id
                leases = self.leases.setdefault(worker_id, WorkerLeases(worker_id))
                leases.members[member.task_id] = gang, member

    def detach(self, gang: Gang) -> None:
        """End the renewal of all members of the gang."""
        gang.renewing = False
        for member in gang.members:
            self._forget(member)

    def tick(self) -> None:
        """Start the calls that are due; none without ownership and a fresh view."""
        now = self.context.clock.monotonic()
        elapsed = now - self.last_tick
        if elapsed > STANDSTILL_SECONDS:
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
        share = int(len(self.leases) * elapsed / SPREAD_SECONDS)
        for leases in due[: max(LEAST_CALLS_PER_TICK, share)]:
            leases.call = asyncio.create_task(self._renew(leases))

    async def release(self, gang: Gang, release_before: float) -> bool:
        """Release a started gang from its throttle; false if nothing was sent.

        ``release_before`` is wall clock time after which no release is sent. A
        release that fails is repeated by the regular renewals.
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
        """End all calls."""
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
        self, leases: WorkerLeases, targets: Sequence[tuple[Gang, Member]]
    ) -> None:
        context = self.context
        renewals: list[Renewal] = []
        for gang, member in targets:
            # Counted from when the whole gang was seen, so that the rest of a gang
            # that lost a member ends within one lease, whatever happens to its
            # owners. A new owner's first calls only ask for the states: a worker
            # ignores a lease end that is before the current one.
            lease_until = gang.all_seen_at + LEASE_SECONDS
            renewals.append(Renewal(member.task_id, lease_until, throttled=False))
            member.lease_bound = max(member.lease_bound, lease_until)
        sent_wall = context.clock.wall()
        sent_at = context.clock.monotonic()
        address = context.address_of(targets[0][1])
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
                leases.due_at = sent_at + RENEWAL_SECONDS
                for (gang, member), report in zip(targets, reports, strict=True):
                    self._take(gang, member, report, sent_wall)
            case Failure(failure):
                self._failed(leases, targets, failure, sent_at, now)

    def _take(
        self, gang: Gang, member: Member, report: TaskReport, sent_wall: float
    ) -> None:
        unseen = gang.all_seen_at == 0.0
        member.record_report(report, sent_wall)
        if not member.gone:
            if unseen and gang.all_seen_at:
                self._renew_soon(gang)
            return
        self._forget(member)
        if not gang.renewing:
            return
        # A former owner may already have stopped members of a gang that it stopped.
        planned = (
            gang.record.state is JobState.STOPPING and report.state is TaskState.STOPPED
        )
        if report.state is not TaskState.FINISHED and not planned:
            gang.mark_broken(member.placement.worker_id)
            self.context.metrics.count(
                "gang_members_ended_early", state=report.state.value
            )
        if gang.broken or gang.complete:
            self.changed(gang)

    def _failed(
        self,
        leases: WorkerLeases,
        targets: Sequence[tuple[Gang, Member]],
        failure: CallFailure,
        sent_at: float,
        now: float,
    ) -> None:
        self.context.metrics.count("renewal_failures", kind=failure.kind.value)
        leases.due_at = max(now, sent_at + RETRY_SECONDS)
        if now - self.last_tick > STANDSTILL_SECONDS or sent_at < self.resumed_at:
            return
        if leases.failing_since is None:
            leases.failing_since = sent_at
        if now - leases.failing_since < LOST_AFTER_SECONDS:
            return
        log.warning("worker lost", worker=leases.worker_id, error=failure.message)
        self.context.metrics.count("workers_lost")
        for gang, member in targets:
            if gang.renewing and not member.gone:
                gang.mark_broken(leases.worker_id)
                self.changed(gang)

    def _renew_soon(self, gang: Gang) -> None:
        # An adopted gang is now known to be whole, and its leases may be short.
        now = self.context.clock.monotonic()
        for member in gang.members:
            leases = self.leases.get(member.placement.worker_id)
            if leases is not None:
                leases.due_at = min(leases.due_at, now)

    def _forget(self, member: Member) -> None:
        leases = self.leases.get(member.placement.worker_id)
        if leases is not None:
            leases.members.pop(member.task_id, None)
