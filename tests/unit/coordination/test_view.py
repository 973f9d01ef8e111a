"""View: fresh only while no instance can have changed the configuration since."""

from __future__ import annotations

from typing import Any

import pytest

from egretloft._internal.coordination.view import (
    AGREEMENT_LIMIT_SECONDS,
    VIEW_QUERY,
)
from egretloft._internal.platform.protocols import Row
from lib.fakes import Fault, MemoryTable
from lib.nodes import Node, Site


def cut(site: Site, one: Node, other: Node) -> None:
    site.hub.cut.add(frozenset({one.member.peer_address, other.member.peer_address}))


async def test_view_is_fresh_for_its_time_only() -> None:
    """Guards against a frozen instance that starts work on an old view.

    Its process resumes after its view has expired.
    """
    site = Site()
    (node,) = await site.start_nodes("a")
    site.clock.advance(2.5)
    assert node.parts.view.is_fresh()
    site.clock.advance(0.01)
    assert not node.parts.view.is_fresh()


async def test_older_rows_and_lagging_scans_are_refused() -> None:
    """Guards against a lagging replica that reverts the configuration.

    A scan or a row from a replica is older than what this instance has already read.
    """
    site = Site()
    (node,) = await site.start_nodes("a")
    view = node.parts.view
    assert (await node.parts.configuration.set_zone("zone-1", False, 0)).unwrap() == 1
    old = Row("control/zone/zone-1", b"", 1)
    view._merge((old,), 1)
    assert not view.zone_in_service("zone-1")
    site.clock.advance(3.0)
    site.state.version -= 1
    await view.refresh()
    assert view.reachable_since is None
    assert view.metrics.counter("view_scan_failures", reason="lagging") == 1


async def test_cut_off_instance_is_confirmed_through_a_peer() -> None:
    """Guards against an instance without the store that stops or misses a change.

    One instance cannot reach the store, while its peer can. Later its link to the peer
    is cut as well.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    a.table.fault = Fault.DOWN
    await b.parts.configuration.set_zone("zone-1", False, 0)
    await site.run(3.0)
    assert a.parts.view.is_fresh()
    assert not a.parts.view.zone_in_service("zone-1")
    assert a.parts.view.agreed_at is None
    cut(site, a, b)
    await site.run(3.0)
    assert not a.parts.view.is_fresh()


async def test_outage_agreement_holds_for_its_limit() -> None:
    """Guards against an outage that stops all work, and an agreement that never ends.

    No instance can reach the store for longer than the limit of an agreement.
    """
    site = Site()
    nodes = await site.start_nodes("a", "b", "c")
    site.outage()
    await site.run(30.0, step=1.0)
    assert all(node.parts.view.is_fresh() for node in nodes)
    await site.run(AGREEMENT_LIMIT_SECONDS - 32.0, step=1.0)
    assert all(node.parts.view.is_fresh() for node in nodes)
    await site.run(6.0)
    assert not any(node.parts.view.is_fresh() for node in nodes)


async def test_single_instance_agrees_with_itself() -> None:
    """Guards against a single-instance deployment that stops in every outage.

    It has no peers that it could ask when the store is down.
    """
    site = Site()
    (node,) = await site.start_nodes("a")
    site.outage()
    await site.run(10.0)
    assert node.parts.view.is_fresh()


@pytest.mark.parametrize("silent", [True, False])
async def test_no_agreement_without_every_member(silent: bool) -> None:
    """Guards against work in a zone that another instance took out of service.

    That instance is cut off from its peers, or has a change of its own in flight, while
    the peers cannot reach the store.
    """
    site = Site()
    a, b, c = await site.start_nodes("a", "b", "c")
    a.table.fault = b.table.fault = Fault.DOWN
    cut(site, a, c)
    cut(site, b, c)
    if not silent:
        site.hub.cut.clear()
        # It cannot read the store, and a change of its own may still take effect.
        c.table.fault = Fault.DOWN
        c.parts.view.membership.unresolved = True
    await site.run(4.0)
    assert not a.parts.view.is_fresh()
    assert not b.parts.view.is_fresh()


async def test_instance_that_joins_in_an_outage_is_not_asked_and_does_not_agree() -> (
    None
):
    """Guards against an instance that serves without having been registered.

    It starts during an outage, so it has no row on the roster.
    """
    site = Site()
    (a,) = await site.start_nodes("a")
    site.outage()
    joining = site.add("b")
    joining.table.fault = Fault.DOWN
    await joining.parts.roster.join()
    await site.run(5.0)
    assert a.parts.view.is_fresh()
    assert not joining.parts.view.is_fresh()
    assert not joining.parts.roster.is_full_member()


async def test_acknowledged_joining_instance_takes_part_in_agreements() -> None:
    """Guards against an agreement that leaves out a member not yet in the view.

    An instance joins while another one cannot read the store, and then changes a zone.
    """
    site = Site()
    (a,) = await site.start_nodes("a")
    a.table.fault = Fault.DOWN
    joining = site.add("b")
    await joining.parts.roster.join()
    await site.run(1.0, joining)
    assert joining.parts.roster.is_full_member()
    assert "b" not in a.parts.view.members
    cut(site, a, joining)
    await joining.parts.configuration.set_zone("zone-1", False, 0)
    await site.run(3.0)
    assert not a.parts.view.is_fresh()


async def test_peers_refuse_agreement_to_whom_they_do_not_know() -> None:
    """Guards against an agreement between a removed instance and its former peers.

    The query comes from an incarnation that is not on the peer's roster.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    site.outage()
    await site.run(1.0)
    query = {"instance_id": "a", "incarnation": a.member.incarnation, "after": 0}
    assert (await b.parts.view.answer_query("a", query))["agrees"]
    query["incarnation"] = "other"
    assert not (await b.parts.view.answer_query("a", query))["agrees"]


async def test_no_agreement_while_a_peer_knows_more_members() -> None:
    """Guards against an agreement without a member that only a peer has read.

    A peer's answer lists a member that the asking instance does not know.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    handler = b.parts.view.answer_query

    async def with_stranger(instance_id: str, body: dict[str, Any]) -> dict[str, Any]:
        answer = await handler(instance_id, body)
        members = (*answer["members"], ("c", "x9"))
        return {**answer, "members": members, "confirmed_age": None}

    b.parts.view.network.register(VIEW_QUERY, with_stranger)
    site.outage()
    await site.run(4.0)
    assert not a.parts.view.is_fresh()


async def test_no_agreement_with_an_own_change_that_was_not_read_back() -> None:
    """Guards against a change that only its author knows when an outage begins.

    One instance commits a change, but no instance can scan the store any more.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    b.parts.writer.table = MemoryTable(site.state)
    site.outage()
    assert (await b.parts.configuration.set_zone("zone-1", False, 0)).unwrap() == 1
    await site.run(4.0)
    assert not a.parts.view.is_fresh()


async def test_unregistered_instance_does_not_agree_with_itself() -> None:
    """Guards against an instance that agrees with itself without being registered.

    It has read the store but has not joined when the outage begins.
    """
    site = Site()
    node = site.add("a")
    await node.parts.view.refresh()
    site.outage()
    for _ in range(4):
        site.clock.advance(1.0)
        await node.parts.view.refresh()
    assert not node.parts.view.is_fresh()
