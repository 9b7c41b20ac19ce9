"""The queries: one at a time for each service, to the agent that `Agents` names, read in short turns."""

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

from grebestack.consul.agents import Agents, AgentSettings, Reply, Verdict
from grebestack.consul.instances import Entries
from grebestack.core.api import ListKind
from grebestack.routing.interfaces import Clock, Timer, WorkerListReceiver
from grebestack.routing.worker_table import WorkerEndpoint
from grebestack.transport.client import ConnectionPools, Exchange, Response

log = logging.getLogger(__name__)
SLACK_S = 5.0  # an answer that is later than this after the wait is silence
SLICE = 500  # lines that one turn of the loop reads
HEALTH, CATALOGUE = "health", "catalog"


@dataclass(frozen=True, slots=True)
class Asking:
    """What is asked of Consul; empty words are left out of the query."""

    service: str
    wait_s: float = 30.0
    datacenter: str = ""
    namespace: str = ""
    partition: str = ""
    tags: tuple[str, ...] = ()
    filter: str = ""
    consistency: str = "default"  # or "stale", "consistent"

    def path(self, source: str, index: int) -> str:
        """The query's path; with an index it blocks until that has changed."""
        words = [
            ("dc", self.datacenter),
            ("ns", self.namespace),
            ("partition", self.partition),
            ("filter", self.filter),
        ]
        pairs = [(name, word) for name, word in words if word] + [("tag", tag) for tag in self.tags]
        if index:
            pairs += [("index", str(index)), ("wait", f"{int(self.wait_s * 1000)}ms")]
        query = urlencode(pairs, quote_via=quote)
        if self.consistency != "default":
            query += ("&" if query else "") + self.consistency
        return f"/v1/{source}/service/{quote(self.service, safe='')}{'?' + query if query else ''}"


class Token:
    """An ACL token in a file that is read again when it changes; keys are renewed while the program runs."""

    def __init__(self, path: str) -> None:
        self.path, self.seen, self.text = path, (0, 0), ""

    def __call__(self) -> str:
        """The token; the last one that could be read if the file is gone or being written."""
        if not self.path:
            return ""
        try:
            status = os.stat(self.path)
            if (status.st_mtime_ns, status.st_size) != self.seen:
                with open(self.path, encoding="utf-8") as file:
                    text = file.read().strip()
                if text.isprintable() and text:
                    self.text, self.seen = text, (status.st_mtime_ns, status.st_size)
        except (OSError, UnicodeDecodeError) as error:
            log.warning("consul_token", extra={"kv": {"file": self.path, "error": error}})
        return self.text


class Query(Exchange):
    """One query."""

    def __init__(self, watch: ServiceWatch, agent: int, data: bytes) -> None:
        self.watch, self.agent, self.data = watch, agent, data

    def on_connection_ready(self) -> bytes | None:
        return self.data

    def on_response(self, response: Response) -> None:
        self.watch.answered(self, response)

    def on_not_sent(self) -> None:
        self.watch.failed(self, "no connection")

    def on_response_lost(self) -> None:
        self.watch.failed(self, "the connection broke")


