"""Ports for the processes that tests and soaks start."""

from __future__ import annotations

import contextlib
import itertools
import random
import socket

# Below the ports that the system gives to connections, and of five digits all.
PORTS = range(10_000, 32_768)
# In random order, so that processes beside each other do not take the same ports.
SHUFFLED_PORTS = itertools.cycle(random.SystemRandom().sample(PORTS, len(PORTS)))


def free_port() -> int:
    """Return a free port that was not returned before.

    One that was returned may not be bound yet. No outgoing connection is given it, so
    it stays free during a restart.
    """
    while True:
        port = next(SHUFFLED_PORTS)
        with socket.socket() as listener, contextlib.suppress(OSError):
            listener.bind(("127.0.0.1", port))
            return port
