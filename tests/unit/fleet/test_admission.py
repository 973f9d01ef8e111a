"""Calls at an instance that cannot read the operators' changes."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure, Success

from egretloft._internal.fleet.admission import Admission
from egretloft._internal.fleet.intake import IntakeRefusalKind
from lib.fleet_builders import build_world
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode
from standins.fleet.world import API_KEY, FleetWorld, configuration

# The bound of the smallest deployments, which is the tightest one.
IN_FORCE_SECONDS = 2.0
# The platform expects an instance to serve again this long after a fault has ended.
RECOVERY_SECONDS = 3.0
PATH = "/normal/0000000000000001"


def admissions(world: FleetWorld) -> list[Admission]:
    return [
        process.instance.create_admission(IN_FORCE_SECONDS)
        for process in world.processes.values()
    ]


def refusal_kind(admission: Admission, key: str = API_KEY) -> IntakeRefusalKind | None:
    result = admission.admit("host", PATH, key)
    return result.failure().kind if isinstance(result, Failure) else None


@pytest.mark.parametrize("mode", [StoreMode.REFUSES, StoreMode.SILENT])
def test_no_call_is_decided_by_an_outdated_configuration(mode: StoreMode) -> None:
    """Guards against answers by a configuration that operators have replaced."""

    async def main() -> None:
        world = build_world()
        await world.start()
        world.store.mode = mode
        world.put_configuration(configuration(2))
        await asyncio.sleep(IN_FORCE_SECONDS)
        for admission in admissions(world):
            for key in (API_KEY, "no key"):
                kind = refusal_kind(admission, key)
                assert kind is IntakeRefusalKind.OUTDATED_CONFIGURATION
            refusal = admission.admit("host", PATH, API_KEY).failure()
            assert refusal.retry_after_seconds
        world.store.mode = StoreMode.WORKS
        await asyncio.sleep(RECOVERY_SECONDS)
        for admission in admissions(world):
            caller = admission.admit("host", PATH, API_KEY).unwrap()
            assert caller.configuration_version == 2
        await world.stop()

    run_virtual(main())


def test_frozen_instance_reads_the_changes_before_it_answers() -> None:
    """Guards against a process that acts after a pause on what it knew before."""

    async def main() -> None:
        world = build_world()
        await world.start()
        frozen = world.processes["instance-1"]
        frozen.gate.open.clear()
        await asyncio.sleep(1.0)
        world.put_configuration(configuration(2))
        await asyncio.sleep(IN_FORCE_SECONDS + 1.0)
        admission = frozen.instance.create_admission(IN_FORCE_SECONDS)
        assert refusal_kind(admission) is IntakeRefusalKind.OUTDATED_CONFIGURATION
        frozen.gate.open.set()
        await asyncio.sleep(RECOVERY_SECONDS)
        assert (
            admission.admit("host", PATH, API_KEY).unwrap().configuration_version == 2
        )
        await world.stop()

    run_virtual(main())


def test_instance_without_own_path_to_the_store_serves_on() -> None:
    """Guards against refusals while the peers relay the operators' changes."""

    async def main() -> None:
        world = build_world()
        await world.start()
        cut_off = world.processes["instance-1"]
        cut_off.store.mode = StoreMode.REFUSES
        admission = cut_off.instance.create_admission(IN_FORCE_SECONDS)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert isinstance(admission.admit("host", PATH, API_KEY), Success)
        await world.stop()

    run_virtual(main())


def test_calm_instance_never_takes_its_configuration_for_outdated() -> None:
    """Guards against refusals between two answers of the store."""

    async def main() -> None:
        world = build_world(instance_count=5)
        await world.start()
        world.store.slowness = 30.0
        checks = admissions(world)
        for _ in range(400):
            await asyncio.sleep(0.05)
            assert [refusal_kind(admission) for admission in checks] == [None] * 5
        await world.stop()

    run_virtual(main())
