"""Configuration: of concurrent changes one is accepted, the others are refused."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from returns.result import Success

from egretloft._internal.models.outcomes import (
    OutcomeKind,
    Reason,
    Refusal,
    not_run,
)
from egretloft._internal.models.profiles import Profile
from lib.builders import build_profile
from lib.fakes import Fault, MemoryTable
from lib.nodes import Site
from lib.virtual_time import run_virtual


async def test_racing_operators_get_one_acceptance_and_conflicts() -> None:
    """Guards against the change of one operator overwriting another's.

    Three instances accept a change of the same configuration version at once.
    """
    site = Site()
    nodes = await site.start_nodes("a", "b", "c")
    results = await asyncio.gather(
        *(
            node.parts.configuration.put_profile(build_profile(f"org-{n}"), 0)
            for n, node in enumerate(nodes)
        )
    )
    accepted = [r.unwrap() for r in results if isinstance(r, Success)]
    refused = [r.failure().reason for r in results if not isinstance(r, Success)]
    assert accepted == [1]
    assert refused == [Reason.CONFLICT] * 2
    await site.run(0.25)
    assert {node.parts.view.config_version for node in nodes} == {1}
    assert all(len(node.parts.view.profiles) == 1 for node in nodes)


async def test_feasibility_is_checked_with_the_profiles_of_the_head() -> None:
    """Guards against profiles that are feasible one by one but not together.

    A second profile is added whose guarantees fit only without the first.
    """
    seen: list[list[str]] = []

    def feasible(profiles: Collection[Profile]) -> Refusal | None:
        seen.append([profile.name for profile in profiles])
        if len(profiles) < 2:
            return None
        return not_run(Reason.INFEASIBLE_GUARANTEES, "two do not fit")

    site = Site()
    node = site.add("a", feasible)
    await node.parts.roster.join()
    await site.run(1.0)
    change = node.parts.configuration
    assert (await change.put_profile(build_profile("org-a"), 0)).unwrap() == 1
    refused = await change.put_profile(build_profile("org-b"), 1)
    assert refused.failure().reason is Reason.INFEASIBLE_GUARANTEES
    assert seen == [["org-a"], ["org-a", "org-b"]]
    assert (await change.retire_profile("org-a", 1)).unwrap() == 2
    assert (await change.put_profile(build_profile("org-b"), 2)).unwrap() == 3
    unknown = await change.retire_profile("org-a", 3)
    assert unknown.failure().reason is Reason.UNKNOWN_PROFILE
    zone = await change.set_zone("zone-9", False, 3)
    assert zone.failure().reason is Reason.UNKNOWN_ZONE
    assert "zone-1, zone-2" in zone.failure().hint
    profile = build_profile("org-c", zones=("zone-1", "zone-9"))
    misspelt = await change.put_profile(profile, 3)
    assert misspelt.failure().reason is Reason.UNKNOWN_ZONE
    assert "zone-9" in misspelt.failure().message


def test_change_with_unknown_outcome_is_settled_before_an_agreement() -> None:
    """Guards against a change that takes effect unseen during an outage agreement.

    The answer to a change is lost, so it may take effect, and then no instance can
    reach the store.
    """

    async def run() -> None:
        site = Site()
        a, b = await site.start_nodes("a", "b")
        b.parts.writer.table = MemoryTable(site.state, Fault.LOST_ANSWER)
        unknown = await b.parts.configuration.set_zone("zone-1", False, 0)
        assert unknown.failure().kind is OutcomeKind.UNKNOWN
        site.outage()
        await site.run(3.0, step=1.0)
        assert not a.parts.view.is_fresh()
        site.outage(Fault.NONE)
        b.parts.writer.table = b.table
        await site.run(2.0)
        assert not a.parts.view.zone_in_service("zone-1")
        site.outage()
        await site.run(3.0, step=1.0)
        assert a.parts.view.is_fresh()

    run_virtual(run())


async def test_change_in_an_outage_is_not_run() -> None:
    """Guards against a zone change that is reported as made but is not.

    The zone is taken out of service while the store is down.
    """
    site = Site()
    (node,) = await site.start_nodes("a")
    site.outage()
    refused = await node.parts.configuration.set_zone("zone-1", False, 0)
    assert refused.failure().kind is OutcomeKind.NOT_RUN
    assert refused.failure().reason is Reason.STORE_UNAVAILABLE
