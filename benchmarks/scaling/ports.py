"""Free ports on loopback."""

from __future__ import annotations

import contextlib
import random
import socket

_given: set[int] = set()


def quiet_port() -> int:
    """A free port that the system gives to no outgoing connection, and that was not given before."""
    for port in random.SystemRandom().sample(range(12_000, 32_000), 1000):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in _given:
                _given.add(port)
                return port
    raise OSError("no port is free")
