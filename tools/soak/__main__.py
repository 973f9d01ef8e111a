"""``python -m soak``: command line of the soak test."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import click

from soak.cuts import CutSoak
from soak.lapses import LapseSoak
from soak.returns import LateReturnSoak, ReturnSoak
from soak.run import Soak


@click.command()
@click.option(
    "--seed", type=int, default=None, help="First seed; by default a random one."
)
@click.option("--seeds", type=int, default=1, help="Number of consecutive seeds.")
@click.option(
    "--seconds", type=float, default=15.0, help="Duration of the load and the faults."
)
@click.option("--instances", type=int, default=3, help="Number of instances.")
@click.option("--targets", type=int, default=8, help="Number of targets.")
@click.option(
    "--cuts",
    is_flag=True,
    help="Three zones with links between all processes, and cuts among the faults.",
)
@click.option(
    "--lapses",
    is_flag=True,
    help="Like --cuts, with runs of chosen tasks that lapse again and again.",
)
@click.option(
    "--returns",
    is_flag=True,
    help="Like --cuts, with targets that return under their ids and are cut off.",
)
@click.option("--late", is_flag=True, help="With --returns: some orders are late.")
@click.option("--logs", type=click.Path(path_type=Path), default=None)
def main(
    seed: int | None,
    seeds: int,
    seconds: float,
    instances: int,
    targets: int,
    cuts: bool,
    lapses: bool,
    returns: bool,
    late: bool,
    logs: Path | None,
) -> None:
    """Run seeded soak tests of the real programs and report the violations."""
    first = random.SystemRandom().randrange(1, 1_000_000) if seed is None else seed
    failed = 0
    for number in range(first, first + seeds):
        directory = (
            logs / str(number)
            if logs
            else Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        )
        directory.mkdir(parents=True, exist_ok=True)
        kind = chosen_kind(cuts, lapses, returns, late)
        soak = kind(number, seconds, directory, instances, targets)
        report = asyncio.run(soak.run())
        click.echo(report.line())
        for violation in report.violations[:10]:
            click.echo(f"  {violation}")
        if report.violations:
            failed += 1
            click.echo(f"  logs: {directory}; faults:")
            for fault in report.faults:
                click.echo(f"    {fault}")
    sys.exit(1 if failed else 0)


def chosen_kind(cuts: bool, lapses: bool, returns: bool, late: bool) -> type[Soak]:
    """Return the soak that the options ask for."""
    if returns:
        return LateReturnSoak if late else ReturnSoak
    if lapses:
        return LapseSoak
    return CutSoak if cuts else Soak


if __name__ == "__main__":
    main()