class ServiceWatch:
    """Keeps one query for a service out and tells each list that is believed."""

    def __init__(
        self,
        pools: ConnectionPools,
        clock: Clock,
        settings: AgentSettings,
        asking: Asking,
        token: Token,
        entries: Entries,
        listing: WorkerListReceiver,
    ) -> None:
        self.pools, self.clock, self.asking, self.token = pools, clock, asking, token
        self.agents = Agents(settings, random.Random())
        self.entries, self.listing = entries, listing
        self.source = HEALTH
        self.query: Query | None = None
        self.timer: Timer | None = None
        self.stopped = False
        self.took_ms = 0.0  # reading the list that is being read
        self.known: dict[bytes, WorkerEndpoint | None] = {}  # lines as they were read last, by digest

    def start(self) -> None:
        """Send the first query."""
        self._next()

    def stop(self) -> None:
        """Ask no more."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._cut()

    def _cut(self) -> None:
        query, self.query = self.query, None
        if query is not None:
            pool = self.pools.pool(self.agents.agents[query.agent].address)
            if not pool.withdraw(query):
                pool.abort(query)

    def _next(self) -> None:
        """Ask when the agent that is picked has rested."""
        self.query = None
        if self.stopped:
            return
        now = self.clock.now_ms()
        agent, at = self.agents.pick(now)
        if at > now:
            self.timer = self.clock.call_at(at, self._next)
            return
        pool = self.pools.pool(self.agents.agents[agent].address)
        token = self.token()
        head = f"X-Consul-Token: {token}\r\n" if token else ""
        host, port = pool.address
        text = (
            f"GET {self.asking.path(self.source, self.agents.index)} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n{head}\r\n"
        )
        self.query = query = Query(self, agent, text.encode())
        # Consul adds up to a sixteenth of the wait to it.
        silence_ms = (self.asking.wait_s * 17 / 16 + SLACK_S) * 1000.0
        self.timer = self.clock.call_at(now + silence_ms, partial(self._silent, query))
        pool.submit(query)

    def _silent(self, query: Query) -> None:
        # Guards against an agent that is cut off: its connection stays open and says nothing.
        if query is self.query:
            self._cut()
            self.query = query
            self.failed(query, "silence")

    def failed(self, query: Query, why: str, retry_after_ms: float | None = None) -> None:
        """A query came to nothing: the list that was told stands, the next query follows."""
        if query is not self.query:
            return
        self.agents.failed(self.clock.now_ms(), query.agent, why, retry_after_ms)
        self._failed(query)

    def _failed(self, query: Query) -> None:
        if self.timer is not None:
            self.timer.cancel()
        agent = self.agents.agents[query.agent]
        at = ":".join(map(str, agent.address))
        kv = {"why": agent.why, "agent": at, "service": self.asking.service, "source": self.source}
        log.warning("consul_failed", extra={"kv": kv})
        self.listing.on_silent(f"{at}: {agent.why}")
        self._next()

    def answered(self, query: Query, response: Response) -> None:
        """Take an answer."""
        if query is not self.query or self.stopped:
            return
        if response.status == 403 and self.source == HEALTH:
            log.warning("consul_catalogue", extra={"kv": {"service": self.asking.service}})
            self.source, self.agents.index = CATALOGUE, 0
            self.failed(query, "the health API is forbidden")
            return
        began = self.clock.now_ms()
        try:
            reply = reply_of(response)
            lines = msgspec.json.decode(response.body, type=list[msgspec.Raw]) if reply.status == 200 else []
        except (ValueError, msgspec.MsgspecError) as error:
            # Guards against taking all servers for gone because of one answer that is cut or malformed.
            self.failed(query, f"malformed answer: {error}")
            return
        match self.agents.answered(self.clock.now_ms(), query.agent, reply):
            case Verdict.TAKEN:
                self.took_ms = self.clock.now_ms() - began
                self._read(query, lines, 0, {}, [])
            case Verdict.SAME:
                self._rest()
                self.listing.on_unchanged()
                self._next()
            case _:
                self._failed(query)

    def _rest(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def _read(
        self,
        query: Query,
        lines: Sequence[msgspec.Raw],
        first: int,
        known: dict[bytes, WorkerEndpoint | None],
        servers: list[WorkerEndpoint],
    ) -> None:
        """Read some lines and go on at the next turn: ten thousand would stop the loop for too long."""
        if query is not self.query or self.stopped:
            return
        began = self.clock.now_ms()
        try:
            for raw in lines[first : first + SLICE]:
                digest = blake2b(raw, digest_size=16).digest()
                server = (
                    self.known[digest]
                    if digest in self.known
                    else self.entries.read(raw, self.source == HEALTH)
                )
                known[digest] = server
                if server is not None:
                    servers.append(server)
        except (ValueError, msgspec.MsgspecError) as error:
            self.failed(query, f"malformed answer: {error}")
            return
        if first + SLICE < len(lines):
            self.took_ms += self.clock.now_ms() - began
            rest = partial(self._read, query, lines, first + SLICE, known, servers)
            self.clock.call_at(self.clock.now_ms(), rest)
            return
        self.took_ms += self.clock.now_ms() - began
        self.known = known
        if len(lines) > SLICE:  # telling a long list is a turn's work by itself
            self.clock.call_at(self.clock.now_ms(), partial(self._told, query, servers))
        else:
            self._told(query, servers)

    def _told(self, query: Query, servers: list[WorkerEndpoint]) -> None:
        if query is not self.query or self.stopped:
            return
        began = self.clock.now_ms()
        self._rest()
        self.listing.update(ListKind.FULL, servers)
        now = self.clock.now_ms()
        self.agents.read(now, query.agent, self.took_ms + now - began)
        self._next()


def reply_of(response: Response) -> Reply:
    """The head of an answer; ValueError if it can't be read."""
    headers: Mapping[bytes, bytes] = response.headers
    retry = headers.get(b"retry-after", b"")
    return Reply(
        response.status,
        int(headers.get(b"x-consul-index", b"0")),
        headers.get(b"x-consul-knownleader", b"true") != b"false",
        float(headers.get(b"x-consul-lastcontact", b"0")),
        min(60.0, float(retry)) * 1000.0 if retry.isdigit() else None,
    )


class ConsulSource:
    """All services that one dispatcher takes its servers from."""

    def __init__(self, watches: Sequence[ServiceWatch]) -> None:
        self.watches = watches

    def start(self) -> None:
        """Send the first queries."""
        for watch in self.watches:
            watch.start()

    def retire(self) -> None:
        """Another source follows; the list stays as it is until that one has its first answer."""
        self.stop()

    def stop(self) -> None:
        """Ask no more."""
        for watch in self.watches:
            watch.stop()
