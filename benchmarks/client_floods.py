"""Floods of unsound clients beside ordinary ones: the memory of the dispatcher, and the others' answers.

    .venv/bin/python benchmarks/client_floods.py [--kind KIND] [--seconds S] [--connections N]

Runs the program over sockets with the platform's limits. The clients of a flood run in a process of their
own, and so do the ordinary ones, each of which sends one order after the other.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import multiprocessing
import random
import re
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from multiprocessing.queues import Queue
from pathlib import Path

from harness import percentile, print_figures

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.process_memory import memory_mb  # noqa: E402
from tests.standins import PLATFORM_CONFIG, Address, DispatcherTestbed  # noqa: E402

MEMORY_MB, SOCKETS = 192, 1024
AIMS = {
    "peak_mb": ("<=", MEMORY_MB / 2),
    "others_lost": ("<=", 0.0),
    "others_max_ms": ("<=", 500.0),
    "longest_delay_ms": ("<=", 50.0),
}
OTHERS, PAUSE_S, CALM_S = 8, 0.01, 1.0
JOB_SECONDS = 0.02
ANSWER_TIMEOUT_S = 6.0
FIELDS, HEAD_PIECES = 3000, 4
BODY_BYTES, SENT_BODY_BYTES = 64_000, 60_000
PIPELINED = 200


def connect_many(address: Address, count: int) -> list[socket.socket]:
    """Open connections; those that the dispatcher refuses are left out."""
    connections = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            connections.append(socket.create_connection(address, 10.0))
    return connections


def keep_open(address: Address, connections: int, until: float, pieces: list[bytes]) -> None:
    """Send the pieces on each connection, one after the other, and leave the request unfinished."""
    while time.monotonic() < until:
        sockets = connect_many(address, connections)
        for piece in pieces:
            for sock in sockets:
                with contextlib.suppress(OSError):
                    sock.sendall(piece)
        time.sleep(max(0.0, min(3.0, until - time.monotonic())))
        for sock in sockets:
            sock.close()


def flood_with_heads(address: Address, connections: int, until: float) -> None:
    """Unfinished heads of very many short fields, in some pieces."""
    fields = b"".join(b"%x:\r\n" % number for number in range(FIELDS))
    size = len(fields) // HEAD_PIECES + 1
    pieces = [fields[at : at + size] for at in range(0, len(fields), size)]
    keep_open(address, connections, until, [b"POST /api HTTP/1.1\r\n", *pieces])


def flood_with_bodies(address: Address, connections: int, until: float) -> None:
    """Large requests that stop before their end."""
    head = b"POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: order\r\nContent-Length: %d\r\n\r\n"
    pieces = [head % (b"half", BODY_BYTES), *[b"x" * (SENT_BODY_BYTES // HEAD_PIECES)] * HEAD_PIECES]
    keep_open(address, connections, until, pieces)


def flood_with_pipelined_bodies(address: Address, connections: int, until: float) -> None:
    """Large sound requests, two at once on each connection, whose responses nobody reads."""
    body = b"x" * SENT_BODY_BYTES
    head = b"POST /api HTTP/1.1\r\nX-Call-Id: %x\r\nX-Call-Class: order\r\nContent-Length: %d\r\n\r\n"
    pieces = [head % (random.getrandbits(60), len(body)) + body for _ in range(2)]
    keep_open(address, connections, until, pieces)


def pipeline(address: Address, until: float, request: Callable[[], bytes]) -> None:
    """Write many small requests in one piece, read what has come, and write again, at full speed."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(address, 5.0) as sock:
            sock.setblocking(False)
            while time.monotonic() < until:
                with contextlib.suppress(BlockingIOError):
                    sock.send(b"".join(request() for _ in range(PIPELINED)))
                with contextlib.suppress(BlockingIOError):
                    if not sock.recv(1 << 20):
                        break


