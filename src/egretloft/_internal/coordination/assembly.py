"""Creates the coordination components of one instance and connects them."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from egretloft._internal.coordination.configuration import (
    Configuration,
    Feasible,
    create_configuration,
)
from egretloft._internal.coordination.membership import create_membership
from egretloft._internal.coordination.ownership import Ownership, create_ownership
from egretloft._internal.coordination.roster import Roster, create_roster
from egretloft._internal.coordination.view import View, create_view
from egretloft._internal.coordination.writer import SafeWriter, create_safe_writer
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.members import Member
from egretloft._internal.peers.protocols import Peers
from egretloft._internal.platform.protocols import Clock, TableService

# Periods at which the caller runs ``view.refresh``, ``roster.beat`` and
# ``ownership.tick``.
REFRESH_PERIOD_SECONDS = 1.0
BEAT_PERIOD_SECONDS = 1.0
TICK_PERIOD_SECONDS = 0.25


@dataclass(slots=True, frozen=True)
class Coordination:
    """The components of one instance, which all commit through ``writer``."""

    writer: SafeWriter
    view: View
    roster: Roster
    ownership: Ownership
    configuration: Configuration


def create_coordination(
    member: Member,
    table: TableService,
    network: Peers,
    clock: Clock,
    metrics: Metrics,
    generator: random.Random,
    feasible: Feasible,
    known_zones: Callable[[], Collection[str]],
    is_listed: Callable[[str], bool],
) -> Coordination:
    """Return the components of an instance that has not joined the roster yet.

    ``feasible`` and ``known_zones`` are described at ``create_configuration``,
    ``is_listed`` at ``create_roster``.
    """
    writer = create_safe_writer(table, clock, metrics, generator)
    membership = create_membership(member, writer)
    view = create_view(table, network, membership, clock, metrics)
    roster = create_roster(membership, view, network, clock, metrics, is_listed)
    ownership = create_ownership(membership, view, roster, clock, metrics)
    configuration = create_configuration(
        membership, view, roster, metrics, feasible, known_zones
    )
    return Coordination(writer, view, roster, ownership, configuration)
