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
    """The configuration version, which each change increments by one."""

    version: int


@dataclass(slots=True, frozen=True)
class InstanceRow:
    """An entry of the roster, rewritten at each beat of the instance."""

    member: Member
    beat: int


@dataclass(slots=True, frozen=True)
class MembershipRow:
    """Created and deleted together with the instance row, but not changed by beats.

    Writes that only a roster member may make check this row. So they fail for an
    instance that was removed or replaced by a newer process with the same id.
    """

    incarnation: str


@dataclass(slots=True, frozen=True)
class OwnerRow:
    """The owner of a partition and its lease, rewritten at each renewal."""

    partition: str
    owner: str
    incarnation: str
    address: str
    epoch: int
    beat: int
    released: bool = False


@dataclass(slots=True, frozen=True)
class EpochRow:
    """The epoch of a partition, rewritten only when the owner changes."""

    partition: str
    owner: str
    incarnation: str
    epoch: int
