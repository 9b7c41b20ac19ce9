"""Feeds the audit log: passes the engine's decisions to the recorder, whose batches a thread writes.

Nothing blocks on the disk: records collect in the next batch while one is written, and those beyond its
limit are counted instead of kept.
"""

from __future__ import annotations

import asyncio
import logging
import os
import threading
import time
from collections.abc import Callable
from importlib.metadata import PackageNotFoundError, version
from typing import TYPE_CHECKING, Any, Protocol

from grebestack.admin.commands import Command
from grebestack.audit.recorder import Recorder, RecorderLimits
from grebestack.audit.records import OPERATOR_ACTION
from grebestack.audit.version_sets import VersionSet, VersionSets, digest
from grebestack.cluster_io.log_store import Files, FolderTakenError, lock_folder
from grebestack.core.api import ListKind, WorkerEntry
from grebestack.program.audit_segments import RecordBatch, SegmentWriter, next_segment_number, segment_names
from grebestack.program.config.errors import StartError
from grebestack.program.config.model import AuditConfig, Config
from grebestack.routing.requests import Request

if TYPE_CHECKING:
    from grebestack.program.cluster_member import ClusterMember
    from grebestack.program.shared_discovery import Source
    from grebestack.protocol.http_workers import HttpWorkers
    from grebestack.routing.engine import Engine
    from grebestack.routing.worker_table import WorkerTable

log = logging.getLogger(__name__)
_FLUSH_INTERVAL_S = 0.05
_MIN_RETRY_S, _MAX_RETRY_S = 0.5, 15.0  # after a disk failure, doubled each time
_STOP_TIMEOUT_S = 0.5  # so that a hanging disk does not delay a stop
_MAX_CALL_ID_LENGTH = 128
_BYTES_PER_MB = 1024 * 1024
FILES: Callable[[], Files] = Files  # replaced by tests


def program_version() -> str:
    """Return the installed version of this package, "0" where it is not installed."""
    try:
        return version("grebestack")
    except PackageNotFoundError:
        return "0"


class AuditedDispatcher(Protocol):
    """What the audit log uses of its dispatcher."""

    config: Config
    loop: asyncio.AbstractEventLoop
    engine: Engine
    http_workers: HttpWorkers
    table: WorkerTable
    worker_source: Source | None
    cluster_member: ClusterMember | None


