"""Every state that relays and followers can reach, within a bound, by their own code.

    python -m tests.configuration_states [--states N] [--variant NAME] [--start NAME]

What is decided comes to two relays, and from them to the followers. A message may come late, after one
that was said later, twice, spoilt or not at all; a relay may be lost, quietly or not, hear no majority any
more, or come back with what it had; a follower may start again, with its disk or with an old one, at each
step of a write. How often each may happen is the start's bound. Draws come out at their longest, moments are
told from the present one. Time passes where nothing is on the wire, or one message is held up.
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

FLEET, PLACE = "f", "r/z"
RELAYS = ("a", "b")
CONTENTS = {n: f"weight = {n}\n".encode() * 3 for n in range(1, 4)}
VERSIONS = {n: Version(n, digest_of(c), len(c), "v", 0) for n, c in CONTENTS.items()}
VARIANTS = (
    "goes back",
    "half in force",
    "a lost push is never asked for again",
    "stays with a stale relay",
    "stays with a silent relay",
    "applies before it stores",
)
UNTOLD = {
    "heard_ms",
    "noted",
    "began_ms",
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


class Longest:
    """Draws come out at their longest."""

    def uniform(self, low: float, high: float) -> float:
        return high


class Takes(Follower):
    """It takes whatever it is told."""

    variant = ""

    def _on_update(self, now_ms: float, news: ConfigUpdate) -> list[act.FollowerAction]:
        if self.variant == "goes back" and news.contents is not None and self.pending is None:
            self.next_version = news.version, news.contents
            return [
                *self._begin_next(now_ms),
                *self._on_relay_number(now_ms, news.version.number, news.confirmed_age_ms),
            ]
        if (
            self.variant == "half in force"
            and news.contents is not None
            and (news.version.number > self._highest_number() and self.pending is None)
        ):
            self.next_version = news.version, news.contents
            return [
                *self._begin_next(now_ms),
                *self._on_relay_number(now_ms, news.version.number, news.confirmed_age_ms),
            ]
        return super()._on_update(now_ms, news)

    def _on_relay_number(self, now_ms: float, number: int, confirmed_ms: int) -> list[act.FollowerAction]:
        actions = super()._on_relay_number(now_ms, number, confirmed_ms)
        if self.variant == "a lost push is never asked for again":
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


class Part:
    """A part as it stands, which is not changed: it is copied first."""

    __slots__ = ("of", "key", "hash")

    def __init__(self, of: Any) -> None:
        self.of = of
        self.key = tuple(frozen(v) for k, v in of.__dict__.items() if k not in UNTOLD)
        self.hash = hash(self.key)

    def __hash__(self) -> int:
        return self.hash

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Part) and self.hash == other.hash and self.key == other.key

    def copy(self) -> Any:
        new = object.__new__(type(self.of))
        new.__dict__.update(
            {k: v.copy() if isinstance(v, dict | set | list) else v for k, v in self.of.__dict__.items()}
        )
        return new


def frozen(value: Any) -> Any:
    """A value in a form that can be hashed."""
    if isinstance(value, dict):
        return tuple((k, frozen(v)) for k, v in value.items())
    if isinstance(value, FollowerState):  # when it was heard decides nothing here
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


def shifted(part: Any, by: float) -> Part:
    """The same when so much time has passed, told as if it were the moment of the start.

    What has passed for long enough to make no difference is made the same.
    """
    new = part.copy()

    def shift(value: float, least: float) -> float:
        return max(value - by, least)

    if new.confirmed_ms is not None:
        new.confirmed_ms = shift(new.confirmed_ms, -10_000.0)
    if isinstance(new, Relay):
        for link, seat in new.followers.items():
            new.followers[link] = replace(seat, sent_ms=shift(seat.sent_ms, -timeouts.RESEND_INTERVAL_MS))
        return Part(new)
    for name in ("deadline_ms", "poll_ms", "reconnect_ms", "start_ms", "preferred_retry_ms"):
        setattr(new, name, shift(getattr(new, name), -1.0))
    if new.stay_until_ms:
        new.stay_until_ms = shift(new.stay_until_ms, -1.0)
    if new.state != "paused":
        new.reconnect_ms = 0.0
    if not new.disk:
        new.start_ms = 0.0
    return Part(new)


class Line(NamedTuple):
    """A connection, or one that is being made."""

    follower: int
    life: int
    link: int
    relay: int
    relay_life: int
    up: bool = False

    @property
    def number(self) -> int:
        """Its number at the relay."""
        return (self.follower + 1) * 10_000 + self.life * 100 + self.link


class Sent(NamedTuple):
    """On the wire: to whom, over which connection; None: the connection is being made, or ends."""

    line: Line
    down: bool  # from the relay
    item: Message | str


class Disk(NamedTuple):
    """A follower's disk: what is on it, what is being written, and how it was a version before."""

    held: tuple[int, ...] = ()
    writing: tuple[int, tuple[int, ...]] | None = None  # the number, and what stays beside it
    old: tuple[int, ...] = ()


