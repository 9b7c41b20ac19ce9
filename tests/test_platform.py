"""The platform's front by itself: connections of memory, and an engine that only takes sessions."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from grebestack.protocol.http_workers import CallbackResult
from grebestack.protocol.platform import PlatformApi
from grebestack.protocol.settings import parse_settings
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
        self.more: dict[str, dict[str, Any]] = {}  # by call id: the further figures of its session

    def open_request(self, frontend: Any, call_id: str, *rest: Any, **more: Any) -> Any:
        self.taken.append(call_id)
        self.more[call_id] = more
        return SimpleNamespace(closed=False)

    def on_client_disconnected(self, session: Any) -> None:
        pass


def ask(wire: Wire, call_id: str, **headers: str) -> None:
    head = f"POST /api HTTP/1.1\r\nX-Call-Id: {call_id}\r\nX-Call-Class: order\r\nContent-Length: 0\r\n"
    head += "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    wire.protocol.data_received(f"{head}\r\n".encode())


def taken(options: dict[str, Any], **headers: str) -> dict[str, Any]:
    """What one job with these headers is taken for."""
    engine = Taker()
    front = PlatformApi(cast(Engine, engine), parse_settings(options), lambda body: CallbackResult.ACCEPTED)
    ask(Wire(server.Acceptor(front, most=64)()), "a", **headers)
    return engine.more["a"]


TENANTS = OPTIONS | {"accounts": [{"name": "electric", "allowancePerS": 9.0}, {"name": "water"}]}


def test_the_hint_of_a_jobs_cost_is_in_microseconds() -> None:
    assert taken(OPTIONS, X_Call_Cost="250000")["cost_ms"] == 250.0
    assert taken(OPTIONS)["cost_ms"] is None
    for odd in ("-5", "0", "nan", "inf", "much", "1e30"):
        assert taken(OPTIONS, X_Call_Cost=odd)["cost_ms"] is None


def test_the_caller_is_the_tenant_of_that_name() -> None:
    assert taken(TENANTS, X_Caller="electric")["tenant"] == 0
    assert taken(TENANTS, X_Caller="water")["tenant"] == 1
    # One that the settings don't name is none of those that have a share.
    assert taken(TENANTS, X_Caller="gas")["tenant"] == taken(TENANTS)["tenant"] == 2


def test_two_callers_or_two_costs_are_refused_for_they_leave_open_which_one_counts() -> None:
    for name, one, other in (("X-Caller", "electric", "water"), ("X-Call-Cost", "1", "2000")):
        engine = Taker()
        front = PlatformApi(
            cast(Engine, engine), parse_settings(TENANTS), lambda body: CallbackResult.ACCEPTED
        )
        wire = Wire(server.Acceptor(front, most=64)())
        ask(wire, "a", **{name: f"{one}\r\n{name}: {other}"})
        assert b"400" in wire.written and not engine.taken


def test_a_route_hash_gives_the_same_key_everywhere_and_a_retry_is_known() -> None:
    first, again = taken(OPTIONS, X_Route_Hash="7f3a", X_Again="1"), taken(TENANTS, X_Route_Hash="7f3a")
    assert first["key"] == again["key"] is not None
    assert taken(OPTIONS, X_Route_Hash="7f3b")["key"] != first["key"]
    assert first["retry"] and not again["retry"]


def test_while_it_stops_some_of_its_clients_connections_stay_free() -> None:
    # Guards against a job that takes the last connection: clients can open no other one here any more.
    engine = Taker()
    front = PlatformApi(cast(Engine, engine), parse_settings(OPTIONS), lambda body: CallbackResult.ACCEPTED)
    acceptor = server.Acceptor(front, most=64)
    wires = [Wire(acceptor()) for _ in range(24)]
    for n, wire in enumerate(wires):
        ask(wire, f"a{n}")
        cast(server.Connection, wire.protocol).answer(200)
    front.stopping = True
    for n, wire in enumerate(wires):
        ask(wire, f"b{n}")
    assert len(engine.taken) == 24 + 20
    for wire in wires[20:]:
        assert b"503" in wire.written and b"Retry-After: 0.100" in wire.written and not wire.closed


def test_a_lone_client_is_served_on_while_it_stops() -> None:
    engine = Taker()
    front = PlatformApi(cast(Engine, engine), parse_settings(OPTIONS), lambda body: CallbackResult.ACCEPTED)
    wire = Wire(server.Acceptor(front, most=64)())
    front.stopping = True
    ask(wire, "a")
    assert engine.taken == ["a"]
