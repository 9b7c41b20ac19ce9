"""The rendezvous: a Unix socket in a folder, through which a starting process finds the serving one."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable

SOCKET_NAME = "serving.sock"
BACKLOG = 4
CONNECT_TIMEOUT_S = 0.5
_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


def peer_user_id(sock: socket.socket) -> int:
    """The user of the process at the other end of a Unix socket."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    _, user_id, _ = _CREDENTIALS.unpack(credentials)
    return int(user_id)


class RendezvousListener:
    """Listens on the socket, or connects to the process that does.

    No file records whether that process is alive: the kernel refuses a connection to a dead one's socket.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: str) -> None:
        """Create the folder if it is missing, accessible to this user only."""
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self.loop, self.folder = loop, folder
        self.listener: socket.socket | None = None

    def connect(self) -> socket.socket | None:
        """A connection to the serving process, or None if there is none."""
        directory = self._open_folder()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect(_socket_path(SOCKET_NAME, directory))
            if peer_user_id(sock) == os.geteuid():
                return sock
        except OSError:
            pass
        finally:
            os.close(directory)
        sock.close()
        return None

    def listen(self, on_connected: Callable[[socket.socket], None]) -> None:
        """Listen; `on_connected` is called with each connection of the same user.

        A rename replaces the former holder's socket atomically.
        """
        self.close()
        directory = self._open_folder()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            name = f"{SOCKET_NAME}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(name, dir_fd=directory)
            listener.bind(_socket_path(name, directory))
            listener.listen(BACKLOG)
            os.rename(name, SOCKET_NAME, src_dir_fd=directory, dst_dir_fd=directory)
        finally:
            os.close(directory)
        listener.setblocking(False)
        self.listener = listener
        self.loop.add_reader(listener.fileno(), self._accept, on_connected)

    def close(self) -> None:
        """Stop listening. Accepted connections stay open."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def _open_folder(self) -> int:
        return os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)

    def _accept(self, on_connected: Callable[[socket.socket], None]) -> None:
        if self.listener is None:
            return
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        if peer_user_id(sock) == os.geteuid():
            on_connected(sock)
        else:
            sock.close()


def _socket_path(name: str, directory: int) -> str:
    # Relative to the folder's descriptor, since the path of a Unix socket holds at most 107 bytes.
    return f"/proc/self/fd/{directory}/{name}"
