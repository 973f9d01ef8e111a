"""Routing, admission and dispatch of service requests."""
