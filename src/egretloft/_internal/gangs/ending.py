"""The end of a run: planned stop, completion, failure and cancellation."""

from __future__ import annotations

from dataclasses import replace

from egretloft._internal.gangs.context import JobChange, OwnerContext
from egretloft._internal.gangs.entities import ACTIVE_TASK_STATES, Gang, Member
from egretloft._internal.gangs.renewal import LeaseRenewal
from egretloft._internal.gangs.stopping import checkpoint_members, stop_members
from egretloft._internal.models.jobs import JobRecord, JobState
from egretloft._internal.models.outcomes import Reason
from egretloft._internal.platform.protocols import TaskState
from egretloft._internal.scheduling.events import Event, GangEnded, GangStopped

# Results of all members in one job row, and of one member; longer ones are cut.
RESULTS_BYTES = 64 * 1024
RESULT_BYTES = 4 * 1024
CUT_MARK = "...[cut]"

RUN_STATES = frozenset({JobState.RUNNING, JobState.STOPPING})


async def stop_gang(
    context: OwnerContext, gang: Gang, renewal: LeaseRenewal, reason: str
) -> tuple[Event, ...]:
    """Checkpoint a running gang, stop it and put it back into the queue.

    The first write makes the stop known to a successor. Until it is made the gang
    runs on; a gang that ends or breaks meanwhile is ended instead.
    """

    def to_stopping(record: JobRecord) -> JobChange | None:
        if record.state is not JobState.RUNNING or _ends_anyway(gang):
            return None
        return JobChange(replace(record, state=JobState.STOPPING, reason=reason))

    def with_checkpoint(record: JobRecord) -> JobChange | None:
        if record.state is not JobState.STOPPING or _ends_anyway(gang):
            return None
        return JobChange(replace(record, checkpoint=checkpoint))

    checkpoint = ""
    if (
        gang.record.state is JobState.RUNNING
        and not await context.write(gang, to_stopping)
        and not _ends_anyway(gang)
    ):
        context.abandoned = True
        return ()
    if (
        gang.record.state is JobState.STOPPING
        and gang.record.spec.checkpointable
        and not _ends_anyway(gang)
    ):
        checkpoint = await checkpoint_members(context, gang)
        if checkpoint:
            # Written before the members stop, so that a successor knows its name.
            written = await context.write(gang, with_checkpoint)
            if not written and not _ends_anyway(gang):
                context.abandoned = True
                return ()
    return await end_gang(context, gang, renewal, checkpoint)


async def end_gang(
    context: OwnerContext, gang: Gang, renewal: LeaseRenewal, checkpoint: str = ""
) -> tuple[Event, ...]:
    """Stop what is left of a gang and write how its run ended."""
    renewal.detach(gang)
    await stop_members(context, gang)
    now = context.clock.wall()
    attempt = gang.record.attempt
    times = run_times(gang)

    def to_ended(record: JobRecord) -> JobChange | None:
        if record.attempt != attempt or record.state not in RUN_STATES:
            return None
        ended = ended_record(gang, record, now, checkpoint)
        if times is None:
            return JobChange(ended)
        return JobChange(ended, *context.accounting.run_rows(record, *times))

    planned = gang.record.state is JobState.STOPPING and not gang.broken
    if not await context.write(gang, to_ended):
        context.abandoned = True
        return ()
    state = gang.record.state
    context.metrics.count("gang_runs_ended", state=state.value)
    failed = tuple(sorted(gang.failed_workers))
    gang.clear_members()
    if state is not JobState.QUEUED:
        return (GangEnded(gang.job_id, now, state, failed),)
    if planned:
        return (GangStopped(gang.job_id, now, gang.record.checkpoint),)
    return (GangEnded(gang.job_id, now, JobState.FAILED, failed),)


