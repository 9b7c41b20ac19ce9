"""The memory that this process takes, as the platform counts it: resident pages and files in `$TMPDIR`."""

from __future__ import annotations

import os
import resource

BYTES_PER_MB = 1024 * 1024
STATM = "/proc/self/statm"
RESIDENT_FIELD = 1  # of `STATM`, in pages


class ProcessMemory:
    """Reads the memory of this process."""

    def __init__(self, folder: str | None = None) -> None:
        """Count the files in a folder as well, if one is named."""
        self.folder = folder
        self.page_bytes = resource.getpagesize()
        self.descriptor = os.open(STATM, os.O_RDONLY | os.O_CLOEXEC)
        self.file_bytes = 0
        self.count_files()

    def resident_bytes(self) -> int:
        """The memory that is taken now; for files, when `count_files` was called last."""
        fields = os.pread(self.descriptor, 128, 0).split()
        return int(fields[RESIDENT_FIELD]) * self.page_bytes + self.file_bytes

    def count_files(self) -> None:
        """Count the size of the files anew."""
        if self.folder is not None:
            try:
                with os.scandir(self.folder) as entries:
                    self.file_bytes = sum(
                        entry.stat(follow_symlinks=False).st_size
                        for entry in entries
                        if entry.is_file(follow_symlinks=False)
                    )
            except OSError:
                self.file_bytes = 0
