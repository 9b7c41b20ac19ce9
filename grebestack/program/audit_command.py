"""`python -m grebestack audit FOLDER...`: what the records of acts of many dispatchers come to."""

from __future__ import annotations

import argparse
import json
import os
import sys

from grebestack.audit.html_report import as_page
from grebestack.audit.merge import as_data, as_text, merge
from grebestack.audit.reading import Record, assemble
from grebestack.program.audit_recording import segments


def record_of(name: str, folder: str) -> Record:
    """Read one dispatcher's folder; what can't be read is a doubt."""
    files, doubts = [], []
    try:
        names = segments(folder)
    except OSError as error:
        names, doubts = [], [f"{folder} can't be read: {error.strerror}"]
    for file in names:
        try:
            with open(os.path.join(folder, file), "rb") as opened:
                files.append((file, opened.read()))
        except OSError as error:
            doubts.append(f"{file} can't be read: {error.strerror}")
    record = assemble(name, files)
    record.doubts += doubts
    return record


def main(arguments: list[str]) -> int:
    """0: all can be vouched for; 1: of some it can't; 2: the command's words are off."""
    parser = argparse.ArgumentParser(
        prog="grebestack audit",
        description="Which dispatcher acted on which version, and who was behind.",
    )
    parser.add_argument("folders", nargs="+", metavar="[NAME=]FOLDER", help="a dispatcher's record or a copy")
    parser.add_argument("--call", metavar="ID", default="", help="all that is written down of one job")
    shape = parser.add_mutually_exclusive_group()
    shape.add_argument("--json", action="store_true", help="one object")
    shape.add_argument("--html", metavar="FILE", help="one page with a lane for each dispatcher")
    options = parser.parse_args(arguments)
    records: dict[str, Record] = {}
    for word in options.folders:
        name, _, folder = word.rpartition("=")
        name = name or os.path.basename(os.path.abspath(folder))
        if name in records:
            print(f"grebestack audit: two folders are named {name!r}; say NAME=FOLDER", file=sys.stderr)
            return 2
        records[name] = record_of(name, folder)
    audit = merge(records)
    if options.json:
        print(json.dumps(as_data(audit, options.call)))
    elif options.html:
        with open(options.html, "w", encoding="utf-8") as page:
            page.write(as_page(audit))
    else:
        print("\n".join(as_text(audit, options.call)))
    return 1 if audit.doubts else 0
