"""The dispatcher as a member of a fleet: the node, the tasks that hang on leases, what operators ask."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from grebestack.admin.commands import Answer
from grebestack.cluster_io import log_store
from grebestack.cluster_io.log_store import Files, FolderTakenError
from grebestack.cluster_io.node import Node, NodeSettings
from grebestack.cluster_io.runtime import monotonic_ms
from grebestack.cluster_tasks.metrics_export import Ask, Counts, Export, Tallies, word
from grebestack.cluster_tasks.rolling_restart import Pace
from grebestack.consensus.lease import LeaseTerms
from grebestack.consensus.messages import (
    IncarnationStarted,
    LogRecord,
    MembershipConfig,
    ProcessStarted,
    encode,
)
from grebestack.program import rolling_restart, shared_discovery
from grebestack.program.cluster_task import Attendance
from grebestack.program.config import Config, ConfigError, FleetConfig, StartError, TalliesConfig
from grebestack.routing.interfaces import Clock, Listing
from grebestack.transport.client import Pools, Response

if TYPE_CHECKING:
    from grebestack.program.dispatcher import Dispatcher

log = logging.getLogger(__name__)
FOUNDING = "founding"  # the incarnation of those that founded a fleet
LOOK_MS = 1000.0  # a task's shell looks so often; it is also told when its lease comes or goes
EXPORT_S = 2.0  # an export that the collector has not answered by then is given up
# Seams for tests, which no operator's file can reach: the files of the store, the clock, the exports' tasks.
FILES: Callable[[], Files] = Files
CLOCK: Callable[[], float] = monotonic_ms
EXPORTS: tuple[str, ...] = ("tallies",)


class Post:
    """One export on its way. It goes out only under the token that it was gathered under."""

    careful = False

    def __init__(self, owner: Exporter, export: Export) -> None:
        self.owner, self.export = owner, export
        self.over = False

    def begin(self) -> bytes | None:
        """A connection is up: the act. The lease is looked at here, and nowhere before."""
        if self.over or self.owner.node.valid_token(self.export.task) != self.export.token:
            self.end("the lease is over")
            return None
        body = msgspec.json.encode(self.export)
        host, port = self.owner.config.collector
        head = (
            f"POST {self.owner.config.path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"X-Fleet-Task: {self.export.task}\r\nX-Fleet-Token: {self.export.token}\r\n\r\n"
        )
        return head.encode() + body

    def committed(self) -> None:
        """It is out."""

    def answered(self, response: Response) -> None:
        """The collector's word: 409 says that a later token has been there."""
        if response.status == 409:
            self.owner.node.on_fenced(self.export.task)
            self.end("a later holder has acted")
        else:
            self.end("" if response.status < 300 else f"status {response.status}")

    def unsent(self) -> None:
        """It did not go."""
        self.end("the collector can't be reached")

    def broken(self) -> None:
        """It may have gone; the next one says more than this one did."""
        self.end("the collector did not answer")

    def end(self, why: str) -> None:
        """Once."""
        if not self.over:
            self.over = True
            self.owner.ended(self, why)


class Exporter:
    """The shell of an export: looks at its lease, asks the others, sends what they said."""

    def __init__(
        self,
        node: Node,
        task: str,
        config: TalliesConfig,
        pools: Pools,
        clock: Clock,
        counts: Callable[[], Mapping[str, int]],
    ) -> None:
        self.node, self.config, self.pools, self.clock, self.counts = node, config, pools, clock, counts
        s = node.settings
        self.tallies = Tallies(s.cluster, task, s.name, config.every_s * 1000.0)
        self.post: Post | None = None
        self.failed = ""
        self.attendance = Attendance(node, clock, task, word, self._heard, self._look)
        self.attendance.begin()

    def _heard(self, name: str, item: Ask | Counts) -> None:
        """Another member asks for the counts, or tells its own."""
        if isinstance(item, Counts):
            self.tallies.heard(name, item)
            self.attendance.look()
        else:
            counts = Counts(item.number, self.node.replica.process_incarnation, dict(self.counts()))
            self.attendance.say(msgspec.msgpack.encode(counts), name)

    def _look(self, now: float) -> float:
        names, others = self.node.replica.config.names(), frozenset(self.node.connections)
        if self.tallies.tick(
            now, self.node.valid_token(self.tallies.task), self.counts(), others & names, names
        ):
            self.attendance.say(msgspec.msgpack.encode(Ask(self.tallies.number)))
        self._export()
        return min(max(1.0, self.tallies.due_ms(now) - now), LOOK_MS)

    def _export(self) -> None:
        if self.post is not None:
            return
        export = self.tallies.export(self.clock.now_ms())
        if export is not None:
            self.post = post = Post(self, export)
            self.clock.call_at(self.clock.now_ms() + EXPORT_S * 1000.0, partial(self._late, post))
            self.pools.pool(self.config.collector).submit(post)

    def _late(self, post: Post) -> None:
        if not post.over:
            pool = self.pools.pool(self.config.collector)
            if not pool.withdraw(post):
                pool.cut(post)
            post.end("no answer in time")

    def ended(self, post: Post, why: str) -> None:
        """An export is over; a reason is told when it is another than the last one."""
        if self.post is post:
            self.post = None
        if why != self.failed:
            self.failed = why
            kv = {"task": post.export.task, "token": post.export.token, "why": why or "well again"}
            log.info("fleet_export", extra={"kv": kv})
        self.attendance.look()


