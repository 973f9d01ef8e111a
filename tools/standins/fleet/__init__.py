"""Emulator of the fleet's surroundings in virtual time: store, targets, judge."""