class Budget(NamedTuple):
    """What may still happen."""

    decide: int = 2
    lose: int = 0
    twice: int = 0
    overtake: int = 0
    late: int = 0
    spoil: int = 0
    kill: int = 0  # a relay, loudly
    gone: int = 0  # a relay, quietly
    dark: int = 0  # both relays, quietly
    alone: int = 0  # a relay hears no majority any more
    back: int = 0  # a relay comes back with what it had
    restart: int = 0  # a follower
    old: int = 0  # ... with its disk as it was before


class World(NamedTuple):
    """One state."""

    now: float  # 0 at all times: what is past is below it
    decided: int
    since: float  # when something was decided, or went wrong, last
    relays: tuple[Part, ...]
    up: tuple[str, ...]  # of each relay: up, killed, gone, alone
    lives: tuple[int, ...]
    followers: tuple[Part, ...]
    disks: tuple[Disk, ...]
    tops: tuple[int, ...]  # the highest that was in force, in any life
    wire: tuple[Sent, ...]
    lines: tuple[Line, ...]  # that are up
    budget: Budget
    fault: str = ""


STARTS: dict[str, tuple[int, Budget]] = {
    "lost": (1, Budget(1, lose=1, twice=1)),
    "overtaken": (1, Budget(2, overtake=1)),
    "spoilt": (1, Budget(1, spoil=1)),
    "relay lost": (1, Budget(1, kill=1, gone=1, back=1)),
    "relay alone": (1, Budget(1, alone=1)),
    "restarts": (1, Budget(1, restart=1, old=1)),
    "late": (1, Budget(1, late=1)),
    "restart, no relay": (1, Budget(1, dark=1, restart=1)),
    "two followers": (2, Budget(1)),
    "two faults, relay alone": (1, Budget(1, alone=1, lose=1)),
    "two faults, spoilt": (1, Budget(2, lose=1, spoil=1)),
    "two restarts": (1, Budget(2, restart=2, old=1)),
    "two changes, lost, twice, overtaken": (1, Budget(2, lose=1, twice=1, overtake=1)),
    "two changes, relay lost": (1, Budget(2, kill=1, gone=1, back=1)),
    "two changes, late and lost": (1, Budget(2, late=1, lose=1)),
    "two followers, lost": (2, Budget(1, lose=1)),
    "two followers, relay killed": (2, Budget(1, kill=1)),
    "two followers, relay gone": (2, Budget(1, gone=1)),
    "two followers, restart": (2, Budget(1, restart=1)),
}


