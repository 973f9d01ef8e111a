"""The roster: joining, heartbeats in the store (beats), leaving, and removal.

Instances whose beats stop are removed from the roster by the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from returns.result import Failure, Success

from egretloft._internal.codec import encode
from egretloft._internal.coordination.membership import (
    AcknowledgedInstance,
    Identity,
    Membership,
    identity,
)
from egretloft._internal.coordination.rows import (
    INSTANCE_PREFIX,
    MEMBERSHIP_PREFIX,
    InstanceRow,
)
from egretloft._internal.coordination.view import View
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.members import Member
from egretloft._internal.peers.protocols import Peers
from egretloft._internal.platform.protocols import Check, Clock, Write

# Beats are written every 3 s. The value is a little below that, because ``beat`` may
# be called slightly early.
BEAT_SECONDS = 2.9
REMOVE_SECONDS = 10.0
# Longer than an outage agreement can last, which is AGREEMENT_LIMIT_SECONDS (view.py).
REMOVE_LISTED_SECONDS = 15 * 60.0
WRITE_SECONDS = 1.5
ACKNOWLEDGE_SECONDS = 1.0
ACKNOWLEDGE = "roster_acknowledge"

log = structlog.get_logger(__name__)


class AcknowledgeQuery(msgspec.Struct, frozen=True):
    """Request of a joining instance; ``version`` is that of its registration."""

    member: Member
    version: int


class Roster:
    """Keeps this instance on the roster and removes instances that are silent.

    A *full member* has been acknowledged by every instance on the roster. All of them
    ask it before an outage agreement, so it may claim partitions and change the
    configuration.
    """

    def __init__(
        self,
        membership: Membership,
        view: View,
        network: Peers,
        clock: Clock,
        metrics: Metrics,
        is_listed: Callable[[str], bool],
    ) -> None:
        self.membership = membership
        self.view = view
        self.network = network
        self.clock = clock
        self.metrics = metrics
        self.is_listed = is_listed
        self.key = INSTANCE_PREFIX + membership.member.instance_id
        self.row_version = 0
        self.beat_count = 0
        self.last_beat_at: float | None = None
        # Since when all beats of this instance have succeeded.
        self.beats_succeed_since: float | None = None
        self.registered_at = 0.0
        self.full = False
        self.leaving = False
        self.superseded = False
        # The incarnation whose row the first registration may overwrite.
        self.former_incarnation: str | None = None
        self.acknowledged_by: set[Identity] = set()
        self.lock = asyncio.Lock()
        network.register(ACKNOWLEDGE, self.answer_acknowledge)
        view.subscribe(self._on_change)

    def is_full_member(self) -> bool:
        """Return whether this instance may claim partitions and commit changes."""
        return self.full and self.view.is_registered()

    async def join(self) -> None:
        """Register and request full membership.

        If this fails, later calls of ``beat`` complete it.
        """
        await self.view.refresh()
        await self.beat()
        await self.view.refresh()
        await self.beat()

    async def beat(self) -> None:
        """Register, write a beat, request acknowledgements and remove others, as due.

        Call it about once a second; beats are written every 3 s.
        """
        async with self.lock:
            if self.leaving or self.superseded:
                return
            if self.membership.row_version == 0 or self._is_removed():
                await self._register()
                return
            self._adopt_versions()
            await self.membership.fence_unresolved_writes()
            await self._write_beat()
            if not self.full:
                await self._request_acknowledgements()
            await self._remove_silent()

    async def leave(self) -> None:
        """Remove this instance's rows. It does not register again afterwards."""
        async with self.lock:
            self.leaving = True
            self.full = False
            for _ in range(2):
                if self.membership.row_version == 0:
                    return
                result = await self.membership.commit_unfenced(
                    (
                        Check(self.key, self.row_version),
                        Check(self.membership.key, self.membership.row_version),
                    ),
                    (Write(self.key, None), Write(self.membership.key, None)),
                    WRITE_SECONDS,
                )
                if isinstance(result, Success):
                    self.membership.row_version = 0
                    return
                await self.view.refresh()
                self._adopt_versions()

    # Registration

    def _is_removed(self) -> bool:
        """Return whether the view shows that this registration is gone.

        Another instance removed it, or a newer process with this id replaced it. The
        membership state is then reset, so that this instance can register again.
        """
        if self.view.as_of < self.membership.row_version or self.view.is_registered():
            return False
        log.warning("this instance was removed from the roster")
        self.metrics.count("roster_removals", whose="own")
        self._reset_full_membership()
        self.membership.row_version = 0
        return True

    def _reset_full_membership(self) -> None:
        self.full = False
        self.acknowledged_by.clear()

    async def _register(self) -> None:
        """Write both rows, or adopt them when an earlier attempt took effect."""
        if self.view.store_seen_at is None:
            return  # Nothing has been read from the store yet.
        own = self.membership.member
        in_view = self.view.members.get(own.instance_id)
        if in_view is not None and in_view.incarnation == own.incarnation:
            self._reset_full_membership()
            self.registered_at = self.clock.monotonic()
            self._adopt_versions()
            return
        if self.former_incarnation is None:
            self.former_incarnation = in_view.incarnation if in_view else ""
        if in_view is not None and in_view.incarnation != self.former_incarnation:
            # A newer process uses this id. If this one took the row back, the two
            # would replace each other for ever.
            self.superseded = True
            log.error("another process has this instance id")
            self.metrics.count("roster_superseded")
            return
        sent = self.clock.monotonic()
        result = await self.membership.commit_unfenced(
            (
                Check(self.key, self.view.row_version(self.key)),
                Check(self.membership.key, self.view.row_version(self.membership.key)),
            ),
            (
                Write(self.key, encode(InstanceRow(own, 0))),
                Write(self.membership.key, self.membership.value),
            ),
            WRITE_SECONDS,
        )
        if isinstance(result, Success) and result.unwrap().version:
            version = result.unwrap().version
            self.membership.set_row_version(version)
            self._reset_full_membership()
            self.row_version = version
            self.beat_count = 0
            self.last_beat_at = sent
            self.registered_at = self.clock.monotonic()

    def _adopt_versions(self) -> None:
        """Adopt versions of rows that this instance wrote but whose answer was lost."""
        if not self.view.is_registered() and self.membership.row_version:
            return
        in_view = self.view.members.get(self.membership.member.instance_id)
        if in_view is None or identity(in_view) != identity(self.membership.member):
            return
        self.row_version = max(self.row_version, self.view.row_version(self.key))
        version = self.view.row_version(self.membership.key)
        if version > self.membership.row_version:
            # The row may have been removed and written again in between, so the
            # acknowledgements no longer count.
            self._reset_full_membership()
            self.membership.set_row_version(version)

    async def _write_beat(self) -> None:
        now = self.clock.monotonic()
        if self.last_beat_at is not None and now - self.last_beat_at < BEAT_SECONDS:
            return
        self.beat_count += 1
        row = InstanceRow(self.membership.member, self.beat_count)
        result = await self.membership.writer.commit(
            (Check(self.key, self.row_version),),
            (Write(self.key, encode(row)),),
            WRITE_SECONDS,
        )
        if isinstance(result, Failure):
            # Retried at the next call.
            self.beats_succeed_since = None
            self.metrics.count("roster_beat_failures")
            return
        self.last_beat_at = now
        self.row_version = max(self.row_version, result.unwrap().version)
        if self.beats_succeed_since is None:
            self.beats_succeed_since = self.clock.monotonic()

    # Full membership

    def _others(self) -> dict[Identity, Member]:
        members = {identity(member): member for member in self.view.members.values()}
        members.pop(identity(self.membership.member), None)
        return members

    async def _request_acknowledgements(self) -> None:
        # Wait until the view includes the own registration: it then shows everyone who
        # registered earlier, and whoever registers later sees this instance in its
        # first scan.
        if not self.view.is_registered():
            return
        version = self.membership.row_version
        missing = [
            member
            for key, member in self._others().items()
            if key not in self.acknowledged_by
        ]
        await asyncio.gather(
            *(self._request_acknowledgement(member, version) for member in missing)
        )
        if (
            self.view.is_registered()
            and self.membership.row_version == version
            and self._others().keys() <= self.acknowledged_by
        ):
            self.full = True
            log.info("became a full member of the roster")

    async def _request_acknowledgement(self, member: Member, version: int) -> None:
        query = AcknowledgeQuery(self.membership.member, version)
        result = await self.network.call(
            member.instance_id,
            ACKNOWLEDGE,
            msgspec.to_builtins(query),
            ACKNOWLEDGE_SECONDS,
        )
        if (
            result.value_or({}).get("acknowledged_by") == member.incarnation
            and self.membership.row_version == version
        ):
            self.acknowledged_by.add(identity(member))

    async def answer_acknowledge(
        self, instance_id: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Answer a joining instance with a promise to ask it before outage agreements.

        The answer is empty if the instance is no longer on the roster.
        """
        query = msgspec.convert(body, AcknowledgeQuery)
        key = identity(query.member)
        if self.view.as_of >= query.version:
            if key not in self._others():
                return {}  # It was registered, but is no longer on the roster.
        else:
            self.membership.acknowledged[key] = AcknowledgedInstance(
                query.member, query.version
            )
            self._update_network()
        return {"acknowledged_by": self.membership.member.incarnation}

    def _on_change(self, keys: set[str]) -> None:
        if any(key.startswith(INSTANCE_PREFIX) for key in keys):
            self._update_network()

    def _update_network(self) -> None:
        members = dict(self.view.members)
        # A newer process with the same id replaces the one in the view.
        for acknowledged in self.membership.acknowledged.values():
            members[acknowledged.member.instance_id] = acknowledged.member
        self.network.set_members(tuple(members.values()))

    # Removal of others

    def _is_silent(self, instance_id: str) -> bool:
        """Return whether the row was unchanged for long enough to be removed."""
        if self.view.reachable_since is None or self.beats_succeed_since is None:
            return False
        # When writes fail but reads succeed, no row changes. So time counts only while
        # the beats of this instance succeed.
        since = max(
            self.view.seen_at[INSTANCE_PREFIX + instance_id],
            self.view.reachable_since,
            self.beats_succeed_since,
        )
        limit = REMOVE_SECONDS
        if not self.full:
            # Another instance may not know this one yet and may be in an outage
            # agreement without it. Such an agreement is based on a scan before the own
            # registration, so time counts only from the registration.
            since = max(since, self.registered_at)
            if self.is_listed(instance_id):
                limit = REMOVE_LISTED_SECONDS
        return self.clock.monotonic() - since >= limit

    async def _remove_silent(self) -> None:
        for instance_id in list(self.view.members):
            if instance_id == self.membership.member.instance_id:
                continue
            # No await between this check and the start of the commit, so that this
            # instance cannot agree to an outage with a peer in between.
            if not self.view.is_registered() or not self._is_silent(instance_id):
                continue
            keys = (INSTANCE_PREFIX + instance_id, MEMBERSHIP_PREFIX + instance_id)
            result = await self.membership.commit(
                [Check(key, self.view.row_version(key)) for key in keys],
                [Write(key, None) for key in keys],
                WRITE_SECONDS,
            )
            if isinstance(result, Success):
                log.warning(
                    "silent instance removed from the roster", removed=instance_id
                )
                self.metrics.count("roster_removals", whose="other")


def create_roster(
    membership: Membership,
    view: View,
    network: Peers,
    clock: Clock,
    metrics: Metrics,
    is_listed: Callable[[str], bool],
) -> Roster:
    """Return the roster component of an instance that has not joined yet.

    ``is_listed`` returns whether the platform's list contains an instance. It must
    return true while the list has not been read.
    """
    return Roster(membership, view, network, clock, metrics, is_listed)
