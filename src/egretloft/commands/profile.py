"""``egretctl profile``: guarantees, zones and limits of organisations."""

from __future__ import annotations

from typing import Any

import click

from egretloft.commands.base import Context, pass_context

COLUMNS = ("name", "organisation", "region", "zones", "guarantees", "services")
ADJACENCIES = ("worker", "rack", "zone")


class GuaranteeType(click.ParamType[dict[str, Any]]):
    """``COUNTxACCELERATORS@ADJACENCY``, for example ``2x16@rack``."""

    name = "COUNTxACCELERATORS@ADJACENCY"

    def convert(
        self, value: Any, param: click.Parameter | None, context: click.Context | None
    ) -> dict[str, Any]:
        """Return the guarantee as it is sent in a request's body."""
        if isinstance(value, dict):
            return value
        size, _, adjacency = str(value).partition("@")
        count, _, accelerators = size.partition("x")
        if not (
            count.isdecimal() and accelerators.isdecimal() and adjacency in ADJACENCIES
        ):
            self.fail(
                f"{value!r} is not allowed; allowed: COUNTxACCELERATORS@ADJACENCY "
                f"with adjacency {', '.join(ADJACENCIES)}, for example 2x16@rack",
                param,
                context,
            )
        return {
            "count": int(count),
            "accelerators": int(accelerators),
            "adjacency": adjacency,
        }


@click.group()
def profile() -> None:
    """Add, change, retire, list and show profiles."""


@profile.command("list")
@pass_context
def list_profiles(context: Context) -> None:
    """List all profiles."""
    answer = context.call("GET", "/v1/profiles")
    context.show(answer, answer["profiles"], COLUMNS)


@profile.command("show")
@click.argument("name")
@pass_context
def show_profile(context: Context, name: str) -> None:
    """Show one profile with its limits."""
    answer = context.call("GET", f"/v1/profiles/{name}")
    context.show(answer, [answer["profile"]], (*COLUMNS, "limits"))


def profile_options(function: Any) -> Any:
    """Add the options of the commands that add or change a profile."""
    options = [
        click.argument("name"),
        click.option(
            "--organisation", help="Organisation that the profile belongs to."
        ),
        click.option("--region", help="Region of the zones."),
        click.option("--zone", "zones", multiple=True, help="Zone; repeatable."),
        click.option(
            "--guarantee",
            "guarantees",
            type=GuaranteeType(),
            multiple=True,
            help="Guaranteed shape, for example 2x16@rack; repeatable.",
        ),
        click.option("--service", "services", multiple=True, help="Repeatable."),
        click.option("--max-accelerators", type=click.IntRange(0)),
        click.option("--max-queued-jobs", type=click.IntRange(0)),
        click.option("--max-requests-in-flight", type=click.IntRange(1)),
        click.option(
            "--expected-version",
            type=click.IntRange(0),
            help="Configuration version that the change is based on; default: the "
            "current one.",
        ),
    ]
    for option in reversed(options):
        function = option(function)
    return function


@profile.command("add")
@profile_options
@pass_context
def add_profile(context: Context, /, name: str, **values: Any) -> None:
    """Add a profile; refused if it exists or makes the guarantees infeasible."""
    current = context.call("GET", "/v1/profiles")
    if any(row["name"] == name for row in current["profiles"]):
        raise click.UsageError(f"profile {name!r} exists; use 'profile change'")
    missing = [
        "--" + field for field in ("organisation", "region") if not values[field]
    ]
    if not values["zones"]:
        missing.append("--zone")
    if missing:
        raise click.UsageError("missing " + ", ".join(missing))
    put_profile(context, name, {}, current["version"], values)


@profile.command("change")
@profile_options
@pass_context
def change_profile(context: Context, /, name: str, **values: Any) -> None:
    """Change the given fields of a profile and keep the others."""
    current = context.call("GET", f"/v1/profiles/{name}")
    put_profile(context, name, current["profile"], current["version"], values)


def put_profile(
    context: Context,
    name: str,
    body: dict[str, Any],
    version: int,
    values: dict[str, Any],
) -> None:
    """Send the profile in ``body``, with the given values replaced."""
    expected = values.pop("expected_version")
    limits = dict(body.get("limits", {}))
    for field in ("max_accelerators", "max_queued_jobs", "max_requests_in_flight"):
        value = values.pop(field)
        if value is not None:
            limits[field] = value
    body = {key: value for key, value in body.items() if key != "name"}
    body.update({key: value for key, value in values.items() if value})
    body["limits"] = limits
    body["expected_version"] = version if expected is None else expected
    answer = context.call("PUT", f"/v1/profiles/{name}", body)
    context.show(answer, [{"profile": name, **answer}], ("profile", "version"))


@profile.command("retire")
@click.argument("name")
@click.option("--expected-version", type=click.IntRange(0))
@pass_context
def retire_profile(context: Context, name: str, expected_version: int | None) -> None:
    """Retire a profile; new work is refused, running work continues to its end."""
    if expected_version is None:
        expected_version = context.call("GET", f"/v1/profiles/{name}")["version"]
    answer = context.call(
        "DELETE",
        f"/v1/profiles/{name}",
        params={"expected_version": str(expected_version)},
    )
    context.show(answer, [{"profile": name, **answer}], ("profile", "version"))
