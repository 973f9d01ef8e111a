"""Checkpoint and stop of gang members, with the proof that they are gone."""

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

FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.0
# A checkpoint call is repeated once, so that one lost answer does not cost the work
# since the former checkpoint.
CHECKPOINT_TRIES = 2


async def stop_members(context: OwnerContext, gang: Gang) -> None:
    """Stop all members and return when each of them is proved gone.

    A member is gone when its worker says so, or when every lease that any owner may
    have given has ended on the worker's clock.
    """
    gang.renewing = False
    await asyncio.gather(
        *(stop_member(context, member) for member in gang.members if not member.gone)
    )


async def checkpoint_members(context: OwnerContext, gang: Gang) -> str:
    """Return the name of a new checkpoint, empty unless all members wrote one.

    The members' checkpoints belong together, so a part of them is of no use.
    """
    names = await asyncio.gather(
        *(
            _checkpoint_member(context, member)
            for member in sorted(gang.members, key=lambda m: m.placement.task_index)
        )
    )
    return join_checkpoints(names) if names and all(names) else ""


async def stop_member(context: OwnerContext, member: Member) -> None:
    """Stop one member and return when it is proved gone."""
    pause = FIRST_PAUSE_SECONDS
    while not member.gone:
        now = context.clock.wall()
        if now > member.lease_bound + CLOCK_ERROR_SECONDS:
            member.gone = True
            return
        address = context.address_of(member)
        if address and context.may_send():
            match await context.client.stop(address, member.task_id):
                case Success(report) if report.state not in ACTIVE_TASK_STATES:
                    member.record_report(report, context.clock.wall())
                    return
                case Success():
                    # The worker is still ending the task.
                    pass
                case Failure(failure):
                    context.metrics.count("stop_failures", kind=failure.kind.value)
        lease_left = member.lease_bound + CLOCK_ERROR_SECONDS - context.clock.wall()
        # The small addition makes the next comparison with the lease end true.
        await context.sleep(max(0.0, min(pause, lease_left + 0.01)))
        pause = min(2 * pause, LONGEST_PAUSE_SECONDS)


async def _checkpoint_member(context: OwnerContext, member: Member) -> str:
    for _ in range(CHECKPOINT_TRIES):
        address = context.address_of(member)
        if member.gone or not address or not context.may_send():
            return ""
        match await context.client.checkpoint(address, member.task_id):
            case Success(name):
                return str(name)
            case Failure(failure):
                context.metrics.count("checkpoint_failures", kind=failure.kind.value)
    return ""
