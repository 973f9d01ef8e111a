"""``egretctl metrics``: counters, gauges and histograms of one instance."""

from __future__ import annotations

import click

from egretloft.commands.base import Context, pass_context, show_json


@click.command()
@click.option(
    "--match", default="", help="Show only metrics whose name contains this text."
)
@pass_context
def metrics(context: Context, match: str) -> None:
    """Show counters, gauges and histograms."""
    answer = context.call("GET", "/v1/metrics")
    matching = {
        kind: [row for row in rows if match in row["name"]]
        for kind, rows in answer.items()
    }
    if context.output == "json":
        show_json(matching)
        return
    values = [*matching["counters"], *matching["gauges"]]
    context.show(matching, values, ("name", "labels", "value"))
    if matching["histograms"]:
        columns = ("name", "labels", "count", "mean", "p50", "p99", "max")
        context.show(matching, matching["histograms"], columns)
