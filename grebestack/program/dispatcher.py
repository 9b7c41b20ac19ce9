"""Wires the parts of one dispatcher together and runs it until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import os
import signal
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from grebestack.core.api import ListKind
from grebestack.program.config import Config, ConfigError, DrmaaConfig, StartError, check
from grebestack.program.lifecycle import KILL_DEADLINE_MS, LATE_MS, Clients, Life, Stage
from grebestack.program.traffic_log import Tally
from grebestack.protocol.discovery import Watch, terms_of
from grebestack.protocol.lists import ListReader
from grebestack.protocol.platform import PlatformFront
from grebestack.protocol.runners import Reports, Runners
from grebestack.protocol.settings import merged, name_odd_discovery, report_names, unmoved
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Clock, Listing
from grebestack.routing.worker_table import ServerTable
from grebestack.transport.client import Address, Pools
from grebestack.transport.server import SWEEP_S, Acceptor, Leading

if TYPE_CHECKING:
    from grebestack.consul.source import ConsulSource
    from grebestack.jobs.service import JobService
    from grebestack.program.audit_recording import Auditor
    from grebestack.program.cluster_member import Fleet
    from grebestack.program.config_updates import ConfigUpdates
    from grebestack.program.hot_restart import Upgrade
    from grebestack.program.shared_discovery import Source
    from grebestack.protocol.membership_adapter import Roster

log = logging.getLogger(__name__)
SPARE_SOCKETS = 48  # standard streams, the loop's own, listeners, the watch, room to turn callers away
DOOR_SOCKETS = 20  # set aside for the operators' door, where there is one: callers, and some just going
SHARED_SOCKETS = 44  # the same two for each process of an upgrade, as few as do
BACKLOG = 1024  # clients, or call-backs of servers, that come at the same moment
LIST_WAIT_S = 1.0  # ready without a live list after this
LEAVE_S = 0.5  # a stop waits so long for a client to read its last answer, or to end a request
LET_GO_S = 0.6  # so long before late answers are due, an upgrade's old process lets its last jobs go
STATS_S = 5.0
TALLY_S = 1.0


class LoopClock:
    """Monotonic time and the loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now_ms(self) -> float:
        """The time."""
        return time.monotonic() * 1000.0

    def call_at(self, at_ms: float, call: Callable[[], None]) -> asyncio.TimerHandle:
        """Have a call made at a time."""
        return self.loop.call_later(max(0.0, at_ms / 1000.0 - time.monotonic()), call)


