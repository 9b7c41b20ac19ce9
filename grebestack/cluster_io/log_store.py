"""The on-disk log of a member: a thread appends and syncs its records in batches.

A record counts as written only once a sync that began after its write has returned. Once a write or sync has
failed, the file is quarantined and never read again: the page cache may show data that is not on the disk.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import queue
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from grebestack.consensus.log_format import CHECKSUM, HEADER, MAGIC, encode_record, read_log

COMPACTION_BYTES = 1 << 20  # a longer file is replaced by a compacted one
RECORD_OVERHEAD_BYTES = HEADER.size + CHECKSUM.size
MAX_BATCH_ITEMS = 256
LOG_PREFIX, LOG_SUFFIX, QUARANTINE_PREFIX = "registers-", ".log", "doubted-"
CLOSE_TIMEOUT_S = 0.3  # for queued writes to finish when the process stops
MAX_QUARANTINED_FILES = 4  # older ones are removed


class Files:
    """The file system calls that the stores use; tests replace them with failing ones."""

    def read(self, path: str) -> bytes:
        """Return the contents of a file."""
        with open(path, "rb") as file:
            return file.read()

    def open(self, path: str) -> int:
        """Return a descriptor for appending; the file is created if it does not exist."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> int:
        """Append data; return how many bytes were written."""
        return os.write(fd, data)

    def append(self, fd: int, data: bytes) -> None:
        """Append all of the data."""
        while data:
            data = data[self.write(fd, data) :]

    def sync(self, fd: int) -> None:
        """Return once all written data is on the disk."""
        os.fsync(fd)

    def truncate(self, path: str, size: int) -> None:
        """Cut a file to this size in bytes."""
        os.truncate(path, size)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically."""
        os.rename(old, new)


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The log that a folder holds.

    Parameters
    ----------
    payloads
        The payloads of the records, in order.
    last_record
        The sequence number of the last record.
    fault
        Why the log can't be trusted; empty if it can.
    """

    payloads: tuple[bytes, ...] = ()
    last_record: int = 0
    fault: str = ""


class FolderTakenError(Exception):
    """Another process has locked the folder."""


@dataclass(frozen=True, slots=True)
class _Append:
    """Append a record."""

    sequence: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class _Compact:
    """Replace the file by one whose first record has this sequence number."""

    first: int
    payloads: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class _Replace:
    """Quarantine all files and start an empty one; report the reason for a failure, or an empty text."""

    on_done: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class _Stop:
    """End the thread."""


