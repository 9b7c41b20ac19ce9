"""`python -m grebestack say HOST:PORT CALL [ID]`: one call at the operators' door of a running dispatcher."""

from __future__ import annotations

import argparse
import socket

from grebestack.admin.commands import ALLOWED
from grebestack.protocol.lists import address_of

DONE, TURNED_DOWN, WRONG_WORDS, NOBODY = 0, 1, 2, 3  # the console's exit codes
WAIT_S = 5.0


def main(arguments: list[str]) -> int:
    """Make one call and print its answer; the exit code tells how it went."""
    parser = argparse.ArgumentParser(
        prog="grebestack say",
        description=f"One call at the operators' door: {ALLOWED}. "
        "Exit: 0 SUCCESS, 1 FAILURE, 2 the words are off, 3 no dispatcher answered.",
    )
    parser.add_argument("door", metavar="HOST:PORT", help="where `control` points")
    parser.add_argument("call", nargs="+", metavar="CALL")
    options = parser.parse_args(arguments)
    try:
        address = address_of(options.door)
    except ValueError as error:
        print(f"grebestack say: {error}")
        return WRONG_WORDS
    try:
        with socket.create_connection(address, WAIT_S) as caller:
            caller.sendall(" ".join(options.call).encode() + b"\n")
            answer = caller.makefile(errors="replace").readline().rstrip()
    except OSError as error:
        print(f"grebestack say: {options.door}: {error.strerror or error}")
        return NOBODY
    print(answer or f"grebestack say: {options.door}: no answer")
    return DONE if answer.startswith("SUCCESS") else TURNED_DOWN if answer.startswith("FAILURE") else NOBODY
