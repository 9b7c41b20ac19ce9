"""`python -m grebestack form --config FILE`: initializes a cluster, once on each of its first members."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from grebestack.program.config.errors import ConfigError
from grebestack.program.config.operator_file import from_file

_EXIT_BAD_CONFIG = 2


def main(arguments: Sequence[str]) -> int:
    """Write this member's first log records and return the exit code; 2 if they can't be written."""
    parser = argparse.ArgumentParser(
        prog="grebestack form",
        description="Initialize a cluster; run once on each founding member. A member that joins later, or "
        "whose disk was lost, is started without this command and admitted by the others.",
    )
    parser.add_argument(
        "--config", metavar="FILE", required=True, help="the operator's file, with a [fleet] section"
    )
    options = parser.parse_args(arguments)
    from grebestack.program.cluster_member import found_cluster  # slow to import, so only after parsing

    try:
        print(found_cluster(from_file(options.config)))
    except ConfigError as error:
        print(f"grebestack form: {error}")
        return _EXIT_BAD_CONFIG
    return 0
