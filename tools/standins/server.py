"""Runs a stand-in process: starts and registers its targets, prints their ports."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Sequence
from dataclasses import replace

import aiohttp
import msgspec
import uvloop

from egretloft._internal.models.topology import InstanceRecord
from standins.target import ControlTarget, Target

# The instance list may start at the same time as the targets that register with it.
REGISTRATION_ATTEMPTS = 50
REGISTRATION_DELAY_SECONDS = 0.1


async def register(address: str, records: Sequence[InstanceRecord]) -> None:
    """Put the records into the instance list; raise if it stays unreachable."""
    body = msgspec.json.encode(list(records))
    async with aiohttp.ClientSession() as session:
        for attempt in range(REGISTRATION_ATTEMPTS):
            try:
                async with session.post(
                    f"http://{address}/instances", data=body
                ) as answer:
                    answer.raise_for_status()
                    return
            except aiohttp.ClientConnectionError:
                if attempt + 1 == REGISTRATION_ATTEMPTS:
                    raise
                await asyncio.sleep(REGISTRATION_DELAY_SECONDS)


def print_ready(targets: Sequence[Target], control: Target) -> None:
    """Print one JSON line with the ports and ids of the targets."""
    line = {
        "port": targets[0].port,
        "ports": [target.port for target in targets],
        "control": control.address,
        "targets": {target.target_id: target.address for target in targets},
    }
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


async def serve(
    targets: Sequence[Target],
    instances_address: str = "",
    records: Sequence[InstanceRecord] = (),
) -> None:
    """Serve the targets until SIGTERM or SIGINT.

    ``records`` are in the order of ``targets``; the addresses are filled in.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    siblings = {target.target_id: target for target in targets}
    for target in targets:
        target.siblings = siblings
        await target.start()
    control = ControlTarget("control", targets[0].host, 0)
    control.siblings = siblings
    await control.start()
    if instances_address:
        await register(
            instances_address,
            [
                replace(record, address=target.address)
                for record, target in zip(records, targets, strict=True)
            ],
        )
    print_ready(targets, control)
    await stopped.wait()
    await asyncio.gather(*(target.stop() for target in [*targets, control]))


def run(
    targets: Sequence[Target],
    instances_address: str = "",
    records: Sequence[InstanceRecord] = (),
) -> None:
    """Run ``serve`` in a new event loop."""
    uvloop.run(serve(targets, instances_address, records))
