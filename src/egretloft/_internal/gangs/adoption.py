"""Adoption: a new owner takes over the gangs that it finds in the job rows."""

from __future__ import annotations

from egretloft._internal.gangs.context import OwnerContext
from egretloft._internal.gangs.entities import PLACED_STATES, Gang
from egretloft._internal.gangs.records import JobRow
from egretloft._internal.gangs.renewal import LEASE_SECONDS, LeaseRenewal
from egretloft._internal.gangs.starting import (
    START_WINDOW_SECONDS,
    THROTTLED_LEASE_SECONDS,
)
from egretloft._internal.models.jobs import JobState
from egretloft._internal.platform.protocols import CLOCK_ERROR_SECONDS
from egretloft._internal.scheduling.events import Event, JobAdopted, JobQueued


def adopt(context: OwnerContext, row: JobRow, renewal: LeaseRenewal) -> Gang:
    """Return the gang of a row, and start renewing its leases if it is running.

    The latest possible lease end takes into account renewals that the previous owner
    sent until it lost the ownership, on a clock that may be ahead of this one.
    """
    gang = Gang(row)
    record = row.record
    if record.state not in PLACED_STATES:
        return gang
    if record.state is JobState.STARTING:
        lease_end = (
            record.start_window_ends_at - START_WINDOW_SECONDS + THROTTLED_LEASE_SECONDS
        )
    else:
        lease_end = context.clock.wall() + LEASE_SECONDS + CLOCK_ERROR_SECONDS
    gang.set_members(
        record.placement, record.attempt, context.topology.workers, lease_end
    )
    # A stop that the previous owner began is continued. Its members need their leases
    # until the checkpoint is written.
    if record.state is not JobState.STARTING:
        renewal.attach(gang)
    context.metrics.count("gangs_adopted", state=record.state.value)
    return gang


def adoption_event(gang: Gang) -> Event:
    """Return the scheduler event for a job that was found in the rows."""
    record = gang.record
    if record.state in PLACED_STATES:
        return JobAdopted(
            record.spec, record.placement, record.attempt, record.started_at
        )
    return JobQueued(record.spec, record.attempt)
