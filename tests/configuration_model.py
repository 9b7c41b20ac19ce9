"""Voters, relays and followers in simulated time with faults, and a checker of the versions in force.

    python -m tests.configuration_model [--seed N] [--plays N] [--fault NAME]

Voters, relays, followers and the register run the program's own code. Connections deliver in order. A message
sent over a cut path arrives after the path has healed, or never if the connection has ended meanwhile.
"""

from __future__ import annotations

import argparse
import heapq
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from grebestack.config_distribution import actions as act
from grebestack.config_distribution import timeouts
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import ConfigUpdate, decode, encode
from grebestack.config_distribution.register_access import register_change
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.relay_selection import region_of
from grebestack.config_distribution.versions import Version, digest_of
from grebestack.config_distribution.voter import ConfigurationVoter
from grebestack.config_distribution.voter_state import VoterView
from grebestack.consensus.actions import LogMessage
from grebestack.consensus.register import AcceptGranted, AcceptorState, Ballot, Phase, Round, accept, prepare

CLUSTER = "f"
VOTERS = {"v1": "r1/z1", "v2": "r1/z2", "v3": "r2/z3"}
RELAYS = {"p1": "r2/z4"}
FOLLOWERS = {"f1": "r1/z1", "f2": "r1/z1", "f3": "r1/z2", "f4": "r1/z2", "f5": "r2/z3", "f6": "r2/z4"}
PLACES = VOTERS | RELAYS | FOLLOWERS
# Voters end a silent connection within this time (peers.PeerTimes, plus the interval of a tick).
DISCONNECT_DETECTION_MS = 2100.0
# They have reconnected within this time (node.MAX_DIAL_BACKOFF_S, peer_connection.Dialler).
MAX_RECONNECT_MS = 1600.0


@dataclass(frozen=True)
class Activation:
    """A process has put a version in force."""

    at_ms: float
    name: str
    number: int
    digest: str


@dataclass(frozen=True)
class Decision:
    """A majority of voters has accepted a version."""

    at_ms: float
    version: Version


@dataclass(frozen=True)
class ExpectedFollower:
    """A follower that must get every decided version within the bound, except while unreachable."""

    name: str
    unreachable: tuple[tuple[float, float], ...] = ()  # periods, or when it did not run


def find_violations(
    decisions: Iterable[Decision],
    activations: Iterable[Activation],
    expected: Iterable[ExpectedFollower],
    until_ms: float,
    bound_ms: float = timeouts.PROPAGATION_BOUND_MS,
) -> list[str]:
    """List the violations in a history: lost agreement, regressions, undecided or late versions."""
    violations: list[str] = []
    decided: dict[int, Decision] = {}
    for one in sorted(decisions, key=lambda c: c.at_ms):
        first = decided.setdefault(one.version.number, one)
        if first.version != one.version:
            violations.append(f"two versions are decided as number {one.version.number}")
    highest: dict[str, int] = {}
    by_name: dict[str, list[Activation]] = {}
    for item in sorted(activations, key=lambda a: a.at_ms):
        decision = decided.get(item.number)
        if decision is None or decision.at_ms > item.at_ms:
            violations.append(
                f"{item.name} puts {item.number} in force at {item.at_ms:.0f}, which is not decided"
            )
        elif decision.version.digest != item.digest:
            violations.append(f"{item.name} puts other contents in force than those of {item.number}")
        if item.number < highest.get(item.name, 0):
            violations.append(
                f"{item.name} goes back from {highest[item.name]} to {item.number} at {item.at_ms:.0f}"
            )
        highest[item.name] = max(highest.get(item.name, 0), item.number)
        by_name.setdefault(item.name, []).append(item)
    for target in expected:
        for number, one in decided.items():
            allowed = one.at_ms + bound_ms
            for since, until in sorted(target.unreachable):
                if since < allowed:
                    allowed = max(allowed, until + bound_ms)
            if allowed > until_ms:
                continue
            activated_ms = min(
                (a.at_ms for a in by_name.get(target.name, []) if a.number >= number), default=None
            )
            if activated_ms is None or activated_ms > allowed:
                text = "never" if activated_ms is None else f"at {activated_ms:.0f}"
                late = f"decided at {one.at_ms:.0f}, allowed {allowed:.0f}"
                violations.append(f"{target.name} has {number} {text}, {late}")
    return violations


