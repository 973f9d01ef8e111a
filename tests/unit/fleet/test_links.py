"""Choice of the peers that an instance is connected to, at hundreds of instances."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from returns.result import Success

from egretloft._internal.fleet.links import (
    LINK_GRACE_SECONDS,
    MAX_FULL_MESH,
    Links,
    create_links,
)
from egretloft._internal.fleet.models import JobState
from egretloft._internal.fleet.records import InstanceRecord
from lib.fleet_builders import StubClock, build_world, job_id, single_step
from lib.peer_fakes import FakePeers, PeerHub
from lib.virtual_time import run_virtual
from standins.fleet.store import StoreMode

ZONES = tuple(f"zone-{number}" for number in range(6))
INSTANCES = 97
# The leader, four candidates and one neighbour in each zone.
MAX_LINKS = 1 + 4 + len(ZONES)
LEADER = "instance-00"


class StubPeers(FakePeers):
    """Peers of which a test names those that are lost."""

    def __init__(self, lost: set[str]) -> None:
        super().__init__(PeerHub(), "", "")
        self.lost = lost

    def is_alive(self, instance_id: str) -> bool:
        return instance_id not in self.lost


@dataclass(slots=True)
class Fleet:
    """The instances of a deployment; the first ones have the largest machines."""

    count: int = INSTANCES
    lost: set[str] = field(default_factory=set)
    leader: str = LEADER
    clock: StubClock = field(default_factory=StubClock)

    def members(self) -> list[InstanceRecord]:
        return [
            InstanceRecord(
                f"instance-{number:02}",
                "",
                "",
                ZONES[number % len(ZONES)],
                "region",
                2.0 if number < 18 else 0.5,
            )
            for number in range(self.count)
        ]

    def links_of(self, own_id: str) -> Links:
        return create_links(
            own_id,
            self.members,
            lambda: self.leader,
            lambda: False,
            StubPeers(self.lost),
            self.clock,
        )


def chosen_ids(links: Links) -> set[str]:
    return {member.instance_id for member in links.choose()}


def test_small_deployments_are_fully_connected() -> None:
    fleet = Fleet(count=MAX_FULL_MESH)
    own_id = "instance-03"
    others = {m.instance_id for m in fleet.members()} - {own_id}
    assert chosen_ids(fleet.links_of(own_id)) == others


def test_links_do_not_grow_with_the_number_of_instances() -> None:
    """Guards against an idle instance whose cost grows with the deployment."""
    for count in (29, 97, 300):
        fleet = Fleet(count=count)
        for member in fleet.members():
            links = chosen_ids(fleet.links_of(member.instance_id))
            assert len(links) <= MAX_LINKS
            assert member.instance_id not in links


def test_every_instance_links_the_leader_and_each_zone() -> None:
    fleet = Fleet(leader="instance-50")
    zones = {m.instance_id: m.zone for m in fleet.members()}
    for own_id in zones:
        links = chosen_ids(fleet.links_of(own_id))
        assert own_id == fleet.leader or fleet.leader in links
        assert {zones[linked] for linked in links} == set(ZONES)


def test_neighbours_are_spread_evenly() -> None:
    """Guards against an instance that half of the deployment connects to.

    Only the leader and the best candidates may be linked by all.
    """
    fleet = Fleet()
    inbound: dict[str, int] = {}
    for member in fleet.members():
        for linked in chosen_ids(fleet.links_of(member.instance_id)):
            inbound[linked] = inbound.get(linked, 0) + 1
    busy = [name for name, count in inbound.items() if count > INSTANCES / 3]
    assert len(busy) <= 6


def test_missing_candidates_are_replaced_after_the_grace_time() -> None:
    """Guards against followers that judge the succession by instances that are gone."""
    fleet = Fleet(leader="instance-04")
    links = fleet.links_of("instance-60")
    before = chosen_ids(links)
    fleet.lost |= {f"instance-{number:02}" for number in range(4)}
    fleet.clock.now += LINK_GRACE_SECONDS / 2
    assert chosen_ids(links) == before
    fleet.clock.now += LINK_GRACE_SECONDS
    after = chosen_ids(links)
    assert {f"instance-{number:02}" for number in range(8)} <= after
    fleet.lost.clear()
    assert chosen_ids(links) == before


def test_neighbour_of_a_lost_zone_does_not_use_up_links() -> None:
    fleet = Fleet()
    links = fleet.links_of("instance-61")
    links.choose()
    fleet.lost |= {m.instance_id for m in fleet.members() if m.zone == ZONES[0]}
    for _ in range(10):
        fleet.clock.now += LINK_GRACE_SECONDS
        chosen = chosen_ids(links)
    assert len(chosen) <= 2 * MAX_LINKS
    living = [m for m in fleet.members() if m.instance_id in chosen - fleet.lost]
    assert {m.zone for m in living} == set(ZONES[1:])


def test_leader_stops_orders_if_a_peer_it_is_not_linked_to_reaches_the_store() -> None:
    """Guards against two leaders while the store refuses the leader and its links.

    An instance that the leader has no connection to still reaches the store and takes
    over. The leader learns of it because every instance is connected to the leader.
    """

    async def main() -> None:
        world = build_world(instance_count=24)
        await world.start()
        assert isinstance(await world.submit(job_id(1), single_step(4), 8.0), Success)
        leading = world.leader_name()
        assert leading is not None
        former = world.processes[leading]
        await asyncio.sleep(1.0)
        refused = {leading, *former.instance.links.linked_since}
        assert len(refused) < len(world.processes)
        leader = former.instance.leader
        assert leader is not None
        for name in refused:
            world.processes[name].store.mode = StoreMode.REFUSES
        await asyncio.sleep(4.0)
        assert not former.instance.store.peers_lack_store()
        assert not leader.may_issue_orders()
        assert world.leader_name() not in (None, leading)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 10.0)
        await world.stop()
        assert world.checker.violations == []
        assert world.checker.starts == 4

    run_virtual(main())


def test_last_instance_of_many_takes_over() -> None:
    """Guards against a takeover that waits for candidates that are all lost at once."""

    async def main() -> None:
        world = build_world(instance_count=24)
        await world.start()
        await asyncio.sleep(1.0)
        survivor = "instance-7"
        for name in list(world.processes):
            if name != survivor:
                await world.kill(name)
        started = world.clock.boottime()
        while world.leader_name() != survivor:
            assert world.clock.boottime() - started < 4.0
            await asyncio.sleep(0.05)
        assert isinstance(await world.submit(job_id(1), single_step(4), 1.0), Success)
        assert await world.wait_for_state(job_id(1), JobState.COMPLETE, 6.0)
        await world.stop()
        assert world.checker.violations == []

    run_virtual(main())
