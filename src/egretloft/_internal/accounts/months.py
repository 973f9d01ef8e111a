"""Calendar months, with their boundaries in the account time zone."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from zoneinfo import ZoneInfo


@dataclass(slots=True, frozen=True, order=True)
class Month:
    """A calendar month; ``str()`` gives ``YYYY-MM``."""

    year: int
    month: int

    def __str__(self) -> str:
        return f"{self.year:04d}-{self.month:02d}"

    @property
    def next(self) -> Month:
        """The following month."""
        return (
            Month(self.year + 1, 1)
            if self.month == 12
            else Month(self.year, self.month + 1)
        )

    def begins_at(self, zone: ZoneInfo) -> int:
        """Return the midnight at which the month begins, in Unix seconds."""
        return int(datetime(self.year, self.month, 1, tzinfo=zone).timestamp())

    def ends_at(self, zone: ZoneInfo) -> int:
        """Return the midnight at which the month ends, in Unix seconds."""
        return self.next.begins_at(zone)


def parse_month(text: str) -> Month | None:
    """Return the month written as ``YYYY-MM``, or ``None`` for any other text."""
    try:
        parsed = datetime.strptime(text, "%Y-%m")
    except ValueError:
        return None
    month = Month(parsed.year, parsed.month)
    # ``strptime`` also accepts ``2026-1``, which would give one month two names.
    return month if str(month) == text else None


def month_at(seconds: float, zone: ZoneInfo) -> Month:
    """Return the month that contains a Unix time; its first midnight is included."""
    local = datetime.fromtimestamp(seconds, zone)
    return Month(local.year, local.month)


def local_time(seconds: int, zone: ZoneInfo) -> str:
    """Return a Unix time as an ISO 8601 local time with its UTC offset."""
    return datetime.fromtimestamp(seconds, zone).isoformat(timespec="seconds")
