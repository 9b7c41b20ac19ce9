"""The files of the audit log, called segments, and the thread that writes them."""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

from grebestack.audit.reading import MAGIC
from grebestack.cluster_io.log_store import Files
from grebestack.consensus.log_format import encode_record

_PREFIX, _SUFFIX = "acts-", ".log"


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records that are written and synced together."""

    segment: int
    begins_segment: bool
    data: bytes


def segment_names(folder: str) -> list[str]:
    """Return the names of the segments in a folder, oldest first. OSError: the folder can't be read."""
    return sorted(name for name in os.listdir(folder) if name.startswith(_PREFIX) and name.endswith(_SUFFIX))


def next_segment_number(names: list[str]) -> int:
    """Return the number of the next segment; `names` is sorted."""
    if not names:
        return 1
    return int(names[-1][len(_PREFIX) : -len(_SUFFIX)]) + 1


class SegmentWriter:
    """Appends batches to segments and syncs them, on its own thread."""

    def __init__(
        self, folder: str, max_bytes: float, files: Files, on_written: Callable[[str], None]
    ) -> None:
        """Create the thread; the caller starts it.

        Parameters
        ----------
        max_bytes : the limit for all segments together; beyond it the oldest are removed.
        on_written : called on the thread after each batch, with the failure or an empty string.
        """
        self.folder, self.max_bytes, self.files, self.on_written = folder, max_bytes, files, on_written
        self.queue: queue.SimpleQueue[RecordBatch | None] = queue.SimpleQueue()  # None ends the thread
        self.descriptor, self.sequence = -1, 0
        self.thread = threading.Thread(target=self._run, name="audit", daemon=True)

    def _run(self) -> None:
        while (batch := self.queue.get()) is not None:
            try:
                self._write(batch)
            except (OSError, ValueError) as error:
                # The page cache may show data that is not on the disk, so this segment is abandoned.
                self._close()
                self.on_written(f"the disk failed: {error}")
            else:
                self.on_written("")
        self._close()

    def _close(self) -> None:
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1

    def _write(self, batch: RecordBatch) -> None:
        if batch.begins_segment:
            self._close()
            self._remove_oldest()
            path = os.path.join(self.folder, f"{_PREFIX}{batch.segment:012d}{_SUFFIX}")
            self.descriptor = self.files.open(path)
            self.sequence = 0
        if self.descriptor < 0:
            raise OSError("no segment is open")
        self.sequence += 1
        magic = MAGIC if batch.begins_segment else b""
        self.files.append(self.descriptor, magic + encode_record(self.sequence, batch.data))
        self.files.sync(self.descriptor)

    def _remove_oldest(self) -> None:
        paths = [os.path.join(self.folder, name) for name in segment_names(self.folder)]
        sizes = [(path, os.path.getsize(path)) for path in paths]
        total_bytes = sum(size for _, size in sizes)
        for path, size in sizes:
            if total_bytes <= self.max_bytes:
                break
            os.unlink(path)
            total_bytes -= size
