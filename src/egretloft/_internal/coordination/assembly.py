"""All parts of the coordination of one instance, wired together."""

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

# How often each part is to be called by the timer service.
REFRESH_PERIOD_SECONDS = 1.0
BEAT_PERIOD_SECONDS = 1.0
TICK_PERIOD_SECONDS = 0.25


@dataclass(slots=True, frozen=True)
class Coordination:
    """The parts of one instance; all commits of the instance use ``writer``."""

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
    """Return the coordination of an instance that has not joined."""
    writer = create_safe_writer(table, clock, metrics, generator)
    membership = create_membership(member, writer)
    view = create_view(table, network, membership, clock, metrics)
    roster = create_roster(membership, view, network, clock, metrics, is_listed)
    ownership = create_ownership(membership, view, roster, clock, metrics)
    configuration = create_configuration(
        membership, view, roster, metrics, feasible, known_zones
    )
    return Coordination(writer, view, roster, ownership, configuration)