def lock_folder(folder: str) -> int:
    """Lock a folder for this process, until the returned descriptor is closed.

    Raises
    ------
    FolderTakenError
        Another process has locked it.
    OSError
        The folder can't be created or opened.
    """
    os.makedirs(folder, exist_ok=True)
    lock = os.open(os.path.join(folder, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        raise FolderTakenError(f"{folder} is in use by another process") from error
    return lock


class LogStore:
    """The log of one member.

    Parameters
    ----------
    on_synced
        Called on the loop with the sequence number up to which all records are durable.
    on_failed
        Called on the loop with the reason when a write or sync has failed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: str,
        on_synced: Callable[[int], None],
        on_failed: Callable[[str], None],
        files: Files | None = None,
    ) -> None:
        """Create a closed store; `open` reads the log and starts the thread."""
        self.loop, self.folder, self.files = loop, folder, files or Files()
        self.on_synced, self.on_failed = on_synced, on_failed
        self.queue: queue.SimpleQueue[_Append | _Compact | _Replace | _Stop] = queue.SimpleQueue()
        self.last_record = 0
        self.size_bytes = 0  # of the file, including queued records
        self.fd = self.lock = -1
        self.has_failed = False  # the thread drops records until the file is replaced
        self.thread = threading.Thread(target=self._work, name="fleet-store", daemon=True)

    def open(self) -> RecoveredLog:
        """Lock the folder, read the log, and start the thread.

        Raises
        ------
        FolderTakenError
            Another process has locked the folder.
        OSError
            The folder can't be created or opened.
        """
        self.lock = lock_folder(self.folder)
        recovered = self._recover()
        self.has_failed = bool(recovered.fault)
        self.last_record = recovered.last_record
        self.thread.start()
        return recovered

    def _recover(self) -> RecoveredLog:
        try:
            logs = self._log_names()
            if not logs:
                return RecoveredLog(fault="there is no record of this member")
            return self._recover_file(logs[-1], logs[:-1])
        except (OSError, ValueError) as error:
            return RecoveredLog(fault=f"the log can't be read: {error}")

    def _recover_file(self, name: str, older: Sequence[str]) -> RecoveredLog:
        path = os.path.join(self.folder, name)
        data = self.files.read(path)
        first = int(name[len(LOG_PREFIX) : -len(LOG_SUFFIX)], 16)
        contents = read_log(data, first)
        if not contents.corruption and not contents.payloads:
            return RecoveredLog(fault="the log is empty")
        if not contents.corruption:
            if contents.has_torn_end:
                self.files.truncate(path, contents.valid_bytes)
            self.fd, self.size_bytes = self.files.open(path), contents.valid_bytes
            self._remove(older)
        return RecoveredLog(contents.payloads, contents.last_sequence, contents.corruption)

    def _log_names(self) -> list[str]:
        names = os.listdir(self.folder)
        return sorted(n for n in names if n.startswith(LOG_PREFIX) and n.endswith(LOG_SUFFIX))

    def append(self, payload: bytes) -> None:
        """Append a record; `on_synced` reports when it is durable."""
        self.last_record += 1
        self.size_bytes += len(payload) + RECORD_OVERHEAD_BYTES
        self.queue.put(_Append(self.last_record, payload))

    @property
    def needs_compaction(self) -> bool:
        """Whether the file is long enough to be compacted."""
        return self.size_bytes > COMPACTION_BYTES

    def compact(self, payloads: Sequence[bytes]) -> None:
        """Replace the file by one with these records, which continue the sequence numbers."""
        first, self.last_record = self.last_record + 1, self.last_record + len(payloads)
        self.size_bytes = sum(len(p) + RECORD_OVERHEAD_BYTES for p in payloads)
        self.queue.put(_Compact(first, tuple(payloads)))

    def replace(self, on_done: Callable[[str], None]) -> None:
        """Quarantine all files and start an empty log at record 1.

        Parameters
        ----------
        on_done
            Called on the loop with the reason for a failure, or an empty text.
        """

        def on_replaced(reason: str) -> None:
            if not reason:
                self.last_record = self.size_bytes = 0
            on_done(reason)

        self.queue.put(_Replace(on_replaced))

    def close(self) -> None:
        """Finish the queued writes, waiting at most CLOSE_TIMEOUT_S, and unlock the folder."""
        self.queue.put(_Stop())
        if self.thread.is_alive():
            self.thread.join(CLOSE_TIMEOUT_S)
        for fd in (self.fd, self.lock):
            if fd >= 0:
                os.close(fd)
        self.fd = self.lock = -1

    # On the thread.

    def _work(self) -> None:
        while self._carry_out(self._next_batch()):
            pass

    def _next_batch(self) -> list[_Append | _Compact | _Replace | _Stop]:
        batch = [self.queue.get()]
        while not self.queue.empty() and len(batch) < MAX_BATCH_ITEMS:
            batch.append(self.queue.get())
        return batch

    def _carry_out(self, batch: list[_Append | _Compact | _Replace | _Stop]) -> bool:
        """Carry out a batch, with one sync for consecutive records; return False at `_Stop`."""
        records: list[_Append] = []
        for item in batch:
            if isinstance(item, _Append):
                records.append(item)
                continue
            self._append_records(records)
            records = []
            if isinstance(item, _Stop):
                return False
            if isinstance(item, _Compact):
                self._compact(item)
            else:
                self._replace(item)
        self._append_records(records)
        return True

    def _call_on_loop(self, call: Callable[..., None], *args: object) -> None:
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(call, *args)

    def _append_records(self, records: list[_Append]) -> None:
        if not records or self.has_failed:
            return
        try:
            frames = [encode_record(record.sequence, record.payload) for record in records]
            self.files.append(self.fd, b"".join(frames))
            self.files.sync(self.fd)
        except (OSError, ValueError) as error:
            self._fail(str(error))
            return
        self._call_on_loop(self.on_synced, records[-1].sequence)

    def _fail(self, reason: str) -> None:
        self.has_failed = True
        self._call_on_loop(self.on_failed, reason)

    def _compact(self, item: _Compact) -> None:
        if self.has_failed:
            return
        try:
            former = self._log_names()
            self._start_file(item.first, item.payloads)
            self._remove(former)
        except OSError as error:
            self._fail(str(error))
            return
        self._call_on_loop(self.on_synced, item.first + len(item.payloads) - 1)

    def _replace(self, item: _Replace) -> None:
        try:
            self._quarantine(self._log_names())
            self._start_file(1, ())
        except OSError as error:
            self._call_on_loop(item.on_done, str(error))
            return
        self.has_failed = False
        self._call_on_loop(item.on_done, "")

    def _start_file(self, first: int, payloads: Sequence[bytes]) -> None:
        """Write and sync a new file under a temporary name, then rename it: a crash leaves the old file."""
        path = os.path.join(self.folder, _log_name(first))
        fd = self.files.open(path + ".new")
        try:
            os.ftruncate(fd, 0)
            self.files.append(fd, _encode_log(first, payloads))
            self.files.sync(fd)
        except OSError:
            os.close(fd)
            raise
        old, self.fd = self.fd, fd
        self.files.rename(path + ".new", path)
        sync_folder(self.files, self.folder)
        if old >= 0:
            os.close(old)

    def _quarantine(self, logs: list[str]) -> None:
        names = sorted(n for n in os.listdir(self.folder) if n.startswith(QUARANTINE_PREFIX))
        number = int(names[-1][len(QUARANTINE_PREFIX) :].split("-")[0]) + 1 if names else 1
        for name in logs:
            new = os.path.join(self.folder, f"{QUARANTINE_PREFIX}{number:06d}-{name}")
            self.files.rename(os.path.join(self.folder, name), new)
        sync_folder(self.files, self.folder)
        self._remove(names[:-MAX_QUARANTINED_FILES])

    def _remove(self, names: Sequence[str]) -> None:
        for name in names:
            os.unlink(os.path.join(self.folder, name))


def _log_name(first: int) -> str:
    return f"{LOG_PREFIX}{first:016x}{LOG_SUFFIX}"


def _encode_log(first: int, payloads: Sequence[bytes]) -> bytes:
    return MAGIC + b"".join(encode_record(n, payload) for n, payload in enumerate(payloads, first))


def sync_folder(files: Files, folder: str) -> None:
    """Sync a folder, so that its entries are durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        files.sync(fd)
    finally:
        os.close(fd)


def create_log(folder: str, payloads: Sequence[bytes]) -> None:
    """Write the first log of a founding member.

    Raises
    ------
    FileExistsError
        The folder holds a log already.
    OSError
        The folder can't be written.
    """
    os.makedirs(folder, exist_ok=True)
    if any(name.startswith((LOG_PREFIX, QUARANTINE_PREFIX)) for name in os.listdir(folder)):
        raise FileExistsError(f"{folder} holds records of a member already")
    with open(os.path.join(folder, _log_name(1)), "xb") as file:
        file.write(_encode_log(1, payloads))
        file.flush()
        os.fsync(file.fileno())
    sync_folder(Files(), folder)
