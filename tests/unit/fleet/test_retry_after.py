"""Callers during an outage of the store: most of them come back in time.

The load: patient callers arrive all the time and retry up to four times, at the time
that each refusal names or a little earlier.
"""

from __future__ import annotations

import asyncio
import random

import pytest
from returns.result import Failure
from structlog.testing import capture_logs

from egretloft._internal.fleet.retry_after import retry_after_seconds
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode

CALLERS = 2_000
RETRIES = 4


def play_outage(seconds: float) -> tuple[float, float]:
    """Return the share of callers that are served, and their mean wait after the end.

    All callers first call during the outage.
    """
    generator = random.Random(7)
    waits: list[float] = []
    for _ in range(CALLERS):
        at = generator.uniform(0.0, seconds)
        for _ in range(RETRIES):
            if at < seconds:
                at += retry_after_seconds(at) * generator.uniform(0.7, 1.0)
        if at >= seconds:
            waits.append(at - seconds)
    return len(waits) / CALLERS, sum(waits) / len(waits)


@pytest.mark.parametrize(
    ("seconds", "served"), [(1.0, 1.0), (4.5, 1.0), (6.0, 0.99), (10.0, 0.8)]
)
def test_callers_outlast_an_outage(seconds: float, served: float) -> None:
    share, wait = play_outage(seconds)
    assert share >= served
    assert wait < 2.5


def test_single_refusal_of_a_working_store_asks_for_a_short_wait() -> None:
    assert retry_after_seconds(None) == 1


@pytest.mark.parametrize("outage", [0.0, 3.0, 20.0])
@pytest.mark.parametrize("patience", [0.5, 3.0, 5.0, 8.0])
def test_callers_are_told_a_time_before_their_deadline(
    outage: float, patience: float
) -> None:
    seconds = retry_after_seconds(outage, patience)
    assert seconds == 1 or seconds < patience / 2


def test_refusals_of_an_outage_name_a_longer_time_as_it_goes_on() -> None:
    async def refused_after(seconds: float) -> int | None:
        world = build_world()
        await world.start()
        world.store.mode = StoreMode.REFUSES
        await asyncio.sleep(seconds)
        intake = next(iter(world.processes.values())).instance.intake
        result = await intake.submit(
            world.caller("normal"),
            job_id(1),
            single_step(),
            world.clock.boottime() + 30,
        )
        assert isinstance(result, Failure)
        await world.stop()
        return result.failure().retry_after_seconds

    assert run_virtual(refused_after(1.5)) == 2
    assert run_virtual(refused_after(10.5)) == 5


def test_log_of_a_refusal_says_what_the_caller_was_told() -> None:
    async def main() -> None:
        world = build_world()
        await world.start()
        world.store.mode = StoreMode.REFUSES
        await asyncio.sleep(2.0)
        with capture_logs() as logs:
            result = await world.submit(job_id(1), single_step(), 1.0)
        await world.stop()
        refusal = result.failure()
        entry = next(entry for entry in logs if entry["event"] == "job refused")
        assert entry["retry_after"] == refusal.retry_after_seconds
        assert 1.0 < entry["outage"] < 2.5

    run_virtual(main())
