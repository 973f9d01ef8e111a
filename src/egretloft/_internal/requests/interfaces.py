"""Interfaces that the request path uses from the other packages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from returns.result import Result

from egretloft._internal.models.profiles import Profile
from egretloft._internal.models.topology import InstanceRecord
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    StoreFailure,
    Write,
)


class Member(Protocol):
    """An entry instance on the roster."""

    @property
    def instance_id(self) -> str:
        """Return the id; a process restarted with a configured id keeps it."""

    @property
    def incarnation(self) -> str:
        """Return what tells apart the processes with the same id."""


class Epoch(Protocol):
    """A term of ownership of a partition."""

    @property
    def number(self) -> int:
        """Return the number, which grows with every change of owner."""


class View(Protocol):
    """This instance's copy of the configuration and the roster."""

    @property
    def profiles(self) -> Mapping[str, Profile]:
        """Return the profiles by name."""

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the roster by instance id."""

    def is_fresh(self) -> bool:
        """Return whether the view is recent enough to act on."""

    def zone_in_service(self, zone: str, /) -> bool:
        """Return whether work may start in the zone."""


class Ownership(Protocol):
    """Ownership of partitions."""

    def holds(self, partition: str, /) -> Epoch | None:
        """Return the epoch while this instance may act as the owner."""

    def owner_of(self, partition: str, /) -> Member | None:
        """Return the owner that the view shows."""


class Topology(Protocol):
    """The last instance list."""

    @property
    def runners(self) -> Mapping[str, InstanceRecord]:
        """Return the listed runners by id."""

    def is_leaving(self, instance_id: str, /) -> bool:
        """Return whether the instance must get no new work."""


class PeerFailure(Protocol):
    """A call to another entry instance that did not succeed."""

    @property
    def kind(self) -> str:
        """Return ``not_sent`` or ``unknown``."""

    @property
    def reason(self) -> str:
        """Return the reason, ``peer_overloaded`` for a full send buffer."""


class PeerNetwork(Protocol):
    """Calls to the other entry instances."""

    async def call(
        self,
        instance_id: str,
        type_: str,
        body: dict[str, Any],
        timeout_seconds: float,
        /,
    ) -> Result[Mapping[str, Any], PeerFailure]:
        """Call a handler of another instance."""

    def is_alive(self, instance_id: str, /) -> bool:
        """Return whether heartbeats of the instance arrive."""

    def last_heartbeat(self, instance_id: str, /) -> Mapping[str, Any] | None:
        """Return the merged heartbeat fields of the instance."""


class SafeWriter(Protocol):
    """Writes whose outcome is learned even when an answer is lost."""

    async def commit(
        self,
        checks: tuple[Check, ...],
        writes: tuple[Write, ...],
        timeout_seconds: float,
        /,
    ) -> Result[Committed, StoreFailure]:
        """Apply the writes if every check holds."""
