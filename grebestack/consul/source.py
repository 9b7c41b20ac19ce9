"""Watches services by blocking queries: one query at a time for each service, to the agent selected.

Long lists are read in several turns of the event loop.
"""

from __future__ import annotations

import logging
import os
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from urllib.parse import quote, urlencode

import msgspec

from grebestack.consul.agents import AgentSelector, AgentSettings, ReplyHeaders, ReplyResult
from grebestack.consul.instances import InstanceReader
from grebestack.core.api import ListKind
from grebestack.routing.interfaces import Clock, Timer, WorkerListReceiver
from grebestack.routing.worker_table import WorkerEndpoint
from grebestack.transport.client import Exchange, Response
from grebestack.transport.connection_pool import ConnectionPools

log = logging.getLogger(__name__)
TIMEOUT_MARGIN_S = 5.0  # a query times out this long after the end of its wait
ENTRIES_PER_TURN = 500  # entries of a list that one turn of the loop reads
HEALTH, CATALOGUE = "health", "catalog"


@dataclass(frozen=True, slots=True)
class ServiceQuery:
    """The parameters of the queries for one service; empty ones are left out."""

    service: str
    wait_s: float = 30.0
    datacenter: str = ""
    namespace: str = ""
    partition: str = ""
    tags: tuple[str, ...] = ()
    filter: str = ""
    consistency: str = "default"  # or "stale", "consistent"

    def path(self, api: str, index: int) -> str:
        """Return the path at an API; with an index other than 0 the query blocks until that changes."""
        values = [
            ("dc", self.datacenter),
            ("ns", self.namespace),
            ("partition", self.partition),
            ("filter", self.filter),
        ]
        pairs = [(name, value) for name, value in values if value] + [("tag", tag) for tag in self.tags]
        if index:
            pairs += [("index", str(index)), ("wait", f"{int(self.wait_s * 1000)}ms")]
        query = urlencode(pairs, quote_via=quote)
        if self.consistency != "default":
            query += ("&" if query else "") + self.consistency
        return f"/v1/{api}/service/{quote(self.service, safe='')}{'?' + query if query else ''}"


class TokenFile:
    """A file with an ACL token, read again when it changes, so that a new token needs no restart."""

    def __init__(self, path: str) -> None:
        self.path, self.last_stat, self.token = path, (0, 0), ""

    def __call__(self) -> str:
        """Return the token; the last one read if the file is missing or being written."""
        if not self.path:
            return ""
        try:
            status = os.stat(self.path)
            if (status.st_mtime_ns, status.st_size) != self.last_stat:
                with open(self.path, encoding="utf-8") as file:
                    text = file.read().strip()
                if text.isprintable() and text:
                    self.token, self.last_stat = text, (status.st_mtime_ns, status.st_size)
        except (OSError, UnicodeDecodeError) as error:
            log.warning("consul_token", extra={"kv": {"file": self.path, "error": error}})
        return self.token


class QueryExchange(Exchange):
    """One query and its response."""

    def __init__(self, watch: ServiceWatch, agent: int, data: bytes) -> None:
        self.watch, self.agent, self.data = watch, agent, data

    def on_connection_ready(self) -> bytes | None:
        return self.data

    def on_response(self, response: Response) -> None:
        self.watch.on_response(self, response)

    def on_not_sent(self) -> None:
        self.watch.on_failure(self, "no connection")

    def on_response_lost(self) -> None:
        self.watch.on_failure(self, "the connection broke")


