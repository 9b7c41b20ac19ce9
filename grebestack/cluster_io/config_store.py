"""Stores configuration versions, each with its contents in a file of its own.

A file is synced before it is renamed to its final name, so that a file under that name is complete. A file
with a wrong checksum, digest or cluster is quarantined, its reason is reported, and it is not read again.
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
VERSION_PREFIX, UNDECIDED_PREFIX, TEMPORARY_SUFFIX, INCARNATION_NAME = "version-", "kept-", ".new", "life"
OnDone = Callable[[str], None]  # called with the reason for a failed write, or an empty text
_header_decoder = msgspec.msgpack.Decoder(tuple[str, Version])


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """What a folder holds; `corrupt_files` has a line with name and reason for each corrupt file."""

    versions: tuple[tuple[Version, bytes], ...] = ()
    undecided: dict[str, bytes] = field(default_factory=dict)  # contents by digest
    corrupt_files: tuple[str, ...] = ()
    incarnation: int = 1  # of this process, for configuration messages; higher than any before


class CorruptFileError(Exception):
    """A file does not hold what was written; the text says why."""


class ConfigStore:
    """The versions of one process. The folder is locked from `open` to `close`.

    A thread does the writes; their callbacks are called on the loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: str,
        cluster: str,
        files: Files | None = None,
    ) -> None:
        """Create a closed store; `open` locks and reads the folder."""
        self.loop, self.folder, self.cluster, self.files = loop, folder, cluster, files or Files()
        self.queue: queue.SimpleQueue[tuple[Callable[[], None], OnDone] | None] = queue.SimpleQueue()
        self.lock_fd = -1
        self.thread = threading.Thread(target=self._work, name="configuration-disk", daemon=True)

    def open(self) -> StoredConfig:
        """Lock the folder and read it.

        Raises
        ------
        OSError
            The folder can't be used.
        FolderTakenError
            Another process has locked it.
        """
        self.lock_fd = lock_folder(self.folder)
        versions, undecided, corrupt_files = list[tuple[Version, bytes]](), dict[str, bytes](), list[str]()
        for name in sorted(os.listdir(self.folder)):
            path = os.path.join(self.folder, name)
            try:
                if name.endswith(TEMPORARY_SUFFIX):
                    os.unlink(path)  # left by a write that did not finish
                elif name.startswith(VERSION_PREFIX):
                    versions.append(self._read_version(path))
                elif name.startswith(UNDECIDED_PREFIX):
                    digest, contents = self._read_undecided(name)
                    undecided[digest] = contents
            except (OSError, CorruptFileError) as error:
                corrupt_files.append(f"{name}: {error}")
                self._quarantine(name)
        incarnation = self._next_incarnation()
        self.thread.start()
        return StoredConfig(tuple(versions), undecided, tuple(corrupt_files), incarnation)

    def store(
        self,
        version: Version,
        contents: bytes,
        keep_number: int,
        on_done: OnDone,
        also_keep: Collection[int] = (),
    ) -> None:
        """Write a version, and remove all others but `keep_number` and `also_keep`.

        It fails if a newer version is on the disk.
        """
        self.queue.put((lambda: self._store(version, contents, {keep_number, *also_keep}), on_done))

    def store_undecided(self, digest: str, contents: bytes, on_done: OnDone) -> None:
        """Write contents that are not decided yet, under their digest."""
        self.queue.put((lambda: self._write(UNDECIDED_PREFIX + digest, [contents]), on_done))

    def discard_undecided(self, digest: str) -> None:
        """Remove contents that were not decided."""
        self.queue.put((lambda: self._remove(UNDECIDED_PREFIX + digest), lambda reason: None))

    def close(self) -> None:
        """Finish the queued writes, waiting at most CLOSE_TIMEOUT_S, and unlock the folder."""
        self.queue.put(None)
        if self.thread.is_alive():
            self.thread.join(CLOSE_TIMEOUT_S)
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    # Reading the files.

    def _payloads(self, path: str, count: int) -> tuple[bytes, ...]:
        log = read_log(self.files.read(path), magic=MAGIC)
        if log.corruption or log.has_torn_end or len(log.payloads) != count:
            raise CorruptFileError(
                log.corruption or f"it has {len(log.payloads)} complete records, not {count}"
            )
        return log.payloads

    def _read_undecided(self, name: str) -> tuple[str, bytes]:
        contents = self._payloads(self._path(name), 1)[0]
        digest = digest_of(contents)
        if name != UNDECIDED_PREFIX + digest:
            raise CorruptFileError(f"its digest is {digest}")
        return digest, contents

    def _read_version(self, path: str) -> tuple[Version, bytes]:
        header, contents = self._payloads(path, 2)
        try:
            cluster, version = _header_decoder.decode(header)
        except msgspec.DecodeError as error:
            raise CorruptFileError(f"its first record is not a version: {error}") from error
        if cluster != self.cluster:
            raise CorruptFileError(f"it belongs to the fleet {cluster!r}, not {self.cluster!r}")
        if reason := contents_problem(version, contents):
            raise CorruptFileError(reason)
        return version, contents

    def _next_incarnation(self) -> int:
        """Return this process's incarnation, higher than any before.

        It is at least the clock's time, so that it grows even if an old copy of the folder was restored.
        """
        path = os.path.join(self.folder, INCARNATION_NAME)
        try:
            former = int(self.files.read(path))
        except (OSError, ValueError):
            former = 0
        incarnation = max(former + 1, time.time_ns() // 1_000_000)
        try:
            with open(path + TEMPORARY_SUFFIX, "w", encoding="ascii") as file:
                file.write(str(incarnation))
            os.replace(path + TEMPORARY_SUFFIX, path)
        except OSError:
            pass  # the same failure is reported when a version is written
        return incarnation

    # On the thread.

    def _work(self) -> None:
        while (item := self.queue.get()) is not None:
            operation, on_done = item
            try:
                operation()
                reason = ""
            except (OSError, ValueError) as error:
                reason = str(error) or type(error).__name__
            if not self.loop.is_closed():
                self.loop.call_soon_threadsafe(on_done, reason)

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _write(self, name: str, payloads: list[bytes]) -> None:
        temporary_path = self._path(name + TEMPORARY_SUFFIX)
        fd = self.files.open(temporary_path)
        try:
            os.ftruncate(fd, 0)
            data = b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, 1))
            self.files.append(fd, MAGIC + data)
            self.files.sync(fd)
        finally:
            os.close(fd)
        self.files.rename(temporary_path, self._path(name))
        sync_folder(self.files, self.folder)

    def _store(self, version: Version, contents: bytes, kept_numbers: Collection[int]) -> None:
        names = [
            n
            for n in os.listdir(self.folder)
            if n.startswith(VERSION_PREFIX) and not n.endswith(TEMPORARY_SUFFIX)
        ]
        numbers = {name: int(name[len(VERSION_PREFIX) :], 16) for name in names}
        if newer := [number for number in numbers.values() if number > version.number]:
            raise ValueError(f"version {version.number} is older than {max(newer)}, which is on the disk")
        file_name = f"{VERSION_PREFIX}{version.number:016x}"
        self._write(file_name, [msgspec.msgpack.encode((self.cluster, version)), contents])
        for name, number in numbers.items():
            if name != file_name and number not in kept_numbers:
                self._remove(name)

    def _remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(name))

    def _quarantine(self, name: str) -> None:
        quarantined = sorted(n for n in os.listdir(self.folder) if n.startswith(QUARANTINE_PREFIX))
        number = int(quarantined[-1][len(QUARANTINE_PREFIX) :].split("-")[0]) + 1 if quarantined else 1
        try:
            os.rename(self._path(name), self._path(f"{QUARANTINE_PREFIX}{number:06d}-{name}"))
            for old in quarantined[: max(0, len(quarantined) + 1 - MAX_QUARANTINED_FILES)]:
                self._remove(old)
        except OSError:
            pass  # the next start tries again
