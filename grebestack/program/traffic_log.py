"""The periodic log lines: `event=stats` (totals) and `event=tally` (changes)."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from grebestack.routing.engine import Engine
    from grebestack.transport.acceptor import Acceptor
    from grebestack.transport.connection_pool import ConnectionPools

log = logging.getLogger(__name__)
STATISTICS_INTERVAL_S = 5.0
TRAFFIC_INTERVAL_S = 1.0


class TrafficCounts:
    """Derives the pairs of each `event=tally` line from counts since the start."""

    def __init__(self) -> None:
        """Begin with no counts logged."""
        self.logged: Counter[str] = Counter()

    def pairs(
        self, counts: Mapping[str, int], sent: Mapping[str, int], in_flight: Mapping[str, int]
    ) -> dict[str, object]:
        """Return the pairs that have changed since the last line.

        Parameters
        ----------
        counts : since the start, by name.
        sent : attempts sent since the last line, by worker.
        in_flight : attempts in flight now, by worker.
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
    """Logs the counters of one dispatcher, as totals and as changes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        pools: ConnectionPools,
        acceptor: Acceptor,
        count_list_requests: Callable[[], int],
    ) -> None:
        """Create the log; `count_list_requests` returns the number of discovery requests since the start."""
        self.loop, self.engine, self.pools, self.acceptor = loop, engine, pools, acceptor
        self.count_list_requests = count_list_requests
        self.traffic_counts = TrafficCounts()

    def start(self) -> None:
        """Log now and periodically."""
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
        """Log the changes, which benchmarks/fleet_counts.py sums over many dispatchers."""
        self.loop.call_later(TRAFFIC_INTERVAL_S, self._log_traffic)
        sent, in_flight = self.engine.take_traffic_counts()
        counts = dict(self.engine.counts) | {
            "dials": self.pools.connects_started,
            "not_up": self.pools.connects_failed,
            "list_calls": self.count_list_requests(),
        }
        counts |= {f"ended_{reason.value}": count for reason, count in self.acceptor.ends.items()}
        if kv := self.traffic_counts.pairs(counts, sent, in_flight):
            log.info("tally", extra={"kv": kv})
