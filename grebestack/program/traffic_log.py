"""The log lines that appear at intervals: `event=stats` and `event=tally`."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from grebestack.routing.engine import Engine
    from grebestack.transport.client import ConnectionPools
    from grebestack.transport.server import Acceptor

log = logging.getLogger(__name__)
STATISTICS_INTERVAL_S = 5.0
TRAFFIC_INTERVAL_S = 1.0


class TrafficCounts:
    """Makes the pairs of one `event=tally` line from counts since the start."""

    def __init__(self) -> None:
        """Count from the start."""
        self.logged: Counter[str] = Counter()

    def pairs(
        self, counts: Mapping[str, int], sent: Mapping[str, int], in_flight: Mapping[str, int]
    ) -> dict[str, object]:
        """Return what has changed since the last line.

        Parameters
        ----------
        counts : since the start, by name.
        sent : attempts since the last line, by worker.
        in_flight : attempts now, by worker.
        """
        kv: dict[str, object] = {
            name: value - self.logged[name] for name, value in counts.items() if value != self.logged[name]
        }
        self.logged = Counter(counts)
        for name, by_worker in (("sent", sent), ("out", in_flight)):
            if by_worker:
                kv[name] = ",".join(f"{worker}:{number}" for worker, number in by_worker.items())
        return kv


class TrafficLog:
    """Logs what one dispatcher does, as totals and as changes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        pools: ConnectionPools,
        acceptor: Acceptor,
        list_calls: Callable[[], int],
    ) -> None:
        """Parameters: `list_calls` returns how often discovery was called since the start."""
        self.loop, self.engine, self.pools, self.acceptor = loop, engine, pools, acceptor
        self.list_calls = list_calls
        self.traffic_counts = TrafficCounts()

    def start(self) -> None:
        """Log now and from now on."""
        self._log_statistics()
        self._log_traffic()

    def _log_statistics(self) -> None:
        kv = dict(self.engine.counts) | {
            "open": len(self.engine.open_by_call_id),
            "clients": len(self.acceptor.connections),
            "server_connections": sum(len(pool.connections) for pool in self.pools.pools.values()),
        }
        log.info("stats", extra={"kv": kv})
        self.loop.call_later(STATISTICS_INTERVAL_S, self._log_statistics)

    def _log_traffic(self) -> None:
        """Write the line by which the logs of many dispatchers are summed; see benchmarks/fleet_counts.py."""
        self.loop.call_later(TRAFFIC_INTERVAL_S, self._log_traffic)
        sent, in_flight = self.engine.take_traffic_counts()
        counts = dict(self.engine.counts) | {
            "dials": self.pools.connects_started,
            "not_up": self.pools.connects_failed,
            "list_calls": self.list_calls(),
        }
        if kv := self.traffic_counts.pairs(counts, sent, in_flight):
            log.info("tally", extra={"kv": kv})
