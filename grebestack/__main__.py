"""`python -m grebestack`: one dispatcher. `python -m grebestack console`: the operator's console.

`python -m grebestack say`: one call at the door of a running dispatcher. `python -m grebestack form`: found
a fleet of dispatchers. `python -m grebestack audit`: what the records of acts of many dispatchers come to.
"""

from __future__ import annotations

import argparse
import sys

from grebestack.program import log, reload_signal
from grebestack.program.config import Config, ConfigError, StartError, from_file, from_platform
from grebestack.program.dispatcher import run


def main() -> int:
    """Start the dispatcher, or ask a running one; a bad configuration is one plain line and status 2."""
    if sys.argv[1:2] == ["console"]:
        from grebestack.program import console  # only here: a dispatcher that restarts must be back soon

        return console.main(sys.argv[2:])
    if sys.argv[1:2] == ["say"]:
        from grebestack.program import admin_command

        return admin_command.main(sys.argv[2:])
    if sys.argv[1:2] == ["audit"]:
        from grebestack.program import audit_command

        return audit_command.main(sys.argv[2:])
    if sys.argv[1:2] == ["form"]:
        from grebestack.program import bootstrap_command

        return bootstrap_command.main(sys.argv[2:])
    parser = argparse.ArgumentParser(prog="grebestack", description="A dispatcher of jobs to job runners.")
    parser.add_argument("--config", metavar="FILE", help="an operator's file; else RELAY_CONFIG is read")
    parser.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    options = parser.parse_args()
    log.set_up(options.log_level)

    def reread() -> Config:
        return from_file(options.config) if options.config else from_platform(again=True)

    try:
        config = from_file(options.config) if options.config else from_platform()
    except ConfigError as error:
        print(f"grebestack: {error}", file=sys.stderr)
        return 2
    try:
        run(config, reread, reload_signal.came)
    except (OSError, StartError) as error:
        print(f"grebestack: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
