"""Gang start: either all members run, or none.

All members are started throttled. When every worker has confirmed its start and the
row is written as ``running``, all members are released from the throttle. Otherwise
the start is rolled back.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from returns.result import Failure, Success

from egretloft._internal.gangs.context import (
    COMMIT_TIMEOUT_SECONDS,
    Change,
    JobChange,
    OwnerContext,
)
from egretloft._internal.gangs.entities import (
    ACTIVE_TASK_STATES,
    Gang,
    Member,
    member_checkpoint,
)
from egretloft._internal.gangs.records import (
    epoch_check,
    profile_check,
    zone_check,
)
from egretloft._internal.gangs.renewal import LeaseRenewal
from egretloft._internal.gangs.stopping import stop_members
from egretloft._internal.models.jobs import JobRecord, JobState, Placement
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.platform.protocols import (
    CallFailureKind,
    StoreFailureKind,
    TaskStart,
)
from egretloft._internal.scheduling.events import (
    Event,
    GangEnded,
    GangStarted,
    GangStartFailed,
)

# A worker refuses a start call that arrives later than this.
START_WINDOW_SECONDS = 2.0
# Lease of a throttled member. It limits how long an incomplete gang can exist. It also
# limits how late a release that an owner sends after a process freeze can take effect:
# with the clock error of 0.5 s, 4 s after the transaction that checked the zone.
THROTTLED_LEASE_SECONDS = 3.5
# No release is sent in this last part of the throttled lease, because it could reach
# some members after their lease has expired.
RELEASE_MARGIN_SECONDS = 0.5
# Maximum time from the beginning of the second transaction, which checks the zone again
# and writes the row as ``running``, to the release.
RELEASE_WINDOW_SECONDS = 2.0
RETRY_SECONDS = 0.2


async def start_gang(
    context: OwnerContext, gang: Gang, placement: Placement, renewal: LeaseRenewal
) -> tuple[Event, ...]:
    """Start a queued gang on ``placement`` and return the events for the scheduler."""
    start_began_at = context.clock.wall()
    previous = gang.record
    attempt = previous.attempt + 1
    if _start_is_impossible(context, previous, placement):
        return (GangStartFailed(gang.job_id, start_began_at),)
    zone = context.topology.workers[placement[0].worker_id].zone
    if not await _write_starting(context, gang, placement, zone, start_began_at):
        return (GangStartFailed(gang.job_id, context.clock.wall()),)
    gang.set_members(placement, attempt, context.topology.workers)
    members_started = await asyncio.gather(
        *(
            _start_member(context, gang, member, start_began_at)
            for member in gang.members
        )
    )
    lease_until = start_began_at + THROTTLED_LEASE_SECONDS
    confirmed_at = context.clock.wall()
    if all(members_started) and await _write_running(context, gang, zone, lease_until):
        release_before = min(
            confirmed_at + RELEASE_WINDOW_SECONDS, lease_until - RELEASE_MARGIN_SECONDS
        )
        if await renewal.release(gang, release_before):
            return (GangStarted(gang.job_id, gang.record.started_at),)
    return await roll_back_start(context, gang, released_before=previous.released)


async def roll_back_start(
    context: OwnerContext, gang: Gang, *, released_before: bool
) -> tuple[Event, ...]:
    """Roll back a start whose release was never sent, and requeue the job.

    A job with a requested cancellation is cancelled instead. Returns when every
    member is confirmed to have ended and the row is written.
    """
    await stop_members(context, gang)
    attempt = gang.record.attempt
    rolled_back_at = context.clock.wall()

    def change(record: JobRecord) -> JobChange | None:
        if record.attempt != attempt or record.state not in {
            JobState.STARTING,
            JobState.RUNNING,
        }:
            return None
        state = JobState.CANCELLED if record.cancel_requested else JobState.QUEUED
        return JobChange(
            replace(
                record,
                state=state,
                placement=(),
                zone="",
                released=released_before,
                start_window_ends_at=0.0,
                reason=Reason.CANCELLED.value if record.cancel_requested else "",
                ended_at=rolled_back_at if record.cancel_requested else 0.0,
            )
        )

    if not await context.write(gang, change):
        context.needs_reload = True
        return ()
    context.metrics.count("gang_starts_failed")
    failed = tuple(sorted(gang.failed_workers))
    gang.clear_members()
    now = context.clock.wall()
    if gang.record.state is JobState.CANCELLED:
        return (GangEnded(gang.job_id, now, JobState.CANCELLED),)
    return (GangStartFailed(gang.job_id, now, failed),)


def _start_is_impossible(
    context: OwnerContext, record: JobRecord, placement: Placement
) -> bool:
    spec = record.spec
    now = context.clock.wall()
    return (
        not context.may_send()
        or record.state is not JobState.QUEUED
        or record.cancel_requested
        # A job that may not be repeated is released at most once, even if the scheduler
        # decides to start it again.
        or (record.released and not spec.restartable)
        or (bool(spec.deadline_at) and not record.released and now >= spec.deadline_at)
        or spec.profile not in context.view.profiles
        or not placement
        or any(
            part.worker_id not in context.topology.workers
            or context.topology.is_leaving(part.worker_id)
            for part in placement
        )
    )


async def _write_starting(
    context: OwnerContext,
    gang: Gang,
    placement: Placement,
    zone: str,
    start_began_at: float,
) -> bool:
    previous = gang.record
    epoch = context.epoch()
    if epoch is None or not context.view.zone_in_service(zone):
        return False
    new_record = replace(
        previous,
        state=JobState.STARTING,
        attempt=previous.attempt + 1,
        placement=placement,
        zone=zone,
        epoch=epoch.number,
        start_window_ends_at=start_began_at + START_WINDOW_SECONDS,
        reason="",
        message="",
    )
    checks = (
        epoch_check(epoch),
        zone_check(context.view, zone),
        profile_check(context.view, previous.spec.profile),
    )
    kind = await context.replace(gang, new_record, checks, COMMIT_TIMEOUT_SECONDS)
    if kind is StoreFailureKind.CONFLICT:
        await context.read_back(gang)
    elif kind is StoreFailureKind.UNKNOWN:
        # No start was sent to a worker. The write below succeeds whether or not the
        # unanswered one took effect, and prevents it from taking effect later.
        requeued = await context.write(gang, _requeue_with_attempt(new_record.attempt))
        context.needs_reload = context.needs_reload or not requeued
    return kind is None


def _requeue_with_attempt(attempt: int) -> Change:
    def change(record: JobRecord) -> JobChange | None:
        if record.state not in {JobState.QUEUED, JobState.STARTING}:
            return None
        return JobChange(
            replace(
                record,
                state=JobState.QUEUED,
                attempt=attempt,
                placement=(),
                zone="",
                start_window_ends_at=0.0,
            )
        )

    return change


async def _start_member(
    context: OwnerContext, gang: Gang, member: Member, start_began_at: float
) -> bool:
    spec = gang.record.spec
    start_before = start_began_at + START_WINDOW_SECONDS
    lease_until = start_began_at + THROTTLED_LEASE_SECONDS
    start = TaskStart(
        task_id=member.task_id,
        job_id=spec.job_id,
        attempt=gang.record.attempt,
        task_index=member.placement.task_index,
        accelerators=member.placement.accelerators,
        cores=spec.cores,
        memory_gb=spec.memory_gb,
        command=spec.command,
        start_before=start_before,
        lease_until=lease_until,
        throttled=True,
        checkpoint=member_checkpoint(gang.record, member.placement.task_index),
    )
    sent = False
    may_have_started = False
    # Start calls are idempotent by task id, so an unanswered one is retried until the
    # start window ends.
    while _may_start(context, gang, member, start_before):
        member.latest_lease_end = lease_until
        sent = True
        match await context.client.start(member.address, start):
            case Success(report):
                member.record_report(report, context.clock.wall())
                if report.state in ACTIVE_TASK_STATES:
                    return True
                break
            case Failure(failure):
                context.metrics.count("start_failures", kind=failure.kind.value)
                if failure.kind is CallFailureKind.REFUSED:
                    break
                may_have_started = (
                    may_have_started or failure.kind is CallFailureKind.UNKNOWN
                )
        await context.sleep(RETRY_SECONDS)
    if sent:
        gang.failed_workers.add(member.placement.worker_id)
    if not may_have_started:
        member.confirmed_ended = True
    return False


def _may_start(
    context: OwnerContext, gang: Gang, member: Member, start_before: float
) -> bool:
    return (
        context.may_send()
        and context.clock.wall() < start_before
        and context.view.zone_in_service(gang.record.zone)
        and not context.topology.is_leaving(member.placement.worker_id)
        and not gang.record.cancel_requested
    )


async def _write_running(
    context: OwnerContext, gang: Gang, zone: str, lease_until: float
) -> bool:
    """Write the row as ``running``, after which the gang may be released.

    Returns false if the write is not confirmed before ``lease_until`` less the
    release margin.
    """
    commit_deadline = lease_until - RELEASE_MARGIN_SECONDS
    now = context.clock.wall()
    epoch = context.epoch()
    record = gang.record
    if epoch is None or record.cancel_requested or now >= commit_deadline:
        return False
    new_record = replace(record, state=JobState.RUNNING, released=True, started_at=now)
    kind = await context.replace(
        gang,
        new_record,
        # The zone is checked again because it may have been taken out of service
        # since the first transaction.
        (epoch_check(epoch), zone_check(context.view, zone)),
        min(COMMIT_TIMEOUT_SECONDS, commit_deadline - now),
    )
    if kind is None:
        return not gang.record.cancel_requested
    if kind is StoreFailureKind.NOT_APPLIED:
        return False
    while context.clock.wall() < commit_deadline and context.epoch() is not None:
        if await context.read_back(gang):
            # If the row is still ``starting``, the unanswered write may yet take
            # effect. The roll-back checks the row version, so only one of the two
            # writes succeeds.
            return (
                gang.record.state is JobState.RUNNING
                and gang.record.attempt == new_record.attempt
                and not gang.record.cancel_requested
            )
        await context.sleep(RETRY_SECONDS)
    return False
