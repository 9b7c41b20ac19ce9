"""The last good lists of servers, in a file: a start while their sources are down begins from it."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.routing.worker_table import WorkerEndpoint

FORMAT = 1
Lists = Mapping[
    str, tuple[float, Sequence[WorkerEndpoint]]
]  # by source: when it was heard (Unix s), its servers


class SnapshotError(Exception):
    """The file can't be used; the text says why."""


def _line(server: WorkerEndpoint) -> dict[str, Any]:
    entry = server.entry
    return {
        "id": entry.worker,
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "weight": entry.weight,
        "state": entry.state.value,
        "host": server.address[0],
        "port": server.address[1],
        "reason": server.reason,
    }


def _server(line: Mapping[str, Any]) -> WorkerEndpoint:
    entry = WorkerEntry(
        str(line["id"]),
        int(line["zone"]),
        int(line["kind"]),
        int(line["cell"]),
        WorkerState(line["state"]),
        float(line["weight"]),
    )
    return WorkerEndpoint(entry, (str(line["host"]), int(line["port"])), reason=str(line["reason"]))


def _checksum(text: str) -> str:
    return blake2b(text.encode(), digest_size=16).hexdigest()


def save_lists(path: str, lists: Lists) -> None:
    """Write the lists in place of what the file held, all or nothing, kept over a loss of power. OSError."""
    text = json.dumps(
        {
            name: {"heard": heard, "servers": [_line(server) for server in servers]}
            for name, (heard, servers) in lists.items()
        }
    )
    whole = json.dumps({"grebestack_servers": FORMAT, "checksum": _checksum(text), "lists": text})
    beside = f"{path}.new"
    with open(beside, "w", encoding="utf-8") as file:
        file.write(whole)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load_lists(path: str) -> dict[str, tuple[float, list[WorkerEndpoint]]]:
    """The lists of a file; nothing where there is none. SnapshotError: it is torn, or another program's."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise SnapshotError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or raw.get("grebestack_servers") != FORMAT:
        raise SnapshotError(f"{path}: is no list of servers of format {FORMAT}")
    text = str(raw.get("lists"))
    if raw.get("checksum") != _checksum(text):
        raise SnapshotError(f"{path}: its checksum does not fit")
    try:
        lists = json.loads(text)
        return {
            name: (float(one["heard"]), [_server(line) for line in one["servers"]])
            for name, one in lists.items()
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SnapshotError(f"{path}: {error!r}") from error
