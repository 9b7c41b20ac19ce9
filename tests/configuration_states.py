"""Explores every state that relays and followers can reach within a bound, running their own code.

    python -m tests.configuration_states [--states N] [--variant NAME] [--start NAME]

Two relays learn decided versions and send them to the followers. A message may be delayed, reordered,
duplicated, corrupted or lost. A relay may be killed, be lost with its machine, be cut off from the majority,
or return with its former version. A follower may restart at each step of a write, with its disk or an old
one. The budget of a start bounds how often each event may happen. Random delays take their maximum; times are
relative to the present. Time passes only while no message is in transit, or while one is delayed.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, NamedTuple

from grebestack.config_distribution import actions as act
from grebestack.config_distribution import timeouts
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import ConfigUpdate, Message, NotModified
from grebestack.config_distribution.relay import FollowerState, Relay
from grebestack.config_distribution.versions import Version, digest_of
from tests import state_exploration
from tests.state_exploration import ExplorationResult, put

CLUSTER, PLACE = "f", "r/z"
RELAYS = ("a", "b")
CONTENTS = {n: f"weight = {n}\n".encode() * 3 for n in range(1, 4)}
VERSIONS = {n: Version(n, digest_of(c), len(c), "v", 0) for n, c in CONTENTS.items()}
VARIANTS = (
    "accepts any number",
    "accepts incomplete contents",
    "never polls again after a lost push",
    "stays with a stale relay",
    "stays with a silent relay",
    "applies before it stores",
)
IGNORED_ATTRIBUTES = {
    "last_message_ms",
    "noted",
    "started_ms",
    "sequence",
    "reported_number",
    "changed_names",
    "report_ms",
    "full_report_ms",
    "next_scan_ms",
    "tokens",
    "tokens_ms",
    "updates",
    "random",
    "floor_of",
    "seats_told",
}


class LongestDraws:
    """A random generator that draws the maximum."""

    def uniform(self, low: float, high: float) -> float:
        return high


class FaultyFollower(Follower):
    """A follower with the fault of its variant, or with none."""

    variant = ""

    def _on_update(self, now_ms: float, update: ConfigUpdate) -> list[act.FollowerAction]:
        if self.variant == "accepts any number" and update.contents is not None and self.pending is None:
            self.next_version = update.version, update.contents
            return [
                *self._begin_next(now_ms),
                *self._on_relay_number(now_ms, update.version.number, update.confirmed_age_ms),
            ]
        if (
            self.variant == "accepts incomplete contents"
            and update.contents is not None
            and (update.version.number > self._highest_number() and self.pending is None)
        ):
            self.next_version = update.version, update.contents
            return [
                *self._begin_next(now_ms),
                *self._on_relay_number(now_ms, update.version.number, update.confirmed_age_ms),
            ]
        return super()._on_update(now_ms, update)

    def _on_relay_number(self, now_ms: float, number: int, confirmed_ms: int) -> list[act.FollowerAction]:
        actions = super()._on_relay_number(now_ms, number, confirmed_ms)
        if self.variant == "never polls again after a lost push":
            self.poll_ms = float("inf")
        return actions

    def _assess_relay(self, now_ms: float, confirmed_ms: int, why: str = "") -> list[act.FollowerAction]:
        return (
            []
            if self.variant == "stays with a stale relay"
            else super()._assess_relay(now_ms, confirmed_ms, why)
        )

    def _send_poll(self, now_ms: float) -> list[act.FollowerAction]:
        actions = super()._send_poll(now_ms)
        if self.variant == "stays with a silent relay":
            self.deadline_ms, self.poll_ms = float("inf"), now_ms + 1000.0
        return actions

    def _begin_next(self, now_ms: float) -> list[act.FollowerAction]:
        actions = super()._begin_next(now_ms)
        if self.variant == "applies before it stores":
            stores = [a for a in actions if isinstance(a, act.Store)]
            if stores:
                self.step = "applying"
                return [*actions, act.Apply(stores[0].version, stores[0].contents)]
        return actions


class Snapshot:
    """An unchanging snapshot of a follower or relay; steps run on a copy of it."""

    __slots__ = ("part", "key", "hash")

    def __init__(self, part: Any) -> None:
        self.part = part
        self.key = tuple(hashable(v) for k, v in part.__dict__.items() if k not in IGNORED_ATTRIBUTES)
        self.hash = hash(self.key)

    def __hash__(self) -> int:
        return self.hash

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Snapshot) and self.hash == other.hash and self.key == other.key

    def copy(self) -> Any:
        new = object.__new__(type(self.part))
        new.__dict__.update(
            {k: v.copy() if isinstance(v, dict | set | list) else v for k, v in self.part.__dict__.items()}
        )
        return new


def hashable(value: Any) -> Any:
    """Return the value in a hashable form."""
    if isinstance(value, dict):
        return tuple((k, hashable(v)) for k, v in value.items())
    if isinstance(value, FollowerState):  # without its times, except that of the last push
        return (
            value.name,
            value.incarnation,
            value.number,
            value.digest,
            value.refused,
            value.sent,
            value.sent_ms,
        )
    return None if callable(value) else value


def shifted(snapshot: Any, by_ms: float) -> Snapshot:
    """Return the snapshot after some time, with all times relative to the new present.

    Times so far in the past that they make no difference are set to the same value.
    """
    new = snapshot.copy()

    def shift(value: float, minimum: float) -> float:
        return max(value - by_ms, minimum)

    if new.confirmed_ms is not None:
        new.confirmed_ms = shift(new.confirmed_ms, -10_000.0)
    if isinstance(new, Relay):
        for link, follower in new.followers.items():
            new.followers[link] = replace(
                follower, sent_ms=shift(follower.sent_ms, -timeouts.RESEND_INTERVAL_MS)
            )
        return Snapshot(new)
    for name in ("deadline_ms", "poll_ms", "reconnect_ms", "start_ms", "preferred_retry_ms"):
        setattr(new, name, shift(getattr(new, name), -1.0))
    if new.stay_until_ms:
        new.stay_until_ms = shift(new.stay_until_ms, -1.0)
    if new.state != "paused":
        new.reconnect_ms = 0.0
    if not new.disk:
        new.start_ms = 0.0
    return Snapshot(new)


class Connection(NamedTuple):
    """A connection, or one that is being established."""

    follower: int
    incarnation: int
    link: int
    relay: int
    relay_incarnation: int
    up: bool = False

    @property
    def number(self) -> int:
        """The link number at the relay."""
        return (self.follower + 1) * 10_000 + self.incarnation * 100 + self.link


class Sent(NamedTuple):
    """A message in transit, or the establishing or end of a connection ("dial", "end")."""

    connection: Connection
    down: bool  # from the relay
    item: Message | str


class Disk(NamedTuple):
    """A follower's disk: the numbers on it, the write in progress, and the numbers before the last write."""

    numbers: tuple[int, ...] = ()
    writing: tuple[int, tuple[int, ...]] | None = None  # the number, and the numbers to keep
    previous: tuple[int, ...] = ()


