"""Ports that tests reserve for the programs they start."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests import ports

ROOT = Path(__file__).resolve().parent.parent
RESERVE = "import sys; from tests import ports; ports.candidate_ports = lambda: map(int, sys.argv[1:]);"


def test_a_reserved_port_is_outside_the_range_of_the_system() -> None:
    # Guards against a program whose port is taken by a stand-in of another test.
    first, last = ports.system_range()
    reserved = {ports.reserved_port() for _ in range(50)}
    assert len(reserved) == 50 and not any(first <= port <= last for port in reserved)


def test_two_processes_that_want_the_same_port_get_two(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against two parallel tests that are given the same port before either listens on it.
    wanted = [ports.reserved_port() for _ in range(2)]
    ports._reservations.pop().close()  # the second is free again
    monkeypatch.setattr(ports, "candidate_ports", lambda: wanted)
    command = [sys.executable, "-c", RESERVE + " print(ports.reserved_port())", *map(str, wanted)]
    other = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=True)
    assert int(other.stdout) == wanted[1]
    assert ports.reserved_port() == wanted[1]  # that process has ended


def test_a_port_that_is_listened_on_is_not_reserved(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a port that a program uses without a reservation.
    with socket.create_server(("127.0.0.1", 0)) as server:
        monkeypatch.setattr(ports, "candidate_ports", lambda: [server.getsockname()[1]])
        with pytest.raises(OSError, match="no port is left"):
            ports.reserved_port()
