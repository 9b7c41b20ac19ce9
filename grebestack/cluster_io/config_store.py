"""Stores configuration versions, each with its contents in a file of its own.

A file is synced before it is renamed to its name, so that a file under its name is complete. A file whose
checksums, digest or cluster are wrong is set aside with the reason and not read again.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import queue
import threading
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import msgspec

from grebestack.cluster_io.log_store import (
    CLOSE_TIMEOUT_S,
    MAX_QUARANTINED_FILES,
    QUARANTINE_PREFIX,
    Files,
    lock_folder,
    sync_folder,
)
from grebestack.config_distribution.versions import Version, contents_problem, digest_of
from grebestack.consensus.log_format import encode_record, read_log

MAGIC = b"grebestack configuration 1\n"
VERSION, KEPT, NEW, INCARNATION = "version-", "kept-", ".new", "life"
Done = Callable[[str], None]  # called with why it could not be written, or empty
_head = msgspec.msgpack.Decoder(tuple[str, Version])


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """What a folder holds; `corrupt_files` has a line for each corrupt file."""

    versions: tuple[tuple[Version, bytes], ...] = ()
    undecided: dict[str, bytes] = field(default_factory=dict)  # contents by digest
    corrupt_files: tuple[str, ...] = ()
    incarnation: int = 1  # of this start, for configuration messages; higher than any before


class CorruptFileError(Exception):
    """A file is not what was written; the text says why."""


class ConfigStore:
    """One process's versions; results come on the loop. The folder is locked from `open` to `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: str,
        cluster: str,
        files: Files | None = None,
    ) -> None:
        """Begin closed; `open` locks and reads the folder."""
        self.loop, self.folder, self.cluster, self.files = loop, folder, cluster, files or Files()
        self.queue: queue.SimpleQueue[tuple[Callable[[], None], Done] | None] = queue.SimpleQueue()
        self.lock = -1
        self.thread = threading.Thread(target=self._work, name="configuration-disk", daemon=True)

    def open(self) -> StoredConfig:
        """Lock the folder and read it.

        Raises
        ------
        OSError
            The folder can't be used.
        FolderTakenError
            Another process has it.
        """
        self.lock = lock_folder(self.folder)
        versions, undecided, corrupt_files = list[tuple[Version, bytes]](), dict[str, bytes](), list[str]()
        for name in sorted(os.listdir(self.folder)):
            path = os.path.join(self.folder, name)
            try:
                if name.endswith(NEW):
                    os.unlink(path)  # its write did not finish
                elif name.startswith(VERSION):
                    versions.append(self._read_version(path))
                elif name.startswith(KEPT):
                    digest, contents = self._read_kept(name)
                    undecided[digest] = contents
            except (OSError, CorruptFileError) as error:
                corrupt_files.append(f"{name}: {error}")
                self._put_aside(name)
        incarnation = self._next_incarnation()
        self.thread.start()
        return StoredConfig(tuple(versions), undecided, tuple(corrupt_files), incarnation)

    def store(
        self,
        version: Version,
        contents: bytes,
        beside: int,
        done: Done,
        also: Collection[int] = (),
    ) -> None:
        """Write a version; of the others `beside` and `also` are kept. It fails if a newer one is stored."""
        self.queue.put((lambda: self._store(version, contents, {beside, *also}), done))

    def store_undecided(self, digest: str, contents: bytes, done: Done) -> None:
        """Write undecided contents."""
        self.queue.put((lambda: self._write(KEPT + digest, [contents]), done))

    def discard_undecided(self, digest: str) -> None:
        """Remove undecided contents."""
        self.queue.put((lambda: self._remove(KEPT + digest), lambda why: None))

    def close(self) -> None:
        """Finish what is queued, then unlock the folder."""
        self.queue.put(None)
        if self.thread.is_alive():
            self.thread.join(CLOSE_TIMEOUT_S)
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    # Reading.

    def _payloads(self, path: str, count: int) -> tuple[bytes, ...]:
        got = read_log(self.files.read(path), magic=MAGIC)
        if got.corruption or got.has_torn_end or len(got.payloads) != count:
            raise CorruptFileError(got.corruption or f"it has {len(got.payloads)} whole records, not {count}")
        return got.payloads

    def _read_kept(self, name: str) -> tuple[str, bytes]:
        contents = self._payloads(self._path(name), 1)[0]
        digest = digest_of(contents)
        if name != KEPT + digest:
            raise CorruptFileError(f"its digest is {digest}")
        return digest, contents

    def _read_version(self, path: str) -> tuple[Version, bytes]:
        head, contents = self._payloads(path, 2)
        try:
            cluster, version = _head.decode(head)
        except msgspec.DecodeError as error:
            raise CorruptFileError(f"it begins with no version: {error}") from error
        if cluster != self.cluster:
            raise CorruptFileError(f"it is of the fleet {cluster!r}, not {self.cluster!r}")
        if why := contents_problem(version, contents):
            raise CorruptFileError(why)
        return version, contents

    def _next_incarnation(self) -> int:
        """Return this start's number; the clock makes it grow even if an old folder was restored."""
        path = os.path.join(self.folder, INCARNATION)
        try:
            former = int(self.files.read(path))
        except (OSError, ValueError):
            former = 0
        incarnation = max(former + 1, time.time_ns() // 1_000_000)
        try:
            with open(path + NEW, "w", encoding="ascii") as file:
                file.write(str(incarnation))
            os.replace(path + NEW, path)
        except OSError:
            pass  # the same failure is reported when a version is written
        return incarnation

    # The worker thread.

    def _work(self) -> None:
        while (job := self.queue.get()) is not None:
            work, done = job
            try:
                work()
                why = ""
            except (OSError, ValueError) as error:
                why = str(error) or type(error).__name__
            if not self.loop.is_closed():
                self.loop.call_soon_threadsafe(done, why)

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _write(self, name: str, payloads: list[bytes]) -> None:
        new = self._path(name + NEW)
        fd = self.files.open(new)
        try:
            os.ftruncate(fd, 0)
            data = b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, 1))
            self.files.append(fd, MAGIC + data)
            self.files.sync(fd)
        finally:
            os.close(fd)
        self.files.rename(new, self._path(name))
        sync_folder(self.files, self.folder)

    def _store(self, version: Version, contents: bytes, others: Collection[int]) -> None:
        names = [n for n in os.listdir(self.folder) if n.startswith(VERSION) and not n.endswith(NEW)]
        numbers = {name: int(name[len(VERSION) :], 16) for name in names}
        if newer := [number for number in numbers.values() if number > version.number]:
            raise ValueError(f"number is {version.number}; allowed: {max(newer)}, on the disk, and more")
        mine = f"{VERSION}{version.number:016x}"
        self._write(mine, [msgspec.msgpack.encode((self.cluster, version)), contents])
        for name, number in numbers.items():
            if name != mine and number not in others:
                self._remove(name)

    def _remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(name))

    def _put_aside(self, name: str) -> None:
        aside = sorted(n for n in os.listdir(self.folder) if n.startswith(QUARANTINE_PREFIX))
        number = int(aside[-1][len(QUARANTINE_PREFIX) :].split("-")[0]) + 1 if aside else 1
        try:
            os.rename(self._path(name), self._path(f"{QUARANTINE_PREFIX}{number:06d}-{name}"))
            for old in aside[: max(0, len(aside) + 1 - MAX_QUARANTINED_FILES)]:
                self._remove(old)
        except OSError:
            pass  # tried again at the next start
