"""Checkpoints and stops gang members, and confirms that they have ended."""

from __future__ import annotations

import asyncio

from returns.result import Failure, Success

from egretloft._internal.gangs.context import OwnerContext
from egretloft._internal.gangs.entities import (
    ACTIVE_TASK_STATES,
    Gang,
    Member,
    join_checkpoints,
)
from egretloft._internal.platform.protocols import CLOCK_ERROR_SECONDS

INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0
# A checkpoint call is retried once, so that a single lost answer does not lose the work
# since the previous checkpoint.
CHECKPOINT_TRIES = 2


async def stop_members(context: OwnerContext, gang: Gang) -> None:
    """Stop all members and return when each of them is confirmed to have ended.

    That is the case when its worker reports it, or when every lease that any owner
    may have granted has expired on the worker's clock.
    """
    gang.renewing = False
    await asyncio.gather(
        *(
            stop_member(context, member)
            for member in gang.members
            if not member.confirmed_ended
        )
    )


async def checkpoint_members(context: OwnerContext, gang: Gang) -> str:
    """Checkpoint all members and return the name of the joint checkpoint.

    Returns an empty string unless all members succeeded, because a gang can only
    restart from checkpoints of all its members.
    """
    names = await asyncio.gather(
        *(
            _checkpoint_member(context, member)
            for member in sorted(gang.members, key=lambda m: m.placement.task_index)
        )
    )
    return join_checkpoints(names) if names and all(names) else ""


async def stop_member(context: OwnerContext, member: Member) -> None:
    """Stop one member and return when it is confirmed to have ended."""
    backoff = INITIAL_BACKOFF_SECONDS
    while not member.confirmed_ended:
        now = context.clock.wall()
        if now > member.latest_lease_end + CLOCK_ERROR_SECONDS:
            member.confirmed_ended = True
            return
        address = context.address_of(member)
        if address and context.may_send():
            match await context.client.stop(address, member.task_id):
                case Success(report) if report.state not in ACTIVE_TASK_STATES:
                    member.record_report(report, context.clock.wall())
                    return
                case Success():
                    # The worker has not yet finished stopping the task.
                    pass
                case Failure(failure):
                    context.metrics.count("stop_failures", kind=failure.kind.value)
        remaining_lease = (
            member.latest_lease_end + CLOCK_ERROR_SECONDS - context.clock.wall()
        )
        # 10 ms are added so that the lease has expired at the next comparison.
        await context.sleep(max(0.0, min(backoff, remaining_lease + 0.01)))
        backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)


async def _checkpoint_member(context: OwnerContext, member: Member) -> str:
    for _ in range(CHECKPOINT_TRIES):
        address = context.address_of(member)
        if member.confirmed_ended or not address or not context.may_send():
            return ""
        match await context.client.checkpoint(address, member.task_id):
            case Success(name):
                return str(name)
            case Failure(failure):
                context.metrics.count("checkpoint_failures", kind=failure.kind.value)
    return ""
