"""Entry point of ``egretloft-platformd``, an instance on the users' platform."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path

import click
import uvloop
from returns.result import Failure

from egretloft import __version__
from egretloft._internal.log_writer import configure_program_logging
from egretloft._internal.settings import LOG_LEVELS
from egretloft.platform.program import run_program
from egretloft.platform.settings import (
    DEFAULT_SETTINGS_PATH,
    SETTINGS_VARIABLE,
    read_settings,
)

EXIT_USAGE = 2


@click.command(context_settings={"show_default": True, "max_content_width": 88})
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_VARIABLE,
    default=DEFAULT_SETTINGS_PATH,
    type=click.Path(path_type=Path),
    help="Settings file that the platform writes.",
)
@click.option(
    "--log-level",
    envvar="EGRETLOFT_LOG_LEVEL",
    default="info",
    type=click.Choice(LOG_LEVELS),
    help="Lowest level of the JSON lines on standard output.",
)
@click.option(
    "--metrics-port",
    envvar="EGRETLOFT_METRICS_PORT",
    default=9464,
    type=click.IntRange(0, 65535),
    help="Port of /metrics on this machine's address; 0 chooses one.",
)
@click.version_option(__version__)
def main(path: Path, log_level: str, metrics_port: int) -> None:
    """Run one instance on the users' platform.

    SIGTERM or SIGINT begins a planned stop. SIGHUP checks the settings file again;
    changed settings take effect at the next start.

    Exit codes: 0 planned stop, also with requests still in flight; 2 the settings were
    refused.
    """
    checked = read_settings(path)
    if isinstance(checked, Failure):
        click.echo(f"egretloft-platformd: {checked.failure()}", err=True)
        sys.exit(EXIT_USAGE)
    settings = checked.unwrap()
    level = logging.getLevelNamesMapping()[log_level.upper()]
    logs = configure_program_logging(level, settings.instance_id)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(run_program(path, settings, metrics_port, logs)))


if __name__ == "__main__":
    main()
