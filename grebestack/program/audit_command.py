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

_EXIT_COMPLETE, _EXIT_INCOMPLETE, _EXIT_BAD_ARGUMENTS = 0, 1, 2


def read_record(name: str, folder: str) -> AuditLog:
    """Read one dispatcher's audit folder; files that can't be read are listed in the log's `doubts`."""
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
    """Print the merged log. Exit code 0: complete, 1: parts are missing or damaged, 2: invalid arguments."""
    options = _parse(arguments)
    records: dict[str, AuditLog] = {}
    for name, folder in _named_folders(options.folders):
        if name in records:
            print(f"grebestack audit: two folders are named {name!r}; use NAME=FOLDER", file=sys.stderr)
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
    return _EXIT_INCOMPLETE if audit.doubts else _EXIT_COMPLETE


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="grebestack audit",
        description="Report which dispatcher acted on which versions, and which ones lagged behind.",
    )
    parser.add_argument(
        "folders", nargs="+", metavar="[NAME=]FOLDER", help="a dispatcher's audit folder, or a copy of it"
    )
    parser.add_argument("--call", metavar="ID", default="", help="show all records of one job")
    output = parser.add_mutually_exclusive_group()
    output.add_argument("--json", action="store_true", help="print one JSON object")
    output.add_argument(
        "--html", metavar="FILE", help="write an HTML page with a timeline of each dispatcher"
    )
    return parser.parse_args(arguments)


def _named_folders(arguments: Iterable[str]) -> Iterable[tuple[str, str]]:
    """Yield the name (default: the folder's) and folder of each dispatcher."""
    for argument in arguments:
        name, _, folder = argument.rpartition("=")
        yield name or os.path.basename(os.path.abspath(folder)), folder
