"""Validated models for data that comes from outside."""
