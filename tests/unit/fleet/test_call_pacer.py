"""Calls to targets of a leader whose processor is too small for its load."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from egretloft._internal.fleet.call_pacer import (
    INITIAL_CALLS,
    LATE_SECONDS,
    MAX_CALLS,
    MAX_CALLS_PER_TARGET,
    MAX_WAITING_ROUNDS,
    MIN_CALLS,
    SLOT_SECONDS,
    STOP_PRIORITY,
    CallPacer,
    CallSlot,
    create_call_pacer,
)
from egretloft._internal.fleet.decisions import TickContext
from egretloft._internal.fleet.models import OperatorState
from egretloft._internal.fleet.scheduler import Scheduler
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    single_step,
)
from lib.virtual_time import run_virtual


def placed(max_starts: int, *sizes: int) -> list[int]:
    """Return the sizes of the gangs that are placed on an empty fleet."""
    tables = build_tables(*(build_target(number) for number in range(40)))
    for number, size in enumerate(sizes, start=1):
        add_job(tables, number, single_step(size, SMALL, gang=True))
    context = TickContext(100.0, 1_000.0, max_starts=max_starts)
    decisions = Scheduler(tables).decide(OperatorState(), context)
    return [len(placement.starts) for placement in decisions.placements]


async def granted_calls(pacer: CallPacer, *target_ids: str) -> list[CallSlot]:
    """Ask for a place for one call to each target; return those granted at once."""
    tasks = [asyncio.create_task(pacer.acquire(target)) for target in target_ids]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return [task.result() for task in tasks if task.done()]


async def call_repeatedly(pacer: CallPacer, target_id: str) -> None:
    """Make calls to one target, each of which is answered soon."""
    for _ in range(MAX_CALLS):
        slot = await pacer.acquire(target_id)
        await asyncio.sleep(SLOT_SECONDS / 10)
        pacer.release(slot)


def numbered(count: int) -> list[str]:
    """Return the ids of different targets."""
    return [f"target-{number}" for number in range(count)]


def test_calls_beyond_the_limit_wait_for_an_answer() -> None:
    async def main() -> None:
        pacer = create_call_pacer()
        granted = await granted_calls(pacer, *numbered(INITIAL_CALLS + 3))
        assert len(granted) == INITIAL_CALLS
        pacer.release(granted[0])
        assert pacer.sending == INITIAL_CALLS
        assert len(pacer.waiting) == 2

    run_virtual(main())


def test_call_without_an_answer_gives_up_its_place() -> None:
    """Guards against dead targets that hold up the orders to all others."""

    async def main() -> None:
        pacer = create_call_pacer()
        await granted_calls(pacer, *numbered(INITIAL_CALLS))
        asked = asyncio.get_running_loop().time()
        slot = await pacer.acquire("another")
        waited = asyncio.get_running_loop().time() - asked
        assert waited <= SLOT_SECONDS * 1.01
        pacer.release(slot)
        pacer.release(slot)
        assert pacer.sending == 0
        assert "another" not in pacer.sending_to

    run_virtual(main())


def test_calls_to_one_target_wait_without_holding_up_others() -> None:
    async def main() -> None:
        pacer = create_call_pacer()
        same = ["target-1"] * (MAX_CALLS_PER_TARGET + 2)
        granted = await granted_calls(pacer, *same, "target-2")
        assert [slot.target_id for slot in granted].count("target-2") == 1
        assert len(granted) == MAX_CALLS_PER_TARGET + 1

    run_virtual(main())


def test_urgent_calls_are_sent_before_a_backlog_of_others() -> None:
    """Guards against an urgent gang that waits behind the tasks of patient queues."""

    async def main() -> None:
        pacer = create_call_pacer()
        granted = await granted_calls(pacer, *numbered(INITIAL_CALLS))
        order: list[int] = []

        async def call(priority: int) -> None:
            slot = await pacer.acquire("target", priority)
            order.append(priority)
            pacer.release(slot)

        priorities = (2, 2, 1, 0, 1, STOP_PRIORITY, 0)
        calls = [asyncio.create_task(call(priority)) for priority in priorities]
        await asyncio.sleep(0)
        for slot in granted:
            pacer.release(slot)
        await asyncio.gather(*calls)
        assert order == sorted(priorities)

    run_virtual(main())


def test_silent_targets_do_not_hold_up_urgent_starts() -> None:
    """Guards against stops to targets that are cut off, which take every place."""

    async def main() -> None:
        pacer = create_call_pacer()

        async def call_in_vain(target_id: str) -> None:
            while True:
                slot = await pacer.acquire(target_id, STOP_PRIORITY)
                try:
                    await asyncio.sleep(0.3)
                finally:
                    pacer.release(slot)
                await asyncio.sleep(0.2)

        silent = [
            asyncio.create_task(call_in_vain(target))
            for target in numbered(45)
            for _ in range(8)
        ]
        await asyncio.sleep(1.0)
        for _ in range(20):
            asked = asyncio.get_running_loop().time()
            slot = await pacer.acquire("answering", 0)
            assert asyncio.get_running_loop().time() - asked < 0.15
            await asyncio.sleep(0.008)
            pacer.release(slot)
        for task in silent:
            task.cancel()
        await asyncio.gather(*silent, return_exceptions=True)
        assert pacer.sending == 0
        assert pacer.sending_to == {}
        assert not pacer.waiting
        assert not any(pacer.set_aside.values())

    run_virtual(main())


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    calls=st.lists(
        st.tuples(
            st.integers(0, 2),
            st.integers(-1, 2),
            st.sampled_from((0.001, 0.01, 0.06, 0.3)),
            st.sampled_from((0.0, 0.0, 0.005, 0.03, 0.2)),
        ),
        min_size=1,
        max_size=60,
    )
)
def test_every_call_is_sent_or_cancelled_and_leaves_nothing(
    calls: list[tuple[int, int, float, float]],
) -> None:
    """Each call has a target, a priority, a duration and a time of its cancellation.

    A time of 0 means that the call is not cancelled.
    """

    async def main() -> None:
        pacer = create_call_pacer()
        pacer.limit = float(MIN_CALLS)

        async def call(target: int, priority: int, seconds: float) -> None:
            slot = await pacer.acquire(f"target-{target}", priority)
            try:
                assert pacer.sending <= pacer.limit
                in_flight = pacer.sending_to[f"target-{target}"]
                assert in_flight <= MAX_CALLS_PER_TARGET
                await asyncio.sleep(seconds)
            finally:
                pacer.release(slot)

        loop = asyncio.get_running_loop()
        tasks = []
        for target, priority, seconds, cancel_after in calls:
            task = asyncio.create_task(call(target, priority, seconds))
            tasks.append((task, cancel_after))
            if cancel_after:
                loop.call_later(cancel_after, task.cancel)
        async with asyncio.timeout(60.0):
            results = await asyncio.gather(
                *(task for task, _ in tasks), return_exceptions=True
            )
        for result, (_, cancel_after) in zip(results, tasks, strict=True):
            cancelled = isinstance(result, asyncio.CancelledError)
            assert result is None or (cancelled and cancel_after)
        assert pacer.sending == 0
        assert pacer.sending_to == {}
        assert not pacer.waiting
        assert not any(pacer.set_aside.values())

    run_virtual(main())


def test_calls_that_were_set_aside_are_sent_after_others_are_cancelled() -> None:
    """Guards against calls that wait for ever for cancelled ones before them."""

    async def main() -> None:
        pacer = create_call_pacer()
        same = ["target-1"] * MAX_CALLS_PER_TARGET
        active = await granted_calls(pacer, *same)
        await asyncio.sleep(2 * SLOT_SECONDS)
        aside = [
            asyncio.create_task(pacer.acquire("target-1"))
            for _ in range(MAX_CALLS_PER_TARGET + 2)
        ]
        await asyncio.sleep(0)
        others = await granted_calls(pacer, *(f"other-{n}" for n in range(99)))
        for slot in active:
            pacer.release(slot)
        for task in aside[:MAX_CALLS_PER_TARGET]:
            task.cancel()
        await asyncio.sleep(0)
        for slot in others:
            pacer.release(slot)
        async with asyncio.timeout(5.0):
            for task in aside[MAX_CALLS_PER_TARGET:]:
                pacer.release(await task)

    run_virtual(main())


def test_cancelled_call_frees_its_place() -> None:
    async def main() -> None:
        pacer = create_call_pacer()
        same = ["target-1"] * MAX_CALLS_PER_TARGET
        granted = await granted_calls(pacer, *same)
        waiting = asyncio.create_task(pacer.acquire("target-1"))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert not pacer.waiting
        for slot in granted:
            pacer.release(slot)
        assert pacer.sending == 0

    run_virtual(main())


def test_limit_shrinks_while_the_loop_is_late_and_grows_with_answers() -> None:
    async def main() -> None:
        pacer = create_call_pacer()
        for _ in range(10):
            pacer.observe_lateness(2 * LATE_SECONDS)
        assert pacer.free(2) == MIN_CALLS * MAX_WAITING_ROUNDS
        pacer.observe_lateness(0.0)
        assert pacer.limit == MIN_CALLS, "only answers let it grow"
        await asyncio.gather(
            *(call_repeatedly(pacer, target) for target in numbered(2 * MAX_CALLS))
        )
        assert pacer.limit == MAX_CALLS

    run_virtual(main())


def test_backlog_larger_than_the_limit_leaves_none_free() -> None:
    async def main() -> None:
        pacer = create_call_pacer()
        targets = numbered(INITIAL_CALLS * MAX_WAITING_ROUNDS + 20)
        calls = [asyncio.create_task(pacer.acquire(target, 2)) for target in targets]
        await asyncio.sleep(0)
        assert len(calls) == pacer.sending + len(pacer.waiting)
        assert pacer.free(2) == 0
        assert pacer.free(0) == INITIAL_CALLS * (MAX_WAITING_ROUNDS - 1)

    run_virtual(main())


def test_no_further_step_is_placed_once_the_backlog_is_full() -> None:
    """Guards against placements whose orders expire in the backlog."""
    assert placed(100, 3, 3, 3) == [3, 3, 3]
    assert placed(4, 3, 3, 3) == [3, 3]
    assert placed(0, 3, 3, 3) == []


def test_urgent_step_is_placed_beside_a_full_backlog_of_others() -> None:
    tables = build_tables(*(build_target(number) for number in range(4)))
    add_job(tables, 1, single_step(2), priority=1)
    add_job(tables, 2, single_step(2), priority=0)
    context = TickContext(100.0, 1_000.0, max_starts=0, max_urgent_starts=4)
    decisions = Scheduler(tables).decide(OperatorState(), context)
    assert [placement.priority for placement in decisions.placements] == [0]


def test_a_gang_that_exceeds_the_backlog_starts_whole() -> None:
    assert placed(4, 30, 2) == [30]


def test_steps_that_wait_for_the_backlog_are_reviewed_soon() -> None:
    tables = build_tables(build_target(0))
    add_job(tables, 1, single_step(1, WHOLE))
    context = TickContext(100.0, 1_000.0, max_starts=0)
    decisions = Scheduler(tables).decide(OperatorState(), context)
    assert decisions.review_seconds < 0.1