class Dispatcher:
    """One dispatcher of the platform."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, reread: Callable[[], Config]) -> None:
        self.config, self.loop, self.reread = config, loop, reread
        self.reader = ListReader(config.options)
        self.table = ServerTable()
        self.engine = Engine(config.settings, config.seed, LoopClock(loop), self.table)
        limits = config.options.get("limits") or {}
        clients, servers = self._room(1)
        self.pools = Pools(
            loop,
            servers,
            config.settings.connect_timeout_ms / 1000.0,
            float(limits.get("connIdleMs") or 10_000.0) / 1000.0 * 0.6,
        )
        reports = Reports(report_names(config.options.get("extra") or {}))
        self.runners = self.engine.servers = Runners(self.engine, self.pools, reports)
        self.front = PlatformFront(self.engine, config.settings, self.runners.called_back, config.platform)
        self.acceptor = Acceptor(self.front, clients)
        self.server: asyncio.Server | None = None
        self.upgrade: Upgrade | None = None
        self.roster: Roster | None = None
        if config.membership is not None:
            from grebestack.program import appliance

            self.roster = appliance.roster(config.membership, self.engine)
        self.fleet: Fleet | None = None
        if config.fleet is not None:
            from grebestack.program import (
                cluster_member,  # only here: the platform's dispatchers share nothing
            )

            self.fleet = cluster_member.Fleet(self, config.fleet)
        self.configuring: ConfigUpdates | None = None
        if config.force is not None:
            from grebestack.program import config_updates  # only here: nothing of it is on the platform

            node = self.fleet.node if self.fleet is not None else None
            self.configuring = config_updates.ConfigUpdates(loop, self, config.force, config.name, node)
            self.reread = self.configuring.reread
        self.auditor: Auditor | None = None
        if config.audit is not None:
            from grebestack.program import audit_recording  # only here: the platform gives no disk for it

            self.auditor = audit_recording.Auditor(self, config.audit)
        self.watch = self._source(config)
        self.jobs: JobService | None = None
        self.life = Life()
        self.ending = self.stopped = False
        self.next_apply: asyncio.TimerHandle | None = None
        self.tally = Tally()
        self.done: asyncio.Future[None] = loop.create_future()

    def _room(self, among: int) -> tuple[int, int]:
        """Connections from clients at each front and to servers, where so many processes share the room."""
        most, spare = self.config.sockets, SPARE_SOCKETS + (DOOR_SOCKETS if self.config.control else 0)
        if among == 1:
            budget = max(64, most - spare)
            clients = budget * 13 // 20
            return clients // (1 if self.config.drmaa is None else 2), budget - clients * 9 // 8
        # Clients' connections pass from one process to the other, so that both have the whole of their room.
        clients = most * 21 // 50
        return clients, max(8, (most - clients * 9 // 8) // among - SHARED_SOCKETS)

    def share(self, among: int) -> None:
        """Keep to a part of the room for connections, with another process of an upgrade or without."""
        clients, servers = self._room(among)
        self.acceptor.resize(clients)
        self.pools.keep_within(servers)

    async def listen(self) -> None:
        """Accept clients, at the address or on the socket that the platform holds."""
        if self.server is not None:
            return
        if self.config.listen_fd is None:
            self.server = await self.loop.create_server(self.acceptor, *self.config.listen, backlog=BACKLOG)
        else:
            try:
                sock = socket.socket(fileno=os.dup(self.config.listen_fd))
            except OSError as error:
                raise StartError(f"RELAY_LISTEN_FD: {self.config.listen_fd} is no open socket") from error
            self.server = await self.loop.create_server(self.acceptor, sock=sock, backlog=BACKLOG)
        address = ":".join(map(str, self.config.listen))
        log.info("listening", extra={"kv": {"name": self.config.name, "address": address}})

    def stop_listening(self) -> None:
        """Close this process's own copy of the listener."""
        if self.server is not None:
            self.server.close()
            self.server = None

    @property
    def clock(self) -> Clock:
        """Monotonic time and the loop's timers."""
        return self.engine.clock

    def _source(self, config: Config, follows: Watch | None = None) -> Source | None:
        source = config.servers.source
        entries = config.servers.entries if source == "list" else ()
        servers = [self.reader.server(raw, strict=True) for raw in entries]
        listings: list[Listing] = [self.table]
        if self.roster is not None and config.membership is not None:
            stale_s = float("inf") if source == "list" else config.membership.stale_s
            at = f" {':'.join(map(str, config.discovery))}" if source == "discovery" else ""
            names = [f"{source}{at}"]
            if config.servers.consul is not None:
                names = [f"consul {service}" for service in config.servers.consul.services]
            listings = [*self.roster.sources(names, stale_s * 1000.0, config.servers.snapshot)]
        if source == "list":
            self.loop.call_soon(listings[0].update, ListKind.FULL, servers)
            return None
        if self.fleet is not None and self.fleet.config.share_servers:
            return self.fleet.share(listings, lambda tapped: self._reading(config, tapped, None))
        return self._reading(config, listings, follows)

    def _reading(
        self, config: Config, listings: Sequence[Listing], follows: Watch | None
    ) -> Watch | ConsulSource:
        if config.servers.consul is not None:
            from grebestack.program import appliance

            pools = Pools(self.loop, 16, 2.0, 60.0, most_body=64 * 1024 * 1024)
            clock = self.engine.clock
            return appliance.consul(config.servers.consul, pools, clock, config.options, listings)
        name_odd_discovery(config.options)
        terms = terms_of(config.settings)
        return Watch(self.loop, config.discovery, self.reader, listings[0], follows, terms)

    async def _start_drmaa(self, config: DrmaaConfig) -> None:
        from grebestack.program import appliance  # only here: the platform's memory has no room for it

        self.jobs, front = appliance.start(
            self.engine, self.runners, self.config, config, self.roster, self.fleet
        )
        acceptor = Acceptor(front, self.acceptor.most, config.most_body)
        self._sweep(acceptor)
        await self.loop.create_server(acceptor, *config.listen, backlog=BACKLOG)
        log.info("drmaa_listening", extra={"kv": {"address": ":".join(map(str, config.listen))}})

    async def _open_door(self, address: Address) -> None:
        from grebestack.admin.server import Door  # only here: where there is no door nothing is loaded for it
        from grebestack.program.admin_operations import OwnOperations

        operations = OwnOperations(self) if self.upgrade is None else self.upgrade
        shared = True if self.upgrade is not None else None  # two processes may have the same address then
        await self.loop.create_server(Door(self.loop, operations), *address, backlog=64, reuse_port=shared)
        log.info("control_listening", extra={"kv": {"address": ":".join(map(str, address))}})

    async def run(self, hung_up: Callable[[], bool] = lambda: False) -> None:
        """Serve until SIGTERM or SIGINT, and all is answered then; `hung_up`: SIGHUP has come already."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if hung_up():  # perhaps before the configuration was read, perhaps after
            self.loop.call_soon(self.reload)
        if self.config.listen_fd is not None:
            await self._begin_upgrade()
        if self.config.known and isinstance(self.watch, Watch) and not self.table.servers:
            self.watch.known(self.config.known)
        self.config = replace(self.config, known={})  # it may be long, and is of a start alone
        if self.watch is not None:
            self.watch.start()
        if self.configuring is not None:  # before anybody is served, so that nobody is under an older version
            if self.fleet is not None:
                await self.fleet.start()
            if self.config.control is not None:
                await self._open_door(self.config.control)
            await self.configuring.start()
        if self.config.drmaa is not None:
            await self._start_drmaa(self.config.drmaa)
        if self.upgrade is None or self.upgrade.pact.elder is None:
            await self.listen()
        if self.fleet is not None and self.configuring is None:
            await self.fleet.start()
        if self.config.control is not None and self.configuring is None:
            await self._open_door(self.config.control)
        self._when_listed(time.monotonic() + LIST_WAIT_S)
        self._stats()
        self._tally()
        self._sweep(self.acceptor)
        gc.collect()
        gc.freeze()
        await self.done
        self.stopped = True
        self.stop_listening()
        if self.configuring is not None:
            self.configuring.stop()
        if self.fleet is not None:
            self.fleet.stop()
        if self.watch is not None:
            self.watch.stop()
        if self.auditor is not None:
            self.auditor.stop()
        if self.jobs is not None:
            self.jobs.record_notes()
            self.jobs.store.close()

    def _when_listed(self, until: float) -> None:
        """Ready once the list is up to date: the one held before the start may name servers that drain."""
        if self.life.stage is Stage.STOPPING:
            return
        if self.table.known or time.monotonic() >= until:
            if isinstance(self.watch, Watch):
                self.watch.use_known()
            if self.upgrade is None:
                self._serve()
            else:
                self.upgrade.started()
        else:
            self.loop.call_later(0.01, self._when_listed, until)

    async def accept_and_serve(self) -> None:
        """Accept clients and say so: at the end of the start, or again once the heir is lost."""
        await self.listen()
        self._serve()

    def _serve(self) -> None:
        self.life.started(self.engine.clock.now_ms())
        self.apply()
        kv: dict[str, object] = {"servers": len(self.table.servers), "live": self.table.known}
        if self.life.ready:
            log.info("ready", extra={"kv": kv})
        else:
            log.info("not_ready", extra={"kv": kv | {"state": self.life.stage.value}})

    async def _begin_upgrade(self) -> None:
        from grebestack.program.hot_restart import Upgrade  # only here: it is no part of other days

        folder = os.environ.get("TMPDIR")
        if not folder:
            log.warning("no_upgrades", extra={"kv": {"why": "TMPDIR is not set"}})
            return
        self.upgrade = Upgrade(self, folder)
        await self.upgrade.begin()

    def _stats(self) -> None:
        kv = dict(self.engine.counts) | {
            "open": len(self.engine.open_by_call_id),
            "clients": len(self.acceptor.connections),
            "server_connections": sum(len(pool.all) for pool in self.pools.pools.values()),
        }
        log.info("stats", extra={"kv": kv})
        self.loop.call_later(STATS_S, self._stats)

    def _tally(self) -> None:
        """One line a second by which the logs of many dispatchers are counted together.

        See benchmarks/fleet_counts.py.
        """
        self.loop.call_later(TALLY_S, self._tally)
        sent, out = self.engine.tally()
        counts = dict(self.engine.counts) | {
            "dials": self.pools.tried,
            "not_up": self.pools.not_up,
            "list_calls": self.watch.calls if isinstance(self.watch, Watch) else 0,
        }
        if kv := self.tally.pairs(counts, sent, out):
            log.info("tally", extra={"kv": kv})

    def _sweep(self, acceptor: Acceptor) -> None:
        acceptor.sweep()
        self.loop.call_later(SWEEP_S, self._sweep, acceptor)

    def reload(self) -> None:
        """Read the configuration again, take its settings and move to the server source that it names.

        Sessions go on as they came. What else has changed waits for a restart, and a file that can't be used
        changes nothing.
        """
        try:
            config = self.reread()
            check(config, self.config)
        except ConfigError as error:
            log.error("reload_failed", extra={"kv": {"error": error}})
            return
        self.adopt(config)

    def waits(self, config: Config) -> list[str]:
        """The fields in which a configuration differs from the one in force and that wait for a restart."""
        fixed = ["name", "listen", "control", "sockets", "drmaa", "platform", "membership", "fleet", "audit"]
        fixed.append("force")
        if self.config.drmaa is not None:
            fixed.append("options")  # the store's records name classes by their place
        waits = [name for name in fixed if getattr(config, name) != getattr(self.config, name)]
        if self.config.drmaa is None and config.options != self.config.options:
            waits += unmoved(self.config.options, config.options)
        return waits

    def adopt(self, config: Config) -> str:
        """Take the settings of a checked configuration and move to the server source that it names.

        Why it can't be, or nothing; nothing has changed where it can't.
        """
        moved = (config.discovery, config.servers) != (self.config.discovery, self.config.servers)
        settings = (self.config.options, self.config.settings, self.config.keys)
        waits = self.waits(config)
        resettled = self.config.drmaa is None and config.options != self.config.options
        if resettled:
            self._resettle(config)
        address = ":".join(map(str, config.discovery))
        kv = {"servers": address, "moved": moved, "waits_for_restart": ",".join(waits)}
        log.info("reloaded", extra={"kv": kv})
        if not moved or self.stopped:
            return ""
        former = self.watch
        config = replace(self.config, discovery=config.discovery, servers=config.servers)
        try:
            watch = self._source(config, former if isinstance(former, Watch) else None)
        except (ValueError, KeyError, TypeError) as error:  # guards the old source against a malformed list
            log.error("reload_failed", extra={"kv": {"error": repr(error)}})
            if resettled:
                options, former_settings, keys = settings
                self._resettle(replace(self.config, options=options, settings=former_settings, keys=keys))
            return f"servers: {error!r}"
        if former is not None:
            former.retire()
        self.config, self.watch = config, watch
        if self.auditor is not None:
            self.auditor.moved()
        if self.watch is not None:
            self.watch.start()
        return ""

    def _resettle(self, config: Config) -> None:
        former = self.engine.settings
        settings = merged(former, config.settings)
        self.config = replace(self.config, options=config.options, settings=settings, keys=config.keys)
        if self.auditor is not None:  # before: what is decided from now on is decided under them
            self.auditor.settled(config.options)
        self.engine.resettle(settings)
        self.front.resettle(settings)
        self.pools.connect_timeout_s = settings.connect_timeout_ms / 1000.0
        names = [c.name for i, c in enumerate(settings.classes) if i not in settings.retired]
        kv = {"classes": ",".join(names), "attempts": settings.max_attempts}
        log.info("settings_changed", extra={"kv": kv})

    def apply(self) -> None:
        """Have readiness and the clients' connections follow the state, now and when it changes with time."""
        now = self.engine.clock.now_ms()
        longest_ms = max(c.deadline_ms for c in self.config.settings.classes)
        clients, at_ms = self.life.clients(now, longest_ms)
        stopping = self.life.stage is Stage.STOPPING
        self.front.ready, self.front.leaving = self.life.ready, stopping
        self.front.closing = clients is Clients.AWAY
        led = Leading.NONE if clients is Clients.KEPT else Leading.ALL if stopping else Leading.CLIENTS
        self.acceptor.lead(led)
        if self.next_apply is not None:
            self.next_apply.cancel()
            self.next_apply = None
        if at_ms < float("inf"):
            self.next_apply = self.loop.call_later(max(0.001, (at_ms - now) / 1000.0), self.apply)
        elif stopping and not self.ending:  # a call at the door comes here too: the end is awaited once
            self.ending = True
            self._end()

    def stop(self) -> None:
        """Not ready any more; what still comes is served, and the end follows when all is answered."""
        now = self.engine.clock.now_ms()
        if not self.life.stop(now):
            return
        if self.jobs is not None:
            self.jobs.stop()
        if self.upgrade is not None:
            self.upgrade.stop()
        if self.fleet is not None:
            self.fleet.leave()
        log.info("stopping", extra={"kv": {"open": len(self.engine.open_by_call_id)}})
        due_ms = self.life.due_ms(max(c.deadline_ms for c in self.config.settings.classes))
        self.loop.call_later(LATE_MS / 1000.0, self.front.end_by, due_ms)
        if self.upgrade is not None:
            self.loop.call_later(max(0.0, (due_ms - now) / 1000.0 - LET_GO_S), self.upgrade.let_go)
        self.apply()

    def _end(self) -> None:
        # A client that has its last answer reads it, and a request that has begun is answered. Clients of a
        # process that has handed over owe more: theirs are the heir's as soon as they are idle.
        longest_ms = max(c.deadline_ms for c in self.config.settings.classes)
        handing = self.life.retired
        due_ms = self.life.due_ms(KILL_DEADLINE_MS if handing else longest_ms)
        engaged = self.acceptor.engaged_now(math.inf if handing else LEAVE_S)
        if self.engine.open_by_call_id or (engaged and self.engine.clock.now_ms() < due_ms):
            self.loop.call_later(0.02, self._end)
        elif not self.done.done():
            log.info("stopped", extra={"kv": dict(self.engine.counts)})
            self.loop.call_later(0.05, self.done.set_result, None)  # the last answers leave


def run(config: Config, reread: Callable[[], Config], hung_up: Callable[[], bool] = lambda: False) -> None:
    """Run one dispatcher on uvloop; `reread` reads its configuration again."""

    async def main() -> None:
        await Dispatcher(config, asyncio.get_running_loop(), reread).run(hung_up)

    uvloop.run(main())
