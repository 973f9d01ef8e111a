"""Calls to a runner that has restarted at its address, under its id."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from returns.result import Failure, Success

from egretloft._internal.fleet.models import (
    Renewal,
    RunKey,
    StartOrder,
    StartRefusal,
    StepKey,
    TargetFailure,
    TargetFailureKind,
    TargetReport,
    TaskKey,
)
from egretloft.platform.targets import PlatformTargets, create_platform_targets
from lib.one_target import FIRST_CLOCK_MS, serve_one_target
from standins.fleet.http import HttpPlatform
from standins.fleet.targets import MAX_LEASE_SECONDS, EmulatedTarget

JOB = "00000000000000aa"
EPOCH = 1
TASKS = 8
# More calls at once than connections that one of them may try.
MANY_TASKS = 32
TIMEOUT_SECONDS = 1.0
MANY_STARTS_TIMEOUT_SECONDS = 5.0
DOWN_SECONDS = 0.1
# Ahead of the first clock by over an hour, and of a restarted one by far more.
FAR_AHEAD_MS = 2 * FIRST_CLOCK_MS


@pytest.fixture
async def platform() -> AsyncIterator[HttpPlatform]:
    async with serve_one_target(JOB, TASKS, work_seconds=60.0) as served:
        yield served


@pytest.fixture
async def targets() -> PlatformTargets:
    """Return the targets of a leader that has not called any runner yet."""
    return create_platform_targets(MAX_LEASE_SECONDS)


def report_of(platform: HttpPlatform) -> TargetReport:
    """Return the registration of the runner, with its address."""
    report = platform.targets["i-1"].report()
    return TargetReport(
        report.target_id,
        platform.target_addresses["i-1"],
        report.service,
        report.zone,
        report.rack,
        report.labels,
        report.room,
        draining=False,
        incarnation_ms=report.incarnation_ms,
    )


def order(index: int, incarnation_ms: int) -> StartOrder:
    run = RunKey(TaskKey(StepKey(JOB, 0, 0), index), 1)
    return StartOrder(run, "text", FAR_AHEAD_MS, EPOCH, incarnation_ms, "")


async def ask(targets: PlatformTargets, report: TargetReport) -> int:
    """Ask the runner for its lists; return its incarnation."""
    answer = await targets.renew(report, Renewal(EPOCH, 0), 0.0, TIMEOUT_SECONDS)
    return answer.unwrap().incarnation_ms


async def test_start_for_the_former_incarnation_is_not_sent(
    platform: HttpPlatform, targets: PlatformTargets
) -> None:
    """Guards against a run, and the longest lease, by an expiry on the former clock."""
    report, target = report_of(platform), platform.targets["i-1"]
    former = await ask(targets, report)
    await platform.restart_target(target, DOWN_SECONDS)
    for index in range(2):
        result = await targets.start(report, order(index, former), TIMEOUT_SECONDS)
        if result.failure().kind is TargetFailureKind.REFUSED:
            assert result.failure().refusal is StartRefusal.RESTARTED
    assert not target.runs
    assert target.lease_ms == 0.0
    current = await ask(targets, report)
    started = await targets.start(report, order(0, current), TIMEOUT_SECONDS)
    assert isinstance(started, Success)


async def test_start_while_nothing_listens_is_known_not_to_be_sent(
    platform: HttpPlatform, targets: PlatformTargets
) -> None:
    report, target = report_of(platform), platform.targets["i-1"]
    former = await ask(targets, report)
    restarting = asyncio.create_task(platform.restart_target(target, 0.5))
    await asyncio.sleep(0.2)
    await targets.start(report, order(0, former), 0.2)
    result = await targets.start(report, order(0, former), 0.2)
    assert result.failure().kind is TargetFailureKind.NOT_SENT
    await restarting


async def test_renewal_for_the_former_incarnation_only_asks(
    platform: HttpPlatform, targets: PlatformTargets
) -> None:
    """Guards against a lease by the former clock, and ends that nobody has heard of."""
    report, target = report_of(platform), platform.targets["i-1"]
    former = await ask(targets, report)
    await platform.restart_target(target, DOWN_SECONDS)
    renewal = Renewal(EPOCH, former, 3, FAR_AHEAD_MS)
    answers = [
        await targets.renew(report, renewal, 0.0, TIMEOUT_SECONDS) for _ in range(2)
    ]
    heard = [a.unwrap().incarnation_ms for a in answers if not isinstance(a, Failure)]
    assert heard
    assert set(heard) == {target.incarnation_ms}
    assert target.lease_ms == 0.0


async def test_connection_whose_incarnation_is_not_known_is_not_used(
    platform: HttpPlatform, targets: PlatformTargets, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal that leaves a connection to a later incarnation open."""
    report, target = report_of(platform), platform.targets["i-1"]
    former = await ask(targets, report)
    await platform.restart_target(target, DOWN_SECONDS)
    with monkeypatch.context() as patch:
        refusal = target.refuse(StartRefusal.FENCED)
        patch.setattr(target, "renew", lambda *call: refusal)
        for _ in range(2):
            await targets.renew(report, Renewal(EPOCH, 0), 0.0, TIMEOUT_SECONDS)
    await targets.start(report, order(0, former), TIMEOUT_SECONDS)
    assert not target.runs


