"""Calls to the store and to targets over HTTP, against the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from returns.result import Failure, Success

from egretloft._internal.fleet.interfaces import (
    Expectation,
    RowKey,
    RowTransaction,
    StoreFailureKind,
)
from egretloft._internal.fleet.models import (
    EndKind,
    Renewal,
    RunKey,
    StartOrder,
    StartRefusal,
    StepKey,
    TargetFailureKind,
    TargetReport,
    TaskKey,
)
from egretloft.platform.decoding import create_platform_row_decoder
from egretloft.platform.rows import PlatformRowStore, create_platform_row_store
from egretloft.platform.targets import create_platform_targets
from lib.one_target import serve_one_target
from standins.fleet.http import HttpPlatform
from standins.fleet.store import StoreMode
from standins.fleet.targets import MAX_LEASE_SECONDS

JOB = "00000000000000aa"
KEY = RowKey("jobs", "egretloft", "one")
FIRST_INCARNATION = 1


@pytest.fixture
async def platform() -> AsyncIterator[HttpPlatform]:
    async with serve_one_target(JOB, tasks=1, work_seconds=0.1) as served:
        yield served


@pytest.fixture
async def store(platform: HttpPlatform) -> PlatformRowStore:
    return create_platform_row_store(platform.store_address)


def write(version: int, value: bytes | None = b"value") -> RowTransaction:
    return RowTransaction((Expectation(KEY, version),), ((KEY, value),))


async def test_row_is_written_read_and_removed(store: PlatformRowStore) -> None:
    version = (await store.commit(write(0), 1.0)).unwrap()
    page = (await store.read("jobs", "egretloft", 1.0)).unwrap()
    assert [(row.key, row.value, row.version) for row in page.rows] == [
        (KEY, b"value", version)
    ]
    assert isinstance(await store.commit(write(version, None), 1.0), Success)
    assert (await store.read("jobs", "egretloft", 1.0)).unwrap().rows == ()


async def test_conflict_returns_the_current_row(store: PlatformRowStore) -> None:
    version = (await store.commit(write(0), 1.0)).unwrap()
    failure = (await store.commit(write(0), 1.0)).failure()
    assert failure.kind is StoreFailureKind.CONFLICT
    assert [(row.value, row.version) for row in failure.rows] == [(b"value", version)]


async def test_feed_wakes_on_a_change_and_shows_removals(
    store: PlatformRowStore,
) -> None:
    version = (await store.commit(write(0), 1.0)).unwrap()
    waiting = asyncio.create_task(store.feed("jobs", version, 1.0))
    await asyncio.sleep(0.05)
    await store.commit(write(version, None), 1.0)
    rows = (await waiting).unwrap().rows
    assert [(row.key, row.value) for row in rows] == [(KEY, None)]


async def test_lost_history_is_reported(
    store: PlatformRowStore, platform: HttpPlatform
) -> None:
    await store.commit(write(0), 1.0)
    platform.store.forget_history()
    failure = (await store.feed("jobs", 0, 0.1)).failure()
    assert failure.kind is StoreFailureKind.HISTORY_LOST


async def test_refused_write_is_told_apart_from_unanswered_one(
    store: PlatformRowStore, platform: HttpPlatform
) -> None:
    """Guards against reporting a write as refused when only its answer was lost.

    The silent store does not answer, so the write may have been applied.
    """
    platform.store.mode = StoreMode.REFUSES
    failure = (await store.commit(write(0), 0.5)).failure()
    assert failure.kind is StoreFailureKind.REFUSED
    platform.store.mode = StoreMode.SILENT
    failure = (await store.commit(write(0), 0.2)).failure()
    assert failure.kind is StoreFailureKind.UNKNOWN


async def test_call_to_unreachable_store_is_refused() -> None:
    store = create_platform_row_store("127.0.0.1:1")
    failure = (await store.commit(write(0), 0.5)).failure()
    assert failure.kind is StoreFailureKind.REFUSED


async def wait_for_report(platform: HttpPlatform) -> TargetReport:
    decoder = create_platform_row_decoder()
    row = None
    while row is None:
        await asyncio.sleep(0.01)
        row = platform.store.rows.get(RowKey("servers", "", "i-1"))
    return decoder.target(row).unwrap()


def order(attempt: int, epoch: int, expires_at_ms: int) -> StartOrder:
    run = RunKey(TaskKey(StepKey(JOB, 0, 0), 0), attempt)
    return StartOrder(run, "text", expires_at_ms, epoch, FIRST_INCARNATION, "")


def renewal(
    epoch: int, last_recorded_end: int = 0, expires_at_ms: int | None = None
) -> Renewal:
    return Renewal(epoch, FIRST_INCARNATION, last_recorded_end, expires_at_ms)


async def test_run_starts_once_and_its_end_is_listed(platform: HttpPlatform) -> None:
    report = await wait_for_report(platform)
    targets = create_platform_targets(MAX_LEASE_SECONDS)
    first = (await targets.renew(report, renewal(1), 0.0, 1.0)).unwrap()
    expires = first.target_time_ms + 2000
    for _ in range(2):
        started = await targets.start(report, order(5, 1, expires), 1.0)
        assert isinstance(started, Success)
    lists = (await targets.renew(report, renewal(1, 0, expires), 1.0, 2.0)).unwrap()
    assert [(e.number, e.run.attempt, e.kind) for e in lists.ends] == [
        (1, 5, EndKind.DONE)
    ]
    assert (await targets.renew(report, renewal(1, 1), 0.0, 1.0)).unwrap().ends == ()


async def test_refusals_of_a_target_are_told_apart(platform: HttpPlatform) -> None:
    report = await wait_for_report(platform)
    targets = create_platform_targets(MAX_LEASE_SECONDS)
    now = (await targets.renew(report, renewal(3), 0.0, 1.0)).unwrap().target_time_ms
    late = (await targets.start(report, order(5, 3, now - 1), 1.0)).failure()
    assert late.refusal is StartRefusal.LATE
    fenced = (await targets.start(report, order(5, 2, now + 900), 1.0)).failure()
    assert fenced.refusal is StartRefusal.FENCED
    run = RunKey(TaskKey(StepKey(JOB, 0, 0), 0), 6)
    assert isinstance(await targets.stop(report, run, 3, 1.0), Success)
    old = (await targets.start(report, order(6, 3, now + 900), 1.0)).failure()
    assert old.refusal is StartRefusal.SUPERSEDED


async def test_order_without_an_answer_is_unknown(platform: HttpPlatform) -> None:
    report = await wait_for_report(platform)
    platform.targets["i-1"].silent = True
    result = await create_platform_targets(MAX_LEASE_SECONDS).renew(
        report, renewal(1), 0.0, 0.2
    )
    assert isinstance(result, Failure)
    assert result.failure().kind is TargetFailureKind.UNKNOWN


async def test_target_of_a_zone_without_the_store_is_removed_and_returns(
    platform: HttpPlatform,
) -> None:
    key = RowKey("servers", "", "i-1")

    async def wait_for_row(present: bool) -> None:
        async with asyncio.timeout(10):
            while (platform.store.get(key).value is not None) is not present:
                await asyncio.sleep(0.05)

    await wait_for_row(True)
    platform.unregistered_zones["zone"] += 1
    await wait_for_row(False)
    platform.unregistered_zones["zone"] -= 1
    await wait_for_row(True)
