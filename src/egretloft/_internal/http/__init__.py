"""HTTP handlers of the daemon."""
