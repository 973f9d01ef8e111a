"""Calendar months of the account time zone."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from zoneinfo import ZoneInfo


@dataclass(slots=True, frozen=True, order=True)
class Month:
    """A calendar month; in text it is ``YYYY-MM``."""

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
        """Return the month's first midnight, Unix seconds."""
        return int(datetime(self.year, self.month, 1, tzinfo=zone).timestamp())

    def ends_at(self, zone: ZoneInfo) -> int:
        """Return the midnight at which the month ends, Unix seconds."""
        return self.next.begins_at(zone)


def parse_month(text: str) -> Month | None:
    """Return the month that ``text`` names, ``None`` if it names none."""
    try:
        parsed = datetime.strptime(text, "%Y-%m")
    except ValueError:
        return None
    month = Month(parsed.year, parsed.month)
    return month if str(month) == text else None


def month_at(seconds: float, zone: ZoneInfo) -> Month:
    """Return the month that contains a Unix time; a midnight begins a month."""
    local = datetime.fromtimestamp(seconds, zone)
    return Month(local.year, local.month)


def local_time(seconds: int, zone: ZoneInfo) -> str:
    """Return a Unix time as local date and time with its offset from UTC."""
    return datetime.fromtimestamp(seconds, zone).isoformat(timespec="seconds")
