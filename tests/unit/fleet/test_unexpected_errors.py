"""One bad row or one unexpected error costs itself alone, not a whole process."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Success

from egretloft._internal import codec
from egretloft._internal.fleet.constants import PARTITION, TABLE_JOBS
from egretloft._internal.fleet.interfaces import RowKey, RowTransaction, StoredRow
from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.operators import create_operator_view
from egretloft._internal.fleet.records import JobProgress, StepProgress, progress_key
from egretloft._internal.fleet.service_tick import ServiceTick
from egretloft._internal.fleet.sessions import TargetSession
from egretloft._internal.fleet.supervision import keep_running
from egretloft._internal.metrics import create_metrics
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import EVACUATE_PREFIX, EmulatedDecoder, FleetWorld

SECONDS_TO_COMPLETE = 12.0


async def expect_complete(world: FleetWorld, number: int) -> None:
    """Submit a job and wait until it is complete."""
    result = await world.submit(job_id(number), single_step(2), 0.5, "normal")
    assert isinstance(result, Success)
    assert await world.wait_for_state(
        job_id(number), JobState.COMPLETE, SECONDS_TO_COMPLETE
    )


class FailsOnce:
    """A wrapper of a method that raises at its first call."""

    def __init__(self, method: Any) -> None:
        self.method = method
        self.raised = False

    def __get__(self, instance: Any, owner: Any) -> Any:
        def call(*arguments: Any) -> Any:
            if not self.raised:
                self.raised = True
                raise RuntimeError("unexpected")
            return self.method(instance, *arguments)

        return call


def test_progress_of_tasks_that_a_job_does_not_have_stops_no_leader() -> None:
    """Guards against a row that ends the term of each leader in turn."""

    async def main() -> None:
        world = build_world()
        await world.start()
        await expect_complete(world, 1)
        bad = JobProgress(JobState.ACTIVE, True, 0, [StepProgress(0, 7, done=[99])])
        key = progress_key(job_id(1))
        world.store.apply(RowTransaction((), ((key, codec.encode(bad)),)))
        garbage = RowKey(TABLE_JOBS, PARTITION, "not-a-job" + ".p")
        world.store.apply(RowTransaction((), ((garbage, b"\xff\x00"),)))
        leader = world.leader_name()
        assert leader is not None
        await world.kill(leader)
        await expect_complete(world, 2)
        await world.stop()

    run_virtual(main())


@pytest.mark.parametrize(
    ("owner", "name"),
    [(TargetSession, "apply_ends"), (ServiceTick, "schedule")],
)
def test_an_unexpected_error_does_not_end_the_work_of_a_term(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a target, or a term, that is lost after one exception."""
    fails_once = FailsOnce(getattr(owner, name))
    monkeypatch.setattr(owner, name, fails_once)

    async def main() -> None:
        world = build_world(target_count=1)
        await world.start()
        await expect_complete(world, 1)
        leader = world.leader_name()
        assert leader is not None
        assert world.processes[leader].instance.election.term is not None
        assert world.processes[leader].instance.election.term.epoch == 1
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
    assert fails_once.raised


def test_failed_work_is_started_again() -> None:
    calls: list[int] = []

    async def work() -> None:
        calls.append(len(calls))
        if len(calls) < 3:
            raise ValueError("unexpected")

    metrics = create_metrics()
    run_virtual(keep_running("work", work, metrics))
    assert calls == [0, 1, 2]
    assert 'task="work"' in metrics.render_text()


def test_a_zone_stays_out_when_its_row_is_read_without_content() -> None:
    """Guards against an instance that restarts and uses a zone that is out."""
    row = StoredRow(RowKey("op", "", EVACUATE_PREFIX + "zone-a"), b"", 3)
    view = create_operator_view(EmulatedDecoder(), create_metrics())
    view.on_snapshot((row,))
    assert view.current().evacuated_zones == {"zone-a"}
    view.on_snapshot(())
    assert view.current().evacuated_zones == frozenset()
