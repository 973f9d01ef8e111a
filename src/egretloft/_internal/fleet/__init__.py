"""Scheduling of multi-step jobs on leased targets.

Covers admission, queueing, placement, preemption, leader election and recovery.
"""
