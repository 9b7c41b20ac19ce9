"""Small stand-ins for job runners and discovery, on loopback addresses and ports of the system's choice."""

from __future__ import annotations

import http.client
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, TypeVar

from tests.ports import reserved_port

T = TypeVar("T")
Address = tuple[str, int]
Response = tuple[int, dict[str, str], bytes]
SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "order", "aimMs": 600.0, "hardLimitMs": 10_000.0, "effect": "single_shot", "value": 5.0},
        {"name": "reading", "aimMs": 400.0, "hardLimitMs": 5000.0, "effect": "guarded", "windowMs": 7500.0},
    ],
    "limits": {
        "cancel": True,
        "secondCopies": True,
        "mostTries": 5,
        "connIdleMs": 10_000.0,
        "connectTimeoutMs": 2000.0,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
    },
    "rules": {"drainGraceMs": 250.0, "graceToAnswerMs": 20.0},
    "report": {"how": "inline", "fields": ["x0", "x1"]},
    "extra": {"reportX0": "free slots", "reportX1": "free memory", "classStretch": [2.5, 2.0]},
    "zones": ["here"],
    "models": ["c8"],
    "zone": 0,
    "tickMs": 5.0,
}

PLATFORM_CONFIG: dict[str, Any] = {"settings": SETTINGS, "seed": "1f", "limits": {"sockets": 256}}

OPERATOR_SETTINGS = """
[settings]
zones = ["here"]
models = ["c8"]
zone = 0
tickMs = 5.0
[settings.limits]
cancel = true
secondCopies = true
mostTries = 5
connectTimeoutMs = 2000.0
retryAfter = true
maxRetryAfterMs = 2000.0
[settings.rules]
drainGraceMs = 250.0
graceToAnswerMs = 20.0
[settings.report]
how = "inline"
fields = ["x0", "x1"]
[settings.extra]
reportX0 = "free slots"
reportX1 = "free memory"
classStretch = [2.5, 2.0]
[[settings.services]]
name = "order"
aimMs = 600.0
hardLimitMs = 6000.0
effect = "single_shot"
value = 5.0
[[settings.services]]
name = "reading"
aimMs = 400.0
hardLimitMs = 6000.0
effect = "guarded"
windowMs = 7500.0
"""


def wait_until(true: Callable[[], bool], seconds: float = 20.0) -> None:
    """Wait for something to become true; how long it takes on a busy machine does not matter."""
    until = time.monotonic() + seconds
    while not true():
        assert time.monotonic() < until, "it did not happen"
        time.sleep(0.005)


def send_admin_command(door: Address, line: str) -> str:
    """One call at the operators' door."""
    with socket.create_connection(door, 30) as caller:
        caller.sendall(line.encode() + b"\n")
        return caller.makefile().read()


def repeat_admin_command(door: Address, line: str) -> None:
    """Call until it is a SUCCESS: during an upgrade a busy machine may have it be said again."""
    wait_until(lambda: send_admin_command(door, line).startswith("SUCCESS"))


def reports_ready(door: Address) -> bool:
    """Whether the door says that its process is ready."""
    try:
        return send_admin_command(door, "health").startswith("SUCCESS")
    except OSError:
        return False


