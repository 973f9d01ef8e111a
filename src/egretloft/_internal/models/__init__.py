"""Value types shared by all parts; they perform no I/O."""
