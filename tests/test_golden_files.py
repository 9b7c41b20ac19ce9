"""Each version must write files with the bytes of the golden files, and read those."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from grebestack.audit import records
from grebestack.audit.reading import MAGIC
from grebestack.cluster_io.config_store import ConfigStore
from grebestack.cluster_io.log_store import LogStore
from grebestack.consensus.log_format import read_log
from grebestack.hot_restart.cordon_file import decode_cordon_file
from grebestack.jobs.store import JobStore
from grebestack.protocol.snapshot import load_lists
from grebestack.routing.worker_table import WorkerEndpoint
from tests.golden_files import (
    BANS,
    BATCH,
    CONTENTS,
    INCARNATION,
    JOBS,
    LISTS,
    OLD_CONTENTS,
    OLD_VERSION,
    VERSION,
    all_databases,
    all_files,
    fill_store,
)
from tests.golden_samples import RECORDS, encode_record_sample, load_golden

FILES, DATABASES = "files.json", "databases.json"


def write_golden(folder: Path, kind: str, state: str = "") -> None:
    """Write golden files to a folder."""
    files = load_golden(FILES)[kind]
    for name, digits in (files[state] if state else files).items():
        (folder / name).write_bytes(bytes.fromhex(digits))


def test_all_files_have_the_bytes_of_the_golden_file() -> None:
    actual, golden = all_files(), load_golden(FILES)
    assert set(actual) == set(golden)
    for kind in sorted(golden):
        assert actual[kind] == golden[kind], kind


@pytest.mark.parametrize("state", ["founded", "one more record", "begun anew"])
def test_a_members_golden_file_is_read(tmp_path: Path, state: str) -> None:
    write_golden(tmp_path, "member", state)
    loop = asyncio.new_event_loop()
    store = LogStore(loop, str(tmp_path), lambda last: None, lambda why: None)
    opened = store.open()
    store.close()
    loop.close()
    payloads = tuple(encode_record_sample(record) for record in RECORDS.values())
    expected = {"founded": payloads[:2], "one more record": payloads[:3], "begun anew": payloads[3:]}
    assert opened.fault == ""
    assert opened.payloads == expected[state]


def test_a_golden_configuration_is_read(tmp_path: Path) -> None:
    write_golden(tmp_path, "configuration")
    loop = asyncio.new_event_loop()
    contents = ConfigStore(loop, str(tmp_path), "fleet-a")
    opened = contents.open()
    contents.close()
    loop.close()
    assert opened.corrupt_files == ()
    assert opened.versions == ((OLD_VERSION, OLD_CONTENTS), (VERSION, CONTENTS))
    assert list(opened.undecided.values()) == [b"kept"]
    assert opened.incarnation == INCARNATION + 2


def test_golden_segments_of_the_audit_are_read() -> None:
    actions = []
    for digits in load_golden(FILES)["audit"].values():
        segment = read_log(bytes.fromhex(digits), 1, MAGIC)
        assert segment.corruption == "" and not segment.has_torn_end
        for payload in segment.payloads:
            items = records.decode(payload)
            assert records.encode(items) == payload
            actions += [item.what for item in items if isinstance(item, records.ActionRecord)]
    assert actions == ["send", "operator"]


def test_the_golden_file_of_bans_is_read() -> None:
    golden = load_golden(FILES)["bans"]
    assert decode_cordon_file(bytes.fromhex(golden["some"])) == BANS
    assert decode_cordon_file(bytes.fromhex(golden["none"])) == set()


def test_a_golden_snapshot_of_workers_is_read(tmp_path: Path) -> None:
    write_golden(tmp_path, "snapshot")
    lists = load_lists(str(tmp_path / "servers.json"))
    assert set(lists) == set(LISTS)
    ((server,), (expected,)) = lists["discovery"][1], LISTS["discovery"][1]
    assert isinstance(server, WorkerEndpoint)
    assert (server.address, server.reason) == (expected.address, expected.reason)
    assert lists["discovery"][0] == LISTS["discovery"][0]


def test_databases_match_the_golden_file() -> None:
    actual, golden = all_databases(), load_golden(DATABASES)
    for kind in ("old", "migrated", "new"):
        assert actual[kind] == golden[kind], kind


def test_a_migrated_database_has_the_schema_of_a_new_one() -> None:
    golden = load_golden(DATABASES)
    assert golden["migrated"]["version"] == golden["new"]["version"] == 4
    assert golden["migrated"]["schema"] == golden["new"]["schema"]


def test_jobs_are_read_as_they_were_written(tmp_path: Path) -> None:
    path = str(tmp_path / "jobs.sqlite")
    store = JobStore(path)
    fill_store(store)
    store.close()
    store = JobStore(path)
    assert store.get("job-2") == JOBS[1]
    assert store.find_batch("id", "batch-1") == BATCH
    assert store.drained_workers() == {"runner-3"}
    store.close()
