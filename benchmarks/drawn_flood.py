"""Floods of unsound clients that are drawn from a seed: framing, pieces, pauses, order and end."""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

Address = tuple[str, int]
MAX_BODY_BYTES = 64_000
CONNECT_TIMEOUT_S = 10.0
ROUND_PAUSE_S = 0.3


class Framing(Enum):
    """How the requests of a flood are written."""

    CONTENT_LENGTH = "content-length"
    CHUNKED = "chunked"
    EXTENDED_CHUNKS = "chunks with extensions"
    MANY_FIELDS = "many fields"
    LONG_FIELD = "a long field"


class Ending(Enum):
    """What the clients do once they have written what they write."""

    SILENCE = "silence"
    RESET = "reset"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class DrawnFlood:
    """What the clients of one flood do, drawn from a seed."""

    seed: int
    connections: int
    framing: Framing
    chunk_bytes: int
    body_bytes: int
    is_whole: bool  # the request is complete
    follows_request: bool  # a small whole request comes before it on each connection
    pieces: int
    pause_s: float  # between two pieces
    ending: Ending

    def data(self, rng: random.Random) -> bytes:
        """What one client writes."""
        head = b"POST /api HTTP/1.1\r\nX-Call-Id: %x\r\nX-Call-Class: order\r\n" % rng.getrandbits(60)
        first = head + b"Content-Length: 2\r\n\r\nok" if self.follows_request else b""
        head = head.replace(b"Call-Id: ", b"Call-Id: f")
        return first + self._request(head)

    def _request(self, head: bytes) -> bytes:
        body = b"x" * self.body_bytes
        if self.framing is Framing.CONTENT_LENGTH:
            declared_bytes = self.body_bytes if self.is_whole else self.body_bytes + 1
            return head + b"Content-Length: %d\r\n\r\n" % declared_bytes + body
        if self.framing in (Framing.CHUNKED, Framing.EXTENDED_CHUNKS):
            extension = b";" + b"e" * 40 if self.framing is Framing.EXTENDED_CHUNKS else b""
            chunk = b"%x%s\r\n%s\r\n" % (self.chunk_bytes, extension, b"x" * self.chunk_bytes)
            chunks = chunk * (self.body_bytes // self.chunk_bytes)
            return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n" * self.is_whole
        if self.framing is Framing.MANY_FIELDS:
            return head + b"".join(b"%x:\r\n" % number for number in range(3000))
        return head + b"X-Long: " + b"v" * 15_500

    def play(self, address: Address, is_over: Callable[[], bool]) -> None:
        """Write on all connections in turn, end them and begin again, until it is over."""
        rng = random.Random(f"{self.seed} play")
        while not is_over():
            sockets = self._connect(address, is_over)
            data = {sock: self.data(rng) for sock in sockets}
            for piece in range(self.pieces):
                rng.shuffle(sockets)
                for sock in sockets:
                    self._send_piece(sock, data[sock], piece)
                if is_over():
                    break
                time.sleep(self.pause_s)
            self._end(sockets)

    def _connect(self, address: Address, is_over: Callable[[], bool]) -> list[socket.socket]:
        sockets = []
        for _ in range(self.connections):
            if is_over():
                break
            with contextlib.suppress(OSError):
                sockets.append(socket.create_connection(address, CONNECT_TIMEOUT_S))
                sockets[-1].setblocking(False)
        return sockets

    def _send_piece(self, sock: socket.socket, data: bytes, piece: int) -> None:
        size = len(data) // self.pieces + 1
        with contextlib.suppress(OSError):  # it is ended, or takes no more
            sock.send(data[piece * size : (piece + 1) * size])

    def _end(self, sockets: list[socket.socket]) -> None:
        if self.ending is Ending.SILENCE:
            time.sleep(ROUND_PAUSE_S)
        for sock in sockets:
            if self.ending is Ending.RESET:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()


def draw_flood(seed: int, max_connections: int) -> DrawnFlood:
    """Draw a flood."""
    rng = random.Random(f"{seed} flood")
    return DrawnFlood(
        seed,
        connections=rng.randint(max_connections // 4, max_connections),
        framing=rng.choice(
            (Framing.CHUNKED, Framing.CHUNKED, Framing.CHUNKED, *Framing)
        ),  # small chunks have cost most
        chunk_bytes=rng.choice((1, 2, 3, 4, 8, 16, 64, 1000)),
        body_bytes=rng.choice((2_000, 20_000, 60_000, MAX_BODY_BYTES)),
        is_whole=rng.random() < 0.2,
        follows_request=rng.random() < 0.3,
        pieces=rng.choice((1, 2, 4, 30)),
        pause_s=rng.choice((0.0, 0.01, 0.05)),
        ending=rng.choice(tuple(Ending)),
    )
