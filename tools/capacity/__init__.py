"""Measurement of what a daemon uses against the size of its deployment."""
