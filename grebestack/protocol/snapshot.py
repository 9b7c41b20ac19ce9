"""A file with the last lists of workers, from which a start begins while their sources are unavailable."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.routing.worker_table import WorkerEndpoint

FORMAT = 1
Lists = Mapping[str, tuple[float, Sequence[WorkerEndpoint]]]  # by source: when received (Unix s), and workers


class SnapshotError(Exception):
    """The file can't be used; the text says why."""


def _encode_worker(worker: WorkerEndpoint) -> dict[str, Any]:
    entry = worker.entry
    return {
        "id": entry.worker,
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "weight": entry.weight,
        "state": entry.state.value,
        "host": worker.address[0],
        "port": worker.address[1],
        "reason": worker.reason,
    }


def _decode_worker(raw: Mapping[str, Any]) -> WorkerEndpoint:
    entry = WorkerEntry(
        str(raw["id"]),
        int(raw["zone"]),
        int(raw["kind"]),
        int(raw["cell"]),
        WorkerState(raw["state"]),
        float(raw["weight"]),
    )
    return WorkerEndpoint(entry, (str(raw["host"]), int(raw["port"])), reason=str(raw["reason"]))


def _checksum(text: str) -> str:
    return blake2b(text.encode(), digest_size=16).hexdigest()


def save_lists(path: str, lists: Lists) -> None:
    """Replace the file atomically, and durably across a loss of power; OSError."""
    text = json.dumps(
        {
            name: {"heard": received, "servers": [_encode_worker(worker) for worker in workers]}
            for name, (received, workers) in lists.items()
        }
    )
    contents = json.dumps({"grebestack_servers": FORMAT, "checksum": _checksum(text), "lists": text})
    temporary_path = f"{path}.new"
    with open(temporary_path, "w", encoding="utf-8") as file:
        file.write(contents)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load_lists(path: str) -> dict[str, tuple[float, list[WorkerEndpoint]]]:
    """Return the lists of a file, none if there is no file; SnapshotError if it can't be used."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise SnapshotError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or raw.get("grebestack_servers") != FORMAT:
        raise SnapshotError(f"{path}: not a list of workers of format {FORMAT}")
    text = str(raw.get("lists"))
    if raw.get("checksum") != _checksum(text):
        raise SnapshotError(f"{path}: checksum mismatch")
    try:
        lists = json.loads(text)
        return {
            name: (float(one["heard"]), [_decode_worker(worker) for worker in one["servers"]])
            for name, one in lists.items()
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SnapshotError(f"{path}: {error!r}") from error
