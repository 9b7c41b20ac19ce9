"""Every kind of file that the program writes: its bytes as hexadecimal digits, databases as rows."""

from __future__ import annotations

import asyncio
import os
import queue
import re
import sqlite3
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from grebestack.audit.recorder import Recorder, RecorderLimits
from grebestack.audit.version_sets import VersionSets
from grebestack.cluster_io.config_store import ConfigStore
from grebestack.cluster_io.log_store import Files, LogStore, create_log
from grebestack.config_distribution.versions import Version, digest_of
from grebestack.consensus.log_format import encode_record
from grebestack.core.api import Outcome
from grebestack.hot_restart.cordon_file import encode_cordon_file
from grebestack.job_queue.interface import Condition
from grebestack.jobs.records import AttemptEnd, Batch, Job, JobState
from grebestack.jobs.store import DependencyRow, JobStore
from grebestack.program.audit_segments import RecordBatch, SegmentWriter
from grebestack.program.cluster_member import found_cluster
from grebestack.program.config.operator_file import from_text
from grebestack.protocol.snapshot import save_lists
from tests.golden_samples import GOLDEN_FOLDER, RECORDS, VERSION_SET, WORKER, encode_record_sample

WAIT_S = 10.0
INCARNATION = 9_000_000_000_000  # later than any clock, so that the next start increments it
OLD_CONTENTS, CONTENTS = b"[settings]\nzone = 1\n", b"[settings]\nzone = 2\n"
OLD_VERSION = Version(16, digest_of(OLD_CONTENTS), len(OLD_CONTENTS), "m-1", 1_700_000_000_001)
VERSION = Version(17, digest_of(CONTENTS), len(CONTENTS), "m-2", 1_700_000_000_002)
BANS = {"runner-2", "runner-1", "caf\u00e9"}
LISTS = {"discovery": (1_700_000_000.5, [WORKER]), "empty": (1_700_000_001.5, [])}
JOBS = [
    Job("job-1", "key-1", '{"a":1}', "order", JobState.QUEUED, 100.5, 200.5),
    Job(
        "job-2", "key-2", '{"a":2}', "reading", JobState.FAILED, 101.5, 201.5, 151.5, b"\x00result\xff",
        "the server broke", 3.5, False, 120.5, 30.5, True, 121.5, "batch-1", 7, "label-2",
    ),
]  # fmt: skip
BATCH = Batch("batch-1", "key-3", '{"b":1}', 102.5, True, 4, True, 5)


def contents_of(folder: str) -> dict[str, str]:
    """The files of a folder, except for the lock file, which is empty."""
    names = sorted(name for name in os.listdir(folder) if name != "lock")
    return {name: Path(folder, name).read_bytes().hex() for name in names}


async def _wait_for(start: Callable[[Callable[[Any], None]], None]) -> Any:
    """The result of an operation that calls back later on the loop."""
    result: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
    start(result.set_result)
    return await asyncio.wait_for(result, WAIT_S)


async def _member_files(folder: str) -> dict[str, dict[str, str]]:
    """The log files of a member after bootstrap, an append, a compaction and a replacement."""
    payloads = [encode_record_sample(record) for record in RECORDS.values()]
    states = {}
    synced: asyncio.Queue[int] = asyncio.Queue()
    create_log(folder, payloads[:2])
    states["founded"] = contents_of(folder)
    store = LogStore(asyncio.get_running_loop(), folder, synced.put_nowait, lambda why: None)
    store.open()
    store.append(payloads[2])
    await asyncio.wait_for(synced.get(), WAIT_S)
    states["one more record"] = contents_of(folder)
    store.compact(payloads[3:])
    await asyncio.wait_for(synced.get(), WAIT_S)
    states["begun anew"] = contents_of(folder)
    await _wait_for(store.replace)
    states["put aside"] = contents_of(folder)
    store.close()
    return states


async def _version_files(folder: str) -> dict[str, str]:
    """The folder of a configuration store with two versions, and contents that are not decided."""
    Path(folder, "life").write_text(str(INCARNATION), encoding="ascii")
    contents = ConfigStore(asyncio.get_running_loop(), folder, "fleet-a")
    contents.open()
    await _wait_for(lambda done: contents.store(OLD_VERSION, OLD_CONTENTS, 0, done))
    await _wait_for(lambda done: contents.store(VERSION, CONTENTS, 16, done))
    await _wait_for(lambda done: contents.store_undecided(digest_of(b"kept"), b"kept", done))
    contents.close()
    return contents_of(folder)


def audit_recorder() -> Recorder:
    """A recorder that closes the segment with each batch."""
    return Recorder("d-1", "f00d", VersionSets(VERSION_SET), RecorderLimits(2000.0, 20_000, 1, 100.25), 12)


