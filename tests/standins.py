"""Stand-ins for workers and the discovery service, and a testbed that runs a dispatcher against them.

The stand-ins listen on loopback addresses, on ports that the operating system chooses.
"""

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
from typing import Any, TextIO, TypeVar

from tests.ports import reserved_port

T = TypeVar("T")
Address = tuple[str, int]
Response = tuple[int, dict[str, str], bytes]
WAIT_SECONDS = 20.0
CALL_BACK_INTERVAL_SECONDS = 0.3
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


def wait_until(condition: Callable[[], bool], seconds: float = WAIT_SECONDS) -> None:
    """Wait until a condition holds; the timeout is generous, since a busy machine may be slow."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold in time"
        time.sleep(0.005)


def send_admin_command(address: Address, command: str) -> str:
    """Send one command to an admin server and return its response."""
    with socket.create_connection(address, 30) as client:
        client.sendall(command.encode() + b"\n")
        return client.makefile().read()


def repeat_admin_command(address: Address, command: str) -> None:
    """Send a command until it succeeds; during a hot restart on a busy machine the first may fail."""
    wait_until(lambda: send_admin_command(address, command).startswith("SUCCESS"))


def reports_ready(address: Address) -> bool:
    """Whether the admin server at this address reports that its process is ready."""
    try:
        return send_admin_command(address, "health").startswith("SUCCESS")
    except OSError:
        return False


def send_request(address: Address, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response:
    """Send one HTTP request on a new connection."""
    connection = http.client.HTTPConnection(*address, timeout=30)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
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

    do_GET = do_POST = do_PUT = do_DELETE = _any  # noqa: N815 (names that http.server requires)

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class StandIn:
    """An HTTP server on a thread; subclasses implement `handle`."""

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
    """A job as a worker received it."""

    path: str
    headers: dict[str, str]
    body: bytes


@dataclass
class JobRuns:
    """How often each job has run, over all workers."""

    counts: dict[str, int] = field(default_factory=dict)


class WorkerStandIn(StandIn):
    """Accepts jobs with 202, runs each for `job_seconds` and sends a callback with the result."""

    def __init__(self, uid: str, testbed: DispatcherTestbed, seconds: float = 0.0) -> None:
        self.uid, self.testbed, self.job_seconds = uid, testbed, seconds
        self.state = "Ready"
        self.cell = 0
        self.status = 202
        self.final_state = "done"
        self.jobs: list[ReceivedJob] = []
        self.cancelled: list[str] = []
        self.confirms_cancel = False  # whether it confirms a cancel, and then sends no callback for that job
        self.skips_callbacks = False  # whether it sends no callback when a job ends
        self.unresponsive = False  # whether it responds to no request at all
        self.waiting_requests = 0  # requests that hang while it is unresponsive
        super().__init__()

    def handle(self, http: _Handler, body: bytes) -> None:
        if self.unresponsive:
            self.waiting_requests += 1
            http.rfile.read(1)  # until the dispatcher closes the connection
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

    def call_back(self, call_id: str, **fields: Any) -> int | None:
        """Send a callback until there is a response, `WAIT_SECONDS` pass or the testbed is closed."""
        message = json.dumps({"id": call_id, "from": self.uid, **fields}).encode()
        # A killed dispatcher may take some seconds to listen again on a busy machine.
        deadline = time.monotonic() + WAIT_SECONDS
        while not self.testbed.closed and time.monotonic() < deadline:
            try:
                return send_request(self.testbed.client_address, "POST", "/callback", message, {})[0]
            except OSError:
                time.sleep(CALL_BACK_INTERVAL_SECONDS)
        return None


class DiscoveryStandIn(StandIn):
    """Serves the testbed's worker list to clients that watch it."""

    def __init__(self, testbed: DispatcherTestbed) -> None:
        self.testbed = testbed
        self.revision = 1
        self.sent_revision = 0  # the newest revision that was sent to a watch
        self.watch_count = 0
        self.paused = False
        super().__init__()

    def full_list(self) -> bytes:
        """The complete worker list as one line."""
        targets = [
            {
                "uid": worker.uid,
                "endpoint": f"127.0.0.1:{worker.address[1]}",
                "az": "here",
                "model": "c8",
                "pod_group": worker.cell,
                "state": worker.state,
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for worker in self.testbed.workers
        ]
        return json.dumps({"rev": self.revision, "all": True, "targets": targets}).encode() + b"\n"

    def handle(self, http: _Handler, body: bytes) -> None:
        http.send_response(200)
        http.send_header("Transfer-Encoding", "chunked")
        http.end_headers()
        self.watch_count += 1
        sent_revision, last_sent_at = 0, 0.0
        while not self.testbed.closed:
            if self.paused:
                time.sleep(0.05)
                continue
            if sent_revision != self.revision or time.monotonic() - last_sent_at > 1.0:
                data = self.full_list() if sent_revision != self.revision else b"\n"
                sent_revision, last_sent_at = self.revision, time.monotonic()
                try:
                    http.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                    self.sent_revision = sent_revision
                except OSError:
                    break
            time.sleep(0.005)
        http.close_connection = True


class DispatcherTestbed:
    """Stand-in workers and discovery, and a dispatcher that is started as the platform starts it."""

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
        self.log: TextIO | None = None  # where the processes write their log, if not to the test's own
        self.program = ["-m", "grebestack"]  # what the interpreter runs
        self.initial_list: dict[str, Any] = {}  # the worker list that a dispatcher is started with
        # The listening socket for clients, if the testbed owns it.
        self.shared_socket: socket.socket | None = None

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The dispatcher process that was started last."""
        return self.processes[-1]

    def add_worker(self, uid: str, seconds: float = 0.0) -> WorkerStandIn:
        """Add a worker."""
        self.workers.append(WorkerStandIn(uid, self, seconds))
        self.discovery.revision += 1
        return self.workers[-1]

    def set_state(self, worker: WorkerStandIn, state: str) -> None:
        """Have discovery report a new state of a worker."""
        worker.state = state
        self.discovery.revision += 1

    def start(self) -> Address:
        """Start the dispatcher, wait until it is ready and return its address for clients."""
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

    def start_on_shared_socket(self, admin_address: Address | None = None) -> Address:
        """Start a process on the listening socket that the testbed owns; return its admin address.

        The first process is the dispatcher, each further one is a hot restart of it. All share one folder.
        """
        if self.shared_socket is None:
            self.shared_socket = socket.create_server(self.client_address, backlog=256)
            (self.folder / "config.json").write_text(json.dumps(PLATFORM_CONFIG))
        admin_address = admin_address or ("127.0.0.1", reserved_port())
        environ = {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "RELAY_LISTEN": f"127.0.0.1:{self.client_address[1]}",
            "RELAY_LISTEN_FD": str(self.shared_socket.fileno()),
            "RELAY_DISCOVERY": f"127.0.0.1:{self.discovery.address[1]}",
            "RELAY_CONTROL": f"127.0.0.1:{admin_address[1]}",
        }
        command = [sys.executable, *self.program]
        self.processes.append(
            subprocess.Popen(
                command, env=os.environ | environ, pass_fds=[self.shared_socket.fileno()], stderr=self.log
            )
        )
        return admin_address

    def launch(self, arguments: list[str], environ: dict[str, str]) -> None:
        """Start the program and wait until it is ready."""
        command = [sys.executable, *self.program, *arguments]
        self.processes.append(subprocess.Popen(command, env=os.environ | environ, stderr=self.log))

        wait_until(self.is_ready)

    def is_ready(self) -> bool:
        """Whether the newest dispatcher, which must be running, reports that it is ready."""
        assert self.process.poll() is None, "the dispatcher has ended"
        try:
            return send_request(self.client_address, "GET", "/health/ready", b"", {})[0] == 200
        except OSError:
            return False

    def start_from_operator_file(
        self, source: str = "discovery", settings: str = "", consul_wait: str = ""
    ) -> Address:
        """Start the dispatcher from an operator's file; return the address of its DRMAA API."""
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
        """Kill the dispatcher."""
        self.process.kill()
        self.process.wait()

    def in_background(self, function: Callable[[], T]) -> Callable[[], T]:
        """Call a function on a thread; return a function that waits for its result."""
        results: list[T] = []
        thread = threading.Thread(target=lambda: results.append(function()), daemon=True)
        thread.start()

        def result() -> T:
            thread.join(30)
            return results[0]

        return result

    def close(self) -> None:
        """Stop everything that was started."""
        self.closed = True
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if self.shared_socket is not None:
            self.shared_socket.close()
        for stand_in in {self.discovery, self.worker_source, *self.workers}:
            stand_in.close()
