"""Members of the roster of entry instances."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Member:
    """An entry instance on the roster.

    ``incarnation`` is drawn at random at each process start, so that a restarted
    process that reuses an instance id is not taken for the former one. ``address``
    is ``host:port`` of the HTTP interface, ``peer_address`` that of the streams
    between instances.
    """

    instance_id: str
    incarnation: str
    address: str
    peer_address: str
    region: str
    zone: str
