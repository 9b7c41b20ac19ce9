"""A member's disk: records appended by a thread of its own, many at one sync, the file begun anew when long.

Nothing counts as written before the sync after it has returned. Once a write or a sync has failed, the file
is put aside and never read again: what the system's cache shows of it may not be on the disk.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import queue
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from grebestack.consensus.log_format import MAGIC, frame, read

LONG = 1 << 20  # bytes of a file after which it is begun anew
PREFIX, SUFFIX, ASIDE = "registers-", ".log", "doubted-"
CLOSE_S = 0.3  # a disk that hangs holds up no stop
KEPT_ASIDE = 4  # files put aside that are kept for whoever looks into it


class Files:
    """What is asked of the file system; tests put one in its place that fails and lies."""

    def read(self, path: str) -> bytes:
        """All of a file."""
        with open(path, "rb") as file:
            return file.read()

    def open(self, path: str) -> int:
        """A descriptor to append by; the file is made where there is none."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> int:
        """Append; how many bytes went."""
        return os.write(fd, data)

    def append(self, fd: int, data: bytes) -> None:
        """Append all of it."""
        while data:
            data = data[self.write(fd, data) :]

    def sync(self, fd: int) -> None:
        """Return once all that was written is on the disk."""
        os.fsync(fd)

    def truncate(self, path: str, size: int) -> None:
        """Cut the end off."""
        os.truncate(path, size)

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in one step."""
        os.rename(old, new)


@dataclass(frozen=True, slots=True)
class Found:
    """What a folder holds: the payloads in order, the last record's number, and why it is not believed."""

    payloads: tuple[bytes, ...] = ()
    last: int = 0
    doubt: str = ""


class FolderTakenError(Exception):
    """Another process has the folder."""


@dataclass(frozen=True, slots=True)
class _Anew:
    """Begin a file whose first record has this number."""

    first: int
    payloads: tuple[bytes, ...]
    aside: bool  # put what is there aside, rather than have it be replaced
    done: Callable[[str], None] | None = None