@dataclass
class Connection:
    """A connection between a follower and a relay."""

    number: int
    client: str
    link: int
    server: str
    incarnations: tuple[int, int]
    open: bool = True
    last_arrival_ms: dict[str, float] = field(default_factory=dict)  # by sender
    waiting: dict[str, list[Callable[[], None]]] = field(default_factory=dict)  # blocked by a cut, by sender


@dataclass
class PendingAccess:
    """An access to the register in progress."""

    round: Round
    change: Any
    incarnation: int


class Process:
    """One process: its voter, relay and follower, and its disk."""

    def __init__(self, name: str) -> None:
        self.name, self.place, self.incarnation = name, PLACES[name], 0
        self.up, self.stopped = False, False
        self.disk: dict[int, tuple[Version, bytes]] = {}
        self.undecided: dict[str, bytes] = {}
        self.acceptor = AcceptorState()  # of a voter, on its disk
        self.ballot = 0
        self.access: PendingAccess | None = None
        self.voter: ConfigurationVoter | None = None
        self.relay: Relay | None = None
        self.follower: Follower | None = None
        self.links: dict[int, Connection] = {}  # to its relay, by link number
        self.dialled: dict[int, Connection | None] = {}  # from its follower; None while connecting
        self.timer = 0
        self.deferred: list[Callable[[], None]] = []  # calls that arrived while it was stopped


