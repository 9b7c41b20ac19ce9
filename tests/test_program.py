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
from tests.standins import DiscoveryStandIn, DispatcherTestbed, send_request, wait_until


def test_a_job_is_sent_to_a_worker_and_its_result_is_returned(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1")
    dispatcher = testbed.start()
    status, _, body = send_request(
        dispatcher, "POST", "/api?x=1", b"hello", {"X-Call-Id": "a1", "X-Call-Class": "order"}
    )
    assert (status, body) == (200, b"result of a1")
    (received,) = worker.jobs
    assert (received.path, received.body, received.headers["x-call-id"]) == ("/api?x=1", b"hello", "a1")
    assert 0 < float(received.headers["x-budget"]) <= 10


def test_a_connection_to_a_worker_is_reused(testbed: DispatcherTestbed) -> None:
    # Guards against closing each connection after its first response: new ones cost the worker time.
    worker = testbed.add_worker("s-1")
    dispatcher = testbed.start()
    for n in range(5):
        assert send_request(dispatcher, "POST", "/api", b"", job(f"b{n}", "reading"))[0] == 200
        time.sleep(2 * REUSE_DELAY_S)  # by then a second response would have arrived
    assert len(worker.jobs) == 5
    assert worker.connections == 1


def job(call_id: str, job_class: str) -> dict[str, str]:
    """Return the headers of a job."""
    return {"X-Call-Id": call_id, "X-Call-Class": job_class, "Idempotency-Key": call_id}


def test_malformed_requests_get_error_responses(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1")
    dispatcher = testbed.start()
    valid = {"X-Call-Id": "c1", "X-Call-Class": "order"}
    for budget in ("-1", "0", "0.000", "inf", "1e3", "1_0", "soon", "", "."):
        assert send_request(dispatcher, "POST", "/api", b"", valid | {"X-Budget": budget})[0] == 400, budget
    for headers in ({"X-Call-Class": "reading"}, {"X-Call-Info": "slots=-3"}, {"X-Call-Id": "a b"}):
        assert send_request(dispatcher, "POST", "/api", b"", valid | headers)[0] == 400, headers
    with socket.create_connection(dispatcher, 30) as client:
        client.sendall(b"POST /api?\xe9 HTTP/1.1\r\nX-Call-Id: c2\r\nX-Call-Class: order\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 400")
    nested = b"[" * 60_000
    assert send_request(dispatcher, "POST", "/callback", nested, {})[0] == 400
    assert send_request(dispatcher, "POST", "/callback", b'{"id":"x","from":"y","state":[]}', {})[0] == 400
    assert not worker.jobs
    assert send_request(dispatcher, "POST", "/api", b"", valid | {"X-Call-Class": "nothing"})[0] == 400
    assert send_request(dispatcher, "POST", "/api", b"", valid | {"X-Budget": "nan"})[0] == 400
    assert send_request(dispatcher, "POST", "/api", b"", {"X-Call-Class": "order"})[0] == 400
    assert send_request(dispatcher, "POST", "/api", b"x" * 65537, valid)[0] == 413
    assert send_request(dispatcher, "GET", "/nowhere", b"", {})[0] == 404
    assert send_request(dispatcher, "POST", "/callback", b"{", {})[0] == 400
    unknown = json.dumps({"id": "of-old", "from": "s-1", "state": "done", "result": ""}).encode()
    assert send_request(dispatcher, "POST", "/callback", unknown, {})[0] == 204


def test_a_job_without_any_worker_is_rejected(testbed: DispatcherTestbed) -> None:
    dispatcher = testbed.start()
    status, headers, _ = send_request(
        dispatcher, "POST", "/api", b"", {"X-Call-Id": "d1", "X-Call-Class": "order", "X-Budget": "0.3"}
    )
    assert status in (429, 503)


def test_sigterm_ends_the_process_once_all_requests_are_answered(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1", seconds=0.8)
    dispatcher = testbed.start()
    pending = testbed.in_background(
        lambda: send_request(dispatcher, "POST", "/api", b"", {"X-Call-Id": "e1", "X-Call-Class": "order"})
    )
    wait_until(lambda: bool(worker.jobs))
    testbed.process.send_signal(signal.SIGTERM)
    wait_until(lambda: send_request(dispatcher, "GET", "/health/ready", b"", {})[0] == 503)
    assert pending()[0] == 200
    assert testbed.process.wait(20) == 0


def test_a_client_that_stays_connected_after_sigterm_is_served_and_answered_before_sigkill(
    testbed: DispatcherTestbed,
) -> None:
    # In a rolling restart the next dispatcher may still be starting, and no job may be cut off by SIGKILL.
    worker = testbed.add_worker("s-1")
    dispatcher = testbed.start()
    client = http.client.HTTPConnection(*dispatcher, timeout=30)

    def job(call_id: str) -> tuple[int, str | None]:
        client.request("POST", "/api", b"", {"X-Call-Id": call_id, "X-Call-Class": "order"})
        answer = client.getresponse()
        answer.read()
        return answer.status, answer.getheader("Connection")

    assert job("l0") == (200, None)
    testbed.process.send_signal(signal.SIGTERM)
    signalled_s = time.monotonic()
    time.sleep(0.8)
    if time.monotonic() - signalled_s < 0.9:  # otherwise this machine is too busy for the timing
        assert job("l1") == (200, None)
        worker.job_seconds = 60.0
        assert job("l2")[0] == 502
    client.close()
    assert testbed.process.wait(20) == 0


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


def test_connections_without_a_complete_request_are_closed(testbed: DispatcherTestbed) -> None:
    dispatcher = testbed.start()
    incomplete = [b"", b"POST /api HTTP/1.1\r\nX-Call", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
    clients = [socket.create_connection(dispatcher, 30) for _ in incomplete]
    for client, data in zip(clients, incomplete, strict=True):
        client.sendall(data)
    for client, data in zip(clients, incomplete, strict=True):
        assert client.recv(100).startswith(b"HTTP/1.1 408" if data else b"")
        client.close()


def test_a_protocol_error_behind_an_open_job_is_answered_at_once(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1", seconds=60.0)
    dispatcher = testbed.start()
    with socket.create_connection(dispatcher, 30) as client:
        client.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: m1\r\nX-Call-Class: order\r\n")
        client.sendall(b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: len(worker.jobs) == 1)
        client.sendall(b"\0\0\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 400") and client.recv(100) == b""


def test_a_hung_worker_does_not_hold_connections_forever(testbed: DispatcherTestbed) -> None:
    # Guards against cancellations that accumulate on the silent connections of an unreachable machine.
    worker = testbed.add_worker("s-1", seconds=60.0)
    dispatcher = testbed.start()
    job = {"X-Call-Id": "f1", "X-Call-Class": "order", "X-Budget": "1.0"}
    response = testbed.in_background(lambda: send_request(dispatcher, "POST", "/api", b"", job))
    wait_until(lambda: len(worker.jobs) == 1)
    worker.unresponsive = True
    assert response()[0] == 502
    wait_until(
        lambda: worker.waiting_requests == 1
    )  # the connection of the cancellation, which gets no response
    wait_until(lambda: worker.waiting_requests == 0)


def test_a_draining_worker_gets_no_new_jobs(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1")
    other = testbed.add_worker("s-2")
    dispatcher = testbed.start()
    testbed.set_state(worker, "Terminating")
    wait_until(lambda: testbed.discovery.sent_revision == testbed.discovery.revision)
    for n in range(4):
        assert (
            send_request(dispatcher, "POST", "/api", b"", {"X-Call-Id": f"g{n}", "X-Call-Class": "order"})[0]
            == 200
        )
    assert (len(worker.jobs), len(other.jobs)) == (0, 4)


def test_a_job_is_cancelled_when_its_client_disconnects(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1", seconds=5.0)
    dispatcher = testbed.start()
    with socket.create_connection(dispatcher) as client:
        client.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: h1\r\nX-Call-Class: order\r\n")
        client.sendall(b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: len(worker.jobs) == 1)
    wait_until(lambda: worker.cancelled == ["h1"])


def test_a_full_worker_is_skipped_and_a_failed_order_is_not_retried(testbed: DispatcherTestbed) -> None:
    full, failing = testbed.add_worker("s-1"), testbed.add_worker("s-2")
    full.status, failing.final_state = 503, "failed"
    dispatcher = testbed.start()
    for n in range(3):  # once it is known to fail it gets only trial attempts, and other jobs are rejected
        status = send_request(
            dispatcher, "POST", "/api", b"", {"X-Call-Id": f"i{n}", "X-Call-Class": "order"}
        )[0]
        assert status in ((502,) if n == 0 else (502, 503))
    sent = [j.headers["x-call-id"] for j in failing.jobs]
    assert sent and len(set(sent)) == len(sent)


def test_a_silent_watch_is_reopened(testbed: DispatcherTestbed) -> None:
    dispatcher = testbed.start()
    testbed.discovery.paused = True
    wait_until(lambda: testbed.discovery.watch_count >= 2)
    testbed.discovery.paused = False
    testbed.add_worker("s-1")
    assert (
        send_request(dispatcher, "POST", "/api", b"", {"X-Call-Id": "j1", "X-Call-Class": "order"})[0] == 200
    )


def test_sighup_switches_to_the_discovery_that_the_file_names_and_loses_no_request(
    testbed: DispatcherTestbed,
) -> None:
    # Guards against a process that ends on SIGHUP, and against jobs lost during the switch.
    worker = testbed.add_worker("s-1", seconds=0.6)
    dispatcher = testbed.start()
    job = {"X-Call-Id": "k1", "X-Call-Class": "order"}
    pending = testbed.in_background(lambda: send_request(dispatcher, "POST", "/api", b"", job))
    wait_until(lambda: bool(worker.jobs))
    path = testbed.folder / "config.json"
    config = json.loads(path.read_text())
    path.write_text("{ not whole")
    testbed.process.send_signal(signal.SIGHUP)  # an invalid file changes nothing
    old, new = testbed.discovery, DiscoveryStandIn(testbed)
    new.revision = old.revision + 1
    path.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{new.address[1]}"}))

    def has_switched() -> bool:
        testbed.process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        return new.watch_count > 0

    wait_until(has_switched)
    assert pending()[0] == 200
    old.paused = True
    worker.state = "Terminating"
    other = testbed.add_worker("s-2")
    new.revision += 1
    wait_until(lambda: new.sent_revision == new.revision)
    assert (
        send_request(dispatcher, "POST", "/api", b"", {"X-Call-Id": "k2", "X-Call-Class": "order"})[0] == 200
    )
    assert (len(worker.jobs), len(other.jobs)) == (1, 1)
    watches = old.watch_count
    testbed.process.send_signal(signal.SIGHUP)  # the address is unchanged, so no watch is reopened
    assert (
        send_request(dispatcher, "POST", "/api", b"", {"X-Call-Id": "k3", "X-Call-Class": "order"})[0] == 200
    )
    assert (new.watch_count, old.watch_count) == (1, watches)
    new.close()


def test_an_appliance_switches_to_the_list_in_its_file_but_not_to_a_malformed_one(
    testbed: DispatcherTestbed,
) -> None:
    worker = testbed.add_worker("s-1")
    dispatcher = testbed.start_from_operator_file()
    other = testbed.add_worker("s-2")
    path = testbed.folder / "appliance.toml"
    text = path.read_text().replace('source = "discovery"', 'source = "list"')
    entry = '\n[[servers.list]]\nuid = "s-2"\nstate = "%s"\nendpoint = "127.0.0.1:%d"\n[drmaa]'

    def worker_states() -> dict[str, str]:
        rows = json.loads(send_request(dispatcher, "GET", "/console/servers", b"", {})[2])
        return {row["server"]: row["state"] for row in rows}

    path.write_text(text.replace("\n[drmaa]", entry % ("Asleep", other.address[1])))
    testbed.process.send_signal(signal.SIGHUP)
    wait_until(lambda: worker_states() == {"s-1": "ready", "s-2": "ready"})
    path.write_text(text.replace("\n[drmaa]", entry % ("Ready", other.address[1])))

    def has_switched() -> bool:
        testbed.process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        return worker_states() == {"s-2": "ready"}

    wait_until(has_switched)
    assert not worker.jobs
