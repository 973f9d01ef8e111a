"""Implementation; not a public interface."""
