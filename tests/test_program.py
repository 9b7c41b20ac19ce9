"""The program as a process, reached over loopback sockets."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from grebestack.transport.client import REUSE_DELAY_S
from tests.standins import Discovery, World, call, wait_until


def test_a_job_is_sent_to_a_worker_and_its_result_is_returned(world: World) -> None:
    worker = world.runner("s-1")
    dispatcher = world.start()
    status, _, body = call(
        dispatcher, "POST", "/api?x=1", b"hello", {"X-Call-Id": "a1", "X-Call-Class": "order"}
    )
    assert (status, body) == (200, b"result of a1")
    (received,) = worker.jobs
    assert (received.path, received.body, received.headers["x-call-id"]) == ("/api?x=1", b"hello", "a1")
    assert 0 < float(received.headers["x-budget"]) <= 10


def test_a_connection_to_a_worker_is_reused(world: World) -> None:
    # Guards against closing each connection after its first response: new ones cost the worker time.
    worker = world.runner("s-1")
    dispatcher = world.start()
    for n in range(5):
        assert call(dispatcher, "POST", "/api", b"", job(f"b{n}", "reading"))[0] == 200
        time.sleep(2 * REUSE_DELAY_S)  # by then a second response would have arrived
    assert len(worker.jobs) == 5
    assert worker.connections == 1


def job(call_id: str, job_class: str) -> dict[str, str]:
    """Return the headers of a job."""
    return {"X-Call-Id": call_id, "X-Call-Class": job_class, "Idempotency-Key": call_id}


def test_malformed_requests_get_error_responses(world: World) -> None:
    worker = world.runner("s-1")
    dispatcher = world.start()
    valid = {"X-Call-Id": "c1", "X-Call-Class": "order"}
    for budget in ("-1", "0", "0.000", "inf", "1e3", "1_0", "soon", "", "."):
        assert call(dispatcher, "POST", "/api", b"", valid | {"X-Budget": budget})[0] == 400, budget
    for headers in ({"X-Call-Class": "reading"}, {"X-Call-Info": "slots=-3"}, {"X-Call-Id": "a b"}):
        assert call(dispatcher, "POST", "/api", b"", valid | headers)[0] == 400, headers
    with socket.create_connection(dispatcher, 30) as client:
        client.sendall(b"POST /api?\xe9 HTTP/1.1\r\nX-Call-Id: c2\r\nX-Call-Class: order\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 400")
    nested = b"[" * 60_000
    assert call(dispatcher, "POST", "/callback", nested, {})[0] == 400
    assert call(dispatcher, "POST", "/callback", b'{"id":"x","from":"y","state":[]}', {})[0] == 400
    assert not worker.jobs
    assert call(dispatcher, "POST", "/api", b"", valid | {"X-Call-Class": "nothing"})[0] == 400
    assert call(dispatcher, "POST", "/api", b"", valid | {"X-Budget": "nan"})[0] == 400
    assert call(dispatcher, "POST", "/api", b"", {"X-Call-Class": "order"})[0] == 400
    assert call(dispatcher, "POST", "/api", b"x" * 65537, valid)[0] == 413
    assert call(dispatcher, "GET", "/nowhere", b"", {})[0] == 404
    assert call(dispatcher, "POST", "/callback", b"{", {})[0] == 400
    unknown = json.dumps({"id": "of-old", "from": "s-1", "state": "done", "result": ""}).encode()
    assert call(dispatcher, "POST", "/callback", unknown, {})[0] == 204


def test_a_job_without_any_worker_is_rejected(world: World) -> None:
    dispatcher = world.start()
    status, headers, _ = call(
        dispatcher, "POST", "/api", b"", {"X-Call-Id": "d1", "X-Call-Class": "order", "X-Budget": "0.3"}
    )
    assert status in (429, 503)


def test_sigterm_ends_the_process_once_all_requests_are_answered(world: World) -> None:
    worker = world.runner("s-1", seconds=0.8)
    dispatcher = world.start()
    pending = world.in_background(
        lambda: call(dispatcher, "POST", "/api", b"", {"X-Call-Id": "e1", "X-Call-Class": "order"})
    )
    wait_until(lambda: bool(worker.jobs))
    world.process.send_signal(signal.SIGTERM)
    wait_until(lambda: call(dispatcher, "GET", "/health/ready", b"", {})[0] == 503)
    assert pending()[0] == 200
    assert world.process.wait(20) == 0


def test_a_client_that_stays_connected_after_sigterm_is_served_and_answered_before_sigkill(
    world: World,
) -> None:
    # In a rolling restart the next dispatcher may still be starting, and no job may be cut off by SIGKILL.
    worker = world.runner("s-1")
    dispatcher = world.start()
    client = http.client.HTTPConnection(*dispatcher, timeout=30)

    def job(call_id: str) -> tuple[int, str | None]:
        client.request("POST", "/api", b"", {"X-Call-Id": call_id, "X-Call-Class": "order"})
        answer = client.getresponse()
        answer.read()
        return answer.status, answer.getheader("Connection")

    assert job("l0") == (200, None)
    world.process.send_signal(signal.SIGTERM)
    signalled_s = time.monotonic()
    time.sleep(0.8)
    if time.monotonic() - signalled_s < 0.9:  # otherwise this machine is too busy for the timing
        assert job("l1") == (200, None)
        worker.seconds = 60.0
        assert job("l2")[0] == 502
    client.close()
    assert world.process.wait(20) == 0


def test_an_invalid_configuration_prints_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    for text, message in (("{", "not JSON"), ("[]", "not an object"), ("{}", "lacks 'settings'")):
        path.write_text(text)
        result = subprocess.run(
            [sys.executable, "-m", "grebestack"],
            env=os.environ | {"RELAY_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert result.returncode == 2
        assert message in result.stderr and result.stderr.count("\n") == 1


def test_connections_without_a_complete_request_are_closed(world: World) -> None:
    dispatcher = world.start()
    incomplete = [b"", b"POST /api HTTP/1.1\r\nX-Call", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
    clients = [socket.create_connection(dispatcher, 30) for _ in incomplete]
    for client, data in zip(clients, incomplete, strict=True):
        client.sendall(data)
    for client, data in zip(clients, incomplete, strict=True):
        assert client.recv(100).startswith(b"HTTP/1.1 408" if data else b"")
        client.close()


def test_a_protocol_error_behind_an_open_job_is_answered_at_once(world: World) -> None:
    worker = world.runner("s-1", seconds=60.0)
    dispatcher = world.start()
    with socket.create_connection(dispatcher, 30) as client:
        client.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: m1\r\nX-Call-Class: order\r\n")
        client.sendall(b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: len(worker.jobs) == 1)
        client.sendall(b"\0\0\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 400") and client.recv(100) == b""


def test_a_hung_worker_does_not_hold_connections_forever(world: World) -> None:
    # Guards against cancellations that accumulate on the silent connections of an unreachable machine.
    worker = world.runner("s-1", seconds=60.0)
    dispatcher = world.start()
    job = {"X-Call-Id": "f1", "X-Call-Class": "order", "X-Budget": "1.0"}
    response = world.in_background(lambda: call(dispatcher, "POST", "/api", b"", job))
    wait_until(lambda: len(worker.jobs) == 1)
    worker.hung = True
    assert response()[0] == 502
    wait_until(lambda: worker.held == 1)  # the connection of the cancellation, which gets no response
    wait_until(lambda: worker.held == 0)


def test_a_draining_worker_gets_no_new_jobs(world: World) -> None:
    worker = world.runner("s-1")
    other = world.runner("s-2")
    dispatcher = world.start()
    world.set_state(worker, "Terminating")
    wait_until(lambda: world.discovery.told == world.discovery.rev)
    for n in range(4):
        assert (
            call(dispatcher, "POST", "/api", b"", {"X-Call-Id": f"g{n}", "X-Call-Class": "order"})[0] == 200
        )
    assert (len(worker.jobs), len(other.jobs)) == (0, 4)


def test_a_job_is_cancelled_when_its_client_disconnects(world: World) -> None:
    worker = world.runner("s-1", seconds=5.0)
    dispatcher = world.start()
    with socket.create_connection(dispatcher) as client:
        client.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: h1\r\nX-Call-Class: order\r\n")
        client.sendall(b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: len(worker.jobs) == 1)
    wait_until(lambda: worker.given_up == ["h1"])


def test_a_full_worker_is_skipped_and_a_failed_order_is_not_retried(world: World) -> None:
    full, failing = world.runner("s-1"), world.runner("s-2")
    full.status, failing.end = 503, "failed"
    dispatcher = world.start()
    for n in range(3):  # once it is known to fail it gets only trial attempts, and other jobs are rejected
        status = call(dispatcher, "POST", "/api", b"", {"X-Call-Id": f"i{n}", "X-Call-Class": "order"})[0]
        assert status in ((502,) if n == 0 else (502, 503))
    sent = [j.headers["x-call-id"] for j in failing.jobs]
    assert sent and len(set(sent)) == len(sent)


def test_a_silent_watch_is_reopened(world: World) -> None:
    dispatcher = world.start()
    world.discovery.mute = True
    wait_until(lambda: world.discovery.watches >= 2)
    world.discovery.mute = False
    world.runner("s-1")
    assert call(dispatcher, "POST", "/api", b"", {"X-Call-Id": "j1", "X-Call-Class": "order"})[0] == 200


def test_sighup_switches_to_the_discovery_that_the_file_names_and_loses_no_request(world: World) -> None:
    # Guards against a process that ends on SIGHUP, and against jobs lost during the switch.
    worker = world.runner("s-1", seconds=0.6)
    dispatcher = world.start()
    job = {"X-Call-Id": "k1", "X-Call-Class": "order"}
    pending = world.in_background(lambda: call(dispatcher, "POST", "/api", b"", job))
    wait_until(lambda: bool(worker.jobs))
    path = world.folder / "config.json"
    config = json.loads(path.read_text())
    path.write_text("{ not whole")
    world.process.send_signal(signal.SIGHUP)  # an invalid file changes nothing
    old, new = world.discovery, Discovery(world)
    new.rev = old.rev + 1
    path.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{new.address[1]}"}))

    def has_switched() -> bool:
        world.process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        return new.watches > 0

    wait_until(has_switched)
    assert pending()[0] == 200
    old.mute = True
    worker.state = "Terminating"
    other = world.runner("s-2")
    new.rev += 1
    wait_until(lambda: new.told == new.rev)
    assert call(dispatcher, "POST", "/api", b"", {"X-Call-Id": "k2", "X-Call-Class": "order"})[0] == 200
    assert (len(worker.jobs), len(other.jobs)) == (1, 1)
    watches = old.watches
    world.process.send_signal(signal.SIGHUP)  # the address is unchanged, so no watch is reopened
    assert call(dispatcher, "POST", "/api", b"", {"X-Call-Id": "k3", "X-Call-Class": "order"})[0] == 200
    assert (new.watches, old.watches) == (1, watches)
    new.close()


def test_an_appliance_switches_to_the_list_in_its_file_but_not_to_a_malformed_one(world: World) -> None:
    worker = world.runner("s-1")
    dispatcher = world.start_appliance()
    other = world.runner("s-2")
    path = world.folder / "appliance.toml"
    text = path.read_text().replace('source = "discovery"', 'source = "list"')
    entry = '\n[[servers.list]]\nuid = "s-2"\nstate = "%s"\nendpoint = "127.0.0.1:%d"\n[drmaa]'

    def worker_states() -> dict[str, str]:
        rows = json.loads(call(dispatcher, "GET", "/console/servers", b"", {})[2])
        return {row["server"]: row["state"] for row in rows}

    path.write_text(text.replace("\n[drmaa]", entry % ("Asleep", other.address[1])))
    world.process.send_signal(signal.SIGHUP)
    wait_until(lambda: worker_states() == {"s-1": "ready", "s-2": "ready"})
    path.write_text(text.replace("\n[drmaa]", entry % ("Ready", other.address[1])))

    def has_switched() -> bool:
        world.process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        return worker_states() == {"s-2": "ready"}

    wait_until(has_switched)
    assert not worker.jobs
