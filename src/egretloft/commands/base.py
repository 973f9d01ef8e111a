"""Calls, output, errors and exit codes of the ``egretctl`` commands."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NoReturn

import click
import msgspec
from returns.result import Failure, Result
from rich.console import Console
from rich.table import Table

from egretloft._internal.client import Client, ClientFailure

# Width of tables that are not shown in a terminal.
PIPE_COLUMNS = 120


class ExitCode(IntEnum):
    """Exit codes of ``egretctl``."""

    DONE = 0
    NOT_RUN = 1
    USAGE = 2
    UNKNOWN = 3
    UNREACHABLE = 4
    WAIT_TIMED_OUT = 5
    JOB_FAILED = 6


EXIT_CODES = {
    "not_run": ExitCode.NOT_RUN,
    "unknown": ExitCode.UNKNOWN,
    "unreachable": ExitCode.UNREACHABLE,
}


@dataclass(slots=True, frozen=True)
class Context:
    """The client and the chosen output of one invocation."""

    client: Client
    output: str

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        params: dict[str, str] | None = None,
    ) -> Any:
        """Return the answer; on a failure, print it and exit."""
        return unwrap(self.client.call(method, path, body, params))

    def show(
        self, answer: object, rows: Sequence[dict[str, Any]], columns: Sequence[str]
    ) -> None:
        """Print the answer as JSON, or its rows as a table."""
        if self.output == "json":
            show_json(answer)
            return
        table = Table()
        for column in columns:
            # Long ids are wrapped, not cut off, so that they can be copied.
            table.add_column(column.replace("_", " "), overflow="fold")
        for row in rows:
            table.add_row(*(format_cell(row.get(column)) for column in columns))
        console = Console()
        if not console.is_terminal:
            console.width = PIPE_COLUMNS
        console.print(table)


pass_context = click.make_pass_decorator(Context)


def unwrap(result: Result[Any, ClientFailure]) -> Any:
    """Return the value of the result; on a failure, print it and exit."""
    if isinstance(result, Failure):
        fail(result.failure())
    return result.unwrap()


def fail(failure: ClientFailure) -> NoReturn:
    """Print the failure and its hint, and exit with the code for its outcome."""
    click.echo(
        f"egretctl: {failure.outcome} ({failure.reason}): {failure.message}", err=True
    )
    if failure.hint:
        click.echo(f"hint: {failure.hint}", err=True)
    sys.exit(EXIT_CODES.get(failure.outcome, ExitCode.UNKNOWN))


def show_json(answer: object) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())


def format_cell(value: object) -> str:
    """Return a table cell for a JSON value."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(format_cell(item) for item in value)
    if isinstance(value, dict):
        return " ".join(f"{key}={format_cell(item)}" for key, item in value.items())
    return str(value)