class ServiceWatch:
    """Keeps one query for a service open and passes each list that is used to a receiver."""

    def __init__(
        self,
        pools: ConnectionPools,
        clock: Clock,
        settings: AgentSettings,
        query: ServiceQuery,
        token: TokenFile,
        reader: InstanceReader,
        receiver: WorkerListReceiver,
    ) -> None:
        self.pools, self.clock, self.query, self.token = pools, clock, query, token
        self.selector = AgentSelector(settings, random.Random())
        self.reader, self.receiver = reader, receiver
        self.api = HEALTH
        self.exchange: QueryExchange | None = None
        self.timer: Timer | None = None
        self.stopped = False
        self.read_time_ms = 0.0  # spent on the list that is being read
        self.workers_by_digest: dict[bytes, WorkerEndpoint | None] = {}  # of the last list, by entry

    def start(self) -> None:
        """Send the first query."""
        self._send_query()

    def stop(self) -> None:
        """Send no more queries."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._abort_exchange()

    def _abort_exchange(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            pool = self.pools.pool(self.selector.agents[exchange.agent].address)
            if not pool.withdraw(exchange):
                pool.abort(exchange)

    def _send_query(self) -> None:
        """Send the next query, at once or when the selected agent's backoff ends."""
        self.exchange = None
        if self.stopped:
            return
        now = self.clock.now_ms()
        agent, at = self.selector.select(now)
        if at > now:
            self.timer = self.clock.call_at(at, self._send_query)
            return
        pool = self.pools.pool(self.selector.agents[agent].address)
        token = self.token()
        token_header = f"X-Consul-Token: {token}\r\n" if token else ""
        host, port = pool.address
        text = (
            f"GET {self.query.path(self.api, self.selector.wait_index)} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n{token_header}\r\n"
        )
        self.exchange = exchange = QueryExchange(self, agent, text.encode())
        # Consul adds up to a sixteenth of the wait to it.
        timeout_ms = (self.query.wait_s * 17 / 16 + TIMEOUT_MARGIN_S) * 1000.0
        self.timer = self.clock.call_at(now + timeout_ms, partial(self._on_timeout, exchange))
        pool.submit(exchange)

    def _on_timeout(self, exchange: QueryExchange) -> None:
        # An agent behind a network partition leaves its connection open and never responds.
        if exchange is self.exchange:
            self._abort_exchange()
            self.exchange = exchange
            self.on_failure(exchange, "silence")

    def on_failure(self, exchange: QueryExchange, reason: str, retry_after_ms: float | None = None) -> None:
        """A query has failed: the last list stays in use, and the next query follows."""
        if exchange is not self.exchange:
            return
        self.selector.on_failure(self.clock.now_ms(), exchange.agent, reason, retry_after_ms)
        self._report_failure(exchange)

    def _report_failure(self, exchange: QueryExchange) -> None:
        if self.timer is not None:
            self.timer.cancel()
        agent = self.selector.agents[exchange.agent]
        address = ":".join(map(str, agent.address))
        kv = {
            "why": agent.failure_reason,
            "agent": address,
            "service": self.query.service,
            "source": self.api,
        }
        log.warning("consul_failed", extra={"kv": kv})
        self.receiver.on_silent(f"{address}: {agent.failure_reason}")
        self._send_query()

    def on_response(self, exchange: QueryExchange, response: Response) -> None:
        """Process the response to the query that is open."""
        if exchange is not self.exchange or self.stopped:
            return
        if response.status == 403 and self.api == HEALTH:
            log.warning("consul_catalogue", extra={"kv": {"service": self.query.service}})
            self.api, self.selector.wait_index = CATALOGUE, 0
            self.on_failure(exchange, "the health API is forbidden")
            return
        began = self.clock.now_ms()
        try:
            reply = parse_reply_headers(response)
            entries = (
                msgspec.json.decode(response.body, type=list[msgspec.Raw]) if reply.status == 200 else []
            )
        except (ValueError, msgspec.MsgspecError) as error:
            # A truncated or malformed response must not pass for a list without workers.
            self.on_failure(exchange, f"malformed response: {error}")
            return
        match self.selector.on_reply(self.clock.now_ms(), exchange.agent, reply):
            case ReplyResult.NEW_LIST:
                self.read_time_ms = self.clock.now_ms() - began
                self._read_entries(exchange, entries, 0, {}, [])
            case ReplyResult.UNCHANGED:
                self._cancel_timer()
                self.receiver.on_unchanged()
                self._send_query()
            case _:
                self._report_failure(exchange)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def _read_entries(
        self,
        exchange: QueryExchange,
        entries: Sequence[msgspec.Raw],
        first: int,
        workers_by_digest: dict[bytes, WorkerEndpoint | None],
        workers: list[WorkerEndpoint],
    ) -> None:
        """Read some entries and continue in the next turn: ten thousand would block the loop for too long."""
        if exchange is not self.exchange or self.stopped:
            return
        began = self.clock.now_ms()
        try:
            for raw in entries[first : first + ENTRIES_PER_TURN]:
                digest = blake2b(raw, digest_size=16).digest()
                worker = (
                    self.workers_by_digest[digest]
                    if digest in self.workers_by_digest
                    else self.reader.read(raw, self.api == HEALTH)
                )
                workers_by_digest[digest] = worker
                if worker is not None:
                    workers.append(worker)
        except (ValueError, msgspec.MsgspecError) as error:
            self.on_failure(exchange, f"malformed response: {error}")
            return
        if first + ENTRIES_PER_TURN < len(entries):
            self.read_time_ms += self.clock.now_ms() - began
            rest = partial(
                self._read_entries, exchange, entries, first + ENTRIES_PER_TURN, workers_by_digest, workers
            )
            self.clock.call_at(self.clock.now_ms(), rest)
            return
        self.read_time_ms += self.clock.now_ms() - began
        self.workers_by_digest = workers_by_digest
        if len(entries) > ENTRIES_PER_TURN:  # updating the receiver takes a turn of its own
            self.clock.call_at(self.clock.now_ms(), partial(self._update_receiver, exchange, workers))
        else:
            self._update_receiver(exchange, workers)

    def _update_receiver(self, exchange: QueryExchange, workers: list[WorkerEndpoint]) -> None:
        if exchange is not self.exchange or self.stopped:
            return
        began = self.clock.now_ms()
        self._cancel_timer()
        self.receiver.update(ListKind.FULL, workers)
        now = self.clock.now_ms()
        self.selector.on_list_read(now, exchange.agent, self.read_time_ms + now - began)
        self._send_query()


def parse_reply_headers(response: Response) -> ReplyHeaders:
    """Return a response's status and Consul headers. ValueError: a header is malformed."""
    headers: Mapping[bytes, bytes] = response.headers
    retry_after = headers.get(b"retry-after", b"")
    return ReplyHeaders(
        response.status,
        int(headers.get(b"x-consul-index", b"0")),
        headers.get(b"x-consul-knownleader", b"true") != b"false",
        float(headers.get(b"x-consul-lastcontact", b"0")),
        min(60.0, float(retry_after)) * 1000.0 if retry_after.isdigit() else None,
    )


class ConsulSource:
    """All services from which one dispatcher takes its workers."""

    def __init__(self, watches: Sequence[ServiceWatch]) -> None:
        self.watches = watches

    def start(self) -> None:
        """Send the first queries."""
        for watch in self.watches:
            watch.start()

    def retire(self) -> None:
        """Stop because another source follows; the list stays in use until that one's first response."""
        self.stop()

    def stop(self) -> None:
        """Send no more queries."""
        for watch in self.watches:
            watch.stop()
