"""The channel between two processes of one upgrade: whole messages, and descriptors with them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence

from grebestack.hot_restart.framing import MOST, PIECE, FrameError, Message, Unpacker, pack

NAME = "serving.sock"  # the meeting point, in the folder
MOST_FDS = 4  # in one packet
PEER = struct.Struct("3i")  # pid, uid, gid


def owner(sock: socket.socket) -> int:
    """The user of the process at the other end."""
    return int(PEER.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER.size))[1])


class Channel:
    """One peer. `heard` is called with each message and the descriptors that came with it, `lost` once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        heard: Callable[[Channel, Message, list[int]], None],
        lost: Callable[[Channel, str], None],
    ) -> None:
        self.loop, self.sock, self.heard, self.lost = loop, sock, heard, lost
        self.unpacker = Unpacker()
        self.fds: list[int] = []
        self.queue: deque[tuple[bytes, list[int]]] = deque()
        self.queued = 0
        self.closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._read)

    def send(self, message: Message, fds: Sequence[int] = ()) -> None:
        """Send a message; descriptors, which are closed here then, go with its last packet."""
        packets = pack(message)
        for number, packet in enumerate(packets):
            self.queue.append((packet, list(fds) if number == len(packets) - 1 else []))
            self.queued += len(packet)
        if len(self.queue) == len(packets):
            self._write()
        if self.queued > MOST:
            self.close("it does not read")

    def _write(self) -> None:
        while self.queue and not self.closed:
            packet, fds = self.queue[0]
            try:
                socket.send_fds(self.sock, [packet], fds)
            except BlockingIOError:
                self.loop.add_writer(self.sock.fileno(), self._write)
                return
            except OSError as error:
                self.close(error.strerror or "it broke")
                return
            self.queue.popleft()
            self.queued -= len(packet)
            for fd in fds:
                os.close(fd)
        if not self.closed:
            self.loop.remove_writer(self.sock.fileno())

    def _read(self) -> None:
        try:
            packet, fds, flags, _ = socket.recv_fds(self.sock, PIECE + 1, MOST_FDS)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(error.strerror or "it broke")
            return
        self.fds += fds
        if not packet:
            self.close("it has ended")
            return
        try:
            message = self.unpacker.feed(packet)
        except FrameError as error:
            self.close(str(error))
            return
        if message is not None:
            fds, self.fds = self.fds, []
            self.heard(self, message, fds)

    def close(self, why: str = "") -> None:
        """End it; `lost` follows, unless no reason is given."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        for fd in [*self.fds, *(fd for _, fds in self.queue for fd in fds)]:
            with contextlib.suppress(OSError):
                os.close(fd)
        self.queue.clear()
        if why:
            self.lost(self, why)


class MeetingPoint:
    """The name in the folder by which a process that starts finds the one that serves.

    Whether that one lives is the kernel's word: a connection to what a dead process has left is refused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: str) -> None:
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self.loop, self.folder = loop, folder
        self.listener: socket.socket | None = None

    def _path(self, name: str, directory: int) -> str:
        return f"/proc/self/fd/{directory}/{name}"  # a Unix socket's own path holds 107 bytes at the most

    def find(self) -> socket.socket | None:
        """A connection to the process that serves, or None if there is none."""
        directory = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.settimeout(0.5)
        try:
            sock.connect(self._path(NAME, directory))
            if owner(sock) == os.geteuid():
                return sock
        except OSError:
            pass
        finally:
            os.close(directory)
        sock.close()
        return None

    def hold(self, met: Callable[[socket.socket], None]) -> None:
        """Be found from now on. The name changes hands in one step, by a rename."""
        self.give_up()
        directory = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            name = f"{NAME}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(name, dir_fd=directory)
            listener.bind(self._path(name, directory))
            listener.listen(4)
            os.rename(name, NAME, src_dir_fd=directory, dst_dir_fd=directory)
        finally:
            os.close(directory)
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener.fileno(), self._met, met)

    def _met(self, met: Callable[[socket.socket], None]) -> None:
        if self.listener is None:
            return
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        if owner(sock) == os.geteuid():
            met(sock)
        else:
            sock.close()

    def give_up(self) -> None:
        """Be found no longer; what has been accepted stays."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None


def write_note(path: str, data: bytes) -> None:
    """Replace a file: whoever reads it, whenever this is killed, finds the former or the new."""
    with open(f"{path}.new", "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(f"{path}.new", path)


def read_file(path: str, most: int) -> bytes | None:
    """A file's bytes, at most so many and one; None if there is no file."""
    try:
        with open(path, "rb") as file:
            return file.read(most + 1)
    except FileNotFoundError:
        return None
