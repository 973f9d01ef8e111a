"""Rounding of intervals to whole seconds and their split at month boundaries."""

from __future__ import annotations

from datetime import datetime
from itertools import pairwise
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretloft._internal.accounts.intervals import split_by_month, whole_seconds
from egretloft._internal.accounts.months import Month, month_at, parse_month

TOKYO = ZoneInfo("Asia/Tokyo")
REYKJAVIK = ZoneInfo("Atlantic/Reykjavik")
NEW_YORK = ZoneInfo("America/New_York")


def at(zone: ZoneInfo, *parts: int) -> int:
    return int(datetime(*parts, tzinfo=zone).timestamp())  # type: ignore[arg-type]


def seconds_by_month(begins_at: int, ends_at: int, zone: ZoneInfo) -> dict[str, int]:
    parts = split_by_month(begins_at, ends_at, zone)
    return {str(part.month): part.seconds for part in parts}


def test_interval_over_two_month_ends() -> None:
    """Guards against losing or double-counting usage at month boundaries."""
    begin, end = at(TOKYO, 2026, 12, 31, 23, 59, 50), at(TOKYO, 2027, 2, 1, 0, 0, 5)
    assert seconds_by_month(begin, end, TOKYO) == {
        "2026-12": 10,
        "2027-01": 31 * 86_400,
        "2027-02": 5,
    }


@pytest.mark.parametrize(("year", "days"), [(2027, 28), (2028, 29), (2100, 28)])
def test_february(year: int, days: int) -> None:
    """Guards against a missing leap day: 2028 has one, 2100 has not."""
    begin, end = at(REYKJAVIK, year, 1, 31, 23), at(REYKJAVIK, year, 3, 1, 1)
    parts = seconds_by_month(begin, end, REYKJAVIK)
    assert parts[f"{year}-02"] == days * 86_400


def test_end_on_the_exact_midnight() -> None:
    """Guards against an empty part in the month that begins when the interval ends."""
    midnight = at(TOKYO, 2027, 1, 1)
    assert seconds_by_month(midnight - 60, midnight, TOKYO) == {"2026-12": 60}
    assert seconds_by_month(midnight, midnight + 60, TOKYO) == {"2027-01": 60}


def test_interval_without_length() -> None:
    """Guards against a run without a row because it took no time."""
    midnight = at(TOKYO, 2027, 1, 1)
    assert seconds_by_month(midnight, midnight, TOKYO) == {"2027-01": 0}


def test_midnight_is_that_of_the_account_time_zone() -> None:
    """Guards against month boundaries taken from any other time zone."""
    midnight = at(TOKYO, 2027, 1, 1)
    assert str(month_at(midnight - 1, TOKYO)) == "2026-12"
    assert str(month_at(midnight, TOKYO)) == "2027-01"
    assert str(month_at(midnight, REYKJAVIK)) == "2026-12"


def test_month_with_a_change_of_offset() -> None:
    """Guards against computing a month's length as days of 86,400 s.

    Daylight saving time ends in November in New York, which adds an hour.
    """
    month = Month(2026, 11)
    length = month.ends_at(NEW_YORK) - month.begins_at(NEW_YORK)
    assert length == 30 * 86_400 + 3_600


def test_rounding() -> None:
    """Guards against losing a started second, and against negative lengths."""
    assert whole_seconds(10.9, 11.1) == (10, 12)
    assert whole_seconds(10.0, 11.0) == (10, 11)
    assert whole_seconds(11.0, 10.2) == (11, 11)


@pytest.mark.parametrize("text", ["2026-13", "2026-1", "26-01", "2026-01-01", "", "x"])
def test_parse_month_rejects_other_text(text: str) -> None:
    """Guards against a month with two names, and so with two accounts."""
    assert parse_month(text) is None


@given(
    st.integers(1_700_000_000, 1_900_000_000),
    st.integers(0, 200 * 86_400),
    st.sampled_from([TOKYO, REYKJAVIK, NEW_YORK]),
)
def test_parts_cover_the_interval(begin: int, length: int, zone: ZoneInfo) -> None:
    """Guards against gaps and overlaps between the parts."""
    parts = split_by_month(begin, begin + length, zone)
    assert parts[0].begins_at == begin
    assert parts[-1].ends_at == begin + length
    for earlier, later in pairwise(parts):
        assert earlier.ends_at == later.begins_at == later.month.begins_at(zone)
    for part in parts:
        assert month_at(part.begins_at, zone) == part.month
