"""Run times learned from what jobs declared and how long they ran."""

from __future__ import annotations

import bisect
from collections import deque

from egretloft._internal.models.jobs import JobSpec

# Enough for a stable quantile; older runs say little about the present ones.
REMEMBERED_RUNS = 64
# Below this number of runs the declared time is used as it is.
RUNS_NEEDED = 4


class Estimates:
    """Quantiles of observed / declared run time per organisation and service."""

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.recent: dict[tuple[str, str], deque[float]] = {}
        self.ordered: dict[tuple[str, str], list[float]] = {}

    def observe(self, spec: JobSpec, seconds: float) -> None:
        """Learn from a run that completed."""
        key = spec.organisation, spec.service
        recent = self.recent.setdefault(key, deque())
        ordered = self.ordered.setdefault(key, [])
        ratio = seconds / max(1.0, spec.declared_seconds)
        recent.append(ratio)
        bisect.insort(ordered, ratio)
        if len(recent) > REMEMBERED_RUNS:
            del ordered[bisect.bisect_left(ordered, recent.popleft())]

    def run_seconds(self, spec: JobSpec) -> float:
        """Return the expected run time of a job that has not started."""
        return self._quantile(spec, 0.0) * max(1.0, spec.declared_seconds)

    def remaining_seconds(self, spec: JobSpec, elapsed: float) -> float:
        """Return the expected rest of a run, given that it has run so far."""
        declared = max(1.0, spec.declared_seconds)
        total = self._quantile(spec, elapsed / declared) * declared
        if total > elapsed:
            return total - elapsed
        # Longer than all that is known: with heavy tails the rest grows with the age.
        return 0.5 * elapsed

    def _quantile(self, spec: JobSpec, above: float) -> float:
        ordered = self.ordered.get((spec.organisation, spec.service), [])
        if len(ordered) < RUNS_NEEDED:
            return 1.0
        first = bisect.bisect_right(ordered, above)
        rest = len(ordered) - first
        if not rest:
            return 0.0
        return ordered[first + min(rest - 1, int(rest * self.quantile))]
