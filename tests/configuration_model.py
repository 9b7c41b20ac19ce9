"""A fleet with voters, relays and followers in simulated time with faults; a checker of what came into force.

    python -m tests.configuration_model [--seed N] [--plays N] [--fault NAME]

The code is that of `grebestack.consensus`; the register is asked by its own functions. Connections deliver in
order; what is said over a cut path comes after it has healed, or never if the connection has ended meanwhile.
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

FLEET = "f"
VOTERS = {"v1": "r1/z1", "v2": "r1/z2", "v3": "r2/z3"}
RELAY = {"p1": "r2/z4"}
FOLLOWERS = {"f1": "r1/z1", "f2": "r1/z1", "f3": "r1/z2", "f4": "r1/z2", "f5": "r2/z3", "f6": "r2/z4"}
PLACES = VOTERS | RELAY | FOLLOWERS
NOTICED_MS = 2100.0  # the mesh ends a silent connection by then (peers.PeerTimes, with a tick's pace)
MESH_AGAIN_MS = 1600.0  # and has made it anew by then (node.MAX_DIAL_BACKOFF_S, peer_connection.Dialler)


@dataclass(frozen=True)
class InForce:
    """An act under a version, as seen from outside."""

    at_ms: float
    name: str
    number: int
    digest: str


@dataclass(frozen=True)
class Chosen:
    """A majority's disks hold a value."""

    at_ms: float
    version: Version


@dataclass(frozen=True)
class Owed:
    """From when on a follower must have what is decided, and not while it can't be reached."""

    name: str
    cut: tuple[tuple[float, float], ...] = ()  # when it could not be reached, or was not there


def wrong(
    chosen: Iterable[Chosen],
    acts: Iterable[InForce],
    owed: Iterable[Owed],
    until_ms: float,
    bound_ms: float = timeouts.PROPAGATION_BOUND_MS,
) -> list[str]:
    """What in a history is not as it should be."""
    found: list[str] = []
    decided: dict[int, Chosen] = {}
    for one in sorted(chosen, key=lambda c: c.at_ms):
        first = decided.setdefault(one.version.number, one)
        if first.version != one.version:
            found.append(f"two versions are decided as number {one.version.number}")
    top: dict[str, int] = {}
    had: dict[str, list[InForce]] = {}
    for item in sorted(acts, key=lambda a: a.at_ms):
        truth = decided.get(item.number)
        if truth is None or truth.at_ms > item.at_ms:
            found.append(f"{item.name} acts under {item.number} at {item.at_ms:.0f}, which is not decided")
        elif truth.version.digest != item.digest:
            found.append(f"{item.name} acts under other contents than those of {item.number}")
        if item.number < top.get(item.name, 0):
            found.append(f"{item.name} goes back from {top[item.name]} to {item.number} at {item.at_ms:.0f}")
        top[item.name] = max(top.get(item.name, 0), item.number)
        had.setdefault(item.name, []).append(item)
    for owes in owed:
        for number, one in decided.items():
            allowed = one.at_ms + bound_ms
            for since, until in sorted(owes.cut):
                if since < allowed:
                    allowed = max(allowed, until + bound_ms)
            if allowed > until_ms:
                continue
            came = min((a.at_ms for a in had.get(owes.name, []) if a.number >= number), default=None)
            if came is None or came > allowed:
                text = "never" if came is None else f"at {came:.0f}"
                late = f"decided at {one.at_ms:.0f}, allowed {allowed:.0f}"
                found.append(f"{owes.name} has {number} {text}, {late}")
    return found


@dataclass
class Connection:
    """Between a follower and a relay; `at` says where the last message of each way arrives."""

    number: int
    client: str
    link: int
    server: str
    lives: tuple[int, int]
    open: bool = True
    at: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, list[Callable[[], None]]] = field(default_factory=dict)  # behind a cut, by sender


@dataclass
class Asking:
    """An asking of the register under way."""

    round: Round
    change: Any
    life: int