class Fleet:
    """What a dispatcher has where its file has a [fleet]."""

    def __init__(self, dispatcher: Dispatcher, config: FleetConfig) -> None:
        self.dispatcher, self.config = dispatcher, config
        terms = LeaseTerms(config.term_s * 1000.0, config.drift, config.guard_ms)
        exports = EXPORTS if config.tallies is not None else ()
        tasks = (*exports, rolling_restart.TASK, *((shared_discovery.TASK,) if config.share_servers else ()))
        settings = NodeSettings(
            dispatcher.config.name, config.name, config.listen, config.members, config.folder, tasks, terms
        )
        try:
            self.node = Node(dispatcher.loop, settings, FILES(), CLOCK)
        except FolderTakenError as error:
            raise StartError(str(error)) from error
        self.tasks, self.exports = tasks, exports
        pace = Pace(config.return_s * 1000.0, config.pause_s * 1000.0)
        self.paced = rolling_restart.Paced(dispatcher, self.node, pace)

    async def start(self) -> None:
        """Take members' connections, and begin the tasks."""
        loop = self.dispatcher.loop
        server = await loop.create_server(self.node.accept, *self.config.listen, backlog=1024)
        self.node.listen(server)
        log.info("fleet_listening", extra={"kv": {"address": ":".join(map(str, self.config.listen))}})
        self.paced.attendance.begin()
        if self.config.tallies is not None:
            engine = self.dispatcher.engine
            pools = Pools(loop, 4, 1.0, 30.0)
            for task in self.exports:
                Exporter(self.node, task, self.config.tallies, pools, engine.clock, lambda: engine.counts)

    def share(
        self, listings: Sequence[Listing], make: Callable[[Sequence[Listing]], shared_discovery.Source]
    ) -> shared_discovery.SharedSource:
        """A source that one member reads for all."""
        return shared_discovery.SharedSource(self.node, self.dispatcher.engine.clock, listings, make)

    def leave(self) -> None:
        """A stop has begun: what this member holds is given back at once, so that others need not wait."""
        for task in self.tasks:
            self.node.release(task)

    def stop(self) -> None:
        """End."""
        self.node.stop()

    def drop(self, name: str) -> Answer:
        """Take a member out of the set: the others agree on a set without it, which `shown` tells."""
        member = self.node.replica
        if self.node.connections.get(name) is not None or name == self.node.settings.name:
            return Answer(False, f"{name} is connected: stop it first, or it is admitted again")
        why = member.remove_member(name)
        if not why and not member.acceptor.may_vote:
            why = f"{self.node.settings.name} itself {member.acceptor.describe()}"
        done = f"{name} leaves the set; `fleet` shows the epoch after {member.config.epoch}"
        return Answer(not why, why or done)

    def members(self) -> dict[str, Any]:
        """The set in force and all members, as this one sees them."""
        member, now = self.node.replica, self.node.clock()
        names, configuring = member.config.names(), self.dispatcher.configuring
        return {
            "epoch": member.config.epoch,
            "majority_heard": member.has_quorum(now),
            "configuration": [] if configuring is None else configuring.lines(),
            "members": [
                {"member": name, "state": state, "in_set": name in names}
                for name, state in member.describe(now).items()
            ],
        }

    def tasks_held(self) -> dict[str, Any]:
        """The tasks and their holders: what this member knows, which may be old without a majority."""
        now, rows = self.node.clock(), list[dict[str, Any]]()
        for task, tenure in sorted(self.node.replica.leases.holders.items()):
            token = tenure.valid_token(now)
            row: dict[str, Any] = dict.fromkeys(("task", "holder", "token", "more_s", "seen_s_ago"))
            row["task"] = task
            if token is not None:
                left_s = (tenure.valid_until_ms - now) / 1000.0
                row |= {"holder": self.node.settings.name, "token": token, "more_s": round(left_s, 1)}
            elif tenure.has_observed:
                ago_s = (now - tenure.observed_ms) / 1000.0
                row |= {"holder": tenure.observed.holder or "nobody", "token": tenure.observed.token}
                row |= {"seen_s_ago": round(ago_s, 1)}
            rows.append(row)
        return {"tasks": rows, "restart": self.paced.shown()}

    def shown(self) -> str:
        """The members, for one line."""
        known = self.members()
        said = "; ".join(
            f"{m['member']}: {m['state']}" + ("" if m["in_set"] else " (not in the set)")
            for m in known["members"]
        )
        quorum = "heard" if known["majority_heard"] else "not heard"
        return f"epoch {known['epoch']}, a majority is {quorum}; {said}"

    def leases(self) -> str:
        """The tasks, for one line."""
        known, parts = self.tasks_held(), list[str]()
        for row in known["tasks"]:
            if row["more_s"] is not None:
                parts.append(f"{row['task']}: held here, token {row['token']}, {row['more_s']} s more")
            elif row["holder"] is None:
                parts.append(f"{row['task']}: not known")
            else:
                seen = f"token {row['token']}, seen {row['seen_s_ago']} s ago"
                parts.append(f"{row['task']}: {row['holder']}, {seen}")
        return "; ".join([*parts, known["restart"]])


def form(config: Config) -> str:
    """Write the first record of a member that founds a fleet; where it stands. ConfigError: it can't be."""
    if config.fleet is None:
        raise ConfigError("the file has no [fleet]")
    names = sorted({config.name, *config.fleet.members})
    roll = MembershipConfig(1, tuple((name, FOUNDING) for name in names))
    records: list[LogRecord] = [IncarnationStarted(config.fleet.name, FOUNDING, roll), ProcessStarted(0)]
    try:
        log_store.create_log(config.fleet.folder, [encode(record) for record in records])
    except OSError as error:
        raise ConfigError(str(error)) from error
    fleet = config.fleet
    return f"{config.name} founds the fleet {fleet.name} of {', '.join(names)} in {fleet.folder}"
