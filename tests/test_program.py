"""The program as it is started: it speaks over sockets of this machine's loopback address."""

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


def test_a_job_goes_to_a_runner_and_its_result_comes_back(world: World) -> None:
    runner = world.runner("s-1")
    front = world.start()
    status, _, body = call(front, "POST", "/api?x=1", b"hello", {"X-Call-Id": "a1", "X-Call-Class": "order"})
    assert (status, body) == (200, b"result of a1")
    (got,) = runner.jobs
    assert (got.path, got.body, got.headers["x-call-id"]) == ("/api?x=1", b"hello", "a1")
    assert 0 < float(got.headers["x-budget"]) <= 10


def test_a_connection_to_a_runner_is_used_again(world: World) -> None:
    # Guards against closing every connection after its first answer: each new one costs the runner work.
    runner = world.runner("s-1")
    front = world.start()
    for n in range(5):
        assert call(front, "POST", "/api", b"", job(f"b{n}", "reading"))[0] == 200
        time.sleep(2 * REUSE_DELAY_S)  # however long: a second answer would have come by then
    assert len(runner.jobs) == 5
    assert runner.connections == 1


def job(call_id: str, job_class: str) -> dict[str, str]:
    """The headers of a job."""
    return {"X-Call-Id": call_id, "X-Call-Class": job_class, "Idempotency-Key": call_id}


def test_what_is_malformed_is_answered(world: World) -> None:
    runner = world.runner("s-1")
    front = world.start()
    good = {"X-Call-Id": "c1", "X-Call-Class": "order"}
    for budget in ("-1", "0", "0.000", "inf", "1e3", "1_0", "soon", "", "."):
        assert call(front, "POST", "/api", b"", good | {"X-Budget": budget})[0] == 400, budget
    for more in ({"X-Call-Class": "reading"}, {"X-Call-Info": "slots=-3"}, {"X-Call-Id": "a b"}):
        assert call(front, "POST", "/api", b"", good | more)[0] == 400, more
    with socket.create_connection(front, 30) as client:
        client.sendall(b"POST /api?\xe9 HTTP/1.1\r\nX-Call-Id: c2\r\nX-Call-Class: order\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 400")
    nested = b"[" * 60_000
    assert call(front, "POST", "/callback", nested, {})[0] == 400
    assert call(front, "POST", "/callback", b'{"id":"x","from":"y","state":[]}', {})[0] == 400
    assert not runner.jobs
    assert call(front, "POST", "/api", b"", good | {"X-Call-Class": "nothing"})[0] == 400
    assert call(front, "POST", "/api", b"", good | {"X-Budget": "nan"})[0] == 400
    assert call(front, "POST", "/api", b"", {"X-Call-Class": "order"})[0] == 400
    assert call(front, "POST", "/api", b"x" * 65537, good)[0] == 413
    assert call(front, "GET", "/nowhere", b"", {})[0] == 404
    assert call(front, "POST", "/callback", b"{", {})[0] == 400
    unknown = json.dumps({"id": "of-old", "from": "s-1", "state": "done", "result": ""}).encode()
    assert call(front, "POST", "/callback", unknown, {})[0] == 204


def test_without_a_runner_a_job_is_denied_in_time(world: World) -> None:
    front = world.start()
    status, headers, _ = call(
        front, "POST", "/api", b"", {"X-Call-Id": "d1", "X-Call-Class": "order", "X-Budget": "0.3"}
    )
    assert status in (429, 503)


def test_sigterm_ends_it_once_all_is_answered(world: World) -> None:
    runner = world.runner("s-1", seconds=0.8)
    front = world.start()
    pending = world.in_background(
        lambda: call(front, "POST", "/api", b"", {"X-Call-Id": "e1", "X-Call-Class": "order"})
    )
    wait_until(lambda: bool(runner.jobs))
    world.process.send_signal(signal.SIGTERM)
    wait_until(lambda: call(front, "GET", "/health/ready", b"", {})[0] == 503)
    assert pending()[0] == 200
    assert world.process.wait(20) == 0


def test_a_client_that_stays_after_sigterm_is_served_on_and_answered_before_the_kill(world: World) -> None:
    # Guards clients in a roll, whose next dispatcher is still starting; none of their jobs meets the kill.
    runner = world.runner("s-1")
    front = world.start()
    client = http.client.HTTPConnection(*front, timeout=30)

    def job(call_id: str) -> tuple[int, str | None]:
        client.request("POST", "/api", b"", {"X-Call-Id": call_id, "X-Call-Class": "order"})
        answer = client.getresponse()
        answer.read()
        return answer.status, answer.getheader("Connection")

    assert job("l0") == (200, None)
    world.process.send_signal(signal.SIGTERM)
    told = time.monotonic()
    time.sleep(0.8)
    if time.monotonic() - told < 0.9:  # else this machine is too busy to tell
        assert job("l1") == (200, None)
        runner.seconds = 60.0
        assert job("l2")[0] == 502
    client.close()
    assert world.process.wait(20) == 0


def test_a_bad_configuration_is_one_plain_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    for text, says in (("{", "not JSON"), ("[]", "not an object"), ("{}", "lacks 'settings'")):
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
        assert says in result.stderr and result.stderr.count("\n") == 1


