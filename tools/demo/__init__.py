"""Demonstrations that run the real programs through kills and graceful stops."""
