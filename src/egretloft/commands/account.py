"""``egretctl account``: the monthly account of what ran, where and for whom."""

from __future__ import annotations

import click

from egretloft.commands.base import Context, pass_context, show_json


class MonthType(click.ParamType[str]):
    """A month as ``YYYY-MM``."""

    name = "YYYY-MM"

    def convert(
        self, value: str, param: click.Parameter | None, context: click.Context | None
    ) -> str:
        """Return the month unchanged if it is well-formed."""
        year, separator, month = value.partition("-")
        if not (
            separator
            and len(year) == 4
            and year.isdecimal()
            and len(month) == 2
            and month.isdecimal()
            and 1 <= int(month) <= 12
        ):
            self.fail(f"{value!r} is not allowed; allowed: YYYY-MM", param, context)
        return value


@click.command()
@click.argument("month", type=MonthType())
@click.option(
    "--close", is_flag=True, help="Close the month; a closed month cannot change."
)
@pass_context
def account(context: Context, month: str, close: bool) -> None:
    """Print the account of MONTH."""
    if close:
        answer = context.call("POST", f"/v1/accounts/{month}/close", {})
        if context.output == "json":
            show_json(answer)
            return
    text = context.call("GET", f"/v1/accounts/{month}")
    if context.output == "json":
        show_json({"month": month, "text": text})
        return
    click.echo(text, nl=False)
