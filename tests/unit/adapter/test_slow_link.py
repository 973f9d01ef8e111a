"""Configurations that take seconds to arrive over the link of a small instance."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from egretloft._internal.fleet.operators import OperatorView, create_operator_view
from egretloft._internal.fleet.watching import TableWatcher, create_table_watcher
from egretloft._internal.metrics import create_metrics
from egretloft._internal.platform.system_clock import create_system_clock
from egretloft.platform.decoding import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    create_platform_row_decoder,
)
from egretloft.platform.rows import create_platform_row_store
from lib.wire_builders import wire_configuration
from standins.fleet.http import HttpPlatform
from standins.fleet.store import EmulatedStore

# 5 Mbit/s, the smallest link of the deployments.
LINK_BYTES_PER_SECOND = 625_000.0
# 4,200 routes are about 1.2 MB on the wire, which takes 1.9 s.
LARGE_ROUTES = 4_200
# The time within which a configuration has to be in force.
IN_FORCE_SECONDS = 4.0


class Follower:
    """Follows the operators' table as an instance does."""

    def __init__(self, platform: HttpPlatform) -> None:
        self.platform = platform
        self.operators: OperatorView = create_operator_view(
            create_platform_row_decoder(), create_metrics()
        )
        self.watcher: TableWatcher = create_table_watcher(
            create_platform_row_store(platform.store_address),
            create_system_clock(),
            OPERATOR_TABLE,
            ("",),
            self.operators.on_snapshot,
            self.operators.on_rows,
        )
        self.task = asyncio.create_task(self.watcher.run())

    def put(self, version: int, routes: int) -> None:
        value = wire_configuration(version, routes)
        self.platform.store.put(OPERATOR_TABLE, CONFIG_KEY, value)

    def version(self) -> int:
        current = self.operators.current().configuration
        return current.version if current is not None else 0

    async def wait_for(self, version: int, seconds: float) -> None:
        """Wait until a version is in force; fail after some seconds."""
        async with asyncio.timeout(seconds):
            while self.version() < version:
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
async def platform() -> AsyncIterator[HttpPlatform]:
    generator = random.Random(1)
    served = HttpPlatform(EmulatedStore(generator), {}, generator)
    await served.start()
    yield served
    await served.stop()


@pytest.fixture
async def follower(platform: HttpPlatform) -> AsyncIterator[Follower]:
    value = wire_configuration(1, 10)
    platform.store.put(OPERATOR_TABLE, CONFIG_KEY, value)
    following = Follower(platform)
    await following.wait_for(1, IN_FORCE_SECONDS)
    platform.limit_link(LINK_BYTES_PER_SECOND)
    yield following
    await following.stop()


async def test_large_configuration_arrives_over_a_slow_link(
    follower: Follower,
) -> None:
    """Guards against calls that are given up while their answer is arriving."""
    follower.put(2, LARGE_ROUTES)
    await follower.wait_for(2, IN_FORCE_SECONDS)


async def test_started_instance_reads_a_large_configuration_over_a_slow_link(
    platform: HttpPlatform,
) -> None:
    """Guards against an instance that never gets a configuration after its start."""
    value = wire_configuration(2, LARGE_ROUTES)
    platform.store.put(OPERATOR_TABLE, CONFIG_KEY, value)
    platform.limit_link(LINK_BYTES_PER_SECOND)
    started = Follower(platform)
    await started.wait_for(2, IN_FORCE_SECONDS)
    await started.stop()


async def test_instance_that_fell_behind_many_large_versions_catches_up(
    follower: Follower,
) -> None:
    """Guards against a feed that has to bring every version that was missed."""
    for version in range(2, 8):
        follower.put(version, LARGE_ROUTES)
    await follower.wait_for(7, IN_FORCE_SECONDS)
