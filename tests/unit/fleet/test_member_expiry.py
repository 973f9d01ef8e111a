"""Rows of instances that are gone, and of live ones whose row was removed."""

from __future__ import annotations

import asyncio

from egretloft._internal.fleet.constants import (
    INSTANCE_PREFIX,
    PARTITION,
    TABLE_CONTROL,
)
from egretloft._internal.fleet.interfaces import RowKey, RowTransaction
from egretloft._internal.fleet.member_expiry import (
    MEMBER_EXPIRY_SECONDS,
    RETURN_SECONDS,
    create_member_expiry,
)
from lib.fleet_builders import build_world
from lib.virtual_time import run_virtual
from standins.fleet.world import FleetWorld


def registered(world: FleetWorld) -> set[str]:
    """Return the instances with a row in the store."""
    return {
        key.key.removeprefix(INSTANCE_PREFIX)
        for key, row in world.store.rows.items()
        if key.table == TABLE_CONTROL
        and key.key.startswith(INSTANCE_PREFIX)
        and row.value is not None
    }


def test_member_expires_only_after_silence_on_end() -> None:
    expiry = create_member_expiry()
    assert expiry.expired(["a", "b"], ["a"], 0.0) == []
    assert expiry.expired(["a", "b"], ["a", "b"], MEMBER_EXPIRY_SECONDS - 1) == []
    assert expiry.expired(["a", "b"], ["a"], MEMBER_EXPIRY_SECONDS) == []
    assert expiry.expired(["a", "b"], ["a"], 2 * MEMBER_EXPIRY_SECONDS) == ["b"]


def test_removed_member_may_return_until_the_store_has_shown_that_it_does_not() -> None:
    """Guards against a removal just before an outage, of an instance that is alive."""
    expiry = create_member_expiry()
    expiry.on_removed("b", 10.0)
    assert expiry.may_return(confirmed_at=10.1) == ["b"]
    assert expiry.may_return(confirmed_at=10.0 + RETURN_SECONDS) == []


def test_rows_of_replaced_instances_are_removed() -> None:
    """Guards against rows that pile up with every machine that is replaced.

    They would displace the live candidates among the peers of every instance.
    """

    async def main() -> None:
        world = build_world(instance_count=3)
        await world.start()
        leading = world.leader_name()
        for number in range(6):
            name = f"instance-former-{number}"
            await world.start_instance(name)
            await asyncio.sleep(1.0)
            await world.kill(name)
        assert len(registered(world)) == 9
        await asyncio.sleep(MEMBER_EXPIRY_SECONDS + 15.0)
        assert registered(world) == set(world.instance_names)
        assert world.leader_name() == leading
        for process in world.processes.values():
            assert set(process.instance.members) == set(world.instance_names)
        await world.stop()

    run_virtual(main())


def test_a_live_instance_registers_again_when_its_row_is_gone() -> None:
    async def main() -> None:
        world = build_world(instance_count=3)
        await world.start()
        key = RowKey(TABLE_CONTROL, PARTITION, INSTANCE_PREFIX + "instance-1")
        world.store.apply(RowTransaction((), ((key, None),)))
        assert "instance-1" not in registered(world)
        await asyncio.sleep(3.0)
        assert registered(world) == set(world.instance_names)
        await world.stop()

    run_virtual(main())
