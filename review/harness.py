"""Stand-ins and helpers that the cases of this review share: standard library, loopback addresses.

The stand-ins do what the protocol page allows: a job runner answers 202, then calls back until it is
answered, ten times at most; discovery serves the list and a watch of it; the platform starts the program by
the `run` line of the deploy file.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
CALLBACK_TRIES, CALLBACK_PAUSE_S, CALLBACK_WAIT_S = 10, 0.5, 5.0  # as examples/toy_runner.py
MOST_S = 110  # of a case
# Figures of a small site, as in deploy/appliance.toml.
SETTINGS: dict[str, Any] = {
    "discovery": "pushed",
    "zones": ["here"],
    "models": ["c8"],
    "zone": 0,
    "tickMs": 5.0,
    "services": [
        {
            "name": "order",
            "aimMs": 600.0,
            "hardLimitMs": 10_000.0,
            "effect": "single_shot",
            "value": 5.0,
            "lateWorth": 0.3,
        },
        {
            "name": "reading",
            "aimMs": 400.0,
            "hardLimitMs": 5000.0,
            "effect": "guarded",
            "windowMs": 7500.0,
            "value": 2.0,
            "lateWorth": 0.25,
        },
    ],
    "limits": {
        "cancel": True,
        "secondCopies": True,
        "mostTries": 5,
        "connectTimeoutMs": 200.0,
        "connIdleMs": 10_000.0,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
    },
    "rules": {
        "drainGraceMs": 250.0,
        "graceToAnswerMs": 20.0,
        "coldFrom": 0.14,
        "warmWithinMs": 24_000.0,
        "fallMultiple": 3.0,
        "tipAfterMs": 1500.0,
    },
    "report": {"how": "inline", "fields": ["avg_ms", "active", "x0", "x1"]},
    "extra": {
        "classStretch": [2.5, 2.0],
        "reportX0": "free slots",
        "reportX1": "free memory",
        "progressMs": 1000.0,
    },
}


def trouble() -> bool:
    """Whether the case's disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def toml_of(value: Any) -> str:
    """Return a value as TOML, with tables inline."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {toml_of(item)}" for name, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_of, value)) + "]"
    return json.dumps(value)


class CannotRunError(Exception):
    """The case could not be played."""


class Case:
    """One play of a case: its record, its temporary folder and all that it starts."""

    def __init__(self, folder: str) -> None:
        """Begin the record."""
        self.began = time.monotonic()
        self.record_file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.lock = threading.Lock()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.tmp = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.closing: list[Callable[[], None]] = []
        self.ended = False
        self.note(f"trouble: {'yes' if trouble() else 'no'}")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self.lock:
            if not self.record_file.closed:
                self.record_file.write(f"{self.now():8.3f}  {text}\n")
                self.record_file.flush()

    def start_program(
        self, environ: dict[str, str], arguments: str = "", descriptors: tuple[int, ...] = ()
    ) -> subprocess.Popen[bytes]:
        """Start a dispatcher by the `run` line of the deploy file, with an operator's arguments if any."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        log = open(self.tmp / f"program-{len(self.processes) + 1}.log", "wb")  # noqa: SIM115
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} {arguments}".rstrip()],
            cwd=ROOT,
            env=os.environ | environ,
            stdout=log,
            stderr=subprocess.STDOUT,
            pass_fds=descriptors,
        )
        log.close()
        self.processes.append(process)
        self.note(f"program {len(self.processes)} started")
        return process

    def start_on_platform(
        self, name: str, listen: int, discovery: int, **more: str
    ) -> subprocess.Popen[bytes]:
        """Start a dispatcher as the platform does."""
        path = self.tmp / f"{name}.json"
        config = {"settings": SETTINGS, "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024}, "known": {}}
        path.write_text(json.dumps(config), encoding="utf-8")
        environ = {
            "RELAY_NAME": name,
            "RELAY_LISTEN": f"{HOST}:{listen}",
            "RELAY_DISCOVERY": f"{HOST}:{discovery}",
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(self.tmp),
        }
        descriptors = tuple(int(more[key]) for key in ("RELAY_LISTEN_FD",) if key in more)
        return self.start_program(environ | more, descriptors=descriptors)

    def finish(self, broken: list[str]) -> int:
        """Note what was broken and return the exit status."""
        for text in broken:
            self.note(f"BROKEN: {text}")
        if not broken:
            self.note("the rule held")
        return BROKEN if broken else HELD

    def close(self) -> None:
        """End everything that was started."""
        self.ended = True
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for close in self.closing:
            close()
        for number in range(1, len(self.processes) + 1):
            log = self.tmp / f"program-{number}.log"
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[:400]:
                if "event=stats" not in line:
                    self.note(f"log of program {number}: {line[:300]}")
        self.temporary.cleanup()
        self.record_file.close()


def play(folder: str, body: Callable[[Case], int]) -> None:
    """Play a case and exit: 0 the rule held, 1 it was broken, 2 the case could not run."""
    case = Case(folder)

    def on_signal(number: int, frame: object) -> None:
        raise CannotRunError(f"signal {number}: stopped, or longer than {MOST_S} s")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    signal.alarm(MOST_S)
    try:
        status = body(case)
    except (CannotRunError, OSError, KeyError, ValueError) as error:
        case.note(f"could not run: {error!r}")
        status = COULD_NOT_RUN
    finally:
        case.close()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status])
    sys.exit(status)