def take(folder: str) -> int:
    """Make a folder this process's own until the descriptor is closed. OSError: there is none to be had."""
    os.makedirs(folder, exist_ok=True)
    lock = os.open(os.path.join(folder, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        raise FolderTakenError(f"{folder} is in use by another process") from error
    return lock


class Store:
    """The records of one member. `synced` and `failed` are called on the loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: str,
        synced: Callable[[int], None],
        failed: Callable[[str], None],
        files: Files | None = None,
    ) -> None:
        self.loop, self.folder, self.files = loop, folder, files or Files()
        self.on_synced, self.on_failed = synced, failed
        self.queue: queue.SimpleQueue[tuple[int, bytes] | _Anew | None] = queue.SimpleQueue()
        self.last = 0
        self.size = 0  # of the file, with all that is queued
        self.fd = self.lock = -1
        self.broken = False  # the thread drops what it is given until the file is begun anew
        self.thread = threading.Thread(target=self._work, name="fleet-store", daemon=True)

    def open(self) -> Found:
        """Take the folder, read it, and be ready to append. OSError: there is no such folder to be had."""
        self.lock = take(self.folder)
        found = self._read()
        self.broken = bool(found.doubt)
        self.last = found.last
        self.thread.start()
        return found

    def _logs(self) -> list[str]:
        names = os.listdir(self.folder)
        return sorted(n for n in names if n.startswith(PREFIX) and n.endswith(SUFFIX))

    def _path(self, first: int) -> str:
        return os.path.join(self.folder, f"{PREFIX}{first:016x}{SUFFIX}")

    def _read(self) -> Found:
        try:
            logs = self._logs()
            if not logs:
                return Found(doubt="there is no record of this member")
            path = os.path.join(self.folder, logs[-1])
            data = self.files.read(path)
            first = int(logs[-1][len(PREFIX) : -len(SUFFIX)], 16)
            got = read(data, first)
            if not got.doubt and not got.payloads:
                return Found(doubt="the file of records is empty")
            if not got.doubt:
                if got.torn:
                    self.files.truncate(path, got.good)
                self.fd, self.size = self.files.open(path), got.good
                self._remove(logs[:-1])
            return Found(got.payloads, got.last, got.doubt)
        except (OSError, ValueError) as error:
            return Found(doubt=f"the records can't be read: {error}")

    def append(self, payload: bytes) -> None:
        """Write a record, the one after the last; `synced` tells when it is on the disk."""
        self.last += 1
        self.size += len(payload) + 20
        self.queue.put((self.last, payload))

    @property
    def long(self) -> bool:
        """Whether the file is to be begun anew."""
        return self.size > LONG

    def shorten(self, payloads: Sequence[bytes]) -> None:
        """Begin the file anew with records that say the same as all before; numbers go on."""
        first, self.last = self.last + 1, self.last + len(payloads)
        self.size = sum(len(p) + 20 for p in payloads)
        self.queue.put(_Anew(first, tuple(payloads), False))

    def anew(self, done: Callable[[str], None]) -> None:
        """Put all that is there aside and begin at 1; `done` is told what hinders it, or nothing."""

        def then(why: str) -> None:
            if not why:
                self.last = self.size = 0
            done(why)

        self.queue.put(_Anew(1, (), True, then))

    def close(self) -> None:
        """Write what is queued, then let go of the folder."""
        self.queue.put(None)
        if self.thread.is_alive():
            self.thread.join(CLOSE_S)
        for fd in (self.fd, self.lock):
            if fd >= 0:
                os.close(fd)
        self.fd = self.lock = -1

    # On the thread.

    def _work(self) -> None:
        while True:
            batch = [self.queue.get()]
            while not self.queue.empty() and len(batch) < 256:
                batch.append(self.queue.get())
            records: list[tuple[int, bytes]] = []
            for item in batch:
                if isinstance(item, tuple):
                    records.append(item)
                    continue
                self._write(records)
                records = []
                if item is None:
                    return
                self._begin(item)
            self._write(records)

    def _call(self, call: Callable[..., None], *args: object) -> None:
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(call, *args)

    def _write(self, records: list[tuple[int, bytes]]) -> None:
        if not records or self.broken:
            return
        try:
            self.files.append(self.fd, b"".join(frame(number, payload) for number, payload in records))
            self.files.sync(self.fd)
        except (OSError, ValueError) as error:
            self._fail(str(error))
            return
        self._call(self.on_synced, records[-1][0])

    def _fail(self, why: str) -> None:
        self.broken = True
        self._call(self.on_failed, why)

    def _begin(self, anew: _Anew) -> None:
        if self.broken and not anew.aside:
            return
        path = self._path(anew.first)
        try:
            former = self._logs()
            if anew.aside:
                self._put_aside(former)
                former = []
            fd = self.files.open(path + ".new")
            try:
                os.ftruncate(fd, 0)
                frames = [frame(anew.first + n, payload) for n, payload in enumerate(anew.payloads)]
                self.files.append(fd, MAGIC + b"".join(frames))
                self.files.sync(fd)
            except OSError:
                os.close(fd)
                raise
            old, self.fd = self.fd, fd
            self.files.rename(path + ".new", path)
            sync_folder(self.files, self.folder)
            if old >= 0:
                os.close(old)
            self._remove(former)
        except OSError as error:
            if anew.done is not None:
                self._call(anew.done, str(error))
            else:
                self._fail(str(error))
            return
        if anew.done is not None:
            self.broken = False
            self._call(anew.done, "")
        else:
            self._call(self.on_synced, anew.first + len(anew.payloads) - 1)

    def _put_aside(self, logs: list[str]) -> None:
        names = sorted(n for n in os.listdir(self.folder) if n.startswith(ASIDE))
        number = int(names[-1][len(ASIDE) :].split("-")[0]) + 1 if names else 1
        for name in logs:
            new = os.path.join(self.folder, f"{ASIDE}{number:06d}-{name}")
            self.files.rename(os.path.join(self.folder, name), new)
        sync_folder(self.files, self.folder)
        self._remove(names[:-KEPT_ASIDE])

    def _remove(self, names: Sequence[str]) -> None:
        for name in names:
            os.unlink(os.path.join(self.folder, name))


def sync_folder(files: Files, folder: str) -> None:
    """Have the names in a folder be on the disk."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        files.sync(fd)
    finally:
        os.close(fd)


def found(folder: str, payloads: Sequence[bytes]) -> None:
    """Write the first file of a member that founds a fleet. FileExistsError: there are records already."""
    os.makedirs(folder, exist_ok=True)
    if any(name.startswith((PREFIX, ASIDE)) for name in os.listdir(folder)):
        raise FileExistsError(f"{folder} holds records of a member already")
    path = os.path.join(folder, f"{PREFIX}{1:016x}{SUFFIX}")
    with open(path, "xb") as file:
        file.write(MAGIC + b"".join(frame(n, payload) for n, payload in enumerate(payloads, 1)))
        file.flush()
        os.fsync(file.fileno())
    sync_folder(Files(), folder)
