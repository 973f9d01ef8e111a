"""Scheduler for multi-accelerator jobs under tenant guarantees."""

__version__ = "0.1.0"
