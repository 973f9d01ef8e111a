"""Roster: joining, full membership, and removal of silent instances."""

from __future__ import annotations

from lib.fakes import Fault, MemoryTable
from lib.nodes import Site, lose_first_outcome


async def test_full_membership_needs_every_acknowledgement() -> None:
    """Guards against a full member that another one does not ask before an agreement.

    The link between a joining instance and one of the members is cut.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    joining = site.add("c")
    cut = frozenset({b.member.peer_address, joining.member.peer_address})
    site.hub.cut.add(cut)
    await joining.parts.roster.join()
    await site.run(20.0)
    assert not joining.parts.roster.is_full_member()
    site.hub.cut.clear()
    await site.run(1.0)
    assert joining.parts.roster.is_full_member()
    assert a.parts.roster.is_full_member()


async def test_silent_instance_is_removed_and_joins_again() -> None:
    """Guards against a dead instance that blocks agreements, and one that resumes.

    One instance stops writing beats, is removed, and resumes without knowing that.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    await site.run(9.0, a)
    assert "b" in a.parts.view.members
    await site.run(4.0, a)
    assert "b" not in a.parts.view.members
    # It resumes and does not know yet that it was removed.
    assert b.parts.roster.is_full_member()
    lost = await b.parts.configuration.set_zone("zone-1", False, 0)
    assert lost.failure().reason == "not_member"
    await site.run(3.0)
    assert b.parts.roster.is_full_member()


async def test_joining_instance_waits_longer_for_a_listed_one() -> None:
    """Guards against removing a member that is in an outage agreement.

    A joining instance that cannot reach a member finds its row unchanged.
    """
    site = Site(listed={"a"})
    await site.start_nodes("a")
    joining = site.add("b")
    site.hub.networks.pop(site.nodes[0].member.peer_address)
    await joining.parts.roster.join()
    await site.run(14.9 * 60, joining, step=1.0)
    assert "a" in joining.parts.view.members
    assert not joining.parts.roster.is_full_member()
    await site.run(12.0, joining)
    assert joining.parts.roster.is_full_member()
    unlisted = Site()
    await unlisted.start_nodes("a")
    joining = unlisted.add("b")
    unlisted.hub.networks.pop(unlisted.nodes[0].member.peer_address)
    await joining.parts.roster.join()
    await unlisted.run(14.0, joining)
    assert joining.parts.roster.is_full_member()


async def test_failing_writes_remove_nobody() -> None:
    """Guards against the removal of all others by the first writer after an outage.

    Writes fail while reads succeed, so all rows on the roster stay unchanged.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    for node in (a, b):
        node.parts.writer.table = MemoryTable(site.state, Fault.DOWN)
    await site.run(20.0, a, b)
    assert set(a.parts.view.members) == {"a", "b"}


async def test_restart_under_the_same_id_replaces_the_running_process() -> None:
    """Guards against two processes that act as one member.

    A process is started under the id of one that is still running.
    """
    site = Site()
    a, replaced = await site.start_nodes("a", "b")
    replacement = site.add("b")
    await replacement.parts.roster.join()
    refused = await replaced.parts.configuration.set_zone("zone-1", False, 0)
    assert refused.failure().reason == "not_member"
    await site.run(2.0)
    assert replacement.parts.roster.is_full_member()
    assert replaced.parts.roster.superseded
    assert a.parts.view.members["b"].incarnation == replacement.member.incarnation


async def test_lost_answer_of_the_registration_is_adopted() -> None:
    """Guards against an instance that never joins because its row already exists.

    The registration takes effect, but its answer is lost.
    """
    site = Site()
    node = site.add("a")
    membership = node.parts.view.membership
    membership.commit_unfenced = lose_first_outcome(  # type: ignore[method-assign]
        membership.commit_unfenced
    )
    await node.parts.roster.join()
    await site.run(1.0, node)
    assert node.parts.roster.is_full_member()


async def test_leaving_removes_the_rows() -> None:
    """Guards against a planned stop that blocks agreements for 10 s.

    Without the removal of its rows, the others would ask a stopped instance until it
    counts as silent.
    """
    site = Site()
    a, b = await site.start_nodes("a", "b")
    await b.parts.roster.leave()
    assert not b.parts.roster.is_full_member()
    await site.run(0.5)
    assert set(a.parts.view.members) == {"a"}
