"""Measures the resource use of a daemon against the size of its deployment."""