class Budget(NamedTuple):
    """How often each event may still happen."""

    decide: int = 2  # a version
    lose: int = 0  # a message
    duplicate: int = 0  # a message
    reorder: int = 0  # two messages
    delay: int = 0  # a message
    corrupt: int = 0  # a message
    kill: int = 0  # a relay, and its connections end
    lose_machine: int = 0  # a relay with its machine: nobody gets a connection end
    lose_both_machines: int = 0  # both relays with their machines
    cut_off: int = 0  # a relay from the majority
    recover: int = 0  # a relay, with its former version
    restart: int = 0  # a follower
    old_disk: int = 0  # a follower restarts with its disk before the last write


class World(NamedTuple):
    """One state."""

    now: float  # always 0: past times are negative
    decided: int
    last_event_ms: float  # the last decision or fault
    relays: tuple[Snapshot, ...]
    # The state of each relay: up, killed, gone (lost with its machine) or alone (cut off from the majority).
    up: tuple[str, ...]
    incarnations: tuple[int, ...]
    followers: tuple[Snapshot, ...]
    disks: tuple[Disk, ...]
    highest_numbers: tuple[int, ...]  # the highest number in force so far, by follower
    wire: tuple[Sent, ...]
    connections: tuple[Connection, ...]  # established
    budget: Budget
    violation: str = ""


