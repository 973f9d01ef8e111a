"""Emulated targets that are paused, and entries that expire."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import aiohttp
import pytest

from egretloft._internal.fleet.interfaces import RowKey
from egretloft._internal.fleet.models import Resources
from standins.fleet.checker import Checker
from standins.fleet.http import HttpPlatform
from standins.fleet.store import EmulatedStore, StoreMode
from standins.fleet.targets import EmulatedTarget

NAME = "i-1"
PERIOD_SECONDS = 0.02
WAIT_SECONDS = 5.0


@pytest.fixture
async def platform() -> AsyncIterator[HttpPlatform]:
    room = Resources(1000, 1000, 8)
    target = EmulatedTarget(NAME, "desk", "zone", "r-1", room, Checker(), {}, {}, 5e6)
    generator = random.Random(1)
    served = HttpPlatform(EmulatedStore(generator), {NAME: target}, generator)
    served.registration_period_seconds = PERIOD_SECONDS
    await served.start()
    yield served
    await served.stop()


def is_listed(platform: HttpPlatform) -> bool:
    """Return whether the target has an entry in the store."""
    return platform.store.get(RowKey("servers", "", NAME)).value is not None


async def wait_until_listed(platform: HttpPlatform, listed: bool) -> None:
    """Wait until the target has an entry, or has none."""
    async with asyncio.timeout(WAIT_SECONDS):
        while is_listed(platform) != listed:
            await asyncio.sleep(PERIOD_SECONDS)


async def test_call_to_a_paused_target_is_handled_when_it_goes_on(
    platform: HttpPlatform,
) -> None:
    target = platform.targets[NAME]
    url = f"http://{platform.target_addresses[NAME]}/run-renew"
    body = {"fencing_token": 7, "last_seen": 0, "expires_at_ms": 0, "wait_ms": 0}
    async with aiohttp.ClientSession() as session:
        target.pause()
        call = asyncio.create_task(session.post(url, json=body))
        await asyncio.sleep(0.1)
        assert not call.done()
        assert target.fence == 0
        target.resumed.set()
        assert (await asyncio.wait_for(call, WAIT_SECONDS)).status == 200
        assert target.fence == 7


async def test_entry_of_a_paused_target_expires_and_comes_back(
    platform: HttpPlatform,
) -> None:
    platform.removes_silent_targets = True
    target = platform.targets[NAME]
    await wait_until_listed(platform, True)
    target.pause()
    await wait_until_listed(platform, False)
    target.resumed.set()
    await wait_until_listed(platform, True)
    assert target.report().incarnation_ms == 1


@pytest.mark.parametrize("expires", [False, True])
async def test_chosen_entries_expire_while_the_store_is_down(
    platform: HttpPlatform, expires: bool
) -> None:
    platform.removed_in_outages = {NAME} if expires else set()
    await wait_until_listed(platform, True)
    platform.store.mode = StoreMode.REFUSES
    await asyncio.sleep(10 * PERIOD_SECONDS)
    assert is_listed(platform) != expires
    platform.store.mode = StoreMode.WORKS
    await wait_until_listed(platform, True)
