"""Loopback ports, each reserved by at most one process of this machine.

A port that is free now may be taken before the test's program listens on it: by an outgoing connection, by a
listener whose port the system chooses, or by another test that was given the same one. So a port is reserved
by a socket name that only one process can hold, and lies outside the range from which the system chooses.
"""

from __future__ import annotations

import random
import socket
from collections import deque
from collections.abc import Sequence
from pathlib import Path

FIRST_PORT, LAST_PORT = 10_000, 60_999
SYSTEM_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_SYSTEM_RANGE = (32_768, 60_999)
MAX_RESERVED_PORTS = 300  # per process, each takes a descriptor; beyond it the oldest are released

_reservations: deque[socket.socket] = deque()  # each is open as long as its port is reserved


def system_range() -> tuple[int, int]:
    """Return the first and the last port that the system may choose itself."""
    try:
        first, last = SYSTEM_RANGE_FILE.read_text().split()
    except OSError:
        return DEFAULT_SYSTEM_RANGE
    return int(first), int(last)


def candidate_ports() -> Sequence[int]:
    """Return all ports that may be reserved, in random order."""
    first, last = system_range()
    ports = [port for port in range(FIRST_PORT, LAST_PORT + 1) if not first <= port <= last]
    return random.SystemRandom().sample(ports, len(ports))


def reserved_port() -> int:
    """Reserve a port for this process, for as long as it runs.

    Raises
    ------
    OSError
        No port is left.
    """
    for port in candidate_ports():
        if (reservation := _reserve(port)) is None:
            continue
        _reservations.append(reservation)
        if len(_reservations) > MAX_RESERVED_PORTS:
            _reservations.popleft().close()
        return port
    raise OSError("no port is left")


def _reserve(port: int) -> socket.socket | None:
    """Bind the name of a port; None if another process holds it or something listens on the port."""
    reservation = socket.socket(socket.AF_UNIX)
    try:
        reservation.bind(f"\0grebestack reserved port {port}")
        with socket.create_server(("127.0.0.1", port)):
            return reservation
    except OSError:
        reservation.close()
        return None
