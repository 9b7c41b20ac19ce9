"""`python -m grebestack`: runs a dispatcher, or one of the operator commands.

`console`: queries and controls a running dispatcher over HTTP. `say`: sends one admin command to a running
dispatcher. `form`: initializes a member of a new cluster. `audit`: merges the audit logs of many dispatchers.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence

from grebestack.program import log, reload_signal
from grebestack.program.config.errors import ConfigError, StartError
from grebestack.program.config.model import Config
from grebestack.program.config.platform import from_platform
from grebestack.program.dispatcher import run

_EXIT_START_FAILED = 1
_EXIT_BAD_CONFIG = 2


def main() -> int:
    """Run a command or the dispatcher, and return the exit code.

    Both errors print one line: an invalid configuration exits with 2, a failed start with 1.
    """
    if command := _command(sys.argv[1:2]):
        return command(sys.argv[2:])
    options = _parse(sys.argv[1:])
    log.set_up(options.log_level)
    try:
        config = _load(options.config)
    except ConfigError as error:
        print(f"grebestack: {error}", file=sys.stderr)
        return _EXIT_BAD_CONFIG
    try:
        run(config, lambda: _load(options.config, again=True), reload_signal.sighup_received)
    except (OSError, StartError) as error:
        print(f"grebestack: {error}", file=sys.stderr)
        return _EXIT_START_FAILED
    return 0


def _command(arguments: Sequence[str]) -> Callable[[list[str]], int] | None:
    """Return the named command, or None for the dispatcher, which loads no command to start faster."""
    match arguments:
        case ["console"]:
            from grebestack.program import console

            return console.main
        case ["say"]:
            from grebestack.program import admin_command

            return admin_command.main
        case ["audit"]:
            from grebestack.program import audit_command

            return audit_command.main
        case ["form"]:
            from grebestack.program import bootstrap_command

            return bootstrap_command.main
    return None


def _parse(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="grebestack", description="Dispatch jobs to workers.")
    parser.add_argument(
        "--config",
        metavar="FILE",
        help="the operator's file (TOML); default: the file that RELAY_CONFIG names",
    )
    parser.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    return parser.parse_args(arguments)


def _load(operator_file: str | None, again: bool = False) -> Config:
    if not operator_file:
        return from_platform(again=again)
    from grebestack.program.config.operator_file import from_file  # not needed on the platform

    return from_file(operator_file)


if __name__ == "__main__":
    sys.exit(main())
