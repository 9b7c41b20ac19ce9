"""Stand-ins and process control for the cases 6 to 10: discovery, job runners, clients and dispatchers.

Only the standard library is used. Everything listens on 127.0.0.1, on ports that are free at the start. What
was sent, answered and run goes to `record.txt` in the case's folder, with the seconds since the start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MOST_SECONDS = 110.0  # a case that takes longer could not run
CALL_BACK_TRIES = 10
REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 403: "Forbidden", 404: "Not Found"}
Headers = dict[str, str]
Reply = tuple[int, Headers, bytes]


class CouldNotRunError(Exception):
    """The case could not be brought about; the text says why."""


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port, each once, below those that the system gives to clients."""
    for _ in range(500):
        port = random.randint(20_000, 31_000)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind((HOST, port))
                _given_ports.add(port)
                return port
    raise CouldNotRunError("no free port")


class Record:
    """The record of one run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file."""
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started:8.3f} {event} {values}\n")
        self.file.flush()


# HTTP/1.1, as much of it as the protocol page uses.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes] | None:
    """Read a message with a content length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def message(first: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def ask(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    timeout: float = 30.0,
) -> Reply | None:
    """Send one request on a new connection; None if the connection ends or the time is over first."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(message(f"{method} {path} HTTP/1.1", {"Host": "app.svc", **(headers or {})}, body))
            answer = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return None if answer is None else (int(answer[0].split()[1]), answer[1], answer[2])


