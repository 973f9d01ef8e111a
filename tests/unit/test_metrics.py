"""Metrics: conversion to plain data."""

from egretloft._internal.metrics import create_metrics


def test_snapshot_keeps_labels_apart() -> None:
    """Guards against a sum over all labels in place of one value per reason."""
    metrics = create_metrics()
    metrics.count("refusals", reason="queue_full")
    metrics.count("refusals", 2, reason="stale_view")
    values = {
        entry["labels"]["reason"]: entry["value"]  # type: ignore[index]
        for entry in metrics.snapshot()["counters"]
    }
    assert values == {"queue_full": 1, "stale_view": 2}
