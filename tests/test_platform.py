"""The platform's API on in-memory connections, with a fake engine that accepts every request."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from grebestack.protocol.http_workers import CallbackResult
from grebestack.protocol.platform import PlatformApi
from grebestack.protocol.settings import parse_settings
from grebestack.routing.engine import Engine
from grebestack.transport import server
from grebestack.transport.acceptor import Acceptor
from tests.standins import SETTINGS
from tests.test_connections import FakeTransport


class AcceptingEngine:
    """Accepts every request and ends none."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.clock = SimpleNamespace(now_ms=lambda: 1000.0)
        self.accepted: list[str] = []
        self.arguments: dict[str, dict[str, Any]] = {}  # the keyword arguments, by call id

    def open_request(self, listener: Any, call_id: str, *rest: Any, **arguments: Any) -> Any:
        self.accepted.append(call_id)
        self.arguments[call_id] = arguments
        return SimpleNamespace(closed=False)

    def on_client_disconnected(self, request: Any) -> None:
        pass


def send_job(wire: FakeTransport, call_id: str, **headers: str) -> None:
    head = f"POST /api HTTP/1.1\r\nX-Call-Id: {call_id}\r\nX-Call-Class: order\r\nContent-Length: 0\r\n"
    head += "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    wire.protocol.data_received(f"{head}\r\n".encode())


def arguments_of_job(options: dict[str, Any], **headers: str) -> dict[str, Any]:
    """Send one job with these headers; return the arguments that the engine gets for it."""
    engine = AcceptingEngine()
    api = PlatformApi(cast(Engine, engine), parse_settings(options), lambda body: CallbackResult.ACCEPTED)
    send_job(FakeTransport(Acceptor(api, max_connections=64)()), "a", **headers)
    return engine.arguments["a"]


TENANTS = SETTINGS | {"accounts": [{"name": "electric", "allowancePerS": 9.0}, {"name": "water"}]}


def test_the_cost_hint_of_a_job_is_in_microseconds() -> None:
    assert arguments_of_job(SETTINGS, X_Call_Cost="250000")["cost_ms"] == 250.0
    assert arguments_of_job(SETTINGS)["cost_ms"] is None
    for invalid in ("-5", "0", "nan", "inf", "much", "1e30"):
        assert arguments_of_job(SETTINGS, X_Call_Cost=invalid)["cost_ms"] is None


def test_the_caller_is_the_tenant_of_that_name() -> None:
    assert arguments_of_job(TENANTS, X_Caller="electric")["tenant"] == 0
    assert arguments_of_job(TENANTS, X_Caller="water")["tenant"] == 1
    # A caller that the settings don't name gets none of the tenants with a quota.
    assert arguments_of_job(TENANTS, X_Caller="gas")["tenant"] == arguments_of_job(TENANTS)["tenant"] == 2


def test_a_job_with_two_callers_or_two_costs_is_refused() -> None:
    for name, first, second in (("X-Caller", "electric", "water"), ("X-Call-Cost", "1", "2000")):
        engine = AcceptingEngine()
        api = PlatformApi(cast(Engine, engine), parse_settings(TENANTS), lambda body: CallbackResult.ACCEPTED)
        wire = FakeTransport(Acceptor(api, max_connections=64)())
        send_job(wire, "a", **{name: f"{first}\r\n{name}: {second}"})
        assert b"400" in wire.written and not engine.accepted


def test_a_route_hash_gives_the_same_key_everywhere_and_a_retry_is_recognised() -> None:
    first, other = (
        arguments_of_job(SETTINGS, X_Route_Hash="7f3a", X_Again="1"),
        arguments_of_job(TENANTS, X_Route_Hash="7f3a"),
    )
    assert first["key"] == other["key"] is not None
    assert arguments_of_job(SETTINGS, X_Route_Hash="7f3b")["key"] != first["key"]
    assert first["retry"] and not other["retry"]


def test_during_a_stop_some_of_the_clients_connections_are_kept_free() -> None:
    # Guards against a job that occupies the last free connection, as clients can't open new ones here.
    engine = AcceptingEngine()
    api = PlatformApi(cast(Engine, engine), parse_settings(SETTINGS), lambda body: CallbackResult.ACCEPTED)
    acceptor = Acceptor(api, max_connections=64)
    wires = [FakeTransport(acceptor()) for _ in range(24)]
    for n, wire in enumerate(wires):
        send_job(wire, f"a{n}")
        cast(server.Connection, wire.protocol).respond(200)
    api.stopping = True
    for n, wire in enumerate(wires):
        send_job(wire, f"b{n}")
    assert len(engine.accepted) == 24 + 20
    for wire in wires[20:]:
        assert b"503" in wire.written and b"Retry-After: 0.100" in wire.written and not wire.closed


def test_during_a_stop_a_single_client_is_still_served() -> None:
    engine = AcceptingEngine()
    api = PlatformApi(cast(Engine, engine), parse_settings(SETTINGS), lambda body: CallbackResult.ACCEPTED)
    wire = FakeTransport(Acceptor(api, max_connections=64)())
    api.stopping = True
    send_job(wire, "a")
    assert engine.accepted == ["a"]
