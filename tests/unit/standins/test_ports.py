"""The ports of the processes that tests and soaks start."""

from __future__ import annotations

from standins.ports import free_port


def test_no_port_is_given_twice() -> None:
    """Guards against two daemons on one port, before either has bound it."""
    ports = [free_port() for _ in range(1000)]
    assert len(set(ports)) == len(ports)