def flood_with_small_requests(address: Address, connections: int, until: float) -> None:
    """Requests without a class."""
    pipeline(address, until, lambda: b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n")


def flood_with_new_names(address: Address, connections: int, until: float) -> None:
    """Requests of ever new classes, ids and header names."""

    def request() -> bytes:
        name = b"%x" % random.getrandbits(60)
        fields = b"X-Call-Id: %s\r\nX-Call-Class: %s\r\n%s: 1\r\n" % (name, name, name)
        return b"POST /api HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n" % fields

    pipeline(address, until, request)


def flood_with_unknown_paths(address: Address, connections: int, until: float) -> None:
    """Requests that are answered 404."""
    pipeline(address, until, lambda: b"GET /x HTTP/1.1\r\n\r\n")


def flood_with_call_backs(address: Address, connections: int, until: float) -> None:
    """Call-backs of jobs that nobody has."""

    def request() -> bytes:
        body = b'{"id":"%x","from":"s-1","state":"done"}' % random.getrandbits(60)
        return b"POST /callback HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    pipeline(address, until, request)


FLOODS: dict[str, Callable[[Address, int, float], None]] = {
    "heads": flood_with_heads,
    "bodies": flood_with_bodies,
    "pipelined_bodies": flood_with_pipelined_bodies,
    "small": flood_with_small_requests,
    "new_names": flood_with_new_names,
    "unknown_paths": flood_with_unknown_paths,
    "call_backs": flood_with_call_backs,
}


def run_other(address: Address, number: int, until: float, results: list[float | None]) -> None:
    """Send one order after the other; record each one's milliseconds, or None without a good answer."""
    connection, count = http.client.HTTPConnection(*address, timeout=ANSWER_TIMEOUT_S), 0
    while time.monotonic() < until:
        count += 1
        began = time.monotonic()
        headers = {"X-Call-Id": f"other-{number}-{count}", "X-Call-Class": "order"}
        try:
            connection.request("POST", "/api", b"work", headers)
            status = connection.getresponse().read() and 200
            results.append((time.monotonic() - began) * 1000.0 if status == 200 else None)
        except (OSError, http.client.HTTPException):
            results.append(None)
            connection.close()
        time.sleep(PAUSE_S)


def run_others(address: Address, until: float, queue: Queue[list[float | None]]) -> None:
    """Run the ordinary clients, and put their results into the queue."""
    results: list[float | None] = []
    threads = [threading.Thread(target=run_other, args=(address, n, until, results)) for n in range(OTHERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    queue.put(results)


def longest_delay_ms(log: str) -> float:
    """The longest delay of the event loop that a log tells of; 0 if none was long enough to be logged."""
    return max(
        (float(value) for value in re.findall(r"event=loop .*longest_delay_ms=([\d.]+)", log)), default=0
    )


def run(kind: str, seconds: float, connections: int) -> dict[str, float]:
    """Play one kind of flood; return its figures."""
    PLATFORM_CONFIG["limits"] = {"sockets": SOCKETS, "memory_mb": MEMORY_MB}
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory() as folder:
        testbed = DispatcherTestbed(Path(folder))
        try:
            for number in range(4):
                testbed.add_worker(f"s-{number}", JOB_SECONDS)
            with open(f"{folder}/log", "w+", encoding="utf-8") as log:
                testbed.log = log
                address = testbed.start()
                queue: Queue[list[float | None]] = context.Queue()
                until = time.monotonic() + CALM_S + seconds
                others = context.Process(target=run_others, args=(address, until + CALM_S, queue))
                flood = context.Process(target=FLOODS[kind], args=(address, connections, until))
                others.start()
                time.sleep(CALM_S)
                flood.start()
                results = queue.get()
                flood.join()
                others.join()
                peak_mb = memory_mb(testbed.process.pid)["VmHWM"]
                log.seek(0)
                delay_ms = longest_delay_ms(log.read())
        finally:
            testbed.close()
    good = sorted(value for value in results if value is not None)
    return {
        "peak_mb": round(peak_mb, 1),
        "others_good": float(len(good)),
        "others_lost": float(len(results) - len(good)),
        "others_p99_ms": round(percentile(good, 0.99), 1),
        "others_max_ms": round(good[-1], 1),
        "longest_delay_ms": delay_ms,
    }


def main() -> int:
    """Play the floods and print their figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kind", choices=sorted(FLOODS), action="append")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--connections", type=int, default=900)
    arguments = parser.parse_args()
    missed = 0
    for kind in arguments.kind or FLOODS:
        print(kind, flush=True)
        missed |= print_figures(run(kind, arguments.seconds, arguments.connections), AIMS)
    return missed


if __name__ == "__main__":
    sys.exit(main())
