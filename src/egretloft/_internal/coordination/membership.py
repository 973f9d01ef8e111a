"""This instance's membership: the row that fences its writes, and acknowledgements.

An outage agreement is sound only if no participant has a change on its way that the
others have not seen. So every write that only a member may make goes through
``Membership.commit``, and ``settled`` says whether all of them are accounted for.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from egretloft._internal.codec import encode
from egretloft._internal.coordination.rows import MEMBERSHIP_PREFIX, MembershipRow
from egretloft._internal.coordination.writer import CommitResult, SafeWriter
from egretloft._internal.models.members import Member
from egretloft._internal.platform.protocols import (
    Check,
    Committed,
    StoreFailure,
    StoreFailureKind,
    Write,
)

SETTLE_SECONDS = 1.0

# Instance id and incarnation.
Identity = tuple[str, str]


def identity(member: Member) -> Identity:
    """Return what tells one process start from all others."""
    return member.instance_id, member.incarnation


@dataclass(slots=True, frozen=True)
class Acknowledged:
    """A joining instance that was promised to be asked before an agreement.

    ``version`` is the store version of its registration; a view that includes
    this version shows by itself whether the instance is on the roster.
    """

    member: Member
    version: int


class Membership:
    """State shared by roster, view, ownership and configuration of one instance.

    ``row_version`` is the version of this instance's membership row, 0 while it is
    not registered.
    """

    def __init__(self, member: Member, writer: SafeWriter) -> None:
        self.member = member
        self.writer = writer
        self.key = MEMBERSHIP_PREFIX + member.instance_id
        self.value = encode(MembershipRow(member.incarnation))
        self.row_version = 0
        self.acknowledged: dict[Identity, Acknowledged] = {}
        self.in_progress = 0
        # A write ended with unknown outcome and may still take effect.
        self.unresolved = False
        # Number of completed changes, and how many of them a scan has covered.
        self.changes = 0
        self.changes_seen = 0

    @property
    def settled(self) -> bool:
        """Whether the view includes every change that was sent from here."""
        return (
            self.in_progress == 0
            and not self.unresolved
            and self.changes_seen == self.changes
        )

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> CommitResult:
        """Commit ``writes`` if this instance is still a member as it knows it."""
        if self.row_version == 0:
            message = "this instance is not on the roster"
            return Failure(StoreFailure(StoreFailureKind.NOT_APPLIED, message))
        fence = Check(self.key, self.row_version)
        return await self.commit_unfenced((fence, *checks), writes, timeout_seconds)

    async def commit_unfenced(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> CommitResult:
        """Commit a change of the membership rows themselves."""
        self.in_progress += 1
        result: Result[Committed, StoreFailure] | None = None
        try:
            result = await self.writer.commit(checks, writes, timeout_seconds)
            return result
        finally:
            self.in_progress -= 1
            if isinstance(result, Success):
                self.changes += 1
                # Without its version, a lagging scan could seem to cover it.
                self.unresolved |= result.unwrap().version == 0
            elif result is None or result.failure().kind is StoreFailureKind.UNKNOWN:
                self.unresolved = True

    def set_row_version(self, version: int) -> None:
        """Adopt a new version of the own membership row.

        Earlier writes with unknown outcome checked an older version, so from here
        on they can no longer take effect.
        """
        self.row_version = version
        self.changes += 1
        self.unresolved = self.in_progress > 0

    async def settle(self) -> None:
        """Make sure that no earlier write with unknown outcome takes effect late."""
        if not self.unresolved or self.in_progress or not self.row_version:
            return
        check = Check(self.key, self.row_version)
        write = Write(self.key, self.value)
        result = await self.commit_unfenced((check,), (write,), SETTLE_SECONDS)
        if isinstance(result, Success) and result.unwrap().version:
            self.set_row_version(result.unwrap().version)

    def forget_covered(self, as_of: int) -> None:
        """Drop acknowledgements for which a view at ``as_of`` speaks."""
        for key, acknowledged in list(self.acknowledged.items()):
            if acknowledged.version <= as_of:
                del self.acknowledged[key]


def create_membership(member: Member, writer: SafeWriter) -> Membership:
    """Return the state of an instance that is not registered yet."""
    return Membership(member, writer)
