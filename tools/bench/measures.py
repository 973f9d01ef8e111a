"""Measures of one policy on one workload."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from egretloft._internal.models.jobs import JobSpec

# Times are recorded in microseconds up to a day.
HIGHEST_MICROSECONDS = 86_400_000_000
SIZE_CLASSES = ((1, "1"), (4, "2-4"), (8, "5-8"), (16, "9-16"), (1 << 30, "17+"))
# Lists and counts that ``Measures.add`` adds up over runs.
SUMMED_FIELDS = (
    "completion",
    "wait",
    "large_wait",
    "reclaim",
    "fragmentation",
    "ticks",
    "use_samples",
    "use_while_zone_out",
    "entitled",
    "missed",
    "missed_while_zone_out",
    "refused",
    "failed",
    "ended_for_failures",
    "good_jobs_ended",
    "unfinished",
    "stops",
    "preemptions",
    "wasted_by_preemption",
    "useful_seconds",
    "completed_while_zone_out",
)


def summary(seconds: list[float]) -> dict[str, float]:
    """Return count, mean, median and 99th percentile in seconds."""
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    for value in seconds:
        histogram.record_value(max(1, min(HIGHEST_MICROSECONDS, int(value * 1e6))))
    if not seconds:
        return {"count": 0, "mean": 0.0, "p50": 0.0, "p99": 0.0}
    return {
        "count": histogram.get_total_count(),
        "mean": round(histogram.get_mean_value() / 1e6, 5),
        "p50": round(histogram.get_value_at_percentile(50) / 1e6, 5),
        "p99": round(histogram.get_value_at_percentile(99) / 1e6, 5),
    }


def mean(values: list[float]) -> float:
    """Return the mean, or 0 if there are no values."""
    return round(sum(values) / len(values), 4) if values else 0.0


def size_class(accelerators: int) -> str:
    """Return the name of the size class of a gang."""
    return next(name for limit, name in SIZE_CLASSES if accelerators <= limit)


@dataclass(slots=True)
class Measures:
    """Counts and samples; a gang is large from ``large_accelerators`` on."""

    large_accelerators: int
    completion: list[float] = field(default_factory=list)
    completion_by_size: dict[str, list[float]] = field(default_factory=dict)
    wait: list[float] = field(default_factory=list)
    large_wait: list[float] = field(default_factory=list)
    reclaim: list[float] = field(default_factory=list)
    fragmentation: list[float] = field(default_factory=list)
    ticks: list[float] = field(default_factory=list)
    use_samples: list[float] = field(default_factory=list)
    use_while_zone_out: list[float] = field(default_factory=list)
    entitled: int = 0
    missed: int = 0
    missed_while_zone_out: int = 0
    refused: int = 0
    failed: int = 0
    ended_for_failures: int = 0
    good_jobs_ended: int = 0
    unfinished: int = 0
    stops: int = 0
    preemptions: int = 0
    wasted_by_preemption: float = 0.0
    useful_seconds: float = 0.0
    completed_while_zone_out: int = 0
    finished_at: float = 0.0

    def add(self, other: Measures) -> None:
        """Add the measures of another run of the same policy."""
        for name, values in other.completion_by_size.items():
            self.completion_by_size.setdefault(name, []).extend(values)
        for name in SUMMED_FIELDS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.finished_at = max(self.finished_at, other.finished_at)

    def record_completion(self, spec: JobSpec, seconds: float) -> None:
        """Record a job that completed ``seconds`` after its submission."""
        self.completion.append(seconds)
        name = size_class(spec.accelerators)
        self.completion_by_size.setdefault(name, []).append(seconds)

    def record_start(self, spec: JobSpec, seconds: float) -> None:
        """Record the first start of a job."""
        self.wait.append(seconds)
        if spec.accelerators >= self.large_accelerators:
            self.large_wait.append(seconds)

    def record_guaranteed_start(
        self, wait: float, in_time: bool, reclaimed: bool, zones_out: Collection[str]
    ) -> None:
        """Record the first start of a gang within its guarantee."""
        self.entitled += 1
        if not in_time:
            self.missed += 1
            if zones_out:
                self.missed_while_zone_out += 1
        if reclaimed:
            self.reclaim.append(wait)

    def record_useful_work(self, spec: JobSpec, seconds: float) -> None:
        """Record run time that is not lost by a stop or failure."""
        self.useful_seconds += seconds * spec.accelerators

    def record_tick(self, seconds: float) -> None:
        """Record the run time of one scheduler tick."""
        self.ticks.append(seconds)

    def record_use(self, held: int, capacity: int, zone_out: bool) -> None:
        """Record the share of the accelerators in service that run tasks."""
        self.use_samples.append(held / capacity)
        if zone_out:
            self.use_while_zone_out.append(held / capacity)

    def record_fragmentation(self, share: float) -> None:
        """Record the share of free accelerators that the largest gang cannot use."""
        self.fragmentation.append(share)

    def as_dict(self) -> dict[str, object]:
        """Return all measures as values that JSON can encode."""
        return {
            "completion_seconds": summary(self.completion),
            "completion_seconds_by_size": {
                name: summary(self.completion_by_size[name])
                for _, name in SIZE_CLASSES
                if name in self.completion_by_size
            },
            "wait_seconds": summary(self.wait),
            "large_wait_seconds": summary(self.large_wait),
            "guaranteed_gangs": self.entitled,
            "guarantee_misses": self.missed,
            "guarantee_misses_while_zone_out": self.missed_while_zone_out,
            "reclaim_seconds": summary(self.reclaim),
            "fragmentation_mean": mean(self.fragmentation),
            "fragmentation_samples": len(self.fragmentation),
            "use_mean": mean(self.use_samples),
            "use_while_zone_out_mean": mean(self.use_while_zone_out),
            "completed_while_zone_out": self.completed_while_zone_out,
            "useful_accelerator_hours": round(self.useful_seconds / 3600, 1),
            "wasted_by_preemption_accelerator_hours": round(
                self.wasted_by_preemption / 3600, 2
            ),
            "preemptions": self.preemptions,
            "stops": self.stops,
            "refused": self.refused,
            "failed": self.failed,
            "ended_for_failures": self.ended_for_failures,
            "good_jobs_ended": self.good_jobs_ended,
            "unfinished": self.unfinished,
            "finished_after_hours": round(self.finished_at / 3600, 2),
            "tick_seconds": summary(self.ticks),
        }
