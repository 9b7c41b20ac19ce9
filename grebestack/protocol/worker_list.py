"""What discovery's list says: the objects of a watch, and the servers that they name."""

from __future__ import annotations

import json
import logging
import math
import re
import time
from collections.abc import Mapping
from typing import Any

from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.protocol.settings import PlaceNumbers
from grebestack.routing.worker_table import WorkerEndpoint
from grebestack.transport.client import Address

log = logging.getLogger(__name__)
STATES = {"Ready": WorkerState.READY, "Terminating": WorkerState.DRAINING, "Gone": WorkerState.GONE}
NOWHERE: Address = ("", 0)  # of a server whose address can't be read: the one that was known stays
CLOCKS_MS = 2000.0  # a server's clock may be so much ahead of ours
MOST_OBJECT = 4 * 1024 * 1024  # bytes of one object: some 10,000 servers, indented
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def parse_address(text: str) -> Address:
    """A host and port; ValueError if it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)


class JsonObjectReader:
    """Puts the lines of a watch together to objects: one a line, or indented over many."""

    def __init__(self) -> None:
        self.pending_lines: list[bytes] = []  # of the object that has begun
        self.size = self.depth = 0

    def feed_line(self, line: bytes) -> Mapping[str, Any] | None:
        """The object that the line ends; None where none ends, ValueError where it can't be read."""
        if not self.pending_lines:
            if not line.strip():
                return None
            try:
                return self._object(line)
            except ValueError:
                self._add(line)
                if self.depth <= 0:
                    raise
            return None
        if not line.strip() or self.size + len(line) > MOST_OBJECT or self._begins(line):
            self.pending_lines, self.size, self.depth = [], 0, 0
            raise ValueError("an object that does not end")  # its rest was lost, or will never come
        self._add(line)
        if self.depth > 0:
            return None
        parts, self.pending_lines, self.size, self.depth = self.pending_lines, [], 0, 0
        return self._object(b"\n".join(parts))

    def _add(self, line: bytes) -> None:
        plain = STRING.sub(b"", line)
        self.pending_lines.append(line)
        self.size += len(line)
        self.depth += plain.count(b"{") + plain.count(b"[") - plain.count(b"}") - plain.count(b"]")

    @staticmethod
    def _object(text: bytes) -> Mapping[str, Any]:
        try:
            raw = json.loads(text)
        except RecursionError as error:
            raise ValueError("an object of too many layers") from error
        if not isinstance(raw, dict):
            raise ValueError(f"no object: {raw!r:.40}")
        return raw

    def _begins(self, line: bytes) -> bool:
        """Whether a line is a list by itself, so that the one begun before was cut."""
        if b'"targets"' not in line or not line.rstrip().endswith(b"}"):
            return False
        try:
            return "targets" in self._object(line)
        except ValueError:
            return False


class WorkerListReader:
    """Reads the list's entries; zones and kinds are named in the settings.

    What can be read of an entry is used, so that no drain is lost by a figure beside it that can't. Each
    field with an odd value is named once in the log.
    """

    def __init__(self, options: Mapping[str, Any]) -> None:
        self.places = PlaceNumbers(options)
        self.told: set[str] = set()  # fields of which an odd value has been logged
        # Fixed once: the decision module tells a restart by a start time that differs from the one before.
        self.unix_to_clock_ms = (time.monotonic() - time.time()) * 1000.0

    def _figure(self, raw: Mapping[str, Any], name: str, default: float) -> float:
        """A figure of an entry; one that is missing, null, negative or no finite number is the default."""
        value = default if raw.get(name) is None else raw[name]
        try:
            figure = float(value)
        except (ValueError, TypeError, OverflowError):
            figure = math.nan
        if not (math.isfinite(figure) and figure >= 0.0):
            self.warn_unexpected(name, value, default)
            return default
        return figure

    def warn_unexpected(self, name: str, value: object, taken: object) -> None:
        """Log a value that is not taken as it is, once for each field."""
        if name not in self.told:
            self.told.add(name)
            kv = {"field": name, "value": f"{value!r:.60}", "taken_as": taken}
            log.warning("bad_list_value", extra={"kv": kv})

    def read_worker(self, raw: Mapping[str, Any], strict: bool = False) -> WorkerEndpoint:
        """One entry; ValueError if it has no name, or is ready at an address that can't be read.

        A person's own entries are taken strictly: ValueError for a state or an address that is none.
        """
        uid = raw.get("uid")
        if not isinstance(uid, str | int) or uid == "":
            raise ValueError(f"uid must be a word, not {uid!r:.60}")
        state = STATES.get(str(raw.get("state")))
        if state is None and strict:
            raise ValueError(f"state must be one of {', '.join(STATES)}, not {raw.get('state')!r:.60}")
        if state is None:  # a word of later versions: whatever it means, the server is not plainly ready
            self.warn_unexpected("state", raw.get("state"), "Terminating")
            state = WorkerState.DRAINING
        try:
            address = parse_address(str(raw.get("endpoint")))
        except ValueError:
            if state is WorkerState.READY or strict:
                raise
            if state is not WorkerState.GONE:
                self.warn_unexpected("endpoint", raw.get("endpoint"), "the one before")
            address = NOWHERE
        boot_ms = self._figure(raw, "boot_ms", 0.0)
        if boot_ms > time.time() * 1000.0 + CLOCKS_MS:
            self.warn_unexpected("boot_ms", boot_ms, "now")  # the module counts a start to come as one of now
        entry = WorkerEntry(
            worker=str(uid),
            zone=self.places.zone(str(raw.get("az") or ""), -1),
            kind=self.places.kind(str(raw.get("model"))),
            cell=int(self._figure(raw, "pod_group", 0.0)),
            state=state,
            weight=self._figure(raw, "capacity_hint", 1.0) or 1.0,
            started_ms=boot_ms + self.unix_to_clock_ms if boot_ms > 0 else None,
        )
        return WorkerEndpoint(entry, address)

    def read_list(self, raw: Mapping[str, Any]) -> tuple[int, bool, list[WorkerEndpoint]]:
        """The version, whether it is the whole list, and the entries; malformed ones are left out.

        Of two entries of one name the one that wants less new work holds.
        """
        servers: dict[str, WorkerEndpoint] = {}
        targets = raw.get("targets")
        if not isinstance(targets, list):
            if targets is not None:
                self.warn_unexpected("targets", targets, "none")
            targets = []
        for item in targets:
            try:
                server = self.read_worker(item)
            except (ValueError, TypeError, AttributeError) as error:
                self.warn_unexpected("entry", error, "left out")
                continue
            name = server.entry.worker
            if name in servers:
                self.warn_unexpected("uid", name, "the one that wants less")
                if servers[name].entry.state is not WorkerState.READY:
                    continue
            servers[name] = server
        return int(self._figure(raw, "rev", 0.0)), raw.get("all") is True, list(servers.values())
