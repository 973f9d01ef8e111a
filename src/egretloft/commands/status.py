"""``egretctl status``: instances, partitions and targets, as known to one instance."""

from __future__ import annotations

import click

from egretloft.commands.base import Context, pass_context, show_json

SECTIONS = (
    ("instances", ("instance", "zone", "address", "alive")),
    ("partitions", ("partition", "owner", "epoch")),
    ("targets", ("zone", "kind", "live", "leaving")),
    ("guarantees", ("profile", "accelerators_missing")),
)


@click.command()
@pass_context
def status(context: Context) -> None:
    """Show instances, partition owners, targets and degraded guarantees."""
    answer = context.call("GET", "/v1/status")
    if context.output == "json":
        show_json(answer)
        return
    click.echo(
        f"instance {answer['instance']} {answer['state']}, configuration version "
        f"{answer['configuration_version']}, view "
        f"{'fresh' if answer['view_fresh'] else 'stale'}, store "
        f"{'reachable' if answer['store_reachable'] else 'unreachable'}"
    )
    for name, columns in SECTIONS:
        rows = answer.get(name, [])
        if rows:
            click.echo(f"\n{name}")
            context.show(answer, rows, columns)
