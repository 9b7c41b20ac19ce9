"""`python -m grebestack form --config FILE`: found a fleet, once, on each of the members that begin it."""

from __future__ import annotations

import argparse

from grebestack.program.config.errors import ConfigError
from grebestack.program.config.operator_file import from_file


def main(arguments: list[str]) -> int:
    """Write the first record of this member; status 2 where it can't be."""
    parser = argparse.ArgumentParser(
        prog="grebestack form",
        description="Found a fleet: said once on each member that begins it. One "
        "that comes later, or has lost its disk, is started without; the others admit it.",
    )
    parser.add_argument("--config", metavar="FILE", required=True, help="the operator's file, with a [fleet]")
    options = parser.parse_args(arguments)
    from grebestack.program.cluster_member import form

    try:
        print(form(from_file(options.config)))
    except ConfigError as error:
        print(f"grebestack form: {error}")
        return 2
    return 0
