"""Entry point of ``egretctl``."""

from __future__ import annotations

import click

from egretloft import __version__
from egretloft._internal.client import create_client
from egretloft._internal.settings import check_address
from egretloft.commands.account import account
from egretloft.commands.base import Context
from egretloft.commands.completion import completion
from egretloft.commands.job import job
from egretloft.commands.metrics import metrics
from egretloft.commands.profile import profile
from egretloft.commands.request import request
from egretloft.commands.status import status
from egretloft.commands.zone import zone

COMMANDS = (account, completion, job, metrics, profile, request, status, zone)


@click.group(
    context_settings={
        "auto_envvar_prefix": "EGRETCTL",
        "show_default": True,
        "max_content_width": 88,
    }
)
@click.option(
    "--server",
    "servers",
    multiple=True,
    envvar="EGRETCTL_SERVER",
    default=("127.0.0.1:8080",),
    help="IP:PORT of an entry instance; repeatable, servers are tried in order.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    help="Tables for reading or JSON for scripts.",
)
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 600),
    default=15.0,
    help="Seconds to wait for an answer.",
)
@click.version_option(__version__)
@click.pass_context
def main(
    context: click.Context, servers: tuple[str, ...], output: str, timeout: float
) -> None:
    r"""Operate egretloft: profiles, zones, jobs and accounts.

    \b
    Exit codes:
      0  done
      1  refused, certainly not run
      2  wrong usage
      3  outcome unknown: ask for the state before repeating
      4  no entry instance could be reached
      5  a wait timed out
      6  the job did not complete
    """
    for server in servers:
        allowed = check_address(server)
        if allowed is not None:
            raise click.BadParameter(
                f"{server!r} is not allowed; allowed: {allowed}", param_hint="--server"
            )
    context.obj = Context(create_client(servers, timeout), output)


for command in COMMANDS:
    main.add_command(command)


if __name__ == "__main__":
    main()