class Process:
    """One process: its parts, its disk."""

    def __init__(self, name: str) -> None:
        self.name, self.place, self.life = name, PLACES[name], 0
        self.up, self.stopped = False, False
        self.disk: dict[int, tuple[Version, bytes]] = {}
        self.kept: dict[str, bytes] = {}
        self.slot = AcceptorState()  # a voter's, on its disk
        self.ballot = 0
        self.asking: Asking | None = None
        self.voter: ConfigurationVoter | None = None
        self.relay: Relay | None = None
        self.follower: Follower | None = None
        self.links: dict[int, Connection] = {}  # of its relay
        self.dialled: dict[int, Connection | None] = {}  # of its follower
        self.timer = 0
        self.held: list[Callable[[], None]] = []  # what came while it was stopped


class World:
    """All of them, the network and time."""

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
        self.processes = {name: Process(name) for name in [*VOTERS, *RELAY, *followers]}
        self.cut: set[tuple[str, str]] = set()  # ways over which nothing goes
        self.mesh_down: set[frozenset[str]] = set()
        self.mesh_at: dict[tuple[str, str], float] = {}  # when the last message of a way arrives
        self.chosen: list[Chosen] = []
        self.acts: list[InForce] = []
        self.outcomes: dict[int, act.ProposalResult] = {}
        self.told: list[tuple[float, str, LogMessage]] = []
        self.lose_news: dict[str, int] = {}  # so many pushes to a follower are lost
        self.dials: list[tuple[float, str, str]] = []
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

    def way_ms(self, a: str, b: str) -> float:
        far = region_of(PLACES[a]) != region_of(PLACES[b])
        return self.random.uniform(20.0, 60.0) if far else self.random.uniform(0.2, 3.0)

    # Processes.

    def start(self, name: str) -> None:
        p = self.processes[name]
        p.up, p.stopped, p.life, p.held = True, False, p.life + 1, []
        p.links, p.dialled, p.asking = {}, {}, None
        follower, relay, voter = self.kinds
        random = Random(self.random.getrandbits(32))
        if name in VOTERS:
            p.voter = voter(name, FLEET, p.life, random, self.now)
            p.relay = relay(name, FLEET, p.life, random, acknowledged_number=p.voter.acknowledged_number)
            self.do(p, p.voter.start(self.now, list(p.disk.values()), dict(p.kept)))
        else:
            relays = name in RELAY
            places = VOTERS if relays else VOTERS | RELAY
            p.follower = follower(name, FLEET, p.place, p.life, places, random, relays)
            p.relay = relay(name, FLEET, p.life, random) if relays else None
            self.do(p, p.follower.start(self.now, list(p.disk.values())))
        self.tick(name, p.life)

    def kill(self, name: str, quiet: bool = False) -> None:
        """It ends; `quiet`: with its machine, so that nobody is told."""
        p = self.processes[name]
        p.up = False
        for connection in [*p.links.values(), *(c for c in p.dialled.values() if c is not None)]:
            other = connection.client if connection.server == name else connection.server
            if quiet:
                continue
            self.at(self.way_ms(name, other), partial(self.ended, connection, other))
        for other in VOTERS:
            if name in VOTERS and other != name:
                self.at(NOTICED_MS if quiet else 5.0, partial(self.mesh_lost, name, other))

    def stop(self, name: str, for_ms: float) -> None:
        """Stopped and gone on."""
        p = self.processes[name]
        life = p.life
        p.stopped = True

        def on() -> None:
            if p.life != life or not p.up:
                return
            p.stopped = False
            held, p.held = p.held, []
            for call in held:
                call()

        for other in VOTERS:
            if name in VOTERS and other != name:
                self.at(NOTICED_MS, partial(self.mesh_lost, name, other))
        self.at(for_ms, on)
        self.at(for_ms + self.random.uniform(50.0, MESH_AGAIN_MS), partial(self.mesh_back, name))

    def alive(self, name: str, life: int, call: Callable[[], None]) -> None:
        """Do it there, unless that process has ended; later if it is stopped."""
        p = self.processes[name]
        if p.life != life or not p.up:
            return
        if p.stopped:
            p.held.append(call)
        else:
            call()

    def tick(self, name: str, life: int) -> None:
        self.alive(name, life, partial(self._tick, name))

    def _tick(self, name: str) -> None:
        p = self.processes[name]
        if p.voter is not None:
            self.do(p, p.voter.tick(self.now, self.view(p)))
        if p.follower is not None:
            self.do(p, p.follower.tick(self.now))
        if p.relay is not None:
            self.do(p, p.relay.tick(self.now))

    def arm(self, p: Process) -> None:
        due = min(part.due_ms(self.now) for part in (p.voter, p.follower, p.relay) if part is not None)
        p.timer += 1
        self.at(max(0.0, due - self.now), partial(self._rung, p, p.timer, p.life))

    def _rung(self, p: Process, timer: int, life: int) -> None:
        if p.timer == timer:
            self.tick(p.name, life)

    # Actions.

    def do(self, p: Process, actions: Iterable[Any], relay: bool = False) -> None:
        for action in actions:
            self._do(p, action, relay)
        self.arm(p)

    def _do(self, p: Process, action: Any, relay: bool) -> None:
        if self.trace is not None:
            self.trace.append(f"{self.now:.0f} {p.name}: {str(action)[:160]}")
        links: dict[int, Any]
        if isinstance(action, act.Connect):
            self.dial(p, action)
        elif isinstance(action, act.Send):
            links = p.links if action.link > LINKS else p.dialled
            connection = links.get(action.link)
            if connection is not None and connection.open:
                self.say(p.name, connection, encode(action.message))
        elif isinstance(action, act.Close):
            links = p.links if action.link > LINKS else p.dialled
            connection = links.pop(action.link, None)
            if connection is not None and connection.open:
                other = connection.client if connection.server == p.name else connection.server
                self.after(p.name, connection, partial(self.ended, connection, other))
        elif isinstance(action, act.Store):
            kept = {action.keep_number, *action.also_keep}
            self.write(p, partial(self._stored, p, action, kept))
        elif isinstance(action, act.Apply):
            self.apply(p, action)
        elif isinstance(action, act.PublishVersion):
            if p.relay is not None:
                self.do(p, p.relay.publish(self.now, action.version, action.contents))
        elif isinstance(action, act.MajorityConfirmed):
            if p.relay is not None:
                self.do(p, p.relay.on_majority_confirmed(self.now, action.at_ms))
        elif isinstance(action, act.StatusReceived):
            if p.voter is not None:
                self.do(p, p.voter.on_status_report(self.now, action.report, self.view(p)))
            elif p.follower is not None:
                self.do(p, p.follower.on_status_report(self.now, action.report))
        elif isinstance(action, act.SendToVoter):
            self.word(p.name, action.to, action.body)
        elif isinstance(action, act.StoreContents):
            self.write(p, partial(self._kept, p, action))
        elif isinstance(action, act.DiscardContents):
            p.kept.pop(action.digest, None)
        elif isinstance(action, act.ChangeRegister):
            self.ask(p, action.version)
        elif isinstance(action, act.ProposalResult):
            self.outcomes[action.proposal_id] = action
        elif isinstance(action, LogMessage):
            self.told.append((self.now, p.name, action))
        else:
            raise AssertionError(action)

    def write(self, p: Process, done: Callable[[], None]) -> None:
        self.at(self.random.uniform(0.5, 20.0), partial(self.alive, p.name, p.life, done))

    def _stored(self, p: Process, action: act.Store, beside: set[int]) -> None:
        p.disk = {n: held for n, held in p.disk.items() if n in beside}
        p.disk[action.version.number] = action.version, action.contents
        part = p.voter or p.follower
        assert part is not None
        self.do(p, part.on_stored(self.now, action.version.number))

    def _kept(self, p: Process, action: act.StoreContents) -> None:
        p.kept[action.digest] = action.contents
        assert p.voter is not None
        self.do(p, p.voter.on_contents_stored(self.now, action.digest))

    def apply(self, p: Process, action: act.Apply) -> None:
        version, contents = action.version, action.contents
        why = refusal(p.name, contents)
        if not why:
            self.acts.append(InForce(self.now, p.name, version.number, digest_of(contents)))
        part = p.voter or p.follower
        assert part is not None
        self.at(
            0.0,
            partial(
                self.alive, p.name, p.life, lambda: self.do(p, part.on_applied(self.now, version.number, why))
            ),
        )

    # Connections of followers.

    def dial(self, p: Process, action: act.Connect) -> None:
        self.dials.append((self.now, p.name, action.relay))
        p.dialled[action.link] = None
        server = self.processes[action.relay]
        both = {(p.name, server.name), (server.name, p.name)} & self.cut

        def made() -> None:
            if action.link not in p.dialled or not server.up:
                return
            self.connections += 1
            connection = Connection(self.connections, p.name, action.link, server.name, (p.life, server.life))
            p.dialled[action.link] = connection
            server.links[connection.number + LINKS] = connection
            assert p.follower is not None
            self.do(p, p.follower.on_connected(self.now, action.link))

        def refused() -> None:
            p.dialled.pop(action.link, None)
            assert p.follower is not None
            self.do(p, p.follower.on_disconnected(self.now, action.link, "refused"))

        if both or (not server.up and server.name in self.quiet):
            return
        then = made if server.up else refused
        self.at(2.0 * self.way_ms(p.name, server.name), partial(self.alive, p.name, p.life, then))

    quiet: frozenset[str] = frozenset()  # machines that are gone

    def say(self, sender: str, connection: Connection, data: bytes) -> None:
        to = connection.client if connection.server == sender else connection.server
        if isinstance(decode(data), ConfigUpdate) and self.lose_news.get(to, 0) > 0:
            self.lose_news[to] -= 1
            return
        self.after(sender, connection, partial(self.arrive, connection, to, data))

    def after(self, sender: str, connection: Connection, call: Callable[[], None]) -> None:
        """In order; while the way is cut, once it has healed."""
        to = connection.client if connection.server == sender else connection.server
        arrives = max(self.now + self.way_ms(sender, to), connection.at.get(sender, 0.0))
        connection.at[sender] = arrives
        self.at(arrives - self.now, partial(self.pass_on, sender, to, connection, call))

    def pass_on(self, sender: str, to: str, connection: Connection, call: Callable[[], None]) -> None:
        waiting = connection.waiting.setdefault(sender, [])
        if (sender, to) in self.cut or waiting:
            waiting.append(call)
            if len(waiting) == 1:
                self.at(200.0, partial(self.again, sender, to, connection))
            return
        call()

    def again(self, sender: str, to: str, connection: Connection) -> None:
        """What waits behind a cut is sent again."""
        if not connection.open:
            return
        if (sender, to) in self.cut:
            self.at(200.0, partial(self.again, sender, to, connection))
            return
        calls, connection.waiting[sender] = connection.waiting[sender], []
        for call in calls:
            call()

    def arrive(self, connection: Connection, to: str, data: bytes) -> None:
        p = self.processes[to]
        life = connection.lives[0 if to == connection.client else 1]
        if not connection.open:
            return

        def heard() -> None:
            if to == connection.client and p.follower is not None:
                if p.dialled.get(connection.link) is connection:
                    self.do(p, p.follower.on_message(self.now, connection.link, decode(data)))
            elif p.relay is not None and connection.number + LINKS in p.links:
                self.do(p, p.relay.on_message(self.now, connection.number + LINKS, decode(data)))

        self.alive(to, life, heard)

    def ended(self, connection: Connection, to: str) -> None:
        connection.open = False
        p = self.processes[to]

        def lost() -> None:
            if to == connection.client and p.follower is not None:
                if p.dialled.pop(connection.link, None) is not None:
                    self.do(p, p.follower.on_disconnected(self.now, connection.link, "it has ended"))
            elif p.relay is not None and p.links.pop(connection.number + LINKS, None) is not None:
                self.do(p, p.relay.on_disconnected(self.now, connection.number + LINKS, "it has ended"))

        self.alive(to, connection.lives[0 if to == connection.client else 1], lost)

    # The voters' mesh.

    def view(self, p: Process) -> VoterView:
        linked = frozenset(o for o in VOTERS if o != p.name and frozenset((o, p.name)) not in self.mesh_down)
        number = p.slot.value.number if isinstance(p.slot.value, Version) else 0
        return VoterView(number, 1, frozenset(VOTERS), len(VOTERS) // 2 + 1, linked)

    def mesh_lost(self, a: str, b: str) -> None:
        if (
            {(a, b), (b, a)} & self.cut
            or not (self.processes[a].up and self.processes[b].up)
            or (self.processes[a].stopped)
        ):
            self.mesh_down.add(frozenset((a, b)))

    def mesh_back(self, name: str) -> None:
        for other in VOTERS:
            if (
                other != name
                and not {(name, other), (other, name)} & self.cut
                and (self.processes[other].up and self.processes[name].up)
            ):
                self.mesh_down.discard(frozenset((name, other)))

    def _mesh(self, sender: str, to: str, call: Callable[[], None]) -> None:
        if frozenset((sender, to)) in self.mesh_down or (sender, to) in self.cut or not self.processes[to].up:
            return
        arrives = max(self.now + self.way_ms(sender, to), self.mesh_at.get((sender, to), 0.0))
        self.mesh_at[sender, to] = arrives
        self.at(arrives - self.now, partial(self.alive, to, self.processes[to].life, call))

    def word(self, sender: str, to: str, body: bytes) -> None:
        def heard() -> None:
            p = self.processes[to]
            assert p.voter is not None
            self.do(p, p.voter.on_message(self.now, sender, body, self.view(p)))

        self._mesh(sender, to, heard)

    # The register.

    def ask(self, p: Process, version: Version | None) -> None:
        p.ballot = max(p.ballot, p.slot.promised.number) + 1
        ballot = Ballot(p.ballot, p.name, p.life)
        p.asking = Asking(Round(ballot, len(VOTERS) // 2 + 1), register_change(version), p.life)
        for name in VOTERS:
            self.to_slot(p, name, ballot, None)
        self.at(
            timeouts.REGISTER_TIMEOUT_MS,
            partial(self.alive, p.name, p.life, partial(self.given_up, p, ballot)),
        )

    def to_slot(self, p: Process, name: str, ballot: Ballot, value: Any) -> None:
        def there() -> None:
            disk = self.processes[name]
            if value is None:
                disk.slot, answer = prepare(disk.slot, ballot)
            else:
                disk.slot, answer = accept(disk.slot, ballot, value[0])
                if isinstance(answer, AcceptGranted):
                    self.accepted(ballot, value[0])
            back = partial(self.answered, p, name, answer)
            self.at(
                self.random.uniform(0.5, 20.0),
                lambda: back() if name == p.name else self._mesh(name, p.name, back),
            )

        if name == p.name:
            there()
        else:
            self._mesh(p.name, name, there)

    def accepted(self, ballot: Ballot, value: Any) -> None:
        holds = sum(q.slot.accepted == ballot for n, q in self.processes.items() if n in VOTERS)
        if isinstance(value, Version) and holds >= 2 and all(c.version != value for c in self.chosen):
            self.chosen.append(Chosen(self.now, value))

    def answered(self, p: Process, name: str, answer: Any) -> None:
        asking = p.asking
        if asking is None or not p.up or asking.life != p.life:
            return
        phase = asking.round.phase
        asking.round = asking.round.on_response(name, answer, asking.change)
        if asking.round.phase is phase:
            return
        if asking.round.phase is Phase.ACCEPTING:
            for to in VOTERS:
                self.to_slot(p, to, asking.round.ballot, (asking.round.proposed_value,))
            return
        if asking.round.phase is Phase.PREEMPTED:
            p.ballot = max(p.ballot, asking.round.preempting_ballot.number)
        self.close_asking(p, asking.round.phase is Phase.CHOSEN, asking.round.proposed_value)

    def given_up(self, p: Process, ballot: Ballot) -> None:
        if p.asking is not None and p.asking.round.ballot == ballot:
            self.close_asking(p, False, None)

    def close_asking(self, p: Process, known: bool, value: Any) -> None:
        p.asking = None
        assert p.voter is not None
        self.do(p, p.voter.on_register_result(self.now, known, value, self.view(p)))

    # What a test does.

    def begin(self) -> None:
        for name in self.processes:
            self.start(name)

    def propose(self, ticket: int, name: str, contents: bytes) -> None:
        p = self.processes[name]
        if p.up and not p.stopped and p.voter is not None:
            self.do(p, p.voter.propose(self.now, ticket, contents, int(self.now), self.view(p)))

    def sever(self, ways: Iterable[tuple[str, str]]) -> None:
        ways = set(ways)
        self.cut |= ways
        for a, b in ways:
            if a in VOTERS and b in VOTERS:
                self.at(NOTICED_MS, partial(self.mesh_lost, a, b))

    def heal(self, ways: Iterable[tuple[str, str]]) -> None:
        self.cut -= set(ways)
        for name in VOTERS:
            self.at(self.random.uniform(50.0, MESH_AGAIN_MS), partial(self.mesh_back, name))

    def in_force(self) -> dict[str, Version]:
        return {n: p.follower.version for n, p in self.processes.items() if p.follower is not None}


LINKS = 1_000_000  # a relay's link numbers, apart from a follower's in the same process


def refusal(name: str, contents: bytes) -> str:
    """Contents may say who can't take them."""
    return "servers is 'bad'; allowed: good ones" if f"not for {name};".encode() in contents else ""


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
SERVERS = (*VOTERS, *RELAY)


def contents_of(random: Random, former: bytes) -> bytes:
    """Contents near to the former ones, or others altogether."""
    if former and random.random() < 0.7:
        at = random.randrange(len(former))
        return former[:at] + f"weight = {random.random()}\n".encode() + former[at + random.randrange(20) :]
    return random.randbytes(random.choice([200, 5_000, 60_000, 300_000]))


@dataclass
class Play:
    """One fleet, one fault, a few changes; what it came to."""

    world: World
    owed: list[Owed]
    fault: str
    text: str

    def wrong(self) -> list[str]:
        """What is not as it should be."""
        return wrong(self.world.chosen, self.world.acts, self.owed, self.world.now)


def play(seed: int, fault: str, changes: int = 3, **kinds: Any) -> Play:
    """A fleet that has run for a while, then one fault and changes round it, until all bounds have passed."""
    random = Random(f"{seed}/{fault}")
    world = World(random.getrandbits(32), **kinds)
    if fault == COLD:  # voters are not connected yet
        world.mesh_down = {frozenset((a, b)) for a in VOTERS for b in VOTERS if a != b}
        for name in VOTERS:
            world.at(random.uniform(50.0, MESH_AGAIN_MS), partial(world.mesh_back, name))
    world.begin()
    if fault != COLD:
        world.run(3000.0)
        world.propose(1, "v1", contents_of(random, b""))
        world.run(6000.0)
    at = random.uniform(200.0, 3000.0) if fault == COLD else random.uniform(6000.0, 12_000.0)
    long = random.choice([random.uniform(300.0, 5000.0), random.uniform(5000.0, 70_000.0)])
    server, follower = random.choice(SERVERS), random.choice(sorted(FOLLOWERS))
    voter = random.choice(sorted(VOTERS))
    relay = world.processes[follower].follower
    own = relay.relay if relay is not None and relay.relay else server
    cuts: dict[str, tuple[tuple[float, float], ...]] = {}
    end = at + 22_000.0

    def sever(ways: set[tuple[str, str]], heals: bool) -> None:
        nonlocal end
        world.at(at - world.now, lambda: world.sever(ways))
        if heals:
            world.at(at + long - world.now, lambda: world.heal(ways))
            end = max(end, at + long + 12_000.0)

    def ask(ticket: int, name: str, contents: bytes) -> None:
        world.propose(ticket, name, contents)

    text = f"seed={seed} fault={fault!r} at={at:.0f} long={long:.0f} {server} {follower} {voter} {own}"
    if fault in ("relay killed", "a relay process restarts"):
        if fault == "relay killed" and random.random() < 0.7:
            server = own
        world.at(at - world.now, lambda: world.kill(server))
        if fault == "a relay process restarts":
            world.at(at + 400.0 - world.now, lambda: world.start(server))
            world.at(at + 2000.0 - world.now, lambda: world.mesh_back(server))
        cuts = {server: ((at, 1e12),)} if fault == "relay killed" else {server: ((at, at + 400.0),)}
    elif fault == "relay's machine gone":

        def gone() -> None:
            world.quiet = frozenset({own})
            world.kill(own, quiet=True)

        world.at(at - world.now, gone)
        cuts = {own: ((at, 1e12),)}
    elif fault in ("relay silent", "a relay stopped and gone on"):
        for_ms = 1e9 if fault == "relay silent" else long
        world.at(at - world.now, lambda: world.stop(own, for_ms))
        cuts = {own: ((at, at + for_ms),)}
        end = max(end, at + (long if for_ms < 1e9 else 0.0) + 12_000.0)
    elif fault.startswith("voter"):
        quiet = "machine" in fault

        def lose() -> None:
            world.quiet = frozenset({voter}) if quiet else frozenset()
            world.kill(voter, quiet)

        world.at(at - world.now, partial(ask, 9, voter, contents_of(random, b"")))
        world.at(at + random.uniform(0.0, 250.0) - world.now, lose)
    elif fault == "lost push":
        world.at(at - world.now, lambda: world.lose_news.update({follower: 1}))
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
        world.at(at - world.now, lambda: world.stop(follower, long))
        cuts = {follower: ((at, at + long),)}
        end = max(end, at + long + 12_000.0)
    elif fault == "a follower cut from all":
        sever({way for s in SERVERS for way in ((s, follower), (follower, s))}, True)
        cuts = {follower: ((at, at + long),)}
    elif fault == "regions cut and met again":
        near = {n for n in world.processes if region_of(PLACES[n]) == "r1"}
        far = set(world.processes) - near
        sever({way for a in near for b in far for way in ((a, b), (b, a))}, True)
        cuts = {name: ((at, at + long),) for name in far}
    elif fault == COLD:
        if relay is not None and random.random() < 0.7:
            server = relay.order[-1]  # where it may have settled
        sever({(v, server) for v in VOTERS if v != server}, False)
        sound = random.choice(sorted(set(VOTERS) - {server}))
        world.at(random.uniform(2600.0, 3500.0), partial(ask, 1, sound, contents_of(random, b"")))
        cuts = {server: ((at, 1e12),)}
    elif fault == "old disk":

        def snap() -> None:
            saved.update(world.processes[follower].disk)

        def back() -> None:
            world.processes[follower].disk = dict(saved)
            world.start(follower)

        saved: dict[int, tuple[Version, bytes]] = {}
        world.at(0.0, snap)
        world.at(at - world.now, lambda: world.kill(follower))
        back_ms = at + random.uniform(100.0, 6000.0)
        world.at(back_ms - world.now, back)
        cuts = {follower: ((at, back_ms),)}
        end = max(end, back_ms + 12_000.0)
    former = contents_of(random, b"")
    for ticket in range(2, 2 + changes):
        former = contents_of(random, former)
        close = random.random() < 0.5  # near the fault, or anywhere
        when = at + random.uniform(-400.0, 3000.0) if close else random.uniform(6000.0, end - 10_500.0)
        world.at(max(0.0, when - world.now), partial(ask, ticket, random.choice(sorted(VOTERS)), former))
    world.run(end)
    names = [*FOLLOWERS, *RELAY]
    return Play(world, [Owed(name, cuts.get(name, ())) for name in names], fault, text)


def worst_ms(played: Play) -> float:
    """The longest from decided to in force; from the end of a cut for whom it cut off."""
    worst, acts = 0.0, played.world.acts
    for owes in played.owed:
        for one in played.world.chosen:
            owed_ms = one.at_ms
            for since, until in sorted(owes.cut):
                if since < owed_ms + timeouts.PROPAGATION_BOUND_MS:
                    owed_ms = max(owed_ms, until)
            came = [a.at_ms for a in acts if a.name == owes.name and a.number >= one.version.number]
            worst = max(worst, min(came, default=0.0) - owed_ms)
    return worst


def main() -> int:
    """Play from the command line: so many plays of each fault, or of one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--plays", type=int, default=10)
    parser.add_argument("--fault", default="", choices=("", *FAULTS))
    args = parser.parse_args()
    bad = 0
    for fault in [args.fault] if args.fault else FAULTS:
        worst, decided = 0.0, 0
        for seed in range(args.seed, args.seed + args.plays):
            played = play(seed, fault)
            worst, decided = max(worst, worst_ms(played)), decided + len(played.world.chosen)
            if found := played.wrong():
                bad += 1
                print(played.text, *found, sep="\n    ")
        print(f"{fault}: {args.plays} plays, {decided} decided, worst {worst:.0f} ms")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