def _audit_files(folder: str) -> dict[str, str]:
    """Two segments of an audit log."""
    outcomes: queue.Queue[str] = queue.Queue()
    writer = SegmentWriter(folder, 1e9, Files(), outcomes.put)
    writer.thread.start()
    recorder = audit_recorder()
    recorder.on_versions_changed(1000.5)
    recorder.record_action(1001.5, "send", "job-1", "runner-1")
    _write_batch(recorder, writer, outcomes)
    recorder.record_action(1002.5, "operator", "cordon", "runner-2")
    recorder.stop(1003.5)
    _write_batch(recorder, writer, outcomes)
    writer.queue.put(None)
    writer.thread.join(WAIT_S)
    return contents_of(folder)


def _write_batch(recorder: Recorder, writer: SegmentWriter, outcomes: queue.Queue[str]) -> None:
    segment = recorder.segment
    batch = recorder.next_batch(1004.5)
    assert batch is not None
    writer.queue.put(RecordBatch(segment, *batch))
    assert outcomes.get(timeout=WAIT_S) == ""
    recorder.on_written()


def _bootstrap_files(folder: str) -> dict[str, str]:
    """The files that bootstrapping a member from an operator's file creates."""
    text = (GOLDEN_FOLDER / "operator_voter.toml").read_text(encoding="utf-8")
    found_cluster(from_text(os.path.join(folder, "operator.toml"), text))
    return contents_of(os.path.join(folder, "fleet"))


def all_files() -> dict[str, Any]:
    """All files except for the databases."""
    with TemporaryDirectory() as top:
        names = ("member", "founding", "configuration", "audit", "snapshot")
        folders = {name: os.path.join(top, name) for name in names}
        for folder in folders.values():
            os.mkdir(folder)
        save_lists(os.path.join(folders["snapshot"], "servers.json"), LISTS)
        return {
            "member": asyncio.run(_member_files(folders["member"])),
            "founding": _bootstrap_files(folders["founding"]),
            "configuration": asyncio.run(_version_files(folders["configuration"])),
            "audit": _audit_files(folders["audit"]),
            "snapshot": contents_of(folders["snapshot"]),
            "bans": {"some": encode_cordon_file(BANS).hex(), "none": encode_cordon_file(set()).hex()},
            "frame": {
                "first": encode_record(1, b"payload").hex(),
                "last": encode_record((1 << 64) - 1, b"").hex(),
            },
        }


def fill_store(store: JobStore) -> None:
    """Put rows into each table."""
    store.add_batch(BATCH)
    edges: list[DependencyRow] = [
        ("job-2", "job-1", Condition.FAILED, None),
        ("job-2", "job-0", Condition.DONE, True),
    ]
    store.add_all(JOBS, edges)
    row = store.record_attempt("job-1", "runner-1", 110.5)
    store.record_attempt_ends([AttemptEnd(row, Outcome.RESET)])
    row = store.record_attempt("job-1", "runner-2", 111.5)
    store.record_attempt_ends([AttemptEnd(row, Outcome.REJECTED)])
    store.set_drained("runner-3", True)


def _normalized(sql: str | None) -> str | None:
    """An SQL statement without comments and line breaks."""
    return None if sql is None else " ".join(re.sub(r"--[^\n]*", "", sql).split())


def dump(path: str) -> dict[str, Any]:
    """The version, schema and rows of a database, which no other connection may have open."""
    database = sqlite3.connect(path)
    (version,) = database.execute("PRAGMA user_version").fetchone()
    query = "SELECT type, name, tbl_name, sql FROM sqlite_master ORDER BY type, name"
    schema = [[kind, name, table, _normalized(sql)] for kind, name, table, sql in database.execute(query)]
    tables = [name for kind, name, _, _ in schema if kind == "table"]
    rows = {name: database.execute(f"SELECT * FROM {name} ORDER BY rowid").fetchall() for name in tables}
    database.close()
    rows_text = {name: [[repr(value) for value in row] for row in found] for name, found in rows.items()}
    return {"version": version, "schema": schema, "rows": rows_text}


def new_database(path: str) -> dict[str, Any]:
    """The dump of a new database that the store has filled."""
    store = JobStore(path)
    fill_store(store)
    store.close()
    return dump(path)


def old_database(path: str) -> None:
    """Create a database of the first version from the golden SQL file."""
    database = sqlite3.connect(path)
    database.executescript((GOLDEN_FOLDER / "jobs_1.sql").read_text(encoding="utf-8"))
    database.close()


def migrated_database(path: str) -> dict[str, Any]:
    """The dump of a database of the first version that the store has migrated."""
    old_database(path)
    JobStore(path).close()
    return dump(path)


def all_databases() -> dict[str, Any]:
    """The dumps of an old database, of the same one migrated, and of a new one."""
    with TemporaryDirectory() as folder:
        old = os.path.join(folder, "old.sqlite")
        old_database(old)
        return {
            "old": dump(old),
            "migrated": migrated_database(os.path.join(folder, "migrated.sqlite")),
            "new": new_database(os.path.join(folder, "new.sqlite")),
        }
