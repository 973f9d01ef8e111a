"""Adapter for the users' platform: its names, formats and calls.

The adapter only translates; all scheduling decisions are made in ``_internal``. The
platform's names are used nowhere else.
"""
