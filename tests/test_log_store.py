"""A member's log on a disk that can't be read or has become read-only: nothing is confirmed from it."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from grebestack.cluster_io.log_store import Files, LogStore, create_log


class FailingFiles(Files):
    """A disk on which the calls named in `failing_calls` raise an OSError."""

    def __init__(self, failing_calls: str, error_number: int) -> None:
        self.failing_calls, self.error = failing_calls, OSError(error_number, os.strerror(error_number))

    def _fail(self, call: str) -> None:
        if call in self.failing_calls.split():
            raise self.error

    def read(self, path: str) -> bytes:
        self._fail("read")
        return super().read(path)

    def open(self, path: str) -> int:
        self._fail("open")
        return super().open(path)

    def write(self, fd: int, data: bytes) -> int:
        self._fail("write")
        return super().write(fd, data)

    def rename(self, old: str, new: str) -> None:
        self._fail("rename")
        super().rename(old, new)


class Reports:
    """What a store has reported to its owner."""

    def __init__(self) -> None:
        self.synced: list[int] = []
        self.failed: list[str] = []
        self.replaced: list[str] = []


async def _until(condition: Callable[[], object]) -> None:
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true")


@pytest.mark.parametrize(
    ("failing_calls", "error_number"),
    [("read", errno.EIO), ("open", errno.EROFS), ("read open write rename", errno.EIO)],
)
def test_a_log_that_can_not_be_read_or_opened_confirms_no_record_until_it_is_replaced(
    tmp_path: Path, failing_calls: str, error_number: int
) -> None:
    async def main() -> None:
        reports, folder = Reports(), str(tmp_path / "member")
        create_log(folder, [b"a", b"b"])
        files = FailingFiles(failing_calls, error_number)
        store = LogStore(
            asyncio.get_running_loop(), folder, reports.synced.append, reports.failed.append, files
        )
        assert os.strerror(error_number) in store.open().fault
        store.append(b"c")
        store.replace(reports.replaced.append)
        await _until(lambda: reports.replaced)
        assert not reports.synced, "a record was reported as synced"
        if failing_calls != "read":  # then an empty log can't be started either
            assert os.strerror(error_number) in reports.replaced[0]
            files.failing_calls = ""
            store.replace(reports.replaced.append)
            await _until(lambda: len(reports.replaced) == 2)
        assert reports.replaced[-1] == ""
        store.append(b"d")
        await _until(lambda: reports.synced)
        store.close()
        reopened = LogStore(asyncio.get_running_loop(), folder, reports.synced.append, reports.failed.append)
        assert reopened.open().payloads == (b"d",), "a quarantined record came back"
        assert len([name for name in os.listdir(folder) if name.startswith("doubted-")]) == 1
        reopened.close()

    asyncio.run(main())


def test_a_disk_that_becomes_read_only_fails_the_log_but_not_the_process(tmp_path: Path) -> None:
    async def main() -> None:
        reports, folder = Reports(), str(tmp_path / "member")
        create_log(folder, [b"a"])
        files = FailingFiles("", errno.EROFS)
        store = LogStore(
            asyncio.get_running_loop(), folder, reports.synced.append, reports.failed.append, files
        )
        assert store.open().payloads == (b"a",)
        store.append(b"b")
        await _until(lambda: reports.synced == [2])
        files.failing_calls = "write open rename"
        store.append(b"c")
        await _until(lambda: reports.failed)
        store.append(b"d")
        files.failing_calls = ""
        store.append(b"e")  # the disk works again, but the failed log stays unusable until it is replaced
        store.replace(reports.replaced.append)
        await _until(lambda: reports.replaced)
        assert (
            reports.synced == [2]
            and reports.replaced == [""]
            and os.strerror(errno.EROFS) in reports.failed[0]
        )
        store.close()

    asyncio.run(main())
