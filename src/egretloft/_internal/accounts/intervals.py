"""Rounds usage intervals to whole seconds and splits them at month boundaries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from zoneinfo import ZoneInfo

from egretloft._internal.accounts.months import Month, month_at


@dataclass(slots=True, frozen=True)
class MonthPart:
    """The part of an interval in one month; times are whole Unix seconds."""

    month: Month
    begins_at: int
    ends_at: int

    @property
    def seconds(self) -> int:
        """Length of the part in seconds."""
        return self.ends_at - self.begins_at


def whole_seconds(started_at: float, ended_at: float) -> tuple[int, int]:
    """Return the interval with its start rounded down and its end rounded up.

    The clocks of workers differ, so the reported end may lie before the start. Such
    an interval gets a length of zero.
    """
    begins_at = math.floor(started_at)
    return begins_at, max(begins_at, math.ceil(ended_at))


def split_by_month(begins_at: int, ends_at: int, zone: ZoneInfo) -> list[MonthPart]:
    """Return the parts of an interval by month, oldest first.

    An interval that ends exactly at the start of a month has no part in that month.
    An interval of length zero has a single part, in the month of its start.
    """
    parts: list[MonthPart] = []
    month = month_at(begins_at, zone)
    while True:
        part_ends_at = min(ends_at, month.ends_at(zone))
        parts.append(MonthPart(month, begins_at, part_ends_at))
        if part_ends_at >= ends_at:
            return parts
        begins_at, month = part_ends_at, month.next
