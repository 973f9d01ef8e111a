"""Plain value types without I/O."""
