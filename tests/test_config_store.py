"""The disk of a configuration: whole or not at all, never older; what does not fit is put aside and told."""

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
from tests.test_log_store import Failing


def version(number: int, contents: bytes) -> Version:
    return Version(number, digest_of(contents), len(contents), "v1", 1)


TEXTS = {number: b"[settings]\n# version %d\n" % number * 50 for number in range(1, 9)}
V = {number: version(number, text) for number, text in TEXTS.items()}


class FailingSync(Failing):
    """A disk whose syncs fail too."""

    def sync(self, fd: int) -> None:
        self._fail("sync")
        super().sync(fd)


class Disk:
    """A folder that is opened and closed as a process would."""

    def __init__(self, folder: Path, how: str = "", cluster: str = "farm") -> None:
        self.loop = asyncio.new_event_loop()
        self.contents = ConfigStore(self.loop, str(folder), cluster, FailingSync(how, errno.EIO))
        self.held: StoredConfig = self.contents.open()

    def _wait(self, ask: Callable[[Callable[[str], None]], None]) -> str:
        ended: asyncio.Future[str] = self.loop.create_future()
        ask(ended.set_result)
        return str(self.loop.run_until_complete(asyncio.wait_for(ended, 20)))

    def store(self, number: int, beside: int = 0, also: tuple[int, ...] = ()) -> str:
        return self._wait(lambda done: self.contents.store(V[number], TEXTS[number], beside, done, also))

    def keep(self, contents: bytes) -> str:
        return self._wait(lambda done: self.contents.store_undecided(digest_of(contents), contents, done))

    def close(self) -> None:
        self.contents.close()
        self.loop.close()


def held(folder: Path, cluster: str = "farm") -> StoredConfig:
    disk = Disk(folder, cluster=cluster)
    disk.close()
    return disk.held


def test_a_version_is_kept_beside_the_one_in_force_and_no_others(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    assert [disk.store(1), disk.store(2, 1), disk.store(3, 1)] == ["", "", ""]
    disk.close()
    found = held(tmp_path)
    assert dict(found.versions) == {V[1]: TEXTS[1], V[3]: TEXTS[3]} and not found.corrupt_files


def test_what_a_start_found_stays_until_something_is_in_force(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    assert [disk.store(1), disk.store(2, 1), disk.store(3, 2, (1,)), disk.store(4, 3, (2, 1))] == [""] * 4
    disk.close()
    assert {v.number for v, _ in held(tmp_path).versions} == {1, 2, 3, 4}
    disk = Disk(tmp_path)
    assert disk.store(5, 2, (1,)) == ""
    disk.close()
    assert dict(held(tmp_path).versions) == {V[n]: TEXTS[n] for n in (1, 2, 5)}


def test_an_older_version_never_takes_a_newer_ones_place(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.store(5)
    assert disk.store(4) == "number is 4; allowed: 5, on the disk, and more"
    disk.close()
    assert dict(held(tmp_path).versions) == {V[5]: TEXTS[5]}


def test_contents_that_are_not_decided_are_kept_by_digest_until_discarded(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    assert disk.keep(b"one") == "" and disk.keep(b"two") == ""
    disk.contents.discard_undecided(digest_of(b"one"))
    disk.close()
    assert held(tmp_path).undecided == {digest_of(b"two"): b"two"}


@pytest.mark.parametrize("how", ["open", "write", "sync", "rename"])
def test_a_write_that_fails_is_told_and_leaves_what_was_there(tmp_path: Path, how: str) -> None:
    disk = Disk(tmp_path)
    disk.store(1)
    disk.close()
    failing = Disk(tmp_path, how)
    assert os.strerror(errno.EIO) in failing.store(2, 1)
    failing.close()
    found = held(tmp_path)
    assert dict(found.versions) == {V[1]: TEXTS[1]} and not found.corrupt_files


@pytest.mark.parametrize("at", ["cut", "flipped", "empty", "longer", "another's magic"])
def test_a_spoilt_file_is_put_aside_with_the_reason_and_the_other_one_holds(tmp_path: Path, at: str) -> None:
    disk = Disk(tmp_path)
    disk.store(1)
    disk.store(2, 1)
    disk.close()
    path = tmp_path / f"version-{2:016x}"
    data = bytearray(path.read_bytes())
    if at == "flipped":
        data[len(data) // 2] ^= 1
    spoilt = {
        "cut": bytes(data[: len(data) // 2]),
        "flipped": bytes(data),
        "empty": b"",
        "longer": data + b"x",
        "another's magic": b"x" + data[1:],
    }
    path.write_bytes(bytes(spoilt[at]))
    found = held(tmp_path)
    assert dict(found.versions) == {V[1]: TEXTS[1]}
    assert len(found.corrupt_files) == 1 and path.name in found.corrupt_files[0]
    assert [p.name for p in tmp_path.glob("doubted-*")] == [f"doubted-000001-{path.name}"]
    assert not held(tmp_path).corrupt_files  # it is read once


def test_no_length_of_a_torn_file_is_taken_for_a_whole_one(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.store(1)
    disk.close()
    path = tmp_path / f"version-{1:016x}"
    data = path.read_bytes()
    assert data.startswith(MAGIC)
    for size in range(0, len(data), 7):
        path.write_bytes(data[:size])
        assert held(tmp_path).versions == (), size


def test_half_a_write_counts_nowhere(tmp_path: Path) -> None:
    (tmp_path / f"version-{3:016x}.new").write_bytes(MAGIC)
    found = held(tmp_path)
    assert not found.versions and not found.corrupt_files and not list(tmp_path.glob("*.new"))


def test_contents_of_another_fleet_or_digest_are_not_believed(tmp_path: Path) -> None:
    disk = Disk(tmp_path)
    disk.store(1)
    disk.keep(b"one")
    disk.close()
    (tmp_path / f"kept-{digest_of(b'one')}").rename(tmp_path / f"kept-{digest_of(b'two')}")
    found = held(tmp_path, "ranch")
    assert not found.versions and not found.undecided
    assert "it is of the fleet 'farm', not 'ranch'" in " ".join(found.corrupt_files)
    assert f"its digest is {digest_of(b'one')}" in " ".join(found.corrupt_files)


def test_files_put_aside_are_few(tmp_path: Path) -> None:
    for _ in range(9):
        (tmp_path / f"version-{3:016x}").write_bytes(b"nothing of ours")
        assert len(held(tmp_path).corrupt_files) == 1
    assert len(list(tmp_path.glob("doubted-*"))) == 4


def test_lives_only_grow_and_a_folder_is_one_processes_own(tmp_path: Path) -> None:
    first = Disk(tmp_path)
    with pytest.raises(FolderTakenError):
        Disk(tmp_path)
    first.close()
    (tmp_path / "life").write_text(str(10**15))  # the clock was put back since
    second, third = held(tmp_path), held(tmp_path)
    assert first.held.incarnation < second.incarnation == 10**15 + 1 < third.incarnation