class Model:
    """The steps from each state, and what must hold in it."""

    def __init__(self, variant: str = "", start: str = "lost") -> None:
        self.variant, self.start = variant, start

    def _follower(self, index: int, life: int) -> Follower:
        made = Takes(f"f{index}", FLEET, PLACE, life, {r: PLACE for r in RELAYS}, Longest())  # type: ignore[arg-type]
        made.variant = self.variant
        made.order = RELAYS
        return made

    def _relay(self, index: int, life: int) -> Relay:
        return Relay(RELAYS[index], FLEET, life, Longest())  # type: ignore[arg-type]

    def first(self) -> World:
        """Both relays have version 1; the followers start."""
        count, budget = STARTS[self.start]
        world = World(
            0.0,
            1,
            0.0,
            tuple(Part(self._relay(i, 1)) for i in range(2)),
            ("up", "up"),
            (1, 1),
            tuple(Part(self._follower(i, 1)) for i in range(count)),
            (Disk(),) * count,
            (0,) * count,
            (),
            (),
            budget,
        )
        for index in range(2):
            world = self._learn(world, index)
        for index in range(count):
            made = world.followers[index].copy()
            world = self._did(world, index, made, made.start(0.0))
        return world

    # Steps.

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """What may happen next."""
        if world.now - world.since > timeouts.PROPAGATION_BOUND_MS:
            return
        budget = world.budget
        if budget.decide:
            decided = world._replace(
                decided=world.decided + 1, since=world.now, budget=budget._replace(decide=budget.decide - 1)
            )
            yield f"{decided.decided} is decided", decided
        for index, up in enumerate(world.up):
            if up == "up" and world.relays[index].of.version.number < world.decided:
                yield f"{RELAYS[index]} learns", self._learn(world, index)
            yield from self._relay_faults(world, index, up)
        for index, disk in enumerate(world.disks):
            if disk.writing is not None:
                yield f"f{index} has stored {disk.writing[0]}", self._stored(world, index)
            if budget.restart:
                yield from self._restarts(world, index, disk)
        yield from self._messages(world)
        yield from self._time(world)

    def _relay_faults(self, world: World, index: int, up: str) -> Iterator[tuple[str, World]]:
        budget, name = world.budget, RELAYS[index]
        if set(world.up) != {"up"}:
            if up in ("killed", "gone") and budget.back:
                life = world.lives[index] + 1
                relay = self._relay(index, life)
                had = world.relays[index].of.version.number
                relay.publish(world.now, VERSIONS[had], CONTENTS[had])
                yield (
                    f"{name} is back",
                    world._replace(
                        relays=put(world.relays, index, Part(relay)),
                        up=put(world.up, index, "up"),
                        lives=put(world.lives, index, life),
                        budget=budget._replace(back=budget.back - 1),
                    ),
                )
            return
        if budget.kill:
            left = budget._replace(kill=budget.kill - 1)
            yield f"{name} is killed", self._lost(world, index, "killed", left)
        if budget.gone:
            yield f"{name} is gone", self._lost(world, index, "gone", budget._replace(gone=budget.gone - 1))
        if budget.dark and index == 0:
            left = budget._replace(dark=0)
            yield "both relays are gone", self._lost(self._lost(world, 0, "gone", left), 1, "gone", left)
        if budget.alone:
            yield (
                f"{name} is alone",
                world._replace(
                    up=put(world.up, index, "alone"), since=world.now, budget=budget._replace(alone=0)
                ),
            )

    def _lost(self, world: World, index: int, how: str, budget: Budget) -> World:
        lines = tuple(line for line in world.lines if line.relay != index)
        wire = tuple(s for s in world.wire if s.line.relay != index or s.item == "dial")
        if how == "killed":
            wire += tuple(Sent(line, True, "end") for line in world.lines if line.relay == index)
        return world._replace(
            up=put(world.up, index, how), lines=lines, wire=wire, since=world.now, budget=budget
        )

    def _restarts(self, world: World, index: int, disk: Disk) -> Iterator[tuple[str, World]]:
        budget = world.budget._replace(restart=world.budget.restart - 1)
        yield f"f{index} starts again", self._again(world, index, disk.held, budget)
        if disk.writing is not None:
            number, beside = disk.writing
            held = (number, *(n for n in disk.held if n in beside))
            yield f"f{index} starts again, written", self._again(world, index, held, budget)
        if budget.old and disk.old != disk.held:
            yield (
                f"f{index} starts again, old disk",
                self._again(world, index, disk.old, budget._replace(old=0)),
            )

    def _again(self, world: World, index: int, held: tuple[int, ...], budget: Budget) -> World:
        life = world.followers[index].of.incarnation + 1
        wire = tuple(s for s in world.wire if s.line.follower != index)
        wire += tuple(Sent(line, False, "end") for line in world.lines if line.follower == index)
        lines = tuple(line for line in world.lines if line.follower != index)
        made = self._follower(index, life)
        world = world._replace(
            wire=wire,
            lines=lines,
            disks=put(world.disks, index, Disk(held, None, held)),
            since=world.now,
            budget=budget,
        )
        disk = [(VERSIONS[n], CONTENTS[n]) for n in held]
        return self._did(world, index, made, made.start(world.now, disk))

    def _learn(self, world: World, index: int) -> World:
        relay = world.relays[index].copy()
        actions = []
        if relay.version.number < world.decided:
            number = world.decided
            actions = relay.publish(world.now, VERSIONS[number], CONTENTS[number])
        relay.on_majority_confirmed(world.now, world.now)
        return self._relay_did(world, index, relay, actions)

    def _stored(self, world: World, index: int) -> World:
        disk = world.disks[index]
        assert disk.writing is not None
        number, beside = disk.writing
        held = (number, *(n for n in disk.held if n in beside))
        made = world.followers[index].copy()
        world = world._replace(disks=put(world.disks, index, Disk(held, None, disk.held)))
        return self._did(world, index, made, made.on_stored(world.now, number))

    def _messages(self, world: World) -> Iterator[tuple[str, World]]:
        budget, wire = world.budget, world.wire
        for place, sent in enumerate(wire):
            first = all(s.line != sent.line or s.down != sent.down for s in wire[:place])
            if not first and not budget.overtake:
                continue
            rest = world._replace(wire=wire[:place] + wire[place + 1 :])
            way = f"{RELAYS[sent.line.relay]}{'>' if sent.down else '<'}f{sent.line.follower}"
            what = f"{way} {_short(sent.item)}"
            if not first:
                rest = rest._replace(budget=budget._replace(overtake=budget.overtake - 1))
            yield what, self._deliver(rest, sent)
            if isinstance(sent.item, str) or not first:
                continue
            if budget.lose:
                yield (
                    f"lost {what}",
                    rest._replace(since=world.now, budget=budget._replace(lose=budget.lose - 1)),
                )
            if budget.twice:
                yield (
                    f"twice {what}",
                    world._replace(wire=(*wire, sent), budget=budget._replace(twice=budget.twice - 1)),
                )
            if budget.spoil and isinstance(sent.item, ConfigUpdate):
                spoilt = sent._replace(item=_spoil(sent.item))
                yield (
                    f"spoilt {what}",
                    world._replace(
                        wire=put(wire, place, spoilt), since=world.now, budget=budget._replace(spoil=0)
                    ),
                )

    def _deliver(self, world: World, sent: Sent) -> World:
        line, index = sent.line, sent.line.relay
        up = world.up[index] in ("up", "alone") and world.lives[index] == line.relay_life
        if sent.item == "dial":
            return self._dialled(world, line)
        if sent.down:
            made = world.followers[line.follower].copy()
            if made.incarnation != line.life:
                return world
            if sent.item == "end":
                world = world._replace(lines=tuple(x for x in world.lines if x != line))
                return self._did(
                    world, line.follower, made, made.on_disconnected(world.now, line.link, "ended")
                )
            assert not isinstance(sent.item, str)
            return self._did(world, line.follower, made, made.on_message(world.now, line.link, sent.item))
        if not up:
            return world
        relay = world.relays[index].copy()
        if sent.item == "end":
            return self._relay_did(
                world, index, relay, relay.on_disconnected(world.now, line.number, "ended")
            )
        assert not isinstance(sent.item, str)
        return self._relay_did(world, index, relay, relay.on_message(world.now, line.number, sent.item))

    def _dialled(self, world: World, line: Line) -> World:
        made = world.followers[line.follower].copy()
        if made.incarnation != line.life or world.up[line.relay] == "gone":
            return world
        if world.up[line.relay] == "killed":
            return self._did(
                world, line.follower, made, made.on_disconnected(world.now, line.link, "refused")
            )
        if made.link != line.link or made.state != "dialling":
            return world
        line = line._replace(up=True, relay_life=world.lives[line.relay])
        world = world._replace(lines=(*world.lines, line))
        return self._did(world, line.follower, made, made.on_connected(world.now, line.link))

    def _time(self, world: World) -> Iterator[tuple[str, World]]:
        budget = world.budget
        if any(disk.writing is not None for disk in world.disks):
            return
        if world.wire:
            if len(world.wire) > 1 or not budget.late:
                return
            budget = budget._replace(late=budget.late - 1)
            world = world._replace(since=world.now)
        due = min(part.of.due_ms(world.now) for part in world.followers)
        passed = min(due, timeouts.PROPAGATION_BOUND_MS + 1.0) - world.now
        world = world._replace(
            since=world.since - passed,
            budget=budget,
            followers=tuple(shifted(part, passed) for part in world.followers),
            relays=tuple(shifted(part, passed) for part in world.relays),
        )
        now = world.now
        for index, up in enumerate(world.up):
            if up == "up":
                world = self._learn(world, index)
        for index in range(len(world.followers)):
            made = world.followers[index].copy()
            world = self._did(world, index, made, made.tick(now))
        yield f"{passed:.0f} ms pass", world

    # Actions.

    def _did(self, world: World, index: int, made: Follower, actions: list[act.FollowerAction]) -> World:
        queue: list[act.FollowerAction] = list(actions)
        lines = {
            line.link: line
            for line in world.lines
            if line.follower == index and line.life == made.incarnation
        }
        while queue:
            action = queue.pop(0)
            if isinstance(action, act.Connect):
                relay = RELAYS.index(action.relay)
                line = Line(index, made.incarnation, action.link, relay, 0)
                world = world._replace(wire=(*world.wire, Sent(line, False, "dial")))
            elif isinstance(action, act.Send) and action.link in lines:
                sent = Sent(lines[action.link], False, action.message)
                world = world._replace(wire=(*world.wire, sent))
            elif isinstance(action, act.Close) and action.link in lines:
                line = lines[action.link]
                wire = tuple(s for s in world.wire if s.line != line or not s.down)
                world = world._replace(
                    lines=tuple(x for x in world.lines if x != line), wire=(*wire, Sent(line, False, "end"))
                )
            elif isinstance(action, act.Store):
                disk = world.disks[index]._replace(
                    writing=(action.version.number, (action.keep_number, *action.also_keep))
                )
                world = world._replace(disks=put(world.disks, index, disk))
            elif isinstance(action, act.Apply):
                world = self._applied(world, index, action)
                queue = made.on_applied(world.now, action.version.number) + queue
        return world._replace(followers=put(world.followers, index, Part(made)))

    def _applied(self, world: World, index: int, action: act.Apply) -> World:
        number, top = action.version.number, world.tops[index]
        if action.contents != CONTENTS[number] or action.version != VERSIONS[number]:
            world = world._replace(fault=f"f{index} acts under half of {number}")
        if number > world.decided:
            world = world._replace(fault=f"f{index} acts under {number}, which is not decided")
        if number < top and world.budget.old == STARTS[self.start][1].old:
            world = world._replace(fault=f"f{index} goes back from {top} to {number}")
        return world._replace(tops=put(world.tops, index, max(top, number)))

    def _relay_did(self, world: World, index: int, relay: Relay, actions: list[act.RelayAction]) -> World:
        lines = {line.number: line for line in world.lines if line.relay == index}
        for action in actions:
            if isinstance(action, act.Send) and action.link in lines:
                world = world._replace(wire=(*world.wire, Sent(lines[action.link], True, action.message)))
            elif isinstance(action, act.Close) and action.link in lines:
                line = lines[action.link]
                left = tuple(x for x in world.lines if x != line)
                world = world._replace(lines=left, wire=(*world.wire, Sent(line, True, "end")))
        return world._replace(relays=put(world.relays, index, Part(relay)))

    # What must hold.

    def wrong(self, world: World) -> str:
        """Nothing goes back or is half, and within the bound everybody has what is decided."""
        if world.fault:
            return world.fault
        if world.now - world.since > timeouts.PROPAGATION_BOUND_MS and "up" in world.up:
            for index, part in enumerate(world.followers):
                if part.of.version.number < world.decided:
                    has = f"f{index} has {part.of.version.number} and not {world.decided}"
                    return f"{has} after {timeouts.PROPAGATION_BOUND_MS} ms"
        return ""


def _short(item: Message | str) -> str:
    if isinstance(item, str):
        return item
    if isinstance(item, ConfigUpdate):
        return f"news {item.version.number}"
    if isinstance(item, NotModified):
        return f"still {item.number}"
    return f"{type(item).__name__.lower()} {getattr(item, 'number', '')}".rstrip()


def _spoil(news: ConfigUpdate) -> ConfigUpdate:
    half = None if news.contents is None else news.contents[: len(news.contents) // 2]
    delta = news.delta
    if delta is not None:
        delta = type(delta)(delta.base, delta.prefix, delta.suffix, delta.middle[: len(delta.middle) // 2])
    return ConfigUpdate(news.version, news.confirmed_age_ms, delta, half)


def explore(model: Model, most: int) -> ExplorationResult:
    """See every state of this start, up to so many."""
    return state_exploration.explore(model.first(), model.steps, model.wrong, most)


def main() -> int:
    """Explore from the command line."""
    return state_exploration.run_command(
        lambda variant, start, most: explore(Model(variant, start), most), VARIANTS, STARTS, "lost"
    )


if __name__ == "__main__":
    sys.exit(main())
