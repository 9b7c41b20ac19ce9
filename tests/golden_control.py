"""Admin commands as they are parsed, their responses, and log lines, for the golden file."""

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
from tests.golden_samples import WORKER
from tests.golden_settings import values_of

CREATED = 1_700_000_000.125
LINES = (
    b"health", b"cordon runner-1", b"uncordon runner-1", b"quiesce", b"resume", b"fleet", b"leases",
    b"restart", b"halt", b"drop m-3", b"configure /etc/grebestack/version.toml", b"stop",
    b"  health  ", b"", b"  ", b"HEALTH", b"cordon", b"cordon a b", b"health now", b"drop",
    b"configure", b"quiesce now", b"cordon a\x01b", b"caf\xc3\xa9", b"\xff\xfe", b"x" * 60,
)  # fmt: skip
RESPONSES = (
    CommandResponse(True, "ready"), CommandResponse(False, "not ready: starting"),
    CommandResponse(True, ""), CommandResponse(False, "caf\u00e9"),
)  # fmt: skip


def parsed() -> dict[str, Any]:
    """Return what each line is parsed to: a command, or the failure to send."""
    return {line.decode("latin-1"): _outcome(parse(line)) for line in LINES}


def _outcome(result: Command | CommandResponse | None) -> Any:
    if isinstance(result, CommandResponse):
        return result.line.decode()
    return None if result is None else values_of(result)


def read_in_chunks() -> dict[str, Any]:
    """Return the results of a reader for lines that are split, too long or without an end."""
    results: dict[str, Any] = {}
    for name, chunks in {
        "in two pieces": [b"cordon ru", b"nner-1\r\nmore"],
        "longest": [b"cordon " + b"r" * 249 + b"\n"],
        "too long": [b"cordon " + b"r" * 250 + b"\n"],
        "without an end": [b"health"],
    }.items():
        reader = LineReader()
        outcomes = [_outcome(reader.feed(chunk)) for chunk in chunks]
        results[name] = [*outcomes, _outcome(reader.feed_eof())]
    return results


def executed() -> dict[str, str]:
    """Return the responses of a dispatcher that is in no cluster to a sequence of commands."""
    dispatcher = MagicMock(
        cluster_member=None,
        config_updates=None,
        audit_recorder=None,
        lifecycle=Lifecycle(),
        table=WorkerTable(),
    )
    dispatcher.clock.now_ms.return_value = 1000.0
    dispatcher.table.update(ListKind.FULL, [WORKER])
    operations, responses = LocalOperations(dispatcher), dict[str, str]()

    def run(name: str, verb: Verb, target: str = "") -> None:
        responses[name] = operations.execute(Command(verb, target)).line.decode()

    run("health at the start", Verb.HEALTH)
    dispatcher.lifecycle.finish_start(1001.0)
    run("health", Verb.HEALTH)
    run("cordon", Verb.CORDON, "runner-1")
    run("cordon of a server that is not known", Verb.CORDON, "runner-9")
    run("uncordon", Verb.UNCORDON, "runner-1")
    run("quiesce", Verb.QUIESCE)
    run("health when quiesced", Verb.HEALTH)
    run("resume", Verb.RESUME)
    for verb in (Verb.FLEET, Verb.LEASES, Verb.RESTART, Verb.HALT, Verb.DROP, Verb.CONFIGURE):
        run(f"{verb.value} without a fleet", verb, "m-3" if verb.takes_target else "")
    dispatcher.lifecycle.stop(1002.0)
    run("resume after a stop", Verb.RESUME)
    run("health after a stop", Verb.HEALTH)
    return responses


class LineCollector(logging.Handler):
    """Collects the formatted line of each record."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(KeyValueFormatter())
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record with a fixed time and keep the line."""
        record.created, record.msecs = CREATED, 125.0
        self.lines.append(self.format(record))


def logged() -> list[str]:
    """Return log lines of admin commands and of the tally, and values that need quotes."""
    handler, logger = LineCollector(), logging.getLogger("tests.golden")
    admin_logger = logging.getLogger(AdminServer.log_command.__module__)
    levels = {each: each.level for each in (logger, admin_logger)}
    for each in levels:
        each.addHandler(handler)
        each.setLevel(logging.INFO)
    AdminServer.log_command(Command(Verb.CORDON, "runner-1"), CommandResponse(True, "runner-1 is left out"))
    AdminServer.log_command(Command(Verb.QUIESCE), CommandResponse(True, "quiesced"))
    AdminServer.log_command(Command(Verb.HEALTH), CommandResponse(True, "ready"))
    tally = TrafficCounts()
    for counts in ({"sessions": 5, "ok": 3, "dials": 2}, {"sessions": 9, "ok": 3, "dials": 4}):
        pairs = tally.pairs(counts, {"runner-1": 4, "runner-2": 1}, {"runner-1": 2})
        logger.info("tally", extra={"kv": pairs})
    values = {"float": 1.23456, "space": "a b", "quote": 'a"b\\c', "empty": "", "line": "a\nb", "none": None}
    logger.warning("odd", extra={"kv": values})
    for each, level in levels.items():
        each.removeHandler(handler)
        each.setLevel(level)
    return handler.lines


def all_control() -> dict[str, Any]:
    """Return all parts of the golden file."""
    return {
        "parsed": parsed(),
        "pieces": read_in_chunks(),
        "answers": [response.line.decode() for response in RESPONSES],
        "shown": [excerpt(line) for line in LINES],
        "operated": executed(),
        "logged": logged(),
    }
