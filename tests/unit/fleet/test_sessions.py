"""The end of a target's session."""

from __future__ import annotations

import asyncio

import pytest

from egretloft._internal.fleet.sessions import TargetSession, create_target_session
from egretloft._internal.fleet.tables import JobRow, RunRow
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import build_tables, build_target
from lib.virtual_time import run_virtual
from standins.fleet.targets import TargetsClient
from standins.fleet.world import LoopFleetClock


class Owner:
    """A leader that may not order."""

    epoch = 1

    def may_order(self) -> bool:
        return False

    def on_job_changed(self, job: JobRow) -> None:
        """Do nothing."""

    def on_room_changed(self) -> None:
        """Do nothing."""

    def on_run_done(self, run: RunRow) -> None:
        """Do nothing."""

    def on_fenced(self) -> None:
        """Do nothing."""


def build_session() -> TargetSession:
    target = build_target(0)
    client = TargetsClient({}, None)  # type: ignore[arg-type]
    tables = build_tables(target)
    return create_target_session(
        Owner(), tables, target, client, LoopFleetClock(), create_metrics()
    )


@pytest.mark.parametrize("unrecorded", [False, True])
def test_session_ends_though_it_is_woken_in_the_same_moment(unrecorded: bool) -> None:
    """Guards against a cancel that is lost: the term then never ends.

    Soak seed 311: a planned stop hung, and the instance would never have led again.
    """

    async def main() -> None:
        for steps in range(8):
            session = build_session()
            session.target.last_applied_end = int(unrecorded)
            work = session.pause_for_record() if unrecorded else session.run()
            task = asyncio.create_task(work)
            for _ in range(steps):
                await asyncio.sleep(0.005 if unrecorded else 0)
            session.target.last_recorded_end = session.target.last_applied_end
            session.wake.set()
            if unrecorded:
                await asyncio.sleep(0.005)
            was_done = task.done()
            task.cancel()
            await asyncio.wait({task}, timeout=20.0)
            assert task.done()
            assert task.cancelled() or was_done

    run_virtual(main())
