"""Reads the endpoint list of discovery: the JSON objects of a watch, and the workers that they list."""

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
UNKNOWN_ADDRESS: Address = ("", 0)  # could not be parsed; the worker table keeps the previous one
MAX_CLOCK_SKEW_MS = 2000.0  # by which a worker's clock may be ahead of this one
MAX_OBJECT_BYTES = 4 * 1024 * 1024  # some 10,000 workers, indented
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def parse_address(text: str) -> Address:
    """Parse `host:port`; ValueError if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)


class JsonObjectReader:
    """Assembles JSON objects from the lines of a watch, one to a line or indented over several lines."""

    def __init__(self) -> None:
        self.pending_lines: list[bytes] = []  # of an object that is not complete
        self.size = self.depth = 0

    def feed_line(self, line: bytes) -> Mapping[str, Any] | None:
        """Return the object that the line completes, if any; ValueError if it can't be parsed."""
        if not self.pending_lines:
            if not line.strip():
                return None
            try:
                return self._parse(line)
            except ValueError:
                self._add(line)
                if self.depth <= 0:
                    raise
            return None
        if not line.strip() or self.size + len(line) > MAX_OBJECT_BYTES or self._is_complete_list(line):
            self.pending_lines, self.size, self.depth = [], 0, 0
            raise ValueError("the JSON object is incomplete")  # the rest was lost, or will never arrive
        self._add(line)
        if self.depth > 0:
            return None
        lines, self.pending_lines, self.size, self.depth = self.pending_lines, [], 0, 0
        return self._parse(b"\n".join(lines))

    def _add(self, line: bytes) -> None:
        outside = STRING.sub(b"", line)
        self.pending_lines.append(line)
        self.size += len(line)
        self.depth += outside.count(b"{") + outside.count(b"[") - outside.count(b"}") - outside.count(b"]")

    @staticmethod
    def _parse(text: bytes) -> Mapping[str, Any]:
        try:
            raw = json.loads(text)
        except RecursionError as error:
            raise ValueError("the JSON object is nested too deeply") from error
        if not isinstance(raw, dict):
            raise ValueError(f"not a JSON object: {raw!r:.40}")
        return raw

    def _is_complete_list(self, line: bytes) -> bool:
        """Whether a line is a list by itself, which means that the pending object was cut off."""
        if b'"targets"' not in line or not line.rstrip().endswith(b"}"):
            return False
        try:
            return "targets" in self._parse(line)
        except ValueError:
            return False


class WorkerListReader:
    """Reads the entries of endpoint lists; zones and worker kinds are named in the settings.

    Every field of an entry that can be parsed is used, so that a drain is not lost because of a malformed
    value beside it. Each field with an unexpected value is logged once.
    """

    def __init__(self, options: Mapping[str, Any]) -> None:
        self.places = PlaceNumbers(options)
        self.warned_fields: set[str] = set()
        # Computed once: the decision module detects the restart of a worker by a changed start time.
        self.unix_to_clock_ms = (time.monotonic() - time.time()) * 1000.0

    def _number(self, raw: Mapping[str, Any], name: str, default: float) -> float:
        """Return a number of an entry; the default if it is missing, null, negative or not finite."""
        value = default if raw.get(name) is None else raw[name]
        try:
            number = float(value)
        except (ValueError, TypeError, OverflowError):
            number = math.nan
        if not (math.isfinite(number) and number >= 0.0):
            self.warn_unexpected(name, value, default)
            return default
        return number

    def warn_unexpected(self, name: str, value: object, used_instead: object) -> None:
        """Log a value that is not used as it is, once for each field."""
        if name not in self.warned_fields:
            self.warned_fields.add(name)
            fields = {"field": name, "value": f"{value!r:.60}", "taken_as": used_instead}
            log.warning("bad_list_value", extra={"kv": fields})

    def read_worker(self, raw: Mapping[str, Any], strict: bool = False) -> WorkerEndpoint:
        """Read one entry; ValueError if it has no name, or is ready and its address can't be parsed.

        `strict` is for entries that an operator has written: ValueError also for any unknown state, and for
        any address that can't be parsed.
        """
        uid = raw.get("uid")
        if not isinstance(uid, str | int) or uid == "":
            raise ValueError(f"uid must be a word, not {uid!r:.60}")
        state = STATES.get(str(raw.get("state")))
        if state is None and strict:
            raise ValueError(f"state must be one of {', '.join(STATES)}, not {raw.get('state')!r:.60}")
        if state is None:  # a state of a later version; whatever it means, the worker is not plainly ready
            self.warn_unexpected("state", raw.get("state"), "Terminating")
            state = WorkerState.DRAINING
        try:
            address = parse_address(str(raw.get("endpoint")))
        except ValueError:
            if state is WorkerState.READY or strict:
                raise
            if state is not WorkerState.GONE:
                self.warn_unexpected("endpoint", raw.get("endpoint"), "the previous address")
            address = UNKNOWN_ADDRESS
        boot_ms = self._number(raw, "boot_ms", 0.0)
        if boot_ms > time.time() * 1000.0 + MAX_CLOCK_SKEW_MS:
            self.warn_unexpected("boot_ms", boot_ms, "now")  # the decision module treats it as a start now
        entry = WorkerEntry(
            worker=str(uid),
            zone=self.places.zone(str(raw.get("az") or ""), -1),
            kind=self.places.kind(str(raw.get("model"))),
            cell=int(self._number(raw, "pod_group", 0.0)),
            state=state,
            weight=self._number(raw, "capacity_hint", 1.0) or 1.0,
            started_ms=boot_ms + self.unix_to_clock_ms if boot_ms > 0 else None,
        )
        return WorkerEndpoint(entry, address)

    def read_list(self, raw: Mapping[str, Any]) -> tuple[int, bool, list[WorkerEndpoint]]:
        """Return the version, whether the list is complete, and its workers without malformed entries.

        Of two entries with the same name, one that is not ready is used, else the last.
        """
        workers: dict[str, WorkerEndpoint] = {}
        targets = raw.get("targets")
        if not isinstance(targets, list):
            if targets is not None:
                self.warn_unexpected("targets", targets, "none")
            targets = []
        for item in targets:
            try:
                worker = self.read_worker(item)
            except (ValueError, TypeError, AttributeError) as error:
                self.warn_unexpected("entry", error, "not used")
                continue
            name = worker.entry.worker
            if name in workers:
                self.warn_unexpected("uid", name, "one that is not ready, else the last")
                if workers[name].entry.state is not WorkerState.READY:
                    continue
            workers[name] = worker
        return int(self._number(raw, "rev", 0.0)), raw.get("all") is True, list(workers.values())
