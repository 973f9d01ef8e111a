"""Calls and heartbeats between entry instances."""
