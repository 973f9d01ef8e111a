"""Entry point of ``egretloftd``."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import click
import uvloop
from returns.result import Failure

from egretloft import __version__
from egretloft._internal.daemon.run import run_daemon
from egretloft._internal.logs import configure_logging
from egretloft._internal.settings import (
    LOG_LEVELS,
    Settings,
    check_settings,
    default_instance_id,
)

EXIT_USAGE = 2


@click.command(
    context_settings={
        "auto_envvar_prefix": "EGRETLOFT",
        "show_default": True,
        "max_content_width": 88,
    }
)
@click.option(
    "--instance-id",
    default=default_instance_id,
    show_default="a random id",
    help="Name of this instance in logs and in the roster.",
)
@click.option("--region", required=True, help="Region that this instance is in.")
@click.option("--zone", required=True, help="Availability zone of this instance.")
@click.option("--http-host", default="127.0.0.1", help="IP for clients and operators.")
@click.option("--http-port", default=8080, help="Port for clients; 0 chooses one.")
@click.option("--peer-host", default="127.0.0.1", help="IP for other instances.")
@click.option("--peer-port", default=8081, help="Port for instances; 0 chooses one.")
@click.option("--table-address", required=True, help="IP:PORT of the table service.")
@click.option("--objects-address", required=True, help="IP:PORT of the object store.")
@click.option(
    "--instances-address", required=True, help="IP:PORT of the instance list."
)
@click.option(
    "--account-time-zone",
    required=True,
    help="Time zone in which an account's month begins and ends.",
)
@click.option(
    "--log-level",
    default="info",
    help=f"Lowest level of the JSON log lines: {', '.join(LOG_LEVELS)}.",
)
@click.option(
    "--link-ms",
    default=6.0,
    help="Round-trip time between two zones in milliseconds; weighed against queue "
    "waiting times.",
)
@click.option(
    "--drain-grace-seconds",
    default=2.0,
    help="How long new requests are still accepted after readiness has ended.",
)
@click.option(
    "--drain-timeout-seconds",
    default=30.0,
    help="How long a planned stop waits for requests in flight.",
)
@click.version_option(__version__)
def main(**values: Any) -> None:
    r"""Run one entry instance of egretloft.

    Every option can also be set by an environment variable: EGRETLOFT_ and the
    option's name in upper case, for example EGRETLOFT_TABLE_ADDRESS.

    SIGTERM and SIGINT begin a planned stop: readiness ends, requests in flight are
    finished, partitions are handed over, and the exit code is 0. The same happens when
    a newer process registers with this instance id.

    \b
    Exit codes: 0 planned stop; 2 a setting was refused; 3 an address could not be
    bound; 4 requests were still in flight when the planned stop timed out.
    """
    checked = check_settings(Settings(**values))
    if isinstance(checked, Failure):
        for error in checked.failure():
            click.echo(f"egretloftd: {error}", err=True)
        sys.exit(EXIT_USAGE)
    settings = checked.unwrap()
    configure_logging(settings.log_level, settings.instance_id)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(run_daemon(settings)))


if __name__ == "__main__":
    main()
