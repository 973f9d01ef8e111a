"""Changes profiles and zones; each change is one transaction.

The transaction also checks and increments the configuration version in the head row,
so that concurrent changes conflict.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import structlog
from returns.result import Failure, Result, Success

from egretloft._internal.codec import encode
from egretloft._internal.coordination.membership import Membership
from egretloft._internal.coordination.roster import Roster
from egretloft._internal.coordination.rows import (
    HEAD_KEY,
    PROFILE_PREFIX,
    ZONE_PREFIX,
    HeadRow,
)
from egretloft._internal.coordination.view import View
from egretloft._internal.metrics import Metrics
from egretloft._internal.models.outcomes import (
    Reason,
    Refusal,
    not_run,
    outcome_unknown,
)
from egretloft._internal.models.profiles import Profile, ZoneState
from egretloft._internal.platform.protocols import (
    Check,
    StoreFailure,
    StoreFailureKind,
    Write,
)

WRITE_SECONDS = 3.0
REPEAT_HINT = "read the configuration again and repeat the change"

log = structlog.get_logger(__name__)

Feasible = Callable[[Collection[Profile]], Refusal | None]
ChangeResult = Result[int, Refusal]


class Configuration:
    """Accepts configuration changes while this instance is a full member."""

    def __init__(
        self,
        membership: Membership,
        view: View,
        roster: Roster,
        metrics: Metrics,
        feasible: Feasible,
        known_zones: Callable[[], Collection[str]],
    ) -> None:
        self.membership = membership
        self.view = view
        self.roster = roster
        self.metrics = metrics
        self.feasible = feasible
        self.known_zones = known_zones

    async def put_profile(
        self, profile: Profile, expected_version: int
    ) -> ChangeResult:
        """Add or change a profile and return the new configuration version."""
        refusal = await self._refuse_version(expected_version)
        for zone in profile.zones:
            refusal = refusal or self._refuse_zone(zone)
        if refusal is None:
            # No await from here to the commit, so the profiles checked here are
            # those of the configuration version that the transaction checks.
            refusal = self.feasible(
                tuple(({**self.view.profiles, profile.name: profile}).values())
            )
        if refusal is not None:
            return Failure(refusal)
        return await self._commit(PROFILE_PREFIX + profile.name, encode(profile))

    async def retire_profile(self, name: str, expected_version: int) -> ChangeResult:
        """Remove a profile and return the new configuration version."""
        refusal = await self._refuse_version(expected_version)
        if refusal is None and name not in self.view.profiles:
            refusal = not_run(
                Reason.UNKNOWN_PROFILE,
                f"there is no profile {name!r}",
                "list the profiles to see their names",
            )
        if refusal is not None:
            return Failure(refusal)
        return await self._commit(PROFILE_PREFIX + name, None)

    async def set_zone(
        self, zone: str, in_service: bool, expected_version: int
    ) -> ChangeResult:
        """Take a zone out of service or bring it back.

        Returns the new configuration version.
        """
        refusal = await self._refuse_version(expected_version)
        refusal = refusal or self._refuse_zone(zone)
        if refusal is not None:
            return Failure(refusal)
        return await self._commit(
            ZONE_PREFIX + zone, encode(ZoneState(zone, in_service))
        )

    def _refuse_zone(self, zone: str) -> Refusal | None:
        allowed = {*self.known_zones(), *self.view.zones}
        if zone in allowed:
            return None
        return not_run(
            Reason.UNKNOWN_ZONE,
            f"there is no zone {zone!r}",
            f"known zones: {', '.join(sorted(allowed)) or 'none'}",
        )

    async def _refuse_version(self, expected_version: int) -> Refusal | None:
        if not self.roster.is_full_member():
            return not_run(
                Reason.NOT_MEMBER,
                "this instance is not a full member of the roster",
                "repeat the change in a few seconds or at another instance",
            )
        if expected_version > self.view.config_version:
            # Another instance may have accepted a change that this view lacks.
            await self.view.refresh()
        if expected_version != self.view.config_version:
            return not_run(
                Reason.CONFLICT,
                f"expected_version is {expected_version}, the configuration is at "
                f"version {self.view.config_version}",
                REPEAT_HINT,
            )
        return None

    async def _commit(self, key: str, value: bytes | None) -> ChangeResult:
        """Write the row and the next configuration version in one transaction.

        Callers must not await between their checks and this call, because the
        transaction checks the row versions that the view has now.
        """
        current_version = self.view.config_version
        result = await self.membership.commit(
            (
                Check(HEAD_KEY, self.view.row_version(HEAD_KEY)),
                Check(key, self.view.row_version(key)),
            ),
            (Write(HEAD_KEY, encode(HeadRow(current_version + 1))), Write(key, value)),
            WRITE_SECONDS,
        )
        # Applies the change here. Until a scan has covered it, this instance cannot
        # take part in an outage agreement.
        await self.view.refresh()
        if isinstance(result, Success):
            self.metrics.count("configuration_changes", outcome="accepted")
            log.info(
                "configuration changed", key=key, config_version=current_version + 1
            )
            return Success(current_version + 1)
        failure = result.failure()
        self.metrics.count("configuration_changes", outcome=failure.kind.value)
        return Failure(self._refusal(failure))

    def _refusal(self, failure: StoreFailure) -> Refusal:
        if failure.kind is StoreFailureKind.UNKNOWN:
            return outcome_unknown(
                Reason.STORE_UNAVAILABLE,
                "the store did not say whether the change took effect",
                "read the configuration to learn whether it did",
            )
        if failure.kind is StoreFailureKind.NOT_APPLIED:
            return not_run(
                Reason.STORE_UNAVAILABLE,
                "the store cannot be reached",
                "repeat the change later",
            )
        if not self.roster.is_full_member():
            return not_run(
                Reason.NOT_MEMBER,
                "this instance was removed from the roster",
                "repeat the change in a few seconds or at another instance",
            )
        return not_run(
            Reason.CONFLICT, "another change was made at the same time", REPEAT_HINT
        )


def create_configuration(
    membership: Membership,
    view: View,
    roster: Roster,
    metrics: Metrics,
    feasible: Feasible,
    known_zones: Callable[[], Collection[str]],
) -> Configuration:
    """Return an object that changes the configuration.

    ``feasible`` returns a refusal if the guarantees of a set of profiles cannot all
    be placed.
    ``known_zones`` returns the zones that profiles and zone changes may name.
    """
    return Configuration(membership, view, roster, metrics, feasible, known_zones)
