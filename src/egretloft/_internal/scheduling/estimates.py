"""Run time estimates from the declared and the observed run times of jobs."""

from __future__ import annotations

import bisect
from collections import deque

from egretloft._internal.models.jobs import JobSpec

# Runs that are kept for each organisation and service. They are enough for a stable
# quantile, and older runs are a poor guide to present ones.
MAX_RUNS = 64
# With fewer runs than this, the declared time is the estimate.
MIN_RUNS = 4


class Estimates:
    """Quantiles of observed/declared run time per organisation and service."""

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.recent: dict[tuple[str, str], deque[float]] = {}
        self.ordered: dict[tuple[str, str], list[float]] = {}

    def observe(self, spec: JobSpec, seconds: float) -> None:
        """Record the run time of a completed job."""
        key = spec.organisation, spec.service
        recent = self.recent.setdefault(key, deque())
        ordered = self.ordered.setdefault(key, [])
        ratio = seconds / max(1.0, spec.declared_seconds)
        recent.append(ratio)
        bisect.insort(ordered, ratio)
        if len(recent) > MAX_RUNS:
            del ordered[bisect.bisect_left(ordered, recent.popleft())]

    def run_seconds(self, spec: JobSpec) -> float:
        """Return the expected run time of a job that has not started."""
        return self._quantile(spec, 0.0) * max(1.0, spec.declared_seconds)

    def remaining_seconds(self, spec: JobSpec, elapsed: float) -> float:
        """Return the expected remaining run time after ``elapsed`` seconds."""
        declared = max(1.0, spec.declared_seconds)
        total = self._quantile(spec, elapsed / declared) * declared
        if total > elapsed:
            return total - elapsed
        # It has run longer than all recorded runs. With heavy-tailed run times the
        # expected remaining time grows with the age.
        return 0.5 * elapsed

    def _quantile(self, spec: JobSpec, above: float) -> float:
        """Return the quantile of the observed ratios that are greater than ``above``.

        Returns 1.0 while there are fewer than ``MIN_RUNS`` runs, and 0.0 if no ratio is
        greater.
        """
        ordered = self.ordered.get((spec.organisation, spec.service), [])
        if len(ordered) < MIN_RUNS:
            return 1.0
        first_above = bisect.bisect_right(ordered, above)
        count_above = len(ordered) - first_above
        if not count_above:
            return 0.0
        return ordered[
            first_above + min(count_above - 1, int(count_above * self.quantile))
        ]
