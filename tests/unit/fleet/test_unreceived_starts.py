"""Starts that are sent to targets which have been down for a while."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from returns.result import Result, Success

from egretloft._internal.fleet.interfaces import Targets
from egretloft._internal.fleet.models import StartOrder, TargetFailure, TargetReport
from lib.fleet_builders import build_world, job_id, single_step
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld
from unit.fleet.test_failed_without_cause import FAULTS, JOB, SEEDS, assert_completes

# A target that was last heard from before that may have been down ever since.
UNHEARD_SECONDS = 1.0


@dataclass(slots=True)
class UnreceivedStarts:
    """A target client by which some starts find their targets down.

    Only targets that the leader has not heard from for a while lose power.
    """

    targets: Targets
    worlds: list[FleetWorld]
    down_seconds: float
    unreceived: set[int] = field(default_factory=set)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.targets, name)

    async def start(
        self, target: TargetReport, order: StartOrder, timeout_seconds: float
    ) -> Result[int, TargetFailure]:
        """Start a run, unless the target is down."""
        is_new = order.run.attempt not in self.unreceived
        if is_new and len(self.unreceived) < FAULTS and self.is_unheard(target):
            self.unreceived.add(order.run.attempt)
            self.worlds[0].targets[target.target_id].crash_for(self.down_seconds)
        return await self.targets.start(target, order, timeout_seconds)

    def is_unheard(self, target: TargetReport) -> bool:
        """Return whether the leader has not heard from the target for a while."""
        world = self.worlds[0]
        name = world.leader_name()
        leader = world.processes[name].instance.leader if name else None
        if leader is None:
            return False
        row = leader.tables.targets[target.target_id]
        return world.clock.boottime() - row.last_answer >= UNHEARD_SECONDS


@pytest.mark.parametrize("down_seconds", [1.0, 1.6, 2.5, 6.0])
def test_starts_that_no_target_received_do_not_fail_the_job(
    down_seconds: float,
) -> None:
    """Guards against a crash before a start that is held against the start."""

    async def main(seed: int) -> None:
        worlds: list[FleetWorld] = []

        def wrap(targets: Targets) -> Targets:
            return UnreceivedStarts(targets, worlds, down_seconds)

        world = build_world(seed, wrap_targets=wrap)
        worlds.append(world)
        await world.start()
        accepted = await world.submit(job_id(JOB), single_step(1), 8.0)
        assert isinstance(accepted, Success)
        await assert_completes(world)

    for seed in SEEDS:
        run_virtual(main(seed))
