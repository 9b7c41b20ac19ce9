"""`python -m grebestack audit FOLDER...`: merge the audit logs of many dispatchers."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Iterable, Sequence

from grebestack.audit.html_report import report_page
from grebestack.audit.merge import merge, report_data, report_lines
from grebestack.audit.reading import AuditLog, read_audit_log
from grebestack.program.audit_segments import segment_names

_EXIT_COMPLETE, _EXIT_DOUBTFUL, _EXIT_BAD_ARGUMENTS = 0, 1, 2


def read_record(name: str, folder: str) -> AuditLog:
    """Read one dispatcher's folder; what can't be read is among the record's doubts."""
    files, doubts = [], []
    try:
        segments = segment_names(folder)
    except OSError as error:
        segments, doubts = [], [f"{folder} can't be read: {error.strerror}"]
    for segment in segments:
        try:
            with open(os.path.join(folder, segment), "rb") as file:
                files.append((segment, file.read()))
        except OSError as error:
            doubts.append(f"{segment} can't be read: {error.strerror}")
    record = read_audit_log(name, files)
    record.doubts += doubts
    return record


def main(arguments: Sequence[str]) -> int:
    """Print the merged log; 0: it is complete, 1: parts are doubtful, 2: bad arguments."""
    options = _parse(arguments)
    records: dict[str, AuditLog] = {}
    for name, folder in _named_folders(options.folders):
        if name in records:
            print(f"grebestack audit: two folders are named {name!r}; say NAME=FOLDER", file=sys.stderr)
            return _EXIT_BAD_ARGUMENTS
        records[name] = read_record(name, folder)
    audit = merge(records)
    if options.json:
        print(json.dumps(report_data(audit, options.call)))
    elif options.html:
        with open(options.html, "w", encoding="utf-8") as page:
            page.write(report_page(audit))
    else:
        print("\n".join(report_lines(audit, options.call)))
    return _EXIT_DOUBTFUL if audit.doubts else _EXIT_COMPLETE


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="grebestack audit",
        description="Which dispatcher acted on which version, and who was behind.",
    )
    parser.add_argument("folders", nargs="+", metavar="[NAME=]FOLDER", help="a dispatcher's record or a copy")
    parser.add_argument("--call", metavar="ID", default="", help="all that is written down of one job")
    form = parser.add_mutually_exclusive_group()
    form.add_argument("--json", action="store_true", help="one object")
    form.add_argument("--html", metavar="FILE", help="one page with a lane for each dispatcher")
    return parser.parse_args(arguments)


def _named_folders(arguments: Iterable[str]) -> Iterable[tuple[str, str]]:
    """Yield each dispatcher's name, by default that of its folder, and its folder."""
    for argument in arguments:
        name, _, folder = argument.rpartition("=")
        yield name or os.path.basename(os.path.abspath(folder)), folder
