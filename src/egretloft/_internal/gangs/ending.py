"""Ends runs of gangs: planned stop, completion, failure and cancellation."""

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

# Limits of the results of all members in one job row, and of the result of one member.
# Longer results are truncated.
MAX_RESULTS_BYTES = 64 * 1024
MAX_RESULT_BYTES = 4 * 1024
TRUNCATION_MARK = "...[cut]"

RUN_STATES = frozenset({JobState.RUNNING, JobState.STOPPING})


async def stop_gang(
    context: OwnerContext, gang: Gang, renewal: LeaseRenewal, reason: str
) -> tuple[Event, ...]:
    """Checkpoint a running gang, stop it and requeue the job.

    The state ``stopping`` is written first, so that a new owner continues the stop.
    The gang keeps running until that write succeeds. A gang that completes, fails or
    is cancelled in the meantime is ended instead.
    """

    def to_stopping(record: JobRecord) -> JobChange | None:
        if record.state is not JobState.RUNNING or _must_end(gang):
            return None
        return JobChange(replace(record, state=JobState.STOPPING, reason=reason))

    def with_checkpoint(record: JobRecord) -> JobChange | None:
        if record.state is not JobState.STOPPING or _must_end(gang):
            return None
        return JobChange(replace(record, checkpoint=checkpoint))

    checkpoint = ""
    if (
        gang.record.state is JobState.RUNNING
        and not await context.write(gang, to_stopping)
        and not _must_end(gang)
    ):
        context.needs_reload = True
        return ()
    if (
        gang.record.state is JobState.STOPPING
        and gang.record.spec.checkpointable
        and not _must_end(gang)
    ):
        checkpoint = await checkpoint_members(context, gang)
        if checkpoint:
            # Written before the members stop, so that a new owner can find it.
            written = await context.write(gang, with_checkpoint)
            if not written and not _must_end(gang):
                context.needs_reload = True
                return ()
    return await end_gang(context, gang, renewal, checkpoint)


async def end_gang(
    context: OwnerContext, gang: Gang, renewal: LeaseRenewal, checkpoint: str = ""
) -> tuple[Event, ...]:
    """Stop the remaining members of a gang and write the outcome of its run."""
    renewal.detach(gang)
    await stop_members(context, gang)
    now = context.clock.wall()
    attempt = gang.record.attempt
    run_interval = run_times(gang)

    def to_ended(record: JobRecord) -> JobChange | None:
        if record.attempt != attempt or record.state not in RUN_STATES:
            return None
        ended = ended_record(gang, record, now, checkpoint)
        if run_interval is None:
            return JobChange(ended)
        return JobChange(ended, *context.accounting.run_rows(record, *run_interval))

    planned_stop = gang.record.state is JobState.STOPPING and not gang.broken
    if not await context.write(gang, to_ended):
        context.needs_reload = True
        return ()
    state = gang.record.state
    context.metrics.count("gang_runs_ended", state=state.value)
    failed = tuple(sorted(gang.failed_workers))
    gang.clear_members()
    if state is not JobState.QUEUED:
        return (GangEnded(gang.job_id, now, state, failed),)
    if planned_stop:
        return (GangStopped(gang.job_id, now, gang.record.checkpoint),)
    return (GangEnded(gang.job_id, now, JobState.FAILED, failed),)


async def end_queued_job(
    context: OwnerContext, gang: Gang, state: JobState, reason: Reason
) -> bool:
    """Write the end of a queued job; false if that did not apply to the current row."""
    now = context.clock.wall()

    def change(record: JobRecord) -> JobChange | None:
        if record.state is not JobState.QUEUED:
            return None
        return JobChange(
            replace(record, state=state, reason=reason.value, ended_at=now)
        )

    written = await context.write(gang, change)
    if not written and gang.record.state is not state:
        context.needs_reload = True
    return written


def ended_record(
    gang: Gang, record: JobRecord, now: float, checkpoint: str
) -> JobRecord:
    """Return the record to write after a run whose members have all ended."""
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
    outcome_known = all(_outcome_known(member) for member in gang.members)
    return replace(
        record,
        state=JobState.FAILED if outcome_known else JobState.UNKNOWN,
        ended_at=now,
        reason=(Reason.FAILED if outcome_known else Reason.TARGET_LOST).value,
        message=message,
        results=_results(gang),
    )


def run_times(gang: Gang) -> tuple[float, float] | None:
    """Return the start and end of the run in Unix seconds, ``None`` if nothing ran.

    If the end of a member is not known, the time at which it was last known to be
    active is used, so that organisations are not charged for time after a worker was
    lost.
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


def _must_end(gang: Gang) -> bool:
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
    limit = min(MAX_RESULT_BYTES, MAX_RESULTS_BYTES // max(1, len(gang.members)))
    return tuple(
        _truncate(member.report.result if member.report is not None else "", limit)
        for member in gang.members
    )


def _truncate(text: str, limit: int) -> str:
    data = text.encode()
    if len(data) <= limit:
        return text
    kept = data[: limit - len(TRUNCATION_MARK)].decode(errors="ignore")
    return kept + TRUNCATION_MARK


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
    # The row lists a few of the failed members only; a gang may have 1,024.
    return "; ".join(failed[:4])
