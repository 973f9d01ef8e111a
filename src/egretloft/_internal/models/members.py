"""Entry instances on the roster."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Member:
    """An entry instance on the roster.

    ``incarnation`` is chosen at random at each process start, so that a restarted
    process with the same instance id is not mistaken for the previous one. ``address``
    is ``host:port`` of the HTTP interface, ``peer_address`` that of the connections
    between instances.
    """

    instance_id: str
    incarnation: str
    address: str
    peer_address: str
    region: str
    zone: str