class AuditRecorder:
    """Records the actions of one dispatcher, and under which versions it took them."""

    def __init__(self, dispatcher: AuditedDispatcher, config: AuditConfig) -> None:
        """Open the folder and subscribe to the dispatcher. StartError: the folder is unusable or locked."""
        self.dispatcher = dispatcher
        try:
            self.lock = lock_folder(config.folder)
            segments = segment_names(config.folder)
        except (OSError, FolderTakenError) as error:
            why = f"{config.folder} can't be used, or is another's: {error}"
            raise StartError(f"[audit] folder: {why}") from error
        options = dispatcher.config.options
        self.version_sets = VersionSets(
            VersionSet(program_version(), digest(options), self._source_name(), 1)
        )
        limits = RecorderLimits(
            max_full_rate=config.max_full_rate, max_clock_error_ms=config.max_clock_error_ms
        )
        process_incarnation = os.urandom(6).hex()
        self.recorder = Recorder(
            dispatcher.config.name,
            process_incarnation,
            self.version_sets,
            limits,
            next_segment_number(segments),
        )
        ascii_name = self.recorder.name.encode("ascii", "replace")
        self._header = b"X-Act-Stamp: %s %s " % (ascii_name, process_incarnation.encode())
        self.recorder.on_versions_changed(self._now_ms())
        self.writer = SegmentWriter(
            config.folder, config.max_size_mb * _BYTES_PER_MB, FILES(), self._on_written_from_thread
        )
        self.writer.thread.start()
        self._retry_s = _MIN_RETRY_S
        self._list_changes = 0
        self._is_waiting_for_retry = False
        self._has_finished = threading.Event()
        self._subscribe()
        self._flush_periodically()

    def _subscribe(self) -> None:
        engine, table = self.dispatcher.engine, self.dispatcher.table
        engine.on_audited_action, self.dispatcher.http_workers.audit_header = (
            self._on_decision,
            self._version_header,
        )
        self._update_engine = table.on_change
        table.on_change = self._on_workers_listed

    @staticmethod
    def _now_ms() -> float:
        return time.time() * 1000.0

    def _source_name(self) -> str:
        config = self.dispatcher.config
        kind = config.worker_source.kind
        return f"{kind} {':'.join(map(str, config.discovery))}" if kind == "discovery" else kind

    # Changes of the version set: each is recorded before any decision under the new versions.

    def _change_version_set(self, **changes: str | int) -> None:
        if self.version_sets.change(**changes):
            self.recorder.on_versions_changed(self._now_ms())

    def _on_workers_listed(self, kind: ListKind, entries: tuple[WorkerEntry, ...]) -> None:
        self._list_changes += 1
        revision = getattr(self.dispatcher.worker_source, "version", self._list_changes)
        cordoned = self.dispatcher.table.cordoned
        self._change_version_set(revision=revision, bans=digest(sorted(cordoned)) if cordoned else "")
        self._update_engine(kind, entries)

    def on_settings_changed(self, options: Any) -> None:
        """Record that new settings are about to be put in force."""
        self._change_version_set(settings=digest(options))

    def on_source_changed(self) -> None:
        """Record that the worker source has been replaced."""
        generation = self.version_sets.current.generation + 1
        self._change_version_set(source=self._source_name(), generation=generation)

    # Events that are recorded.

    def _on_decision(self, what: str, request: Request, worker: str) -> None:
        member = self.dispatcher.cluster_member
        if member is not None and member.node.replica.config.epoch != self.version_sets.current.epoch:
            self._change_version_set(epoch=member.node.replica.config.epoch)
        self.recorder.record_action(self._now_ms(), what, request.call_id[:_MAX_CALL_ID_LENGTH], worker)

    def on_command(self, command: Command) -> None:
        """Record an admin command that is about to change something."""
        self.recorder.record_action(self._now_ms(), OPERATOR_ACTION, command.verb.value, command.target)

    def _version_header(self) -> bytes:
        """Return the header line that names the current version set, for requests to workers."""
        return b"%s%d\r\n" % (self._header, self.version_sets.number)

    # Writing to the disk.

    def _flush_periodically(self) -> None:
        if self.recorder.stopped:
            return
        if not self._is_waiting_for_retry:
            self._write_next_batch()
        self.dispatcher.loop.call_later(_FLUSH_INTERVAL_S, self._flush_periodically)

    def _write_next_batch(self) -> bool:
        """Queue the next batch for the writer; False where there is none."""
        segment = self.recorder.segment  # `next_batch` increments it where the batch ends the segment
        batch = self.recorder.next_batch(self._now_ms())
        if batch is not None:
            self.writer.queue.put(RecordBatch(segment, *batch))
        return batch is not None

    def _on_written_from_thread(self, failure: str) -> None:
        if self.recorder.stopped:  # the loop may have ended
            self._on_written(failure)
        elif not self.dispatcher.loop.is_closed():
            self.dispatcher.loop.call_soon_threadsafe(self._on_written, failure)

    def _on_written(self, failure: str) -> None:
        if failure:
            self._on_write_failed(failure)
            return
        self.recorder.on_written()
        self._retry_s = _MIN_RETRY_S
        if self.recorder.stopped:
            self._write_last_batch()

    def _on_write_failed(self, failure: str) -> None:
        log.warning("audit_failed", extra={"kv": {"why": failure, "again_s": self._retry_s}})
        self.recorder.on_write_failed(self._now_ms(), failure)
        if self.recorder.stopped:
            self._has_finished.set()
            return
        self._is_waiting_for_retry = True
        self.dispatcher.loop.call_later(self._retry_s, self._on_retry_due)
        self._retry_s = min(_MAX_RETRY_S, 2.0 * self._retry_s)

    def _on_retry_due(self) -> None:
        self._is_waiting_for_retry = False

    def _write_last_batch(self) -> None:
        if not self._write_next_batch():
            self._has_finished.set()

    def stop(self) -> None:
        """Write the remaining records and the end of the log, and unlock the folder."""
        is_writing = bool(self.recorder.batch_in_flight)
        self.recorder.stop(self._now_ms())
        if not is_writing:
            self._write_last_batch()
        if not self._has_finished.wait(_STOP_TIMEOUT_S):
            why = "the disk is slow: the end is not written down"
            log.warning("audit_failed", extra={"kv": {"why": why}})
        self.writer.queue.put(None)
        self.writer.thread.join(_STOP_TIMEOUT_S)
        os.close(self.lock)
