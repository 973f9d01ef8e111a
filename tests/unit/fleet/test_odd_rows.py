"""Rows of another writer among those of the targets, in a whole deployment."""

from __future__ import annotations

import asyncio

from returns.result import Success

from egretloft._internal import codec
from egretloft._internal.fleet.interfaces import RowTransaction
from egretloft._internal.fleet.models import JobState, TargetReport
from egretloft._internal.fleet.records import progress_key
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import TARGET_TABLE

# No msgpack value begins with this byte.
UNREADABLE_ROW = b"\xc1"
# A list in a list and so on, as msgpack.
DEEP = b"\x91" * 200_000 + b"\xc0"


def with_deep_field(report: TargetReport) -> bytes:
    """Return the row of a target with one more field, which is nested very deeply."""
    encoded = codec.encode(report)
    # The first byte of a short map holds its number of fields.
    return bytes([encoded[0] + 1]) + encoded[1:] + b"\xa1x" + DEEP


def test_deeply_nested_row_costs_only_the_target_that_it_names() -> None:
    """Guards against a leader that stops following the targets."""

    async def main() -> None:
        world = build_world(target_count=4)
        await world.start()
        named = world.targets["target-0"]
        named.removed = True  # It does not register any more.
        await asyncio.sleep(2.0)
        row = with_deep_field(named.report())
        world.store.put(TARGET_TABLE, "target-0", row)
        world.store.put(TARGET_TABLE, "nobody", row)
        await asyncio.sleep(1.0)
        # More tasks than fit on the other targets at once.
        assert isinstance(await world.submit(job_id(1), single_step(40), 0.5), Success)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 10.0)
        assert not named.runs
        added = world.add_target(9)
        world.spawn_registration(added)
        await asyncio.sleep(2.0)
        assert isinstance(await world.submit(job_id(2), single_step(32), 0.5), Success)
        await asyncio.sleep(0.2)
        assert added.runs
        leading = world.leader_name()
        assert leading is not None
        text = world.processes[leading].instance.metrics.render_text()
        assert "row_errors" not in text
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())


def test_job_with_an_unreadable_progress_row_is_not_started_again() -> None:
    """Guards against done tasks that run again, as their progress counts as none."""

    async def main() -> None:
        world = build_world()
        await world.start()
        assert isinstance(await world.submit(job_id(1), single_step(4), 1.0), Success)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 20.0)
        await asyncio.sleep(1.0)
        writes = ((progress_key(job_id(1)), UNREADABLE_ROW),)
        world.store.apply(RowTransaction((), writes))
        await world.kill(world.leader_name() or "")
        await asyncio.sleep(5.0)
        assert isinstance(await world.submit(job_id(2), single_step(4), 1.0), Success)
        assert await world.wait_for_state(job_id(2), JobState.COMPLETE, 20.0)
        assert world.store.rows[progress_key(job_id(1))].value == UNREADABLE_ROW
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
