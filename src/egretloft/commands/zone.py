"""``egretctl zone``: take availability zones out of service and bring them back."""

from __future__ import annotations

import click

from egretloft.commands.base import Context, pass_context

COLUMNS = ("zone", "in_service")


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
    """Take a zone out: nothing starts there from 4 s after the answer on."""
    change_zone(context, name, "take-out")


@zone.command("bring-back")
@click.argument("name")
@pass_context
def bring_back(context: Context, name: str) -> None:
    """Bring a zone back into service."""
    change_zone(context, name, "bring-back")


def change_zone(context: Context, name: str, action: str) -> None:
    """Send the change and print the new configuration version."""
    answer = context.call("POST", f"/v1/zones/{name}/{action}", {})
    context.show(
        answer,
        [{"zone": name, "change": action, **answer}],
        ("zone", "change", "version"),
    )
