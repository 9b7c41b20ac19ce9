"""`python -m grebestack audit FOLDER...`: merge the audit logs of many dispatchers."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Iterable, Sequence

from grebestack.audit.html_report import as_page
from grebestack.audit.merge import as_data, as_text, merge
from grebestack.audit.reading import Record, assemble
from grebestack.program.audit_segments import segment_names

_EXIT_COMPLETE, _EXIT_DOUBTFUL, _EXIT_BAD_ARGUMENTS = 0, 1, 2


def record_of(name: str, folder: str) -> Record:
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
    record = assemble(name, files)
    record.doubts += doubts
    return record


def main(arguments: Sequence[str]) -> int:
    """Print the merged log; 0: it is complete, 1: parts are doubtful, 2: bad arguments."""
    options = _parse(arguments)
    records: dict[str, Record] = {}
    for name, folder in _named_folders(options.folders):
        if name in records:
            print(f"grebestack audit: two folders are named {name!r}; say NAME=FOLDER", file=sys.stderr)
            return _EXIT_BAD_ARGUMENTS
        records[name] = record_of(name, folder)
    audit = merge(records)
    if options.json:
        print(json.dumps(as_data(audit, options.call)))
    elif options.html:
        with open(options.html, "w", encoding="utf-8") as page:
            page.write(as_page(audit))
    else:
        print("\n".join(as_text(audit, options.call)))
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
