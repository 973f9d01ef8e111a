"""Streams between entry instances."""
