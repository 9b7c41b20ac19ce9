"""How long a change of a register takes among members on one machine: two phases, each written to disk.

    .venv/bin/python benchmarks/vote_latency.py [--members N] [--changes N] [--quick]

All members run in one process, with real connections and logs. Granting or renewing a lease takes one such
change, and so does a new configuration version. Prints one line of JSON, in milliseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

from harness import percentile

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
from grebestack.cluster_io.log_store import create_log  # noqa: E402
from grebestack.cluster_io.node import Node, NodeSettings  # noqa: E402
from grebestack.consensus.messages import IncarnationStarted, MembershipConfig, RestartPlan, encode  # noqa: E402
from grebestack.consensus.register import Value  # noqa: E402
from tests.ports import reserved_port  # noqa: E402

CLUSTER, INCARNATION = "latency", "founding"
READY_TIMEOUT_S = 20.0
WARM_UP_CHANGES = 20


async def start(folder: Path, count: int) -> list[Node]:
    """Create a cluster and wait until all its members vote."""
    addresses = {f"m{n}": ("127.0.0.1", reserved_port()) for n in range(count)}
    config = MembershipConfig(1, tuple((name, INCARNATION) for name in addresses))
    loop, nodes = asyncio.get_running_loop(), []
    for name, address in addresses.items():
        node_folder = str(folder / name)
        create_log(node_folder, [encode(IncarnationStarted(CLUSTER, INCARNATION, config))])
        others = {other: peer_address for other, peer_address in addresses.items() if other != name}
        node = Node(loop, NodeSettings(name, CLUSTER, address, others, node_folder))
        node.listen(await loop.create_server(node.accept, *address))
        nodes.append(node)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(node.replica.acceptor.may_vote for node in nodes):
            await asyncio.sleep(0.01)
    return nodes


async def change(node: Node, number: int) -> float:
    """Change a register once; return how many milliseconds that took."""
    chosen: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    plan = RestartPlan(number, "m0", ())

    def on_ended(is_chosen: bool, value: Value) -> None:
        chosen.set_result(is_chosen)

    start_s = time.perf_counter()
    node.propose("latency", lambda value: plan, on_ended)
    if not await chosen:
        raise RuntimeError("a proposal was not chosen")
    return 1000.0 * (time.perf_counter() - start_s)


async def measure(count: int, changes: int) -> dict[str, float]:
    """Return the figures of a cluster of this many members."""
    with tempfile.TemporaryDirectory() as folder:
        nodes = await start(Path(folder), count)
        try:
            taken_ms = [await change(nodes[0], number) for number in range(WARM_UP_CHANGES + changes)]
        finally:
            for node in nodes:
                node.stop()
    taken_ms = taken_ms[WARM_UP_CHANGES:]
    return {
        "members": count,
        "p50_ms": round(percentile(taken_ms, 0.5), 3),
        "p99_ms": round(percentile(taken_ms, 0.99), 3),
    }


def main() -> int:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    print(json.dumps(asyncio.run(measure(args.members, 200 if args.quick else args.changes))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
