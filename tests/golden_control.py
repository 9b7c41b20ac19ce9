"""The operators' door: calls as they are read, answers as they are written, and the lines of the log."""

from __future__ import annotations

import logging
from typing import Any
from unittest.mock import MagicMock

from grebestack.admin.commands import Command, CommandResponse, LineReader, Verb, excerpt, parse
from grebestack.admin.server import AdminServer
from grebestack.core.api import ListKind
from grebestack.program.admin_operations import LocalOperations
from grebestack.program.lifecycle import Lifecycle
from grebestack.program.log import KeyValueFormatter
from grebestack.program.traffic_log import TrafficCounts
from grebestack.routing.worker_table import WorkerTable
from tests.golden_samples import SERVER
from tests.golden_settings import values_of

CREATED = 1_700_000_000.125
LINES = (
    b"health", b"cordon runner-1", b"uncordon runner-1", b"quiesce", b"resume", b"fleet", b"leases",
    b"restart", b"halt", b"drop m-3", b"configure /etc/grebestack/version.toml", b"stop",
    b"  health  ", b"", b"  ", b"HEALTH", b"cordon", b"cordon a b", b"health now", b"drop",
    b"configure", b"quiesce now", b"cordon a\x01b", b"caf\xc3\xa9", b"\xff\xfe", b"x" * 60,
)  # fmt: skip
OUTCOMES = (
    CommandResponse(True, "ready"), CommandResponse(False, "not ready: starting"),
    CommandResponse(True, ""), CommandResponse(False, "caf\u00e9"),
)  # fmt: skip


def parsed() -> dict[str, Any]:
    """What each line is read as: a call, or the failure that it is owed."""
    return {line.decode("latin-1"): _outcome(parse(line)) for line in LINES}


def _outcome(result: Command | CommandResponse | None) -> Any:
    if isinstance(result, CommandResponse):
        return result.line.decode()
    return None if result is None else values_of(result)


def read_in_pieces() -> dict[str, Any]:
    """What a reader makes of lines that come in pieces, are too long or have no end."""
    results: dict[str, Any] = {}
    for name, pieces in {
        "in two pieces": [b"cordon ru", b"nner-1\r\nmore"],
        "longest": [b"cordon " + b"r" * 249 + b"\n"],
        "too long": [b"cordon " + b"r" * 250 + b"\n"],
        "without an end": [b"health"],
    }.items():
        reader = LineReader()
        outcomes = [_outcome(reader.feed(piece)) for piece in pieces]
        results[name] = [*outcomes, _outcome(reader.feed_eof())]
    return results


def operated() -> dict[str, str]:
    """What a dispatcher that belongs to no fleet answers, one call after the other."""
    dispatcher = MagicMock(
        cluster_member=None,
        config_updates=None,
        audit_recorder=None,
        lifecycle=Lifecycle(),
        table=WorkerTable(),
    )
    dispatcher.clock.now_ms.return_value = 1000.0
    dispatcher.table.update(ListKind.FULL, [SERVER])
    operations, answers = LocalOperations(dispatcher), dict[str, str]()

    def said(name: str, verb: Verb, server: str = "") -> None:
        answers[name] = operations.execute(Command(verb, server)).line.decode()

    said("health at the start", Verb.HEALTH)
    dispatcher.lifecycle.finish_start(1001.0)
    said("health", Verb.HEALTH)
    said("cordon", Verb.CORDON, "runner-1")
    said("cordon of a server that is not known", Verb.CORDON, "runner-9")
    said("uncordon", Verb.UNCORDON, "runner-1")
    said("quiesce", Verb.QUIESCE)
    said("health when quiesced", Verb.HEALTH)
    said("resume", Verb.RESUME)
    for verb in (Verb.FLEET, Verb.LEASES, Verb.RESTART, Verb.HALT, Verb.DROP, Verb.CONFIGURE):
        said(f"{verb.value} without a fleet", verb, "m-3" if verb.takes_target else "")
    dispatcher.lifecycle.stop(1002.0)
    said("resume after a stop", Verb.RESUME)
    said("health after a stop", Verb.HEALTH)
    return answers


class Lines(logging.Handler):
    """Keeps each record as its line."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(KeyValueFormatter())
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record's line; the time is held still."""
        record.created, record.msecs = CREATED, 125.0
        self.lines.append(self.format(record))


def logged() -> list[str]:
    """Lines of the log: those of the door and of the tally, and values that need quotes."""
    handler, logger = Lines(), logging.getLogger("tests.golden")
    door = logging.getLogger(AdminServer.log_command.__module__)
    levels = {one: one.level for one in (logger, door)}
    for one in levels:
        one.addHandler(handler)
        one.setLevel(logging.INFO)
    AdminServer.log_command(Command(Verb.CORDON, "runner-1"), CommandResponse(True, "runner-1 is left out"))
    AdminServer.log_command(Command(Verb.QUIESCE), CommandResponse(True, "quiesced"))
    AdminServer.log_command(Command(Verb.HEALTH), CommandResponse(True, "ready"))
    tally = TrafficCounts()
    for counts in ({"sessions": 5, "ok": 3, "dials": 2}, {"sessions": 9, "ok": 3, "dials": 4}):
        pairs = tally.pairs(counts, {"runner-1": 4, "runner-2": 1}, {"runner-1": 2})
        logger.info("tally", extra={"kv": pairs})
    odd = {"float": 1.23456, "space": "a b", "quote": 'a"b\\c', "empty": "", "line": "a\nb", "none": None}
    logger.warning("odd", extra={"kv": odd})
    for one, level in levels.items():
        one.removeHandler(handler)
        one.setLevel(level)
    return handler.lines


def all_control() -> dict[str, Any]:
    """All that the door reads and writes, and the lines of the log."""
    return {
        "parsed": parsed(),
        "pieces": read_in_pieces(),
        "answers": [answer.line.decode() for answer in OUTCOMES],
        "shown": [excerpt(line) for line in LINES],
        "operated": operated(),
        "logged": logged(),
    }
