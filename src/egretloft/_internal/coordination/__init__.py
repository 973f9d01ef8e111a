"""Ownership, roster, configuration and safe store writes."""
