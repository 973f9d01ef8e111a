"""Keys and contents of the rows under ``control/``."""

from __future__ import annotations

from dataclasses import dataclass

from egretloft._internal.models.members import Member

CONTROL_PREFIX = "control/"
HEAD_KEY = "control/head"
PROFILE_PREFIX = "control/profile/"
ZONE_PREFIX = "control/zone/"
INSTANCE_PREFIX = "control/instance/"
MEMBERSHIP_PREFIX = "control/membership/"
OWNER_PREFIX = "control/owner/"
EPOCH_PREFIX = "control/epoch/"


@dataclass(slots=True, frozen=True)
class HeadRow:
    """The configuration version, counted up by one at each change."""

    version: int


@dataclass(slots=True, frozen=True)
class InstanceRow:
    """An entry of the roster; changes at each beat of the instance."""

    member: Member
    beat: int


@dataclass(slots=True, frozen=True)
class MembershipRow:
    """Present exactly while the instance row is, but not changed by beats.

    Writes that only a roster member may make check this row, so that an instance
    that was removed, or replaced by a newer process of the same id, cannot make
    them.
    """

    incarnation: str


@dataclass(slots=True, frozen=True)
class OwnerRow:
    """Who owns a partition; changes at each renewal."""

    partition: str
    owner: str
    incarnation: str
    address: str
    epoch: int
    beat: int
    released: bool = False


@dataclass(slots=True, frozen=True)
class EpochRow:
    """Who owns a partition; changes only with the owner."""

    partition: str
    owner: str
    incarnation: str
    epoch: int
