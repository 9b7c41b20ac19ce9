"""`python -m grebestack`: one dispatcher, or one of the commands for operators.

`console`: the operator's console. `say`: one call to the admin server of a running dispatcher.
`form`: found a cluster of dispatchers. `audit`: merge the audit logs of many dispatchers.
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

    A configuration that can't be used is one line and code 2, a start that fails one line and code 1.
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


def _command(words: Sequence[str]) -> Callable[[list[str]], int] | None:
    """Return the command that is named, None for the dispatcher, which must start fast and loads none."""
    match words:
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
    parser = argparse.ArgumentParser(prog="grebestack", description="A dispatcher of jobs to job runners.")
    parser.add_argument("--config", metavar="FILE", help="an operator's file; else RELAY_CONFIG is read")
    parser.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    return parser.parse_args(arguments)


def _load(operator_file: str | None, again: bool = False) -> Config:
    if not operator_file:
        return from_platform(again=again)
    from grebestack.program.config.operator_file import from_file  # the platform's path does without it

    return from_file(operator_file)


if __name__ == "__main__":
    sys.exit(main())
