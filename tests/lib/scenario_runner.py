"""Runs a scenario file against processes of this checkout."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import xxhash

from lib import scenario_expectations  # noqa: F401  Registers the expectations.
from lib.scenario_parser import parse_scenario
from lib.scenario_steps import STEPS
from lib.scenario_world import World

DEFAULT_LIMIT_SECONDS = 90.0
SEED_VARIABLE = "EGRETLOFT_SCENARIO_SEED"


def choose_seed(path: Path, declared: int | None) -> int:
    """Return the seed of the environment, of the file, or one from the file's name.

    Without a given seed, all runs of a file use the same one, so that CI runs are
    repeatable.
    """
    if SEED_VARIABLE in os.environ:
        return int(os.environ[SEED_VARIABLE])
    if declared is not None:
        return declared
    return int(xxhash.xxh32_intdigest(path.name.encode()))


async def run_scenario(
    path: Path,
    directory: Path,
    at_end: Callable[[World], Awaitable[None]] | None = None,
) -> None:
    """Carry out the steps; raise if one fails or the time limit is exceeded.

    The seed and, after a failure, the last log lines are printed. ``at_end`` is called
    while the processes still run.
    """
    scenario = parse_scenario(path.read_text())
    seed = choose_seed(path, scenario.seed)
    print(f"{path.name}: {SEED_VARIABLE}={seed}, output in {directory}")
    limit = scenario.limit_seconds or DEFAULT_LIMIT_SECONDS
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        world = World(directory, session, random.Random(seed))
        try:
            async with asyncio.timeout(limit):
                for step in scenario.steps:
                    print(f"line {step.line}: {step.name}")
                    await STEPS[step.name](world, step)
                    world.check_background()
            if at_end is not None:
                await at_end(world)
        except BaseException:
            if world.platform is not None:
                print(world.platform.last_log_lines())
            raise
        finally:
            await world.close()