def send_request(address: Address, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response:
    """One request on a connection of its own."""
    connection = http.client.HTTPConnection(*address, timeout=30)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    finally:
        connection.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    stand_in: Any


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.server.stand_in.connections += 1

    def log_message(self, format: str, *args: Any) -> None:
        pass

    def _any(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.stand_in.handle(self, body)

    do_GET = do_POST = do_PUT = do_DELETE = _any  # noqa: N815 (the library's names)

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StandIn:
    """A server on a thread; `handle` says what it does."""

    def __init__(self) -> None:
        self.connections = 0
        self.server = _Server(("127.0.0.1", 0), _Handler)
        self.server.stand_in = self
        self.address: Address = ("127.0.0.1", self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def handle(self, http: _Handler, body: bytes) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()


@dataclass
class ReceivedJob:
    """What a runner was sent."""

    path: str
    headers: dict[str, str]
    body: bytes


@dataclass
class JobRuns:
    """How often each job has run, over all runners."""

    counts: dict[str, int] = field(default_factory=dict)


class WorkerStandIn(StandIn):
    """Takes jobs with 202, runs each for a while and calls back."""

    def __init__(self, uid: str, testbed: DispatcherTestbed, seconds: float = 0.0) -> None:
        self.uid, self.testbed, self.job_seconds = uid, testbed, seconds
        self.state = "Ready"
        self.status = 202
        self.final_state = "done"
        self.jobs: list[ReceivedJob] = []
        self.cancelled: list[str] = []
        self.confirms_cancel = False  # whether it says that it gives a job up, and then does
        self.skips_callbacks = False  # whether it keeps silent about ends
        self.unresponsive = False  # whether it answers nothing at all
        self.waiting_requests = 0  # connections that it holds while it is hung
        super().__init__()

    def handle(self, http: _Handler, body: bytes) -> None:
        if self.unresponsive:
            self.waiting_requests += 1
            http.rfile.read(1)  # until the dispatcher ends the connection
            self.waiting_requests -= 1
            http.close_connection = True
            return
        if http.command == "DELETE":
            self.cancelled.append(http.path.rpartition("/")[2])
            http.reply(204 if self.confirms_cancel else 404)
            return
        headers = {k.lower(): v for k, v in http.headers.items()}
        self.jobs.append(ReceivedJob(http.path, headers, body))
        if self.status != 202:
            http.reply(self.status, X_Rejected="1")
            return
        try:
            http.reply(202)
        finally:  # a worker runs a job that it has taken, even if the dispatcher was killed before the 202
            threading.Timer(self.job_seconds, self.finish, [headers["x-call-id"]]).start()

    def finish(self, call_id: str) -> None:
        self.testbed.job_runs.counts[call_id] = self.testbed.job_runs.counts.get(call_id, 0) + 1
        if self.skips_callbacks or (self.confirms_cancel and call_id in self.cancelled):
            return
        self.call_back(
            call_id, state=self.final_state, result=f"result of {call_id}", load={"x0": 8, "x1": 8}
        )

    def call_back(self, call_id: str, **what: Any) -> int | None:
        """Call back until it is answered, ten times at most."""
        message = json.dumps({"id": call_id, "from": self.uid, **what}).encode()
        for _ in range(10):
            try:
                return send_request(self.testbed.client_address, "POST", "/callback", message, {})[0]
            except OSError:
                time.sleep(0.3)
        return None


class DiscoveryStandIn(StandIn):
    """Serves the list of the testbed's runners, and watches of it."""

    def __init__(self, testbed: DispatcherTestbed) -> None:
        self.testbed = testbed
        self.revision = 1
        self.sent_revision = 0  # the newest version that a watch was sent
        self.watch_count = 0
        self.paused = False
        super().__init__()

    def full_list(self) -> bytes:
        """The whole list."""
        targets = [
            {
                "uid": r.uid,
                "endpoint": f"127.0.0.1:{r.address[1]}",
                "az": "here",
                "model": "c8",
                "pod_group": 0,
                "state": r.state,
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for r in self.testbed.workers
        ]
        return json.dumps({"rev": self.revision, "all": True, "targets": targets}).encode() + b"\n"

    def handle(self, http: _Handler, body: bytes) -> None:
        http.send_response(200)
        http.send_header("Transfer-Encoding", "chunked")
        http.end_headers()
        self.watch_count += 1
        sent, heard = 0, 0.0
        while not self.testbed.closed:
            if self.paused:
                time.sleep(0.05)
                continue
            if sent != self.revision or time.monotonic() - heard > 1.0:
                data = self.full_list() if sent != self.revision else b"\n"
                sent, heard = self.revision, time.monotonic()
                try:
                    http.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                    self.sent_revision = sent
                except OSError:
                    break
            time.sleep(0.005)
        http.close_connection = True


class DispatcherTestbed:
    """Runners, discovery and one dispatcher, which is started as the platform starts it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.closed = False
        self.job_runs = JobRuns()
        self.workers: list[WorkerStandIn] = []
        self.discovery = DiscoveryStandIn(self)
        self.worker_source: Any = self.discovery
        self.client_address: Address = ("127.0.0.1", reserved_port())
        self.admin_address: Address = ("127.0.0.1", reserved_port())
        self.processes: list[subprocess.Popen[bytes]] = []
        self.initial_list: dict[str, Any] = {}  # the list that a dispatcher holds at its start
        self.shared_socket: socket.socket | None = (
            None  # the clients' listening socket, where the platform holds it
        )

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The newest dispatcher."""
        return self.processes[-1]

    def add_worker(self, uid: str, seconds: float = 0.0) -> WorkerStandIn:
        """Add a job runner."""
        self.workers.append(WorkerStandIn(uid, self, seconds))
        self.discovery.revision += 1
        return self.workers[-1]

    def set_state(self, runner: WorkerStandIn, state: str) -> None:
        """Have discovery tell a state."""
        runner.state = state
        self.discovery.revision += 1

    def start(self) -> Address:
        """Start the dispatcher; back once it is ready."""
        config = PLATFORM_CONFIG | {"known": self.initial_list}
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        environ = {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(path),
            "RELAY_LISTEN": f"127.0.0.1:{self.client_address[1]}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.discovery.address[1]}",
            "RELAY_CONTROL": f"127.0.0.1:{self.admin_address[1]}",
        }
        self.launch([], environ)
        return self.client_address

    def start_on_shared_socket(self, door: Address | None = None) -> Address:
        """Start a process on the clients' socket, which the platform holds; returns its door.

        The first is the dispatcher, each further one an upgrade of it. All share one folder.
        """
        if self.shared_socket is None:
            self.shared_socket = socket.create_server(self.client_address, backlog=256)
            (self.folder / "config.json").write_text(json.dumps(PLATFORM_CONFIG))
        door = door or ("127.0.0.1", reserved_port())
        environ = {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "RELAY_LISTEN": f"127.0.0.1:{self.client_address[1]}",
            "RELAY_LISTEN_FD": str(self.shared_socket.fileno()),
            "RELAY_DISCOVERY": f"127.0.0.1:{self.discovery.address[1]}",
            "RELAY_CONTROL": f"127.0.0.1:{door[1]}",
        }
        command = [sys.executable, "-m", "grebestack"]
        self.processes.append(
            subprocess.Popen(command, env=os.environ | environ, pass_fds=[self.shared_socket.fileno()])
        )
        return door

    def launch(self, arguments: list[str], environ: dict[str, str]) -> None:
        """Start the program and wait until it is ready."""
        command = [sys.executable, "-m", "grebestack", *arguments]
        self.processes.append(subprocess.Popen(command, env=os.environ | environ))

        wait_until(self.is_ready)

    def is_ready(self) -> bool:
        """Whether the newest dispatcher, which must be running, says that it is ready."""
        assert self.process.poll() is None, "the program ended"
        try:
            return send_request(self.client_address, "GET", "/health/ready", b"", {})[0] == 200
        except OSError:
            return False

    def start_from_operator_file(
        self, source: str = "discovery", settings: str = "", consul_wait: str = ""
    ) -> Address:
        """Start the dispatcher from an operator's file; returns the DRMAA front's address."""
        if not hasattr(self, "drmaa_address"):
            self.drmaa_address: Address = ("127.0.0.1", reserved_port())
        path = self.folder / "appliance.toml"
        path.write_text(
            f"""
listen = "127.0.0.1:{self.client_address[1]}"
[servers]
source = "{source}"
service = "job-runner"
address = "127.0.0.1:{self.worker_source.address[1]}"
{consul_wait}
[drmaa]
listen = "127.0.0.1:{self.drmaa_address[1]}"
store = "jobs.sqlite"
{settings}
{OPERATOR_SETTINGS}
"""
        )
        self.launch(["--config", str(path)], {})
        return self.drmaa_address

    def kill(self) -> None:
        """Have the dispatcher die."""
        self.process.kill()
        self.process.wait()

    def in_background(self, work: Callable[[], T]) -> Callable[[], T]:
        """Do something on a thread; the call returned waits for what came of it."""
        done: list[T] = []
        thread = threading.Thread(target=lambda: done.append(work()), daemon=True)
        thread.start()

        def result() -> T:
            thread.join(30)
            return done[0]

        return result

    def close(self) -> None:
        """End all that was started."""
        self.closed = True
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if self.shared_socket is not None:
            self.shared_socket.close()
        for stand_in in {self.discovery, self.worker_source, *self.workers}:
            stand_in.close()