def wait_until(condition: Callable[[], bool], what: str, seconds: float = 15.0) -> None:
    """Wait until a condition holds; CannotRunError if it does not."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(f"not within {seconds:g} s: {what}")
        time.sleep(0.01)


def free_port() -> int:
    """Return a port that nobody uses now, below the range of the system's own choice."""
    for port in random.sample(range(11_000, 31_000), 200):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return int(port)
    raise CannotRunError("no free port")


def request(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> tuple[int, bytes]:
    """Send one HTTP request on a new connection."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def is_ready(port: int) -> bool:
    """Whether a dispatcher says that it is ready."""
    try:
        return request(port, "GET", "/health/ready", timeout=2.0)[0] == 200
    except OSError:
        return False


def say(port: int, line: str) -> str:
    """Send a call to the admin server and return its answer."""
    with socket.create_connection((HOST, port), 5) as client:
        client.sendall(line.encode() + b"\n")
        return client.makefile().read().strip()


def says_ready(port: int) -> bool:
    """Whether the admin server says that its process is ready."""
    try:
        return say(port, "health").startswith("SUCCESS")
    except OSError:
        return False


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: Any) -> None:
        """Write nothing to standard error."""

    def _any(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.stand_in.handle(self, body)  # type: ignore[attr-defined]

    do_GET = do_POST = do_DELETE = do_PUT = _any  # noqa: N815

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Answer with a body."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Write nothing: a dispatcher may close any connection."""


class StandIn:
    """An HTTP server on a thread."""

    def __init__(self, case: Case, port: int | None = None) -> None:
        """Listen."""
        self.case, self.port = case, port or free_port()
        self.server = _Server((HOST, self.port), _Handler)
        self.server.stand_in = self  # type: ignore[attr-defined]
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        case.closing.append(self.close)

    def handle(self, http: _Handler, body: bytes) -> None:
        """Handle a request."""
        raise NotImplementedError

    def close(self) -> None:
        """Listen no more."""
        self.server.shutdown()
        self.server.server_close()


class Runner(StandIn):
    """A job runner: takes each job with 202, runs it for `run_s` and calls back until it is answered."""

    def __init__(
        self, case: Case, uid: str, callback_port: int, run_s: float = 0.1, port: int | None = None
    ) -> None:
        """Listen; calls go to `callback_port`."""
        self.uid, self.callback_port, self.run_s = uid, callback_port, run_s
        self.received: list[tuple[float, str]] = []
        self.started: dict[str, int] = {}  # how often each job was begun
        self.given_up: set[str] = set()
        self.pause_factor = 1.0  # by which the pause before the next call grows
        self.hands_back: Callable[[str], bool] = lambda call_id: False
        self.answered: dict[str, int] = {}  # the dispatcher's answer to the final call-back
        super().__init__(case, port)

    def handle(self, http: _Handler, body: bytes) -> None:
        """Take a job, or give one up."""
        if http.command == "DELETE":
            call_id = http.path.rpartition("/")[2]
            self.case.note(f"{self.uid}: DELETE {call_id}")
            self.given_up.add(call_id)
            http.reply(204)
            return
        if http.command == "GET":
            http.reply(200, b"{}")
            return
        call_id = http.headers["X-Call-Id"]
        self.received.append((self.case.now(), call_id))
        self.given_up.discard(call_id)
        self.case.note(f"{self.uid} (port {self.port}): job {call_id} received, answered 202")
        http.reply(202)
        threading.Thread(target=self.work, args=(call_id,), daemon=True).start()

    def work(self, call_id: str) -> None:
        """Run a job, or hand it back unstarted."""
        if self.hands_back(call_id):
            self.case.note(f"{self.uid}: job {call_id} handed back unstarted")
            self.call_back(call_id, "returned")
            return
        self.started[call_id] = self.started.get(call_id, 0) + 1
        self.case.note(f"{self.uid}: job {call_id} begun, time number {self.started[call_id]}")
        time.sleep(self.run_s)
        if call_id in self.given_up or self.case.ended:
            return
        self.case.note(f"{self.uid}: job {call_id} done")
        self.call_back(call_id, "done", result=f"result of {call_id}")

    def call_back(self, call_id: str, state: str, **more: Any) -> None:
        """Call back until that is answered, ten times at most."""
        message = json.dumps({"id": call_id, "from": self.uid, "state": state, **more}).encode()
        for number in range(1, CALLBACK_TRIES + 1):
            if self.case.ended:
                return
            try:
                status, _ = request(self.callback_port, "POST", "/callback", message, timeout=CALLBACK_WAIT_S)
            except (OSError, http.client.HTTPException) as error:
                self.case.note(f"{self.uid}: call {number} '{state}' of {call_id}: {type(error).__name__}")
            else:
                self.case.note(f"{self.uid}: call {number} '{state}' of {call_id} answered {status}")
                if status in (200, 204):
                    self.answered[call_id] = status
                    return
            time.sleep(CALLBACK_PAUSE_S * self.pause_factor ** (number - 1))


class Discovery(StandIn):
    """Discovery: the list of job runners, and watches of it."""

    def __init__(self, case: Case, targets: list[dict[str, Any]], port: int | None = None) -> None:
        """Listen."""
        self.targets, self.revision = targets, 1
        super().__init__(case, port)

    def set(self, targets: list[dict[str, Any]]) -> None:
        """Replace the list."""
        self.targets = targets
        self.revision += 1

    def handle(self, http: _Handler, body: bytes) -> None:
        """Serve the list, or a watch of it: the whole list at each change, an empty line every 2 s."""
        if "follow=1" not in http.path:
            http.reply(200, self._list())
            return
        http.send_response(200)
        http.send_header("Transfer-Encoding", "chunked")
        http.end_headers()
        sent, sent_at = 0, 0.0
        while not self.case.ended:
            if sent != self.revision or time.monotonic() - sent_at > 1.9:
                line = self._list() + b"\n" if sent != self.revision else b"\n"
                if sent != self.revision:
                    listed = ", ".join(f"{t['uid']} {t['endpoint']} {t['state']}" for t in self.targets)
                    self.case.note(f"discovery (port {self.port}): list {self.revision} written: {listed}")
                sent, sent_at = self.revision, time.monotonic()
                try:
                    http.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                except OSError:
                    break
            time.sleep(0.01)
        http.close_connection = True

    def _list(self) -> bytes:
        return json.dumps({"rev": self.revision, "all": True, "targets": self.targets}).encode()


def target(uid: str, port: int, state: str = "Ready") -> dict[str, Any]:
    """Return an entry of the list of job runners."""
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": "here",
        "model": "c8",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


class Job:
    """A job that a client has posted, on a thread of its own."""

    def __init__(self, case: Case, port: int, call_id: str, job_class: str, payload: bytes = b"") -> None:
        """Post it."""
        self.case, self.port, self.call_id, self.job_class = case, port, call_id, job_class
        self.payload = payload
        self.status: int | None = None
        self.body = b""
        self.error = ""
        self.sent_at = case.now()
        self.took_s = 0.0
        self.thread = threading.Thread(target=self._post, daemon=True)
        case.note(f"client: {job_class} {call_id} posted, {len(payload)} bytes")
        self.thread.start()

    def _post(self) -> None:
        headers = {
            "X-Call-Id": self.call_id,
            "X-Call-Class": self.job_class,
            "Idempotency-Key": f"key-{self.call_id}",
        }
        try:
            self.status, self.body = request(self.port, "POST", "/api", self.payload, headers, 40.0)
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        self.took_s = self.case.now() - self.sent_at
        self.case.note(
            f"client: {self.call_id} answered {self.status} {self.error} after {self.took_s:.2f} s"
        )

    def wait(self, seconds: float) -> None:
        """Wait for the answer."""
        self.thread.join(seconds)