STARTS: dict[str, tuple[int, Budget]] = {
    "lost": (1, Budget(1, lose=1, duplicate=1)),
    "reordered": (1, Budget(2, reorder=1)),
    "corrupted": (1, Budget(1, corrupt=1)),
    "relay lost": (1, Budget(1, kill=1, lose_machine=1, recover=1)),
    "relay cut off": (1, Budget(1, cut_off=1)),
    "restarts": (1, Budget(1, restart=1, old_disk=1)),
    "delayed": (1, Budget(1, delay=1)),
    "restart, no relay": (1, Budget(1, lose_both_machines=1, restart=1)),
    "two followers": (2, Budget(1)),
    "two faults, relay cut off": (1, Budget(1, cut_off=1, lose=1)),
    "two faults, corrupted": (1, Budget(2, lose=1, corrupt=1)),
    "two restarts": (1, Budget(2, restart=2, old_disk=1)),
    "two changes, lost, duplicated, reordered": (1, Budget(2, lose=1, duplicate=1, reorder=1)),
    "two changes, relay lost": (1, Budget(2, kill=1, lose_machine=1, recover=1)),
    "two changes, delayed and lost": (1, Budget(2, delay=1, lose=1)),
    "two followers, lost": (2, Budget(1, lose=1)),
    "two followers, relay killed": (2, Budget(1, kill=1)),
    "two followers, relay machine lost": (2, Budget(1, lose_machine=1)),
    "two followers, restart": (2, Budget(1, restart=1)),
}