async def end_queued(
    context: OwnerContext, gang: Gang, state: JobState, reason: Reason
) -> bool:
    """Write the end of a job that is not running; false if it was not written."""
    now = context.clock.wall()

    def change(record: JobRecord) -> JobChange | None:
        if record.state is not JobState.QUEUED:
            return None
        return JobChange(
            replace(record, state=state, reason=reason.value, ended_at=now)
        )

    written = await context.write(gang, change)
    if not written and gang.record.state is not state:
        context.abandoned = True
    return written


def ended_record(
    gang: Gang, record: JobRecord, now: float, checkpoint: str
) -> JobRecord:
    """Return the record after a run whose members are all gone."""
    spec = record.spec
    if gang.complete:
        return replace(
            record,
            state=JobState.COMPLETED,
            ended_at=now,
            reason="",
            results=_results(gang),
        )
    if record.cancel_requested:
        return replace(
            record,
            state=JobState.CANCELLED,
            ended_at=now,
            reason=Reason.CANCELLED.value,
        )
    message = _failure_message(gang)
    if gang.end_reason is not None:
        return replace(
            record,
            state=JobState.FAILED,
            ended_at=now,
            reason=gang.end_reason.value,
            message=message,
            results=_results(gang),
        )
    if spec.restartable:
        return replace(
            record,
            state=JobState.QUEUED,
            placement=(),
            zone="",
            start_window_ends_at=0.0,
            checkpoint=checkpoint or record.checkpoint,
            reason=record.reason if record.state is JobState.STOPPING else "",
            message=message,
        )
    learned = all(_outcome_known(member) for member in gang.members)
    return replace(
        record,
        state=JobState.FAILED if learned else JobState.UNKNOWN,
        ended_at=now,
        reason=(Reason.FAILED if learned else Reason.TARGET_LOST).value,
        message=message,
        results=_results(gang),
    )


def run_times(gang: Gang) -> tuple[float, float] | None:
    """Return start and end of the run, Unix seconds, ``None`` if nothing ran.

    A member of which no end is known counts until it was last seen to be active, so
    that no organisation is charged for time in which a lost worker did nothing.
    """
    reports = [member.report for member in gang.members]
    if reports and all(
        report is not None
        and report.state not in ACTIVE_TASK_STATES
        and report.started_at == 0.0
        for report in reports
    ):
        return None
    starts = [report.started_at for report in reports if report and report.started_at]
    started_at = min(starts, default=gang.record.started_at)
    ended_at = max(
        (
            member.report.ended_at
            if member.report is not None and member.report.ended_at
            else member.last_active_at
            for member in gang.members
        ),
        default=started_at,
    )
    return started_at, max(started_at, ended_at)


def _ends_anyway(gang: Gang) -> bool:
    return (
        gang.broken
        or gang.complete
        or gang.record.cancel_requested
        or gang.end_reason is not None
    )


def _outcome_known(member: Member) -> bool:
    report = member.report
    return report is not None and report.state not in {
        *ACTIVE_TASK_STATES,
        TaskState.UNKNOWN,
    }


def _results(gang: Gang) -> tuple[str, ...]:
    limit = min(RESULT_BYTES, RESULTS_BYTES // max(1, len(gang.members)))
    return tuple(
        _cut(member.report.result if member.report is not None else "", limit)
        for member in gang.members
    )


def _cut(text: str, limit: int) -> str:
    data = text.encode()
    if len(data) <= limit:
        return text
    kept = data[: limit - len(CUT_MARK)].decode(errors="ignore")
    return kept + CUT_MARK


def _failure_message(gang: Gang) -> str:
    failed = [
        f"task {member.placement.task_index} on {member.placement.worker_id}: "
        + (
            f"{member.report.state}, exit code {member.report.exit_code}"
            if member.report is not None
            else "no report"
        )
        for member in gang.members
        if member.placement.worker_id in gang.failed_workers
    ]
    # A few members explain the failure; a row does not have to name 1,024.
    return "; ".join(failed[:4])
