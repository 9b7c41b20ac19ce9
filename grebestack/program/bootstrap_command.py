"""`python -m grebestack form --config FILE`: found a cluster, once on each of its first members."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from grebestack.program.config.errors import ConfigError
from grebestack.program.config.operator_file import from_file

_EXIT_BAD_CONFIG = 2


def main(arguments: Sequence[str]) -> int:
    """Write this member's first record, and return the exit code; 2 where it can't be written."""
    parser = argparse.ArgumentParser(
        prog="grebestack form",
        description="Found a fleet: said once on each member that begins it. One "
        "that comes later, or has lost its disk, is started without; the others admit it.",
    )
    parser.add_argument("--config", metavar="FILE", required=True, help="the operator's file, with a [fleet]")
    options = parser.parse_args(arguments)
    from grebestack.program.cluster_member import (
        found_cluster,
    )  # slow to import, and needless where parsing fails

    try:
        print(found_cluster(from_file(options.config)))
    except ConfigError as error:
        print(f"grebestack form: {error}")
        return _EXIT_BAD_CONFIG
    return 0
