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
    """Send a command, print its response and return the exit code."""
    options = _parser().parse_args(arguments)
    try:
        address = parse_address(options.address)
    except ValueError as error:
        print(f"grebestack say: {error}")
        return ExitCode.BAD_ARGUMENTS
    try:
        response = _send(address, " ".join(options.command))
    except OSError as error:
        print(f"grebestack say: {options.address}: {error.strerror or error}")
        return ExitCode.NO_RESPONSE
    print(response or f"grebestack say: {options.address}: no response")
    return _exit_code(response)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="grebestack say",
        description=f"Send one admin command to a running dispatcher: {ALLOWED_COMMANDS}. "
        "Exit codes: 0 SUCCESS, 1 FAILURE, 2 invalid arguments, 3 no response.",
    )
    parser.add_argument("address", metavar="HOST:PORT", help="the `control` address of the dispatcher")
    parser.add_argument("command", nargs="+", metavar="CALL")
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