async def start_at_once(
    platform: HttpPlatform, tasks: int, timeout_seconds: float
) -> list[TargetFailure]:
    """Start tasks of the job at once; return the failures."""
    report = report_of(platform)
    targets = create_platform_targets(MAX_LEASE_SECONDS)
    current = await ask(targets, report)
    starts = [
        targets.start(report, order(index, current), timeout_seconds)
        for index in range(tasks)
    ]
    results = await asyncio.gather(*starts)
    return [result.failure() for result in results if isinstance(result, Failure)]


async def test_starts_at_once_are_all_carried_out(platform: HttpPlatform) -> None:
    """Guards against calls that take each other's connections and are given up."""
    assert await start_at_once(platform, TASKS, TIMEOUT_SECONDS) == []
    assert len(platform.targets["i-1"].runs) == TASKS


@pytest.mark.parametrize("uptime_seconds", [5.2e3, 1e5, 1e8])
async def test_starts_are_carried_out_however_long_the_machine_has_been_up(
    uptime_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a constant expiry that the clock of an old machine has passed."""
    loop = asyncio.get_running_loop()
    since_now = uptime_seconds - loop.time()
    monkeypatch.setattr(EmulatedTarget, "now", lambda _: loop.time() + since_now)
    async with serve_one_target(JOB, TASKS, work_seconds=60.0) as platform:
        assert await start_at_once(platform, TASKS, TIMEOUT_SECONDS) == []


async def test_many_starts_at_once_are_all_carried_out() -> None:
    """Guards against starts given up as others took the connections they opened."""
    async with serve_one_target(JOB, MANY_TASKS, work_seconds=60.0) as platform:
        failures = await start_at_once(
            platform, MANY_TASKS, MANY_STARTS_TIMEOUT_SECONDS
        )
        assert failures == []
        assert len(platform.targets["i-1"].runs) == MANY_TASKS


async def test_no_start_reaches_a_later_incarnation_while_connections_open(
    platform: HttpPlatform, targets: PlatformTargets
) -> None:
    """Guards against a start on a connection that another call has just opened."""
    report, target = report_of(platform), platform.targets["i-1"]
    for index in range(TASKS):
        former = await ask(targets, report)
        restarting = asyncio.create_task(platform.restart_target(target, DOWN_SECONDS))
        while not restarting.done():
            calls = [
                targets.start(report, order(index, former), TIMEOUT_SECONDS)
                for _ in range(3)
            ]
            calls_without_effect = [ask_if_there(targets, report) for _ in range(2)]
            await asyncio.gather(*calls, *calls_without_effect)
        await restarting
        assert not target.runs


async def ask_if_there(targets: PlatformTargets, report: TargetReport) -> None:
    """Ask a runner that may not answer for its lists."""
    await targets.renew(report, Renewal(EPOCH, 0), 0.0, TIMEOUT_SECONDS)
