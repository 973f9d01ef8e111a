"""Intervals of use: whole seconds, split where months meet."""

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
        """Length of the part."""
        return self.ends_at - self.begins_at


def whole_seconds(started_at: float, ended_at: float) -> tuple[int, int]:
    """Return the interval with its start rounded down and its end rounded up.

    Clocks of workers differ, so an end may be reported before its start; such an
    interval has no length.
    """
    begins_at = math.floor(started_at)
    return begins_at, max(begins_at, math.ceil(ended_at))


def split_by_month(begins_at: int, ends_at: int, zone: ZoneInfo) -> list[MonthPart]:
    """Return the parts of an interval by month, the oldest first.

    An interval that ends on a midnight has no part in the month that begins then. One
    without length has a single part, in the month of its start.
    """
    parts: list[MonthPart] = []
    month = month_at(begins_at, zone)
    while True:
        end = min(ends_at, month.ends_at(zone))
        parts.append(MonthPart(month, begins_at, end))
        if end >= ends_at:
            return parts
        begins_at, month = end, month.next
