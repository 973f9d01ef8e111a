"""Soak test: runs the real programs as processes while faults are injected."""