def test_clients_that_say_nothing_or_never_finish_are_let_go(world: World) -> None:
    front = world.start()
    halves = [b"", b"POST /api HTTP/1.1\r\nX-Call", b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
    clients = [socket.create_connection(front, 30) for _ in halves]
    for client, half in zip(clients, halves, strict=True):
        client.sendall(half)
    for client, half in zip(clients, halves, strict=True):
        assert client.recv(100).startswith(b"HTTP/1.1 408" if half else b"")
        client.close()


def test_a_client_that_breaks_the_protocol_behind_an_open_job_is_answered_at_once(world: World) -> None:
    runner = world.runner("s-1", seconds=60.0)
    front = world.start()
    with socket.create_connection(front, 30) as client:
        client.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: m1\r\nX-Call-Class: order\r\n")
        client.sendall(b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: len(runner.jobs) == 1)
        client.sendall(b"\0\0\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 400") and client.recv(100) == b""


def test_a_hung_runner_holds_no_connection_for_ever(world: World) -> None:
    # Guards against give-ups that pile up on the silent connections of a machine that was cut off.
    runner = world.runner("s-1", seconds=60.0)
    front = world.start()
    job = {"X-Call-Id": "f1", "X-Call-Class": "order", "X-Budget": "1.0"}
    answer = world.in_background(lambda: call(front, "POST", "/api", b"", job))
    wait_until(lambda: len(runner.jobs) == 1)
    runner.hung = True
    assert answer()[0] == 502
    wait_until(lambda: runner.held == 1)  # the give-up, which is not answered
    wait_until(lambda: runner.held == 0)


def test_a_server_that_drains_gets_nothing_new(world: World) -> None:
    runner = world.runner("s-1")
    other = world.runner("s-2")
    front = world.start()
    world.set_state(runner, "Terminating")
    wait_until(lambda: world.discovery.told == world.discovery.rev)
    for n in range(4):
        assert call(front, "POST", "/api", b"", {"X-Call-Id": f"g{n}", "X-Call-Class": "order"})[0] == 200
    assert (len(runner.jobs), len(other.jobs)) == (0, 4)


def test_a_client_that_leaves_has_its_job_given_up(world: World) -> None:
    runner = world.runner("s-1", seconds=5.0)
    front = world.start()
    with socket.create_connection(front) as client:
        client.sendall(b"POST /api HTTP/1.1\r\nX-Call-Id: h1\r\nX-Call-Class: order\r\n")
        client.sendall(b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: len(runner.jobs) == 1)
    wait_until(lambda: runner.given_up == ["h1"])


def test_a_full_runner_is_passed_over_and_a_failed_order_is_not_sent_again(world: World) -> None:
    full, ill = world.runner("s-1"), world.runner("s-2")
    full.status, ill.end = 503, "failed"
    front = world.start()
    for n in range(3):  # once it is known to fail it gets trials only, and the others are refused
        status = call(front, "POST", "/api", b"", {"X-Call-Id": f"i{n}", "X-Call-Class": "order"})[0]
        assert status in ((502,) if n == 0 else (502, 503))
    sent = [j.headers["x-call-id"] for j in ill.jobs]
    assert sent and len(set(sent)) == len(sent)


def test_a_watch_that_falls_silent_is_opened_anew(world: World) -> None:
    front = world.start()
    world.discovery.mute = True
    wait_until(lambda: world.discovery.watches >= 2)
    world.discovery.mute = False
    world.runner("s-1")
    assert call(front, "POST", "/api", b"", {"X-Call-Id": "j1", "X-Call-Class": "order"})[0] == 200


def test_sighup_moves_to_the_discovery_that_the_file_now_names_and_loses_no_session(world: World) -> None:
    # Guards against ending on SIGHUP, and against a move during which jobs are lost.
    runner = world.runner("s-1", seconds=0.6)
    front = world.start()
    job = {"X-Call-Id": "k1", "X-Call-Class": "order"}
    pending = world.in_background(lambda: call(front, "POST", "/api", b"", job))
    wait_until(lambda: bool(runner.jobs))
    path = world.folder / "config.json"
    config = json.loads(path.read_text())
    path.write_text("{ not whole")
    world.process.send_signal(signal.SIGHUP)  # a file that can't be read changes nothing
    old, new = world.discovery, Discovery(world)
    new.rev = old.rev + 1
    path.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{new.address[1]}"}))

    def moved() -> bool:
        world.process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        return new.watches > 0

    wait_until(moved)
    assert pending()[0] == 200
    old.mute = True
    runner.state = "Terminating"
    other = world.runner("s-2")
    new.rev += 1
    wait_until(lambda: new.told == new.rev)
    assert call(front, "POST", "/api", b"", {"X-Call-Id": "k2", "X-Call-Class": "order"})[0] == 200
    assert (len(runner.jobs), len(other.jobs)) == (1, 1)
    watches = old.watches
    world.process.send_signal(signal.SIGHUP)  # the file names the address in use: nothing is opened anew
    assert call(front, "POST", "/api", b"", {"X-Call-Id": "k3", "X-Call-Class": "order"})[0] == 200
    assert (new.watches, old.watches) == (1, watches)
    new.close()


def test_an_appliance_moves_to_the_list_in_its_file_and_not_to_a_malformed_one(world: World) -> None:
    runner = world.runner("s-1")
    front = world.start_appliance()
    other = world.runner("s-2")
    path = world.folder / "appliance.toml"
    text = path.read_text().replace('source = "discovery"', 'source = "list"')
    line = '\n[[servers.list]]\nuid = "s-2"\nstate = "%s"\nendpoint = "127.0.0.1:%d"\n[drmaa]'

    def servers() -> dict[str, str]:
        listed = json.loads(call(front, "GET", "/console/servers", b"", {})[2])
        return {server["server"]: server["state"] for server in listed}

    path.write_text(text.replace("\n[drmaa]", line % ("Asleep", other.address[1])))
    world.process.send_signal(signal.SIGHUP)
    wait_until(lambda: servers() == {"s-1": "ready", "s-2": "ready"})
    path.write_text(text.replace("\n[drmaa]", line % ("Ready", other.address[1])))

    def moved() -> bool:
        world.process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        return servers() == {"s-2": "ready"}

    wait_until(moved)
    assert not runner.jobs
