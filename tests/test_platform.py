"""The platform's front by itself: connections of memory, and an engine that only takes sessions."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from grebestack.protocol.platform import PlatformFront
from grebestack.protocol.runners import Said
from grebestack.protocol.settings import settings_of
from grebestack.routing.engine import Engine
from grebestack.transport import server
from tests.standins import OPTIONS
from tests.test_connections import Wire


class Taker:
    """Takes every session and ends none."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.clock = SimpleNamespace(now_ms=lambda: 1000.0)
        self.taken: list[str] = []

    def open(self, frontend: Any, call_id: str, *rest: Any, **more: Any) -> Any:
        self.taken.append(call_id)
        return SimpleNamespace(closed=False)

    def gone(self, session: Any) -> None:
        pass


def ask(wire: Wire, call_id: str) -> None:
    head = f"POST /api HTTP/1.1\r\nX-Call-Id: {call_id}\r\nX-Call-Class: order\r\nContent-Length: 0\r\n\r\n"
    wire.protocol.data_received(head.encode())


def test_while_it_stops_some_of_its_clients_connections_stay_free() -> None:
    # Guards against a job that takes the last connection: clients can open no other one here any more.
    engine = Taker()
    front = PlatformFront(cast(Engine, engine), settings_of(OPTIONS), lambda body: Said.TAKEN)
    acceptor = server.Acceptor(front, most=64)
    wires = [Wire(acceptor()) for _ in range(24)]
    for n, wire in enumerate(wires):
        ask(wire, f"a{n}")
        cast(server.Connection, wire.protocol).answer(200)
    front.leaving = True
    for n, wire in enumerate(wires):
        ask(wire, f"b{n}")
    assert len(engine.taken) == 24 + 20
    for wire in wires[20:]:
        assert b"503" in wire.written and b"Retry-After: 0.100" in wire.written and not wire.closed


def test_a_lone_client_is_served_on_while_it_stops() -> None:
    engine = Taker()
    front = PlatformFront(cast(Engine, engine), settings_of(OPTIONS), lambda body: Said.TAKEN)
    wire = Wire(server.Acceptor(front, most=64)())
    front.leaving = True
    ask(wire, "a")
    assert engine.taken == ["a"]
