"""A member's disk that can't be read, or has become read-only: it vouches for nothing, and says why."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from grebestack.cluster_io.log_store import Files, LogStore, create_log


class Failing(Files):
    """A disk that fails as it is reports."""

    def __init__(self, how: str, number: int) -> None:
        self.how, self.error = how, OSError(number, os.strerror(number))

    def _fail(self, what: str) -> None:
        if what in self.how.split():
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
    """What a store has told its owner."""

    def __init__(self) -> None:
        self.synced: list[int] = []
        self.failed: list[str] = []
        self.replaced: list[str] = []


async def _until(true: Callable[[], object]) -> None:
    for _ in range(2000):
        if true():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it did not happen")


@pytest.mark.parametrize(
    ("how", "number"),
    [("read", errno.EIO), ("open", errno.EROFS), ("read open write rename", errno.EIO)],
)
def test_what_can_not_be_read_or_opened_is_doubted_and_nothing_is_answered_from_it(
    tmp_path: Path, how: str, number: int
) -> None:
    async def main() -> None:
        reports, folder = Reports(), str(tmp_path / "member")
        create_log(folder, [b"a", b"b"])
        files = Failing(how, number)
        store = LogStore(
            asyncio.get_running_loop(), folder, reports.synced.append, reports.failed.append, files
        )
        assert os.strerror(number) in store.open().fault
        store.append(b"c")
        store.replace(reports.replaced.append)
        await _until(lambda: reports.replaced)
        assert not reports.synced, "a record counted as written"
        if how != "read":  # it can't be begun anew either
            assert os.strerror(number) in reports.replaced[0]
            files.how = ""
            store.replace(reports.replaced.append)
            await _until(lambda: len(reports.replaced) == 2)
        assert reports.replaced[-1] == ""
        store.append(b"d")
        await _until(lambda: reports.synced)
        store.close()
        again = LogStore(asyncio.get_running_loop(), folder, reports.synced.append, reports.failed.append)
        assert again.open().payloads == (b"d",), "what was doubted came back"
        assert len([name for name in os.listdir(folder) if name.startswith("doubted-")]) == 1
        again.close()

    asyncio.run(main())


def test_a_disk_that_becomes_read_only_stops_the_record_and_not_the_program(tmp_path: Path) -> None:
    async def main() -> None:
        reports, folder = Reports(), str(tmp_path / "member")
        create_log(folder, [b"a"])
        files = Failing("", errno.EROFS)
        store = LogStore(
            asyncio.get_running_loop(), folder, reports.synced.append, reports.failed.append, files
        )
        assert store.open().payloads == (b"a",)
        store.append(b"b")
        await _until(lambda: reports.synced == [2])
        files.how = "write open rename"
        store.append(b"c")
        await _until(lambda: reports.failed)
        store.append(b"d")
        files.how = ""
        store.append(b"e")  # it works again, and is not believed for that
        store.replace(reports.replaced.append)
        await _until(lambda: reports.replaced)
        assert (
            reports.synced == [2]
            and reports.replaced == [""]
            and os.strerror(errno.EROFS) in reports.failed[0]
        )
        store.close()

    asyncio.run(main())