class Model:
    """The steps from each state, and the invariants."""

    def __init__(self, variant: str = "", start: str = "lost") -> None:
        self.variant, self.start = variant, start

    def _follower(self, index: int, incarnation: int) -> Follower:
        follower = FaultyFollower(
            f"f{index}",
            CLUSTER,
            PLACE,
            incarnation,
            {r: PLACE for r in RELAYS},
            LongestDraws(),  # type: ignore[arg-type]
        )
        follower.variant = self.variant
        follower.order = RELAYS
        return follower

    def _relay(self, index: int, incarnation: int) -> Relay:
        return Relay(RELAYS[index], CLUSTER, incarnation, LongestDraws())  # type: ignore[arg-type]

    def first(self) -> World:
        """Return the first state: both relays have version 1, the followers start."""
        count, budget = STARTS[self.start]
        world = World(
            0.0,
            1,
            0.0,
            tuple(Snapshot(self._relay(i, 1)) for i in range(2)),
            ("up", "up"),
            (1, 1),
            tuple(Snapshot(self._follower(i, 1)) for i in range(count)),
            (Disk(),) * count,
            (0,) * count,
            (),
            (),
            budget,
        )
        for index in range(2):
            world = self._learn_decision(world, index)
        for index in range(count):
            follower = world.followers[index].copy()
            world = self._perform(world, index, follower, follower.start(0.0))
        return world

    # Steps.

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield the possible next steps."""
        if world.now - world.last_event_ms > timeouts.PROPAGATION_BOUND_MS:
            return
        budget = world.budget
        if budget.decide:
            decided = world._replace(
                decided=world.decided + 1,
                last_event_ms=world.now,
                budget=budget._replace(decide=budget.decide - 1),
            )
            yield f"{decided.decided} is decided", decided
        for index, up in enumerate(world.up):
            if up == "up" and world.relays[index].part.version.number < world.decided:
                yield f"{RELAYS[index]} learns", self._learn_decision(world, index)
            yield from self._relay_fault_steps(world, index, up)
        for index, disk in enumerate(world.disks):
            if disk.writing is not None:
                yield f"f{index} has stored {disk.writing[0]}", self._stored(world, index)
            if budget.restart:
                yield from self._restart_steps(world, index, disk)
        yield from self._message_steps(world)
        yield from self._time_steps(world)

    def _relay_fault_steps(self, world: World, index: int, up: str) -> Iterator[tuple[str, World]]:
        budget, name = world.budget, RELAYS[index]
        if set(world.up) != {"up"}:
            if up in ("killed", "gone") and budget.recover:
                incarnation = world.incarnations[index] + 1
                relay = self._relay(index, incarnation)
                number = world.relays[index].part.version.number
                relay.publish(world.now, VERSIONS[number], CONTENTS[number])
                yield (
                    f"{name} is restarted",
                    world._replace(
                        relays=put(world.relays, index, Snapshot(relay)),
                        up=put(world.up, index, "up"),
                        incarnations=put(world.incarnations, index, incarnation),
                        budget=budget._replace(recover=budget.recover - 1),
                    ),
                )
            return
        if budget.kill:
            budget_left = budget._replace(kill=budget.kill - 1)
            yield f"{name} is killed", self._lose_relay(world, index, "killed", budget_left)
        if budget.lose_machine:
            yield (
                f"{name} is lost with its machine",
                self._lose_relay(world, index, "gone", budget._replace(lose_machine=budget.lose_machine - 1)),
            )
        if budget.lose_both_machines and index == 0:
            budget_left = budget._replace(lose_both_machines=0)
            yield (
                "both relays are lost with their machines",
                self._lose_relay(self._lose_relay(world, 0, "gone", budget_left), 1, "gone", budget_left),
            )
        if budget.cut_off:
            yield (
                f"{name} is cut off from the majority",
                world._replace(
                    up=put(world.up, index, "alone"),
                    last_event_ms=world.now,
                    budget=budget._replace(cut_off=0),
                ),
            )

    def _lose_relay(self, world: World, index: int, how: str, budget: Budget) -> World:
        connections = tuple(connection for connection in world.connections if connection.relay != index)
        wire = tuple(s for s in world.wire if s.connection.relay != index or s.item == "dial")
        if how == "killed":
            wire += tuple(
                Sent(connection, True, "end") for connection in world.connections if connection.relay == index
            )
        return world._replace(
            up=put(world.up, index, how),
            connections=connections,
            wire=wire,
            last_event_ms=world.now,
            budget=budget,
        )

    def _restart_steps(self, world: World, index: int, disk: Disk) -> Iterator[tuple[str, World]]:
        budget = world.budget._replace(restart=world.budget.restart - 1)
        yield f"f{index} restarts", self._restart(world, index, disk.numbers, budget)
        if disk.writing is not None:
            number, beside = disk.writing
            numbers = (number, *(n for n in disk.numbers if n in beside))
            yield f"f{index} restarts, written", self._restart(world, index, numbers, budget)
        if budget.old_disk and disk.previous != disk.numbers:
            yield (
                f"f{index} restarts, old disk",
                self._restart(world, index, disk.previous, budget._replace(old_disk=0)),
            )

    def _restart(self, world: World, index: int, numbers: tuple[int, ...], budget: Budget) -> World:
        incarnation = world.followers[index].part.incarnation + 1
        wire = tuple(s for s in world.wire if s.connection.follower != index)
        wire += tuple(
            Sent(connection, False, "end") for connection in world.connections if connection.follower == index
        )
        connections = tuple(connection for connection in world.connections if connection.follower != index)
        follower = self._follower(index, incarnation)
        world = world._replace(
            wire=wire,
            connections=connections,
            disks=put(world.disks, index, Disk(numbers, None, numbers)),
            last_event_ms=world.now,
            budget=budget,
        )
        disk = [(VERSIONS[n], CONTENTS[n]) for n in numbers]
        return self._perform(world, index, follower, follower.start(world.now, disk))

    def _learn_decision(self, world: World, index: int) -> World:
        relay = world.relays[index].copy()
        actions = []
        if relay.version.number < world.decided:
            number = world.decided
            actions = relay.publish(world.now, VERSIONS[number], CONTENTS[number])
        relay.on_majority_confirmed(world.now, world.now)
        return self._perform_of_relay(world, index, relay, actions)

    def _stored(self, world: World, index: int) -> World:
        disk = world.disks[index]
        assert disk.writing is not None
        number, beside = disk.writing
        numbers = (number, *(n for n in disk.numbers if n in beside))
        follower = world.followers[index].copy()
        world = world._replace(disks=put(world.disks, index, Disk(numbers, None, disk.numbers)))
        return self._perform(world, index, follower, follower.on_stored(world.now, number))

    def _message_steps(self, world: World) -> Iterator[tuple[str, World]]:
        budget, wire = world.budget, world.wire
        for index, sent in enumerate(wire):
            first = all(s.connection != sent.connection or s.down != sent.down for s in wire[:index])
            if not first and not budget.reorder:
                continue
            rest = world._replace(wire=wire[:index] + wire[index + 1 :])
            direction = (
                f"{RELAYS[sent.connection.relay]}{'>' if sent.down else '<'}f{sent.connection.follower}"
            )
            step = f"{direction} {_short(sent.item)}"
            if not first:
                rest = rest._replace(budget=budget._replace(reorder=budget.reorder - 1))
            yield step, self._deliver(rest, sent)
            if isinstance(sent.item, str) or not first:
                continue
            if budget.lose:
                yield (
                    f"lost {step}",
                    rest._replace(last_event_ms=world.now, budget=budget._replace(lose=budget.lose - 1)),
                )
            if budget.duplicate:
                yield (
                    f"duplicated {step}",
                    world._replace(
                        wire=(*wire, sent), budget=budget._replace(duplicate=budget.duplicate - 1)
                    ),
                )
            if budget.corrupt and isinstance(sent.item, ConfigUpdate):
                corrupted = sent._replace(item=_corrupted(sent.item))
                yield (
                    f"corrupted {step}",
                    world._replace(
                        wire=put(wire, index, corrupted),
                        last_event_ms=world.now,
                        budget=budget._replace(corrupt=0),
                    ),
                )

    def _deliver(self, world: World, sent: Sent) -> World:
        connection, index = sent.connection, sent.connection.relay
        up = world.up[index] in ("up", "alone") and world.incarnations[index] == connection.relay_incarnation
        if sent.item == "dial":
            return self._connect(world, connection)
        if sent.down:
            follower = world.followers[connection.follower].copy()
            if follower.incarnation != connection.incarnation:
                return world
            if sent.item == "end":
                world = world._replace(connections=tuple(x for x in world.connections if x != connection))
                return self._perform(
                    world,
                    connection.follower,
                    follower,
                    follower.on_disconnected(world.now, connection.link, "ended"),
                )
            assert not isinstance(sent.item, str)
            return self._perform(
                world,
                connection.follower,
                follower,
                follower.on_message(world.now, connection.link, sent.item),
            )
        if not up:
            return world
        relay = world.relays[index].copy()
        if sent.item == "end":
            return self._perform_of_relay(
                world, index, relay, relay.on_disconnected(world.now, connection.number, "ended")
            )
        assert not isinstance(sent.item, str)
        return self._perform_of_relay(
            world, index, relay, relay.on_message(world.now, connection.number, sent.item)
        )

    def _connect(self, world: World, connection: Connection) -> World:
        follower = world.followers[connection.follower].copy()
        if follower.incarnation != connection.incarnation or world.up[connection.relay] == "gone":
            return world
        if world.up[connection.relay] == "killed":
            return self._perform(
                world,
                connection.follower,
                follower,
                follower.on_disconnected(world.now, connection.link, "refused"),
            )
        if follower.link != connection.link or follower.state != "dialling":
            return world
        connection = connection._replace(up=True, relay_incarnation=world.incarnations[connection.relay])
        world = world._replace(connections=(*world.connections, connection))
        return self._perform(
            world, connection.follower, follower, follower.on_connected(world.now, connection.link)
        )

    def _time_steps(self, world: World) -> Iterator[tuple[str, World]]:
        budget = world.budget
        if any(disk.writing is not None for disk in world.disks):
            return
        if world.wire:
            if len(world.wire) > 1 or not budget.delay:
                return
            budget = budget._replace(delay=budget.delay - 1)
            world = world._replace(last_event_ms=world.now)
        due = min(snapshot.part.due_ms(world.now) for snapshot in world.followers)
        passed_ms = min(due, timeouts.PROPAGATION_BOUND_MS + 1.0) - world.now
        world = world._replace(
            last_event_ms=world.last_event_ms - passed_ms,
            budget=budget,
            followers=tuple(shifted(snapshot, passed_ms) for snapshot in world.followers),
            relays=tuple(shifted(snapshot, passed_ms) for snapshot in world.relays),
        )
        now = world.now
        for index, up in enumerate(world.up):
            if up == "up":
                world = self._learn_decision(world, index)
        for index in range(len(world.followers)):
            follower = world.followers[index].copy()
            world = self._perform(world, index, follower, follower.tick(now))
        yield f"{passed_ms:.0f} ms pass", world

    # Actions.

    def _perform(
        self, world: World, index: int, follower: Follower, actions: list[act.FollowerAction]
    ) -> World:
        queue: list[act.FollowerAction] = list(actions)
        connections = {
            connection.link: connection
            for connection in world.connections
            if connection.follower == index and connection.incarnation == follower.incarnation
        }
        while queue:
            action = queue.pop(0)
            if isinstance(action, act.Connect):
                relay = RELAYS.index(action.relay)
                connection = Connection(index, follower.incarnation, action.link, relay, 0)
                world = world._replace(wire=(*world.wire, Sent(connection, False, "dial")))
            elif isinstance(action, act.Send) and action.link in connections:
                sent = Sent(connections[action.link], False, action.message)
                world = world._replace(wire=(*world.wire, sent))
            elif isinstance(action, act.Close) and action.link in connections:
                connection = connections[action.link]
                wire = tuple(s for s in world.wire if s.connection != connection or not s.down)
                world = world._replace(
                    connections=tuple(x for x in world.connections if x != connection),
                    wire=(*wire, Sent(connection, False, "end")),
                )
            elif isinstance(action, act.Store):
                disk = world.disks[index]._replace(
                    writing=(action.version.number, (action.keep_number, *action.also_keep))
                )
                world = world._replace(disks=put(world.disks, index, disk))
            elif isinstance(action, act.Apply):
                world = self._apply(world, index, action)
                queue = follower.on_applied(world.now, action.version.number) + queue
        return world._replace(followers=put(world.followers, index, Snapshot(follower)))

    def _apply(self, world: World, index: int, action: act.Apply) -> World:
        number, highest = action.version.number, world.highest_numbers[index]
        if action.contents != CONTENTS[number] or action.version != VERSIONS[number]:
            world = world._replace(violation=f"f{index} applies incomplete contents of {number}")
        if number > world.decided:
            world = world._replace(violation=f"f{index} applies {number}, which is not decided")
        if number < highest and world.budget.old_disk == STARTS[self.start][1].old_disk:
            world = world._replace(violation=f"f{index} goes back from {highest} to {number}")
        return world._replace(highest_numbers=put(world.highest_numbers, index, max(highest, number)))

    def _perform_of_relay(
        self, world: World, index: int, relay: Relay, actions: list[act.RelayAction]
    ) -> World:
        connections = {
            connection.number: connection for connection in world.connections if connection.relay == index
        }
        for action in actions:
            if isinstance(action, act.Send) and action.link in connections:
                world = world._replace(
                    wire=(*world.wire, Sent(connections[action.link], True, action.message))
                )
            elif isinstance(action, act.Close) and action.link in connections:
                connection = connections[action.link]
                remaining = tuple(x for x in world.connections if x != connection)
                world = world._replace(
                    connections=remaining, wire=(*world.wire, Sent(connection, True, "end"))
                )
        return world._replace(relays=put(world.relays, index, Snapshot(relay)))

    # Invariants.

    def find_violation(self, world: World) -> str:
        """Return a violation: a regression, incomplete contents, or a version that is late."""
        if world.violation:
            return world.violation
        if world.now - world.last_event_ms > timeouts.PROPAGATION_BOUND_MS and "up" in world.up:
            for index, snapshot in enumerate(world.followers):
                if snapshot.part.version.number < world.decided:
                    status = f"f{index} has {snapshot.part.version.number} and not {world.decided}"
                    return f"{status} after {timeouts.PROPAGATION_BOUND_MS} ms"
        return ""


def _short(item: Message | str) -> str:
    if isinstance(item, str):
        return item
    if isinstance(item, ConfigUpdate):
        return f"news {item.version.number}"
    if isinstance(item, NotModified):
        return f"still {item.number}"
    return f"{type(item).__name__.lower()} {getattr(item, 'number', '')}".rstrip()


def _corrupted(update: ConfigUpdate) -> ConfigUpdate:
    half = None if update.contents is None else update.contents[: len(update.contents) // 2]
    delta = update.delta
    if delta is not None:
        delta = type(delta)(delta.base, delta.prefix, delta.suffix, delta.middle[: len(delta.middle) // 2])
    return ConfigUpdate(update.version, update.confirmed_age_ms, delta, half)


def explore(model: Model, max_states: int) -> ExplorationResult:
    """Explore the states of this start, up to a maximum."""
    return state_exploration.explore(model.first(), model.steps, model.find_violation, max_states)


def main() -> int:
    """Explore from the command line."""
    return state_exploration.run_command(
        lambda variant, start, max_states: explore(Model(variant, start), max_states),
        VARIANTS,
        STARTS,
        "lost",
    )


if __name__ == "__main__":
    sys.exit(main())
