"""Ports that tests reserve for the programs that they start."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests import ports

ROOT = Path(__file__).resolve().parent.parent
RESERVE = "import sys; from tests import ports; ports.candidate_ports = lambda: map(int, sys.argv[1:]);"


def test_a_reserved_port_is_none_that_the_system_chooses() -> None:
    # Guards against a program that finds its port taken by a stand-in of another test.
    first, last = ports.system_range()
    taken = {ports.reserved_port() for _ in range(50)}
    assert len(taken) == 50 and not any(first <= port <= last for port in taken)


def test_two_processes_that_want_the_same_port_get_two(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against two tests side by side that are given one port before either listens on it.
    wanted = [ports.reserved_port() for _ in range(2)]
    ports._reservations.pop().close()  # the second is free again
    monkeypatch.setattr(ports, "candidate_ports", lambda: wanted)
    command = [sys.executable, "-c", RESERVE + " print(ports.reserved_port())", *map(str, wanted)]
    other = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=True)
    assert int(other.stdout) == wanted[1]
    assert ports.reserved_port() == wanted[1]  # that process has ended


def test_a_port_that_is_listened_on_is_not_reserved(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a port of a program that knows nothing of reservations.
    with socket.create_server(("127.0.0.1", 0)) as server:
        monkeypatch.setattr(ports, "candidate_ports", lambda: [server.getsockname()[1]])
        with pytest.raises(OSError, match="no port is left"):
            ports.reserved_port()
