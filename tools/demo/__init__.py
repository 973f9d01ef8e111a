"""Demonstration: requests and gang jobs through three entry instances."""
