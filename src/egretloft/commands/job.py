"""``egretctl job``: submit, show, list, cancel and wait for gang jobs."""

from __future__ import annotations

import sys
import time
import uuid
from typing import Any

import click
from rich.console import Console

from egretloft._internal.models.jobs import TERMINAL_STATES, JobState
from egretloft.commands.base import Context, ExitCode, pass_context

COLUMNS = ("job_id", "organisation", "state", "attempt", "zone", "reason")
TERMINAL_STATE_NAMES = frozenset(str(state) for state in TERMINAL_STATES)
POLL_SECONDS = 0.5


@click.group()
def job() -> None:
    """Submit gang jobs, show their state, wait for them and cancel them."""


@job.command("submit")
@click.option("--organisation", required=True)
@click.option("--profile", required=True)
@click.option("--service", required=True)
@click.option("--tasks", type=click.IntRange(1, 1024), default=1)
@click.option("--accelerators-per-task", type=click.IntRange(0, 64), default=1)
@click.option("--cores", type=click.IntRange(0), default=1, help="Per task.")
@click.option("--memory-gb", type=click.IntRange(0), default=1, help="Per task.")
@click.option(
    "--adjacency", type=click.Choice(["worker", "rack", "zone"]), default="rack"
)
@click.option("--declared-seconds", type=click.FloatRange(0), default=60.0)
@click.option("--command", required=True, help="Command that each task runs.")
@click.option("--idempotent/--non-idempotent", default=False)
@click.option("--checkpointable/--not-checkpointable", default=False)
@click.option("--priority", type=click.Choice(["urgent", "normal"]), default="normal")
@click.option(
    "--start-deadline-seconds",
    type=click.FloatRange(0),
    default=0.0,
    help="End the job if it has not started within this time; 0 for no deadline.",
)
@click.option(
    "--idempotency-key",
    help="Key for safe retries: after an unknown outcome, submit again with the same "
    "key. Default: a random key.",
)
@click.option("--wait/--no-wait", default=False, help="Wait until the job has ended.")
@pass_context
def submit(context: Context, /, wait: bool, **values: Any) -> None:
    """Submit a gang of equal tasks that runs as a whole or not at all."""
    if values["idempotency_key"] is None:
        values["idempotency_key"] = uuid.uuid4().hex
        click.echo(f"idempotency key: {values['idempotency_key']}", err=True)
    answer = context.call("POST", "/v1/jobs", values)
    if wait:
        wait_for(context, answer["job_id"], 0.0)
        return
    context.show(answer, [answer], COLUMNS)


@job.command("status")
@click.argument("job_id")
@pass_context
def status(context: Context, job_id: str) -> None:
    """Show one job with its placement and result."""
    answer = context.call("GET", f"/v1/jobs/{job_id}")
    context.show(answer, [answer], (*COLUMNS, "message", "results"))


@job.command("list")
@click.option("--organisation", required=True)
@pass_context
def list_jobs(context: Context, organisation: str) -> None:
    """List the jobs of an organisation."""
    answer = context.call("GET", "/v1/jobs", params={"organisation": organisation})
    context.show(answer, answer["jobs"], COLUMNS)


@job.command("cancel")
@click.argument("job_ids", nargs=-1, required=True)
@pass_context
def cancel(context: Context, job_ids: tuple[str, ...]) -> None:
    """Cancel jobs; up to 1,000 in one call."""
    answer = context.call("POST", "/v1/jobs/cancel", {"job_ids": list(job_ids)})
    context.show(answer, [answer], tuple(answer))


@job.command("wait")
@click.argument("job_id")
@click.option(
    "--for",
    "wait_seconds",
    type=click.FloatRange(0),
    default=0.0,
    help="Maximum number of seconds to wait; 0 for no limit.",
)
@pass_context
def wait(context: Context, job_id: str, wait_seconds: float) -> None:
    """Wait until a job has ended; exit code 6 unless it completed."""
    wait_for(context, job_id, wait_seconds)


def wait_for(context: Context, job_id: str, wait_seconds: float) -> None:
    """Poll a job until it ends, then print it.

    Shows the state on standard error meanwhile. Exits with ``WAIT_TIMED_OUT`` after
    ``wait_seconds``, unless they are 0, and with ``JOB_FAILED`` if the job ended
    without completing.
    """
    started = time.monotonic()
    with Console(stderr=True).status(f"{job_id}: waiting") as progress:
        while True:
            answer = context.call("GET", f"/v1/jobs/{job_id}")
            elapsed = time.monotonic() - started
            progress.update(f"{job_id}: {answer['state']} ({elapsed:.0f} s)")
            if answer["state"] in TERMINAL_STATE_NAMES:
                break
            if wait_seconds and elapsed >= wait_seconds:
                click.echo(f"egretctl: {job_id} is {answer['state']}", err=True)
                sys.exit(ExitCode.WAIT_TIMED_OUT)
            time.sleep(POLL_SECONDS)
    context.show(answer, [answer], (*COLUMNS, "message"))
    if answer["state"] != JobState.COMPLETED:
        sys.exit(ExitCode.JOB_FAILED)
