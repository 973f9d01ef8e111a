"""``python -m demo.platform``: runs ``egretloft-platformd`` through kills and stops."""

from __future__ import annotations

import asyncio
import itertools
import sys
import tempfile
from pathlib import Path

import click

from soak.run import Soak

SEED = 7
SECONDS = 8.0
INSTANCES = 3
TARGETS = 8


class Demonstration(Soak):
    """A soak that alternates between two faults: a kill and a graceful stop."""

    def schedule_faults(self) -> None:
        """Set the faults that are injected in turn."""
        self.fault_cycle = itertools.cycle((self.kill, self.terminate))

    async def inject(self) -> None:
        """Inject the next fault."""
        self.report.faults.append(await next(self.fault_cycle)())


async def demonstrate() -> bool:
    """Run the demonstration; return whether it had no violations."""
    with tempfile.TemporaryDirectory(prefix="egretloft-demo-") as directory:
        demonstration = Demonstration(
            SEED, SECONDS, Path(directory), INSTANCES, TARGETS
        )
        demonstration.schedule_faults()
        report = await demonstration.run()
    click.echo("users' platform: " + report.line())
    click.echo("faults: " + ", ".join(report.faults))
    for violation in report.violations:
        click.echo(f"broken: {violation}")
    return not report.violations and report.accepted > 0


def main() -> None:
    """Run the demonstration; the exit code is 0 if it passed."""
    sys.exit(0 if asyncio.run(demonstrate()) else 1)


if __name__ == "__main__":
    main()
