"""Metrics: values must survive the conversion to plain data."""

from egretloft._internal.metrics import create_metrics


def test_snapshot_keeps_labels_apart() -> None:
    """Guards against counters of different reasons being added together."""
    metrics = create_metrics()
    metrics.count("refusals", reason="queue_full")
    metrics.count("refusals", 2, reason="stale_view")
    values = {
        entry["labels"]["reason"]: entry["value"]  # type: ignore[index]
        for entry in metrics.snapshot()["counters"]
    }
    assert values == {"queue_full": 1, "stale_view": 2}
