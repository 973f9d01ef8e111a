"""Membership of this instance: the row that fences its writes, and acknowledgements.

During an outage of the store the instances may agree to go on with their last view.
That is safe only if no participant has a change in flight that the others have not
seen. So every write that only a member may make goes through ``Membership.commit``,
which tracks it, and ``own_changes_scanned`` says whether a scan has covered them all.
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

FENCE_TIMEOUT_SECONDS = 1.0

# Instance id and incarnation.
Identity = tuple[str, str]


def identity(member: Member) -> Identity:
    """Return the id and incarnation, which identify one start of a process."""
    return member.instance_id, member.incarnation


@dataclass(slots=True, frozen=True)
class AcknowledgedInstance:
    """A joining instance that this one promised to ask before an outage agreement.

    ``version`` is the store version of its registration; a view that includes
    this version shows whether the instance is on the roster.
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
        self.acknowledged: dict[Identity, AcknowledgedInstance] = {}
        self.in_progress = 0
        # Whether a write ended with unknown outcome and may still take effect.
        self.unresolved = False
        # Number of completed changes, and how many of them a scan has covered.
        self.changes = 0
        self.changes_scanned = 0

    @property
    def own_changes_scanned(self) -> bool:
        """Whether the view includes every change that this instance sent."""
        return (
            self.in_progress == 0
            and not self.unresolved
            and self.changes_scanned == self.changes
        )

    async def commit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_seconds: float,
    ) -> CommitResult:
        """Commit ``writes`` if the membership row still has the known version."""
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
        """Commit without checking the own membership row.

        For changes of the membership rows themselves; like ``commit`` it tracks
        the write.
        """
        self.in_progress += 1
        result: Result[Committed, StoreFailure] | None = None
        try:
            result = await self.writer.commit(checks, writes, timeout_seconds)
            return result
        finally:
            self.in_progress -= 1
            if isinstance(result, Success):
                self.changes += 1
                # Without its version, a scan of a lagging replica that lacks the
                # change would count as covering it.
                self.unresolved |= result.unwrap().version == 0
            elif result is None or result.failure().kind is StoreFailureKind.UNKNOWN:
                self.unresolved = True

    def set_row_version(self, version: int) -> None:
        """Record a new version of the own membership row.

        Earlier writes with unknown outcome checked an older version, so they can no
        longer take effect.
        """
        self.row_version = version
        self.changes += 1
        self.unresolved = self.in_progress > 0

    async def fence_unresolved_writes(self) -> None:
        """Rewrite the membership row to fence writes with unknown outcome, if any."""
        if not self.unresolved or self.in_progress or not self.row_version:
            return
        check = Check(self.key, self.row_version)
        write = Write(self.key, self.value)
        result = await self.commit_unfenced((check,), (write,), FENCE_TIMEOUT_SECONDS)
        if isinstance(result, Success) and result.unwrap().version:
            self.set_row_version(result.unwrap().version)

    def drop_covered_acknowledgements(self, as_of: int) -> None:
        """Drop acknowledgements of registrations that a view at ``as_of`` includes."""
        for key, acknowledged in list(self.acknowledged.items()):
            if acknowledged.version <= as_of:
                del self.acknowledged[key]


def create_membership(member: Member, writer: SafeWriter) -> Membership:
    """Return the membership of an instance that is not registered yet."""
    return Membership(member, writer)