class Simulation:
    """All processes, the network and the clock."""

    def __init__(
        self,
        seed: int,
        follower: type[Follower] = Follower,
        relay: type[Relay] = Relay,
        voter: type[ConfigurationVoter] = ConfigurationVoter,
        followers: Mapping[str, str] = FOLLOWERS,
    ) -> None:
        self.random, self.now, self.count = Random(seed), 0.0, 0
        self.kinds = follower, relay, voter
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.processes = {name: Process(name) for name in [*VOTERS, *RELAYS, *followers]}
        self.cut: set[tuple[str, str]] = set()  # directed paths that are cut
        self.disconnected_pairs: set[frozenset[str]] = set()
        self.last_arrival_ms: dict[tuple[str, str], float] = {}  # by sender and receiver
        self.decisions: list[Decision] = []
        self.activations: list[Activation] = []
        self.outcomes: dict[int, act.ProposalResult] = {}
        self.log_messages: list[tuple[float, str, LogMessage]] = []
        self.updates_to_drop: dict[str, int] = {}  # number of the next pushes to drop, by follower
        self.connects: list[tuple[float, str, str]] = []
        self.connections = 0
        self.trace: list[str] | None = None

    # Time.

    def at(self, after_ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after_ms, self.count, call))

    def run(self, until_ms: float) -> None:
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until_ms

    def delay_ms(self, a: str, b: str) -> float:
        far = region_of(PLACES[a]) != region_of(PLACES[b])
        return self.random.uniform(20.0, 60.0) if far else self.random.uniform(0.2, 3.0)

    # Processes.

    def start(self, name: str) -> None:
        p = self.processes[name]
        p.up, p.stopped, p.incarnation, p.deferred = True, False, p.incarnation + 1, []
        p.links, p.dialled, p.access = {}, {}, None
        follower, relay, voter = self.kinds
        random = Random(self.random.getrandbits(32))
        if name in VOTERS:
            p.voter = voter(name, CLUSTER, p.incarnation, random, self.now)
            p.relay = relay(
                name, CLUSTER, p.incarnation, random, acknowledged_number=p.voter.acknowledged_number
            )
            self.perform(p, p.voter.start(self.now, list(p.disk.values()), dict(p.undecided)))
        else:
            relays = name in RELAYS
            places = VOTERS if relays else VOTERS | RELAYS
            p.follower = follower(name, CLUSTER, p.place, p.incarnation, places, random, relays)
            p.relay = relay(name, CLUSTER, p.incarnation, random) if relays else None
            self.perform(p, p.follower.start(self.now, list(p.disk.values())))
        self.tick(name, p.incarnation)

    def kill(self, name: str, quiet: bool = False) -> None:
        """End the process; with `quiet` its machine is lost too, so that peers get no connection end."""
        p = self.processes[name]
        p.up = False
        for connection in [*p.links.values(), *(c for c in p.dialled.values() if c is not None)]:
            other = connection.client if connection.server == name else connection.server
            if quiet:
                continue
            self.at(self.delay_ms(name, other), partial(self.on_connection_end, connection, other))
        for other in VOTERS:
            if name in VOTERS and other != name:
                self.at(
                    DISCONNECT_DETECTION_MS if quiet else 5.0, partial(self.disconnect_voters, name, other)
                )

    def stop(self, name: str, for_ms: float) -> None:
        """Suspend the process, and resume it after a while."""
        p = self.processes[name]
        incarnation = p.incarnation
        p.stopped = True

        def resume() -> None:
            if p.incarnation != incarnation or not p.up:
                return
            p.stopped = False
            deferred, p.deferred = p.deferred, []
            for call in deferred:
                call()

        for other in VOTERS:
            if name in VOTERS and other != name:
                self.at(DISCONNECT_DETECTION_MS, partial(self.disconnect_voters, name, other))
        self.at(for_ms, resume)
        self.at(for_ms + self.random.uniform(50.0, MAX_RECONNECT_MS), partial(self.reconnect_voter, name))

    def run_on(self, name: str, incarnation: int, call: Callable[[], None]) -> None:
        """Call it in that process unless the process has ended; once it resumes if it is suspended."""
        p = self.processes[name]
        if p.incarnation != incarnation or not p.up:
            return
        if p.stopped:
            p.deferred.append(call)
        else:
            call()

    def tick(self, name: str, incarnation: int) -> None:
        self.run_on(name, incarnation, partial(self._tick, name))

    def _tick(self, name: str) -> None:
        p = self.processes[name]
        if p.voter is not None:
            self.perform(p, p.voter.tick(self.now, self.view(p)))
        if p.follower is not None:
            self.perform(p, p.follower.tick(self.now))
        if p.relay is not None:
            self.perform(p, p.relay.tick(self.now))

    def schedule_tick(self, p: Process) -> None:
        due = min(part.due_ms(self.now) for part in (p.voter, p.follower, p.relay) if part is not None)
        p.timer += 1
        self.at(max(0.0, due - self.now), partial(self._on_timer, p, p.timer, p.incarnation))

    def _on_timer(self, p: Process, timer: int, incarnation: int) -> None:
        if p.timer == timer:
            self.tick(p.name, incarnation)

    # Actions.

    def perform(self, p: Process, actions: Iterable[Any], relay: bool = False) -> None:
        for action in actions:
            self._perform(p, action, relay)
        self.schedule_tick(p)

    def _perform(self, p: Process, action: Any, relay: bool) -> None:
        if self.trace is not None:
            self.trace.append(f"{self.now:.0f} {p.name}: {str(action)[:160]}")
        links: dict[int, Any]
        if isinstance(action, act.Connect):
            self.dial(p, action)
        elif isinstance(action, act.Send):
            links = p.links if action.link > LINKS else p.dialled
            connection = links.get(action.link)
            if connection is not None and connection.open:
                self.send(p.name, connection, encode(action.message))
        elif isinstance(action, act.Close):
            links = p.links if action.link > LINKS else p.dialled
            connection = links.pop(action.link, None)
            if connection is not None and connection.open:
                other = connection.client if connection.server == p.name else connection.server
                self.schedule_delivery(p.name, connection, partial(self.on_connection_end, connection, other))
        elif isinstance(action, act.Store):
            keep = {action.keep_number, *action.also_keep}
            self.write(p, partial(self._stored, p, action, keep))
        elif isinstance(action, act.Apply):
            self.apply(p, action)
        elif isinstance(action, act.PublishVersion):
            if p.relay is not None:
                self.perform(p, p.relay.publish(self.now, action.version, action.contents))
        elif isinstance(action, act.MajorityConfirmed):
            if p.relay is not None:
                self.perform(p, p.relay.on_majority_confirmed(self.now, action.at_ms))
        elif isinstance(action, act.StatusReceived):
            if p.voter is not None:
                self.perform(p, p.voter.on_status_report(self.now, action.report, self.view(p)))
            elif p.follower is not None:
                self.perform(p, p.follower.on_status_report(self.now, action.report))
        elif isinstance(action, act.SendToVoter):
            self.send_to_voter(p.name, action.to, action.body)
        elif isinstance(action, act.StoreContents):
            self.write(p, partial(self._contents_stored, p, action))
        elif isinstance(action, act.DiscardContents):
            p.undecided.pop(action.digest, None)
        elif isinstance(action, act.ChangeRegister):
            self.access_register(p, action.version)
        elif isinstance(action, act.ProposalResult):
            self.outcomes[action.proposal_id] = action
        elif isinstance(action, LogMessage):
            self.log_messages.append((self.now, p.name, action))
        else:
            raise AssertionError(action)

    def write(self, p: Process, done: Callable[[], None]) -> None:
        self.at(self.random.uniform(0.5, 20.0), partial(self.run_on, p.name, p.incarnation, done))

    def _stored(self, p: Process, action: act.Store, beside: set[int]) -> None:
        p.disk = {n: stored for n, stored in p.disk.items() if n in beside}
        p.disk[action.version.number] = action.version, action.contents
        part = p.voter or p.follower
        assert part is not None
        self.perform(p, part.on_stored(self.now, action.version.number))

    def _contents_stored(self, p: Process, action: act.StoreContents) -> None:
        p.undecided[action.digest] = action.contents
        assert p.voter is not None
        self.perform(p, p.voter.on_contents_stored(self.now, action.digest))

    def apply(self, p: Process, action: act.Apply) -> None:
        version, contents = action.version, action.contents
        why = refusal_reason(p.name, contents)
        if not why:
            self.activations.append(Activation(self.now, p.name, version.number, digest_of(contents)))
        part = p.voter or p.follower
        assert part is not None
        self.at(
            0.0,
            partial(
                self.run_on,
                p.name,
                p.incarnation,
                lambda: self.perform(p, part.on_applied(self.now, version.number, why)),
            ),
        )

    # Connections of followers.

    def dial(self, p: Process, action: act.Connect) -> None:
        self.connects.append((self.now, p.name, action.relay))
        p.dialled[action.link] = None
        server = self.processes[action.relay]
        both = {(p.name, server.name), (server.name, p.name)} & self.cut

        def made() -> None:
            if action.link not in p.dialled or not server.up:
                return
            self.connections += 1
            connection = Connection(
                self.connections, p.name, action.link, server.name, (p.incarnation, server.incarnation)
            )
            p.dialled[action.link] = connection
            server.links[connection.number + LINKS] = connection
            assert p.follower is not None
            self.perform(p, p.follower.on_connected(self.now, action.link))

        def refused() -> None:
            p.dialled.pop(action.link, None)
            assert p.follower is not None
            self.perform(p, p.follower.on_disconnected(self.now, action.link, "refused"))

        if both or (not server.up and server.name in self.lost_machines):
            return
        then = made if server.up else refused
        self.at(2.0 * self.delay_ms(p.name, server.name), partial(self.run_on, p.name, p.incarnation, then))

    lost_machines: frozenset[str] = frozenset()

    def send(self, sender: str, connection: Connection, data: bytes) -> None:
        to = connection.client if connection.server == sender else connection.server
        if isinstance(decode(data), ConfigUpdate) and self.updates_to_drop.get(to, 0) > 0:
            self.updates_to_drop[to] -= 1
            return
        self.schedule_delivery(sender, connection, partial(self.on_arrival, connection, to, data))

    def schedule_delivery(self, sender: str, connection: Connection, call: Callable[[], None]) -> None:
        """Deliver in order; if the path is cut, once it has healed."""
        to = connection.client if connection.server == sender else connection.server
        arrives = max(self.now + self.delay_ms(sender, to), connection.last_arrival_ms.get(sender, 0.0))
        connection.last_arrival_ms[sender] = arrives
        self.at(arrives - self.now, partial(self.deliver, sender, to, connection, call))

    def deliver(self, sender: str, to: str, connection: Connection, call: Callable[[], None]) -> None:
        waiting = connection.waiting.setdefault(sender, [])
        if (sender, to) in self.cut or waiting:
            waiting.append(call)
            if len(waiting) == 1:
                self.at(200.0, partial(self.retry_delivery, sender, to, connection))
            return
        call()

    def retry_delivery(self, sender: str, to: str, connection: Connection) -> None:
        """Deliver the messages that wait for a cut path to heal."""
        if not connection.open:
            return
        if (sender, to) in self.cut:
            self.at(200.0, partial(self.retry_delivery, sender, to, connection))
            return
        calls, connection.waiting[sender] = connection.waiting[sender], []
        for call in calls:
            call()

    def on_arrival(self, connection: Connection, to: str, data: bytes) -> None:
        p = self.processes[to]
        incarnation = connection.incarnations[0 if to == connection.client else 1]
        if not connection.open:
            return

        def receive() -> None:
            if to == connection.client and p.follower is not None:
                if p.dialled.get(connection.link) is connection:
                    self.perform(p, p.follower.on_message(self.now, connection.link, decode(data)))
            elif p.relay is not None and connection.number + LINKS in p.links:
                self.perform(p, p.relay.on_message(self.now, connection.number + LINKS, decode(data)))

        self.run_on(to, incarnation, receive)

    def on_connection_end(self, connection: Connection, to: str) -> None:
        connection.open = False
        p = self.processes[to]

        def notify() -> None:
            if to == connection.client and p.follower is not None:
                if p.dialled.pop(connection.link, None) is not None:
                    self.perform(p, p.follower.on_disconnected(self.now, connection.link, "it has ended"))
            elif p.relay is not None and p.links.pop(connection.number + LINKS, None) is not None:
                self.perform(p, p.relay.on_disconnected(self.now, connection.number + LINKS, "it has ended"))

        self.run_on(to, connection.incarnations[0 if to == connection.client else 1], notify)

    # Connections between voters.

    def view(self, p: Process) -> VoterView:
        linked = frozenset(
            o for o in VOTERS if o != p.name and frozenset((o, p.name)) not in self.disconnected_pairs
        )
        number = p.acceptor.value.number if isinstance(p.acceptor.value, Version) else 0
        return VoterView(number, 1, frozenset(VOTERS), len(VOTERS) // 2 + 1, linked)

    def disconnect_voters(self, a: str, b: str) -> None:
        if (
            {(a, b), (b, a)} & self.cut
            or not (self.processes[a].up and self.processes[b].up)
            or (self.processes[a].stopped)
        ):
            self.disconnected_pairs.add(frozenset((a, b)))

    def reconnect_voter(self, name: str) -> None:
        for other in VOTERS:
            if (
                other != name
                and not {(name, other), (other, name)} & self.cut
                and (self.processes[other].up and self.processes[name].up)
            ):
                self.disconnected_pairs.discard(frozenset((name, other)))

    def _send_between_voters(self, sender: str, to: str, call: Callable[[], None]) -> None:
        if (
            frozenset((sender, to)) in self.disconnected_pairs
            or (sender, to) in self.cut
            or not self.processes[to].up
        ):
            return
        arrives = max(self.now + self.delay_ms(sender, to), self.last_arrival_ms.get((sender, to), 0.0))
        self.last_arrival_ms[sender, to] = arrives
        self.at(arrives - self.now, partial(self.run_on, to, self.processes[to].incarnation, call))

    def send_to_voter(self, sender: str, to: str, body: bytes) -> None:
        def receive() -> None:
            p = self.processes[to]
            assert p.voter is not None
            self.perform(p, p.voter.on_message(self.now, sender, body, self.view(p)))

        self._send_between_voters(sender, to, receive)

    # The register.

    def access_register(self, p: Process, version: Version | None) -> None:
        p.ballot = max(p.ballot, p.acceptor.promised.number) + 1
        ballot = Ballot(p.ballot, p.name, p.incarnation)
        p.access = PendingAccess(Round(ballot, len(VOTERS) // 2 + 1), register_change(version), p.incarnation)
        for name in VOTERS:
            self.send_to_acceptor(p, name, ballot, None)
        self.at(
            timeouts.REGISTER_TIMEOUT_MS,
            partial(self.run_on, p.name, p.incarnation, partial(self.on_access_timeout, p, ballot)),
        )

    def send_to_acceptor(self, p: Process, name: str, ballot: Ballot, value: Any) -> None:
        def handle() -> None:
            disk = self.processes[name]
            if value is None:
                disk.acceptor, response = prepare(disk.acceptor, ballot)
            else:
                disk.acceptor, response = accept(disk.acceptor, ballot, value[0])
                if isinstance(response, AcceptGranted):
                    self.record_decision(ballot, value[0])
            respond = partial(self.on_acceptor_response, p, name, response)
            self.at(
                self.random.uniform(0.5, 20.0),
                lambda: respond() if name == p.name else self._send_between_voters(name, p.name, respond),
            )

        if name == p.name:
            handle()
        else:
            self._send_between_voters(p.name, name, handle)

    def record_decision(self, ballot: Ballot, value: Any) -> None:
        holds = sum(q.acceptor.accepted == ballot for n, q in self.processes.items() if n in VOTERS)
        if isinstance(value, Version) and holds >= 2 and all(c.version != value for c in self.decisions):
            self.decisions.append(Decision(self.now, value))

    def on_acceptor_response(self, p: Process, name: str, response: Any) -> None:
        access = p.access
        if access is None or not p.up or access.incarnation != p.incarnation:
            return
        phase = access.round.phase
        access.round = access.round.on_response(name, response, access.change)
        if access.round.phase is phase:
            return
        if access.round.phase is Phase.ACCEPTING:
            for to in VOTERS:
                self.send_to_acceptor(p, to, access.round.ballot, (access.round.proposed_value,))
            return
        if access.round.phase is Phase.PREEMPTED:
            p.ballot = max(p.ballot, access.round.preempting_ballot.number)
        self.finish_access(p, access.round.phase is Phase.CHOSEN, access.round.proposed_value)

    def on_access_timeout(self, p: Process, ballot: Ballot) -> None:
        if p.access is not None and p.access.round.ballot == ballot:
            self.finish_access(p, False, None)

    def finish_access(self, p: Process, known: bool, value: Any) -> None:
        p.access = None
        assert p.voter is not None
        self.perform(p, p.voter.on_register_result(self.now, known, value, self.view(p)))

    # Operations for tests.

    def start_all(self) -> None:
        for name in self.processes:
            self.start(name)

    def propose(self, ticket: int, name: str, contents: bytes) -> None:
        p = self.processes[name]
        if p.up and not p.stopped and p.voter is not None:
            self.perform(p, p.voter.propose(self.now, ticket, contents, int(self.now), self.view(p)))

    def sever(self, paths: Iterable[tuple[str, str]]) -> None:
        paths = set(paths)
        self.cut |= paths
        for a, b in paths:
            if a in VOTERS and b in VOTERS:
                self.at(DISCONNECT_DETECTION_MS, partial(self.disconnect_voters, a, b))

    def heal(self, paths: Iterable[tuple[str, str]]) -> None:
        self.cut -= set(paths)
        for name in VOTERS:
            self.at(self.random.uniform(50.0, MAX_RECONNECT_MS), partial(self.reconnect_voter, name))

    def in_force(self) -> dict[str, Version]:
        return {n: p.follower.version for n, p in self.processes.items() if p.follower is not None}


LINKS = 1_000_000  # added to a relay's link numbers, to tell them from a follower's in the same process


def refusal_reason(name: str, contents: bytes) -> str:
    """Return why this process refuses the contents, or "". Contents can name a process that refuses them."""
    return "servers is 'bad'; allowed: good ones" if f"not for {name};".encode() in contents else ""


# Each name is part of the seed of its runs: another name draws other runs.
FAULTS = (
    "none",
    "relay killed",
    "relay's machine gone",
    "relay silent",
    "voter lost while it decides",
    "voter's machine gone while it decides",
    "lost push",
    "one-way cut to the relay",
    "one-way cut from the relay",
    "one-way cut between voters",
    "a voter hears no other",
    "no other hears a voter",
    "a follower stopped and gone on",
    "a relay stopped and gone on",
    "regions cut and met again",
    "a follower cut from all",
    "old disk",
    "a relay process restarts",
    COLD := "start with all relays, one of which then hears no majority",
)
ALL_RELAYS = (*VOTERS, *RELAYS)


def contents_of(random: Random, former: bytes) -> bytes:
    """Draw contents: similar to the former ones, or unrelated."""
    if former and random.random() < 0.7:
        at = random.randrange(len(former))
        return former[:at] + f"weight = {random.random()}\n".encode() + former[at + random.randrange(20) :]
    return random.randbytes(random.choice([200, 5_000, 60_000, 300_000]))


@dataclass
class RunResult:
    """The result of one run: one fault, and a few changes."""

    sim: Simulation
    expected: list[ExpectedFollower]
    fault: str
    text: str

    def violations(self) -> list[str]:
        """List the violations of this run."""
        return find_violations(self.sim.decisions, self.sim.activations, self.expected, self.sim.now)


def run_simulation(seed: int, fault: str, changes: int = 3, **kinds: Any) -> RunResult:
    """Run for a while, then inject one fault with changes around it, until all bounds have passed."""
    random = Random(f"{seed}/{fault}")
    sim = Simulation(random.getrandbits(32), **kinds)
    if fault == COLD:  # voters are not connected yet
        sim.disconnected_pairs = {frozenset((a, b)) for a in VOTERS for b in VOTERS if a != b}
        for name in VOTERS:
            sim.at(random.uniform(50.0, MAX_RECONNECT_MS), partial(sim.reconnect_voter, name))
    sim.start_all()
    if fault != COLD:
        sim.run(3000.0)
        sim.propose(1, "v1", contents_of(random, b""))
        sim.run(6000.0)
    at = random.uniform(200.0, 3000.0) if fault == COLD else random.uniform(6000.0, 12_000.0)
    long = random.choice([random.uniform(300.0, 5000.0), random.uniform(5000.0, 70_000.0)])
    server, follower = random.choice(ALL_RELAYS), random.choice(sorted(FOLLOWERS))
    voter = random.choice(sorted(VOTERS))
    relay = sim.processes[follower].follower
    own = relay.relay if relay is not None and relay.relay else server
    cuts: dict[str, tuple[tuple[float, float], ...]] = {}
    end = at + 22_000.0

    def sever(paths: set[tuple[str, str]], heals: bool) -> None:
        nonlocal end
        sim.at(at - sim.now, lambda: sim.sever(paths))
        if heals:
            sim.at(at + long - sim.now, lambda: sim.heal(paths))
            end = max(end, at + long + 12_000.0)

    def propose(ticket: int, name: str, contents: bytes) -> None:
        sim.propose(ticket, name, contents)

    text = f"seed={seed} fault={fault!r} at={at:.0f} long={long:.0f} {server} {follower} {voter} {own}"
    if fault in ("relay killed", "a relay process restarts"):
        if fault == "relay killed" and random.random() < 0.7:
            server = own
        sim.at(at - sim.now, lambda: sim.kill(server))
        if fault == "a relay process restarts":
            sim.at(at + 400.0 - sim.now, lambda: sim.start(server))
            sim.at(at + 2000.0 - sim.now, lambda: sim.reconnect_voter(server))
        cuts = {server: ((at, 1e12),)} if fault == "relay killed" else {server: ((at, at + 400.0),)}
    elif fault == "relay's machine gone":

        def lose_machine() -> None:
            sim.lost_machines = frozenset({own})
            sim.kill(own, quiet=True)

        sim.at(at - sim.now, lose_machine)
        cuts = {own: ((at, 1e12),)}
    elif fault in ("relay silent", "a relay stopped and gone on"):
        for_ms = 1e9 if fault == "relay silent" else long
        sim.at(at - sim.now, lambda: sim.stop(own, for_ms))
        cuts = {own: ((at, at + for_ms),)}
        end = max(end, at + (long if for_ms < 1e9 else 0.0) + 12_000.0)
    elif fault.startswith("voter"):
        quiet = "machine" in fault

        def lose_voter() -> None:
            sim.lost_machines = frozenset({voter}) if quiet else frozenset()
            sim.kill(voter, quiet)

        sim.at(at - sim.now, partial(propose, 9, voter, contents_of(random, b"")))
        sim.at(at + random.uniform(0.0, 250.0) - sim.now, lose_voter)
    elif fault == "lost push":
        sim.at(at - sim.now, lambda: sim.updates_to_drop.update({follower: 1}))
    elif fault == "one-way cut to the relay":
        sever({(follower, own)}, random.random() < 0.5)
    elif fault == "one-way cut from the relay":
        sever({(own, follower)}, random.random() < 0.5)
    elif fault == "one-way cut between voters":
        other = random.choice(sorted(set(VOTERS) - {voter}))
        sever({(voter, other)}, random.random() < 0.5)
    elif fault == "a voter hears no other":
        sever({(v, voter) for v in VOTERS if v != voter}, random.random() < 0.5)
    elif fault == "no other hears a voter":
        sever({(voter, v) for v in VOTERS if v != voter}, random.random() < 0.5)
    elif fault == "a follower stopped and gone on":
        sim.at(at - sim.now, lambda: sim.stop(follower, long))
        cuts = {follower: ((at, at + long),)}
        end = max(end, at + long + 12_000.0)
    elif fault == "a follower cut from all":
        sever({way for s in ALL_RELAYS for way in ((s, follower), (follower, s))}, True)
        cuts = {follower: ((at, at + long),)}
    elif fault == "regions cut and met again":
        near = {n for n in sim.processes if region_of(PLACES[n]) == "r1"}
        far = set(sim.processes) - near
        sever({way for a in near for b in far for way in ((a, b), (b, a))}, True)
        cuts = {name: ((at, at + long),) for name in far}
    elif fault == COLD:
        if relay is not None and random.random() < 0.7:
            server = relay.order[-1]  # where followers may stay although it is stale
        sever({(v, server) for v in VOTERS if v != server}, False)
        sound = random.choice(sorted(set(VOTERS) - {server}))
        sim.at(random.uniform(2600.0, 3500.0), partial(propose, 1, sound, contents_of(random, b"")))
        cuts = {server: ((at, 1e12),)}
    elif fault == "old disk":

        def save_disk() -> None:
            saved.update(sim.processes[follower].disk)

        def restart() -> None:
            sim.processes[follower].disk = dict(saved)
            sim.start(follower)

        saved: dict[int, tuple[Version, bytes]] = {}
        sim.at(0.0, save_disk)
        sim.at(at - sim.now, lambda: sim.kill(follower))
        restart_ms = at + random.uniform(100.0, 6000.0)
        sim.at(restart_ms - sim.now, restart)
        cuts = {follower: ((at, restart_ms),)}
        end = max(end, restart_ms + 12_000.0)
    former = contents_of(random, b"")
    for ticket in range(2, 2 + changes):
        former = contents_of(random, former)
        close = random.random() < 0.5  # close to the fault, or at any time
        when = at + random.uniform(-400.0, 3000.0) if close else random.uniform(6000.0, end - 10_500.0)
        sim.at(max(0.0, when - sim.now), partial(propose, ticket, random.choice(sorted(VOTERS)), former))
    sim.run(end)
    names = [*FOLLOWERS, *RELAYS]
    return RunResult(sim, [ExpectedFollower(name, cuts.get(name, ())) for name in names], fault, text)


def worst_ms(result: RunResult) -> float:
    """Return the longest time from decided, or from the end of a cut, to in force."""
    worst, activations = 0.0, result.sim.activations
    for target in result.expected:
        for one in result.sim.decisions:
            due_from_ms = one.at_ms
            for since, until in sorted(target.unreachable):
                if since < due_from_ms + timeouts.PROPAGATION_BOUND_MS:
                    due_from_ms = max(due_from_ms, until)
            times = [a.at_ms for a in activations if a.name == target.name and a.number >= one.version.number]
            worst = max(worst, min(times, default=0.0) - due_from_ms)
    return worst


def main() -> int:
    """Run from the command line: a number of runs of each fault, or of one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--plays", type=int, default=10)
    parser.add_argument("--fault", default="", choices=("", *FAULTS))
    args = parser.parse_args()
    failed = 0
    for fault in [args.fault] if args.fault else FAULTS:
        worst, decided = 0.0, 0
        for seed in range(args.seed, args.seed + args.plays):
            result = run_simulation(seed, fault)
            worst, decided = max(worst, worst_ms(result)), decided + len(result.sim.decisions)
            if violations := result.violations():
                failed += 1
                print(result.text, *violations, sep="\n    ")
        print(f"{fault}: {args.plays} plays, {decided} decided, worst {worst:.0f} ms")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
