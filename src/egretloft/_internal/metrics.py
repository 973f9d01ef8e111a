"""Counters, gauges and latency histograms with labels."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

# Histograms record microseconds, from 1 us to 1 h, with two significant digits, so that
# one histogram takes about 30 KB.
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2

RENDERED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, Labels]] = Counter()
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self.counters[name, tuple(sorted(labels.items()))] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[name, tuple(sorted(labels.items()))] = value

    def observe_seconds(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        key = name, tuple(sorted(labels.items()))
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self.histograms[key] = histogram
        microseconds = max(1, min(HIGHEST_MICROSECONDS, int(seconds * 1e6)))
        histogram.record_value(microseconds)

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of one counter."""
        return self.counters[name, tuple(sorted(labels.items()))]

    def render_text(self) -> str:
        """Return all values as lines ``name{label="value"} number``."""
        lines: list[str] = []
        for (name, labels), value in sorted(self.counters.items()):
            lines.append(f"egretloft_{name}_total{render_labels(labels)} {value}")
        for (name, labels), gauge in sorted(self.gauges.items()):
            lines.append(f"egretloft_{name}{render_labels(labels)} {gauge:g}")
        for (name, labels), histogram in sorted(
            self.histograms.items(), key=lambda item: item[0]
        ):
            for percent in RENDERED_PERCENTILES:
                seconds = histogram.get_value_at_percentile(percent) / 1e6
                extra = (*labels, ("quantile", f"{percent / 100:g}"))
                lines.append(f"egretloft_{name}{render_labels(extra)} {seconds:g}")
            count = histogram.get_total_count()
            lines.append(f"egretloft_{name}_count{render_labels(labels)} {count}")
        return "\n".join(lines) + "\n"

    def snapshot(self) -> dict[str, list[dict[str, object]]]:
        """Return all values as plain data for JSON; durations are in seconds."""
        return {
            "counters": [
                {"name": name, "labels": dict(labels), "value": value}
                for (name, labels), value in sorted(self.counters.items())
            ],
            "gauges": [
                {"name": name, "labels": dict(labels), "value": value}
                for (name, labels), value in sorted(self.gauges.items())
            ],
            "histograms": [
                {
                    "name": name,
                    "labels": dict(labels),
                    "count": histogram.get_total_count(),
                    "mean": histogram.get_mean_value() / 1e6,
                    "p50": histogram.get_value_at_percentile(50) / 1e6,
                    "p99": histogram.get_value_at_percentile(99) / 1e6,
                    "max": histogram.get_max_value() / 1e6,
                }
                for (name, labels), histogram in sorted(
                    self.histograms.items(), key=lambda item: item[0]
                )
            ],
        }


def render_labels(labels: Labels) -> str:
    """Return labels as ``{label="value"}``; an empty string without labels."""
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"


def create_metrics() -> Metrics:
    """Return an empty set of metrics."""
    return Metrics()
