"""Record the decision streams: `python -m tests.golden.make_decisions [NAME ...]`; without names, all.

Run it by hand, and only if a change of decisions is intended: every later version must reproduce the stored
output.
"""

from __future__ import annotations

import sys

from grebestack.simhost import Host
from tests.golden import streams
from tests.golden.scenarios import SCENARIOS
from tests.golden.simulation import Simulation


def record(name: str) -> int:
    """Record one stream; return the number of its events."""
    recording = Simulation(SCENARIOS[name], Host().process_line).run()
    streams.write(streams.input_path(name), recording.inputs)
    streams.write(streams.output_path(name), recording.outputs)
    return recording.events


def main(names: list[str]) -> None:
    """Record the named streams, or all."""
    streams.DIRECTORY.mkdir(exist_ok=True)
    for name in names or SCENARIOS:
        print(f"{name}: {record(name)} events")


if __name__ == "__main__":
    main(sys.argv[1:])
