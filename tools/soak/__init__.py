"""Fault soak of the real programs: separate processes, faults from outside."""
