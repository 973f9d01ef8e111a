"""Execution of gang jobs on workers."""
