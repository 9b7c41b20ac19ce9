"""Stored configuration versions: only complete files are read, and corrupt ones quarantined."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from grebestack.cluster_io.config_store import MAGIC, ConfigStore, StoredConfig
from grebestack.cluster_io.log_store import FolderTakenError
from grebestack.config_distribution.versions import Version, digest_of
from tests.test_log_store import FailingFiles


def version(number: int, contents: bytes) -> Version:
    return Version(number, digest_of(contents), len(contents), "v1", 1)


TEXTS = {number: b"[settings]\n# version %d\n" % number * 50 for number in range(1, 9)}
V = {number: version(number, text) for number, text in TEXTS.items()}


class FailingSync(FailingFiles):
    """A disk whose syncs can fail too."""

    def sync(self, fd: int) -> None:
        self._fail("sync")
        super().sync(fd)


class OpenStore:
    """A store that is opened and closed as a process would, with calls that wait for the result."""

    def __init__(self, folder: Path, failing_calls: str = "", cluster: str = "farm") -> None:
        self.loop = asyncio.new_event_loop()
        self.store_under_test = ConfigStore(
            self.loop, str(folder), cluster, FailingSync(failing_calls, errno.EIO)
        )
        self.recovered: StoredConfig = self.store_under_test.open()

    def _wait(self, call: Callable[[Callable[[str], None]], None]) -> str:
        ended: asyncio.Future[str] = self.loop.create_future()
        call(ended.set_result)
        return str(self.loop.run_until_complete(asyncio.wait_for(ended, 20)))

    def store(self, number: int, keep_number: int = 0, also_keep: tuple[int, ...] = ()) -> str:
        return self._wait(
            lambda done: self.store_under_test.store(V[number], TEXTS[number], keep_number, done, also_keep)
        )

    def store_undecided(self, contents: bytes) -> str:
        return self._wait(
            lambda done: self.store_under_test.store_undecided(digest_of(contents), contents, done)
        )

    def close(self) -> None:
        self.store_under_test.close()
        self.loop.close()


def stored_config(folder: Path, cluster: str = "farm") -> StoredConfig:
    disk = OpenStore(folder, cluster=cluster)
    disk.close()
    return disk.recovered


def test_only_the_new_version_and_the_one_in_force_are_kept(tmp_path: Path) -> None:
    disk = OpenStore(tmp_path)
    assert [disk.store(1), disk.store(2, 1), disk.store(3, 1)] == ["", "", ""]
    disk.close()
    stored = stored_config(tmp_path)
    assert dict(stored.versions) == {V[1]: TEXTS[1], V[3]: TEXTS[3]} and not stored.corrupt_files


def test_versions_found_at_the_start_are_kept_until_one_is_in_force(tmp_path: Path) -> None:
    disk = OpenStore(tmp_path)
    assert [disk.store(1), disk.store(2, 1), disk.store(3, 2, (1,)), disk.store(4, 3, (2, 1))] == [""] * 4
    disk.close()
    assert {v.number for v, _ in stored_config(tmp_path).versions} == {1, 2, 3, 4}
    disk = OpenStore(tmp_path)
    assert disk.store(5, 2, (1,)) == ""
    disk.close()
    assert dict(stored_config(tmp_path).versions) == {V[n]: TEXTS[n] for n in (1, 2, 5)}


def test_an_older_version_never_replaces_a_newer_one(tmp_path: Path) -> None:
    disk = OpenStore(tmp_path)
    disk.store(5)
    assert disk.store(4) == "version 4 is older than 5, which is on the disk"
    disk.close()
    assert dict(stored_config(tmp_path).versions) == {V[5]: TEXTS[5]}


def test_undecided_contents_are_kept_by_digest_until_discarded(tmp_path: Path) -> None:
    disk = OpenStore(tmp_path)
    assert disk.store_undecided(b"one") == "" and disk.store_undecided(b"two") == ""
    disk.store_under_test.discard_undecided(digest_of(b"one"))
    disk.close()
    assert stored_config(tmp_path).undecided == {digest_of(b"two"): b"two"}


@pytest.mark.parametrize("failing_call", ["open", "write", "sync", "rename"])
def test_a_failed_write_is_reported_and_leaves_the_stored_versions(tmp_path: Path, failing_call: str) -> None:
    disk = OpenStore(tmp_path)
    disk.store(1)
    disk.close()
    failing = OpenStore(tmp_path, failing_call)
    assert os.strerror(errno.EIO) in failing.store(2, 1)
    failing.close()
    stored = stored_config(tmp_path)
    assert dict(stored.versions) == {V[1]: TEXTS[1]} and not stored.corrupt_files


@pytest.mark.parametrize("damage", ["cut", "flipped", "empty", "longer", "another's magic"])
def test_a_corrupt_file_is_quarantined_with_the_reason_and_the_other_is_read(
    tmp_path: Path, damage: str
) -> None:
    disk = OpenStore(tmp_path)
    disk.store(1)
    disk.store(2, 1)
    disk.close()
    path = tmp_path / f"version-{2:016x}"
    data = bytearray(path.read_bytes())
    if damage == "flipped":
        data[len(data) // 2] ^= 1
    damaged = {
        "cut": bytes(data[: len(data) // 2]),
        "flipped": bytes(data),
        "empty": b"",
        "longer": data + b"x",
        "another's magic": b"x" + data[1:],
    }
    path.write_bytes(bytes(damaged[damage]))
    stored = stored_config(tmp_path)
    assert dict(stored.versions) == {V[1]: TEXTS[1]}
    assert len(stored.corrupt_files) == 1 and path.name in stored.corrupt_files[0]
    assert [p.name for p in tmp_path.glob("doubted-*")] == [f"doubted-000001-{path.name}"]
    assert not stored_config(tmp_path).corrupt_files  # a quarantined file is not read again


def test_a_truncated_file_of_any_length_is_not_read(tmp_path: Path) -> None:
    disk = OpenStore(tmp_path)
    disk.store(1)
    disk.close()
    path = tmp_path / f"version-{1:016x}"
    data = path.read_bytes()
    assert data.startswith(MAGIC)
    for size in range(0, len(data), 7):
        path.write_bytes(data[:size])
        assert stored_config(tmp_path).versions == (), size


def test_a_file_of_an_unfinished_write_is_removed(tmp_path: Path) -> None:
    (tmp_path / f"version-{3:016x}.new").write_bytes(MAGIC)
    stored = stored_config(tmp_path)
    assert not stored.versions and not stored.corrupt_files and not list(tmp_path.glob("*.new"))


def test_contents_of_another_fleet_or_digest_are_not_read(tmp_path: Path) -> None:
    disk = OpenStore(tmp_path)
    disk.store(1)
    disk.store_undecided(b"one")
    disk.close()
    (tmp_path / f"kept-{digest_of(b'one')}").rename(tmp_path / f"kept-{digest_of(b'two')}")
    stored = stored_config(tmp_path, "ranch")
    assert not stored.versions and not stored.undecided
    assert "it belongs to the fleet 'farm', not 'ranch'" in " ".join(stored.corrupt_files)
    assert f"its digest is {digest_of(b'one')}" in " ".join(stored.corrupt_files)


def test_the_number_of_quarantined_files_is_bounded(tmp_path: Path) -> None:
    for _ in range(9):
        (tmp_path / f"version-{3:016x}").write_bytes(b"nothing of ours")
        assert len(stored_config(tmp_path).corrupt_files) == 1
    assert len(list(tmp_path.glob("doubted-*"))) == 4


def test_incarnations_only_grow_and_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    first = OpenStore(tmp_path)
    with pytest.raises(FolderTakenError):
        OpenStore(tmp_path)
    first.close()
    (tmp_path / "life").write_text(str(10**15))  # later than the clock: the clock was set back since
    second, third = stored_config(tmp_path), stored_config(tmp_path)
    assert first.recovered.incarnation < second.incarnation == 10**15 + 1 < third.incarnation
