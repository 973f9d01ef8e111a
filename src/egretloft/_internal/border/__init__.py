"""Validates the bodies and names that callers send."""
