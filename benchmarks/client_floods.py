"""Floods of unsound clients beside ordinary ones: the memory of the dispatcher, and the others' answers.

    .venv/bin/python benchmarks/client_floods.py [--kind KIND] [--seconds S] [--connections N] [--restart]

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
import struct
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from multiprocessing.queues import Queue
from pathlib import Path

from drawn_flood import draw_flood
from harness import percentile, print_figures

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.process_memory import memory_mb  # noqa: E402
from tests.standins import PLATFORM_CONFIG, Address, DispatcherTestbed  # noqa: E402

SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
LATE_MS = 500.0
AIMS = {
    "peak_share": ("<=", 0.5),
    "settled_growth_mb": ("<=", 10.0),
    "ended_by_itself": ("<=", 0.0),
    "others_lost": ("<=", 0.0),
    "others_max_ms": ("<=", LATE_MS),
    "longest_delay_ms": ("<=", 50.0),
}
OTHERS, PAUSE_S, CALM_S = 8, 0.01, 1.0
JOB_SECONDS = 0.02
ANSWER_TIMEOUT_S = 6.0
FIELDS, HEAD_PIECES = 3000, 4
BODY_BYTES, SENT_BODY_BYTES = 64_000, 60_000
PIPELINED = 200
DRAWN = "drawn"


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


def chunked(size: int, chunk_bytes: int) -> bytes:
    """A body of a size in chunks of a size, without its end."""
    return (b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)) * (size // chunk_bytes)


def job_head(field: bytes) -> bytes:
    """The head of a job with one field more."""
    return b"POST /api HTTP/1.1\r\nX-Call-Id: %x\r\nX-Call-Class: order\r\n%s\r\n\r\n" % (
        random.getrandbits(60),
        field,
    )


def in_pieces(data: bytes, count: int) -> list[bytes]:
    """Split data into pieces of the same size."""
    size = len(data) // count + 1
    return [data[at : at + size] for at in range(0, len(data), size)]


def flood_with_chunks(address: Address, connections: int, until: float, chunk_bytes: int) -> None:
    """Large bodies in small chunks, in some pieces, that stop before their end."""
    body = in_pieces(chunked(SENT_BODY_BYTES, chunk_bytes), HEAD_PIECES)
    keep_open(address, connections, until, [job_head(b"Transfer-Encoding: chunked"), *body])


def flood_behind_a_request(address: Address, connections: int, until: float) -> None:
    """A small whole request, and behind it half a body in chunks of 4."""
    request = job_head(b"Content-Length: 2") + b"ok"
    body = in_pieces(chunked(SENT_BODY_BYTES, 4), HEAD_PIECES)
    keep_open(address, connections, until, [request + job_head(b"Transfer-Encoding: chunked"), *body])


def flood_with_extensions(address: Address, connections: int, until: float) -> None:
    """Bodies whose chunks hold one byte and a long extension each."""
    chunk = b"1;" + b"e" * 4000 + b"\r\nx\r\n"
    keep_open(address, connections, until, [job_head(b"Transfer-Encoding: chunked"), *[chunk * 8] * 8])


def flood_with_long_fields(address: Address, connections: int, until: float) -> None:
    """Heads that stop within a long field."""
    keep_open(address, connections, until, [b"POST /api HTTP/1.1\r\nX-Long: " + b"v" * 15_500])


def flood_with_many_and_long_fields(address: Address, connections: int, until: float) -> None:
    """Heads of ninety fields that stop within a long one."""
    fields = b"".join(b"field-%d: value\r\n" % number for number in range(90))
    keep_open(address, connections, until, [b"POST /api HTTP/1.1\r\n" + fields + b"X-Long: " + b"v" * 13_000])


def flood_with_whole_bodies(address: Address, connections: int, until: float) -> None:
    """Large sound requests."""
    body = b"x" * SENT_BODY_BYTES
    keep_open(address, connections, until, [job_head(b"Content-Length: %d" % len(body)), body])


def drip(address: Address, connections: int, until: float, piece: bytes) -> None:
    """Write a body a piece at a time, on all connections in turn, as fast as they take it."""
    while time.monotonic() < until:
        sockets = connect_many(address, connections)
        for sock in sockets:
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.send(job_head(b"Content-Length: %d" % BODY_BYTES))
        open_sockets = set(sockets)
        while open_sockets and time.monotonic() < until:
            for sock in list(open_sockets):
                try:
                    sock.send(piece)
                except BlockingIOError:
                    continue
                except OSError:
                    open_sockets.discard(sock)
        for sock in sockets:
            sock.close()


def flood_with_resets(address: Address, connections: int, until: float) -> None:
    """Part of a body in chunks of 4, then a reset, again and again."""
    data = job_head(b"Transfer-Encoding: chunked") + chunked(20_000, 4)
    while time.monotonic() < until:
        sockets = connect_many(address, connections)
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.sendall(data)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()


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


def play_drawn_flood(address: Address, connections: int, until: float, seed: int = 1) -> None:
    """A flood that a seed draws."""
    draw_flood(seed, connections).play(address, lambda: time.monotonic() >= until)


FLOODS: dict[str, Callable[..., None]] = {
    "heads": flood_with_heads,
    "bodies": flood_with_bodies,
    "pipelined_bodies": flood_with_pipelined_bodies,
    "small": flood_with_small_requests,
    "new_names": flood_with_new_names,
    "unknown_paths": flood_with_unknown_paths,
    "call_backs": flood_with_call_backs,
    **{f"chunks_{size}": partial(flood_with_chunks, chunk_bytes=size) for size in (1, 2, 8, 16)},
    "behind_a_request": flood_behind_a_request,
    "extensions": flood_with_extensions,
    "long_fields": flood_with_long_fields,
    "many_and_long_fields": flood_with_many_and_long_fields,
    "whole_bodies": flood_with_whole_bodies,
    "drip_8": partial(drip, piece=b"x" * 8),
    "drip_2": partial(drip, piece=b"x" * 2),
    "resets": flood_with_resets,
    DRAWN: play_drawn_flood,
}


@dataclass(frozen=True)
class Answer:
    """What became of one order of an ordinary client."""

    began_s: float
    ended_s: float
    is_good: bool


def run_other(address: Address, number: int, until: float, answers: list[Answer]) -> None:
    """Send one order after the other, and record what becomes of each."""
    connection, count = http.client.HTTPConnection(*address, timeout=ANSWER_TIMEOUT_S), 0
    while time.monotonic() < until:
        count += 1
        began_s = time.monotonic()
        headers = {"X-Call-Id": f"other-{number}-{count}", "X-Call-Class": "order"}
        try:
            connection.request("POST", "/api", b"work", headers)
            response = connection.getresponse()
            body = response.read()  # also of a refusal: the next order needs the connection
            is_good = response.status == 200 and bool(body)
        except (OSError, http.client.HTTPException):
            is_good = False
            connection.close()
        answers.append(Answer(began_s, time.monotonic(), is_good))
        time.sleep(PAUSE_S)


def run_others(address: Address, until: float, queue: Queue[list[Answer]]) -> None:
    """Run the ordinary clients, and put what became of their orders into the queue."""
    answers: list[Answer] = []
    threads = [threading.Thread(target=run_other, args=(address, n, until, answers)) for n in range(OTHERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    queue.put(answers)


def longest_delay_ms(log: str) -> float:
    """The longest delay of the event loop that a log tells of; 0 if none was long enough to be logged."""
    return max(
        (float(value) for value in re.findall(r"event=loop .*longest_delay_ms=([\d.]+)", log)), default=0
    )


@dataclass
class Flood:
    """One flood beside ordinary clients, and what it did to the dispatcher."""

    kind: str
    seconds: float
    connections: int
    limit_mb: float
    seed: int = 1  # of a drawn flood
    has_restart: bool = False  # by SIGKILL, in the middle; the clients of the flood come back at once
    settle_s: float = 0.0  # before the memory is read again
    peak_mb: float = 0.0
    settled_growth_mb: float = 0.0
    ended_by_itself: bool = False
    outage: tuple[float, float] = (0.0, 0.0)

    def play(self, testbed: DispatcherTestbed) -> list[Answer]:
        """Play it; return what became of the orders of the ordinary clients."""
        context = multiprocessing.get_context("spawn")
        address = testbed.start()
        queue: Queue[list[Answer]] = context.Queue()
        until = time.monotonic() + CALM_S + self.seconds
        others = context.Process(target=run_others, args=(address, until + CALM_S, queue))
        seed = (self.seed,) if self.kind == DRAWN else ()
        flood = context.Process(target=FLOODS[self.kind], args=(address, self.connections, until, *seed))
        others.start()
        time.sleep(CALM_S)
        memory_before_mb = memory_mb(testbed.process.pid)["VmRSS"]
        flood.start()
        if self.has_restart:
            time.sleep(self.seconds / 2)
            self._restart(testbed)
        answers = queue.get()
        flood.join()
        others.join()
        time.sleep(self.settle_s)
        self._read_memory(testbed)
        if not self.ended_by_itself:
            self.settled_growth_mb = memory_mb(testbed.process.pid)["VmRSS"] - memory_before_mb
        return [
            answer for answer in answers if answer.ended_s < self.outage[0] or answer.began_s > self.outage[1]
        ]

    def _restart(self, testbed: DispatcherTestbed) -> None:
        self._read_memory(testbed)
        killed_at_s = time.monotonic()
        testbed.kill()
        testbed.start()
        self.outage = killed_at_s, time.monotonic()

    def _read_memory(self, testbed: DispatcherTestbed) -> None:
        self.ended_by_itself = self.ended_by_itself or testbed.process.poll() is not None
        if not self.ended_by_itself:
            self.peak_mb = max(self.peak_mb, memory_mb(testbed.process.pid)["VmHWM"])


def run(flood: Flood, keep_log: str = "") -> dict[str, float]:
    """Play one flood; return its figures."""
    PLATFORM_CONFIG["limits"] = {"sockets": SOCKETS, "memory_mb": flood.limit_mb}
    with tempfile.TemporaryDirectory() as folder:
        testbed = DispatcherTestbed(Path(folder))
        try:
            for number in range(4):
                testbed.add_worker(f"s-{number}", JOB_SECONDS)
            with open(keep_log or f"{folder}/log", "w+", encoding="utf-8") as log:
                testbed.log = log
                answers = flood.play(testbed)
                log.seek(0)
                delay_ms = longest_delay_ms(log.read())
        finally:
            testbed.close()
    good_ms = sorted((answer.ended_s - answer.began_s) * 1000.0 for answer in answers if answer.is_good)
    return {
        "peak_mb": round(flood.peak_mb, 1),
        "peak_share": flood.peak_mb / flood.limit_mb,
        "settled_growth_mb": round(flood.settled_growth_mb, 1),
        "ended_by_itself": float(flood.ended_by_itself),
        "others_good": float(len(good_ms)),
        "others_lost": float(len(answers) - len(good_ms)),
        "others_late": float(sum(elapsed_ms > LATE_MS for elapsed_ms in good_ms)),
        "others_p99_ms": round(percentile(good_ms, 0.99), 1),
        "others_max_ms": round(good_ms[-1], 1),
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
    parser.add_argument("--memory-mb", type=float, default=DEFAULT_MEMORY_MB)
    parser.add_argument("--first", type=int, default=1, help="the first seed of drawn floods")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--restart", action="store_true", help="kill and start the dispatcher in the middle")
    parser.add_argument("--settle", type=float, default=0.0, help="seconds before the memory is read again")
    parser.add_argument("--log", default="", help="keep the dispatcher's log here")
    arguments = parser.parse_args()
    missed = 0
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    for kind, seed in ((kind, seed) for kind in arguments.kind or FLOODS for seed in seeds):
        print(kind, draw_flood(seed, arguments.connections) if kind == DRAWN else "", flush=True)
        flood = Flood(
            kind,
            arguments.seconds,
            arguments.connections,
            arguments.memory_mb,
            seed,
            arguments.restart,
            arguments.settle,
        )
        missed |= print_figures(run(flood, arguments.log), AIMS)
    return missed


if __name__ == "__main__":
    sys.exit(main())
