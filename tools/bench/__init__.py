"""Benchmarks: simulated scheduling policies, tick cost, fleet load and takeover."""
