"""Wiring, start and graceful shutdown of the daemon."""
