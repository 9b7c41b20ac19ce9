"""The shell of the record of acts: what the engine does is told to the recorder, a thread writes it.

Nothing waits for the disk: while a batch is written the next one grows, and what is too much is counted.
"""

from __future__ import annotations

import logging
import os
import queue
import threading
import time
from collections.abc import Callable
from importlib.metadata import PackageNotFoundError, version
from typing import TYPE_CHECKING, Any

from grebestack.admin.commands import Call
from grebestack.audit.reading import MAGIC
from grebestack.audit.recorder import Limits, Recorder
from grebestack.audit.records import OF_OPERATORS
from grebestack.audit.version_sets import Stamp, Stamps, digest
from grebestack.cluster_io.log_store import Files, FolderTakenError, lock_folder
from grebestack.consensus.log_format import encode_record
from grebestack.core.api import ListKind, WorkerEntry
from grebestack.program.config import AuditConfig, StartError
from grebestack.routing.requests import Session

if TYPE_CHECKING:
    from grebestack.program.dispatcher import Dispatcher

log = logging.getLogger(__name__)
PREFIX, SUFFIX = "acts-", ".log"
GATHER_S = 0.05  # acts are gathered for so long before a batch goes to the disk
AGAIN_S, AGAIN_MOST_S = 0.5, 15.0  # after a failure the next batch goes after this, doubled
STOP_S = 0.5  # a disk that hangs holds up no stop
MOST_CALL = 128  # letters of a job's id that are kept
FILES: Callable[[], Files] = Files  # a seam for tests, which no operator's file can reach
Batch = tuple[int, bool, bytes]  # segment, whether it begins there, what


class Writer:
    """The thread: appends and syncs. `told` is called on it with what failed, or nothing."""

    def __init__(self, folder: str, keep_bytes: float, files: Files, told: Callable[[str], None]) -> None:
        self.folder, self.keep_bytes, self.files, self.told = folder, keep_bytes, files, told
        self.queue: queue.SimpleQueue[Batch | None] = queue.SimpleQueue()
        self.fd, self.sequence = -1, 0
        self.thread = threading.Thread(target=self._work, name="audit", daemon=True)

    def _work(self) -> None:
        while (batch := self.queue.get()) is not None:
            try:
                self._write(*batch)
            except (OSError, ValueError) as error:
                # What the system's cache shows of it may not be on the disk: the segment is not gone on with.
                self._close()
                self.told(f"the disk failed: {error}")
            else:
                self.told("")
        self._close()

    def _close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

    def _write(self, segment: int, fresh: bool, data: bytes) -> None:
        if fresh:
            self._close()
            self._make_room()
            self.fd = self.files.open(os.path.join(self.folder, f"{PREFIX}{segment:012d}{SUFFIX}"))
            self.sequence = 0
        if self.fd < 0:
            raise OSError("no segment is open")
        self.sequence += 1
        self.files.append(self.fd, (MAGIC if fresh else b"") + encode_record(self.sequence, data))
        self.files.sync(self.fd)

    def _make_room(self) -> None:
        sizes = [(name, os.path.getsize(os.path.join(self.folder, name))) for name in segments(self.folder)]
        total = sum(size for _, size in sizes)
        for name, size in sizes:
            if total <= self.keep_bytes:
                break
            os.unlink(os.path.join(self.folder, name))
            total -= size


def segments(folder: str) -> list[str]:
    """The names of a record's files, the oldest first. OSError: there is no such folder."""
    return sorted(name for name in os.listdir(folder) if name.startswith(PREFIX) and name.endswith(SUFFIX))


def program_version() -> str:
    """Of this program."""
    try:
        return version("grebestack")
    except PackageNotFoundError:
        return "0"


