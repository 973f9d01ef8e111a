"""Start orders in flight of a leader whose processor is too small for its load."""

from __future__ import annotations

from egretloft._internal.fleet.models import OperatorState
from egretloft._internal.fleet.order_window import (
    LATE_SECONDS,
    MAX_ORDERS,
    MIN_ORDERS,
    create_order_window,
)
from egretloft._internal.fleet.scheduler import Scheduler, TickContext
from lib.fleet_builders import (
    SMALL,
    WHOLE,
    add_job,
    build_tables,
    build_target,
    single_step,
)


def placed(max_starts: int, *sizes: int) -> list[int]:
    """Return the sizes of the gangs that are placed on an empty fleet."""
    tables = build_tables(*(build_target(number) for number in range(40)))
    for number, size in enumerate(sizes, start=1):
        add_job(tables, number, single_step(size, SMALL, gang=True))
    context = TickContext(100.0, 1_000.0, max_starts=max_starts)
    decisions = Scheduler(tables).decide(OperatorState(), context)
    return [len(placement.starts) for placement in decisions.placements]


def test_window_shrinks_while_the_loop_is_late_and_grows_again() -> None:
    window = create_order_window()
    assert window.free() == MAX_ORDERS
    for _ in range(10):
        window.observe_lateness(2 * LATE_SECONDS)
    assert window.free() == MIN_ORDERS
    for _ in range(MAX_ORDERS):
        window.observe_lateness(0.0)
    assert window.free() == MAX_ORDERS


def test_a_gang_larger_than_the_window_leaves_none_free() -> None:
    window = create_order_window()
    window.in_flight = MAX_ORDERS + 20
    assert window.free() == 0


def test_no_further_step_is_placed_once_the_window_is_full() -> None:
    """Guards against orders that time out because too many are sent at once."""
    assert placed(100, 3, 3, 3) == [3, 3, 3]
    assert placed(4, 3, 3, 3) == [3, 3]
    assert placed(0, 3, 3, 3) == []


def test_a_gang_that_exceeds_the_window_starts_whole() -> None:
    assert placed(4, 30, 2) == [30]


def test_steps_that_wait_for_the_window_are_reviewed_soon() -> None:
    tables = build_tables(build_target(0))
    add_job(tables, 1, single_step(1, WHOLE))
    context = TickContext(100.0, 1_000.0, max_starts=0)
    decisions = Scheduler(tables).decide(OperatorState(), context)
    assert decisions.review_seconds < 0.1
