"""Entry points: parse the command line and dispatch."""
