"""Adapter for the users' platform: its names, formats and calls.

Nothing here decides, and nothing outside this folder knows the platform's names.
"""
