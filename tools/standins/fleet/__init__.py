"""Emulated row store and targets for the fleet, and a checker of its guarantees."""
