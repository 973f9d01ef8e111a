"""The interface of the peer network for other packages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from returns.result import Result

from egretloft._internal.models.members import Member
from egretloft._internal.models.outcomes import Reason

Handler = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]
HeartbeatSource = Callable[[], dict[str, Any]]


class PeerFailureKind(StrEnum):
    """Whether a failed call may have had an effect."""

    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class PeerFailure:
    """A call to another instance that did not succeed."""

    kind: PeerFailureKind
    reason: Reason
    message: str


CallResult = Result[dict[str, Any], PeerFailure]


@dataclass(slots=True, frozen=True)
class DatedHeartbeat:
    """The body of a peer's last heartbeat and the seconds since it arrived."""

    instance_id: str
    body: dict[str, Any]
    age_seconds: float


class Peers(Protocol):
    """Calls to the other instances, and heartbeats between them."""

    heartbeat_sources: list[HeartbeatSource]

    async def call(
        self,
        instance_id: str,
        call_type: str,
        body: dict[str, Any],
        timeout_seconds: float,
    ) -> CallResult:
        """Call a handler of another instance, or of this one."""

    def register(self, call_type: str, handler: Handler) -> None:
        """Let ``handler`` answer calls of type ``call_type``."""

    def set_members(self, members: Collection[Member]) -> None:
        """Keep connections to exactly these instances, except this one."""

    def is_alive(self, instance_id: str) -> bool:
        """Return whether the instance was heard from recently."""

    def alive_ids(self) -> set[str]:
        """Return the instances that were heard from recently, on any stream.

        They may include instances that are not members.
        """

    def last_heartbeat(self, instance_id: str) -> dict[str, Any]:
        """Return the body of the last heartbeat, empty if the peer is not alive."""

    def inbound_heartbeats(self) -> list[dict[str, Any]]:
        """Return the last heartbeats of the instances that are connected to this one.

        They may include instances that are not members.
        """

    def dated_heartbeats(self) -> list[DatedHeartbeat]:
        """Return the last heartbeat of each live peer, on any stream."""
