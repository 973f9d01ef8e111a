"""At no time may two instances both send orders or renew leases.

Pairs of faults are played in every order, with every overlap: the store is lost for
some or for all, a zone or a link is cut, an instance restarts or stands still.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator

import pytest

from lib.leader_scene import FAULTS, SETTLE_SECONDS, Fault, Scene
from lib.virtual_time import run_virtual

# The second fault begins while the store's loss goes unnoticed, while peers notice it,
# while the leader goes on without it, or after the first fault.
OFFSETS = (0.3, 1.2, 2.2, 4.5)
SHORT_SECONDS = 1.6
LONG_SECONDS = 4.0


async def play(first: Fault, second: Fault, offset: float, seconds: float) -> list[str]:
    """Play two faults; return the moments at which two instances could act."""
    scene = Scene()
    await scene.world.start()
    scene.first_leader = scene.world.leader_name() or ""
    watch = asyncio.create_task(scene.watch())

    async def play_second() -> None:
        await asyncio.sleep(offset)
        await second(scene, seconds)

    await asyncio.gather(first(scene, LONG_SECONDS), play_second())
    await asyncio.sleep(SETTLE_SECONDS)
    assert len(scene.acting()) == 1, "nobody leads"
    watch.cancel()
    await scene.world.stop()
    return scene.both_act


def pairs() -> Iterator[tuple[Fault, float]]:
    yield from itertools.product(FAULTS, OFFSETS)


@pytest.mark.parametrize("first", FAULTS, ids=lambda fault: fault.__name__)
def test_two_faults_never_let_two_instances_act(first: Fault) -> None:
    """Guards against a former leader that takes silence for the lack of a new one."""
    broken: list[str] = []
    for second, offset in pairs():
        for seconds in (SHORT_SECONDS, LONG_SECONDS):
            both_act = run_virtual(play(first, second, offset, seconds))
            if both_act:
                what = f"{second.__name__} {offset} for {seconds}"
                broken.append(f"{what}: {both_act[0]} to {both_act[-1]}")
    assert broken == []
