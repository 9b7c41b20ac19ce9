"""The disk of a configuration: each version with its contents a file of its own, written whole and synced.

A file gets its name only once it is on the disk for good, so that never half of one is found under it. What
does not fit its checksums, its digest or this fleet is put aside with the reason, and never read again.
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

from grebestack.cluster_io.log_store import ASIDE, CLOSE_S, KEPT_ASIDE, Files, sync_folder, take
from grebestack.config_distribution.versions import Version, contents_problem, digest_of
from grebestack.consensus.log_format import frame, read

MAGIC = b"grebestack configuration 1\n"
VERSION, KEPT, NEW, LIFE = "version-", "kept-", ".new", "life"
Done = Callable[[str], None]  # told why it could not be written, or nothing
_head = msgspec.msgpack.Decoder(tuple[str, Version])


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """What a folder holds; `doubts` says of each file that is not believed why."""

    versions: tuple[tuple[Version, bytes], ...] = ()
    kept: dict[str, bytes] = field(default_factory=dict)  # by digest: contents that are not decided
    doubts: tuple[str, ...] = ()
    life: int = 1  # which start this is: higher than any before


class CorruptFileError(Exception):
    """A file is not what was written; the text says why."""


class ConfigStore:
    """One process's versions, told of on the loop; the folder is this process's own until `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: str,
        fleet: str,
        files: Files | None = None,
    ) -> None:
        self.loop, self.folder, self.fleet, self.files = loop, folder, fleet, files or Files()
        self.queue: queue.SimpleQueue[tuple[Callable[[], None], Done] | None] = queue.SimpleQueue()
        self.lock = -1
        self.thread = threading.Thread(target=self._work, name="configuration-disk", daemon=True)

    def open(self) -> StoredConfig:
        """Take the folder and read it. OSError: there is none to be had; FolderTakenError: in use."""
        self.lock = take(self.folder)
        versions, kept, doubts = list[tuple[Version, bytes]](), dict[str, bytes](), list[str]()
        for name in sorted(os.listdir(self.folder)):
            path = os.path.join(self.folder, name)
            try:
                if name.endswith(NEW):
                    os.unlink(path)  # it was being written, and counted nowhere
                elif name.startswith(VERSION):
                    versions.append(self._version(path))
                elif name.startswith(KEPT):
                    contents = self._payloads(path, 1)[0]
                    if name != KEPT + digest_of(contents):
                        raise CorruptFileError(f"its digest is {digest_of(contents)}")
                    kept[digest_of(contents)] = contents
            except (OSError, CorruptFileError) as error:
                doubts.append(f"{name}: {error}")
                self._put_aside(name)
        life = self._life()
        self.thread.start()
        return StoredConfig(tuple(versions), kept, tuple(doubts), life)

    def store(
        self,
        version: Version,
        contents: bytes,
        beside: int,
        done: Done,
        also: Collection[int] = (),
    ) -> None:
        """Write a version; of others `beside` and those `also` named are kept. An older one is not taken."""
        self.queue.put((lambda: self._store(version, contents, {beside, *also}), done))

    def keep(self, digest: str, contents: bytes, done: Done) -> None:
        """Write contents that are not decided yet."""
        self.queue.put((lambda: self._write(KEPT + digest, [contents]), done))

    def discard(self, digest: str) -> None:
        """Contents that were kept are not needed any more."""
        self.queue.put((lambda: self._remove(KEPT + digest), lambda why: None))

    def close(self) -> None:
        """Write what is queued, then let go of the folder."""
        self.queue.put(None)
        if self.thread.is_alive():
            self.thread.join(CLOSE_S)
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    # Reading.

    def _payloads(self, path: str, count: int) -> tuple[bytes, ...]:
        got = read(self.files.read(path), magic=MAGIC)
        if got.doubt or got.torn or len(got.payloads) != count:
            raise CorruptFileError(got.doubt or f"it has {len(got.payloads)} whole records, not {count}")
        return got.payloads

    def _version(self, path: str) -> tuple[Version, bytes]:
        head, contents = self._payloads(path, 2)
        try:
            fleet, version = _head.decode(head)
        except msgspec.DecodeError as error:
            raise CorruptFileError(f"it begins with no version: {error}") from error
        if fleet != self.fleet:
            raise CorruptFileError(f"it is of the fleet {fleet!r}, not {self.fleet!r}")
        if why := contents_problem(version, contents):
            raise CorruptFileError(why)
        return version, contents

    def _life(self) -> int:
        """Which start this is. It grows though the folder be an old one, as long as the clock does."""
        path = os.path.join(self.folder, LIFE)
        try:
            former = int(self.files.read(path))
        except (OSError, ValueError):
            former = 0
        life = max(former + 1, time.time_ns() // 1_000_000)
        try:
            with open(path + NEW, "w", encoding="ascii") as file:
                file.write(str(life))
            os.replace(path + NEW, path)
        except OSError:
            pass  # what can't be written here is told of when a version can't be
        return life

    # On the thread.

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
            data = b"".join(frame(n, payload) for n, payload in enumerate(payloads, 1))
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
        self._write(mine, [msgspec.msgpack.encode((self.fleet, version)), contents])
        for name, number in numbers.items():
            if name != mine and number not in others:
                self._remove(name)

    def _remove(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(name))

    def _put_aside(self, name: str) -> None:
        aside = sorted(n for n in os.listdir(self.folder) if n.startswith(ASIDE))
        number = int(aside[-1][len(ASIDE) :].split("-")[0]) + 1 if aside else 1
        try:
            os.rename(self._path(name), self._path(f"{ASIDE}{number:06d}-{name}"))
            for old in aside[: max(0, len(aside) + 1 - KEPT_ASIDE)]:
                self._remove(old)
        except OSError:
            pass  # it is looked at again at the next start
