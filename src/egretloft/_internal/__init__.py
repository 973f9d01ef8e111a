"""Implementation of egretloft; not a public interface."""
