"""Ownership: never two owners at once, and a successor within seconds."""

from __future__ import annotations

from lib.fakes import Fault
from lib.nodes import Node, Site, lose_first_outcome

GANGS = "gangs/region-1"


async def start(*instance_ids: str) -> tuple[Site, Node, list[Node]]:
    """Return a site, the instance that owns ``GANGS``, and the other instances."""
    site = Site()
    nodes = await site.start_nodes(*instance_ids)
    for node in nodes:
        node.parts.ownership.set_candidates([GANGS])
    await site.run(2.0)
    (owner,) = [node for node in nodes if node.parts.ownership.holds(GANGS)]
    return site, owner, [node for node in nodes if node is not owner]


async def test_successor_waits_longer_than_the_owner_acts() -> None:
    """Guards against two owners when one freezes.

    The owner's process freezes, another instance takes over, and the owner resumes.
    """
    site, owner, (other,) = await start("a", "b")
    epoch = owner.parts.ownership.holds(GANGS)
    assert epoch is not None
    assert other.parts.ownership.owner_of(GANGS) == owner.member
    renewed_at = owner.parts.ownership.holdings[GANGS].renewed_at
    while other.parts.ownership.holds(GANGS) is None:
        await site.run(0.25, other)
        acting = owner.parts.ownership.holds(GANGS) is not None
        assert acting == (site.clock.monotonic() - renewed_at < 2.0)
    assert 3.0 <= site.clock.monotonic() - renewed_at <= 4.0
    successor = other.parts.ownership.holds(GANGS)
    assert successor is not None
    assert successor.number == epoch.number + 1
    # The former owner's writes are fenced by the epoch row.
    assert site.state.rows[epoch.key].version == successor.version
    await site.run(1.0)
    assert owner.parts.ownership.holds(GANGS) is None


async def test_failed_scan_restarts_the_takeover_wait() -> None:
    """Guards against a takeover that is based on scans with a gap.

    One scan of the candidate fails during the takeover wait.
    """
    site, _, (other,) = await start("a", "b")
    await site.run(2.5, other)
    other.table.fault, other.table.fault_calls = Fault.DOWN, 1
    await site.run(2.5, other)
    assert other.parts.ownership.holds(GANGS) is None


async def test_owner_acts_through_an_agreed_outage_only() -> None:
    """Guards against an outage that stops the owner, and a cut-off owner that acts.

    First no instance can reach the store; later only the owner cannot.
    """
    site, owner, others = await start("a", "b", "c")
    site.outage()
    await site.run(10.0)
    assert owner.parts.ownership.holds(GANGS) is not None
    site.outage(Fault.NONE)
    await site.run(2.0)
    owner.table.fault = Fault.DOWN
    await site.run(6.0)
    assert owner.parts.ownership.holds(GANGS) is None
    assert [n for n in others if n.parts.ownership.holds(GANGS)]


async def test_released_partition_is_taken_at_once() -> None:
    """Guards against a planned stop that leaves a partition without owner for seconds.

    The owner releases its partition, so the successor need not wait.
    """
    site, owner, others = await start("a", "b")
    changes: list[tuple[str, bool]] = []
    owner.parts.ownership.subscribe(lambda *change: changes.append(change))
    await owner.parts.ownership.release_all()
    assert changes == [(GANGS, False)]
    await site.run(0.75)
    assert others[0].parts.ownership.holds(GANGS) is not None


async def test_claim_found_late_is_acted_on_after_the_takeover_wait() -> None:
    """Guards against acting beside a previous owner that still acts.

    The answer to a claim is lost, so the new owner learns late that it succeeded. In
    between, the previous owner may have agreed to an outage with a peer.
    """
    site, _, (other,) = await start("a", "b")
    await site.run(1.5, other)
    membership = other.parts.view.membership
    membership.commit = lose_first_outcome(membership.commit)  # type: ignore[method-assign]
    await site.run(2.0, other)
    assert GANGS in other.parts.ownership.holdings
    assert other.parts.ownership.holds(GANGS) is None
    await site.run(3.0, other)
    assert other.parts.ownership.holds(GANGS) is not None


async def test_outage_agreement_does_not_revive_a_former_owner() -> None:
    """Guards against a previous owner that acts on an outage agreement.

    It was frozen while another instance took over, and resumes during an outage.
    """
    site, owner, (other,) = await start("a", "b")
    await site.run(5.0, other)
    assert other.parts.ownership.holds(GANGS) is not None
    site.outage()
    await site.run(1.0, other)
    await owner.parts.view.refresh()
    assert owner.parts.view.agreed_at is not None
    assert owner.parts.ownership.holds(GANGS) is None
