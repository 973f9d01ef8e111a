"""Command line of the fault soak."""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import click

from soak.run import Soak


@click.command()
@click.option(
    "--seed", type=int, default=None, help="First seed; default: a fresh one."
)
@click.option("--seeds", type=int, default=1, help="Number of seeds in a row.")
@click.option("--seconds", type=float, default=15.0, help="Length of the faults.")
@click.option("--instances", type=int, default=3, help="Number of processes.")
@click.option("--targets", type=int, default=8, help="Number of targets.")
@click.option("--logs", type=click.Path(path_type=Path), default=None)
def main(
    seed: int | None,
    seeds: int,
    seconds: float,
    instances: int,
    targets: int,
    logs: Path | None,
) -> None:
    """Play seeded faults against the real programs and check the promises."""
    first = random.SystemRandom().randrange(1, 1_000_000) if seed is None else seed
    failed = 0
    for number in range(first, first + seeds):
        directory = logs or Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        directory.mkdir(parents=True, exist_ok=True)
        soak = Soak(number, seconds, directory, instances, targets)
        report = asyncio.run(soak.run())
        click.echo(report.line())
        for violation in report.violations[:10]:
            click.echo(f"  {violation}")
        if report.violations:
            failed += 1
            click.echo(f"  logs: {directory}; faults: {report.faults}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