class Server:
    """An HTTP server; subclasses answer requests in `handle`."""

    def __init__(self) -> None:
        """Choose a port."""
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self) -> None:
        """Refuse new connections and reset the open ones, as a process that dies."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                method, path, _ = request[0].split(" ", 2)
                reply = await self.handle(method, path, request[1], request[2], writer)
                if reply is None:
                    return
                status, headers, body = reply
                writer.write(message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body))
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(
        self, method: str, path: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter
    ) -> Reply | None:
        """Answer one request; None if the connection has been used up."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery by the protocol page: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        """Begin with an empty list."""
        super().__init__()
        self.record, self.rev = record, 1
        self.targets: dict[str, dict[str, Any]] = {}
        self.watches: list[asyncio.StreamWriter] = []

    def whole(self) -> bytes:
        """Return the whole list as a line."""
        return json.dumps({"rev": self.rev, "all": True, "targets": list(self.targets.values())}).encode()

    def set(self, *entries: dict[str, Any]) -> None:
        """Change entries in one version and tell all watches, without the entries that are gone."""
        self.rev += 1
        for entry in entries:
            self.targets[entry["uid"]] = entry
            if entry["state"] == "Gone":
                del self.targets[entry["uid"]]
        line = json.dumps({"rev": self.rev, "all": False, "targets": entries}).encode()
        self.record("discovery_tells", watches=len(self.watches), line=line.decode())
        for writer in list(self.watches):
            self._write_line(writer, line)

    def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        line += b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def handle(
        self, method: str, path: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter
    ) -> Reply | None:
        """Answer with the list, or open a watch, whose first line is the whole list."""
        if not path.startswith("/registry/instances"):
            return 404, {}, b""
        if "follow=1" not in path:
            return 200, {"Content-Type": "application/json"}, self.whole()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_line(writer, self.whole())
        self.watches.append(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self._write_line(writer, b"")
                await writer.drain()
        finally:
            self.watches.remove(writer)
        return None


def entry(runner: Runner, state: str = "Ready", boot_ms: int = 0) -> dict[str, Any]:
    """Return a runner's entry of the list."""
    return {
        "uid": runner.uid,
        "endpoint": f"{HOST}:{runner.port}",
        "az": "here",
        "model": "c8",
        "pod_group": runner.cell,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class Run:
    """One job at one runner."""

    def __init__(self, call_id: str, headers: Headers, body: bytes) -> None:
        """Note what came."""
        self.call_id, self.headers, self.body = call_id, headers, body
        self.given_up = False


class Runner(Server):
    """A job runner by the protocol page: takes a job with 202, and calls back until that is answered.

    `work` runs a job and returns the end of it as an object for the call-back, or None if there is none to
    tell. A job that is given up is not called back about.
    """

    def __init__(
        self,
        uid: str,
        record: Record,
        call_back_ports: Callable[[], list[int]],
        work: Callable[[Runner, Run], Awaitable[dict[str, Any] | None]],
        cell: int = 0,
    ) -> None:
        """Choose a port; `call_back_ports` are tried in turn."""
        super().__init__()
        self.uid, self.record, self.call_back_ports = uid, record, call_back_ports
        self.work, self.cell = work, cell
        self.runs: dict[str, Run] = {}
        self.order: list[tuple[float, Run]] = []  # all jobs that came, with the time
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(
        self, method: str, path: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter
    ) -> Reply | None:
        """Take a job or a give-up."""
        if method == "DELETE" and path.startswith("/jobs/"):
            run = self.runs.get(path.removeprefix("/jobs/"))
            self.record("runner_told_to_give_up", runner=self.uid, job=path.removeprefix("/jobs/"))
            if run is None:
                return 404, {}, b""
            run.given_up = True
            return 204, {}, b""
        if method != "POST" or "x-call-id" not in headers:
            return 404, {}, b""
        run = Run(headers["x-call-id"], headers, body)
        self.runs[run.call_id] = run
        self.order.append((time.monotonic(), run))
        self.record(
            "runner_got_job", runner=self.uid, port=self.port, job=run.call_id, budget=headers.get("x-budget")
        )
        self.spawn(self._run(run), run.call_id)
        return 202, {}, b""

    def spawn(self, work: Any, name: str | None = None) -> None:
        """Run something beside."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, run: Run) -> None:
        end = await self.work(self, run)
        if end is not None and not run.given_up:
            await self.call_back(run, end)

    async def call_back(self, run: Run, end: dict[str, Any]) -> None:
        """Tell how a job ended, ten times at most."""
        body = json.dumps({"id": run.call_id, "from": self.uid, **end}).encode()
        for _ in range(CALL_BACK_TRIES):
            for port in self.call_back_ports():
                reply = await ask(port, "POST", "/callback", body, timeout=5.0)
                self.record("runner_calls_back", text=body.decode(), answer=reply and reply[0])
                if reply is not None and reply[0] in (200, 204):
                    return
            await asyncio.sleep(0.5)


def works_for(seconds: float) -> Callable[[Runner, Run], Awaitable[dict[str, Any] | None]]:
    """Return the work of a runner that does each job in so many seconds."""

    async def work(runner: Runner, run: Run) -> dict[str, Any]:
        await asyncio.sleep(seconds)
        runner.record("runner_did_job", runner=runner.uid, job=run.call_id)
        return {"state": "done", "result": f"did {run.call_id}"}

    return work


# Dispatchers.


def job_class(name: str, effect: str, aim_ms: float, limit_ms: float, **more: object) -> dict[str, Any]:
    """Return a class of the settings."""
    required = {"name": name, "effect": effect, "aimMs": aim_ms, "hardLimitMs": limit_ms}
    return {**required, "value": 5.0, "lateWorth": 0.3, **more}


def settings(*classes: dict[str, Any], drain_grace_ms: float = 250.0) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "zones": ["here"],
        "models": ["c8"],
        "zone": 0,
        "tickMs": 5.0,
        "discovery": "pushed",
        "siblings": 1,
        "services": list(classes),
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "mostTries": 5,
            "connIdleMs": 10000.0,
            "connectTimeoutMs": 200.0,
            "retryAfter": True,
            "maxRetryAfterMs": 2000.0,
        },
        "rules": {
            "drainGraceMs": drain_grace_ms,
            "graceToAnswerMs": 20.0,
            "coldFrom": 0.14,
            "warmWithinMs": 24000.0,
            "fallMultiple": 3.0,
            "tipAfterMs": 1500.0,
        },
        "report": {"how": "off", "fields": []},
    }


class Dispatcher:
    """One process of the program, started by the line `run` of the deploy file."""

    def __init__(self, case: Case, name: str, arguments: str = "", **environ: str) -> None:
        """Start it."""
        self.case, self.name = case, name
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        kept = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        self.log_path = case.folder / f"{name}.log"
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run + arguments],
                cwd=ROOT,
                env={**kept, "TMPDIR": str(case.folder), **environ},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=case.inherited,
            )
        case.processes.append(self.process)
        case.record("dispatcher_started", name=name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        self.case.record("dispatcher_signal", name=self.name, signal=number.name)
        self.process.send_signal(number)

    async def ended(self, seconds: float) -> bool:
        """Whether the process ends within a time."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def stop_as_planned(self, longest_deadline_s: float) -> None:
        """End it as the platform does: SIGTERM, then SIGKILL after the longest deadline and 0.7 s."""
        self.signal(signal.SIGTERM)
        if not await self.ended(min(3.0, longest_deadline_s) + 0.7):
            self.signal(signal.SIGKILL)
            await self.ended(5.0)
        self.case.record("dispatcher_ended", name=self.name, status=self.process.returncode)


class Case:
    """One run of a case: its folder, its processes and its record."""

    def __init__(self, folder: Path) -> None:
        """Begin the record and make a temporary folder."""
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.inherited: tuple[int, ...] = ()
        self.record("begins", trouble=int(TROUBLE))

    def write(self, name: str, text: str) -> Path:
        """Write a file into the temporary folder."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    async def until(self, what: str, seconds: float, is_true: Callable[[], Awaitable[bool]]) -> None:
        """Wait until something is true; if it does not become true the case could not run."""
        until = time.monotonic() + seconds
        while not await is_true():
            if time.monotonic() > until:
                raise CouldNotRunError(f"{what}: not within {seconds} s")
            await asyncio.sleep(0.05)

    def close(self) -> None:
        """End all processes and remove the temporary folder; the logs go to the record."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                self.record.file.write(f"         log of {path.stem}: {line}\n")
        self.record.file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """The platform on days with upgrades: it holds the clients' listening socket, as descriptor 5."""

    LISTEN_FD = 5

    def __init__(self, case: Case, discovery: Discovery, options: dict[str, Any]) -> None:
        """Open the clients' socket and write the configuration."""
        self.case, self.discovery, self.options = case, discovery, options
        self.port = free_port()
        self.listener = socket.create_server((HOST, self.port), backlog=1024)
        os.dup2(self.listener.fileno(), self.LISTEN_FD)  # run.sh has kept this number free
        case.inherited = (self.LISTEN_FD,)
        self.count = 0

    def start(self) -> tuple[Dispatcher, int]:
        """Start a process of the dispatcher; return it and the port of its door for operators."""
        self.count += 1
        door = free_port()
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "control": f"{HOST}:{door}",
            "seed": f"{self.count:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": json.loads(self.discovery.whole()),
            "settings": self.options,
        }
        path = self.case.write(f"config-{self.count}.json", json.dumps(config))
        environ = {
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": f"{HOST}:{self.discovery.port}",
            "RELAY_CONFIG": str(path),
            "RELAY_CONTROL": f"{HOST}:{door}",
            "RELAY_LISTEN_FD": str(self.LISTEN_FD),
        }
        return Dispatcher(self.case, f"process-{self.count}", **environ), door

    async def start_and_wait(self) -> Dispatcher:
        """Start a process and wait until it says that it is ready, for 6 s at most."""
        dispatcher, door = self.start()

        async def is_ready() -> bool:
            with contextlib.suppress(OSError, TimeoutError):
                return (await say(door, "health")).startswith("SUCCESS")
            return False

        await self.case.until(f"{dispatcher.name} ready", 6.0, is_ready)
        self.case.record("dispatcher_ready", name=dispatcher.name)
        return dispatcher


