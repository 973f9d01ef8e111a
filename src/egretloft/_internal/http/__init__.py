"""HTTP handlers of the entry daemon."""
