"""`python -m grebestack say HOST:PORT CALL [ID]`: send one admin command to a running dispatcher."""

from __future__ import annotations

import argparse
import socket
from enum import IntEnum

from grebestack.admin.commands import ALLOWED_COMMANDS
from grebestack.protocol.worker_list import parse_address
from grebestack.transport.client import Address

TIMEOUT_S = 5.0


class ExitCode(IntEnum):
    """The exit codes of the command line."""

    SUCCEEDED = 0
    FAILED = 1
    BAD_ARGUMENTS = 2
    NO_RESPONSE = 3


def main(arguments: list[str]) -> int:
    """Send a command and print its response; the exit code tells the outcome."""
    options = _parser().parse_args(arguments)
    try:
        address = parse_address(options.door)
    except ValueError as error:
        print(f"grebestack say: {error}")
        return ExitCode.BAD_ARGUMENTS
    try:
        response = _send(address, " ".join(options.call))
    except OSError as error:
        print(f"grebestack say: {options.door}: {error.strerror or error}")
        return ExitCode.NO_RESPONSE
    print(response or f"grebestack say: {options.door}: no answer")
    return _exit_code(response)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="grebestack say",
        description=f"One call at the operators' door: {ALLOWED_COMMANDS}. "
        "Exit: 0 SUCCESS, 1 FAILURE, 2 the words are off, 3 no dispatcher answered.",
    )
    parser.add_argument("door", metavar="HOST:PORT", help="where `control` points")
    parser.add_argument("call", nargs="+", metavar="CALL")
    return parser


def _send(address: Address, command: str) -> str:
    with socket.create_connection(address, TIMEOUT_S) as sock:
        sock.sendall(command.encode() + b"\n")
        return sock.makefile(errors="replace").readline().rstrip()


def _exit_code(response: str) -> ExitCode:
    if response.startswith("SUCCESS"):
        return ExitCode.SUCCEEDED
    if response.startswith("FAILURE"):
        return ExitCode.FAILED
    return ExitCode.NO_RESPONSE
