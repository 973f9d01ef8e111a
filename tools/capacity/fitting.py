"""Straight lines through measured points."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fit:
    """``intercept + slope * size``; ``residual`` is the root mean square error."""

    slope: float
    intercept: float
    residual: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line through at least two points."""
    slope, intercept = statistics.linear_regression(sizes, values)
    errors = [
        value - intercept - slope * size
        for size, value in zip(sizes, values, strict=True)
    ]
    return Fit(slope, intercept, math.sqrt(statistics.fmean(e * e for e in errors)))