class Auditor:
    """Writes down what one dispatcher does, and under which versions."""

    def __init__(self, dispatcher: Dispatcher, config: AuditConfig) -> None:
        self.dispatcher, self.config = dispatcher, config
        try:
            self.lock = lock_folder(config.folder)
            names = segments(config.folder)
        except (OSError, FolderTakenError) as error:
            why = f"{config.folder} can't be used, or is another's: {error}"
            raise StartError(f"[audit] folder: {why}") from error
        first = int(names[-1][len(PREFIX) : -len(SUFFIX)]) + 1 if names else 1
        options = dispatcher.config.options
        self.stamps = Stamps(Stamp(program_version(), digest(options), self._source(), 1))
        limits = Limits(full_rate=config.full_rate, off_ms=config.clock_off_ms)
        self.recorder = Recorder(dispatcher.config.name, os.urandom(6).hex(), self.stamps, limits, first)
        who = self.recorder.name.encode("ascii", "replace")
        self.header = b"X-Act-Stamp: %s %s " % (who, self.recorder.life.encode())
        self.recorder.turned(self._now())
        keep = config.keep_mb * 1024 * 1024
        self.writer = Writer(config.folder, keep, FILES(), self._told)
        self.writer.thread.start()
        self.again_s, self.changes, self.waits = AGAIN_S, 0, False
        self.finished = threading.Event()
        engine, table = dispatcher.engine, dispatcher.table
        engine.on_act, dispatcher.runners.mark = self._acted, self._mark
        self.feed = table.on_change
        table.on_change = self._listed
        self._flush()

    @staticmethod
    def _now() -> float:
        return time.time() * 1000.0

    def _source(self) -> str:
        config = self.dispatcher.config
        source = config.servers.source
        return f"{source} {':'.join(map(str, config.discovery))}" if source == "discovery" else source

    def _turn(self, **changes: str | int) -> None:
        if self.stamps.turn(**changes):
            self.recorder.turned(self._now())

    # What changes the stamp: each is called before anything is decided under it.

    def _listed(self, kind: ListKind, entries: tuple[WorkerEntry, ...]) -> None:
        self.changes += 1
        revision = getattr(self.dispatcher.watch, "version", self.changes)
        cordoned = self.dispatcher.table.cordoned
        self._turn(revision=revision, bans=digest(sorted(cordoned)) if cordoned else "")
        self.feed(kind, entries)

    def settled(self, options: Any) -> None:
        """Other settings are taken."""
        self._turn(settings=digest(options))

    def moved(self) -> None:
        """Another source of servers is read."""
        self._turn(source=self._source(), generation=self.stamps.current.generation + 1)

    # What is done.

    def _acted(self, what: str, session: Session, server: str) -> None:
        fleet = self.dispatcher.fleet
        if fleet is not None and fleet.node.replica.config.epoch != self.stamps.current.epoch:
            self._turn(epoch=fleet.node.replica.config.epoch)
        self.recorder.act(self._now(), what, session.call_id[:MOST_CALL], server)

    def operated(self, call: Call) -> None:
        """An operator says something at the door that changes something."""
        self.recorder.act(self._now(), OF_OPERATORS, call.verb.value, call.server)

    def _mark(self) -> bytes:
        """For runners that know of stamps: under which one this is sent."""
        return b"%s%d\r\n" % (self.header, self.stamps.number)

    # The disk.

    def _flush(self) -> None:
        """Hand the writer a batch, now and again."""
        if not self.recorder.stopped:
            self._hand_over()
            self.dispatcher.loop.call_later(GATHER_S, self._flush)

    def _hand_over(self) -> None:
        if not self.waits:
            self._put()

    def _put(self) -> bool:
        """Hand the writer the next batch; False where there is none."""
        segment = self.recorder.segment  # it goes up with a batch that ends one
        batch = self.recorder.next(self._now())
        if batch is not None:
            self.writer.queue.put((segment, *batch))
        return batch is not None

    def _told(self, why: str) -> None:
        if self.recorder.stopped:  # the loop may be over
            self._ended(why)
        elif not self.dispatcher.loop.is_closed():
            self.dispatcher.loop.call_soon_threadsafe(self._ended, why)

    def _ended(self, why: str) -> None:
        if not why:
            self.recorder.written()
            self.again_s = AGAIN_S
            if self.recorder.stopped:
                self._last()
            return
        log.warning("audit_failed", extra={"kv": {"why": why, "again_s": self.again_s}})
        self.recorder.failed(self._now(), why)
        if self.recorder.stopped:
            self.finished.set()
            return
        self.waits = True
        self.dispatcher.loop.call_later(self.again_s, self._go_on)
        self.again_s = min(AGAIN_MOST_S, 2.0 * self.again_s)

    def _go_on(self) -> None:
        self.waits = False

    def _last(self) -> None:
        if not self._put():
            self.finished.set()

    def stop(self) -> None:
        """Write what waits, say that this is the end, and let go of the folder."""
        out = bool(self.recorder.out)
        self.recorder.stop(self._now())
        if not out:
            self._last()
        if not self.finished.wait(STOP_S):
            why = "the disk is slow: the end is not written down"
            log.warning("audit_failed", extra={"kv": {"why": why}})
        self.writer.queue.put(None)
        self.writer.thread.join(STOP_S)
        os.close(self.lock)
