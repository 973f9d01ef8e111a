"""Helpers and builders of test data."""
