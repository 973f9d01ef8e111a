"""Set-up, start and graceful shutdown of the daemon."""
