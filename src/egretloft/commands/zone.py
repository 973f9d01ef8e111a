"""``egretctl zone``: take availability zones out of service and bring them back."""

from __future__ import annotations

import click
from returns.result import Failure

from egretloft.commands.base import Context, pass_context, unwrap

COLUMNS = ("zone", "in_service")
MAX_CONFLICT_ATTEMPTS = 5


@click.group()
def zone() -> None:
    """Take zones out of service, bring them back and list them."""


@zone.command("list")
@pass_context
def list_zones(context: Context) -> None:
    """List all zones."""
    answer = context.call("GET", "/v1/zones")
    context.show(answer, answer["zones"], COLUMNS)


@zone.command("take-out")
@click.argument("name")
@pass_context
def take_out(context: Context, name: str) -> None:
    """Take a zone out of service; nothing starts there from 4 s after the answer."""
    change_zone(context, name, "take-out")


@zone.command("bring-back")
@click.argument("name")
@pass_context
def bring_back(context: Context, name: str) -> None:
    """Bring a zone back into service."""
    change_zone(context, name, "bring-back")


def change_zone(context: Context, name: str, action: str) -> None:
    """Send the change and print the new configuration version.

    After a conflict with another configuration change, the call is retried, because a
    zone may have to be taken out while profiles change often. A conflict with another
    change of the same zone is reported to the operator.
    """
    version, before = read_zone(context, name)
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        result = context.client.call(
            "POST", f"/v1/zones/{name}/{action}", {"expected_version": version}
        )
        if not isinstance(result, Failure) or result.failure().reason != "conflict":
            break
        version, now = read_zone(context, name)
        if now != before:
            break
    answer = unwrap(result)
    rows = [{"zone": name, "change": action, **answer}]
    context.show(answer, rows, ("zone", "change", "version"))


def read_zone(context: Context, name: str) -> tuple[int, bool | None]:
    """Return the configuration version and whether the zone is in service."""
    answer = context.call("GET", "/v1/zones")
    states = {row["zone"]: row["in_service"] for row in answer["zones"]}
    return answer["version"], states.get(name)