def toml(value: object) -> str:
    """Return a value as TOML; tables are written inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {toml(item)}" for name, item in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return json.dumps(value)


class Appliance:
    """A dispatcher of a small site, told by an operator's file; its store outlives its processes."""

    def __init__(self, case: Case, options: dict[str, Any], servers: dict[str, Any], **more: object) -> None:
        """Write the operator's file; `servers` is its table of that name, `more` holds other tables."""
        self.case, self.count = case, 0
        self.port, self.api, self.door = free_port(), free_port(), free_port()
        tables = {
            "name": "farm-1",
            "listen": f"{HOST}:{self.port}",
            "control": f"{HOST}:{self.door}",
            "sockets": 1024,
            "servers": servers,
            "drmaa": {"listen": f"{HOST}:{self.api}", "store": "jobs.sqlite"},
            "settings": options,
            **more,
        }
        text = "".join(f"{name} = {toml(value)}\n" for name, value in tables.items())
        self.path = case.write("appliance.toml", text)

    async def start_and_wait(self) -> Dispatcher:
        """Start a process and wait until it is ready."""
        self.count += 1
        dispatcher = Dispatcher(self.case, f"process-{self.count}", f" --config '{self.path}'")

        async def is_ready() -> bool:
            reply = await ask(self.port, "GET", "/health/ready", timeout=1.0)
            return reply is not None and reply[0] == 200

        await self.case.until(f"{dispatcher.name} ready", 10.0, is_ready)
        self.case.record("dispatcher_ready", name=dispatcher.name)
        return dispatcher

    async def call(self, method: str, path: str, body: object = None, key: str = "") -> tuple[int, Any]:
        """Call the DRMAA API; 0 stands for no answer."""
        headers = {"Idempotency-Key": key} if key else {}
        data = b"" if body is None else json.dumps(body).encode()
        reply = await ask(self.api, method, path, data, headers)
        status, value = (0, None) if reply is None else (reply[0], json.loads(reply[2] or b"null"))
        self.case.record(
            "client_calls", call=f"{method} {path}", key=key, answer=status, body=reply and reply[2]
        )
        return status, value

    async def submit(self, key: str, template: dict[str, Any]) -> str:
        """Submit a job and return its id."""
        status, value = await self.call("POST", "/drmaa2/jobs", template, key)
        if status not in (200, 201):
            raise CouldNotRunError(f"the job {key} was not accepted: {status} {value}")
        return str(value["jobId"])

    async def info(self, job: str) -> dict[str, Any]:
        """Return the job info."""
        status, value = await self.call("GET", f"/drmaa2/jobs/{job}")
        if status != 200:
            raise CouldNotRunError(f"the job {job} can't be looked up: {status} {value}")
        return dict(value)


async def say(port: int, command: str) -> str:
    """Send a line to the operators' door and return the answer."""
    async with asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(command.encode() + b"\n")
        answer = (await reader.readline()).decode().strip()
        writer.close()
    return answer


def run_case(folder: Path, play: Callable[[Case], Awaitable[str]]) -> None:
    """Play a case and exit: 1 if `play` returns what was broken, 0 if nothing, 2 if it can't run."""
    case = Case(folder)
    status, text = COULD_NOT_RUN, ""
    try:

        async def main() -> str:
            async with asyncio.timeout(MOST_SECONDS):
                return await play(case)

        text = asyncio.run(main())
        status = BROKEN if text else HELD
    except Exception as error:  # of any kind: only a verdict of `play` says that the rule was broken
        text = f"could not run: {error!r}"
    finally:
        case.close()
    case.record("verdict", status=status, text=text or "the rule held")
    print(f"{status}: {text or 'the rule held'}")
    sys.exit(status)
